"""HTTP/1.1 messages: strict validation of request heads, header access and serialization.

The library h11 parses the messages. Request heads are validated here before that, because h11
accepts some ambiguous heads, which two parsers may read differently (request smuggling).
"""

import re
import typing

import attrs
import h11

_HEAD_END = b"\r\n\r\n"
_REQUEST_LINE = re.compile(rb"[!-~]+ [!-~]+ HTTP/1\.[01]")
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*")
# h11 rejects a head that is still incomplete at this size, so it must be far larger than any
# valid head. It limits the heads of server responses; the size of request heads is limited
# before h11 gets them, as complete heads.
_H11_BUFFER_BYTES = 1024 * 1024

# Statuses of final responses. h11 also accepts 600 to 999, which HTTP does not define.
_FINAL_STATUSES = range(200, 600)

Headers = tuple[tuple[bytes, bytes], ...]

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


class HeadError(Exception):
    """A request head is malformed, ambiguous or otherwise rejected.

    Attributes:
        status: HTTP status of the error response.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@attrs.frozen
class RequestHead:
    """Request line and headers of a client's request.

    Attributes:
        method: Method, such as ``GET``.
        target: Request target: path and query.
        headers: Headers in the order and spelling in which they were received.
    """

    method: bytes
    target: bytes
    # The values may hold secrets of clients, which a log must not contain.
    headers: Headers = attrs.field(repr=lambda headers: repr([name for name, _ in headers]))

    @property
    def path(self) -> str:
        """Return the path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def get(self, name: str) -> str | None:
        """Return the first value of a header, None without the header.

        Args:
            name: Name of the header in lower case.
        """
        wanted = name.encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return None


@attrs.frozen
class Response:
    """Complete HTTP response.

    Attributes:
        status: HTTP status code.
        reason: Reason phrase.
        headers: Headers in their original spelling, without hop-by-hop headers.
        body: Body without chunk framing.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes

    def get(self, name: str) -> str | None:
        """Return the first value of a header, None without the header.

        Args:
            name: Name of the header in lower case.
        """
        wanted = name.encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return None


def head_length(data: bytes | bytearray) -> int:
    """Return the length in bytes of the head at the start of data, 0 if it is incomplete."""
    end = data.find(_HEAD_END)
    return end + len(_HEAD_END) if end >= 0 else 0


def check_head(head: bytes) -> None:
    """Check that a request head is well-formed and that all parsers read it in the same way.

    Args:
        head: Complete head, including the empty line at its end.

    Raises:
        HeadError: The head is malformed or ambiguous.
    """
    lines = head[: -len(_HEAD_END)].split(b"\r\n")
    if _REQUEST_LINE.fullmatch(lines[0]) is None:
        raise HeadError(400, "request line is malformed")
    lengths: list[bytes] = []
    codings = 0
    hosts = 0
    for line in lines[1:]:
        if _HEADER_LINE.fullmatch(line) is None:
            raise HeadError(400, "header line is malformed or folded")
        name, _, value = line.partition(b":")
        name = name.lower()
        if name == b"content-length":
            lengths.append(value.strip())
        elif name == b"transfer-encoding":
            codings += 1
            if value.strip().lower() != b"chunked":
                raise HeadError(400, "transfer coding must be chunked")
        elif name == b"host":
            hosts += 1
    if len(lengths) > 1 or codings > 1 or (lengths and codings):
        raise HeadError(400, "body length is given twice")
    if lengths and not lengths[0].isdigit():
        raise HeadError(400, "content-length must be a number")
    if hosts != 1:
        raise HeadError(400, "host must be given once")


def declared_length(head: RequestHead) -> int:
    """Return the Content-Length of a request, 0 if it has no body or a chunked one."""
    return int(head.get("content-length") or 0)


def header_seconds(head: RequestHead, name: str, max_ms: float) -> float | None:
    """Return the value of a header, converted from milliseconds to seconds, None without it.

    Args:
        head: Request head.
        name: Name of the header in lower case.
        max_ms: Upper limit in milliseconds. A larger value is reduced to it, and a negative
            one is replaced by 0.

    Raises:
        ValueError: The value is not a number.
    """
    text = head.get(name)
    return None if text is None else min(max_ms, max(0.0, float(text))) / 1000


def end_to_end_headers(headers: typing.Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return headers without the hop-by-hop headers, in their original spelling.

    Hop-by-hop headers concern only one connection: those in `_HOP_BY_HOP`, and those that a
    Connection header names.
    """
    all_headers = list(headers)
    connection_options = {
        token.strip().lower()
        for name, value in all_headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | connection_options
    return tuple((name, value) for name, value in all_headers if name.lower() not in dropped)


def error_text(error: h11.RemoteProtocolError) -> str:
    """Return the text of a parser's error without the octets that it quotes.

    They may be a trailer line with a secret of the client, and the text is logged.
    """
    return str(error).partition(": bytearray(")[0]


def request_parser() -> h11.Connection:
    """Return a parser for one client request."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=_H11_BUFFER_BYTES)


def response_parser() -> h11.Connection:
    """Return a parser for one server response."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_H11_BUFFER_BYTES)


def encode_response(response: Response, with_body: bool, closing: bool) -> bytes:
    """Return the bytes of a response, with a Content-Length header in place of chunks.

    Args:
        response: Response. Its Content-Length is replaced by the length of the body, unless the
            body is omitted, and removed if the status is 204 or 304.
        with_body: Whether the body is sent, as it must not be for a HEAD request.
        closing: Whether the connection is closed after the response.
    """
    lines = [b"HTTP/1.1 %d %s" % (response.status, response.reason)]
    length = None
    for name, value in response.headers:
        if name.lower() == b"content-length":
            length = value
        else:
            lines.append(name + b": " + value)
    if response.status not in (204, 304):
        keeps_length = not with_body and length is not None
        sent_length = length if keeps_length else str(len(response.body)).encode()
        lines.append(b"Content-Length: " + typing.cast(bytes, sent_length))
    if closing:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + _HEAD_END
    return head + response.body if with_body else head


def response_size(response: Response) -> int:
    """Return the approximate size of a response in memory, in bytes."""
    return len(response.body) + sum(len(name) + len(value) for name, value in response.headers)


def encode_request(head: RequestHead, body: bytes) -> bytes:
    """Return the bytes of a request.

    Args:
        head: Request head, which must not have a Content-Length header.
        body: Body of the request.
    """
    return encode_request_head(head, len(body)) + body


def encode_request_head(head: RequestHead, body_size: int) -> bytes:
    """Return the bytes of a request up to its body.

    Args:
        head: Request head, which must not have a Content-Length header.
        body_size: Size of the body that follows, in bytes.
    """
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in head.headers]
    if body_size or head.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: " + str(body_size).encode())
    return b"\r\n".join(lines) + _HEAD_END


def is_final_status(status: int) -> bool:
    """Return whether HTTP defines a status for final responses."""
    return status in _FINAL_STATUSES
