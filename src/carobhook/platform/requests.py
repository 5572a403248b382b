"""Headers of requests and answers as the platform's clients and servers use them."""

import json

from carobhook.platform import names
from carobhook.protocol import client_api, http1
from carobhook.state import allocation, ids
from carobhook.transport import client_connections

_LONGEST_MS = 24 * 3600 * 1000
_DROPPED = frozenset(
    name.encode() for name in (names.TIME_LEFT_MS, names.EXPECTED_SERVER, "content-length")
)


def request_id(head: http1.RequestHead) -> str | None:
    """Return the id that a client gave to its attempt, or None."""
    return head.get(names.REQUEST_ID)


def object_key(head: http1.RequestHead) -> str | None:
    """Return the object that a request concerns, or None."""
    return head.get(names.OBJECT_KEY)


def time_left_s(head: http1.RequestHead) -> float | None:
    """Return how long the client waits, in seconds, or None if it does not say.

    Raises:
        ValueError: The header is no number.
    """
    return http1.header_seconds(head, names.TIME_LEFT_MS, _LONGEST_MS)


class ServerWire:
    """Writes requests for servers, and reads what their answers say."""

    def outgoing(
        self, head: http1.RequestHead, server: ids.Server, time_left_s: float
    ) -> http1.RequestHead:
        """Return the head of a request as a server gets it.

        Args:
            head: The client's request.
            server: The server that it is meant for.
            time_left_s: Seconds after which nobody waits for the answer.
        """
        headers = [
            (name, value)
            for name, value in http1.end_to_end_headers(head.headers)
            if name.lower() not in _DROPPED
        ]
        left_ms = max(1, int(time_left_s * 1000))
        headers.append((names.TIME_LEFT_MS.encode(), str(left_ms).encode()))
        headers.append((names.EXPECTED_SERVER.encode(), server.encode()))
        return http1.RequestHead(head.method, head.target, tuple(headers))

    def belongs(self, answer: http1.Response, client_id: str | None) -> bool:
        """Tell whether an answer is one to a client's attempt; without an id it is.

        Args:
            answer: The answer.
            client_id: Id of the client's attempt that was sent.
        """
        echoed = answer.get(names.REQUEST_ID)
        return echoed is None or client_id is None or echoed == client_id

    def work_end(self, answer: http1.Response) -> allocation.AttemptOutcome:
        """Return what an answer says of its server."""
        if answer.status == 421:
            return allocation.AttemptOutcome.MISDIRECTED
        if answer.get(names.NOT_EXECUTED) is not None:
            return allocation.AttemptOutcome.SHED
        if answer.status >= 500:
            return allocation.AttemptOutcome.FAILED
        return allocation.AttemptOutcome.ANSWERED


def directory_query(target: bytes) -> client_api.Lookup | None:
    """Return what a client that asks where to connect says of itself.

    Args:
        target: Request target.

    Returns:
        None if the target asks for something else.
    """
    path, _, query = target.decode("latin-1").partition("?")
    if path != names.RESOLVE_PATH:
        return None
    fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
    return client_api.Lookup(
        ids.Region(fields.get("Region", "")), ids.FailureDomain(fields.get("Zone", ""))
    )


def directory_answer(addresses: list[str], ttl_s: float) -> http1.Response:
    """Return the answer that tells a client where to connect.

    Args:
        addresses: Addresses for requests, best first; without any, it says so by its status.
        ttl_s: Seconds for which clients may keep it.
    """
    if not addresses:
        return client_connections.own_answer(503)
    plain = {"Addresses": addresses, "Ttl": f"{round(ttl_s * 1000)}ms"}
    headers = ((b"Content-Type", b"application/json"),)
    return http1.Response(200, b"OK", headers, json.dumps(plain).encode())
