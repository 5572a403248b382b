"""Slot requests, the dispatcher's decisions on them, and outcomes of requests on servers.

A slot is the capacity of a backend server to run one request. A dispatcher grants the slots of
one service in one region.
"""

import enum

import attrs

from carobhook.state import codes, ids


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt to run a request on a backend server.

    ANSWERED: The server sent a complete response that does not report a server failure.
    RELAYED: The same, through another instance or at a slow machine, so that its time says
        nothing about the server.
    FAILED: The server sent a complete response that reports a server failure.
    SHED: The server is overloaded and reported that it did not run the request.
    MISDIRECTED: The address now belongs to another server.
    UNREACHABLE: No connection to the server could be opened, from another instance neither if
        one could be asked.
    BROKEN: The connection broke, or the server sent an invalid response.
    CANCELLED: The instance cancelled the attempt or did not use the slot, which says nothing
        about the server.
    """

    ANSWERED = "answered"
    RELAYED = "relayed"
    FAILED = "failed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"


class ResponseMatch(enum.Enum):
    """Whether a response belongs to the request that it was received for.

    NAMED: It names the request.
    OTHER: It names another request.
    UNNAMED: It names no request, although the request has a name.
    UNKNOWN: The request has no name.
    """

    NAMED = "named"
    OTHER = "other"
    UNNAMED = "unnamed"
    UNKNOWN = "unknown"


@attrs.frozen
class RateStatement:
    """What an answer of a backend server says about the rate of requests that it takes.

    Attributes:
        max_per_s: Requests a second that it takes from all instances together, or None if it
            names no limit.
    """

    max_per_s: float | None


@attrs.frozen
class ServerNotice:
    """What an answer of a backend server says of the server itself.

    Attributes:
        is_leaving: Whether it leaves and wants no new requests from anybody.
        rest_s: Seconds for which it wants no requests from the instance that sent this one, or
            None.
    """

    is_leaving: bool
    rest_s: float | None


@attrs.frozen
class SlotRequest:
    """Asks a dispatcher for a slot in which to run one request.

    Attributes:
        id: Id of the slot request, assigned by the requesting instance.
        service: Service that must run the request.
        route: Name of the request's route.
        object_key: Key of the request's object on a route with object affinity, else None.
        priority: Rank of the request; 0 is the most urgent.
        target_at: Monotonic time in seconds after which a response is late, but still useful.
        deadline_at: Monotonic time in seconds after which a response is useless.
        repeat: Whether this is a retry: the request was already sent to a server that could
            be reached.
        avoided: Servers that must not run the request, such as those on which it failed.
        homes: Regions whose servers may run the request; empty for all regions.
        domain: Failure domain of the requesting instance, None if unknown.
        account: Client account of the request, or None.
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
    account: ids.Account | None = None


@attrs.frozen
class SlotGrant:
    """Answers a slot request with a slot, in use until the request's outcome is reported.

    Attributes:
        ask_id: Id of the slot request.
        server: Server that runs the request.
        address: Address of the server, ``host:port``.
        expected_s: Estimated seconds that the server needs for the request.
    """

    ask_id: ids.RequestId
    server: ids.Server
    address: str
    expected_s: float


@attrs.frozen
class SlotRefusal:
    """Refuses a slot request.

    Attributes:
        ask_id: Id of the slot request.
        code: Result code that names the reason.
        retry_after_s: Seconds after which a slot is expected to be free.
        detail: Values that the decision was based on, for the log.
    """

    ask_id: ids.RequestId
    code: codes.Code
    retry_after_s: float
    detail: str = ""
