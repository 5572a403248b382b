"""Answers operators' queries and dry runs from the state that one instance knows."""

import datetime
import functools
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from carobhook.coordination import catalog, order_commands, order_rollout, steering
from carobhook.protocol import slot_messages
from carobhook.state import codes, ids, members, orders, routing, statements

Row = tuple[Any, ...]


@attrs.frozen
class Answer:
    """Answer to an order or a query.

    Attributes:
        code: Result code.
        text: One sentence; if empty, the text of the code is used.
        version: For an order, the version of the orders that it produced. For a query, the
            version that the answer describes.
        columns: Names of the table's columns.
        rows: Rows of the table.
    """

    code: codes.Code
    text: str = ""
    version: ids.Version | None = None
    columns: tuple[str, ...] = ()
    rows: tuple[Row, ...] = ()


@attrs.frozen
class InstanceView:
    """State of one instance, from which queries are answered.

    Attributes:
        orders: Orders in force, and the share of each that this instance has applied.
        config: Configuration in force, None before the first.
        servers: Servers that may be used.
        live_members: Live instances, that is, those that sent a message recently.
        loads: Loads of the shards, as reported by their dispatchers.
        regions: Regions by failure domain.
    """

    orders: steering.Steering
    config: routing.RoutingConfig | None
    servers: Sequence[catalog.ServerView]
    live_members: Sequence[members.Member]
    loads: Sequence[slot_messages.ShardLoad]
    regions: dict[ids.FailureDomain, ids.Region]

    @property
    def routes(self) -> Sequence[routing.Route]:
        """Return the routes of the configuration."""
        return self.config.routes if self.config is not None else ()


@functools.singledispatch
def answer(query: object, view: InstanceView) -> Answer:
    """Return the answer to a query.

    Args:
        query: One of `statements.Query`.
        view: State of this instance.
    """
    raise TypeError(f"query must be a query, got {query!r:.60}")


@answer.register
def _(query: statements.Show, view: InstanceView) -> Answer:
    columns, rows = _TABLES[query.subject](view)
    return Answer(codes.Code.QUERY_OK, "", view.orders.in_force.version, columns, tuple(rows))


@answer.register
def _(query: statements.ShowChange, view: InstanceView) -> Answer:
    changes = view.orders.in_force.changes
    change = next((c for c in changes if c.version == query.version), None)
    if change is None:
        text = (
            f"version {query.version} is not kept; the last is {view.orders.in_force.version}"
        )
        return Answer(codes.Code.ORDER_INVALID, text)
    columns, rows = _change_rows((change,))
    return Answer(codes.Code.QUERY_OK, "", change.version, columns, tuple(rows))


@answer.register
def _(query: statements.Wait, view: InstanceView) -> Answer:
    lagging = instances_without(query.version, view.live_members)
    code = codes.Code.ORDER_ACCEPTED if lagging else codes.Code.ORDER_IN_FORCE
    total = len(view.live_members)
    reached = f"{total - len(lagging)} of {total} instances"
    text = f"version {query.version} is in force in {reached}"
    rows = tuple((name,) for name in lagging)
    return Answer(code, text, query.version, ("missing",), rows)


def instances_without(
    version: ids.Version, live_members: Sequence[members.Member]
) -> list[ids.InstanceId]:
    """Return the names of the instances whose orders in force are older than a version."""
    return [member.name for member in live_members if member.orders_version < version]


@answer.register
def _(query: statements.ExplainService, view: InstanceView) -> Answer:
    in_force = view.orders.in_force
    columns = ("served by", "share", "wanted", "rank", "why", "author")
    moved = 0.0
    rows: list[Row] = []
    for shift in in_force.shifts:
        if (shift.service, shift.source) != (query.service, query.region):
            continue
        share = view.orders.applied_share(shift.order)
        # The first row is for requests of all ranks, so shifts of a single rank do not count.
        moved += share if shift.priority is None else 0.0
        rank = "all" if shift.priority is None else shift.priority
        why = f"shift {shift.order}"
        rows.append(
            (shift.target, _percent(share), _percent(shift.share), rank, why, shift.author)
        )
    rows.insert(0, (query.region, _percent(1.0 - moved), "", "all", "its own region", ""))
    rows += [
        (f"not {drain.name}", _percent(view.orders.applied_share(drain.order)), "100%", "all",
         f"drain {drain.order}", drain.author)
        for drain in in_force.drains
    ]  # fmt: skip
    text = "what a region refuses that requests were shifted to is served at home"
    return Answer(codes.Code.QUERY_OK, text, in_force.version, columns, tuple(rows))


@answer.register
def _(query: statements.ExplainRegion, view: InstanceView) -> Answer:
    columns = ("service", "slots", "usable", "running", "waiting", "demand", "binds")
    rows = [
        (load.service, load.slots, load.usable, load.running, load.waiting,
         _decimal(load.demand), _limiting_factor(load))
        for load in view.loads
        if load.region == query.region
    ]  # fmt: skip
    drain_texts = [
        f"{drain.kind.value} {drain.name} ({drain.order} of {drain.author})"
        for drain in view.orders.in_force.drains
        if view.orders.applied_share(drain.order) > 0
        and query.region in (drain.name, view.regions.get(ids.FailureDomain(drain.name)))
    ]
    text = "drained: " + ", ".join(drain_texts) if drain_texts else "no drain holds here"
    return Answer(codes.Code.QUERY_OK, text, view.orders.in_force.version, columns, tuple(rows))


def _limiting_factor(load: slot_messages.ShardLoad) -> str:
    """Return what limits the throughput of a shard, in words; empty if nothing does."""
    if load.usable <= 0:
        return "no slots"
    if load.running >= load.usable:
        return "all slots are in use"
    if load.waiting:
        return "servers' pace"
    return ""


def dry_run(
    command: statements.Command, view: InstanceView, context: order_commands.OrderContext
) -> Answer:
    """Return the slots and demand to expect if a command is given and takes full effect.

    The command is applied to a copy; the orders in force stay as they are.

    Args:
        command: The command.
        view: State of this instance.
        context: Author, time and id of the order.

    Raises:
        order_commands.OrderError: The command would not be accepted.
    """
    after = order_commands.apply(command, view.orders.in_force, context)
    columns = ("service", "region", "slots", "demand", "slots then", "demand then", "use then")
    rows = []
    overloaded = []
    for service in sorted({load.service for load in view.loads}):
        service_loads = [load for load in view.loads if load.service == service]
        drained = _drained_names(after, context.wall_time)
        slots = {
            load.region: _undrained_slots(drained, service, load.region, view)
            for load in service_loads
        }
        demand = _projected_demand(after, service, service_loads, context.wall_time)
        for load in sorted(service_loads, key=lambda load: load.region):
            region = load.region
            use = _percent(demand[region] / slots[region]) if slots[region] else "none"
            cells = (
                load.slots,
                _decimal(load.demand),
                slots[region],
                _decimal(demand[region]),
            )
            rows.append((service, region, *cells, use))
        if sum(demand.values()) > sum(slots.values()):
            overloaded.append(service)
    text = "regions lend each other slots; "
    text += (
        f"too few slots for {', '.join(overloaded)}"
        if overloaded
        else "there are slots for all"
    )
    text += f"; {_duration_text(command, after, context)}"
    version = view.orders.in_force.version
    return Answer(codes.Code.QUERY_OK, text, version, columns, tuple(rows))


def _drained_names(current: orders.OrderState, wall_time: float) -> set[str]:
    """Return the names of the regions, failure domains and servers that open drains name.

    Drains that have yet to begin count too.
    """
    return {drain.name for drain in current.drains if order_commands.is_open(drain, wall_time)}


def _undrained_slots(
    drained: set[str], service: ids.Service, region: ids.Region, view: InstanceView
) -> int:
    return sum(
        server.entry.slots
        for server in view.servers
        if server.entry.service == service
        and view.regions.get(server.entry.failure_domain) == region
        and not drained & {region, server.entry.failure_domain, server.entry.name}
    )


def _projected_demand(
    current: orders.OrderState,
    service: ids.Service,
    loads: Sequence[slot_messages.ShardLoad],
    wall_time: float,
) -> dict[ids.Region, float]:
    """Return the demand for a service by region once all its shifts have taken full effect."""
    reported = {load.region: load.demand or 0.0 for load in loads}
    projected = dict(reported)
    for shift in current.shifts:
        is_counted = shift.service == service and order_commands.is_open(shift, wall_time)
        if is_counted and shift.source in reported:
            projected[shift.source] -= shift.share * reported[shift.source]
            projected[shift.target] = (
                projected.get(shift.target, 0.0) + shift.share * reported[shift.source]
            )
    return projected


def _duration_text(
    command: statements.Command, after: orders.OrderState, context: order_commands.OrderContext
) -> str:
    """Return how long a command takes to have full effect, in words.

    A command that moves nothing, such as one that sets a cap, is in force within seconds.
    """
    order_moves = [move for move in after.moves if move.order == context.order]
    if not order_moves:
        return "in force within seconds"
    goal = order_moves[0].share if isinstance(order_moves[0], orders.Shift) else 1.0
    cap = after.cap_of(order_moves[0])
    return f"takes about {order_rollout.duration_s(goal, cap):.0f} s at {_cap_text(cap)}"


# Tables.


def _instances(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    columns = ("instance", "region", "failure domain", "phase", "config", "orders", "http")
    return columns, [
        (m.name, m.region, m.failure_domain, m.phase.value, f"{m.version:08x}",
         m.orders_version, m.http)
        for m in view.live_members
    ]  # fmt: skip


def _servers(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    columns = ("server", "service", "region", "failure domain", "state", "slots", "address")
    entries = sorted((server.entry for server in view.servers), key=lambda entry: entry.name)
    return columns, [
        (e.name, e.service, view.regions.get(e.failure_domain, ""), e.failure_domain,
         e.state.value, e.slots, e.address)
        for e in entries
    ]  # fmt: skip


def _regions(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    columns = ("region", "instances", "servers", "slots", "running", "waiting")
    rows: list[Row] = []
    for region in sorted(set(view.regions.values())):
        loads = [load for load in view.loads if load.region == region]
        in_region = [
            s for s in view.servers if view.regions.get(s.entry.failure_domain) == region
        ]
        rows.append(
            (
                region,
                sum(member.region == region for member in view.live_members),
                len(in_region),
                sum(server.entry.slots for server in in_region),
                sum(load.running for load in loads),
                sum(load.waiting for load in loads),
            )
        )
    return columns, rows


def _traffic(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    columns = ("service", "region", "slots", "usable", "running", "waiting", "demand", "lent",
               "withheld")  # fmt: skip
    ordered = sorted(view.loads, key=lambda load: (load.service, load.region))
    return columns, [
        (load.service, load.region, load.slots, load.usable, load.running, load.waiting,
         _decimal(load.demand), " ".join(f"{to}:{count}" for to, count in load.lent if count),
         load.withheld)
        for load in ordered
    ]  # fmt: skip


def _routes(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    columns = ("route", "host", "prefix", "services", "rank", "target s", "timeout s", "homes")
    return columns, [
        (r.name, r.host, r.prefix,
         " ".join(f"{s.service}:{s.weight:g}" for s in r.weighted_services),
         view.orders.route_priority(r.name, r.priority), r.target_s, r.timeout_s,
         " ".join(sorted(r.homes)))
        for r in view.routes
    ]  # fmt: skip


def _accounts(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    table = view.config.accounts if view.config is not None else None
    columns = ("account", "rank", "homes", "requests/s", "burst")
    return columns, [
        (a.name, "of the route" if a.priority is None else a.priority,
         " ".join(sorted(a.homes)), a.quota.rate_per_s if a.quota is not None else "no limit",
         a.quota.burst if a.quota is not None else "")
        for a in (table.accounts if table is not None else ())
    ]  # fmt: skip


def _ranks(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    priorities = view.orders.in_force.priorities
    return ("route", "rank", "by the configuration"), [
        (r.name, priorities.get(r.name, r.priority), r.priority) for r in view.routes
    ]


def _drains(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    columns = ("order", "author", "what", "name", "done", "cap", "from", "until")
    in_force = view.orders.in_force
    return columns, [
        (d.order, d.author, d.kind.value, d.name, _percent(view.orders.applied_share(d.order)),
         _cap_text(in_force.cap_of(d)), _time_text(d.span.begins_at),
         _time_text(d.span.ends_at))
        for d in in_force.drains
    ]  # fmt: skip


def _shifts(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    columns = ("order", "author", "service", "from", "to", "rank", "share", "done", "cap",
               "until")  # fmt: skip
    in_force = view.orders.in_force
    return columns, [
        (s.order, s.author, s.service, s.source, s.target,
         "all" if s.priority is None else s.priority, _percent(s.share),
         _percent(view.orders.applied_share(s.order)), _cap_text(in_force.cap_of(s)),
         _time_text(s.span.ends_at))
        for s in in_force.shifts
    ]  # fmt: skip


def _caps(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    in_force = view.orders.in_force
    rows: list[Row] = [("all others", _cap_text(in_force.cap))]
    rows += [(service, _cap_text(cap)) for service, cap in sorted(in_force.caps.items())]
    return ("service", "cap"), rows


def _changes(view: InstanceView) -> tuple[tuple[str, ...], list[Row]]:
    return _change_rows(tuple(reversed(view.orders.in_force.changes)))


def _change_rows(changes: Sequence[orders.Change]) -> tuple[tuple[str, ...], list[Row]]:
    return ("version", "author", "order", "at", "text"), [
        (c.version, c.author, c.order, _time_text(c.at), c.text) for c in changes
    ]


def _percent(share: float) -> str:
    return f"{share * 100:.3g}%"


def _decimal(value: float | None) -> str:
    return "" if value is None else f"{value:.1f}"


def _cap_text(cap: orders.Cap) -> str:
    return f"{_percent(cap.share)} per {cap.window_s:g}s"


def _time_text(at: float | None) -> str:
    if at is None:
        return ""
    return datetime.datetime.fromtimestamp(at, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


_TABLES: dict[
    statements.Subject, Callable[[InstanceView], tuple[tuple[str, ...], list[Row]]]
] = {
    statements.Subject.INSTANCES: _instances,
    statements.Subject.SERVERS: _servers,
    statements.Subject.REGIONS: _regions,
    statements.Subject.TRAFFIC: _traffic,
    statements.Subject.ROUTES: _routes,
    statements.Subject.ACCOUNTS: _accounts,
    statements.Subject.RANKS: _ranks,
    statements.Subject.DRAINS: _drains,
    statements.Subject.SHIFTS: _shifts,
    statements.Subject.CAPS: _caps,
    statements.Subject.CHANGES: _changes,
}
