"""Connections to other instances on which requests are relayed, one at a time on each."""

import collections
import typing

from twisted.internet import defer, protocol

from carobhook.protocol import membership_messages, peer_codec, relay_messages
from carobhook.state import ids, members
from carobhook.transport import framed_protocol, peers, sockets

_CONNECT_TIMEOUT_S = 0.5
# An idle connection is closed after this time, before the other side closes it. That side waits
# for the first request for a shorter time.
_MAX_IDLE_S = 5.0
_MAX_UNUSED_S = 1.0


class RelayNotSentError(Exception):
    """The request was not sent to the other instance, so it has not run."""


class RelayLostError(Exception):
    """The other instance was lost after the request was sent to it, which may have run."""


class _RelayConnection(framed_protocol.FramedProtocol):
    """Authenticates itself to an instance, and then carries exchanges."""

    def __init__(
        self, reactor: typing.Any, identity: peers.Identity, on_ready: defer.Deferred
    ) -> None:
        super().__init__(reactor, peer_codec.CODEC)
        self._identity = identity
        self._on_ready: defer.Deferred | None = on_ready
        self._pending: defer.Deferred | None = None
        self._has_carried = False
        self.idle_since = 0.0
        self.is_open = True

    def may_be_reused(self, now: float) -> bool:
        """Return whether the connection is open and the other side still waits for a request.

        Args:
            now: Monotonic time in seconds.
        """
        max_idle_s = _MAX_IDLE_S if self._has_carried else _MAX_UNUSED_S
        return self.is_open and now - self.idle_since <= max_idle_s

    def connectionMade(self) -> None:
        if not self.is_open:
            # Nobody waits for it any more.
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)

    def handle_message(self, message: typing.Any) -> None:
        if isinstance(message, membership_messages.Challenge) and self._on_ready is not None:
            self.answer_challenge(self._identity, message)
            ready, self._on_ready = self._on_ready, None
            ready.callback(self)
        elif isinstance(message, relay_messages.RelayResponse) and self._pending is not None:
            self.idle_since = self._reactor.seconds()
            pending, self._pending = self._pending, None
            pending.callback(message)

    def exchange(self, request: relay_messages.RelayRequest) -> defer.Deferred:
        """Send a request; the result fires with `RelayResponse`.

        It fails with `RelayLostError`; cancelling it closes the connection.
        """
        self._pending = defer.Deferred(lambda _: self.abort())
        self._has_carried = True
        self.send(request)
        return self._pending

    def abort(self) -> None:
        """Close the connection at once, which makes the other instance cancel the request."""
        self.is_open = False
        self._on_ready = self._pending = None
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        self.is_open = False
        ready, self._on_ready = self._on_ready, None
        pending, self._pending = self._pending, None
        if ready is not None:
            ready.errback(RelayNotSentError(reason.getErrorMessage()))
        if pending is not None:
            pending.errback(RelayLostError(reason.getErrorMessage()))


class _RelayFactory(protocol.ClientFactory):
    """Creates one relay connection."""

    noisy = False

    def __init__(self, connection: _RelayConnection, on_ready: defer.Deferred) -> None:
        self._connection = connection
        self._on_ready = on_ready

    def buildProtocol(self, addr: typing.Any) -> _RelayConnection:
        return self._connection

    def clientConnectionFailed(self, connector: typing.Any, reason: typing.Any) -> None:
        if not self._on_ready.called:
            self._on_ready.errback(RelayNotSentError(reason.getErrorMessage()))


class RelayConnections:
    """Pool of relay connections, by instance.

    Args:
        reactor: Source of time, timers and connections.
        identity: Authenticates this instance to others.
        context: TLS context, None for plain TCP.
    """

    def __init__(
        self, reactor: typing.Any, identity: peers.Identity, context: typing.Any = None
    ) -> None:
        self._reactor = reactor
        self._identity = identity
        self._context = context
        self._idle: dict[ids.InstanceId, collections.deque[_RelayConnection]] = {}
        self._busy: dict[ids.InstanceId, set[_RelayConnection]] = {}

    async def open(self, peer: members.Member) -> _RelayConnection:
        """Return an idle connection to an instance, or a new one.

        Raises:
            RelayNotSentError: None could be opened.
        """
        idle = self._idle.get(peer.name)
        while idle:
            connection = idle.pop()
            if connection.may_be_reused(self._reactor.seconds()):
                return connection
            connection.abort()
        ready: defer.Deferred = defer.Deferred(lambda _: connection.abort())
        connection = _RelayConnection(self._reactor, self._identity, ready)
        host, _, port = peer.peers.rpartition(":")
        factory = _RelayFactory(connection, ready)
        sockets.connect(
            self._reactor, host, int(port), factory, self._context, _CONNECT_TIMEOUT_S
        )
        ready.addTimeout(2 * _CONNECT_TIMEOUT_S, self._reactor, _raise_timeout)
        return typing.cast(_RelayConnection, await ready)

    async def exchange(
        self,
        peer: ids.InstanceId,
        connection: _RelayConnection,
        request: relay_messages.RelayRequest,
    ) -> relay_messages.RelayResponse:
        """Send a request on a connection, and keep the connection for the next one.

        Raises:
            RelayLostError: The other instance was lost before it answered.
        """
        busy = self._busy.setdefault(peer, set())
        busy.add(connection)
        try:
            response = await connection.exchange(request)
        finally:
            busy.discard(connection)
        self.keep(peer, connection)
        return typing.cast(relay_messages.RelayResponse, response)

    def keep(self, peer: ids.InstanceId, connection: _RelayConnection) -> None:
        """Keep a connection for the next request."""
        if connection.is_open:
            connection.idle_since = self._reactor.seconds()
            self._idle.setdefault(peer, collections.deque()).append(connection)

    def close_idle(self, now: float) -> None:
        """Close the connections that have been idle for too long.

        Args:
            now: Monotonic time in seconds.
        """
        for name, idle in list(self._idle.items()):
            for connection in [c for c in idle if not c.may_be_reused(now)]:
                idle.remove(connection)
                connection.abort()
            if not idle:
                del self._idle[name]

    def remove_instance(self, name: ids.InstanceId) -> None:
        """Close all connections to an instance that is dead or was restarted."""
        for connection in self._idle.pop(name, ()):
            connection.abort()
        for connection in list(self._busy.pop(name, ())):
            connection.transport.abortConnection()

    def stop(self) -> None:
        """Close all connections."""
        for name in {*self._idle, *self._busy}:
            self.remove_instance(name)


def _raise_timeout(result: typing.Any, timeout_s: float) -> typing.NoReturn:
    raise RelayNotSentError(f"no connection within {timeout_s:g} s")
