"""Knows the other instances: heartbeats, streams, and who has gone."""

import typing
from collections.abc import Callable

import attrs

from carobhook import logs
from carobhook.coordination import membership, membership_sync
from carobhook.protocol import membership_messages, peer_codec
from carobhook.state import ids, members
from carobhook.transport import peers

# Seeds are kept for this long after they were told.
_SEEDING_S = 10.0


@attrs.frozen
class MemberEvents:
    """What a change among the instances leads to.

    Attributes:
        received: Called with the sender and each message that is no heartbeat.
        lost: Called with the name of an instance that is gone, or has begun a new run.
        changed: Called when other instances take new work than before.
    """

    received: Callable[[ids.InstanceId, typing.Any], object]
    lost: Callable[[ids.InstanceId], object]
    changed: Callable[[], object]


class MemberStreams:
    """Owns the streams to other instances and the table of who is live.

    Args:
        reactor: The reactor.
        identity: What this instance shows to others.
        describe: Returns what this instance says of itself at present.
        events: What changes lead to.
        context: TLS context of the streams; plain TCP without.
    """

    def __init__(
        self,
        reactor: typing.Any,
        identity: peers.Identity,
        describe: Callable[[], members.Member],
        events: MemberEvents,
        context: typing.Any = None,
    ) -> None:
        self._reactor = reactor
        self._own = identity.name
        self._describe = describe
        self._events = events
        self._live: set[ids.InstanceId] = set()
        self._seeds: tuple[str, ...] = ()
        self._seeded_at = 0.0
        self.roster = membership.Membership(identity.name, membership.DEAD_AFTER_S)
        self._known = membership_sync.MembershipSync(
            identity.name, describe().region, self.roster
        )
        self._hub = peers.PeerHub(
            reactor,
            identity,
            self._received,
            peer_codec.CODEC,
            self._greet,
            context=context,
            on_lost=self._stream_lost,
        )

    def start(self, address: str, seeds: typing.Iterable[str]) -> None:
        """Listen for streams, and open those to the seeds.

        Args:
            address: ``host:port`` to listen on.
            seeds: Addresses of other instances.

        Raises:
            twisted.internet.error.CannotListenError: The address is in use.
        """
        host, _, port = address.rpartition(":")
        self._hub.listen(host, int(port))
        self.roster.record_heartbeat(self._describe(), self._reactor.seconds())
        self.seed(seeds)

    def seed(self, addresses: typing.Iterable[str]) -> None:
        """Look for other instances at some addresses."""
        self._seeds = tuple(addresses)
        self._seeded_at = self._reactor.seconds()
        for address in self._seeds:
            self._hub.connect(address)

    def send(self, name: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance; return False if there is no stream to it.

        A stream is opened in that case, so that a later attempt may succeed.
        """
        member = self.roster.get(name)
        if member is None:
            return False
        self._known.record_use(name, self._reactor.seconds())
        if self._hub.send(member.peers, message):
            return True
        self._hub.connect(member.peers)
        return False

    def broadcast(self, message: typing.Any) -> None:
        """Send a message on every ready stream."""
        self._hub.broadcast(message)

    def beat(self) -> None:
        """Tell the others of this instance, and give up those that fell silent."""
        now = self._reactor.seconds()
        member = self._describe()
        self.roster.record_heartbeat(member, now)
        self._forget_dead()
        self._hub.keep(self._wanted(now))
        self._hub.broadcast(membership_messages.Heartbeat(member))
        for name, message in self._known.next_updates(now).items():
            receiver = self.roster.get(name)
            if receiver is not None:
                self._hub.send(receiver.peers, message)

    def visible_share(self, region: ids.Region) -> float:
        """Return the part of a region's instances that is live, of those known lately."""
        return self._known.visible_share(region, self._reactor.seconds())

    async def stop(self) -> None:
        """Close all streams."""
        await self._hub.stop()

    def _wanted(self, now: float) -> set[str]:
        """Return the addresses to keep streams to: those of relays, and seeds while alone."""
        wanted = set(self._known.stream_addresses(now))
        others = [m for m in self.roster.live(now) if m.name != self._own]
        if not others or now - self._seeded_at < _SEEDING_S:
            wanted.update(self._seeds)
        return wanted

    def _forget_dead(self) -> None:
        now = self._reactor.seconds()
        live = {member.name for member in self.roster.live(now)}
        for name in self._live - live:
            logs.warning("member-lost", member=name, reason="silent")
            self._known.remove(name, now)
            self._events.lost(name)
        if live != self._live:
            self._live = live
            self._events.changed()

    def _stream_lost(self, name: ids.InstanceId) -> None:
        """Take an instance whose stream ended for gone until it is heard again.

        A stream that carried no heartbeats lately was closed because nobody needed it.
        """
        now = self._reactor.seconds()
        if name == self._own or not self._known.has_direct_heartbeat(name, now):
            return
        self._known.remove(name, now)
        self._forget_dead()

    def _greet(self, address: str) -> None:
        """Introduce this instance on a new stream, with the others that it knows."""
        now = self._reactor.seconds()
        live = self.roster.live(now)
        for member in live:
            if member.peers == address:
                self._known.reset_updates(member.name)
        self._hub.send(address, membership_messages.Heartbeat(self._describe()))
        others = tuple(member for member in live if member.name != self._own)
        self._hub.send(address, membership_messages.RosterUpdate(others, (), True))

    def _received(self, sender: ids.InstanceId, message: typing.Any) -> None:
        if isinstance(message, membership_messages.Heartbeat):
            self._heard(message.member)
        elif isinstance(message, membership_messages.StreamClosing):
            self._known.record_stream_closing(sender)
        elif isinstance(message, membership_messages.RosterUpdate):
            self._told(sender, message)
        else:
            self._events.received(sender, message)

    def _heard(self, member: members.Member) -> None:
        now = self._reactor.seconds()
        before = self.roster.get(member.name)
        self._known.record_heartbeat(member, now)
        if before is None:
            # It may know nobody yet, so a stream to it is opened, on which it is greeted.
            self._known.record_use(member.name, now)
        self._noticed(before, member)

    def _told(self, sender: ids.InstanceId, message: membership_messages.RosterUpdate) -> None:
        """Take in what a relay, or an instance that was just met, knows of others."""
        now = self._reactor.seconds()
        before = {member.name: self.roster.get(member.name) for member in message.members}
        gone = self._known.apply_update(sender, message, now)
        for name in gone:
            logs.warning("member-lost", member=name, reason="relay")
        for member in message.members:
            if self.roster.get(member.name) == member:
                self._noticed(before[member.name], member)
        if gone:
            for name in gone:
                self._live.discard(name)
                self._events.lost(name)
            self._events.changed()

    def _noticed(self, before: members.Member | None, member: members.Member) -> None:
        """Tell of an instance that is new, has begun a new run, or has changed its phase."""
        if before is None or before.incarnation != member.incarnation:
            logs.event("member-seen", member=member.name, phase=member.phase)
            if before is not None:
                self._events.lost(member.name)
        self._live.add(member.name)
        if before is None:
            self._hub.keep(self._wanted(self._reactor.seconds()))
        if before is None or before.phase is not member.phase:
            self._events.changed()
