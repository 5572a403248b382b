"""HTTP/1.1 as entry instances speak it: strict request heads, and answers from servers.

Parsing is the library h11's. A request head is checked here first, because h11 accepts some
spellings that two parsers may read differently.
"""

import re
import typing

import attrs
import h11

_HEAD_END = b"\r\n\r\n"
_REQUEST_LINE = re.compile(rb"[!-~]+ [!-~]+ HTTP/1\.[01]")
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*")
# h11 counts a head and what has arrived behind it; heads are bounded before it sees them.
_H11_BUFFER_OCTETS = 1024 * 1024

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
    """A request head cannot be accepted.

    Attributes:
        status: HTTP status that says why.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@attrs.frozen
class RequestHead:
    """Request line and headers of a client's request."""

    method: bytes
    target: bytes
    headers: Headers

    def get(self, name: str) -> str | None:
        """Return a header's only or first value, or None.

        Args:
            name: Name in lower case.
        """
        wanted = name.encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return None


@attrs.frozen
class Answer:
    """A whole answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers as they were sent, without those that concern one connection.
        body: Body.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes

    def get(self, name: str) -> str | None:
        """Return a header's first value, or None; the name is in lower case."""
        wanted = name.encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return None


def head_length(data: bytes | bytearray) -> int:
    """Return how many octets the head at the start of data has, or 0 if it is not whole."""
    end = data.find(_HEAD_END)
    return end + len(_HEAD_END) if end >= 0 else 0


def check_head(head: bytes) -> None:
    """Refuse request heads that two parsers may read differently.

    Args:
        head: A whole head, with the empty line at its end.

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
    """Return the length of the body that a head announces, 0 for none or chunks."""
    return int(head.get("content-length") or 0)


def told_s(head: RequestHead, name: str, longest_ms: float) -> float | None:
    """Return the seconds that a header tells in milliseconds, None without the header.

    Args:
        head: The head.
        name: Name of the header.
        longest_ms: Longest time; more is taken for that.

    Raises:
        ValueError: The header is no number.
    """
    text = head.get(name)
    return None if text is None else min(longest_ms, max(0.0, float(text))) / 1000


def end_to_end(headers: typing.Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return headers without those that concern one connection, with their spelling."""
    kept = list(headers)
    named = {
        token.strip().lower()
        for name, value in kept
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | named
    return tuple((name, value) for name, value in kept if name.lower() not in dropped)


def server_side() -> h11.Connection:
    """Return a parser for one request of a client."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=_H11_BUFFER_OCTETS)


def client_side() -> h11.Connection:
    """Return a parser for one answer of a server."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_H11_BUFFER_OCTETS)


def encode_answer(answer: Answer, with_body: bool, closing: bool) -> bytes:
    """Return the octets of an answer with its length told beforehand.

    Args:
        answer: The answer; a length among its headers is replaced.
        with_body: Whether the body follows, which it does not after HEAD.
        closing: Whether the connection is closed afterwards.
    """
    lines = [b"HTTP/1.1 %d %s" % (answer.status, answer.reason)]
    length = None
    for name, value in answer.headers:
        if name.lower() == b"content-length":
            length = value
        else:
            lines.append(name + b": " + value)
    if answer.status not in (204, 304):
        keeps_length = not with_body and length is not None
        told = length if keeps_length else str(len(answer.body)).encode()
        lines.append(b"Content-Length: " + typing.cast(bytes, told))
    if closing:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + _HEAD_END
    return head + answer.body if with_body else head


def encode_request(head: RequestHead, body: bytes) -> bytes:
    """Return the octets of a request; its headers must hold no length."""
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in head.headers]
    if body or head.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: " + str(len(body)).encode())
    return b"\r\n".join(lines) + _HEAD_END + body
