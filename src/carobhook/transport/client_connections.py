"""Requests of clients, and the listener that accepts their connections."""

import typing
from collections.abc import Callable

import attrs
from twisted.internet import protocol

from carobhook import logs
from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_connection, client_memory, request_reader

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
        received_at: Monotonic time in seconds at which it was admitted with its head complete.
        is_pipelined: Whether it was started before all earlier requests on its connection were
            answered, as only requests that may be repeated are.
    """

    head: http1.RequestHead
    body: bytes
    client: str
    received_at: float
    is_pipelined: bool = False


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


def _never(head: http1.RequestHead) -> bool:
    return False


class ClientListener(protocol.Factory):
    """Accepts and tracks the connections of clients.

    Args:
        reactor: Source of time and timers.
        handler: Called with each complete request and a function that responds to it once.
        limits: Returns the current limits on clients' requests and connections.
        max_connections: Maximum number of connections.
        memory: Memory for request bodies and for responses that were not sent yet. Listeners
            may share it. A number of bytes limits that of this listener.

    Attributes:
        memory: Memory for request bodies and for responses that were not sent yet.
        is_repeatable: Returns whether a request may run more than once. Only such requests
            start while others on their connection are in progress.
        closes_when_answered: Whether no further requests start on connections with requests in
            progress, and the last response that these owe closes them.
        body_timeout_s: Maximum number of seconds from the head of a request to its end.
        max_started: Maximum number of requests in progress on a connection.
        on_body_refused: Called with the limit when a body was refused for lack of memory.
        on_dropped: Called when a connection has ended and bytes of its client were dropped.
    """

    noisy = False
    body_timeout_s = 30.0
    max_started = 8

    def __init__(
        self,
        reactor: typing.Any,
        handler: Handler,
        limits: Callable[[], routing.ClientLimits],
        max_connections: int,
        memory: client_memory.ClientMemory | int,
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.closes_when_answered = False
        if isinstance(memory, int):
            memory = client_memory.ClientMemory(memory, memory)
        self.memory = memory
        self.is_repeatable: Callable[[http1.RequestHead], bool] = _never
        self.on_body_refused: Callable[[client_memory.Bound], object] = lambda bound: None
        self.on_dropped: Callable[[], object] = lambda: None
        self._max_connections = max_connections
        self._connections: set[client_connection.ClientConnection] = set()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def blocked_connections(self) -> int:
        """Return the number of connections whose responses wait for the client to read."""
        return sum(connection.is_blocked for connection in self._connections)

    def buildProtocol(self, addr: typing.Any) -> protocol.Protocol | None:
        """Return the protocol of a new connection, or None to close it at the limit."""
        if len(self._connections) >= self._max_connections:
            logs.warning("connections-full", limit=self._max_connections)
            return None
        return client_connection.ClientConnection(self)

    def add_connection(self, connection: client_connection.ClientConnection) -> None:
        """Add an open connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: client_connection.ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def start(
        self,
        received: request_reader.ReceivedRequest,
        client: str,
        is_pipelined: bool,
        respond: Callable[[http1.Response], None],
    ) -> ActiveRequest | None:
        """Pass a complete request to the handler.

        Args:
            received: The request.
            client: Address of its client.
            is_pipelined: Whether earlier requests on its connection are not answered yet.
            respond: Takes the response.
        """
        request = ClientRequest(
            received.head, received.body, client, received.received_at, is_pipelined
        )
        return self.handler(request, respond)

    def refuse(self, error: request_reader.ReadError, client: str) -> http1.Response:
        """Record that a request cannot be read, and return the response to its client."""
        logs.event("request-unreadable", status=error.status, reason=str(error))
        headers: tuple[tuple[bytes, bytes], ...] = ()
        if error.bound is not None:
            headers = ((b"Retry-After", b"1"),)
            self._record_refused_body(client, error.bound, error.size)
        return local_response(error.status, str(error), headers)

    def record_dropped(self, client: str, size: int, lasted_s: float) -> None:
        """Record that bytes of a client were dropped, as its connection was ending.

        Args:
            client: Address of the client.
            size: Number of the bytes, of requests that were not started.
            lasted_s: Seconds from the decision to end the connection to its end.
        """
        logs.event(
            "client-bytes-dropped",
            client=client,
            bytes=size,
            lasted_ms=round(lasted_s * 1000, 1),
        )
        self.on_dropped()

    def abort(self) -> None:
        """Close all connections at once."""
        for connection in list(self._connections):
            connection.abort()

    def stop_reading(self) -> None:
        """Read no more from clients; what they send from now on counts as not received."""
        for connection in list(self._connections):
            connection.stop_reading()

    def end(self) -> None:
        """Close all connections; one whose client has more to read is closed at once."""
        for connection in list(self._connections):
            connection.end()

    def close_idle(self) -> None:
        """Close the connections that are settled; see `ClientConnection.is_settled`.

        What the system has received by now is read before that, and its connection stays open.
        """
        now = self.reactor.seconds()
        settled = [connection for connection in self._connections if connection.is_settled(now)]
        if settled:
            self.reactor.callLater(0, self._close_settled, settled)

    def _close_settled(self, settled: list[client_connection.ClientConnection]) -> None:
        now = self.reactor.seconds()
        for connection in settled:
            connection.close_if_settled(now)

    def _record_refused_body(self, client: str, bound: client_memory.Bound, size: int) -> None:
        """Record that a request body was refused, as it does not fit into the memory."""
        logs.event(
            "body-refused",
            client=client,
            bound=bound.value,
            bytes=size,
            held=self.memory.held_bytes,
            held_for_client=self.memory.held_for(client),
        )
        self.on_body_refused(bound)
