"""Operators' orders: shifts, drains, caps and ranks, stored as one versioned object."""

import enum
from collections.abc import Mapping

import attrs
from attrs import validators

from carobhook.state import ids

# Kind and name of the object that holds the orders in the store.
STORE_KIND = "orders"
STORE_NAME = "main"
_SHARE_VALIDATOR = validators.and_(validators.ge(0.0), validators.le(1.0))


@attrs.frozen
class Cap:
    """Limits how much of a service's traffic in one region may move within a time window.

    Attributes:
        share: Largest fraction of the traffic that may move, from 0 to 1.
        window_s: Length of the window in seconds.
    """

    share: float = attrs.field(validator=_SHARE_VALIDATOR)
    window_s: float = attrs.field(validator=validators.gt(0.0))


DEFAULT_CAP = Cap(0.1, 10.0)
_INITIAL_VERSION = ids.Version(0)


class DrainKind(enum.Enum):
    """Kind of target that a drain takes out of service."""

    REGION = "region"
    FAILURE_DOMAIN = "failure-domain"
    SERVER = "server"


@attrs.frozen
class Span:
    """Times at which an order begins and ends; its traffic moves gradually from each time on.

    Attributes:
        begins_at: Wall-clock time in seconds at which traffic begins to move.
        ends_at: Wall-clock time in seconds at which traffic begins to move back, None if the
            order has no end. An order whose end precedes its begin never moves traffic.
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
        span: Begin and end of the shift.
        cap: Cap of this shift, None if the cap of the service or the general cap applies.
        priority: Rank of the requests that move, None for all ranks.
    """

    order: ids.OrderId
    author: str
    service: ids.Service
    source: ids.Region
    target: ids.Region
    share: float = attrs.field(validator=_SHARE_VALIDATOR)
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
        span: Begin and end of the drain.
        cap: Cap of this drain, None if the slowest of all caps applies.
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
    """One version of all orders, with the latest changes that produced it.

    Attributes:
        version: Version number, which increases by one with each change.
        shifts: Shifts, including ended ones whose traffic may still be moving back.
        drains: Drains, including those that begin later, and ended ones whose traffic may
            still be moving back.
        caps: Caps by service.
        cap: General cap, for services that are not in `caps`.
        priorities: Ranks by route name, which override those of the configuration.
        changes: Latest changes, oldest first.
    """

    version: ids.Version = _INITIAL_VERSION
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

    def cap_of(self, move: "Move") -> Cap:
        """Return the cap that limits how fast a shift or drain moves traffic.

        A drain may move traffic of every service. Without a cap of its own it therefore gets
        the slowest of all caps, so that it exceeds the cap of none.
        """
        if move.cap is not None:
            return move.cap
        if isinstance(move, Shift):
            return self.caps.get(move.service, self.cap)
        return min((self.cap, *self.caps.values()), key=lambda cap: cap.share / cap.window_s)

    def change_of(self, order: ids.OrderId) -> Change | None:
        """Return the change that an order made, or None if it is no longer retained."""
        return next((change for change in self.changes if change.order == order), None)
