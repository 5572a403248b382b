"""Loopback TCP proxy that can delay, drop, refuse and reset connections."""

import enum
import socket
import typing

from twisted.internet import defer, protocol


class Mode(enum.Enum):
    """Treatment of the connections through a proxy.

    PASS: Forwards all data.
    DELAY: Forwards all data late.
    SILENT: Drops data in both directions; connections stay open.
    NO_ANSWERS: Drops the data from the target only.
    REFUSE: Aborts new connections.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"
    REFUSE = "refuse"


_DELAY_S = 0.15
_HOST = "127.0.0.1"
# A listening socket with the smallest backlog takes this many connections that nobody accepts;
# the system drops the packets that open further ones.
_QUEUED_CONNECTIONS = 2


class _CallerConnection(protocol.Protocol):
    """Connection from the caller."""

    def __init__(self, proxy: "Proxy", host: str) -> None:
        self._proxy = proxy
        self.host = host
        self.is_silent = False
        self.target: _TargetConnection | None = None
        self._buffered: list[bytes] = []

    def connectionMade(self) -> None:
        if self._mode is Mode.REFUSE:
            self.transport.abortConnection()
            return
        self._proxy.connections.add(self)
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _TargetConnection(self)
        factory.clientConnectionFailed = lambda connector, reason: (
            self.transport.abortConnection()
        )
        self._proxy.reactor.connectTCP(_HOST, self._proxy.target_port, factory, timeout=2)

    def dataReceived(self, data: bytes) -> None:
        if self._mode is Mode.SILENT:
            return
        if self.target is None:
            self._buffered.append(data)
        else:
            self._proxy.forward(self.target, data)

    def target_connected(self, target: "_TargetConnection") -> None:
        """Forward the data that arrived before the connection to the target was open."""
        self.target = target
        for data in self._buffered:
            self._proxy.forward(target, data)
        self._buffered.clear()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        self._proxy.connections.discard(self)
        if self.target is not None:
            self.target.transport.abortConnection()

    def forward_to_caller(self, data: bytes) -> None:
        """Forward data from the target to the caller unless the mode drops it."""
        if self._mode not in (Mode.SILENT, Mode.NO_ANSWERS):
            self._proxy.forward(self, data)

    @property
    def _mode(self) -> Mode:
        return Mode.SILENT if self.is_silent else self._proxy.mode_of(self.host)


class _TargetConnection(protocol.Protocol):
    """Connection to the target."""

    def __init__(self, caller: _CallerConnection) -> None:
        self._caller = caller

    def connectionMade(self) -> None:
        self._caller.target_connected(self)

    def dataReceived(self, data: bytes) -> None:
        self._caller.forward_to_caller(data)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        self._caller.transport.loseConnection()


class Proxy:
    """Forwards connections to a port.

    Args:
        reactor: The reactor.
        target_port: Loopback port that it forwards to.

    Attributes:
        mode: Treatment of connections; may be changed at any time.
        caller_modes: Treatment of the connections from single hosts; goes before ``mode``.
        connections: Open connections from callers.
    """

    def __init__(self, reactor: typing.Any, target_port: int) -> None:
        self.reactor = reactor
        self.target_port = target_port
        self.mode = Mode.PASS
        self.caller_modes: dict[str, Mode] = {}
        self.connections: set[_CallerConnection] = set()
        factory = protocol.ServerFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _CallerConnection(self, address.host)
        self._factory = factory
        self._port = reactor.listenTCP(0, factory, interface=_HOST)
        self._number = self._port.getHost().port
        self._full_sockets: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Return the address on which the proxy listens."""
        return f"{_HOST}:{self._number}"

    def mode_of(self, host: str) -> Mode:
        """Return the treatment of the connections from a host."""
        return self.caller_modes.get(host, self.mode)

    def close(self) -> None:
        """Accept no connections, and abort all, as the target has ended."""
        self._port.stopListening()
        self.reset()

    def reopen(self) -> None:
        """Accept connections again."""
        self._port = self.reactor.listenTCP(self._number, self._factory, interface=_HOST)

    async def cut_off(self) -> None:
        """Drop all further data on open connections, and leave new ones without an answer."""
        for connection in self.connections:
            connection.is_silent = True
        await defer.maybeDeferred(self._port.stopListening)
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((_HOST, self._number))
        listening.listen(0)
        self._full_sockets = [listening]
        for _ in range(_QUEUED_CONNECTIONS):
            queued = socket.socket()
            queued.setblocking(False)
            queued.connect_ex((_HOST, self._number))
            self._full_sockets.append(queued)

    def end_cut_off(self) -> None:
        """Answer again; the connections that were open before stay silent."""
        for each in self._full_sockets:
            each.close()
        self._full_sockets = []
        self.reopen()

    def silence_caller(self, host: str) -> None:
        """Drop all further data on the open connections from a host, for good."""
        for connection in self.connections:
            if connection.host == host:
                connection.is_silent = True

    def reset_caller(self, host: str) -> None:
        """Abort all connections from a host."""
        for connection in [c for c in self.connections if c.host == host]:
            connection.transport.abortConnection()

    def forward(self, receiver: protocol.Protocol, data: bytes) -> None:
        """Write data to a connection, with a delay in mode DELAY."""
        delay_s = _DELAY_S if self.mode is Mode.DELAY else 0.0
        self.reactor.callLater(delay_s, self._write, receiver, data)

    def _write(self, receiver: protocol.Protocol, data: bytes) -> None:
        if receiver.connected:
            typing.cast(typing.Any, receiver.transport).write(data)

    def reset(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for each in self._full_sockets:
            each.close()
        await defer.maybeDeferred(self._port.stopListening)
        self.reset()
