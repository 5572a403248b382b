"""Loopback proxy whose connections can be delayed, reset, silenced and cut one way."""

import enum
import typing

from twisted.internet import defer, protocol


class Mode(enum.Enum):
    """What a proxy does to the connections that go through it."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"
    REFUSE = "refuse"


_DELAY_S = 0.15


class _Outer(protocol.Protocol):
    """The side that the caller has opened."""

    def __init__(self, proxy: "Proxy") -> None:
        self._proxy = proxy
        self.inner: _Inner | None = None
        self._early: list[bytes] = []

    def connectionMade(self) -> None:
        if self._proxy.mode is Mode.REFUSE:
            self.transport.abortConnection()
            return
        self._proxy.open.add(self)
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _Inner(self)
        factory.clientConnectionFailed = lambda connector, reason: (
            self.transport.abortConnection()
        )
        self._proxy.reactor.connectTCP("127.0.0.1", self._proxy.target, factory, timeout=2)

    def dataReceived(self, data: bytes) -> None:
        if self._proxy.mode is Mode.SILENT:
            return
        if self.inner is None:
            self._early.append(data)
        else:
            self._proxy.forward(self.inner, data)

    def joined(self, inner: "_Inner") -> None:
        """Send on what came before the other side stood."""
        self.inner = inner
        for data in self._early:
            self._proxy.forward(inner, data)
        self._early.clear()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        self._proxy.open.discard(self)
        if self.inner is not None:
            self.inner.transport.abortConnection()

    def answered(self, data: bytes) -> None:
        """Send an answer back, unless answers are held up."""
        if self._proxy.mode not in (Mode.SILENT, Mode.NO_ANSWERS):
            self._proxy.forward(self, data)


class _Inner(protocol.Protocol):
    """The side to the target."""

    def __init__(self, outer: _Outer) -> None:
        self._outer = outer

    def connectionMade(self) -> None:
        self._outer.joined(self)

    def dataReceived(self, data: bytes) -> None:
        self._outer.answered(data)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        self._outer.transport.loseConnection()


class Proxy:
    """Forwards connections to a port.

    Args:
        reactor: The reactor.
        target: Port that it forwards to.

    Attributes:
        mode: What it does at present; may be changed at any time.
        open: Connections that go through it.
    """

    def __init__(self, reactor: typing.Any, target: int) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = Mode.PASS
        self.open: set[_Outer] = set()
        factory = protocol.ServerFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _Outer(self)
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1")

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self._port.getHost().port}"

    def forward(self, to: protocol.Protocol, data: bytes) -> None:
        """Write data to a side, late if connections are delayed."""
        delay_s = _DELAY_S if self.mode is Mode.DELAY else 0.0
        self.reactor.callLater(delay_s, self._write, to, data)

    def _write(self, to: protocol.Protocol, data: bytes) -> None:
        if to.connected:
            typing.cast(typing.Any, to.transport).write(data)

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.open):
            connection.transport.abortConnection()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await defer.maybeDeferred(self._port.stopListening)
        self.reset()
