"""Streams to the other instances, and the table of live instances that is updated over them."""

import typing
from collections.abc import Callable

import attrs

from carobhook import logs
from carobhook.coordination import membership, membership_sync
from carobhook.protocol import membership_messages, peer_codec
from carobhook.state import ids, members
from carobhook.transport import peers

# Streams to seeds are kept for at least this long after the seeds were set. Otherwise, if other
# instances are live already, the next heartbeat would close them before the instances at these
# addresses are known.
_KEEP_SEEDS_S = 10.0


@attrs.frozen
class MembershipCallbacks:
    """Functions that `MemberStreams` calls for messages and for changes of the members.

    Attributes:
        on_message: Called with the sender and each message that is not about membership.
        on_lost: Called with the name of an instance that is dead or was restarted.
        on_change: Called when the live instances or their phases change.
        on_stream: Called with a function that sends a message on a new stream to an instance.
        on_stream_replaced: Called with the name of a known instance to which a stream is new.
            What was sent to it before may be lost.
    """

    on_message: Callable[[ids.InstanceId, typing.Any], object]
    on_lost: Callable[[ids.InstanceId], object]
    on_change: Callable[[], object]
    on_stream: Callable[[Callable[[typing.Any], object]], object] = lambda send: None
    on_stream_replaced: Callable[[ids.InstanceId], object] = lambda name: None


class MemberStreams:
    """Streams to other instances, and the table of live instances.

    Args:
        reactor: The reactor.
        identity: Authenticates this instance to others.
        own_state: Returns the current state of this instance.
        callbacks: Functions to call for messages and for changes of the members.
        context: TLS context of the streams, None for plain TCP.
        relay_handler: Relays the requests of other instances; None to relay none.

    Attributes:
        membership: Table of the live instances.
    """

    def __init__(
        self,
        reactor: typing.Any,
        identity: peers.Identity,
        own_state: Callable[[], members.Member],
        callbacks: MembershipCallbacks,
        context: typing.Any = None,
        relay_handler: peers.RelayHandler | None = None,
    ) -> None:
        self._reactor = reactor
        self._own = identity.name
        self._read_state = own_state
        self._announced: members.Member | None = None
        self._callbacks = callbacks
        self._reported_live: set[ids.InstanceId] = set()
        self._address = ""
        self._seeds: tuple[str, ...] = ()
        self._seeds_set_at = 0.0
        self.membership = membership.Membership(identity.name, membership.DEAD_AFTER_S)
        self._sync = membership_sync.MembershipSync(
            identity.name, own_state().region, self.membership
        )
        self._peers = peers.PeerStreams(
            reactor,
            identity,
            self._handle_message,
            peer_codec.CODEC,
            self._send_initial_state,
            context=context,
            on_lost=self._handle_stream_end,
            relay_handler=relay_handler,
        )

    def start(self, address: str, seeds: typing.Iterable[str]) -> None:
        """Listen for streams, and connect to the seeds.

        Args:
            address: ``host:port`` to listen on.
            seeds: Addresses of some other instances.

        Raises:
            twisted.internet.error.CannotListenError: The address is in use.
        """
        host, _, port = address.rpartition(":")
        self._peers.listen(host, int(port))
        now = self._reactor.seconds()
        self.membership.record_heartbeat(self._own_state(), now)
        self._address = address
        self.connect_seeds(seeds)
        if self.expects_others:
            self._sync.begin_search(now)

    @property
    def expects_others(self) -> bool:
        """Return whether the settings name other instances."""
        return any(seed != self._address for seed in self._seeds)

    def connect_seeds(self, addresses: typing.Iterable[str]) -> None:
        """Replace the seeds, and connect to them."""
        self._seeds = tuple(addresses)
        self._seeds_set_at = self._reactor.seconds()
        for address in self._seeds:
            self._peers.connect(address)

    def send(self, name: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance; return False if there is no stream to it.

        If the instance is known, a stream is opened, so that a later attempt may succeed.
        """
        member = self.membership.get(name)
        if member is None:
            return False
        self._sync.record_stream_use(name, self._reactor.seconds())
        if self._peers.send(member.peers, message):
            return True
        self._peers.connect(member.peers)
        return False

    def broadcast(self, message: typing.Any) -> None:
        """Send a message on every ready stream."""
        self._peers.broadcast(message)

    @property
    def older_count(self) -> int:
        """Return the number of streams to builds that speak an earlier protocol version."""
        return self._peers.older_count

    @property
    def unsent_answers(self) -> int:
        """Return the number of answers to relayed requests that are being sent."""
        return self._peers.unsent_answers

    def send_heartbeats(self) -> None:
        """Remove the instances whose heartbeats stopped, and send heartbeats and updates."""
        now = self._reactor.seconds()
        member = self._own_state()
        self.membership.record_heartbeat(member, now)
        self._remove_dead()
        self._peers.set_addresses(self._stream_addresses(now))
        self._peers.broadcast(membership_messages.Heartbeat(member))
        for name, message in self._sync.next_updates(now).items():
            receiver = self.membership.get(name)
            if receiver is not None:
                self._peers.send(receiver.peers, message)

    def _own_state(self) -> members.Member:
        """Return the current state of this instance, with the time at which it entered it.

        The times of two states differ, so that others know which one is later.
        """
        state, before = self._read_state(), self._announced
        if before is None or attrs.evolve(state, changed_ms=before.changed_ms) != before:
            last_ms = before.changed_ms if before is not None else 0
            changed_ms = max(last_ms + 1, int(self._reactor.seconds() * 1000))
            self._announced = before = attrs.evolve(state, changed_ms=changed_ms)
        return before

    def limit_share(self, region: ids.Region) -> float:
        """Return the share of each limit that this instance may use as a dispatcher."""
        return self._sync.limit_share(region, self._reactor.seconds())

    def quota_share(self) -> float:
        """Return the share of the accounts' quotas that the instances known here may use."""
        return self._sync.quota_share(self._reactor.seconds())

    async def stop(self) -> None:
        """Close all streams."""
        await self._peers.stop()

    def _stream_addresses(self, now: float) -> set[str]:
        """Return the addresses to keep streams to.

        These include the seeds while no other instance is live, and for a while after they were
        set.
        """
        addresses = set(self._sync.stream_addresses(now))
        others = [m for m in self.membership.live(now) if m.name != self._own]
        if not others or now - self._seeds_set_at < _KEEP_SEEDS_S:
            addresses.update(self._seeds)
        return addresses

    def _remove_dead(self, reason: str = "silent") -> None:
        """Remove the instances that are no longer live, and call the callbacks for them.

        Args:
            reason: Why they are no longer live, for the log.
        """
        now = self._reactor.seconds()
        live = {member.name for member in self.membership.live(now)}
        for name in self._reported_live - live:
            logs.warning("member-lost", member=name, reason=reason)
            self._sync.remove(name, now)
            self._callbacks.on_lost(name)
        if live != self._reported_live:
            self._reported_live = live
            self._callbacks.on_change()

    def _handle_stream_end(self, name: ids.InstanceId) -> None:
        """Remove an instance whose stream ended, until its next heartbeat.

        The end of a stream without recent heartbeats is ignored: it was closed because it was
        no longer needed.
        """
        now = self._reactor.seconds()
        if name == self._own or not self._sync.has_direct_heartbeat(name, now):
            return
        self._sync.remove(name, now)
        self._remove_dead("stream-ended")

    def _send_initial_state(self, address: str) -> None:
        """Send this instance's heartbeat and all other live instances on a new stream."""
        now = self._reactor.seconds()
        live = self.membership.live(now)
        known = [member.name for member in live if member.peers == address]
        for name in known:
            self._sync.reset_updates(name)
        self._peers.send(address, membership_messages.Heartbeat(self._own_state()))
        others = tuple(member for member in live if member.name != self._own)
        self._peers.send(address, membership_messages.RosterUpdate(others, (), True))
        for name in known:
            self._callbacks.on_stream_replaced(name)
        self._callbacks.on_stream(lambda message: self._peers.send(address, message))

    def _handle_message(self, sender: ids.InstanceId, message: typing.Any) -> None:
        if isinstance(message, membership_messages.Heartbeat):
            self._handle_heartbeat(message.member)
        elif isinstance(message, membership_messages.StreamClosing):
            self._sync.record_stream_closing(sender)
        elif isinstance(message, membership_messages.RosterUpdate):
            self._handle_update(sender, message)
        else:
            self._callbacks.on_message(sender, message)

    def _handle_heartbeat(self, member: members.Member) -> None:
        now = self._reactor.seconds()
        before = self.membership.get(member.name)
        self._sync.record_heartbeat(member, now)
        if self.membership.get(member.name) != member:
            return
        if before is None:
            # It may not know any other instance yet. Recording a use opens a stream to it, on
            # which this instance sends all live instances.
            self._sync.record_stream_use(member.name, now)
        self._notify_change(before, member)

    def _handle_update(
        self, sender: ids.InstanceId, message: membership_messages.RosterUpdate
    ) -> None:
        """Apply the update of a relay, or of an instance on a new stream."""
        now = self._reactor.seconds()
        before = {member.name: self.membership.get(member.name) for member in message.members}
        removed = self._sync.apply_update(sender, message, now)
        for name in removed:
            logs.warning("member-lost", member=name, reason="relay")
        for member in message.members:
            if self.membership.get(member.name) == member:
                self._notify_change(before[member.name], member)
        if removed:
            for name in removed:
                self._reported_live.discard(name)
                self._callbacks.on_lost(name)
            self._callbacks.on_change()

    def _notify_change(self, before: members.Member | None, member: members.Member) -> None:
        """Call the callbacks for an instance that is new, was restarted or changed its phase.

        A new instance may need a stream, so streams are updated before `on_change` is called.
        """
        if before is None or before.incarnation != member.incarnation:
            logs.event("member-seen", member=member.name, phase=member.phase)
            if before is not None:
                self._callbacks.on_lost(member.name)
        self._reported_live.add(member.name)
        if before is None:
            self._peers.set_addresses(self._stream_addresses(self._reactor.seconds()))
        if before is None or before.phase is not member.phase:
            self._callbacks.on_change()
