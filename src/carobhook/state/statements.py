"""Typed statements of the operators' language: queries and commands."""

import enum

import attrs

from carobhook.state import ids, orders


class Subject(enum.Enum):
    """Tables that ``show`` can print."""

    REGIONS = "regions"
    TRAFFIC = "traffic"
    SERVERS = "servers"
    ROUTES = "routes"
    ACCOUNTS = "accounts"
    RANKS = "ranks"
    DRAINS = "drains"
    SHIFTS = "shifts"
    CAPS = "caps"
    CHANGES = "changes"
    INSTANCES = "instances"


@attrs.frozen
class Show:
    """Queries one table."""

    subject: Subject


@attrs.frozen
class ShowChange:
    """Queries the change that produced a version of the orders."""

    version: ids.Version


@attrs.frozen
class ExplainService:
    """Queries where requests of a region's clients for a service are sent, and why."""

    service: ids.Service
    region: ids.Region


@attrs.frozen
class ExplainRegion:
    """Queries the load of a region and the drains that affect it."""

    region: ids.Region


@attrs.frozen
class Wait:
    """Queries which instances do not apply a version of the orders yet."""

    version: ids.Version


@attrs.frozen
class CapOverride:
    """Cap given with an order, which replaces the cap that would apply to it otherwise.

    Attributes:
        cap: The cap.
        emergency: Whether the cap may be wider than the one that it replaces.
    """

    cap: orders.Cap
    emergency: bool = False


@attrs.frozen
class Shift:
    """Moves a share of one region's requests for a service to the servers of another region.

    Attributes:
        service: Service whose requests move.
        source: Region whose clients' requests move.
        target: Region whose servers run them.
        share: Fraction of the requests that moves, from 0 to 1.
        cap_override: Cap for this order, None for the cap of the service or the general cap.
        priority: Rank of the requests that move, None for all ranks.
    """

    service: ids.Service
    source: ids.Region
    target: ids.Region
    share: float
    cap_override: CapOverride | None = None
    priority: int | None = None


@attrs.frozen
class Drain:
    """Stops new requests to a region, a failure domain or a backend server.

    Attributes:
        kind: Kind of the drained target.
        name: Name of the drained target.
        cap_override: Cap for this order, None for the slowest of all caps.
        starts: Start in seconds since midnight UTC, None for immediately.
        ends: End in seconds since midnight UTC, None for no end.
    """

    kind: orders.DrainKind
    name: str
    cap_override: CapOverride | None = None
    starts: int | None = None
    ends: int | None = None


@attrs.frozen
class Undrain:
    """Ends all drains of a region, a failure domain or a backend server."""

    kind: orders.DrainKind
    name: str


@attrs.frozen
class SetCap:
    """Sets the cap of a service, or the general cap if no service is given."""

    cap: orders.Cap
    service: ids.Service | None = None


@attrs.frozen
class SetRank:
    """Overrides the rank of a route's requests, or restores the configured rank.

    Attributes:
        route: Name of the route.
        priority: Rank, where 0 is the most urgent; None restores the configured rank.
    """

    route: str
    priority: int | None


@attrs.frozen
class Cancel:
    """Ends a shift or drain; its traffic moves back no faster than the cap allows."""

    order: ids.OrderId


Query = Show | ShowChange | ExplainService | ExplainRegion | Wait
Command = Shift | Drain | Undrain | SetCap | SetRank | Cancel


@attrs.frozen
class DryRun:
    """Queries the effect of a command without carrying it out."""

    command: Command


Statement = Query | Command | DryRun
