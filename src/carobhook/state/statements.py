"""Statements of the operators' language, as typed values."""

import enum

import attrs

from carobhook.state import ids, orders


class Subject(enum.Enum):
    """What ``show`` can show."""

    REGIONS = "regions"
    TRAFFIC = "traffic"
    SERVERS = "servers"
    ROUTES = "routes"
    RANKS = "ranks"
    DRAINS = "drains"
    SHIFTS = "shifts"
    CAPS = "caps"
    CHANGES = "changes"
    INSTANCES = "instances"


@attrs.frozen
class Show:
    """Asks for a table."""

    subject: Subject


@attrs.frozen
class ShowChange:
    """Asks for one accepted change."""

    version: ids.Version


@attrs.frozen
class ExplainService:
    """Asks where the requests of a region's clients for a service go, and why."""

    service: ids.Service
    region: ids.Region


@attrs.frozen
class ExplainRegion:
    """Asks what bears on a region's load."""

    region: ids.Region


@attrs.frozen
class Wait:
    """Asks how far a version is in force."""

    version: ids.Version


@attrs.frozen
class OwnCap:
    """Cap that comes with an order.

    Attributes:
        cap: The cap.
        emergency: Whether it may be wider than the general one.
    """

    cap: orders.Cap
    emergency: bool = False


@attrs.frozen
class Shift:
    """Has a share of one region's requests for a service served by another region.

    Attributes:
        service: The service.
        source: Region whose clients' requests move.
        target: Region that takes them.
        share: Share of the requests.
        own_cap: Cap of the order, or None.
        priority: Rank that moves, None for all.
    """

    service: ids.Service
    source: ids.Region
    target: ids.Region
    share: float
    own_cap: OwnCap | None = None
    priority: int | None = None


@attrs.frozen
class Drain:
    """Empties a region, failure domain or backend server.

    Attributes:
        kind: What is emptied.
        name: Its name.
        own_cap: Cap of the order, or None.
        starts: Seconds of the day, UTC, at which it begins, or None for at once.
        ends: Seconds of the day, UTC, at which it is undone, or None.
    """

    kind: orders.DrainKind
    name: str
    own_cap: OwnCap | None = None
    starts: int | None = None
    ends: int | None = None


@attrs.frozen
class Undrain:
    """Ends the drains of something."""

    kind: orders.DrainKind
    name: str


@attrs.frozen
class SetCap:
    """Sets the cap of a service, or of all without one of their own."""

    cap: orders.Cap
    service: ids.Service | None = None


@attrs.frozen
class SetRank:
    """Sets the rank of a route's requests, or gives back that of the configuration.

    Attributes:
        route: Name of the route.
        priority: Rank, 0 being the most urgent; None for that of the configuration.
    """

    route: str
    priority: int | None


@attrs.frozen
class Cancel:
    """Ends an order; what it moved returns within the cap."""

    order: ids.OrderId


Query = Show | ShowChange | ExplainService | ExplainRegion | Wait
Command = Shift | Drain | Undrain | SetCap | SetRank | Cancel


@attrs.frozen
class DryRun:
    """Asks what a command would lead to."""

    command: Command


Statement = Query | Command | DryRun
