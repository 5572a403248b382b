"""Connections of clients: reads one request at a time and writes complete responses."""

import typing
from collections.abc import Callable

import attrs
import h11
from twisted.internet import protocol

from carobhook import logs
from carobhook.protocol import http1
from carobhook.state import routing

# Reading from a client pauses when its buffered pipelined requests exceed this size. Otherwise,
# the buffer would grow as fast as the client sends.
_MAX_PIPELINED_BYTES = 64 * 1024
# Delay before a connection is closed after an error response. Closing a connection that has
# unread data resets it, and a client that has not read the response yet then never gets it.
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
class ClientRequest:
    """A complete request of a client.

    Attributes:
        head: Request line and headers.
        body: Request body.
        client: Address of the client's host.
        received_at: Monotonic time in seconds at which the head was complete.
    """

    head: http1.RequestHead
    body: bytes
    client: str
    received_at: float


class ActiveRequest(typing.Protocol):
    """A request that a handler has not responded to yet."""

    def client_disconnected(self) -> None:
        """Report that the client's connection was closed."""

    def call_at_end(self, function: Callable[[], object]) -> None:
        """Call a function when the request needs its body no more, which may be now.

        Work for it may go on after its client left, or was answered.
        """


Handler = Callable[[ClientRequest, Callable[[http1.Response], None]], ActiveRequest | None]


def local_response(
    status: int, text: str = "", headers: tuple[tuple[bytes, bytes], ...] = ()
) -> http1.Response:
    """Return a response that this process generates itself.

    Args:
        status: HTTP status.
        text: Text of the body, without the line end; empty for no body.
        headers: Headers of the response.
    """
    body = text.encode() + b"\n" if text else b""
    return http1.Response(status, _REASONS.get(status, b"OK"), headers, body)


class ClientConnection(protocol.Protocol):
    """One connection of a client."""

    def __init__(self, listener: "ClientListener") -> None:
        self._listener = listener
        self._reactor = listener.reactor
        self._buffer = bytearray()
        self._parser: h11.Connection | None = None
        self._head: http1.RequestHead | None = None
        self._body_chunks: list[bytes] = []
        self._body_size = 0
        self._received_at = 0.0
        self._active_request: ActiveRequest | None = None
        self._awaiting_response = False
        self._closing = False
        self._timer: typing.Any = None
        self._head_timer_started = False
        self._response_has_body = True
        self._close_requested = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or handled."""
        return not self._awaiting_response and self._parser is None and not self._buffer

    def connectionMade(self) -> None:
        """Register the connection and start its idle timer."""
        self.transport.setTcpNoDelay(True)
        self._listener.add_connection(self)
        self._start_timer(self._listener.limits().idle_timeout_s)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        """Remove the connection, and report the disconnect to its active request."""
        self._stop_timer()
        self._release_body()
        self._listener.remove_connection(self)
        active_request, self._active_request = self._active_request, None
        if active_request is not None:
            active_request.client_disconnected()

    def dataReceived(self, data: bytes) -> None:
        """Parse or buffer received bytes."""
        if self._closing:
            return
        if self._parser is not None:
            self._parse(data)
            return
        self._buffer += data
        if self._awaiting_response:
            if len(self._buffer) > _MAX_PIPELINED_BYTES:
                self.transport.pauseProducing()
            return
        self._read_head()

    def abort(self) -> None:
        """Close the connection at once."""
        self._closing = True
        self._stop_timer()
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close the connection if no request is being read or handled."""
        if self.is_idle:
            self.transport.loseConnection()

    def _read_head(self) -> None:
        """Start to parse the next request if its head is complete."""
        limits = self._listener.limits()
        while self._buffer[:2] == b"\r\n":
            del self._buffer[:2]
        if not self._buffer:
            return
        head_size = http1.head_length(self._buffer)
        if head_size > limits.max_header_bytes or (
            not head_size and len(self._buffer) > limits.max_header_bytes
        ):
            self._reject(431, "request headers are too large")
            return
        if not head_size:
            if b"\n" in self._buffer and b"\r\n" not in self._buffer:
                self._reject(400, "line ends must be CR LF")
            elif not self._head_timer_started:
                self._start_timer(limits.header_timeout_s, for_head=True)
            return
        data = bytes(self._buffer)
        self._buffer.clear()
        try:
            http1.check_head(data[:head_size])
        except http1.HeadError as error:
            self._reject(error.status, str(error))
            return
        self._stop_timer()
        self._received_at = self._reactor.seconds()
        self._parser = http1.request_parser()
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse received bytes of the current request."""
        parser = typing.cast(h11.Connection, self._parser)
        try:
            parser.receive_data(data)
            while True:
                event = parser.next_event()
                if not self._handle_event(event):
                    return
        except h11.RemoteProtocolError as error:
            self._reject(400, http1.error_text(error))

    def _handle_event(self, event: typing.Any) -> bool:
        """Handle an event of the parser; return whether to get the next one."""
        if isinstance(event, h11.Request):
            self._head = http1.RequestHead(
                event.method, event.target, tuple(event.headers.raw_items())
            )
            limits = self._listener.limits()
            if http1.declared_length(self._head) > limits.max_body_bytes:
                self._reject(413, "request body is too large")
                return False
            if (self._head.get("expect") or "").lower() == "100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._start_timer(self._listener.body_timeout_s)
            return True
        if isinstance(event, h11.Data):
            self._body_size += len(event.data)
            if self._body_size > self._listener.limits().max_body_bytes:
                self._reject(413, "request body is too large")
                return False
            if not self._listener.reserve_body(len(event.data)):
                self._body_size -= len(event.data)
                self._reject(503, "too many request bodies are waiting", retry=True)
                return False
            self._body_chunks.append(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            self._handle_request()
        return False

    def _handle_request(self) -> None:
        """Pass the complete request to the handler."""
        parser = typing.cast(h11.Connection, self._parser)
        self._buffer += parser.trailing_data[0]
        self._parser = None
        self._stop_timer()
        self._awaiting_response = True
        head = typing.cast(http1.RequestHead, self._head)
        peer = self.transport.getPeer()
        request = ClientRequest(
            head, b"".join(self._body_chunks), getattr(peer, "host", ""), self._received_at
        )
        self._body_chunks.clear()
        self._response_has_body = head.method != b"HEAD"
        self._close_requested = _is_close_requested(head, parser.their_http_version)
        active_request = self._listener.handler(request, self._respond)
        if self._awaiting_response:
            self._active_request = active_request

    def _respond(self, response: http1.Response) -> None:
        """Write the response to the current request.

        Nothing is written if there is no such request or the connection is closed.
        """
        if not self._awaiting_response or self.transport is None or not self.connected:
            return
        self._awaiting_response = False
        self._release_body()
        self._active_request = None
        close = self._close_requested or self._listener.closes_after_response
        self.transport.write(http1.encode_response(response, self._response_has_body, close))
        if close:
            self._closing = True
            self.transport.loseConnection()
            return
        self._start_timer(self._listener.limits().idle_timeout_s)
        self.transport.resumeProducing()
        if self._buffer:
            self._reactor.callLater(0, self._read_buffered)

    def _read_buffered(self) -> None:
        if (
            self.connected
            and not self._awaiting_response
            and self._parser is None
            and not self._closing
        ):
            self._read_head()

    def _reject(self, status: int, text: str, retry: bool = False) -> None:
        """Reject a request that was not read completely, and close the connection."""
        self._closing = True
        self._parser = None
        self._release_body()
        self._body_chunks.clear()
        logs.event("request-unreadable", status=status, reason=text)
        headers = ((b"Retry-After", b"1"),) if retry else ()
        response = local_response(status, text, headers)
        self.transport.write(http1.encode_response(response, True, True))
        self._stop_timer()
        self._timer = self._reactor.callLater(_LINGER_S, self.transport.loseConnection)

    def _release_body(self) -> None:
        """Release the memory of the body, at once or when the work for the request ends."""
        size, self._body_size = self._body_size, 0
        if self._active_request is None:
            self._listener.release_body(size)
        elif size:
            self._active_request.call_at_end(lambda: self._listener.release_body(size))

    def _start_timer(self, delay_s: float, for_head: bool = False) -> None:
        self._stop_timer()
        self._head_timer_started = for_head
        self._timer = self._reactor.callLater(delay_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_timeout(self) -> None:
        if self.is_idle:
            self.transport.loseConnection()
        else:
            self._reject(408, "the request did not arrive in time")


def _is_close_requested(head: http1.RequestHead, version: bytes | None) -> bool:
    """Return whether the client wants the connection closed after the response."""
    tokens = {token.strip().lower() for token in (head.get("connection") or "").split(",")}
    if version == b"1.0":
        return "keep-alive" not in tokens
    return "close" in tokens


class ClientListener(protocol.Factory):
    """Accepts and tracks the connections of clients.

    Args:
        reactor: Source of time and timers.
        handler: Called with each complete request and a function that responds to it once.
        limits: Returns the current limits on clients' requests and connections.
        max_connections: Maximum number of connections.
        max_buffered_bytes: Maximum size of all request bodies in memory, in bytes.

    Attributes:
        closes_after_response: Whether connections are closed after their next response.
        body_timeout_s: Maximum number of seconds from the head of a request to its end.
    """

    noisy = False
    body_timeout_s = 30.0

    def __init__(
        self,
        reactor: typing.Any,
        handler: Handler,
        limits: Callable[[], routing.ClientLimits],
        max_connections: int,
        max_buffered_bytes: int,
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.closes_after_response = False
        self._max_connections = max_connections
        self._max_buffered_bytes = max_buffered_bytes
        self._buffered_bytes = 0
        self._connections: set[ClientConnection] = set()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def buildProtocol(self, addr: typing.Any) -> protocol.Protocol | None:
        """Return the protocol of a new connection, or None to close it at the limit."""
        if len(self._connections) >= self._max_connections:
            logs.warning("connections-full", limit=self._max_connections)
            return None
        return ClientConnection(self)

    def add_connection(self, connection: ClientConnection) -> None:
        """Add an open connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def reserve_body(self, size: int) -> bool:
        """Reserve memory for a part of a request body; return False if the limit forbids it."""
        if self._buffered_bytes + size > self._max_buffered_bytes:
            return False
        self._buffered_bytes += size
        return True

    def release_body(self, size: int) -> None:
        """Release the memory reserved for a request body."""
        self._buffered_bytes -= size

    def abort(self) -> None:
        """Close all connections at once."""
        for connection in list(self._connections):
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or handled."""
        for connection in list(self._connections):
            connection.close_if_idle()
