"""Decides what an operator's order makes of the orders in force, or why it is refused."""

import functools
import typing
from collections.abc import Collection, Mapping

import attrs

from carobhook.coordination import paces
from carobhook.state import codes, ids, orders, statements

_DAY_S = 24 * 3600
_CHANGES_KEPT = 200
# An instance whose wall clock stepped returns later than others.
_RETURNED_KEPT_S = 60.0

_M = typing.TypeVar("_M", orders.Shift, orders.Drain)


class OrderFault(Exception):  # noqa: N818 - an answer to an operator, not a fault of the program.
    """An order cannot be accepted.

    Attributes:
        code: Why.
        text: One sentence for the operator.
    """

    def __init__(self, code: codes.Code, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


@attrs.frozen
class KnownNames:
    """What orders may name.

    Attributes:
        regions: Regions by failure domain.
        services: Services of the configuration.
        routes: Routes of the configuration.
        servers: Backend servers that the store lists.
    """

    regions: Mapping[ids.FailureDomain, ids.Region]
    services: Collection[ids.Service]
    routes: Collection[str]
    servers: Collection[ids.Server]


@attrs.frozen
class OrderContext:
    """Who gave an order, and when.

    Attributes:
        order: Id of the order.
        author: The operator.
        text: The order as it was written.
        wall: Wall-clock time in seconds.
        known: What the order may name.
    """

    order: ids.OrderId
    author: str
    text: str
    wall: float
    known: KnownNames


def apply(
    command: statements.Command, book: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    """Return the orders in force after a command.

    Args:
        command: The command.
        book: Orders in force.
        context: Who gave it, and when.

    Raises:
        OrderFault: The command cannot be accepted.
    """
    changed = _apply(command, book, context)
    version = ids.Version(book.version + 1)
    change = orders.Change(version, context.order, context.author, context.wall, context.text)
    return attrs.evolve(
        changed,
        version=version,
        shifts=tuple(s for s in changed.shifts if not _is_over(s, changed, context.wall)),
        drains=tuple(d for d in changed.drains if not _is_over(d, changed, context.wall)),
        changes=(*changed.changes, change)[-_CHANGES_KEPT:],
    )


def is_open(order: orders.Move, wall: float) -> bool:
    """Tell whether an order holds now, or will at a time of its schedule.

    Args:
        order: The order.
        wall: Wall-clock time in seconds.
    """
    return order.span.ends_at is None or order.span.ends_at > wall


def _is_over(order: orders.Move, book: orders.OrderState, wall: float) -> bool:
    """Tell whether an order has ended, and what it moved has been back for a while."""
    goal = order.share if isinstance(order, orders.Shift) else 1.0
    ends_at, then = order.span.ends_at, wall - _RETURNED_KEPT_S
    if ends_at is None or then < ends_at:
        return False
    return paces.scheduled_share(goal, order.span, book.cap_of(order), then) <= 0


@functools.singledispatch
def _apply(
    command: object, book: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    raise TypeError(f"command must be a command, got {command!r:.60}")


@_apply.register
def _(
    command: statements.Shift, book: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    known = context.known
    _check(command.service, known.services, "service")
    for region in (command.source, command.target):
        _check(region, set(known.regions.values()), "region")
    if command.source == command.target:
        text = f"{command.source} is both where requests leave and where they go"
        raise OrderFault(codes.Code.ORDER_INVALID, text)
    moved = sum(
        s.share
        for s in book.shifts
        if (s.service, s.source) == (command.service, command.source)
        and s.span.ends_at is None
        and (s.priority is None or command.priority in (None, s.priority))
    )
    if moved + command.share > 1.0 + 1e-9:
        text = f"{moved:.0%} of {command.service} of {command.source} are moved already"
        raise OrderFault(codes.Code.ORDER_INVALID, text)
    shift = orders.Shift(
        context.order,
        context.author,
        command.service,
        command.source,
        command.target,
        command.share,
        orders.Span(context.wall),
        _own_cap(command.cap_override, book.caps.get(command.service, book.cap)),
        command.priority,
    )
    return attrs.evolve(book, shifts=(*book.shifts, shift))


@_apply.register
def _(
    command: statements.Drain, book: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    _check_subject(command.kind, command.name, context.known)
    begins_at = _next_time(command.starts, context.wall)
    ends_at = None if command.ends is None else _next_time(command.ends, begins_at)
    drain = orders.Drain(
        context.order,
        context.author,
        command.kind,
        command.name,
        orders.Span(begins_at, ends_at),
        _own_cap(command.cap_override, book.cap),
    )
    _check_some_left(drain, book, context)
    return attrs.evolve(book, drains=(*book.drains, drain))


@_apply.register
def _(
    command: statements.Undrain, book: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    subject = (command.kind, command.name)
    if not any((d.kind, d.name) == subject and is_open(d, context.wall) for d in book.drains):
        text = f"{command.kind.value} {command.name} is not drained"
        raise OrderFault(codes.Code.ORDER_INVALID, text)
    drains = tuple(
        _ended(d, context) if (d.kind, d.name) == subject else d for d in book.drains
    )
    return attrs.evolve(book, drains=drains)


@_apply.register
def _(
    command: statements.SetCap, book: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    if command.cap.share <= 0:
        raise OrderFault(
            codes.Code.ORDER_INVALID, "a cap of 0% would let nothing move or return"
        )
    if command.service is None:
        return attrs.evolve(book, cap=command.cap)
    _check(command.service, context.known.services, "service")
    return attrs.evolve(book, caps={**book.caps, command.service: command.cap})


@_apply.register
def _(
    command: statements.SetRank, book: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    priorities = dict(book.priorities)
    if command.priority is None:
        _check(command.route, priorities, "route with a rank of its own")
        del priorities[command.route]
    else:
        _check(command.route, context.known.routes, "route")
        priorities[command.route] = command.priority
    return attrs.evolve(book, priorities=priorities)


@_apply.register
def _(
    command: statements.Cancel, book: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    found = [held.order for held in book.moves if is_open(held, context.wall)]
    _check(command.order, found, "order that is under way")
    return attrs.evolve(
        book,
        shifts=tuple(
            _ended(s, context) if s.order == command.order else s for s in book.shifts
        ),
        drains=tuple(
            _ended(d, context) if d.order == command.order else d for d in book.drains
        ),
    )


def _ended(order: _M, context: OrderContext) -> _M:
    """Return an order that ends now; one that has not begun never does."""
    now = context.wall
    if order.span.begins_at > now:
        return attrs.evolve(order, span=orders.Span(now, now - 1.0))
    return attrs.evolve(order, span=orders.Span(order.span.begins_at, now))


def _own_cap(own: statements.CapOverride | None, general: orders.Cap) -> orders.Cap | None:
    """Return the cap of an order, None for the general one."""
    if own is None:
        return None
    if own.cap.share <= 0:
        raise OrderFault(codes.Code.ORDER_INVALID, "a cap of 0% would let nothing move")
    pace = own.cap.share / own.cap.window_s
    is_wider = own.cap.share > general.share or pace > general.share / general.window_s
    if is_wider and not own.emergency:
        text = (
            f"the cap is wider than {general.share:.0%} per {general.window_s:g}s; "
            "an emergency cap may be"
        )
        raise OrderFault(codes.Code.ORDER_OVER_CAP, text)
    return own.cap


def _check(name: str, known: Collection[str], what: str) -> None:
    if name not in known:
        listed = ", ".join(sorted(known)[:20]) or "none"
        text = f"{name!r} is no {what}; there are: {listed}"
        raise OrderFault(codes.Code.ORDER_INVALID, text)


def _check_subject(kind: orders.DrainKind, name: str, known: KnownNames) -> None:
    names: Collection[str] = known.servers
    if kind is orders.DrainKind.REGION:
        names = set(known.regions.values())
    elif kind is orders.DrainKind.FAILURE_DOMAIN:
        names = known.regions
    _check(name, names, kind.value)


def _check_some_left(
    drain: orders.Drain, book: orders.OrderState, context: OrderContext
) -> None:
    """Refuse a drain that would leave no failure domain to serve."""
    drains = (*(d for d in book.drains if is_open(d, context.wall)), drain)
    drained = {d.name for d in drains if d.kind is not orders.DrainKind.SERVER}
    zones = context.known.regions.items()
    left = [zone for zone, region in zones if not drained & {zone, region}]
    if not left:
        text = f"with {drain.kind.value} {drain.name} drained, no failure domain would serve"
        raise OrderFault(codes.Code.ORDER_OVERLOAD, text)


def _next_time(second_of_day: int | None, after: float) -> float:
    """Return when a time of day comes next; the time itself without one."""
    if second_of_day is None:
        return after
    midnight = after - after % _DAY_S
    due = midnight + second_of_day
    return due if due >= after else due + _DAY_S
