"""Applies operators' commands to the orders in force, or refuses them with a reason."""

import functools
import typing
from collections.abc import Collection, Mapping

import attrs

from carobhook.coordination import order_rollout
from carobhook.state import codes, ids, orders, statements

_DAY_S = 24 * 3600
# Changes that the audit trail keeps; without a limit, the stored orders would grow forever.
_MAX_AUDIT_CHANGES = 200
# Seconds that an ended order is kept after the last step of its return. An instance whose wall
# clock jumped returns traffic later than the others. If the order were removed before that
# instance is done, the rest of its traffic would return at once, beyond the cap.
_RETENTION_AFTER_RETURN_S = 60.0

_MoveT = typing.TypeVar("_MoveT", orders.Shift, orders.Drain)


class OrderError(Exception):
    """An order was refused, or it is not known yet whether it was accepted.

    The error is reported to the operator; it does not mean that the program has a fault.

    Attributes:
        code: Result code that gives the reason.
        text: One sentence for the operator.
    """

    def __init__(self, code: codes.Code, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


@attrs.frozen
class KnownNames:
    """Names that orders may refer to.

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
    """The author, time and id of an order, and the names that it may refer to.

    Attributes:
        order: Id of the order.
        author: Operator who gave the order.
        text: The order as the operator wrote it.
        wall_time: Wall-clock time in seconds at which the order is evaluated.
        known: Names that the order may refer to.
    """

    order: ids.OrderId
    author: str
    text: str
    wall_time: float
    known: KnownNames


def apply(
    command: statements.Command, current: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    """Return the orders in force after a command, which is recorded in their audit trail.

    Ended orders whose retention time has passed are removed.

    Args:
        command: The command.
        current: Orders in force before the command.
        context: Author, time and id of the order.

    Raises:
        OrderError: The command cannot be accepted.
    """
    changed = _apply(command, current, context)
    version = ids.Version(current.version + 1)
    change = orders.Change(
        version, context.order, context.author, context.wall_time, context.text
    )
    return attrs.evolve(
        changed,
        version=version,
        shifts=tuple(
            s for s in changed.shifts if not _is_removable(s, changed, context.wall_time)
        ),
        drains=tuple(
            d for d in changed.drains if not _is_removable(d, changed, context.wall_time)
        ),
        changes=(*changed.changes, change)[-_MAX_AUDIT_CHANGES:],
    )


def is_open(order: orders.Move, wall_time: float) -> bool:
    """Return whether an order has not ended yet; one that has yet to begin is open too.

    Args:
        order: The order.
        wall_time: Wall-clock time in seconds.
    """
    return order.span.ends_at is None or order.span.ends_at > wall_time


def _is_removable(order: orders.Move, current: orders.OrderState, wall_time: float) -> bool:
    """Return whether an order has ended and its retention time has passed.

    The retention time begins when the schedule has returned all that the order moved.
    """
    goal = order.share if isinstance(order, orders.Shift) else 1.0
    ends_at, cutoff = order.span.ends_at, wall_time - _RETENTION_AFTER_RETURN_S
    if ends_at is None or cutoff < ends_at:
        return False
    return order_rollout.scheduled_share(goal, order.span, current.cap_of(order), cutoff) <= 0


@functools.singledispatch
def _apply(
    command: object, current: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    raise TypeError(f"command must be a command, got {command!r:.60}")


@_apply.register
def _(
    command: statements.Shift, current: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    known = context.known
    _require_known(command.service, known.services, "service")
    for region in (command.source, command.target):
        _require_known(region, set(known.regions.values()), "region")
    if command.source == command.target:
        text = f"{command.source} is both where requests leave and where they go"
        raise OrderError(codes.Code.ORDER_INVALID, text)
    moved = sum(
        s.share
        for s in current.shifts
        if (s.service, s.source) == (command.service, command.source)
        and s.span.ends_at is None
        and (s.priority is None or command.priority in (None, s.priority))
    )
    # The tolerance keeps rounding errors from refusing shifts that add up to exactly 100%.
    if moved + command.share > 1.0 + 1e-9:
        text = f"{moved:.0%} of {command.service} of {command.source} are moved already"
        raise OrderError(codes.Code.ORDER_INVALID, text)
    shift = orders.Shift(
        context.order,
        context.author,
        command.service,
        command.source,
        command.target,
        command.share,
        orders.Span(context.wall_time),
        _validated_cap(command.cap_override, current.caps.get(command.service, current.cap)),
        command.priority,
    )
    return attrs.evolve(current, shifts=(*current.shifts, shift))


@_apply.register
def _(
    command: statements.Drain, current: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    _require_drain_name(command.kind, command.name, context.known)
    begins_at = _next_occurrence(command.starts, context.wall_time)
    ends_at = None if command.ends is None else _next_occurrence(command.ends, begins_at)
    drain = orders.Drain(
        context.order,
        context.author,
        command.kind,
        command.name,
        orders.Span(begins_at, ends_at),
        _validated_cap(command.cap_override, current.cap),
    )
    _require_undrained_domain(drain, current, context)
    return attrs.evolve(current, drains=(*current.drains, drain))


@_apply.register
def _(
    command: statements.Undrain, current: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    subject = (command.kind, command.name)
    if not any(
        (d.kind, d.name) == subject and is_open(d, context.wall_time) for d in current.drains
    ):
        text = f"{command.kind.value} {command.name} is not drained"
        raise OrderError(codes.Code.ORDER_INVALID, text)
    drains = tuple(
        _end_now(d, context) if (d.kind, d.name) == subject else d for d in current.drains
    )
    return attrs.evolve(current, drains=drains)


@_apply.register
def _(
    command: statements.SetCap, current: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    if command.cap.share <= 0:
        raise OrderError(
            codes.Code.ORDER_INVALID, "a cap of 0% would let nothing move or return"
        )
    if command.service is None:
        return attrs.evolve(current, cap=command.cap)
    _require_known(command.service, context.known.services, "service")
    return attrs.evolve(current, caps={**current.caps, command.service: command.cap})


@_apply.register
def _(
    command: statements.SetRank, current: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    priorities = dict(current.priorities)
    if command.priority is None:
        _require_known(command.route, priorities, "route with a rank of its own")
        del priorities[command.route]
    else:
        _require_known(command.route, context.known.routes, "route")
        priorities[command.route] = command.priority
    return attrs.evolve(current, priorities=priorities)


@_apply.register
def _(
    command: statements.Cancel, current: orders.OrderState, context: OrderContext
) -> orders.OrderState:
    open_orders = [move.order for move in current.moves if is_open(move, context.wall_time)]
    _require_known(command.order, open_orders, "order that is under way")
    return attrs.evolve(
        current,
        shifts=tuple(
            _end_now(s, context) if s.order == command.order else s for s in current.shifts
        ),
        drains=tuple(
            _end_now(d, context) if d.order == command.order else d for d in current.drains
        ),
    )


def _end_now(order: _MoveT, context: OrderContext) -> _MoveT:
    """Return a copy of an order that ends now.

    An order that has not begun yet gets an end before its start. If both were the same time,
    the schedule would still take the first step.
    """
    now = context.wall_time
    if order.span.begins_at > now:
        return attrs.evolve(order, span=orders.Span(now, now - 1.0))
    return attrs.evolve(order, span=orders.Span(order.span.begins_at, now))


def _validated_cap(
    override: statements.CapOverride | None, configured: orders.Cap
) -> orders.Cap | None:
    """Return the cap that an order sets for itself, or None if it sets none.

    Args:
        override: Cap in the command, None if the command has none.
        configured: Cap of the service, or the general cap, that the override is compared with.

    Raises:
        OrderError: The override is zero, or it is wider than the configured cap (a larger share
            in a window, or in a second) and not an emergency cap.
    """
    if override is None:
        return None
    if override.cap.share <= 0:
        raise OrderError(codes.Code.ORDER_INVALID, "a cap of 0% would let nothing move")
    rate = override.cap.share / override.cap.window_s
    is_wider = (
        override.cap.share > configured.share or rate > configured.share / configured.window_s
    )
    if is_wider and not override.emergency:
        text = (
            f"the cap is wider than {configured.share:.0%} per {configured.window_s:g}s; "
            "an emergency cap may be"
        )
        raise OrderError(codes.Code.ORDER_OVER_CAP, text)
    return override.cap


def _require_known(name: str, known: Collection[str], kind: str) -> None:
    """Check that a name is among the known ones.

    Raises:
        OrderError: The name is unknown; the text lists up to 20 known names.
    """
    if name not in known:
        listed = ", ".join(sorted(known)[:20]) or "none"
        text = f"{name!r} is no {kind}; there are: {listed}"
        raise OrderError(codes.Code.ORDER_INVALID, text)


def _require_drain_name(kind: orders.DrainKind, name: str, known: KnownNames) -> None:
    names: Collection[str] = known.servers
    if kind is orders.DrainKind.REGION:
        names = set(known.regions.values())
    elif kind is orders.DrainKind.FAILURE_DOMAIN:
        names = known.regions
    _require_known(name, names, kind.value)


def _require_undrained_domain(
    drain: orders.Drain, current: orders.OrderState, context: OrderContext
) -> None:
    """Check that a new drain leaves at least one failure domain undrained.

    Raises:
        OrderError: Every failure domain would be drained.
    """
    drains = (*(d for d in current.drains if is_open(d, context.wall_time)), drain)
    drained = {d.name for d in drains if d.kind is not orders.DrainKind.SERVER}
    domains = context.known.regions.items()
    remaining = [domain for domain, region in domains if not drained & {domain, region}]
    if not remaining:
        text = f"with {drain.kind.value} {drain.name} drained, no failure domain would serve"
        raise OrderError(codes.Code.ORDER_OVERLOAD, text)


def _next_occurrence(second_of_day: int | None, after: float) -> float:
    """Return the first wall-clock time, not before `after`, at a given time of day in UTC.

    If no time of day is given, return `after` itself.
    """
    if second_of_day is None:
        return after
    midnight = after - after % _DAY_S
    today = midnight + second_of_day
    return today if today >= after else today + _DAY_S
