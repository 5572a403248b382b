"""Gives out the slots of the shards that fall to this instance."""

import typing
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from carobhook import logs
from carobhook.coordination import (
    catalog,
    dispatcher,
    retry_budget,
    server_pool,
    slot_loans,
    steering,
)
from carobhook.protocol import slot_messages
from carobhook.state import allocation, ids
from carobhook.transport import slot_asks

Shard = slot_asks.Shard

# Share of an agreed bound that is used, as what is on its way is not counted yet.
BOUND_MARGIN = 0.8
_REPORT_LIFETIME_S = 1.6
_DEMAND_WEIGHT = 0.2
# A new dispatcher waits this long for the instances' word on the slots that they hold.
_TAKEOVER_S = 0.25


@attrs.frozen
class SlotBounds:
    """What bounds the sends of all instances together.

    Attributes:
        budget_ratio: Repeats for each request of a service.
        budget_slack: Repeats besides, in a window.
        budget_window_s: Length of the window in seconds.
        cold_over: How many times the told rate a cold server may get.
        cold_slack: Requests a second that it may get besides.
        loan_step: Share of a region's demand that may be moved to another at a time.
    """

    budget_ratio: float
    budget_slack: float
    budget_window_s: float
    cold_over: float
    cold_slack: float
    loan_step: float


@attrs.define(eq=False)
class _Held:
    """A dispatcher that this instance runs, with what it knows of other regions."""

    dispatcher: dispatcher.Dispatcher
    loans: slot_loans.LoanController
    askers: dict[ids.RequestId, ids.InstanceId] = attrs.field(factory=dict)
    granted: dict[ids.RequestId, tuple[ids.InstanceId, ids.Server]] = attrs.field(factory=dict)
    untold: set[ids.InstanceId] = attrs.field(factory=set)
    untold_until: float = 0.0
    demand: float | None = None
    reports: dict[ids.Region, tuple[slot_messages.RegionReport, float]] = attrs.field(
        factory=dict
    )
    lent: dict[ids.Region, dict[ids.Server, int]] = attrs.field(factory=dict)
    withheld: Mapping[ids.Server, int] = attrs.field(factory=dict)
    recalled: slot_loans.RecalledSlots = attrs.field(factory=slot_loans.RecalledSlots)

    def fresh_reports(self, now: float) -> dict[ids.Region, slot_messages.RegionReport]:
        """Return what other regions told lately."""
        return {
            region: report
            for region, (report, heard_at) in self.reports.items()
            if now - heard_at <= _REPORT_LIFETIME_S
        }


class SlotShards:
    """Owns the dispatchers that this instance runs for all.

    Args:
        reactor: Source of time.
        own: Name of this instance.
        regions: Regions by failure domain.
        known: Servers and configuration.
        orders: Operators' orders in force.
        bounds: What bounds sends.
        owner_of: Returns the instance that gives out the slots of a shard, or None.
        send: Sends a message to an instance, this one included.
        live: Returns the instances that were heard lately.
        visible: Returns the part of a region's instances that was heard lately.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own: ids.InstanceId,
        regions: Mapping[ids.FailureDomain, ids.Region],
        known: catalog.Catalog,
        orders: steering.Steering,
        bounds: SlotBounds,
        owner_of: Callable[[Shard], ids.InstanceId | None],
        send: Callable[[ids.InstanceId, typing.Any], bool],
        live: Callable[[], Collection[ids.InstanceId]],
        visible: Callable[[ids.Region], float],
    ) -> None:
        self._reactor = reactor
        self._own = own
        self._regions = regions
        self._known = known
        self._orders = orders
        self._bounds = bounds
        self._owner_of = owner_of
        self._send = send
        self._live = live
        self._visible = visible
        self._shards: dict[Shard, _Held] = {}

    # Asks.

    def asked(self, sender: ids.InstanceId, message: slot_messages.SlotRequested) -> None:
        """Decide an ask, or say that another instance must."""
        now = self._reactor.seconds()
        shard = (message.region, message.service)
        if self._owner_of(shard) != self._own:
            self._send(sender, slot_messages.NotDispatcher(message.id))
            return
        ask = allocation.SlotRequest(
            id=message.id,
            service=message.service,
            route=message.route,
            object_key=message.object_key,
            priority=message.priority,
            target_at=now + message.target_ms / 1000,
            deadline_at=now + message.deadline_ms / 1000,
            repeat=message.repeat,
            avoided=message.avoided,
            homes=message.homes,
            domain=message.domain,
        )
        held = self.open(shard)
        held.askers[ask.id] = sender
        self._carry_out(held, held.dispatcher.submit(ask, now))

    def withdrawn(self, message: slot_messages.SlotRequestWithdrawn) -> None:
        """Forget an ask, or take its slot back."""
        held = self._shards.get((message.region, message.service))
        if held is None:
            return
        held.askers.pop(message.id, None)
        if held.dispatcher.withdraw(message.id):
            return
        granted = held.granted.pop(message.id, None)
        if granted is not None:
            # The grant crossed the withdrawal, so nothing was sent.
            now = self._reactor.seconds()
            held.dispatcher.release_slot(
                message.id, granted[1], allocation.AttemptOutcome.CANCELLED, now
            )

    def ended(self, message: slot_messages.SlotReleased) -> None:
        """Take a slot back."""
        held = self._shards.get((message.region, message.service))
        if held is None:
            return
        held.granted.pop(message.id, None)
        now = self._reactor.seconds()
        decided = held.dispatcher.release_slot(message.id, message.server, message.end, now)
        self._carry_out(held, decided)

    def told_held(self, sender: ids.InstanceId, message: slot_messages.HeldSlotsReport) -> None:
        """Count slots that requests of an instance hold since before the takeover."""
        now = self._reactor.seconds()
        shard = (message.region, message.service)
        if self._owner_of(shard) != self._own:
            return
        held = self.open(shard)
        for slot in message.held:
            ask = allocation.SlotRequest(
                slot.id, message.service, slot.route, slot.object_key, 0, now, now
            )
            held.dispatcher.register_running(ask, slot.server, now)
            held.granted[slot.id] = (sender, slot.server)
        held.untold.discard(sender)
        self._decide(held, now)

    def lost(self, name: ids.InstanceId) -> None:
        """Free the slots of an instance that is gone, as its requests end with it."""
        now = self._reactor.seconds()
        for held in self._shards.values():
            held.untold.discard(name)
            for ask_id in [a for a, asker in held.askers.items() if asker == name]:
                del held.askers[ask_id]
                held.dispatcher.withdraw(ask_id)
            gone = [ask_id for ask_id, entry in held.granted.items() if entry[0] == name]
            for ask_id in gone:
                server = held.granted.pop(ask_id)[1]
                decided = held.dispatcher.release_slot(
                    ask_id, server, allocation.AttemptOutcome.CANCELLED, now
                )
                self._carry_out(held, decided)
            self._decide(held, now)

    def _decide(self, held: _Held, now: float) -> None:
        held.dispatcher.paused = bool(held.untold) and now < held.untold_until
        self._carry_out(held, held.dispatcher.decide(now))

    def _carry_out(self, held: _Held, decisions: Iterable[dispatcher.Decision]) -> None:
        for decision in decisions:
            asker = held.askers.pop(decision.ask_id, self._own)
            if isinstance(decision, allocation.SlotGrant):
                held.granted[decision.ask_id] = (asker, decision.server)
                told: typing.Any = slot_messages.SlotGranted(decision)
            else:
                told = slot_messages.SlotRefused(
                    decision.ask_id,
                    decision.code.number,
                    decision.retry_after_s,
                    decision.detail,
                )
            self._send(asker, told)

    # Shards.

    def open(self, shard: Shard) -> _Held:
        """Return the dispatcher of a shard, begun if this instance did not run it yet."""
        held = self._shards.get(shard)
        if held is not None:
            return held
        regions = max(1, len(set(self._regions.values())))
        budget = retry_budget.RetryBudget(
            self._bounds.budget_ratio,
            self._bounds.budget_slack / regions,
            self._bounds.budget_window_s,
            self._reactor.seconds(),
        )
        held = _Held(
            dispatcher.Dispatcher(budget), slot_loans.LoanController(self._bounds.loan_step)
        )
        self._shards[shard] = held
        self._refresh(shard, held)
        self._ask_held(shard, held)
        return held

    def _ask_held(self, shard: Shard, held: _Held) -> None:
        """Ask every instance which slots of a new shard its requests hold."""
        held.untold = set(self._live()) - {self._own}
        held.untold_until = self._reactor.seconds() + _TAKEOVER_S
        held.dispatcher.paused = bool(held.untold)
        for name in sorted(held.untold):
            self._send(name, slot_messages.HeldSlotsQuery(*shard))
        self._send(self._own, slot_messages.HeldSlotsQuery(*shard))

    def hand_over(self, shard: Shard) -> None:
        """Stop giving out the slots of a shard; who waits asks the new owner."""
        held = self._shards.pop(shard, None)
        if held is None:
            return
        for ask in held.dispatcher.clear_queue():
            asker = held.askers.pop(ask.id, None)
            if asker is not None:
                self._send(asker, slot_messages.NotDispatcher(ask.id))

    def servers_changed(self) -> None:
        """Take in a new view of the servers."""
        now = self._reactor.seconds()
        for shard, held in list(self._shards.items()):
            self._refresh(shard, held)
            self._decide(held, now)

    def tick(self, now: float) -> None:
        """Look at what waits."""
        for held in list(self._shards.values()):
            self._decide(held, now)

    def loads(self) -> list[slot_messages.ShardLoad]:
        """Return how busy the shards of this instance are."""
        found = []
        for (region, service), held in self._shards.items():
            if self._owner_of((region, service)) != self._own:
                continue
            pool = held.dispatcher.pool
            own = sum(s.slots for s in pool.servers if s.region == region)
            lent = {to: sum(counts.values()) for to, counts in held.lent.items()}
            withheld = sum(held.withheld.values())
            found.append(
                slot_messages.ShardLoad(
                    region,
                    service,
                    own,
                    pool.slots,
                    pool.running,
                    held.dispatcher.queue_length,
                    held.demand,
                    tuple(sorted(lent.items())),
                    withheld,
                )
            )
        return found

    # Servers and loans.

    def _refresh(self, shard: Shard, held: _Held) -> None:
        """Give a dispatcher the servers that it may use."""
        now = self._reactor.seconds()
        region, service = shard
        borrowed: dict[ids.Server, int] = {}
        for told in held.fresh_reports(now).values():
            borrowed.update(told.lent)
        wanted = []
        own = []
        visible = self._visible(region)
        cold_rate = self._cold_rate(service, visible)
        for view in self._known.servers_of(service, now):
            entry = view.entry
            home = self._regions.get(entry.failure_domain)
            if home is None:
                continue
            if home == region:
                own.append(view)
                wanted.append(server_pool.ServerOffer(view, home, entry.slots, cold_rate))
            elif entry.name in borrowed and now >= view.cold_until:
                slots = borrowed[entry.name]
                wanted.append(server_pool.ServerOffer(view, home, slots, cold_rate))
        held.withheld = self._orders.withheld_slots(service, region, own)
        held.dispatcher.pool.replace(wanted, now)
        held.dispatcher.retry_budget.share = visible
        self._set_lent(held, now)

    def _cold_rate(self, service: ids.Service, visible: float) -> float | None:
        """Return the rate at which this instance may send to a cold server of a service."""
        config = self._known.config
        policy = config.services.get(service) if config is not None else None
        if policy is None or policy.cold_requests_per_s <= 0:
            return None
        most = policy.cold_requests_per_s * self._bounds.cold_over + self._bounds.cold_slack
        return server_pool.cold_rate_limit(policy.cold_requests_per_s, most, visible)

    def _set_lent(self, held: _Held, now: float) -> None:
        """Set how many slots of each server this dispatcher must leave alone."""
        counts: dict[ids.Server, int] = dict(held.withheld)
        held.recalled.expire(now)
        for borrowed in (*held.lent.values(), held.recalled.counts):
            for server, count in borrowed.items():
                counts[server] = counts.get(server, 0) + count
        for region, report in held.fresh_reports(now).items():
            for server, busy in report.used:
                extra = busy - held.lent.get(region, {}).get(server, 0)
                if extra > 0:
                    counts[server] = counts.get(server, 0) + extra
        held.dispatcher.pool.set_unavailable_slots(counts)

    def report(self, elapsed_s: float, now: float) -> None:
        """Move the loans of all shards, and tell the other regions' dispatchers.

        Args:
            elapsed_s: Seconds since the last report.
            now: Monotonic time in seconds.
        """
        for shard, held in list(self._shards.items()):
            if self._owner_of(shard) == self._own:
                self._move_loans(shard, held, elapsed_s, now)
            self._refresh(shard, held)

    def _move_loans(self, shard: Shard, held: _Held, elapsed_s: float, now: float) -> None:
        region = shard[0]
        self._take_demand(held, elapsed_s)
        own_slots = {
            pooled.name: max(0, pooled.slots - held.withheld.get(pooled.name, 0))
            for pooled in held.dispatcher.pool.servers
            if pooled.region == region
            and not pooled.is_suspect
            and now >= pooled.view.cold_until
        }
        loads = {
            other: slot_loans.RegionLoad(report.slots, report.demand)
            for other, report in held.fresh_reports(now).items()
        }
        loads[region] = slot_loans.RegionLoad(sum(own_slots.values()), held.demand)
        held.loans.update(slot_loans.target_loans(region, loads), loads)
        before = held.lent
        held.recalled.expire(now)
        order = {
            server: max(0, own_slots[server] - held.recalled.count(server))
            for server in sorted(own_slots)
        }
        held.lent = slot_loans.place_loans(held.loans.lent, order, held.lent)
        held.recalled.recall(before, held.lent, now)
        if held.lent != before:
            _log_loans(shard, held.lent, loads)
        for other in set(self._regions.values()) - {region}:
            self._tell_region(shard, held, other, loads[region])

    def _take_demand(self, held: _Held, elapsed_s: float) -> None:
        asked = held.dispatcher.collect_demand() / max(0.05, min(elapsed_s, 2.0))
        if held.demand is not None:
            held.demand += _DEMAND_WEIGHT * (asked - held.demand)
        elif asked > 0:
            held.demand = asked

    def _tell_region(
        self, shard: Shard, held: _Held, other: ids.Region, load: slot_loans.RegionLoad
    ) -> None:
        region, service = shard
        owner = self._owner_of((other, service))
        if owner is None:
            return
        used = tuple(
            (pooled.name, len(pooled.running))
            for pooled in held.dispatcher.pool.servers
            if pooled.region == other and pooled.running
        )
        lent = tuple(held.lent.get(other, {}).items())
        report = slot_messages.RegionReport(
            service, region, other, load.slots, load.demand, lent, used
        )
        self._send(owner, report)

    def told_region(self, report: slot_messages.RegionReport) -> None:
        """Take in the report of another region's dispatcher."""
        shard = (report.receiver, report.service)
        held = self._shards.get(shard)
        if held is None:
            return
        now = self._reactor.seconds()
        before = held.reports.get(report.region)
        held.reports[report.region] = (report, now)
        if before is None or before[0].lent != report.lent:
            self._refresh(shard, held)
        elif before[0].used != report.used:
            self._set_lent(held, now)


def _log_loans(
    shard: Shard,
    lent: Mapping[ids.Region, Mapping[ids.Server, int]],
    loads: Mapping[ids.Region, slot_loans.RegionLoad],
) -> None:
    logs.event(
        "slots-lent",
        region=shard[0],
        service=shard[1],
        lent=[f"{to}:{sum(lent[to].values())}" for to in lent],
        loads=[f"{name}:{load.slots:g}/{load.demand or 0:.1f}" for name, load in loads.items()],
    )
