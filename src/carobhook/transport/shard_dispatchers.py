"""Runs the dispatchers of the shards that this instance owns."""

import functools
import math
import typing
from collections.abc import Callable, Collection, Iterable, Mapping

from twisted.python import failure

from carobhook import logs
from carobhook.coordination import (
    catalog,
    dispatcher,
    fair_share,
    region_shares,
    retry_budget,
    slot_loans,
    steering,
)
from carobhook.protocol import slot_messages
from carobhook.state import allocation, codes, ids
from carobhook.transport import (
    quota_service,
    shard_limits,
    shard_loans,
    shard_pools,
    shard_state,
)

Shard = shard_state.Shard

# A new dispatcher grants nothing until all instances have reported which slots they hold;
# otherwise it would grant slots that are in use. It waits at most this long, because instances
# that it can't reach do not report.
_TAKEOVER_WAIT_S = 0.25
# A grant may be on its way to the instance that asked for this long.
_GRANT_TRAVEL_S = 1.0
# An instance that has stood still for longer may have been taken for dead by others. Once it
# runs again, it hears of the live ones within the delay.
_STANDSTILL_S = 0.8
_QUERY_DELAY_S = 1.5
# A dispatcher that failed is replaced at most this often. Each replacement asks every instance
# which slots it holds.
_REPLACE_INTERVAL_S = 1.0


class ShardDispatchers:
    """Dispatchers of the shards that this instance owns, and the loans of their slots.

    Args:
        reactor: Source of time.
        own: Name of this instance.
        regions: Regions by failure domain.
        server_catalog: Servers and configuration.
        orders: Operators' orders in force.
        limits: Limits on retries, cold-server requests and loan changes.
        owner_of: Returns the instance that dispatches for a shard, or None.
        send: Sends a message to an instance, which may be this one, once there is a stream.
        live_names: Returns the names of the live instances.
        limit_share: Returns the share of each limit that this instance may use for the
            servers of a region.
        quotas: Admits requests by the quotas of their accounts; None for no quotas.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own: ids.InstanceId,
        regions: Mapping[ids.FailureDomain, ids.Region],
        server_catalog: catalog.Catalog,
        orders: steering.Steering,
        limits: shard_limits.SlotLimits,
        owner_of: Callable[[Shard], ids.InstanceId | None],
        send: Callable[[ids.InstanceId, typing.Any], object],
        live_names: Callable[[], Collection[ids.InstanceId]],
        limit_share: Callable[[ids.Region], float],
        quotas: quota_service.QuotaService | None = None,
    ) -> None:
        self._reactor = reactor
        self._own = own
        self._regions = regions
        self._limits = limits
        self._region_change = limits.region_change
        self._owner_of = owner_of
        self._send = send
        self._live_names = live_names
        self._quotas = quotas or quota_service.QuotaService(
            reactor, own, regions.values(), quota_service.QuotaTerms(), send
        )
        self._pools = shard_pools.ShardPools(
            reactor, regions, server_catalog, orders, limits, limit_share
        )
        self._loans = shard_loans.ShardLoans(reactor, regions, self._pools, owner_of, send)
        self._shards: dict[Shard, shard_state.ShardState] = {}
        self._dispatch_s = 0.0
        self._ticked_at = math.inf
        self._query_at = math.inf

    @property
    def dispatch_s(self) -> float:
        """Return the seconds that the dispatchers took for their decisions since the start."""
        return self._dispatch_s

    @property
    def shard_count(self) -> int:
        """Return the number of shards whose dispatchers run here."""
        return len(self._shards)

    @property
    def queued_count(self) -> int:
        """Return the number of queued slot requests."""
        return sum(state.dispatcher.queue_length for state in self._shards.values())

    # Slot requests.

    def handle_request(
        self, sender: ids.InstanceId, message: slot_messages.SlotRequested
    ) -> None:
        """Submit a slot request, or answer that this instance is not the dispatcher."""
        now = self._reactor.seconds()
        shard = (message.region, message.service)
        if self._owner_of(shard) != self._own:
            self._send(sender, slot_messages.NotDispatcher(message.id))
            return
        request = allocation.SlotRequest(
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
            account=message.account,
        )
        state = self.get_or_create(shard)
        if state.requesters.get(request.id) == sender:
            # It was sent again, as it may have been lost with a stream.
            return
        grant = state.find_grant(sender, request.id)
        if grant is not None:
            self._send(sender, slot_messages.SlotGranted(grant))
            return
        state.requesters[request.id] = sender
        self._quotas.submit(request, functools.partial(self._submit, state, request))

    def _submit(
        self,
        state: shard_state.ShardState,
        request: allocation.SlotRequest,
        refusal: allocation.SlotRefusal | None,
    ) -> None:
        """Submit a request to its dispatcher, unless its account's quota refuses it."""
        if refusal is not None:
            self._send_decisions(state, [refusal])
            return
        decisions = self._run(state, state.dispatcher.submit, request, self._reactor.seconds())
        if decisions is None:
            # A request that fails its dispatcher would fail the next one too.
            decisions = [allocation.SlotRefusal(request.id, codes.Code.NO_BACKEND, 1.0)]
        self._send_decisions(state, decisions)

    def handle_withdrawal(self, message: slot_messages.SlotRequestWithdrawn) -> None:
        """Remove a slot request from the queue, or free its slot if it was granted one."""
        state = self._shards.get((message.region, message.service))
        if state is None:
            return
        state.requesters.pop(message.id, None)
        self._quotas.withdraw(message.id)
        if state.dispatcher.withdraw(message.id):
            return
        granted = state.granted.pop(message.id, None)
        if granted is not None:
            # The grant was still on its way, so the request was not sent to the server.
            outcome = allocation.AttemptOutcome.CANCELLED
            self._release(state, message.id, granted[1], outcome, self._reactor.seconds())

    def handle_release(self, message: slot_messages.SlotReleased) -> None:
        """Free a slot, and send the decisions that this makes possible.

        Around a hand-over, the request may have got its slot from another dispatcher and have
        been sent to this one too. It is withdrawn here then, or its second slot freed.
        """
        state = self._shards.get((message.region, message.service))
        if state is None:
            return
        now = self._reactor.seconds()
        granted = state.granted.pop(message.id, None)
        if granted is None:
            # It may also wait for its account's quota here.
            self._guard(state, state.dispatcher.withdraw, message.id)
            state.requesters.pop(message.id, None)
            self._quotas.withdraw(message.id)
        elif granted[1] != message.server:
            unused = allocation.AttemptOutcome.CANCELLED
            self._release(state, message.id, granted[1], unused, now)
        if message.rate is not None:
            self._record_rate(
                (message.region, message.service), state, message.server, message.rate, now
            )
        self._release(state, message.id, message.server, message.end, now, message.pace)

    def handle_limit_report(self, message: slot_messages.ServerLimitReport) -> None:
        """Apply a limit that a server of this region named in an answer to another region."""
        shard = (message.region, message.service)
        state = self._shards.get(shard)
        if state is None:
            return
        rate = allocation.RateStatement(message.limit.max_per_s)
        self._record_rate(shard, state, message.limit.server, rate, self._reactor.seconds())

    def _record_rate(
        self,
        shard: Shard,
        state: shard_state.ShardState,
        server: ids.Server,
        rate: allocation.RateStatement,
        now: float,
    ) -> None:
        """Apply what a server's answer says about the rate of requests that it takes.

        A limited server has one dispatcher, that of its own region, so that one counter limits
        its rate. It is lent no longer, and a dispatcher that borrowed it reports the limit.
        """
        has_changed = state.limits.record(server, rate, now)
        pooled = state.dispatcher.pool.get(server)
        if pooled is not None and pooled.region != shard[0]:
            if has_changed:
                self._pools.update(shard, state)
            self._report_limit((pooled.region, shard[1]), server, rate)
        elif has_changed:
            max_per_s = self._pools.own_share(shard, rate.max_per_s)
            state.dispatcher.pool.limit_rate(server, max_per_s, now)
            if max_per_s is not None:
                self._loans.stop_lending(shard, state, server, now)

    def _report_limit(
        self, shard: Shard, server: ids.Server, rate: allocation.RateStatement
    ) -> None:
        """Report the limit of a borrowed server to the dispatcher of its own region."""
        owner = self._owner_of(shard)
        if owner is not None and rate.max_per_s is not None:
            limit = slot_messages.ServerLimit(server, rate.max_per_s)
            self._send(owner, slot_messages.ServerLimitReport(*shard, limit))

    def handle_held_slots(
        self, sender: ids.InstanceId, message: slot_messages.HeldSlotsReport
    ) -> None:
        """Register the slots that an instance's requests got from the previous dispatcher."""
        now = self._reactor.seconds()
        shard = (message.region, message.service)
        if self._owner_of(shard) != self._own:
            return
        state = self.get_or_create(shard)
        for slot in message.held:
            # The report has no priority, target or deadline; they only matter in the queue.
            request = allocation.SlotRequest(
                slot.id, message.service, slot.route, slot.object_key, 0, now, now
            )
            state.dispatcher.register_running(request, slot.server, now)
            state.granted[slot.id] = (sender, slot.server)
        for limit in message.limits:
            rate = allocation.RateStatement(limit.max_per_s)
            self._record_rate(shard, state, limit.server, rate, now)
        state.record_handed_over(message.objects, now)
        state.unreported.discard(sender)
        self._free_unheld(state, sender, {slot.id for slot in message.held}, now)
        self._decide(state, now)

    def _free_unheld(
        self,
        state: shard_state.ShardState,
        sender: ids.InstanceId,
        held: Collection[ids.RequestId],
        now: float,
    ) -> None:
        """Free the slots that an instance no longer holds by its own report.

        It released them to another dispatcher, while it took this instance for dead.
        """
        for request_id, (requester, server) in list(state.granted.items()):
            if requester != sender or request_id in held:
                continue
            pooled = state.dispatcher.pool.get(server)
            run = pooled.running.get(request_id) if pooled is not None else None
            if run is not None and now - run.started_at < _GRANT_TRAVEL_S:
                continue
            del state.granted[request_id]
            outcome = allocation.AttemptOutcome.CANCELLED
            self._release(state, request_id, server, outcome, now)

    def remove_instance(self, name: ids.InstanceId) -> None:
        """Remove the queued requests of an instance, and free its slots.

        The instance died or restarted, so its requests have ended.
        """
        now = self._reactor.seconds()
        for shard, state in self._shards.items():
            state.unreported.discard(name)
            queued_ids = [r for r, sender in state.requesters.items() if sender == name]
            for request_id in queued_ids:
                del state.requesters[request_id]
                self._quotas.withdraw(request_id)
                self._guard(state, state.dispatcher.withdraw, request_id)
            granted_ids = [
                request_id for request_id, entry in state.granted.items() if entry[0] == name
            ]
            if queued_ids or granted_ids:
                logs.event(
                    "slots-freed",
                    member=name,
                    region=shard[0],
                    service=shard[1],
                    queued=len(queued_ids),
                    slots=len(granted_ids),
                )
            for request_id in granted_ids:
                server = state.granted.pop(request_id)[1]
                outcome = allocation.AttemptOutcome.CANCELLED
                self._release(state, request_id, server, outcome, now)
            self._decide(state, now)

    def _decide(self, state: shard_state.ShardState, now: float) -> None:
        is_taking_over = bool(state.unreported) and now < state.paused_until
        state.dispatcher.paused = state.has_failed or is_taking_over
        self._send_decisions(state, self._run(state, state.dispatcher.decide, now) or [])

    def _release(
        self,
        state: shard_state.ShardState,
        request_id: ids.RequestId,
        server: ids.Server,
        outcome: allocation.AttemptOutcome,
        now: float,
        pace: float | None = None,
    ) -> None:
        """Free a slot, and send the decisions that this makes possible."""
        release = state.dispatcher.release_slot
        decisions = self._run(state, release, request_id, server, outcome, now, pace)
        self._send_decisions(state, decisions or [])

    def _run(
        self,
        state: shard_state.ShardState,
        decide: Callable[..., list[dispatcher.Decision]],
        *args: typing.Any,
    ) -> list[dispatcher.Decision] | None:
        """Return the result of a dispatcher's method, and add the time that it took.

        None is returned if the method raised. What the dispatcher holds may be inconsistent
        then, so it grants nothing more, and `tick` replaces it.
        """
        started_at = self._reactor.seconds()
        decisions = self._guard(state, decide, *args)
        self._dispatch_s += self._reactor.seconds() - started_at
        return decisions

    def _guard(
        self, state: shard_state.ShardState, call: Callable[..., typing.Any], *args: typing.Any
    ) -> typing.Any:
        """Return the result of a call that concerns one shard; None if it raised.

        Its dispatcher is replaced then, and the other shards are not affected.
        """
        try:
            return call(*args)
        except Exception:
            state.has_failed = state.dispatcher.paused = True
            logs.error(
                "dispatcher-failed",
                region=state.shard[0],
                service=state.shard[1],
                trace=failure.Failure().getTraceback(),
            )
            return None

    def _replace_failed(self, state: shard_state.ShardState, now: float) -> None:
        """Replace a dispatcher that failed by a new one, which knows of no slots in use.

        Instances send undecided requests again, and tell which slots they hold.
        """
        if not state.has_failed or now - state.replaced_at < _REPLACE_INTERVAL_S:
            return
        requesters, state.requesters = state.requesters, {}
        state.granted.clear()
        budget = state.dispatcher.retry_budget
        state.dispatcher = self._create_dispatcher(state.shard, budget)
        state.has_failed, state.replaced_at = False, now
        self._pools.update(state.shard, state)
        self._query_held_slots(state.shard, state)
        for request_id, requester in requesters.items():
            self._quotas.withdraw(request_id)
            self._send(requester, slot_messages.NotDispatcher(request_id))

    def _send_decisions(
        self, state: shard_state.ShardState, decisions: Iterable[dispatcher.Decision]
    ) -> None:
        for decision in decisions:
            requester = state.requesters.pop(decision.ask_id, self._own)
            if isinstance(decision, allocation.SlotGrant):
                self._quotas.record_grant(decision.ask_id)
                state.granted[decision.ask_id] = (requester, decision.server)
                pooled = state.dispatcher.pool.get(decision.server)
                if pooled is not None:
                    state.grants[pooled.region] += 1
                message: typing.Any = slot_messages.SlotGranted(decision)
            else:
                self._quotas.withdraw(decision.ask_id)
                message = slot_messages.SlotRefused(
                    decision.ask_id,
                    decision.code.number,
                    decision.retry_after_s,
                    decision.detail,
                )
            self._send(requester, message)

    # Shards.

    def get_or_create(self, shard: Shard) -> shard_state.ShardState:
        """Return the state of a shard; start its dispatcher if there is none yet."""
        state = self._shards.get(shard)
        if state is not None:
            return state
        regions = max(1, len(set(self._regions.values())))
        budget = retry_budget.RetryBudget(
            self._limits.budget_ratio,
            self._limits.budget_slack / regions,
            self._limits.budget_window_s,
            self._reactor.seconds(),
        )
        state = shard_state.ShardState(
            shard,
            self._create_dispatcher(shard, budget),
            slot_loans.LoanController(self._limits.loan_step),
            started_at=self._reactor.seconds(),
        )
        self._shards[shard] = state
        self._pools.update(shard, state)
        self._query_held_slots(shard, state)
        return state

    def _create_dispatcher(
        self, shard: Shard, budget: retry_budget.RetryBudget
    ) -> dispatcher.Dispatcher:
        shares = region_shares.RegionShares(shard[0], self._region_change)
        fairness = fair_share.FairShares(min_route_share=self._limits.min_route_share)
        return dispatcher.Dispatcher(budget, shares, fairness)

    def _query_held_slots(self, shard: Shard, state: shard_state.ShardState) -> None:
        """Ask every live instance which slots of the shard its requests hold."""
        state.unreported = set(self._live_names()) - {self._own}
        state.paused_until = self._reactor.seconds() + _TAKEOVER_WAIT_S
        state.dispatcher.paused = bool(state.unreported)
        for name in sorted(state.unreported):
            self._send(name, slot_messages.HeldSlotsQuery(*shard))
        self._send(self._own, slot_messages.HeldSlotsQuery(*shard))

    def hand_over(self, shard: Shard) -> None:
        """Stop dispatching for a shard, and redirect queued requests to its new owner."""
        state = self._shards.pop(shard, None)
        if state is None:
            return
        state.dispatcher.clear_queue()
        # Requests that wait for tokens of their accounts are in no queue yet.
        requesters, state.requesters = state.requesters, {}
        for request_id, requester in requesters.items():
            self._quotas.withdraw(request_id)
            self._send(requester, slot_messages.NotDispatcher(request_id))

    def update_servers(self) -> None:
        """Update all dispatchers after a change of servers, configuration or orders."""
        now = self._reactor.seconds()
        for shard, state in list(self._shards.items()):
            self._guard(state, self._pools.update, shard, state)
            self._decide(state, now)

    def tick(self, now: float) -> None:
        """Decide on the queued requests of all shards.

        After a tick that is so late that others may have taken this instance for dead, all
        instances are asked which slots they hold.
        """
        if now - self._ticked_at > _STANDSTILL_S:
            self._query_at = now + _QUERY_DELAY_S
        self._ticked_at = now
        if now >= self._query_at:
            self._query_at = math.inf
            for shard, state in self._shards.items():
                self._query_held_slots(shard, state)
        for state in list(self._shards.values()):
            self._replace_failed(state, now)
            self._decide(state, now)

    def set_region_change(self, share: float) -> None:
        """Set which share of the limit on changes of region the dispatchers may use.

        Args:
            share: The share, from 0 to 1.
        """
        self._region_change = self._limits.region_change * share
        for state in self._shards.values():
            if state.dispatcher.shares is not None:
                state.dispatcher.shares.max_change = self._region_change

    def loads(self) -> list[slot_messages.ShardLoad]:
        """Return the loads of the shards that this instance owns."""
        loads = []
        for (region, service), state in self._shards.items():
            if self._owner_of((region, service)) != self._own:
                continue
            pool = state.dispatcher.pool
            own_slots = sum(s.slots for s in pool.servers if s.region == region)
            lent = {to: sum(counts.values()) for to, counts in state.lent.items()}
            withheld = sum(state.withheld.values())
            loads.append(
                slot_messages.ShardLoad(
                    region,
                    service,
                    own_slots,
                    pool.slots,
                    pool.running,
                    state.dispatcher.queue_length,
                    state.demand,
                    tuple(sorted(lent.items())),
                    withheld,
                )
            )
        return loads

    def update_loans(self, elapsed_s: float, now: float) -> None:
        """Update the loans and pools of all shards, and report to other regions' dispatchers.

        Args:
            elapsed_s: Seconds since the last update.
            now: Monotonic time in seconds.
        """
        for shard, state in list(self._shards.items()):
            if self._owner_of(shard) == self._own:
                self._guard(state, self._loans.update, shard, state, elapsed_s, now)
            self._guard(state, self._pools.update, shard, state)
            state.log_moved_grants(now)

    def handle_region_report(self, report: slot_messages.RegionReport) -> None:
        """Record the report of another region's dispatcher, and apply its changes."""
        state = self._shards.get((report.receiver, report.service))
        if state is not None:
            self._loans.handle_report(state, report)
