"""Applies operators' orders to servers and requests, gradually and within their caps."""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs
import xxhash

from carobhook.coordination import catalog, order_rollout, smooth_round_robin
from carobhook.state import ids, orders, servers


@attrs.define
class Steering:
    """Holds the orders in force and the share of each that this instance has applied.

    Attributes:
        regions: Regions by failure domain.
    """

    regions: Mapping[ids.FailureDomain, ids.Region]
    _in_force: orders.OrderState = attrs.field(factory=orders.OrderState, init=False)
    _applied_shares: dict[ids.OrderId, float] = attrs.field(factory=dict, init=False)
    _move_limiters: dict[tuple[ids.Region, ids.Service], order_rollout.MoveLimiter] = (
        attrs.field(factory=dict, init=False)
    )
    _has_advanced: bool = attrs.field(default=False, init=False)
    _region_choice: smooth_round_robin.SmoothRoundRobin[ids.Region] = attrs.field(
        factory=smooth_round_robin.SmoothRoundRobin, init=False
    )

    @property
    def in_force(self) -> orders.OrderState:
        """Return the orders in force."""
        return self._in_force

    def replace_if_newer(self, candidate: orders.OrderState) -> bool:
        """Replace the orders in force with a newer version; return whether it was newer."""
        if candidate.version <= self._in_force.version:
            return False
        self._in_force = candidate
        return True

    def applied_share(self, order: ids.OrderId) -> float:
        """Return the share of requests or slots that an order has moved on this instance."""
        return self._applied_shares.get(order, 0.0)

    def advance(self, services: Collection[ids.Service], now: float, wall_time: float) -> bool:
        """Update the applied share of each order; return whether any share changed.

        Args:
            services: All services; a drain of a region or failure domain affects each of them.
            now: Monotonic time in seconds.
            wall_time: Wall-clock time in seconds.
        """
        before = dict(self._applied_shares)
        after: dict[ids.OrderId, float] = {}
        for order in self._in_force.moves:
            share = self._next_share(order, services, now, wall_time)
            if share > 0:
                after[order.order] = share
        self._applied_shares = after
        # Until this is set, `_next_share` applies the scheduled shares without the limit. If an
        # instance that starts while an order is partly applied began at zero, it would send
        # traffic back that the other instances have moved away already.
        self._has_advanced = True
        return after != before

    def _next_share(
        self,
        order: orders.Move,
        services: Collection[ids.Service],
        now: float,
        wall_time: float,
    ) -> float:
        """Return the share of an order to apply now.

        A change of the share is limited, and recorded with the limiters of the order, except
        in the first call of `advance`.
        """
        cap = self._in_force.cap_of(order)
        goal = order.share if isinstance(order, orders.Shift) else 1.0
        scheduled = order_rollout.scheduled_share(goal, order.span, cap, wall_time)
        applied = self._applied_shares.get(order.order, 0.0)
        if not self._has_advanced or scheduled == applied:
            return scheduled
        limiters = [self._move_limiter(key) for key in self._limiter_keys(order, services)]
        allowance = min((limiter.allowance(cap, now) for limiter in limiters), default=1.0)
        step = min(abs(scheduled - applied), allowance)
        for limiter in limiters:
            limiter.record(step, now)
        return applied + math.copysign(step, scheduled - applied)

    def _move_limiter(self, key: tuple[ids.Region, ids.Service]) -> order_rollout.MoveLimiter:
        return self._move_limiters.setdefault(key, order_rollout.MoveLimiter())

    def _limiter_keys(
        self, order: orders.Move, services: Collection[ids.Service]
    ) -> list[tuple[ids.Region, ids.Service]]:
        """Return the keys of the limiters that an order's moves are recorded with.

        A shift uses the limiter of its source region and service. A drain of a region or
        failure domain uses one limiter for each service in the region. The drain of a single
        server uses none, as it moves only a small part of the traffic of a service.
        """
        if isinstance(order, orders.Shift):
            return [(order.source, order.service)]
        if order.kind is orders.DrainKind.SERVER:
            return []
        region = ids.Region(order.name)
        if order.kind is orders.DrainKind.FAILURE_DOMAIN:
            # A failure domain whose region is unknown gets limiters under its own name.
            region = self.regions.get(ids.FailureDomain(order.name), region)
        return [(region, service) for service in services]

    # Servers.

    def is_fully_drained(self, entry: servers.ServerEntry) -> bool:
        """Return whether a drain of a server has taken full effect, so it gets no new work."""
        return any(
            self.applied_share(drain.order) >= 1.0 and self._drain_includes(drain, entry)
            for drain in self._in_force.drains
        )

    def withheld_slots(
        self,
        service: ids.Service,
        region: ids.Region,
        views: Sequence[catalog.ServerView],
    ) -> dict[ids.Server, int]:
        """Return, by server, the number of slots that drains withhold from use.

        Servers that no drain includes are left out.

        Args:
            service: Service of the servers.
            region: Region of the servers.
            views: The servers.
        """
        slots_by_server: dict[ids.Server, int] = {}
        for drain in self._in_force.drains:
            share = self.applied_share(drain.order)
            if share <= 0:
                continue
            drained = [view.entry for view in views if self._drain_includes(drain, view.entry)]
            _withhold_slots(
                slots_by_server, drained, share, f"{drain.order}/{region}/{service}"
            )
        return slots_by_server

    def _drain_includes(self, drain: orders.Drain, entry: servers.ServerEntry) -> bool:
        if drain.kind is orders.DrainKind.REGION:
            return self.regions.get(entry.failure_domain) == drain.name
        if drain.kind is orders.DrainKind.FAILURE_DOMAIN:
            return entry.failure_domain == drain.name
        return entry.name == drain.name

    # Requests.

    def route_priority(self, route: str, configured: int) -> int:
        """Return the rank of a route's requests.

        Args:
            route: Name of the route.
            configured: Rank in the configuration, used if no order sets another.
        """
        return self._in_force.priorities.get(route, configured)

    def choose_region(
        self,
        service: ids.Service,
        source: ids.Region,
        priority: int,
        homes: frozenset[ids.Region],
    ) -> ids.Region:
        """Return the region whose dispatcher is asked for a slot for the next request.

        Shifts move their shares of the requests from the source to their target regions. The
        choices rotate smoothly, so even a few consecutive requests follow these shares.

        Args:
            service: Service of the request.
            source: Region that is chosen if no shift moves the request.
            priority: Rank of the request.
            homes: Regions that may serve the request; empty for all.
        """
        shares = self._shifted_shares(service, source, priority, homes)
        if not shares:
            return source
        shares[source] = max(0.0, 1.0 - sum(shares.values()))
        return self._region_choice.choose((service, priority), shares)

    def _shifted_shares(
        self,
        service: ids.Service,
        source: ids.Region,
        priority: int,
        homes: frozenset[ids.Region],
    ) -> dict[ids.Region, float]:
        """Return, by target region, the share of such requests that shifts move there."""
        shares: dict[ids.Region, float] = {}
        for shift in self._in_force.shifts:
            if shift.service != service or shift.source != source:
                continue
            if shift.priority not in (None, priority) or (homes and shift.target not in homes):
                continue
            share = self.applied_share(shift.order)
            if share > 0:
                shares[shift.target] = shares.get(shift.target, 0.0) + share
        return shares


def _withhold_slots(
    slots_by_server: dict[ids.Server, int],
    entries: Iterable[servers.ServerEntry],
    share: float,
    salt: str,
) -> None:
    """Add the slots that a drain withholds to those that earlier drains withhold.

    Servers lose their slots one server after the other. The sequence depends only on the salt
    and the names of the servers, so a larger share withholds the same slots and more.
    """
    ordered = sorted(
        entries, key=lambda entry: xxhash.xxh64_intdigest(f"{salt}\0{entry.name}".encode())
    )
    # Without the tolerance, floor would withhold one slot too few: 0.29 * 100 is below 29.
    remaining = math.floor(share * sum(entry.slots for entry in ordered) + 1e-9)
    for entry in ordered:
        count = min(remaining, entry.slots - slots_by_server.get(entry.name, 0))
        slots_by_server[entry.name] = slots_by_server.get(entry.name, 0) + count
        remaining -= count
