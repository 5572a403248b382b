"""Connections to servers: each carries one exchange at a time and is reused for the next."""

import collections
import enum
import re
import typing
from collections.abc import Callable

import attrs
import h11
from twisted.internet import defer, error, protocol

from carobhook.protocol import http1, path_messages
from carobhook.state import allocation
from carobhook.transport import response_memory

# A server closes an idle connection after the timeout that it announces, and a request that is
# on its way at that moment is lost. A connection is therefore not reused once less than this is
# left of the timeout.
_KEEP_ALIVE_MARGIN_S = 1.0
# Maximum idle time of a connection that is reused, if the server announces no shorter timeout.
_MAX_IDLE_S = 4.0
# A middlebox can drop the state of an idle connection, which is noticed only when a request on
# that connection is lost. A request that must not run twice could not be retried then, so it
# uses only connections that were idle for at most this long.
_MAX_FRESH_IDLE_S = 1.0
# Memory that the bodies of all responses which are being received may use together, unless
# stated otherwise. A single body may use all of it.
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Bytes of an exchange that are no part of the response's body: heads, interim responses,
# responses to other requests and the framing of chunks. A server that sends more does not send
# a response.
_MAX_OTHER_BYTES = 1024 * 1024
# Chunks of one byte have five bytes of framing, which do not count toward that limit.
_FRAMING_PER_BODY_BYTE = 5
_KEEP_ALIVE_PATTERN = re.compile(r"timeout=(\d+)")


ResponseMatcher = Callable[[http1.Response], allocation.ResponseMatch]


def _match_any(response: http1.Response) -> allocation.ResponseMatch:
    return allocation.ResponseMatch.UNKNOWN


def _may_always_send() -> bool:
    return True


def _ignore_data() -> None:
    return None


class Fault(enum.Enum):
    """How an exchange with a server failed.

    CONNECT: No connection could be opened, so the request was not sent.
    NO_PATH: The same, at an instance that seems to be cut from all servers, so that it says
        nothing about this server.
    NO_RELAY: The same, where other instances could not tell whether they reach the server, so
        that it says nothing about this server either.
    WITHDRAWN: When the connection was open, the request might not be sent to this server any
        more, so it was not. After any other fault, the request may have run.
    SILENT: The request was sent, and then the path to the server broke.
    RESET: The connection was closed before the head of a response arrived.
    GARBLED: The response is invalid or too large, or belongs to another request.
    CUT_SHORT: The connection was closed before the response was complete.
    """

    CONNECT = "connect"
    NO_PATH = "no-path"
    NO_RELAY = "no-relay"
    WITHDRAWN = "withdrawn"
    SILENT = "silent"
    RESET = "reset"
    GARBLED = "garbled"
    CUT_SHORT = "cut-short"


class ExchangeError(Exception):
    """An exchange with a server failed without a complete response.

    Attributes:
        fault: Kind of the failure.
        reused: Whether the connection had carried an exchange before.
        response_started: Whether the head of a response had arrived.
        is_relayed: Whether the request went through another instance, whose path to the server
            may be at fault.
    """

    def __init__(
        self,
        fault: Fault,
        text: str,
        reused: bool,
        response_started: bool,
        is_relayed: bool = False,
    ) -> None:
        super().__init__(f"{fault.value}: {text}")
        self.fault = fault
        self.reused = reused
        self.response_started = response_started
        self.is_relayed = is_relayed


@attrs.frozen
class ReceivedResponse:
    """A complete response.

    Attributes:
        response: Response with its end-to-end headers.
        raw_headers: All headers, including hop-by-hop ones.
        closing: Whether the connection is closed after this response.
        reused: Whether the connection had carried an exchange before.
        is_relayed: Whether it came through another instance.
    """

    response: http1.Response
    raw_headers: http1.Headers
    closing: bool
    reused: bool = False
    is_relayed: bool = False


class _ServerConnection(protocol.Protocol):
    """One connection to a server."""

    def __init__(
        self, seconds: Callable[[], float], memory: response_memory.ResponseMemory
    ) -> None:
        self._seconds = seconds
        self._memory = memory
        self._parser: h11.Connection | None = None
        self._pending: defer.Deferred | None = None
        self._response_head: typing.Any = None
        self._body_chunks: list[bytes] = []
        self._body_size = 0
        self._received_size = 0
        self._match: ResponseMatcher = _match_any
        self._on_data: Callable[[], object] = _ignore_data
        # Whether the last response named its request.
        self._was_named = False
        self._method = b"GET"
        self._had_unmatched_response = False
        self.exchange_count = 0
        self.idle_since = seconds()
        self.idle_limit_s = _MAX_IDLE_S
        self.is_reusable = True

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def exchange(
        self,
        head: http1.RequestHead,
        body: bytes,
        match: ResponseMatcher,
        on_data: Callable[[], object] = _ignore_data,
    ) -> defer.Deferred:
        """Send a request.

        The result fires with `ReceivedResponse` or fails with `ExchangeError`; cancelling it
        closes the connection.
        """
        self._match = match
        self._on_data = on_data
        self._method = head.method
        self._received_size = 0
        self._expect_response()
        self._pending = defer.Deferred(lambda _: self.abort())
        self.exchange_count += 1
        self.transport.write(http1.encode_request(head, body))
        return self._pending

    def _expect_response(self) -> h11.Connection:
        """Return a new parser for the next response, which is also the parser in use now."""
        parser = self._parser = http1.response_parser()
        # The parser only needs the method; `http1.encode_request` encodes the actual request.
        request = h11.Request(method=self._method, target="/", headers=[("Host", "x")])
        parser.send(request)
        parser.send(h11.EndOfMessage())
        self._response_head = None
        self._clear_body()
        return parser

    def _clear_body(self) -> None:
        self._body_chunks = []
        self._body_size = 0
        self._memory.release(self)

    def _forget_request(self) -> None:
        """Drop what refers to the request, which would stay in memory with its body."""
        self._match, self._on_data = _match_any, _ignore_data

    def abort(self) -> None:
        """Close the connection at once, which makes the server cancel a running request."""
        self.is_reusable = False
        self._parser = None
        self._pending = None
        self._forget_request()
        self._clear_body()
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self._parser is None:
            # There is no request that this data can respond to.
            self.abort()
            return
        self._received_size += len(data)
        self._on_data()
        try:
            self._parser.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as failure:
            self._fail(Fault.GARBLED, str(failure))
            return
        other_size = self._received_size - self._body_size * (1 + _FRAMING_PER_BODY_BYTE)
        if self._parser is not None and other_size > _MAX_OTHER_BYTES:
            self._fail(Fault.GARBLED, "too many bytes besides the body of an answer")

    def fail_too_large(self) -> None:
        """Fail the exchange, because its response needs too much memory."""
        self._fail(Fault.GARBLED, "answer is too large")

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        self.is_reusable = False
        if self._pending is None or self._parser is None:
            return
        if reason.check(error.ConnectionDone) and self._response_head is not None:
            try:
                self._parser.receive_data(b"")
                self._process_events()
            except h11.RemoteProtocolError as failure:
                self._fail(Fault.CUT_SHORT, str(failure))
                return
        if self._pending is not None:
            fault = Fault.RESET if self._response_head is None else Fault.CUT_SHORT
            self._fail(fault, reason.getErrorMessage())

    def _process_events(self) -> None:
        while self._parser is not None:
            event = self._parser.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self._response_head = event
            elif isinstance(event, h11.Data):
                self._body_size += len(event.data)
                self._body_chunks.append(bytes(event.data))
                self._memory.reserve(self, len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete_response()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(Fault.RESET, "closed without an answer")
                return

    def _complete_response(self) -> None:
        parser, self._parser = typing.cast(h11.Connection, self._parser), None
        extra, at_eof = parser.trailing_data
        raw_headers = tuple(self._response_head.headers.raw_items())
        response = http1.Response(
            self._response_head.status_code,
            self._response_head.reason,
            http1.end_to_end_headers(raw_headers),
            b"".join(self._body_chunks),
        )
        close = bool(extra) or at_eof or parser.their_state is not h11.DONE
        match = self._match(response)
        if match is allocation.ResponseMatch.UNNAMED and self._was_named:
            # The server names requests, so this may be a late copy of an earlier response.
            self._fail(Fault.GARBLED, "the answer names no request")
            return
        if match is allocation.ResponseMatch.OTHER:
            # This is a surplus response to an earlier request. The response to the current
            # request may follow it.
            self._had_unmatched_response = True
            if at_eof or parser.their_state is not h11.DONE:
                self._fail(Fault.GARBLED, "the answer belongs to another request")
                return
            parser = self._expect_response()
            if extra:
                parser.receive_data(extra)
            return
        if match is not allocation.ResponseMatch.UNKNOWN:
            self._was_named = match is allocation.ResponseMatch.NAMED
        close = close or self._had_unmatched_response
        self._clear_body()
        self.idle_since = self._seconds()
        self.idle_limit_s = _idle_limit_s(raw_headers)
        self.is_reusable = self.is_reusable and not close
        pending, self._pending = self._pending, None
        self._forget_request()
        if close and self.transport is not None:
            self.transport.loseConnection()
        if pending is not None:
            reused = self.exchange_count > 1
            pending.callback(ReceivedResponse(response, raw_headers, close, reused))

    def _fail(self, fault: Fault, text: str) -> None:
        pending, response_started = self._pending, self._response_head is not None
        self.abort()
        if pending is not None:
            pending.errback(
                ExchangeError(fault, text, self.exchange_count > 1, response_started)
            )


def _idle_limit_s(headers: http1.Headers) -> float:
    """Return the number of seconds for which a connection may be idle and still be reused."""
    for name, value in headers:
        if name.lower() == b"keep-alive":
            match = _KEEP_ALIVE_PATTERN.search(value.decode("latin-1"))
            if match is not None:
                return min(_MAX_IDLE_S, max(0.0, int(match[1]) - _KEEP_ALIVE_MARGIN_S))
    return _MAX_IDLE_S


class ServerConnections:
    """Pool of connections to servers.

    Args:
        reactor: Source of time, timers and connections.
        connect_timeout_s: Seconds after which opening a connection fails.
        max_response_bytes: Largest size of all response bodies that are being received.
        local_host: Local IP address of the connections; empty for any.
    """

    def __init__(
        self,
        reactor: typing.Any,
        connect_timeout_s: float,
        max_response_bytes: int = _MAX_RESPONSE_BYTES,
        local_host: str = "",
    ) -> None:
        self._reactor = reactor
        self._local_address = (local_host, 0) if local_host else None
        self._memory = response_memory.ResponseMemory(max_response_bytes)
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, collections.deque[_ServerConnection]] = {}
        self._opened_count = 0

    @property
    def opened_count(self) -> int:
        """Return the number of connections opened since the start."""
        return self._opened_count

    async def exchange(
        self,
        address: str,
        head: http1.RequestHead,
        body: bytes,
        require_fresh: bool,
        match: ResponseMatcher = _match_any,
        may_send: Callable[[], bool] = _may_always_send,
        on_data: Callable[[], object] = _ignore_data,
    ) -> ReceivedResponse:
        """Send a request to a server and return its complete response.

        Args:
            address: ``host:port`` of the server.
            head: Request line and headers, without Content-Length.
            body: Request body.
            require_fresh: Whether to use only a new connection or one that was idle only
                briefly, as for a request that must not run twice.
            match: Returns whether a response belongs to this request.
            may_send: Returns whether the request may still be sent; called right before that,
                as opening a connection takes time.
            on_data: Called when a part of the response arrives.

        Raises:
            ExchangeError: The exchange failed without a complete response.
            twisted.internet.defer.CancelledError: The exchange was cancelled; the connection
                is closed.
        """
        connection = self._pop_idle(address, require_fresh) or await self._connect(address)
        if not may_send():
            self._keep_idle(address, connection)
            raise ExchangeError(Fault.WITHDRAWN, "not sent", False, False)
        received = await connection.exchange(head, body, match, on_data)
        self._keep_idle(address, connection)
        return received

    def has_fresh(self, address: str) -> bool:
        """Return whether there is an idle connection that worked a moment ago.

        One that was opened and carried nothing says nothing of the path.
        """
        now = self._reactor.seconds()
        used = [c for c in self._idle.get(address, ()) if c.exchange_count]
        return any(_is_within_idle_limit(c, now, _MAX_FRESH_IDLE_S) for c in used)

    async def probe(self, address: str) -> bool:
        """Return whether a server accepts a connection, which is then kept for requests.

        Args:
            address: ``host:port`` of the server.
        """
        try:
            connection = await self._connect(address)
        except ExchangeError:
            return False
        self._keep_idle(address, connection)
        return connection.is_reusable

    async def probe_response(
        self,
        address: str,
        build_head: Callable[[], http1.RequestHead | None],
        timeout_s: float,
    ) -> path_messages.Reach:
        """Return whether a server responds on a new connection, which is then kept.

        Args:
            address: ``host:port`` of the server.
            build_head: Returns the head of the request, or None if the server may not get any;
                called right before it is sent, as opening a connection takes time.
            timeout_s: Seconds in which the connection must open and the response arrive.
        """
        probing = defer.ensureDeferred(self._probe_response(address, build_head))
        probing.addTimeout(timeout_s, self._reactor)
        try:
            return typing.cast(path_messages.Reach, await probing)
        except (ExchangeError, defer.TimeoutError):
            return path_messages.Reach.UNREACHED

    async def _probe_response(
        self, address: str, build_head: Callable[[], http1.RequestHead | None]
    ) -> path_messages.Reach:
        connection = await self._connect(address)
        head = build_head()
        if head is None:
            self._keep_idle(address, connection)
            return path_messages.Reach.UNKNOWN
        await connection.exchange(head, b"", _match_any)
        self._keep_idle(address, connection)
        return path_messages.Reach.REACHED

    def _keep_idle(self, address: str, connection: _ServerConnection) -> None:
        if connection.is_reusable:
            self._idle.setdefault(address, collections.deque()).append(connection)

    def close_idle(self, now: float) -> None:
        """Close the connections that were idle for too long to be reused.

        Args:
            now: Monotonic time in seconds.
        """
        for address, idle in list(self._idle.items()):
            kept = collections.deque(
                c for c in idle if _is_within_idle_limit(c, now, c.idle_limit_s)
            )
            for connection in set(idle) - set(kept):
                connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def stop(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.discard_idle(address)

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def _pop_idle(self, address: str, require_fresh: bool) -> _ServerConnection | None:
        now = self._reactor.seconds()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            max_idle_s = connection.idle_limit_s
            if require_fresh:
                max_idle_s = min(max_idle_s, _MAX_FRESH_IDLE_S)
            if _is_within_idle_limit(connection, now, max_idle_s):
                return connection
            connection.abort()
        return None

    async def _connect(self, address: str) -> _ServerConnection:
        host, _, port = address.rpartition(":")
        creator = protocol.ClientCreator(
            self._reactor, _ServerConnection, self._reactor.seconds, self._memory
        )
        try:
            connection = await creator.connectTCP(
                host, int(port), self._connect_timeout_s, self._local_address
            )
        except (error.ConnectError, OSError) as failure:
            raise ExchangeError(Fault.CONNECT, str(failure), False, False) from failure
        self._opened_count += 1
        return connection


def _is_within_idle_limit(connection: _ServerConnection, now: float, max_idle_s: float) -> bool:
    return connection.is_reusable and now - connection.idle_since <= max_idle_s
