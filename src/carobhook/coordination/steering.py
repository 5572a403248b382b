"""What operators' orders mean for servers and requests at this moment."""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs
import xxhash

from carobhook.coordination import catalog, paces, smooth_round_robin
from carobhook.state import ids, orders, servers


@attrs.define
class Steering:
    """The orders in force, and how far each has taken effect here.

    Attributes:
        regions: Regions by failure domain.
    """

    regions: Mapping[ids.FailureDomain, ids.Region]
    _book: orders.OrderState = attrs.field(factory=orders.OrderState, init=False)
    _shares: dict[ids.OrderId, float] = attrs.field(factory=dict, init=False)
    _moved: dict[tuple[ids.Region, ids.Service], paces.MovedShares] = attrs.field(
        factory=dict, init=False
    )
    _started: bool = attrs.field(default=False, init=False)
    _choice: smooth_round_robin.SmoothRoundRobin[ids.Region] = attrs.field(
        factory=smooth_round_robin.SmoothRoundRobin, init=False
    )

    @property
    def book(self) -> orders.OrderState:
        """Return the orders in force."""
        return self._book

    def offer(self, book: orders.OrderState) -> bool:
        """Take orders if they are newer than those in force; tell whether they were."""
        if book.version <= self._book.version:
            return False
        self._book = book
        return True

    def share_of(self, order: ids.OrderId) -> float:
        """Return how much of an order has taken effect here."""
        return self._shares.get(order, 0.0)

    def advance(self, services: Collection[ids.Service], now: float, wall: float) -> bool:
        """Move what is due; tell whether anything moved.

        Args:
            services: All services, each of which a drain moves.
            now: Monotonic time in seconds.
            wall: Wall-clock time in seconds.
        """
        before = dict(self._shares)
        kept: dict[ids.OrderId, float] = {}
        for order in self._book.moves:
            share = self._next_share(order, services, now, wall)
            if share > 0:
                kept[order.order] = share
        self._shares = kept
        # An instance that starts while an order is half done takes up where the others are.
        self._started = True
        return kept != before

    def _next_share(
        self, order: orders.Move, services: Collection[ids.Service], now: float, wall: float
    ) -> float:
        cap = self._book.cap_of(order)
        goal = order.share if isinstance(order, orders.Shift) else 1.0
        wanted = paces.scheduled_share(goal, order.span, cap, wall)
        present = self._shares.get(order.order, 0.0)
        if not self._started or wanted == present:
            return wanted
        ledgers = [self._ledger(key) for key in self._keys(order, services)]
        room = min((ledger.room(cap, now) for ledger in ledgers), default=1.0)
        taken = min(abs(wanted - present), room)
        for ledger in ledgers:
            ledger.count(taken, now)
        return present + math.copysign(taken, wanted - present)

    def _ledger(self, key: tuple[ids.Region, ids.Service]) -> paces.MovedShares:
        return self._moved.setdefault(key, paces.MovedShares())

    def _keys(
        self, order: orders.Move, services: Collection[ids.Service]
    ) -> list[tuple[ids.Region, ids.Service]]:
        """Return whose moved shares an order counts to; a single server is a small part."""
        if isinstance(order, orders.Shift):
            return [(order.source, order.service)]
        if order.kind is orders.DrainKind.SERVER:
            return []
        region = ids.Region(order.name)
        if order.kind is orders.DrainKind.FAILURE_DOMAIN:
            region = self.regions.get(ids.FailureDomain(order.name), region)
        return [(region, service) for service in services]

    # Servers.

    def empties(self, entry: servers.ServerEntry) -> bool:
        """Tell whether a server must get no new work at all."""
        return any(
            self.share_of(drain.order) >= 1.0 and self._covers(drain, entry)
            for drain in self._book.drains
        )

    def withheld(
        self,
        service: ids.Service,
        region: ids.Region,
        views: Sequence[catalog.ServerView],
    ) -> dict[ids.Server, int]:
        """Return the slots of a region's servers that drains leave unused.

        Args:
            service: Service of the servers.
            region: Their region.
            views: The servers.
        """
        found: dict[ids.Server, int] = {}
        for drain in self._book.drains:
            share = self.share_of(drain.order)
            if share <= 0:
                continue
            covered = [view.entry for view in views if self._covers(drain, view.entry)]
            _withhold(found, covered, share, f"{drain.order}/{region}/{service}")
        return found

    def _covers(self, drain: orders.Drain, entry: servers.ServerEntry) -> bool:
        if drain.kind is orders.DrainKind.REGION:
            return self.regions.get(entry.zone) == drain.name
        if drain.kind is orders.DrainKind.FAILURE_DOMAIN:
            return entry.zone == drain.name
        return entry.name == drain.name

    # Requests.

    def priority(self, route: str, told: int) -> int:
        """Return the rank of a route's requests.

        Args:
            route: Name of the route.
            told: Its rank by the configuration.
        """
        return self._book.priorities.get(route, told)

    def region_for(
        self,
        service: ids.Service,
        source: ids.Region,
        priority: int,
        homes: frozenset[ids.Region],
    ) -> ids.Region:
        """Return the region that is asked to serve the next request.

        The choice is smooth: over any few requests each region gets its part.

        Args:
            service: Service of the request.
            source: Region of the instance that has it.
            priority: Its rank.
            homes: Regions that may serve it; empty for all.
        """
        parts = self._parts(service, source, priority, homes)
        if not parts:
            return source
        parts[source] = max(0.0, 1.0 - sum(parts.values()))
        return self._choice.choose((service, priority), parts)

    def _parts(
        self,
        service: ids.Service,
        source: ids.Region,
        priority: int,
        homes: frozenset[ids.Region],
    ) -> dict[ids.Region, float]:
        parts: dict[ids.Region, float] = {}
        for shift in self._book.shifts:
            if shift.service != service or shift.source != source:
                continue
            if shift.priority not in (None, priority) or (homes and shift.target not in homes):
                continue
            share = self.share_of(shift.order)
            if share > 0:
                parts[shift.target] = parts.get(shift.target, 0.0) + share
        return parts


def _withhold(
    found: dict[ids.Server, int],
    entries: Iterable[servers.ServerEntry],
    share: float,
    salt: str,
) -> None:
    """Withhold a share of some servers' slots, whole servers first, always the same ones."""
    ordered = sorted(
        entries, key=lambda entry: xxhash.xxh64_intdigest(f"{salt}\0{entry.name}".encode())
    )
    left = math.floor(share * sum(entry.slots for entry in ordered) + 1e-9)
    for entry in ordered:
        taken = min(left, entry.slots - found.get(entry.name, 0))
        found[entry.name] = found.get(entry.name, 0) + taken
        left -= taken
