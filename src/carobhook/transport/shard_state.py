"""State of one shard's dispatcher: its requests, its slots and the loans to other regions."""

import collections
import math
from collections.abc import Iterable, Mapping

import attrs

from carobhook import logs
from carobhook.coordination import (
    dispatcher,
    object_digests,
    object_handover,
    pooled_server,
    server_limits,
    slot_loans,
)
from carobhook.protocol import slot_messages
from carobhook.state import allocation, ids
from carobhook.transport import slot_client

Shard = slot_client.Shard

# Reports of other regions are ignored when they are older than this. Otherwise a region that no
# longer sends reports would keep its loans, and its slots would be used without its knowledge.
_REPORT_LIFETIME_S = 1.6
# Weight of the latest sample in the moving average of demand.
_DEMAND_WEIGHT = 0.2
# The regions in which a shard's requests run are compared between windows of this length.
_GRANT_WINDOW_S = 2.0
# A new dispatcher waits this long for the reports of other regions, which tell what they
# borrow, before it tells them that they borrow nothing.
_ADOPTION_S = 1.2
# A change is logged if it concerns at least this share of the grants of a window.
_LOGGED_SHIFT = 0.15


@attrs.define(eq=False)
class ShardState:
    """Dispatcher of a shard, with the requesters, the granted slots and the loans to regions.

    Attributes:
        dispatcher: Decides on the slot requests of the shard.
        shard: The shard.
        loans: Decides how many slots are lent to each other region.
        requesters: Instance that sent each undecided slot request.
        granted: Instance and server of each granted slot.
        unreported: Instances that have not reported yet which slots they hold.
        paused_until: Monotonic time in seconds at which the dispatcher stops waiting for these
            reports.
        demand: Moving average of the slots that requests need, None before the first request.
        reports: Latest report of each other region's dispatcher, and when it arrived.
        lent: Slots of each server that are lent to each other region.
        withheld: Slots of each server that orders withhold.
        recalled: Recalled slots that their borrowers may still be using.
        limits: Limits that servers named, as far as this dispatcher was told.
        digests: Selects what each other region is told of the objects of lent servers.
        handed_over: What instances told this dispatcher of the objects of its servers.
        started_at: Monotonic time in seconds at which the dispatcher started.
        heard_regions: Regions that have sent a report to this dispatcher.
        has_adopted_loans: Whether it continues loans of the shard's previous dispatcher.
        grants: Grants in this window by region of the server.
        last_grants: Grants in the window before.
        window_started_at: Monotonic time in seconds at which this window began.
        has_failed: Whether the dispatcher raised an error and is to be replaced.
        replaced_at: Monotonic time in seconds at which it was replaced last.
    """

    shard: Shard
    dispatcher: dispatcher.Dispatcher
    loans: slot_loans.LoanController
    requesters: dict[ids.RequestId, ids.InstanceId] = attrs.field(factory=dict)
    granted: dict[ids.RequestId, tuple[ids.InstanceId, ids.Server]] = attrs.field(factory=dict)
    unreported: set[ids.InstanceId] = attrs.field(factory=set)
    paused_until: float = 0.0
    demand: float | None = None
    reports: dict[ids.Region, tuple[slot_messages.RegionReport, float]] = attrs.field(
        factory=dict
    )
    lent: dict[ids.Region, dict[ids.Server, int]] = attrs.field(factory=dict)
    withheld: Mapping[ids.Server, int] = attrs.field(factory=dict)
    recalled: slot_loans.RecalledSlots = attrs.field(factory=slot_loans.RecalledSlots)
    limits: server_limits.ServerLimits = attrs.field(factory=server_limits.ServerLimits)
    digests: collections.defaultdict[ids.Region, object_digests.DigestSender] = attrs.field(
        factory=lambda: collections.defaultdict(object_digests.DigestSender)
    )
    handed_over: object_handover.HandedOverObjects = attrs.field(
        factory=object_handover.HandedOverObjects
    )
    started_at: float = -math.inf
    heard_regions: set[ids.Region] = attrs.field(factory=set)
    has_adopted_loans: bool = False
    grants: collections.Counter[ids.Region] = attrs.field(factory=collections.Counter)
    last_grants: collections.Counter[ids.Region] = attrs.field(factory=collections.Counter)
    window_started_at: float = 0.0
    has_failed: bool = False
    replaced_at: float = -math.inf

    def find_grant(
        self, requester: ids.InstanceId, request_id: ids.RequestId
    ) -> allocation.SlotGrant | None:
        """Return the grant of a request that holds a slot, or None if it holds none."""
        granted = self.granted.get(request_id)
        if granted is None or granted[0] != requester:
            return None
        server = self.dispatcher.pool.get(granted[1])
        running = server.running.get(request_id) if server is not None else None
        if server is None or running is None:
            return None
        address = server.view.entry.address
        return allocation.SlotGrant(request_id, server.name, address, running.expected_s)

    def recent_reports(self, now: float) -> dict[ids.Region, slot_messages.RegionReport]:
        """Return the reports of other regions that are not too old."""
        return {
            region: report
            for region, (report, received_at) in self.reports.items()
            if now - received_at <= _REPORT_LIFETIME_S
        }

    def update_demand(self, elapsed_s: float) -> None:
        """Add the demand since the last update to its moving average.

        Args:
            elapsed_s: Seconds since the last update.
        """
        # The first interval starts at time 0 of the clock, not at an update, so without the
        # upper limit the first sample would be close to 0.
        sample = self.dispatcher.collect_demand() / max(0.05, min(elapsed_s, 2.0))
        if self.demand is not None:
            self.demand += _DEMAND_WEIGHT * (sample - self.demand)
        elif sample > 0:
            self.demand = sample

    def load(self, now: float) -> slot_loans.RegionLoad:
        """Return the load of the region: its demand, and what its own servers can bear."""
        limited_slots = sum(
            pooled.throughput_slots(self.dispatcher.mean_work_s)
            for pooled in self._own_servers()
            if pooled.limit_bucket is not None
        )
        slots = sum(self._steady_slots(now).values()) + limited_slots
        return slot_loans.RegionLoad(slots, self.demand)

    def lendable_slots(self, now: float) -> dict[ids.Server, int]:
        """Return how many slots of each server may be lent: those that are, and free ones."""
        return {
            server: self._lendable_count(server, slots)
            for server, slots in sorted(self._steady_slots(now).items())
        }

    def adopt_loan(self, report: slot_messages.RegionReport, now: float) -> bool:
        """Continue the loan that a region has from the shard's previous dispatcher.

        Only its first report to this dispatcher counts, and only for a while after the start.
        False is returned if there is nothing to continue.

        Args:
            report: Report of the region.
            now: Monotonic time in seconds.
        """
        is_first = report.region not in self.heard_regions
        self.heard_regions.add(report.region)
        if not is_first or now - self.started_at > _ADOPTION_S or not report.borrowed:
            return False
        slots = self._steady_slots(now)
        lent = {
            server: min(count, slots[server] - self._lent_count(server))
            for server, count in report.borrowed
            if server in slots
        }
        self.lent[report.region] = {
            server: count for server, count in lent.items() if count > 0
        }
        self.loans.adopt(report.region, sum(self.lent[report.region].values()))
        self.has_adopted_loans = True
        return True

    def record_handed_over(self, uses: Iterable[slot_messages.ObjectUse], now: float) -> None:
        """Record which objects an instance's latest requests used on which servers.

        Only reports to a new dispatcher count: it sees for itself where later requests run.

        Args:
            uses: The uses, as the instance reported them.
            now: Monotonic time in seconds.
        """
        if now - self.started_at > _ADOPTION_S:
            return
        for server, hashes in self.handed_over.add(uses, now).items():
            self.dispatcher.pool.record_told_objects(server, hashes)

    def is_awaiting(self, region: ids.Region, now: float) -> bool:
        """Return whether a region may borrow slots of which this dispatcher has not heard yet.

        Args:
            region: The region.
            now: Monotonic time in seconds.
        """
        return region not in self.heard_regions and now - self.started_at <= _ADOPTION_S

    def _lent_count(self, server: ids.Server) -> int:
        return sum(loaned.get(server, 0) for loaned in self.lent.values())

    def next_digests(
        self, region: ids.Region, now: float
    ) -> tuple[tuple[ids.Server, object_digests.ObjectHashes], ...]:
        """Return what to tell a region now of the objects of the servers lent to it."""
        lent = (self.dispatcher.pool.get(server) for server in self.lent.get(region, ()))
        return self.digests[region].next_digests(
            ((pooled.name, pooled.recent_objects) for pooled in lent if pooled is not None), now
        )

    def used_slots(self, now: float) -> dict[ids.Region, int]:
        """Return how many of its borrowed slots each other region uses."""
        return {
            region: sum(count for _, count in report.used)
            for region, report in self.recent_reports(now).items()
        }

    def _own_servers(self) -> list[pooled_server.PooledServer]:
        servers = self.dispatcher.pool.servers
        return [pooled for pooled in servers if pooled.region == self.shard[0]]

    def _steady_slots(self, now: float) -> dict[ids.Server, int]:
        """Return the slots of each server of the region that requests may use at any rate.

        Servers whose rate is limited, because they are cold or named a limit, are left out:
        they are not lent, so that one dispatcher counts their requests.
        """
        return {
            pooled.name: max(0, pooled.slots - self.withheld.get(pooled.name, 0))
            for pooled in self._own_servers()
            if not pooled.is_suspect
            and pooled.limit_bucket is None
            and now >= pooled.view.cold_until
        }

    def _lendable_count(self, server: ids.Server, slots: int) -> int:
        pooled = self.dispatcher.pool.get(server)
        running = len(pooled.running) if pooled is not None else 0
        lent = self._lent_count(server)
        usable = slots - self.recalled.count(server)
        return max(0, min(usable, max(lent, usable - running)))

    def log_loans(self, loads: Mapping[ids.Region, slot_loans.RegionLoad]) -> None:
        """Log the slots that are lent, and the loads that they follow from."""
        logs.event(
            "slots-lent",
            region=self.shard[0],
            service=self.shard[1],
            lent=[f"{to}:{sum(loaned.values())}" for to, loaned in self.lent.items()],
            loads=[
                f"{name}:{load.slots:g}/{load.demand or 0:.1f}" for name, load in loads.items()
            ],
        )

    def log_moved_grants(self, now: float) -> None:
        """Log a change of the regions in which requests run, with the reasons to choose them.

        Args:
            now: Monotonic time in seconds.
        """
        if now - self.window_started_at < _GRANT_WINDOW_S:
            return
        before, grants = self.last_grants, self.grants
        self.last_grants, self.grants = grants, collections.Counter()
        self.window_started_at = now
        if not before or not grants:
            return
        moved = sum(
            abs(before[region] / before.total() - grants[region] / grants.total())
            for region in {*before, *grants}
        )
        if moved / 2 <= _LOGGED_SHIFT:
            return
        slowness = collections.defaultdict(list)
        free: collections.Counter[ids.Region] = collections.Counter()
        for pooled in self.dispatcher.pool.servers:
            slowness[pooled.region].append(pooled.slowness(now))
            free[pooled.region] += pooled.free_slots(now)
        logs.event(
            "grants-moved",
            region=self.shard[0],
            service=self.shard[1],
            before=dict(before),
            now=dict(grants),
            free=dict(free),
            slowness={name: round(sum(all_) / len(all_), 2) for name, all_ in slowness.items()},
            demand=self.demand,
        )
