"""Reads the requests of a client's connection from its bytes, one after the other."""

import typing
from collections.abc import Callable

import attrs
import h11

from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_memory


class ReadError(Exception):
    """A request cannot be read, or its body is not taken.

    Attributes:
        status: HTTP status of the response.
        bound: Limit on memory that its body does not fit into, or None.
        size: Bytes that did not fit into it.
    """

    def __init__(
        self,
        status: int,
        text: str,
        bound: client_memory.Bound | None = None,
        size: int = 0,
    ) -> None:
        super().__init__(text)
        self.status = status
        self.bound = bound
        self.size = size


@attrs.frozen
class ReceivedRequest:
    """A complete request.

    Attributes:
        head: Request line and headers.
        body: Request body.
        received_at: Monotonic time in seconds at which it was admitted with its head complete.
        reserved_bytes: Bytes reserved for its body, which whoever takes the request releases.
        closes: Whether the client wants the connection closed after the response.
    """

    head: http1.RequestHead
    body: bytes
    received_at: float
    reserved_bytes: int
    closes: bool


class RequestReader:
    """Reads requests in three steps: head, admission, body.

    Only an admitted request gets its body read. Until then its bytes stay in the buffer.

    Args:
        limits: Returns the current limits on requests.
        reserve: Reserves bytes for a body; returns the limit that forbids it, or None.
        release: Releases reserved bytes.
    """

    def __init__(
        self,
        limits: Callable[[], routing.ClientLimits],
        reserve: Callable[[int], client_memory.Bound | None],
        release: Callable[[int], object],
    ) -> None:
        self._limits = limits
        self._reserve = reserve
        self._release = release
        self._buffer = bytearray()
        self._reset()

    def _reset(self) -> None:
        self._parser: h11.Connection | None = None
        self._head: http1.RequestHead | None = None
        self._head_size = 0
        self._chunks: list[bytes] = []
        self._body_size = 0
        self._reserved_bytes = 0
        self._admitted_at: float | None = None
        self._received: ReceivedRequest | None = None

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that belong to no admitted request."""
        return len(self._buffer)

    @property
    def unstarted_bytes(self) -> int:
        """Return the number of bytes of requests that were not taken yet."""
        return self._head_size + self._body_size + len(self._buffer)

    @property
    def is_empty(self) -> bool:
        """Return whether no part of a request is known."""
        return self._head is None and not self._buffer

    @property
    def is_admitted(self) -> bool:
        """Return whether the present request was admitted."""
        return self._admitted_at is not None

    @property
    def is_reading_body(self) -> bool:
        """Return whether an admitted request is not complete yet."""
        return self.is_admitted and self._received is None

    @property
    def expects_continue(self) -> bool:
        """Return whether the client sends the body only after an interim response."""
        expected = self._head.get("expect") if self._head is not None else None
        return (expected or "").lower() == "100-continue"

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def read_head(self) -> http1.RequestHead | None:
        """Return the head of the next request, None if it is incomplete.

        Raises:
            ReadError: The request cannot be read.
        """
        if self._head is not None:
            return self._head
        while self._buffer[:2] == b"\r\n":
            del self._buffer[:2]
        size, max_size = http1.head_length(self._buffer), self._limits().max_header_bytes
        if size > max_size or (not size and len(self._buffer) > max_size):
            raise ReadError(431, "request headers are too large")
        if not size:
            if b"\n" in self._buffer and b"\r\n" not in self._buffer:
                raise ReadError(400, "line ends must be CR LF")
            return None
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._head_size = size
        parser = http1.request_parser()
        try:
            http1.check_head(data)
            parser.receive_data(data)
            event: typing.Any = parser.next_event()
        except http1.HeadError as error:
            raise ReadError(error.status, str(error)) from error
        except h11.RemoteProtocolError as error:
            raise ReadError(400, http1.error_text(error)) from error
        headers = tuple(event.headers.raw_items())
        self._parser = parser
        self._head = http1.RequestHead(event.method, event.target, headers)
        return self._head

    def admit(self, now: float) -> None:
        """Reserve memory for the declared body of the request whose head was read.

        The whole length is reserved at once. If it were as the parts arrive, bodies of which
        none can become complete could use up the memory together.

        Args:
            now: Monotonic time in seconds.

        Raises:
            ReadError: The body is too large, or does not fit into the memory now.
        """
        size = http1.declared_length(typing.cast(http1.RequestHead, self._head))
        if size > self._limits().max_body_bytes:
            raise ReadError(413, "request body is too large")
        self._reserve_bytes(size)
        self._admitted_at = now

    def read_body(self) -> ReceivedRequest | None:
        """Return the admitted request, None if it is incomplete.

        Raises:
            ReadError: The request cannot be read, or its body is too large.
        """
        parser = typing.cast(h11.Connection, self._parser)
        if self._received is not None:
            return self._received
        try:
            if self._buffer:
                parser.receive_data(bytes(self._buffer))
                self._buffer.clear()
            while True:
                event = parser.next_event()
                if isinstance(event, h11.Data):
                    self._add_data(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._complete(parser)
                    return self._received
                else:
                    return None
        except h11.RemoteProtocolError as error:
            raise ReadError(400, http1.error_text(error)) from error

    def take(self) -> ReceivedRequest:
        """Return the complete request, and go on to the next one."""
        received = typing.cast(ReceivedRequest, self._received)
        self._reset()
        return received

    def discard(self) -> None:
        """Drop all that was read, and release what is reserved for it."""
        reserved = self._reserved_bytes
        self._reset()
        self._buffer.clear()
        self._release(reserved)

    def _add_data(self, data: bytes) -> None:
        size = self._body_size + len(data)
        if size > self._limits().max_body_bytes:
            raise ReadError(413, "request body is too large")
        if size > self._reserved_bytes:
            self._reserve_bytes(size - self._reserved_bytes)
        self._body_size = size
        self._chunks.append(data)

    def _reserve_bytes(self, size: int) -> None:
        bound = self._reserve(size)
        if bound is not None:
            raise ReadError(503, "too many request bodies are waiting", bound, size)
        self._reserved_bytes += size

    def _complete(self, parser: h11.Connection) -> None:
        head = typing.cast(http1.RequestHead, self._head)
        self._buffer += parser.trailing_data[0]
        self._received = ReceivedRequest(
            head,
            b"".join(self._chunks),
            typing.cast(float, self._admitted_at),
            self._reserved_bytes,
            _is_close_requested(head, parser.their_http_version),
        )
        self._chunks.clear()


def _is_close_requested(head: http1.RequestHead, version: bytes | None) -> bool:
    """Return whether the client wants the connection closed after the response."""
    tokens = {token.strip().lower() for token in (head.get("connection") or "").split(",")}
    if version == b"1.0":
        return "keep-alive" not in tokens
    return "close" in tokens
