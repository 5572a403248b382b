"""One connection to a server: carries one exchange at a time."""

import re
import typing
from collections.abc import Callable

import attrs
import h11
from twisted.internet import defer, error, protocol

from carobhook import logs
from carobhook.coordination import carried_requests
from carobhook.protocol import http1
from carobhook.state import allocation
from carobhook.transport import exchange_results, paced_writer, response_memory

Fault = exchange_results.Fault

# A server closes an idle connection after the timeout that it announces, and a request that is
# on its way at that moment is lost. A connection is therefore not reused once less than this is
# left of the timeout.
_KEEP_ALIVE_MARGIN_S = 1.0
# Maximum idle time of a connection that is reused, if the server announces no shorter timeout.
MAX_IDLE_S = 4.0
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


@attrs.frozen
class Identification:
    """How the response to a request is told from copies of responses to others.

    Attributes:
        request_id: Id that the server repeats in its response, or None if the request has none.
        match: Returns whether a response belongs to the request.
    """

    request_id: str | None
    match: ResponseMatcher


# Of requests without an id to servers that may send a response twice.
UNIDENTIFIED = Identification(None, _match_any)


def ignore_data() -> None:
    """Do nothing as a part of a response arrives."""


def ignore_sending(alive_at: float) -> None:
    """Do nothing as a request is sent."""


@attrs.define
class SurplusCount:
    """Counts the responses that belonged to no request under way.

    Attributes:
        count: How many came since the start.
    """

    count: int = 0


class ServerConnection(protocol.Protocol):
    """One connection to a server.

    Args:
        seconds: Returns the monotonic time in seconds.
        memory: Memory that the bodies of responses share.
        surplus: Counts the responses that belong to no request under way.

    Attributes:
        number: Number of the connection, for the log.
        exchange_count: Number of exchanges that it has carried, with the one in progress.
        idle_since: Monotonic time in seconds at which the last exchange ended.
        idle_limit_s: Seconds for which it may be idle and still be reused.
        is_reusable: Whether it may carry another exchange.
        alive_at: Monotonic time in seconds, at or after which the server ran: the start of
            its opening, or the time at which the last request that was answered was sent.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        memory: response_memory.ResponseMemory,
        surplus: SurplusCount | None = None,
    ) -> None:
        self._seconds = seconds
        self._memory = memory
        self._surplus = surplus or SurplusCount()
        self._writer = paced_writer.PacedWriter()
        self._sent_at = 0.0
        self._parser: h11.Connection | None = None
        self._pending: defer.Deferred | None = None
        self._response_head: typing.Any = None
        self._body_chunks: list[bytes] = []
        self._body_size = 0
        self._received_size = 0
        self._match: ResponseMatcher = _match_any
        self._on_data: Callable[[], object] = ignore_data
        self._carried = carried_requests.CarriedRequests()
        self._method = b"GET"
        self._had_unmatched_response = False
        self.number = 0
        self.exchange_count = 0
        self._opened_at = seconds()
        self.idle_since = self.alive_at = self._opened_at
        self.idle_limit_s = MAX_IDLE_S
        self.is_reusable = True

    def connectionMade(self) -> None:
        """Send requests without delay."""
        self.transport.setTcpNoDelay(True)
        self._writer.connect(self.transport)

    def may_carry(self, request_id: str | None) -> bool:
        """Return whether the response to a request could be told from copies of others.

        Args:
            request_id: Id of the request, or None.
        """
        return self._carried.may_carry(request_id)

    def exchange(
        self,
        head: http1.RequestHead,
        body: bytes,
        identification: Identification | None,
        on_data: Callable[[], object] = ignore_data,
    ) -> defer.Deferred:
        """Send a request.

        The result fires with `ReceivedResponse` or fails with `ExchangeError`; cancelling it
        closes the connection.

        Args:
            head: Request line and headers, without Content-Length.
            body: Request body.
            identification: How the response is told from copies of others, or None if the
                server sends each response once.
            on_data: Called when a part of the response arrives.
        """
        if identification is not None:
            self._match = identification.match
            self._carried.add(identification.request_id)
        self._on_data = on_data
        self._method = head.method
        self._received_size = 0
        self._expect_response()
        self._pending = defer.Deferred(lambda _: self.abort())
        self.exchange_count += 1
        self._sent_at = self._seconds()
        self._write_request(head, body)
        return self._pending

    def _write_request(self, head: http1.RequestHead, body: bytes) -> None:
        """Write a request, whose body is not copied as a whole if it is large."""
        if len(body) < paced_writer.PIECE_BYTES:
            self._writer.write(http1.encode_request(head, body))
            return
        self._writer.write(http1.encode_request_head(head, len(body)))
        self._writer.write(body)

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
        self._match, self._on_data = _match_any, ignore_data

    def abort(self) -> None:
        """Close the connection at once, which makes the server cancel a running request."""
        self.is_reusable = False
        self._parser = None
        self._pending = None
        self._forget_request()
        self._clear_body()
        self._writer.stop()
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of the response, or close the connection if no request waits."""
        if self._parser is None:
            # There is no request that this data can respond to.
            self._record_surplus("no request")
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
        """End the exchange in progress, whose response may end with the connection."""
        self.is_reusable = False
        self._writer.stop()
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
                if not http1.is_final_status(event.status_code):
                    self._fail(Fault.GARBLED, f"status {event.status_code} is not defined")
                    return
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
        if match is allocation.ResponseMatch.UNNAMED and self.exchange_count > 1:
            # The server named the earlier requests, so this may be a late copy of something.
            self._record_surplus("unnamed")
            self._fail(Fault.GARBLED, "the answer names no request")
            return
        if match is allocation.ResponseMatch.OTHER:
            # This is a surplus response to an earlier request. The response to the current
            # request may follow it.
            self._record_surplus("another request")
            self._had_unmatched_response = True
            if at_eof or parser.their_state is not h11.DONE:
                self._fail(Fault.GARBLED, "the answer belongs to another request")
                return
            parser = self._expect_response()
            if extra:
                parser.receive_data(extra)
            return
        if match is allocation.ResponseMatch.UNNAMED:
            self._carried.record_unnamed_response()
        # A server that responds before it has read the request may never read the rest. On a
        # connection that is reused, the unread parts of all requests would add up.
        close = close or self._writer.is_blocked
        close = close or self._had_unmatched_response or self._carried.is_exhausted
        self._end_exchange(response, raw_headers, close)

    def _end_exchange(
        self, response: http1.Response, raw_headers: http1.Headers, close: bool
    ) -> None:
        """Deliver the response, and keep the connection for the next request or close it."""
        self._clear_body()
        self.idle_since = self._seconds()
        self.alive_at = self._sent_at
        self.idle_limit_s = _idle_limit_s(raw_headers)
        self.is_reusable = self.is_reusable and not close
        pending, self._pending = self._pending, None
        self._forget_request()
        if self._writer.is_blocked:
            self._writer.stop()
            self.transport.abortConnection()
        elif close and self.transport is not None:
            self.transport.loseConnection()
        if pending is not None:
            use = exchange_results.ConnectionUse(
                self.number, self.exchange_count, self._wait_ms(), self._opened_at
            )
            reused = self.exchange_count > 1
            pending.callback(
                exchange_results.ReceivedResponse(response, raw_headers, close, reused, use=use)
            )

    def _record_surplus(self, kind: str) -> None:
        """Count and log a response that belongs to no request under way."""
        self._surplus.count += 1
        logs.event(
            "response-surplus",
            connection=self.number,
            exchanges=self.exchange_count,
            kind=kind,
            wait_ms=self._wait_ms(),
        )

    def _wait_ms(self) -> float:
        """Return the milliseconds since the last request was sent."""
        return round((self._seconds() - self._sent_at) * 1000, 1)

    def _fail(self, fault: Fault, text: str) -> None:
        pending, response_started = self._pending, self._response_head is not None
        self.abort()
        if pending is not None:
            pending.errback(
                exchange_results.ExchangeError(
                    fault, text, self.exchange_count > 1, response_started
                )
            )


def _idle_limit_s(headers: http1.Headers) -> float:
    """Return the number of seconds for which a connection may be idle and still be reused."""
    for name, value in headers:
        if name.lower() == b"keep-alive":
            match = _KEEP_ALIVE_PATTERN.search(value.decode("latin-1"))
            if match is not None:
                return min(MAX_IDLE_S, max(0.0, int(match[1]) - _KEEP_ALIVE_MARGIN_S))
    return MAX_IDLE_S
