"""Connections to backend servers: one exchange at a time on each, kept for the next."""

import collections
import enum
import re
import typing
from collections.abc import Callable

import attrs
import h11
from twisted.internet import defer, error, protocol

from carobhook.protocol import http1

# A server closes an idle connection after the time that it tells; a request that is on its way
# then is lost, so connections are given up this much earlier.
_KEEP_ALIVE_MARGIN_S = 1.0
_LONGEST_IDLE_S = 4.0
# A connection that a middle box has forgotten shows only after a request on it was lost. What
# cannot be sent again uses only connections that were used this lately.
_FRESH_IDLE_S = 1.0
_MAX_ANSWER_OCTETS = 64 * 1024 * 1024
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


Belongs = Callable[[http1.Response], bool]


def _any_answer(answer: http1.Response) -> bool:
    return True


class Fault(enum.Enum):
    """How an exchange with a server failed.

    CONNECT says that nothing was sent; after each other fault the request may have run.
    """

    CONNECT = "connect"
    RESET = "reset"
    GARBLED = "garbled"
    CUT_SHORT = "cut-short"


class ExchangeError(Exception):
    """An exchange with a server brought no whole answer.

    Attributes:
        fault: What happened.
        reused: Whether the connection had carried an exchange before.
        answered: Whether a part of an answer had arrived.
    """

    def __init__(self, fault: Fault, text: str, reused: bool, answered: bool) -> None:
        super().__init__(f"{fault.value}: {text}")
        self.fault = fault
        self.reused = reused
        self.answered = answered


@attrs.frozen
class Received:
    """A whole answer and what it says of its connection."""

    answer: http1.Response
    raw_headers: http1.Headers
    closing: bool


class _ServerConnection(protocol.Protocol):
    """One connection to a server."""

    def __init__(self, seconds: Callable[[], float]) -> None:
        self._seconds = seconds
        self._parser: h11.Connection | None = None
        self._waiting: defer.Deferred | None = None
        self._response: typing.Any = None
        self._body: list[bytes] = []
        self._octets = 0
        self._belongs: Belongs = _any_answer
        self._method = b"GET"
        self._foreign = False
        self.exchanges = 0
        self.idle_since = seconds()
        self.idle_limit_s = _LONGEST_IDLE_S
        self.usable = True

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def exchange(
        self, head: http1.RequestHead, body: bytes, belongs: Belongs
    ) -> defer.Deferred:
        """Send a request; fires with `Received` or fails with `ExchangeError`."""
        self._belongs = belongs
        self._method = head.method
        self._expect_answer()
        self._waiting = defer.Deferred(lambda _: self.abort())
        self.exchanges += 1
        self.transport.write(http1.encode_request(head, body))
        return self._waiting

    def _expect_answer(self) -> None:
        self._parser = http1.response_parser()
        # The parser only needs to know the method; what is sent is encoded by this program.
        request = h11.Request(method=self._method, target="/", headers=[("Host", "x")])
        self._parser.send(request)
        self._parser.send(h11.EndOfMessage())
        self._response = None
        self._body = []
        self._octets = 0

    def abort(self) -> None:
        """Close the connection at once, so that the server stops its work."""
        self.usable = False
        self._parser = None
        self._waiting = None
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self._parser is None:
            # An answer that belongs to no request.
            self.abort()
            return
        try:
            self._parser.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as problem:
            self._fail(Fault.GARBLED, str(problem))

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        self.usable = False
        if self._waiting is None or self._parser is None:
            return
        if reason.check(error.ConnectionDone) and self._response is not None:
            try:
                self._parser.receive_data(b"")
                self._read()
            except h11.RemoteProtocolError as problem:
                self._fail(Fault.CUT_SHORT, str(problem))
                return
        if self._waiting is not None:
            fault = Fault.RESET if self._response is None else Fault.CUT_SHORT
            self._fail(fault, reason.getErrorMessage())

    def _read(self) -> None:
        while self._parser is not None:
            event = self._parser.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self._response = event
            elif isinstance(event, h11.Data):
                self._octets += len(event.data)
                if self._octets > _MAX_ANSWER_OCTETS:
                    self._fail(Fault.GARBLED, "answer is too large")
                    return
                self._body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(Fault.RESET, "closed without an answer")
                return

    def _end(self) -> None:
        parser, self._parser = typing.cast(h11.Connection, self._parser), None
        extra, ended = parser.trailing_data
        raw = tuple(self._response.headers.raw_items())
        answer = http1.Response(
            self._response.status_code,
            self._response.reason,
            http1.end_to_end_headers(raw),
            b"".join(self._body),
        )
        closing = bool(extra) or ended or parser.their_state is not h11.DONE
        if not self._belongs(answer):
            # An extra answer to an earlier request; the right one may follow.
            self._foreign = True
            if ended or parser.their_state is not h11.DONE:
                self._fail(Fault.GARBLED, "the answer belongs to another request")
                return
            self._expect_answer()
            if extra:
                self.dataReceived(extra)
            return
        closing = closing or self._foreign
        self._body = []
        self.idle_since = self._seconds()
        self.idle_limit_s = _idle_limit(raw)
        self.usable = self.usable and not closing
        waiting, self._waiting = self._waiting, None
        if closing and self.transport is not None:
            self.transport.loseConnection()
        if waiting is not None:
            waiting.callback(Received(answer, raw, closing))

    def _fail(self, fault: Fault, text: str) -> None:
        waiting, answered = self._waiting, self._response is not None
        self.abort()
        if waiting is not None:
            waiting.errback(ExchangeError(fault, text, self.exchanges > 1, answered))


def _idle_limit(headers: http1.Headers) -> float:
    """Return for how long a connection may be kept idle, in seconds."""
    for name, value in headers:
        if name.lower() == b"keep-alive":
            told = _KEEP_ALIVE_TIMEOUT.search(value.decode("latin-1"))
            if told is not None:
                return min(_LONGEST_IDLE_S, max(0.0, int(told[1]) - _KEEP_ALIVE_MARGIN_S))
    return _LONGEST_IDLE_S


class ServerConnections:
    """Owns the connections to backend servers.

    Args:
        reactor: Source of time, timers and connections.
        connect_timeout_s: Seconds after which a connection attempt is given up.
    """

    def __init__(self, reactor: typing.Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, collections.deque[_ServerConnection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return self._opened

    async def exchange(
        self,
        address: str,
        head: http1.RequestHead,
        body: bytes,
        careful: bool,
        belongs: Belongs = _any_answer,
    ) -> Received:
        """Send a request to a server and return its whole answer.

        Args:
            address: ``host:port`` of the server.
            head: Request line and headers without a length.
            body: Body.
            careful: Whether the request cannot be sent again, so that only a connection whose
                state is known may carry it.
            belongs: Tells whether an answer is one to this request.

        Raises:
            ExchangeError: There is no whole answer.
            twisted.internet.defer.CancelledError: The exchange was cancelled; the connection
                is closed.
        """
        connection = self._take_idle(address, careful) or await self._open(address)
        received = await connection.exchange(head, body, belongs)
        if connection.usable:
            self._idle.setdefault(address, collections.deque()).append(connection)
        return received

    def close_idle(self, now: float) -> None:
        """Close the connections that were idle for too long.

        Args:
            now: Monotonic time in seconds.
        """
        for address, waiting in list(self._idle.items()):
            kept = collections.deque(c for c in waiting if _keeps(c, now, c.idle_limit_s))
            for connection in set(waiting) - set(kept):
                connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def stop(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.distrust(address)

    def distrust(self, address: str) -> None:
        """Close the idle connections to a server, as one of them proved dead."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def _take_idle(self, address: str, careful: bool) -> _ServerConnection | None:
        now = self._reactor.seconds()
        waiting = self._idle.get(address)
        while waiting:
            connection = waiting.pop()
            limit_s = connection.idle_limit_s
            if careful:
                limit_s = min(limit_s, _FRESH_IDLE_S)
            if _keeps(connection, now, limit_s):
                return connection
            connection.abort()
        return None

    async def _open(self, address: str) -> _ServerConnection:
        host, _, port = address.rpartition(":")
        creator = protocol.ClientCreator(
            self._reactor, _ServerConnection, self._reactor.seconds
        )
        try:
            connection = await creator.connectTCP(host, int(port), self._connect_timeout_s)
        except (error.ConnectError, OSError) as problem:
            raise ExchangeError(Fault.CONNECT, str(problem), False, False) from problem
        self._opened += 1
        return connection


def _keeps(connection: _ServerConnection, now: float, limit_s: float) -> bool:
    return connection.usable and now - connection.idle_since <= limit_s
