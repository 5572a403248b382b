"""Stand-in of a backend server of the platform, with failures that tests switch on."""

import enum
import typing
from collections.abc import Callable

import attrs
from twisted.internet import interfaces, protocol

from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_connection, client_connections

_LIMITS = routing.ClientLimits(idle_timeout_s=10.0)
_MAX_CONNECTIONS = 256
_MAX_BUFFERED_BYTES = 64 * 1024 * 1024

# Delay of a copy that is sent whether or not another request has arrived by then.
_COPY_DELAY_S = 0.02

Respond = Callable[[http1.Response], None]


class CopyTiming(enum.Enum):
    """When the copy of a response is sent, on the connection of the response.

    AT_ONCE: Right behind the response.
    DELAYED: A moment later.
    WITH_NEXT: When the next request on the connection arrives, ahead of its response.
    """

    AT_ONCE = "at-once"
    DELAYED = "delayed"
    WITH_NEXT = "with-next"


@attrs.define
class Behaviour:
    """Settings of the stand-in's responses and failures.

    Attributes:
        slots: Number of requests that the server is said to run at once; not enforced.
        work_s: Seconds for which a request runs.
        status: Status of the responses.
        raw: Bytes sent in place of a response, or None. They are sent on every connection with
            an open request, which is then closed.
        reset: Whether, in place of a response, every connection with an open request is reset.
        extra: Bytes sent after each response, on every open connection.
        refusal_copies: When each refusal is sent a second time, or None for never.
        answer_copies: The same of the responses to requests that ran.
        shed: Whether requests are refused with 503 and the header `names.NOT_EXECUTED`.
        body: Body of the responses.
        echo_id: Whether the body is the id of the attempt instead of ``body``.
        limit: Value of the header `names.SERVER_LIMIT` of the responses, or None to send none;
            not enforced.
        is_leaving: Whether the responses have the header `names.SERVER_LEAVING`.
        retry_after: Value of the header `names.RETRY_AFTER` of refusals, or None to send none.
        fatal_target: Target of the requests that end the server when they have run for
            ``work_s``, whether or not their client still waits; None for no such requests.
        down_s: Seconds from the end of the server to its next start.
        health_target: Target of the health check, which the server answers and does not run;
            None if there is none.
    """

    slots: int = 4
    work_s: float = 0.01
    status: int = 200
    raw: bytes | None = None
    reset: bool = False
    extra: bytes = b""
    refusal_copies: CopyTiming | None = None
    answer_copies: CopyTiming | None = None
    shed: bool = False
    body: bytes = b"served"
    echo_id: bool = False
    limit: str | None = None
    is_leaving: bool = False
    retry_after: str | None = None
    fatal_target: bytes | None = None
    down_s: float = 1.5
    health_target: bytes | None = None


@attrs.define(eq=False)
class _RunningRequest:
    """A running request; implements `client_connections.ActiveRequest`."""

    timer: typing.Any
    on_cancel: Callable[[], None]
    is_fatal: bool = False

    def call_at_end(self, function: Callable[[], object]) -> None:
        """Call a function now, as the body is not needed any more."""
        function()

    def client_disconnected(self) -> None:
        """Cancel the request, unless it is one that ends the server."""
        if self.timer.active() and not self.is_fatal:
            self.timer.cancel()
            self.on_cancel()

    def stop(self) -> None:
        """Stop the request, as its server ends."""
        if self.timer.active():
            self.timer.cancel()


class _Connection(client_connection.ClientConnection):
    """A connection on which a response may be sent a second time."""

    def __init__(
        self,
        listener: client_connections.ClientListener,
        on_receive: Callable[["_Connection"], None],
    ) -> None:
        super().__init__(listener)
        self._on_receive = on_receive
        self._pending_copy = b""

    def dataReceived(self, data: bytes) -> None:
        """Send the copy that waits for the next request, and read the request."""
        copy, self._pending_copy = self._pending_copy, b""
        if copy:
            self.transport.write(copy)
        self._on_receive(self)
        super().dataReceived(data)

    def send_copy(self, response: http1.Response, timing: CopyTiming) -> None:
        """Send a response that was sent before once more."""
        copy = http1.encode_response(response, True, False)
        if timing is CopyTiming.WITH_NEXT:
            self._pending_copy += copy
        elif timing is CopyTiming.DELAYED:
            self._reactor.callLater(_COPY_DELAY_S, self._send_if_open, copy)
        else:
            self._send_if_open(copy)

    def _send_if_open(self, data: bytes) -> None:
        if self.connected:
            self.transport.write(data)


class PlatformBackend:
    """A backend server on a port.

    Args:
        reactor: Source of time and timers.
        name: Id of the server.

    Attributes:
        name: Id of the server.
        behaviour: Responses and failures; may be changed at any time.
        started_ids: Attempt ids of the requests that the server started to run.
        starts: The same ids, each with the monotonic time of its start in seconds.
        cancelled: Number of requests whose connection closed while they ran.
        heads: Heads of all requests received.
        received_at: Monotonic times in seconds at which they were received.
        ends: Monotonic times in seconds at which a request ended the server.
        on_end: Called when a request ends the server.
        on_restart: Called when it has started again after that.
    """

    def __init__(self, reactor: typing.Any, name: str) -> None:
        self._reactor = reactor
        self._port: typing.Any = None
        self._restart: typing.Any = None
        self._running: set[_RunningRequest] = set()
        self.name = name
        self._connections: list[_Connection] = []
        self._receiving: _Connection | None = None
        self.behaviour = Behaviour()
        self.started_ids: list[str] = []
        self.starts: list[tuple[str, float]] = []
        self.cancelled = 0
        self.heads: list[http1.RequestHead] = []
        self.received_at: list[float] = []
        self.ends: list[float] = []
        self.on_end: Callable[[], object] = lambda: None
        self.on_restart: Callable[[], object] = lambda: None

    def listen(self, host: str, port: int) -> interfaces.IListeningPort:
        """Listen on an address."""
        backend = self

        class Listener(client_connections.ClientListener):
            """Records the connections, so that raw bytes can be sent on them."""

            def buildProtocol(self, addr: typing.Any) -> protocol.Protocol | None:
                if super().buildProtocol(addr) is None:
                    return None
                connection = _Connection(self, backend._set_receiving)
                backend._connections.append(connection)
                return connection

        listener = Listener(
            self._reactor, self._handle, lambda: _LIMITS, _MAX_CONNECTIONS, _MAX_BUFFERED_BYTES
        )
        self._port = self._reactor.listenTCP(port, listener, interface=host)
        return self._port

    def abort(self) -> None:
        """Close all connections at once, and start no more after an end."""
        if self._restart is not None and self._restart.active():
            self._restart.cancel()
        elif self._restart is not None:
            # The port that `listen` returned first was closed by the server's end.
            self._port.stopListening()
        self._close_connections()

    def _close_connections(self) -> None:
        for connection in self._connections:
            if connection.connected:
                connection.abort()

    def crash(self) -> None:
        """End the server with all that it runs; it starts again after ``down_s``."""
        address = self._port.getHost()
        self.ends.append(self._reactor.seconds())
        for running in list(self._running):
            running.stop()
        self._port.stopListening()
        self._close_connections()
        self._restart = self._reactor.callLater(
            self.behaviour.down_s, self._start_again, address.host, address.port
        )
        self.on_end()

    def _start_again(self, host: str, port: int) -> None:
        self.listen(host, port)
        self.on_restart()

    def _set_receiving(self, connection: _Connection) -> None:
        self._receiving = connection

    def _copying(self, respond: Respond, is_refusal: bool) -> Respond:
        """Return a function that sends a response, and its copy if there is to be one."""
        connection = self._receiving

        def respond_and_copy(response: http1.Response) -> None:
            behaviour = self.behaviour
            timing = behaviour.refusal_copies if is_refusal else behaviour.answer_copies
            respond(response)
            if timing is not None and connection is not None:
                connection.send_copy(response, timing)

        return respond_and_copy

    def _handle(
        self, inbound: client_connections.ClientRequest, respond: Respond
    ) -> client_connections.ActiveRequest | None:
        head = inbound.head
        self.heads.append(head)
        self.received_at.append(self._reactor.seconds())
        expected = head.get(names.EXPECTED_SERVER)
        refuse = self._copying(respond, is_refusal=True)
        if expected is not None and expected != self.name:
            refuse(self._build_response(head, 421, b""))
            return None
        if self.behaviour.shed:
            headers = [(names.NOT_EXECUTED.encode(), b"1")]
            if self.behaviour.retry_after is not None:
                headers.append((b"Retry-After", self.behaviour.retry_after.encode()))
            refuse(self._build_response(head, 503, b"", tuple(headers)))
            return None
        if head.method == b"GET" and head.target == self.behaviour.health_target:
            respond(self._build_response(head, 503 if self.behaviour.is_leaving else 200, b""))
            return None
        respond = self._copying(respond, is_refusal=False)
        attempt_id = head.get(names.REQUEST_ID) or ""
        self.started_ids.append(attempt_id)
        self.starts.append((attempt_id, self._reactor.seconds()))
        is_fatal = head.target == self.behaviour.fatal_target
        timer = self._reactor.callLater(self.behaviour.work_s, self._finish, head, respond)
        running = _RunningRequest(timer, self._count_cancelled, is_fatal)
        self._running = {known for known in self._running if known.timer.active()} | {running}
        return running

    def _count_cancelled(self) -> None:
        self.cancelled += 1

    def _finish(self, head: http1.RequestHead, respond: Respond) -> None:
        """Send the response of a request, or the failure that ``behaviour`` sets."""
        behaviour = self.behaviour
        if head.target == behaviour.fatal_target:
            self.crash()
            return
        if behaviour.reset or behaviour.raw is not None:
            for connection in self._connections:
                if connection.connected and not connection.is_idle:
                    if behaviour.raw:
                        connection.transport.write(behaviour.raw)
                        connection.transport.loseConnection()
                    else:
                        connection.transport.abortConnection()
            return
        body = behaviour.body
        if behaviour.echo_id:
            body = (head.get(names.REQUEST_ID) or "").encode()
        respond(self._build_response(head, behaviour.status, body))
        if behaviour.extra:
            for connection in self._connections:
                if connection.connected:
                    connection.transport.write(behaviour.extra)

    def _build_response(
        self,
        head: http1.RequestHead,
        status: int,
        body: bytes,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> http1.Response:
        attempt_id = head.get(names.REQUEST_ID)
        if attempt_id is not None:
            headers += ((names.REQUEST_ID.encode(), attempt_id.encode()),)
        if self.behaviour.limit is not None:
            headers += ((names.SERVER_LIMIT.encode(), self.behaviour.limit.encode()),)
        if self.behaviour.is_leaving:
            headers += ((names.SERVER_LEAVING.encode(), b"1"),)
        all_headers = (
            (names.SERVER_ID.encode(), self.name.encode()),
            (b"Server", b"standin"),
            *headers,
        )
        return http1.Response(status, b"Status", all_headers, body)
