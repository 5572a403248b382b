"""Connections of clients: reads requests one at a time and writes whole answers."""

import typing
from collections.abc import Callable

import attrs
import h11
from twisted.internet import protocol

from carobhook import logs
from carobhook.protocol import http1
from carobhook.state import routing

# What may wait of requests that a client sent ahead of their turn.
_MAX_AHEAD_OCTETS = 64 * 1024
# Time for a client to read a refusal before the connection is reset under unread data.
_LINGER_S = 1.0
_REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@attrs.frozen
class Inbound:
    """A client's whole request.

    Attributes:
        head: Request line and headers.
        body: Body.
        client: Address of the client's host.
        began_at: Monotonic time in seconds at which its head was whole.
    """

    head: http1.RequestHead
    body: bytes
    client: str
    began_at: float


class Exchange(typing.Protocol):
    """What handles one request."""

    def client_gone(self) -> None:
        """Take note that the client has closed its connection."""


Handler = Callable[[Inbound, Callable[[http1.Response], None]], Exchange | None]


def own_answer(
    status: int, text: str = "", headers: tuple[tuple[bytes, bytes], ...] = ()
) -> http1.Response:
    """Return an answer that this instance gives by itself."""
    body = text.encode() + b"\n" if text else b""
    return http1.Response(status, _REASONS.get(status, b"OK"), headers, body)


class ClientConnection(protocol.Protocol):
    """One connection of a client."""

    def __init__(self, listener: "ClientListener") -> None:
        self._listener = listener
        self._reactor = listener.reactor
        self._pending = bytearray()
        self._parser: h11.Connection | None = None
        self._head: http1.RequestHead | None = None
        self._body: list[bytes] = []
        self._body_octets = 0
        self._began_at = 0.0
        self._exchange: Exchange | None = None
        self._busy = False
        self._closing = False
        self._timer: typing.Any = None
        self._head_timer = False
        self._with_body = True
        self._wants_close = False

    @property
    def idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return not self._busy and self._parser is None and not self._pending

    def connectionMade(self) -> None:
        """Begin to wait for the first request."""
        self.transport.setTcpNoDelay(True)
        self._listener.opened(self)
        self._wait(self._listener.limits().idle_timeout_s)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        """Tell who handles the present request that its client is gone."""
        self._stop_timer()
        self._release_body()
        self._listener.closed(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.client_gone()

    def dataReceived(self, data: bytes) -> None:
        """Take in octets of requests."""
        if self._closing:
            return
        if self._parser is not None:
            self._feed(data)
            return
        self._pending += data
        if self._busy:
            if len(self._pending) > _MAX_AHEAD_OCTETS:
                self.transport.pauseProducing()
            return
        self._read_head()

    def abort(self) -> None:
        """Close the connection at once."""
        self._closing = True
        self._stop_timer()
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close the connection unless it carries a request."""
        if self.idle:
            self.transport.loseConnection()

    def _read_head(self) -> None:
        """Begin with the next request when its head is whole."""
        limits = self._listener.limits()
        while self._pending[:2] == b"\r\n":
            del self._pending[:2]
        if not self._pending:
            return
        length = http1.head_length(self._pending)
        if length > limits.max_header_bytes or (
            not length and len(self._pending) > limits.max_header_bytes
        ):
            self._refuse(431, "request headers are too large")
            return
        if not length:
            if b"\n" in self._pending and b"\r\n" not in self._pending:
                self._refuse(400, "line ends must be CR LF")
            elif not self._head_timer:
                self._wait(limits.header_timeout_s, in_head=True)
            return
        data = bytes(self._pending)
        self._pending.clear()
        try:
            http1.check_head(data[:length])
        except http1.HeadError as problem:
            self._refuse(problem.status, str(problem))
            return
        self._stop_timer()
        self._began_at = self._reactor.seconds()
        self._parser = http1.request_parser()
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        """Give octets of the present request to its parser."""
        parser = typing.cast(h11.Connection, self._parser)
        try:
            parser.receive_data(data)
            while True:
                event = parser.next_event()
                if not self._take(event):
                    return
        except h11.RemoteProtocolError as problem:
            self._refuse(400, str(problem))

    def _take(self, event: typing.Any) -> bool:
        """Take in one event of the parser; tell whether to ask for the next."""
        if isinstance(event, h11.Request):
            self._head = http1.RequestHead(
                event.method, event.target, tuple(event.headers.raw_items())
            )
            limits = self._listener.limits()
            if http1.declared_length(self._head) > limits.max_body_bytes:
                self._refuse(413, "request body is too large")
                return False
            if (self._head.get("expect") or "").lower() == "100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._wait(self._listener.body_timeout_s)
            return True
        if isinstance(event, h11.Data):
            self._body_octets += len(event.data)
            if self._body_octets > self._listener.limits().max_body_bytes:
                self._refuse(413, "request body is too large")
                return False
            if not self._listener.hold(len(event.data)):
                self._body_octets -= len(event.data)
                self._refuse(503, "too many request bodies are waiting", retry=True)
                return False
            self._body.append(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            self._whole()
        return False

    def _whole(self) -> None:
        """Hand the whole request over."""
        parser = typing.cast(h11.Connection, self._parser)
        self._pending += parser.trailing_data[0]
        self._parser = None
        self._stop_timer()
        self._busy = True
        head = typing.cast(http1.RequestHead, self._head)
        peer = self.transport.getPeer()
        request = Inbound(head, b"".join(self._body), getattr(peer, "host", ""), self._began_at)
        self._body.clear()
        self._with_body = head.method != b"HEAD"
        self._wants_close = _wants_close(head, parser.their_http_version)
        exchange = self._listener.handler(request, self._answer)
        if self._busy:
            self._exchange = exchange

    def _answer(self, answer: http1.Response) -> None:
        """Write the answer of the present request; once for each."""
        if not self._busy or self.transport is None or not self.connected:
            return
        self._busy = False
        self._exchange = None
        self._release_body()
        closing = self._wants_close or self._listener.leaving
        self.transport.write(http1.encode_response(answer, self._with_body, closing))
        if closing:
            self._closing = True
            self.transport.loseConnection()
            return
        self._wait(self._listener.limits().idle_timeout_s)
        self.transport.resumeProducing()
        if self._pending:
            self._reactor.callLater(0, self._next)

    def _next(self) -> None:
        if self.connected and not self._busy and self._parser is None and not self._closing:
            self._read_head()

    def _refuse(self, status: int, text: str, retry: bool = False) -> None:
        """Answer a request that was not read whole, and close the connection."""
        self._closing = True
        self._parser = None
        self._release_body()
        self._body.clear()
        logs.event("request-unreadable", status=status, reason=text)
        headers = ((b"Retry-After", b"1"),) if retry else ()
        answer = own_answer(status, text, headers)
        self.transport.write(http1.encode_response(answer, True, True))
        self._stop_timer()
        self._timer = self._reactor.callLater(_LINGER_S, self.transport.loseConnection)

    def _release_body(self) -> None:
        self._listener.release(self._body_octets)
        self._body_octets = 0

    def _wait(self, delay_s: float, in_head: bool = False) -> None:
        self._stop_timer()
        self._head_timer = in_head
        self._timer = self._reactor.callLater(delay_s, self._overdue)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _overdue(self) -> None:
        if self.idle:
            self.transport.loseConnection()
        else:
            self._refuse(408, "the request did not arrive in time")


def _wants_close(head: http1.RequestHead, version: bytes | None) -> bool:
    tokens = {token.strip().lower() for token in (head.get("connection") or "").split(",")}
    if version == b"1.0":
        return "keep-alive" not in tokens
    return "close" in tokens


class ClientListener(protocol.Factory):
    """Owns the connections of clients.

    Args:
        reactor: Source of time and timers.
        handler: Called with each whole request and a function that answers it once.
        limits: Returns the bounds on clients in force.
        max_connections: Most connections at one time.
        max_held_octets: Most octets of request bodies at one time.

    Attributes:
        leaving: Whether each answer closes its connection.
    """

    noisy = False
    body_timeout_s = 30.0

    def __init__(
        self,
        reactor: typing.Any,
        handler: Handler,
        limits: Callable[[], routing.ClientLimits],
        max_connections: int,
        max_held_octets: int,
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.leaving = False
        self._max_connections = max_connections
        self._max_held_octets = max_held_octets
        self._held_octets = 0
        self._connections: set[ClientConnection] = set()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def buildProtocol(self, addr: typing.Any) -> protocol.Protocol | None:
        """Return the protocol of a new connection, or None to close one beyond the limit."""
        if len(self._connections) >= self._max_connections:
            logs.warning("connections-full", limit=self._max_connections)
            return None
        return ClientConnection(self)

    def opened(self, connection: ClientConnection) -> None:
        """Count a connection."""
        self._connections.add(connection)

    def closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    def hold(self, octets: int) -> bool:
        """Take room for a part of a body; tell whether there was room."""
        if self._held_octets + octets > self._max_held_octets:
            return False
        self._held_octets += octets
        return True

    def release(self, octets: int) -> None:
        """Give back the room of a body."""
        self._held_octets -= octets

    def abort(self) -> None:
        """Close all connections at once."""
        for connection in list(self._connections):
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in list(self._connections):
            connection.close_if_idle()
