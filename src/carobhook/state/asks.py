"""What instances say to each other about slots of backend servers."""

import enum

import attrs

from carobhook.state import codes, ids


class WorkEnd(enum.Enum):
    """How a request on a backend server ended, as far as the server is concerned.

    ANSWERED: A whole answer that is no failure of the server.
    FAILED: A whole answer that is a failure of the server.
    SHED: The server said that it did not run the request, as it is full.
    MISDIRECTED: Another server has the address.
    UNREACHABLE: No connection could be opened.
    BROKEN: The connection broke, or what came was no answer.
    CANCELLED: This program gave the exchange up.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"


@attrs.frozen
class Ask:
    """A request's wish for a slot.

    Attributes:
        id: Id of the request at the instance that asks.
        service: Service that is to run it.
        route: Name of its route.
        object_key: Object that it concerns, or None.
        priority: Rank; 0 is the most urgent.
        target_at: Monotonic time in seconds until which an answer earns its full worth.
        deadline_at: Monotonic time in seconds after which no answer is wanted.
        repeat: Whether the request was sent to a server before.
        avoided: Servers that must not get it.
        homes: Regions whose servers may get it; empty for all.
        domain: Failure domain of the instance that asks.
    """

    id: ids.RequestId
    service: ids.Service
    route: str
    object_key: str | None
    priority: int
    target_at: float
    deadline_at: float
    repeat: bool = False
    avoided: frozenset[ids.Server] = frozenset()
    homes: frozenset[ids.Region] = frozenset()
    domain: ids.FailureDomain | None = None


@attrs.frozen
class SlotGrant:
    """A slot of a server, which the request holds until its end is told.

    Attributes:
        ask_id: Id of the ask.
        server: The server.
        address: Its ``host:port``.
        expected_s: Seconds that the server is expected to work.
    """

    ask_id: ids.RequestId
    server: ids.Server
    address: str
    expected_s: float


@attrs.frozen
class SlotRefusal:
    """Says that a request will get no slot.

    Attributes:
        ask_id: Id of the ask.
        code: Why.
        retry_after_s: Seconds after which room is expected.
        detail: What it was decided from, for the log.
    """

    ask_id: ids.RequestId
    code: codes.Code
    retry_after_s: float
    detail: str = ""
