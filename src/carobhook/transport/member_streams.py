"""Knows the other instances: heartbeats, streams, and who has gone."""

import typing
from collections.abc import Callable

import attrs

from carobhook import logs
from carobhook.coordination import membership
from carobhook.protocol import greetings, peer_codec
from carobhook.state import ids, members
from carobhook.transport import peers

_DEAD_AFTER_S = 1.4


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
        self.roster = membership.Membership(identity.name, _DEAD_AFTER_S)
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
        self.roster.heard(self._describe(), self._reactor.seconds())
        self.connect(seeds)

    def connect(self, addresses: typing.Iterable[str]) -> None:
        """Keep streams to some addresses."""
        for address in addresses:
            self._hub.connect(address)

    def send(self, name: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance; return False if there is no stream to it."""
        member = self.roster.get(name)
        return member is not None and self._hub.send(member.peers, message)

    def broadcast(self, message: typing.Any) -> None:
        """Send a message on every ready stream."""
        self._hub.broadcast(message)

    def beat(self) -> None:
        """Tell the others of this instance, and give up those that fell silent."""
        member = self._describe()
        self.roster.heard(member, self._reactor.seconds())
        self._forget_dead()
        self._hub.broadcast(greetings.Heartbeat(member, (member.peers,)))

    async def stop(self) -> None:
        """Close all streams."""
        await self._hub.stop()

    def _forget_dead(self) -> None:
        live = {member.name for member in self.roster.live(self._reactor.seconds())}
        for name in self._live - live:
            logs.warning("member-lost", member=name, reason="silent")
            self._events.lost(name)
        if live != self._live:
            self._live = live
            self._events.changed()

    def _stream_lost(self, name: ids.InstanceId) -> None:
        """Take an instance whose stream ended for gone until it is heard again."""
        if self.roster.get(name) is None or name == self._own:
            return
        self.roster.lost(name)
        self._forget_dead()

    def _greet(self, address: str) -> None:
        self._hub.send(address, greetings.Heartbeat(self._describe(), self._hub.known))

    def _received(self, sender: ids.InstanceId, message: typing.Any) -> None:
        if isinstance(message, greetings.Heartbeat):
            self._heard(message)
        else:
            self._events.received(sender, message)

    def _heard(self, beat: greetings.Heartbeat) -> None:
        member = beat.member
        before = self.roster.get(member.name)
        self.roster.heard(member, self._reactor.seconds())
        self.connect((member.peers, *beat.known_peers))
        if before is None or before.incarnation != member.incarnation:
            logs.event("member-seen", member=member.name, phase=member.phase)
            if before is not None:
                self._events.lost(member.name)
        self._live.add(member.name)
        if before is None or before.phase is not member.phase:
            self._events.changed()
