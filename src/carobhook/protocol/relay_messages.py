"""Messages on a relay connection, on which one instance sends a request through another.

An instance that has no path to a backend server opens such a connection to one that has. It
carries one exchange at a time.
"""

import enum

import attrs

from carobhook.state import ids, versions

# Largest body that is relayed, in bytes. With the headers it has to fit into one frame.
MAX_BODY_BYTES = 12 * 1024 * 1024


class RelayOutcome(enum.Enum):
    """What became of a relayed request.

    After all outcomes but RESPONDED, RESET, GARBLED and CUT_SHORT, the request was not sent.

    RESPONDED: The server sent a complete response.
    UNREACHED: The server accepted no connection of the relaying instance.
    WITHDRAWN: The server must not get requests, or none may get this one, as the relaying
        instance knows.
    BUSY: The relaying instance takes no more, or reaches hardly any server itself.
    RESET: The connection to the server was closed before the head of a response arrived.
    GARBLED: The response is invalid or too large, or belongs to another request.
    CUT_SHORT: The connection to the server was closed before the response was complete.
    """

    RESPONDED = "responded"
    UNREACHED = "unreached"
    WITHDRAWN = "withdrawn"
    BUSY = "busy"
    RESET = "reset"
    GARBLED = "garbled"
    CUT_SHORT = "cut-short"


@attrs.frozen
class RelayRequest:
    """Asks an instance to send a request to a server; answered by `RelayResponse`.

    Attributes:
        server: Id of the server, whose slot the sender holds.
        address: Address of the server, ``host:port``.
        request_id: Id that the client gave the request, or None.
        require_fresh: Whether only a connection is used that worked a moment ago, or a new one.
        method: Method of the request.
        target: Target of the request.
        headers: Headers as they are sent to the server.
        body: Body of the request.
        fingerprint: Fingerprint of the request as its marks have it; empty if not told.
    """

    server: ids.Server
    address: str
    request_id: str | None
    require_fresh: bool
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    fingerprint: bytes = versions.added_field(b"", since=9)


@attrs.frozen
class RelayResponse:
    """Answers `RelayRequest`.

    Attributes:
        outcome: What became of the request.
        detail: Cause, for the log.
        status: HTTP status of the response, 0 without one.
        reason: Reason phrase of the response.
        headers: Headers of the response, without those that concern one connection.
        body: Body of the response.
        is_identified: Whether it can't be the copy of a response to another request, or to an
            earlier attempt of the same one.
    """

    outcome: RelayOutcome
    detail: str = ""
    status: int = 0
    reason: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    is_identified: bool = versions.added_field(False, since=5)
