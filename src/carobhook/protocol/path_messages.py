"""Messages between instances on what one of them finds at backend servers."""

import enum

import attrs

from carobhook.state import ids


class Reach(enum.Enum):
    """Whether an instance reaches a backend server.

    REACHED: The server accepted a connection.
    UNREACHED: It accepted none.
    UNKNOWN: The instance reaches hardly any server, or did not try; this says nothing about the
        server.
    """

    REACHED = "reached"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


@attrs.frozen
class ReachQuery:
    """Asks an instance whether it reaches a backend server; answered by `ReachReport`.

    Attributes:
        id: Id of the query, which the answer repeats.
        address: Address of the server, ``host:port``.
    """

    id: str
    address: str


@attrs.frozen
class ReachReport:
    """Answers `ReachQuery`.

    Attributes:
        id: Id of the query.
        reach: Whether the sender reaches the server.
    """

    id: str
    reach: Reach


@attrs.frozen
class ServerLeaving:
    """Reports that a server leaves, as it said in a response.

    Attributes:
        server: Id of the server.
        started_at_ms: Unix time of the server's start in milliseconds, None if not known.
    """

    server: ids.Server
    started_at_ms: int | None


ReachMessage = ReachQuery | ReachReport
