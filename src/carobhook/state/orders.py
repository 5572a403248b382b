"""What operators have ordered: shifts, drains, caps and ranks, kept as one value."""

import enum
from collections.abc import Mapping

import attrs
from attrs import validators

from carobhook.state import ids

# Where the store keeps the orders: kind and name of the one object.
STORE_KIND = "orders"
STORE_NAME = "main"
_SHARE = validators.and_(validators.ge(0.0), validators.le(1.0))


@attrs.frozen
class Cap:
    """Most of a service's traffic of one region that may move within any window.

    Attributes:
        share: Share of the traffic.
        window_s: Length of the window in seconds.
    """

    share: float = attrs.field(validator=_SHARE)
    window_s: float = attrs.field(validator=validators.gt(0.0))


DEFAULT_CAP = Cap(0.1, 10.0)
_NO_VERSION = ids.Version(0)


class DrainKind(enum.Enum):
    """What a drain empties."""

    REGION = "region"
    FAILURE_DOMAIN = "failure-domain"
    SERVER = "server"


@attrs.frozen
class Span:
    """Wall-clock times in seconds between which an order holds.

    Attributes:
        begins_at: From when on.
        ends_at: Until when, None for no end.
    """

    begins_at: float
    ends_at: float | None = None


@attrs.frozen
class Shift:
    """Has requests of one region's clients served by another region.

    Attributes:
        order: Id of the order.
        author: Operator who gave it.
        service: The service.
        source: Region whose clients' requests move.
        target: Region that takes them.
        share: Share of the requests.
        span: When it holds.
        cap: Cap of its own, None for the general one.
        priority: Rank that moves, None for all.
    """

    order: ids.OrderId
    author: str
    service: ids.Service
    source: ids.Region
    target: ids.Region
    share: float = attrs.field(validator=_SHARE)
    span: Span
    cap: Cap | None = None
    priority: int | None = None


@attrs.frozen
class Drain:
    """Leaves the servers of a region or failure domain, or one server, without new work.

    Attributes:
        order: Id of the order.
        author: Operator who gave it.
        kind: What it empties.
        name: Its name.
        span: When it holds.
        cap: Cap of its own, None for the general one.
    """

    order: ids.OrderId
    author: str
    kind: DrainKind
    name: str
    span: Span
    cap: Cap | None = None


Move = Shift | Drain


@attrs.frozen
class Change:
    """One accepted order, for the audit trail.

    Attributes:
        version: Version of the orders that it made.
        order: Its id.
        author: Operator who gave it.
        at: Wall-clock time in seconds.
        text: The order as it was written.
    """

    version: ids.Version
    order: ids.OrderId
    author: str
    at: float
    text: str


@attrs.frozen
class OrderBook:
    """All orders in force, with the changes that led to them.

    Attributes:
        version: Rises by one with each change.
        shifts: Shifts, also those that have ended and still return.
        drains: Drains, in the same way.
        caps: Caps by service.
        cap: The cap of all other services.
        priorities: Ranks that go before those of the configuration, by route.
        changes: The last changes, oldest first.
    """

    version: ids.Version = _NO_VERSION
    shifts: tuple[Shift, ...] = ()
    drains: tuple[Drain, ...] = ()
    caps: Mapping[ids.Service, Cap] = attrs.field(factory=dict)
    cap: Cap = DEFAULT_CAP
    priorities: Mapping[str, int] = attrs.field(factory=dict)
    changes: tuple[Change, ...] = ()

    @property
    def moves(self) -> tuple["Move", ...]:
        """Return the shifts and drains."""
        return (*self.shifts, *self.drains)

    def cap_of(self, order: "Move") -> Cap:
        """Return the cap that bounds how fast an order takes effect."""
        if order.cap is not None:
            return order.cap
        if isinstance(order, Shift):
            return self.caps.get(order.service, self.cap)
        return min((self.cap, *self.caps.values()), key=lambda cap: cap.share / cap.window_s)

    def change_of(self, order: ids.OrderId) -> Change | None:
        """Return the change that an order made, if it is still kept."""
        return next((change for change in self.changes if change.order == order), None)
