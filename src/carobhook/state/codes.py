"""Numbered result codes of requests, orders, settings and start-up, in one list."""

import enum

import attrs


class RunStatus(enum.Enum):
    """Whether a request or order was executed, as far as its result code can tell."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class CodeInfo:
    """Number, HTTP status and meaning of one result code.

    Attributes:
        number: Numeric code: 1xxx for requests, 2xxx for orders, 3xxx for settings and
            start-up.
        http_status: HTTP status that is sent with the code.
        run: Whether the request or order was executed.
        retry: Whether the client may send the same request or order again later.
        text: Explanation in one sentence, for users.
    """

    number: int
    http_status: int
    run: RunStatus
    retry: bool
    text: str


class Code(enum.Enum):
    """All result codes of carobhook."""

    OK = CodeInfo(
        1000, 200, RunStatus.RAN, False, "The request ran and its whole answer was sent."
    )
    BAD_REQUEST = CodeInfo(1002, 400, RunStatus.NOT_RUN, False, "The request is malformed.")
    NO_BACKEND = CodeInfo(
        1010, 503, RunStatus.NOT_RUN, True, "No backend server can take the request."
    )
    DEADLINE_UNMEETABLE = CodeInfo(
        1012,
        503,
        RunStatus.NOT_RUN,
        True,
        "The request could not have finished before its deadline.",
    )
    DEADLINE_PASSED_QUEUED = CodeInfo(
        1013, 504, RunStatus.NOT_RUN, True, "The deadline passed while the request was queued."
    )
    BACKEND_SHED = CodeInfo(
        1014, 503, RunStatus.NOT_RUN, True, "The backend server shed the request."
    )
    CALLER_GONE = CodeInfo(
        1019, 408, RunStatus.NOT_RUN, True, "The caller went away while the request was queued."
    )
    NO_CONFIG = CodeInfo(
        1051, 503, RunStatus.NOT_RUN, True, "The instance has no configuration yet."
    )
    RETRIES_USED_UP = CodeInfo(
        1052,
        503,
        RunStatus.NOT_RUN,
        True,
        "Too many requests of the service were sent again lately.",
    )
    DISPATCHER_SILENT = CodeInfo(
        1053,
        503,
        RunStatus.NOT_RUN,
        True,
        "The instance that gives out the slots did not answer.",
    )
    INSTANCE_LEAVING = CodeInfo(
        1055,
        503,
        RunStatus.NOT_RUN,
        True,
        "The instance stops, and might end before the request does.",
    )
    NO_ROUTE = CodeInfo(1054, 404, RunStatus.NOT_RUN, False, "No route serves the request.")
    ROUTE_UNCONFIRMED = CodeInfo(
        1056,
        503,
        RunStatus.NOT_RUN,
        True,
        "No route serves the request, but there may be a newer configuration.",
    )
    KEY_UNKNOWN = CodeInfo(
        1060,
        401,
        RunStatus.NOT_RUN,
        False,
        "The request has no key, or one that belongs to no client account.",
    )
    KEY_UNCONFIRMED = CodeInfo(
        1061,
        503,
        RunStatus.NOT_RUN,
        True,
        "No client account has the request's key, but there may be a newer configuration.",
    )
    NO_COMMON_HOME = CodeInfo(
        1062,
        503,
        RunStatus.NOT_RUN,
        True,
        "No region is a home region of both the route and the client account.",
    )
    QUOTA_EXCEEDED = CodeInfo(
        1063,
        429,
        RunStatus.NOT_RUN,
        True,
        "The account has used up its quota for the moment.",
    )
    BACKEND_LOST = CodeInfo(
        1020,
        502,
        RunStatus.UNKNOWN,
        False,
        "The backend server's connection broke during the request.",
    )
    DEADLINE_PASSED_RUNNING = CodeInfo(
        1021,
        504,
        RunStatus.UNKNOWN,
        False,
        "The deadline passed while the request was running.",
    )
    POISONED = CodeInfo(
        1030,
        503,
        RunStatus.NOT_RUN,
        False,
        "The request is quarantined: it broke backend servers.",
    )

    ORDER_IN_FORCE = CodeInfo(
        2000, 200, RunStatus.RAN, False, "The order is in force everywhere."
    )
    ORDER_ACCEPTED = CodeInfo(
        2001, 200, RunStatus.RAN, False, "The order is accepted and taking effect."
    )
    QUERY_OK = CodeInfo(2002, 200, RunStatus.RAN, False, "The query was answered.")
    ORDER_SYNTAX = CodeInfo(2010, 400, RunStatus.NOT_RUN, False, "The order cannot be parsed.")
    ORDER_INVALID = CodeInfo(
        2011, 400, RunStatus.NOT_RUN, False, "The order names something invalid."
    )
    ORDER_CONFLICT = CodeInfo(
        2012,
        409,
        RunStatus.NOT_RUN,
        True,
        "Another order was accepted first; nothing was changed.",
    )
    ORDER_STORE_DOWN = CodeInfo(
        2013,
        503,
        RunStatus.NOT_RUN,
        True,
        "The object API cannot be reached; nothing was changed.",
    )
    ORDER_UNKNOWN = CodeInfo(
        2014, 503, RunStatus.UNKNOWN, True, "Whether the order was accepted is not known yet."
    )
    ORDER_OVER_CAP = CodeInfo(
        2015, 409, RunStatus.NOT_RUN, False, "The order would exceed the cap."
    )
    ORDER_OVERLOAD = CodeInfo(
        2016, 409, RunStatus.NOT_RUN, False, "The order would overload a region."
    )
    ORDER_FORBIDDEN = CodeInfo(
        2017, 403, RunStatus.NOT_RUN, False, "The token does not allow this."
    )
    ORDER_UNAUTHENTICATED = CodeInfo(
        2018, 401, RunStatus.NOT_RUN, False, "The token is missing or wrong."
    )

    SETTINGS_INVALID = CodeInfo(
        3001, 400, RunStatus.NOT_RUN, False, "The settings have faults."
    )
    ADDRESS_IN_USE = CodeInfo(
        3002, 500, RunStatus.NOT_RUN, False, "An address is already in use."
    )
    DAEMON_UNREACHABLE = CodeInfo(
        3004, 503, RunStatus.NOT_RUN, True, "The daemon cannot be reached."
    )

    @property
    def number(self) -> int:
        """Return the numeric code."""
        return self.value.number

    @property
    def run(self) -> RunStatus:
        """Return the run status of the request or order."""
        return self.value.run
