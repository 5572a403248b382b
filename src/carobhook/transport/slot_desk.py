"""Asks for slots, here or at the instance that gives them out, and gives out its own."""

import typing
from collections.abc import Iterable

import attrs
from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import (
    catalog,
    dispatcher,
    membership,
    retry_allowance,
    server_pool,
    slot_loans,
    token_bucket,
)
from carobhook.protocol import slot_messages
from carobhook.state import asks, codes, ids

_REPORT_INTERVAL_S = 0.5
_REPORT_LIFETIME_S = 1.6
_DEMAND_WEIGHT = 0.2
_COLD_BURST = 2.0
_MOVED_RETRY_S = 0.02
_ROUND_TRIP_WEIGHT = 0.2

_CODES = {code.number: code for code in codes.Code}

Shard = tuple[ids.Region, ids.Service]


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


class Peers(typing.Protocol):
    """How the desk reaches other instances."""

    def send(self, name: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance; return False if there is no stream to it."""


@attrs.define(eq=False)
class _Pending:
    """An ask of this instance."""

    ask: asks.Ask
    region: ids.Region
    answered: defer.Deferred
    owner: ids.InstanceId | None = None


@attrs.define(eq=False)
class _Held:
    """A slot that a request of this instance holds."""

    ask: asks.Ask
    region: ids.Region
    server: ids.Server
    owner: ids.InstanceId


@attrs.define(eq=False)
class _Shard:
    """A dispatcher that this instance runs, with what it knows of other regions."""

    dispatcher: dispatcher.Dispatcher
    loans: slot_loans.LoanBook
    askers: dict[ids.RequestId, ids.InstanceId] = attrs.field(factory=dict)
    granted: dict[ids.RequestId, tuple[ids.InstanceId, ids.Server, float]] = attrs.field(
        factory=dict
    )
    demand: float | None = None
    reports: dict[ids.Region, tuple[slot_messages.RegionReport, float]] = attrs.field(
        factory=dict
    )
    lent: dict[ids.Region, dict[ids.Server, int]] = attrs.field(factory=dict)
    recalled: slot_loans.RecalledSlots = attrs.field(factory=slot_loans.RecalledSlots)


class SlotDesk:
    """Owns this instance's asks, and the dispatchers that it runs for all.

    Args:
        reactor: Source of time and timers.
        own: Name of this instance.
        region: Its region.
        regions: Regions by failure domain.
        roster: Instances that were heard.
        known: Servers and configuration.
        peers: Streams to other instances.
        bounds: What bounds sends.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own: ids.InstanceId,
        region: ids.Region,
        regions: typing.Mapping[ids.FailureDomain, ids.Region],
        roster: membership.Membership,
        known: catalog.Catalog,
        peers: Peers,
        bounds: SlotBounds,
    ) -> None:
        self._reactor = reactor
        self._own = own
        self._region = region
        self._regions = regions
        self._roster = roster
        self._known = known
        self._peers = peers
        self._bounds = bounds
        self._pending: dict[ids.RequestId, _Pending] = {}
        self._held: dict[ids.RequestId, _Held] = {}
        self._shards: dict[Shard, _Shard] = {}
        self._owners: dict[Shard, ids.InstanceId | None] = {}
        self._reported_at = 0.0
        self._round_trips: dict[ids.Region, float] = {}

    @property
    def waiting(self) -> int:
        """Return how many asks of this instance wait."""
        return len(self._pending)

    def ask(self, ask: asks.Ask, region: ids.Region) -> defer.Deferred:
        """Ask for a slot; fires with `SlotGrant` or `SlotRefusal`; cancelling withdraws.

        Args:
            ask: The ask.
            region: Region whose dispatcher is asked.
        """
        answered: defer.Deferred = defer.Deferred(lambda _: self._withdraw(ask.id))
        pending = _Pending(ask, region, answered)
        self._pending[ask.id] = pending
        self._place(pending)
        return answered

    def ended(self, ask_id: ids.RequestId, end: asks.WorkEnd) -> None:
        """Give a granted slot back."""
        held = self._held.pop(ask_id, None)
        if held is None:
            return
        shard = (held.region, held.ask.service)
        owner = self._owners.get(shard) or held.owner
        if owner == self._own:
            self._slot_ended(shard, ask_id, held.server, end)
        else:
            message = slot_messages.SlotEnded(
                ask_id, held.region, held.ask.service, held.server, end
            )
            self._peers.send(owner, message)

    def members_changed(self) -> None:
        """Look again which instances give out slots, and ask the new ones."""
        now = self._reactor.seconds()
        serving = self._roster.serving(now)
        for shard, before in list(self._owners.items()):
            owner = membership.shard_owner(shard[0], shard[1], serving)
            if owner != before:
                self._owners[shard] = owner
                self._owner_changed(shard, before, owner)

    def servers_changed(self) -> None:
        """Take in a new view of the servers."""
        for shard, held in self._shards.items():
            self._refresh(shard, held)
            self._carry_out(shard, held, held.dispatcher.decide(self._reactor.seconds()))

    def tick(self) -> None:
        """Look at what waits, and move the loans between regions."""
        now = self._reactor.seconds()
        elapsed_s = now - self._reported_at
        if elapsed_s >= _REPORT_INTERVAL_S:
            self._reported_at = now
            self.members_changed()
            self._open_shards(now)
            for shard, held in list(self._shards.items()):
                self._report(shard, held, elapsed_s, now)
                self._refresh(shard, held)
        for shard, held in list(self._shards.items()):
            self._carry_out(shard, held, held.dispatcher.decide(now))

    def received(self, sender: ids.InstanceId, message: typing.Any) -> None:
        """Handle a message about slots."""
        if isinstance(message, slot_messages.SlotAsked):
            self._asked(sender, message)
        elif isinstance(message, slot_messages.SlotAskWithdrawn):
            held = self._shards.get((message.region, message.service))
            if held is not None:
                self._withdrawn(held, message.id)
        elif isinstance(message, slot_messages.SlotEnded):
            shard = (message.region, message.service)
            self._slot_ended(shard, message.id, message.server, message.end)
        elif isinstance(message, slot_messages.SlotGranted):
            self._granted_to_us(sender, message.grant)
        elif isinstance(message, slot_messages.SlotRefused):
            code = _CODES.get(message.code, codes.Code.NO_BACKEND)
            refusal = asks.SlotRefusal(
                message.ask_id, code, message.retry_after_s, f"{sender}: {message.detail}"
            )
            self._answer(refusal)
        elif isinstance(message, slot_messages.SlotMoved):
            self._moved(message.ask_id)
        elif isinstance(message, slot_messages.SlotsHeld):
            self._told_held(sender, message)
        elif isinstance(message, slot_messages.RegionReport):
            self._told_region(message)

    def observe_round_trip(self, region: ids.Region, seconds: float) -> None:
        """Take in how long the way to a region's servers and back took."""
        known = self._round_trips.get(region)
        self._round_trips[region] = (
            seconds if known is None else known + _ROUND_TRIP_WEIGHT * (seconds - known)
        )

    # What this instance asks for.

    def _place(self, pending: _Pending) -> None:
        """Send an ask to the instance that gives out the slots."""
        shard = (pending.region, pending.ask.service)
        now = self._reactor.seconds()
        if shard not in self._owners:
            self._owners[shard] = membership.shard_owner(
                shard[0], shard[1], self._roster.serving(now)
            )
        owner = self._owners[shard]
        pending.owner = owner
        if owner is None:
            self._answer(asks.SlotRefusal(pending.ask.id, codes.Code.NO_BACKEND, 1.0))
        elif owner == self._own:
            self._dispatch(self._own, shard, pending.ask)
        elif not self._peers.send(owner, _asked(pending, now)):
            self._answer(asks.SlotRefusal(pending.ask.id, codes.Code.DISPATCHER_SILENT, 0.5))

    def _withdraw(self, ask_id: ids.RequestId) -> None:
        pending = self._pending.pop(ask_id, None)
        if pending is None or pending.owner is None:
            return
        shard = (pending.region, pending.ask.service)
        if pending.owner == self._own:
            held = self._shards.get(shard)
            if held is not None:
                self._withdrawn(held, ask_id)
        else:
            message = slot_messages.SlotAskWithdrawn(ask_id, *shard)
            self._peers.send(pending.owner, message)

    def _answer(self, decision: dispatcher.Decision) -> None:
        pending = self._pending.pop(decision.ask_id, None)
        if pending is not None:
            pending.answered.callback(decision)

    def _granted_to_us(self, owner: ids.InstanceId, grant: asks.SlotGrant) -> None:
        pending = self._pending.get(grant.ask_id)
        if pending is None:
            # It was withdrawn while the grant was on its way.
            return
        self._held[grant.ask_id] = _Held(pending.ask, pending.region, grant.server, owner)
        self._answer(grant)

    def _moved(self, ask_id: ids.RequestId) -> None:
        pending = self._pending.get(ask_id)
        if pending is None:
            return
        self.members_changed()
        shard = (pending.region, pending.ask.service)
        if self._owners.get(shard) != pending.owner:
            return
        # The other instance knows more of the members than this one does so far.
        self._reactor.callLater(_MOVED_RETRY_S, self._place_again, ask_id)

    def _place_again(self, ask_id: ids.RequestId) -> None:
        pending = self._pending.get(ask_id)
        if pending is not None:
            self._place(pending)

    def _owner_changed(
        self, shard: Shard, before: ids.InstanceId | None, owner: ids.InstanceId | None
    ) -> None:
        logs.event(
            "dispatcher-changed", region=shard[0], service=shard[1], before=before, now=owner
        )
        if before == self._own:
            self._hand_over(shard)
        if owner is None:
            return
        held = [
            slot_messages.HeldSlot(ask_id, slot.ask.route, slot.ask.object_key, slot.server)
            for ask_id, slot in self._held.items()
            if (slot.region, slot.ask.service) == shard
        ]
        if held:
            message = slot_messages.SlotsHeld(shard[0], shard[1], tuple(held))
            if owner == self._own:
                self._told_held(self._own, message)
            else:
                self._peers.send(owner, message)
        for pending in list(self._pending.values()):
            if (pending.region, pending.ask.service) == shard and pending.owner != owner:
                self._place(pending)

    def _hand_over(self, shard: Shard) -> None:
        """Stop giving out the slots of a shard; who waits asks the new owner."""
        held = self._shards.pop(shard, None)
        if held is None:
            return
        for ask in held.dispatcher.take_waiting():
            asker = held.askers.pop(ask.id, None)
            if asker is not None and asker != self._own:
                self._peers.send(asker, slot_messages.SlotMoved(ask.id))

    # What this instance gives out.

    def _asked(self, sender: ids.InstanceId, message: slot_messages.SlotAsked) -> None:
        now = self._reactor.seconds()
        shard = (message.region, message.service)
        owner = membership.shard_owner(shard[0], shard[1], self._roster.serving(now))
        if owner != self._own:
            self._peers.send(sender, slot_messages.SlotMoved(message.id))
            return
        ask = asks.Ask(
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
        self._dispatch(sender, shard, ask)

    def _dispatch(self, asker: ids.InstanceId, shard: Shard, ask: asks.Ask) -> None:
        held = self._shard(shard)
        held.askers[ask.id] = asker
        self._carry_out(shard, held, held.dispatcher.ask(ask, self._reactor.seconds()))

    def _shard(self, shard: Shard) -> _Shard:
        held = self._shards.get(shard)
        if held is None:
            regions = max(1, len(set(self._regions.values())))
            allowance = retry_allowance.RetryAllowance(
                self._bounds.budget_ratio,
                self._bounds.budget_slack / regions,
                self._bounds.budget_window_s,
            )
            held = _Shard(
                dispatcher.Dispatcher(allowance), slot_loans.LoanBook(self._bounds.loan_step)
            )
            self._shards[shard] = held
            self._owners.setdefault(shard, self._own)
            self._refresh(shard, held)
        return held

    def _carry_out(
        self, shard: Shard, held: _Shard, decisions: Iterable[dispatcher.Decision]
    ) -> None:
        for decision in decisions:
            asker = held.askers.pop(decision.ask_id, self._own)
            if isinstance(decision, asks.SlotGrant):
                now = self._reactor.seconds()
                held.granted[decision.ask_id] = (asker, decision.server, now)
            if asker == self._own:
                if isinstance(decision, asks.SlotGrant):
                    self._granted_to_us(self._own, decision)
                else:
                    self._answer(decision)
            elif isinstance(decision, asks.SlotGrant):
                self._peers.send(asker, slot_messages.SlotGranted(decision))
            else:
                refused = slot_messages.SlotRefused(
                    decision.ask_id,
                    decision.code.number,
                    decision.retry_after_s,
                    decision.detail,
                )
                self._peers.send(asker, refused)

    def _withdrawn(self, held: _Shard, ask_id: ids.RequestId) -> None:
        held.askers.pop(ask_id, None)
        if held.dispatcher.withdraw(ask_id):
            return
        granted = held.granted.pop(ask_id, None)
        if granted is not None:
            # The grant crossed the withdrawal, so nothing was sent.
            now = self._reactor.seconds()
            held.dispatcher.ended(ask_id, granted[1], asks.WorkEnd.CANCELLED, now)

    def _slot_ended(
        self, shard: Shard, ask_id: ids.RequestId, server: ids.Server, end: asks.WorkEnd
    ) -> None:
        held = self._shards.get(shard)
        if held is None:
            return
        held.granted.pop(ask_id, None)
        now = self._reactor.seconds()
        self._carry_out(shard, held, held.dispatcher.ended(ask_id, server, end, now))

    def _told_held(self, sender: ids.InstanceId, message: slot_messages.SlotsHeld) -> None:
        now = self._reactor.seconds()
        held = self._shard((message.region, message.service))
        for slot in message.held:
            ask = asks.Ask(slot.id, message.service, slot.route, slot.object_key, 0, now, now)
            held.dispatcher.hold(ask, slot.server, now)
            held.granted[slot.id] = (sender, slot.server, now)

    def lost(self, name: ids.InstanceId) -> None:
        """Free the slots of an instance that is gone, as its requests end with it."""
        now = self._reactor.seconds()
        for shard, held in self._shards.items():
            gone = [ask_id for ask_id, entry in held.granted.items() if entry[0] == name]
            for ask_id in gone:
                server = held.granted.pop(ask_id)[1]
                decisions = held.dispatcher.ended(ask_id, server, asks.WorkEnd.CANCELLED, now)
                self._carry_out(shard, held, decisions)
            for ask_id in [a for a, asker in held.askers.items() if asker == name]:
                del held.askers[ask_id]
                held.dispatcher.withdraw(ask_id)

    # Servers and loans.

    def _refresh(self, shard: Shard, held: _Shard) -> None:
        """Give a dispatcher the servers that it may use."""
        now = self._reactor.seconds()
        region, service = shard
        wanted = []
        borrowed = {
            server: (told.region, count)
            for told, heard_at in held.reports.values()
            if now - heard_at <= _REPORT_LIFETIME_S
            for server, count in told.lent
        }
        for view in self._known.servers(now):
            entry = view.entry
            if entry.service != service:
                continue
            home = self._regions.get(entry.zone)
            if home == region:
                wanted.append(self._pooled(view, region, entry.slots))
            elif entry.name in borrowed and now >= view.cold_until:
                wanted.append(self._pooled(view, home, borrowed[entry.name][1]))
        held.dispatcher.pool.replace(wanted)
        self._set_lent(held)

    def _pooled(
        self, view: catalog.ServerView, region: ids.Region | None, slots: int
    ) -> server_pool.PooledServer:
        config = self._known.config
        policy = config.services.get(view.entry.service) if config is not None else None
        bucket = None
        if policy is not None and policy.cold_per_s > 0:
            most = policy.cold_per_s * self._bounds.cold_over + self._bounds.cold_slack
            # Two dispatchers may give out the same server's slots for a moment.
            rate = max(1.0, min(policy.cold_per_s, most / 2 - _COLD_BURST))
            bucket = token_bucket.TokenBucket(rate, _COLD_BURST)
        pooled = server_pool.PooledServer(
            view, typing.cast(ids.Region, region), slots, cold_bucket=bucket
        )
        pooled.round_trip_s = self._round_trips.get(typing.cast(ids.Region, region), 0.0)
        return pooled

    def _open_shards(self, now: float) -> None:
        """Run a dispatcher for each shard that falls to this instance."""
        config = self._known.config
        if config is None:
            return
        serving = self._roster.serving(now)
        for region in set(self._regions.values()):
            for service in config.services:
                if membership.shard_owner(region, service, serving) == self._own:
                    self._shard((region, service))

    def _set_lent(self, held: _Shard) -> None:
        counts: dict[ids.Server, int] = {}
        for borrowed in held.lent.values():
            for server, count in borrowed.items():
                counts[server] = counts.get(server, 0) + count
        now = self._reactor.seconds()
        held.recalled.forget(now)
        for server, count in held.recalled.counts.items():
            counts[server] = counts.get(server, 0) + count
        for region, (report, heard_at) in held.reports.items():
            if now - heard_at > _REPORT_LIFETIME_S:
                continue
            for server, busy in report.used:
                extra = busy - held.lent.get(region, {}).get(server, 0)
                if extra > 0:
                    counts[server] = counts.get(server, 0) + extra
        held.dispatcher.pool.lend(counts)

    def _report(self, shard: Shard, held: _Shard, elapsed_s: float, now: float) -> None:
        """Move the loans of a shard, and tell the other regions' dispatchers."""
        region = shard[0]
        if self._owners.get(shard) != self._own:
            return
        asked = held.dispatcher.take_demand() / max(0.05, min(elapsed_s, 2.0))
        if held.demand is not None:
            held.demand += _DEMAND_WEIGHT * (asked - held.demand)
        elif asked > 0:
            held.demand = asked
        own_slots = {
            pooled.name: pooled.slots
            for pooled in held.dispatcher.pool.servers
            if pooled.region == region and not pooled.doubtful and now >= pooled.view.cold_until
        }
        loads = {
            other: slot_loans.RegionLoad(report.slots, report.demand)
            for other, (report, heard_at) in held.reports.items()
            if now - heard_at <= _REPORT_LIFETIME_S
        }
        loads[region] = slot_loans.RegionLoad(sum(own_slots.values()), held.demand)
        held.loans.update(slot_loans.wanted_loans(region, loads), loads)
        before = held.lent
        held.recalled.forget(now)
        order = {
            server: max(0, own_slots[server] - held.recalled.of(server))
            for server in sorted(own_slots)
        }
        held.lent = slot_loans.place_loans(held.loans.lent, order, held.lent)
        held.recalled.recall(before, held.lent, now)
        if held.lent != before:
            logs.event(
                "slots-lent",
                region=region,
                service=shard[1],
                lent=[f"{to}:{sum(held.lent[to].values())}" for to in held.lent],
                loads=[
                    f"{name}:{load.slots:g}/{load.demand or 0:.1f}"
                    for name, load in loads.items()
                ],
            )
        self._set_lent(held)
        for other in set(self._regions.values()) - {region}:
            self._tell_region(shard, held, other, loads[region])

    def _tell_region(
        self, shard: Shard, held: _Shard, other: ids.Region, load: slot_loans.RegionLoad
    ) -> None:
        region, service = shard
        now = self._reactor.seconds()
        owner = membership.shard_owner(other, service, self._roster.serving(now))
        used = tuple(
            (pooled.name, len(pooled.running))
            for pooled in held.dispatcher.pool.servers
            if pooled.region == other and pooled.running
        )
        report = slot_messages.RegionReport(
            service,
            region,
            load.slots,
            load.demand,
            tuple(held.lent.get(other, {}).items()),
            used,
        )
        if owner == self._own:
            self._take_report(other, report)
        elif owner is not None:
            self._peers.send(owner, report)

    def _told_region(self, report: slot_messages.RegionReport) -> None:
        for region in set(self._regions.values()) - {report.region}:
            if self._owners.get((region, report.service)) == self._own:
                self._take_report(region, report)

    def _take_report(self, region: ids.Region, report: slot_messages.RegionReport) -> None:
        shard = (region, report.service)
        if shard in self._shards:
            held = self._shards[shard]
            held.reports[report.region] = (report, self._reactor.seconds())
            self._refresh(shard, held)


def _asked(pending: _Pending, now: float) -> slot_messages.SlotAsked:
    ask = pending.ask
    return slot_messages.SlotAsked(
        ask.id,
        pending.region,
        ask.service,
        ask.route,
        ask.object_key,
        ask.priority,
        (ask.target_at - now) * 1000,
        (ask.deadline_at - now) * 1000,
        ask.repeat,
        ask.avoided,
        ask.homes,
        ask.domain,
    )
