"""Stand-in of a backend server on the platform: slots, work, and the ways in which it fails."""

import typing
from collections.abc import Callable

import attrs
from twisted.internet import interfaces, protocol

from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_connections

_LIMITS = routing.ClientLimits(idle_timeout_s=10.0)
_MAX_CONNECTIONS = 256
_MAX_HELD_OCTETS = 64 * 1024 * 1024

Answer = Callable[[http1.Response], None]


@attrs.define
class Behaviour:
    """How the stand-in works.

    Attributes:
        slots: Requests that it runs at once.
        work_s: Seconds that one takes.
        status: Status of its answers.
        raw: Octets sent in place of an answer, or None.
        reset: Whether it resets the connection in place of an answer.
        extra: Octets sent behind each answer.
        shed: Whether it says that it did not run the request.
        body: Body of its answers.
        echoes: Whether the body is the attempt's id instead.
    """

    slots: int = 4
    work_s: float = 0.01
    status: int = 200
    raw: bytes | None = None
    reset: bool = False
    extra: bytes = b""
    shed: bool = False
    body: bytes = b"served"
    echoes: bool = False


@attrs.define(eq=False)
class _Run:
    """A request that runs; implements `client_connections.Exchange`."""

    timer: typing.Any
    gone: Callable[[], None]

    def client_gone(self) -> None:
        """Stop the work."""
        if self.timer.active():
            self.timer.cancel()
            self.gone()


class PlatformBackend:
    """A backend server on a port.

    Args:
        reactor: Source of time and timers.
        name: Its id.

    Attributes:
        name: Its id.
        behaviour: How it works; may be changed at any time.
        ran: Ids of the requests that it began to work on.
        runs: The same, each with the monotonic time in seconds of its begin.
        cancelled: Requests whose connection closed while it worked.
        heads: Heads of all requests.
    """

    def __init__(self, reactor: typing.Any, name: str) -> None:
        self._reactor = reactor
        self.name = name
        self._connections: list[client_connections.ClientConnection] = []
        self.behaviour = Behaviour()
        self.ran: list[str] = []
        self.runs: list[tuple[str, float]] = []
        self.cancelled = 0
        self.heads: list[http1.RequestHead] = []

    def listen(self, host: str, port: int) -> interfaces.IListeningPort:
        """Listen on an address."""
        backend = self

        class Listener(client_connections.ClientListener):
            """Keeps the connections, so that an answer can be replaced by raw octets."""

            def buildProtocol(self, addr: typing.Any) -> protocol.Protocol | None:
                built = super().buildProtocol(addr)
                if isinstance(built, client_connections.ClientConnection):
                    backend._connections.append(built)
                return built

        listener = Listener(
            self._reactor, self._handle, lambda: _LIMITS, _MAX_CONNECTIONS, _MAX_HELD_OCTETS
        )
        return self._reactor.listenTCP(port, listener, interface=host)

    def abort(self) -> None:
        """Close all connections at once."""
        for connection in self._connections:
            if connection.connected:
                connection.abort()

    def _handle(
        self, inbound: client_connections.Inbound, answer: Answer
    ) -> client_connections.Exchange | None:
        head = inbound.head
        self.heads.append(head)
        expected = head.get(names.EXPECTED_SERVER)
        if expected is not None and expected != self.name:
            answer(self._reply(head, 421, b""))
            return None
        if self.behaviour.shed:
            shed = self._reply(head, 503, b"", ((names.NOT_EXECUTED.encode(), b"1"),))
            answer(shed)
            return None
        request = head.get(names.REQUEST_ID) or ""
        self.ran.append(request)
        self.runs.append((request, self._reactor.seconds()))
        timer = self._reactor.callLater(self.behaviour.work_s, self._end, head, answer)
        return _Run(timer, self._count_cancelled)

    def _count_cancelled(self) -> None:
        self.cancelled += 1

    def _end(self, head: http1.RequestHead, answer: Answer) -> None:
        behaviour = self.behaviour
        if behaviour.reset or behaviour.raw is not None:
            for connection in self._connections:
                if connection.connected and not connection.idle:
                    if behaviour.raw:
                        connection.transport.write(behaviour.raw)
                        connection.transport.loseConnection()
                    else:
                        connection.transport.abortConnection()
            return
        body = behaviour.body
        if behaviour.echoes:
            body = (head.get(names.REQUEST_ID) or "").encode()
        answer(self._reply(head, behaviour.status, body))
        if behaviour.extra:
            for connection in self._connections:
                if connection.connected:
                    connection.transport.write(behaviour.extra)

    def _reply(
        self,
        head: http1.RequestHead,
        status: int,
        body: bytes,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> http1.Response:
        request_id = (head.get(names.REQUEST_ID) or "").encode()
        told = (
            (names.REQUEST_ID.encode(), request_id),
            (names.SERVER_ID.encode(), self.name.encode()),
            (b"Server", b"standin"),
            *headers,
        )
        return http1.Response(status, b"Status", told, body)
