"""Operators' orders: shifts, drains, caps and ranks, stored as one versioned object."""

import enum
from collections.abc import Mapping

import attrs
from attrs import validators

from carobhook.state import ids

# Kind and name of the object that holds the orders in the store.
STORE_KIND = "orders"
STORE_NAME = "main"
_SHARE = validators.and_(validators.ge(0.0), validators.le(1.0))


@attrs.frozen
class Cap:
    """Limits how much of a service's traffic in one region may move within any time window.

    Attributes:
        share: Largest fraction of the traffic that may move, from 0 to 1.
        window_s: Length of the window in seconds.
    """

    share: float = attrs.field(validator=_SHARE)
    window_s: float = attrs.field(validator=validators.gt(0.0))


DEFAULT_CAP = Cap(0.1, 10.0)
_NO_VERSION = ids.Version(0)


class DrainKind(enum.Enum):
    """Kind of target that a drain takes out of service."""

    REGION = "region"
    FAILURE_DOMAIN = "failure-domain"
    SERVER = "server"


@attrs.frozen
class Span:
    """Period in which an order is in force.

    Attributes:
        begins_at: Wall-clock time in seconds at which the order takes effect.
        ends_at: Wall-clock time in seconds at which it ends, None if it has no end.
    """

    begins_at: float
    ends_at: float | None = None


@attrs.frozen
class Shift:
    """Moves requests of one region's clients to the servers of another region.

    Attributes:
        order: Id of the order.
        author: Operator who gave the order.
        service: Service whose requests move.
        source: Region whose clients' requests move.
        target: Region whose servers run them.
        share: Fraction of the requests that moves, from 0 to 1.
        span: Period in which the shift is in force.
        cap: Cap that overrides the general one, or None.
        priority: Rank of the requests that move, None for all ranks.
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
    """Stops new requests to the servers of a region or failure domain, or to one server.

    Attributes:
        order: Id of the order.
        author: Operator who gave the order.
        kind: Kind of the drained target.
        name: Name of the drained target.
        span: Period in which the drain is in force.
        cap: Cap that overrides the general one, or None.
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
    """Audit trail entry for an accepted order.

    Attributes:
        version: Version of the orders that the order produced.
        order: Id of the order.
        author: Operator who gave the order.
        at: Wall-clock time in seconds at which it was accepted.
        text: Text of the order as the operator wrote it.
    """

    version: ids.Version
    order: ids.OrderId
    author: str
    at: float
    text: str


@attrs.frozen
class OrderState:
    """All orders in force, with the latest changes that produced them.

    Attributes:
        version: Version number, which increases by one with each change.
        shifts: Shifts, including ended ones whose traffic is still moving back.
        drains: Drains, including ended ones whose traffic is still moving back.
        caps: Caps by service.
        cap: General cap, for services that are not in `caps`.
        priorities: Ranks by route name, which override those of the configuration.
        changes: Latest changes, oldest first.
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
        """Return all shifts and drains."""
        return (*self.shifts, *self.drains)

    def cap_of(self, order: "Move") -> Cap:
        """Return the cap that limits how fast an order moves traffic.

        A drain without its own cap concerns all services, so the slowest of all caps applies.
        """
        if order.cap is not None:
            return order.cap
        if isinstance(order, Shift):
            return self.caps.get(order.service, self.cap)
        return min((self.cap, *self.caps.values()), key=lambda cap: cap.share / cap.window_s)

    def change_of(self, order: ids.OrderId) -> Change | None:
        """Return the change that an order made, or None if it is no longer retained."""
        return next((change for change in self.changes if change.order == order), None)
