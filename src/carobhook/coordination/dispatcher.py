"""Assigns the requests for one service in one region to servers with free slots.

Load pattern: several instances at once receive requests faster than the servers process them.
One dispatcher counts every slot. Requests therefore queue here, where they can still be refused
or sent to the server that is free first, and not inside a server.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from carobhook.coordination import (
    fair_share,
    pooled_server,
    region_shares,
    request_queue,
    retry_budget,
    server_pool,
    work_times,
)
from carobhook.state import allocation, codes, ids

Decision = allocation.SlotGrant | allocation.SlotRefusal

# A new request that can still meet its target is refused if its expected wait exceeds this
# share of the longest wait that it can afford: the time until its target, less a high work
# time. With a larger share, requests would miss their targets whenever the estimated work times
# are too low, and no more requests would be served in time.
_MAX_QUEUE_SHARE = 0.42
# Cost of a second of slot time, as a multiple of the cost of a second that the caller waits.
# Slot time costs more while other requests queue for it. `_QUEUE_SLOT_TIME_WEIGHT` is therefore
# added in proportion to the queue's length, and in full once the queue has as many requests as
# the pool has slots.
_SLOT_TIME_WEIGHT = 0.3
_QUEUE_SLOT_TIME_WEIGHT = 0.5
# Limits of the time after which a refused caller is told to retry.
_MIN_RETRY_AFTER_S = 0.2
_MAX_RETRY_AFTER_S = 5.0
# Work time assumed while there are no samples to estimate it from.
_DEFAULT_WORK_S = 0.2
# Weight of the latest request in the moving average of expected work times.
_MEAN_WORK_WEIGHT = 0.05
# Cost added for a server whose responses all report failures, as a multiple of the work time.
_FAILURE_PENALTY = 4.0
# Differences of health that are smaller than this, as a multiple of the work time, are noise.
_HEALTH_STEP = 0.25
# Part of a request's work for which the server is expected to keep its present pace.
_PACE_WEIGHT = 0.4
# Traffic between failure domains is billed, so a caller waits up to this much longer for a
# server in its own failure domain.
_CROSS_DOMAIN_COST_S = 0.015
# Share of a region's own slots whose servers must be able to serve, so that the movement of its
# requests to other regions is bounded.
_MIN_HEALTHY_SHARE = 0.5
# The way to another region and back takes longer, and its traffic is billed too.
_CROSS_REGION_COST_S = 0.08
# A lent slot is recalled for a request of the own region, and can be granted, within this time.
_SLOT_RETURN_S = 1.2
# If no server is free, a new request that may miss its target is queued only while the number
# of such requests in the queue is below this share of the number of slots, or is zero.
_MAX_LATE_SHARE = 0.25
# The whole queue is reviewed at most this often. It grows with the overload, so reviewing it on
# every event would take all processor time of an instance that also has answers to forward.
_REVIEW_INTERVAL_S = 0.05
# Number of requests, from the head of the queue, that a review tries to place on servers.
_MAX_PLACED_PER_REVIEW = 64
# Number of these that are tried when a slot becomes free. An arrival concerns only the new
# request, as the others had their choice of the free servers before.
_MAX_PLACED_PER_RELEASE = 8


@attrs.frozen
class _Candidate:
    """A server that could run a request, with its expected times and its cost in seconds.

    Attributes:
        server: The server.
        is_free: Whether it can start the request now.
        wait_s: Expected time until it can, 0 if it is free.
        work_s: Expected work time.
        cost: Cost of the choice.
    """

    server: pooled_server.PooledServer
    is_free: bool
    wait_s: float
    work_s: float
    cost: float


@attrs.define(eq=False)
class Dispatcher:
    """Grants the slots of one shard, which is one service in one region.

    Args:
        retry_budget: Limits the retries of the shard's requests.
        shares: Limits how quickly the requests change the regions that run them, or None for a
            dispatcher whose servers are all in one region.
        fairness: Fair shares of accounts and routes; requests are served by rank by default.

    Attributes:
        paused: Whether no slot is granted, even if some appear free, because not every slot in
            use has been reported yet. Requests are queued meanwhile.
        pool: The servers whose slots are granted.
    """

    retry_budget: retry_budget.RetryBudget
    shares: region_shares.RegionShares | None = None
    fairness: fair_share.FairShares = attrs.field(factory=fair_share.FairShares)
    paused: bool = attrs.field(default=False, init=False)
    pool: server_pool.ServerPool = attrs.field(factory=server_pool.ServerPool, init=False)
    _times: work_times.WorkTimes = attrs.field(factory=work_times.WorkTimes, init=False)
    _queue: request_queue.RequestQueue = attrs.field(
        factory=request_queue.RequestQueue, init=False
    )
    _reviewed_at: float = attrs.field(default=-math.inf, init=False)
    _demand_s: float = attrs.field(default=0.0, init=False)
    _mean_work_s: float = attrs.field(default=_DEFAULT_WORK_S, init=False)
    _reserved_s: dict[ids.Server, float] = attrs.field(factory=dict, init=False)
    # Result of `_healthy_home_servers`, and the time for which it was computed.
    _home_count: int = attrs.field(default=0, init=False)
    _home_counted_at: float = attrs.field(default=-math.inf, init=False)

    @property
    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def mean_work_s(self) -> float:
        """Return the moving average of the requests' expected work times in seconds."""
        return self._mean_work_s

    def collect_demand(self) -> float:
        """Return and reset the expected work, in slot-seconds, requested since the last call.

        Retries are not included.
        """
        demand, self._demand_s = self._demand_s, 0.0
        return demand

    def submit(self, request: allocation.SlotRequest, now: float) -> list[Decision]:
        """Refuse or queue a request; return the decisions that result.

        Args:
            request: The slot request.
            now: Monotonic time in seconds.
        """
        expected_work_s = self._estimate_work_s(request)
        self._mean_work_s += _MEAN_WORK_WEIGHT * (expected_work_s - self._mean_work_s)
        if request.repeat:
            if not self.retry_budget.try_consume(now):
                return [self._refusal(request, codes.Code.RETRIES_USED_UP, now, "repeat")]
        else:
            self.retry_budget.count_request(now)
            self._demand_s += expected_work_s
        standing = self.fairness.standing(request, expected_work_s, now)
        queued = request_queue.QueuedRequest(request, expected_work_s, standing=standing)
        if self._may_miss_target(queued, now):
            queued.mark_late()
        if not queued.late:
            self.fairness.record_request(request, expected_work_s, now)
        refusal = None if self.paused else self._refuse_on_arrival(queued, now)
        if refusal is not None:
            return [refusal]
        self._queue.add(queued)
        if self.paused:
            return []
        return self._decide_some([queued], now)

    def withdraw(self, request_id: ids.RequestId) -> bool:
        """Remove a request from the queue; return False if it is not queued."""
        return self._queue.remove(request_id)

    def clear_queue(self) -> list[allocation.SlotRequest]:
        """Remove all requests from the queue and return them."""
        return self._queue.clear()

    def register_running(
        self, request: allocation.SlotRequest, server: ids.Server, now: float
    ) -> None:
        """Occupy the slot that the shard's previous dispatcher granted to a request."""
        self.pool.take_over(request, server, self._estimate_work_s(request), now)

    def release_slot(
        self,
        request_id: ids.RequestId,
        server: ids.Server,
        outcome: allocation.AttemptOutcome,
        now: float,
        pace: float | None = None,
    ) -> list[Decision]:
        """Free the slot of a finished request; return all decisions that can be made now.

        Args:
            request_id: Id of the request that was granted the slot.
            server: Server of the slot.
            outcome: How the attempt ended.
            now: Monotonic time in seconds.
            pace: Time that work takes on the server by its answer, as a multiple of what it
                usually takes, or None if it says nothing.
        """
        self.pool.forget_taken_over(request_id, server)
        pooled = self.pool.get(server)
        run = pooled.finish(request_id) if pooled is not None else None
        if pooled is not None and pace is not None:
            pooled.pace.record(pace, now)
        if pooled is not None and run is not None:
            if outcome is allocation.AttemptOutcome.ANSWERED and not run.is_taken_over:
                elapsed_s = max(0.0, now - run.started_at)
                factor = pooled.slowness(now) * pooled.pace_during(run, now)
                self._times.observe(run.route, run.depth, elapsed_s / factor)
            pooled.record_outcome(run, outcome, now)
        if not self._queue or self.paused:
            return []
        return self._decide_some(self._candidates_for(server), now)

    def decide(self, now: float) -> list[Decision]:
        """Review the whole queue: grant or refuse the requests that can be decided now.

        Args:
            now: Monotonic time in seconds.
        """
        self._reviewed_at = now
        if not self._queue or self.paused:
            return []
        self._mark_late(self._queue, now)
        decisions = self._place(self._queue.head(_MAX_PLACED_PER_REVIEW), now)
        return decisions + self._drop_late(self._queue, now)

    def _candidates_for(self, server: ids.Server) -> list[request_queue.QueuedRequest]:
        """Return requests near the head of the queue that may use a free slot of a server.

        Requests that wait for another server are left to the next review.
        """
        head = self._queue.head(_MAX_PLACED_PER_REVIEW)
        candidates = [queued for queued in head if queued.awaited in (None, server)]
        return candidates[:_MAX_PLACED_PER_RELEASE]

    def _decide_some(
        self, candidates: list[request_queue.QueuedRequest], now: float
    ) -> list[Decision]:
        """Decide on some queued requests after an event, or on all if a review is due.

        Args:
            candidates: Requests to decide on, in queue order.
            now: Monotonic time in seconds.
        """
        if now - self._reviewed_at >= _REVIEW_INTERVAL_S:
            return self.decide(now)
        self._mark_late(candidates, now)
        in_order = sorted(candidates, key=request_queue.sort_key)
        return self._place(in_order, now) + self._drop_late(candidates, now)

    def _mark_late(self, candidates: Iterable[request_queue.QueuedRequest], now: float) -> None:
        """Mark the candidates that may miss their targets by now."""
        for queued in candidates:
            if not queued.late and self._may_miss_target(queued, now):
                self._queue.mark_late(queued)

    def _place(
        self, candidates: Iterable[request_queue.QueuedRequest], now: float
    ) -> list[Decision]:
        """Grant slots to queued requests as long as servers are free; return the grants.

        Args:
            candidates: Queued requests, in queue order.
            now: Monotonic time in seconds.
        """
        free: list[pooled_server.PooledServer] | None = None
        self._reserved_s.clear()
        grants: list[Decision] = []
        for queued in candidates:
            holders = self._evaluate_holders(queued.request, now)
            chosen = self._choose_free_holder(queued.request, holders, now)
            if chosen is None:
                free = self.pool.free_servers(now) if free is None else free
                if not free:
                    break
                chosen = self._choose_server(queued, holders, free, now)
            if chosen is None:
                continue
            grants.append(self._grant(queued, chosen, now))
            if free is not None and not chosen.server.is_free(now):
                free.remove(chosen.server)
        # The queue's length weighs in the choices above, so all leave it together.
        for grant in grants:
            self._queue.remove(grant.ask_id)
        return grants

    def _drop_late(
        self, candidates: Iterable[request_queue.QueuedRequest], now: float
    ) -> list[Decision]:
        """Remove the late candidates that must not stay in the queue; return their refusals.

        While slots are free, a late request takes none from those that are in time: it waits
        for a server that has its object.
        """
        late = [queued for queued in candidates if queued.late]
        if not late:
            return []
        others_need_slots = self._queue.has_request_in_time and self._are_slots_scarce(
            self.pool.free_servers(now), now
        )
        return [
            self._refusal(queued.request, codes.Code.DEADLINE_UNMEETABLE, now, "late")
            for queued in late
            if self._should_drop(
                queued, others_need_slots and queued.gave_way_until is None, now
            )
            and self._queue.remove(queued.request.id)
        ]

    def _estimate_work_s(self, request: allocation.SlotRequest) -> float:
        """Return the expected work time in seconds, without the slowness of any server.

        It is estimated for the server where the request's object has the lowest depth.
        """
        key = work_times.qualified_key(request.route, request.object_key)
        depth: int | None = None
        if key is not None:
            depths = [self.pool.depth(server, key) for server in self.pool.holders(key)]
            known = [found for found in depths if found is not None]
            depth = min(known) if known else None
        return self._times.estimate_s(request.route, depth, _DEFAULT_WORK_S)

    def _refuse_on_arrival(
        self, queued: request_queue.QueuedRequest, now: float
    ) -> allocation.SlotRefusal | None:
        """Return a refusal if no server is eligible or the wait is too long, else None."""
        request = queued.request
        if self._has_free_home_server(request, now):
            return None
        may_run = self._placement_filter(request, self.pool.free_servers(now), now)
        eligible = [server for server in self.pool.servers if may_run(server)]
        if not eligible:
            return self._refusal(request, codes.Code.NO_BACKEND, now, "servers")
        if any(server.is_free(now) for server in eligible):
            return None
        wait_s = self._expected_wait_s(queued, eligible, now)
        if queued.late:
            below_limit = self._queue.late_count < max(1, _MAX_LATE_SHARE * self.pool.slots)
            accepted = (
                below_limit and now + wait_s + queued.expected_work_s <= request.deadline_at
            )
        else:
            accepted = wait_s <= _MAX_QUEUE_SHARE * (
                request.target_at - now - self._high_work_s(queued)
            )
        if accepted:
            return None
        return self._refusal(
            request, codes.Code.DEADLINE_UNMEETABLE, now, queued.refusal_reason, wait_s
        )

    def _expected_wait_s(
        self,
        queued: request_queue.QueuedRequest,
        eligible: list[pooled_server.PooledServer],
        now: float,
    ) -> float:
        """Return the expected wait of a new request in seconds.

        Args:
            queued: The request.
            eligible: Servers that may run it.
            now: Monotonic time in seconds.
        """
        work_s = queued.expected_work_s
        slots = sum(
            max(
                0.0,
                min(server.slots - server.unavailable_slots, server.throughput_slots(work_s)),
            )
            for server in eligible
        )
        if slots <= 0:
            return self._wait_for_return_s(queued)
        first_s = min(server.next_free_s(now) for server in eligible)
        return first_s + self._queue.work_ahead_s(queued) / slots

    def _wait_for_return_s(self, queued: request_queue.QueuedRequest) -> float:
        """Return the expected wait of a request while all slots are lent to other regions."""
        slots = self.pool.returning_slots
        if slots <= 0:
            return math.inf
        return _SLOT_RETURN_S + self._queue.work_ahead_s(queued) / slots

    def _high_work_s(self, queued: request_queue.QueuedRequest) -> float:
        """Return a work time in seconds that few requests of this kind exceed."""
        return queued.expected_work_s * self._times.high_ratio(queued.request.route)

    def _may_miss_target(self, queued: request_queue.QueuedRequest, now: float) -> bool:
        """Return whether the request may miss its target even if it starts now.

        This assumes a work time that few requests exceed, not the expected one.
        """
        return now + self._high_work_s(queued) > queued.request.target_at

    def _should_drop(
        self, queued: request_queue.QueuedRequest, others_need_slots: bool, now: float
    ) -> bool:
        """Return whether a late request must be refused instead of staying in the queue.

        It is refused if requests that can still meet their targets need the slots, or if it
        would miss its deadline even if it started now.
        """
        return others_need_slots or now + queued.expected_work_s > queued.request.deadline_at

    def _has_free_home_server(self, request: allocation.SlotRequest, now: float) -> bool:
        """Return whether a request may start now on a server of the shard's own region.

        False is also returned where that would take longer to find out.
        """
        return self._may_stay(now) and any(
            not self._is_abroad(server) and _is_eligible(server, request)
            for server in self.pool.iterate_free(now)
        )

    def _may_stay(self, now: float) -> bool:
        """Return whether one more request may run in the shard's own region."""
        return self.shares is None or self.shares.may_stay(now)

    def _evaluate_holders(
        self, request: allocation.SlotRequest, now: float
    ) -> list[_Candidate]:
        """Return the servers that have a request's object and may run it now or later.

        Args:
            request: The request.
            now: Monotonic time in seconds.
        """
        key = work_times.qualified_key(request.route, request.object_key)
        if key is None:
            return []
        return [
            self._evaluate(request, server, key, now)
            for server in self.pool.holders(key)
            if server.has_usable_slots and _is_eligible(server, request)
        ]

    def _choose_free_holder(
        self, request: allocation.SlotRequest, holders: list[_Candidate], now: float
    ) -> _Candidate | None:
        """Return a free server that has the request's object, if no other can cost less.

        The other servers are not looked at then, so this takes time in proportion to the number
        of servers that have the object.

        Args:
            request: The request.
            holders: Result of `_evaluate_holders`.
            now: Monotonic time in seconds.
        """
        if not holders or not self._may_stay(now):
            return None
        best = min(holders, key=lambda candidate: candidate.cost)
        if not best.is_free or self._is_abroad(best.server):
            return None
        usual_s = self._times.estimate_s(request.route, None, _DEFAULT_WORK_S)
        least_cost = usual_s * pooled_server.LEAST_SLOWNESS * (1 + self._slot_time_weight())
        return best if best.cost <= least_cost else None

    def _choose_server(
        self,
        queued: request_queue.QueuedRequest,
        holders: list[_Candidate],
        free: list[pooled_server.PooledServer],
        now: float,
    ) -> _Candidate | None:
        """Return the server to start a request on now, or None if it must wait.

        Args:
            queued: The request.
            holders: Result of `_evaluate_holders` for it.
            free: Servers that can start a request now.
            now: Monotonic time in seconds.
        """
        request = queued.request
        may_run = self._placement_filter(request, free, now)
        eligible = [server for server in free if may_run(server)]
        if not eligible:
            return None
        candidates = [candidate for candidate in holders if may_run(candidate.server)]
        holder_names = {candidate.server.name for candidate in candidates}
        others = [server for server in eligible if server.name not in holder_names]
        if others:
            best_other = min(
                others,
                key=lambda s: (
                    round(self._health_penalty(s, now) / _HEALTH_STEP),
                    self._is_abroad(s),
                    s.view.entry.failure_domain != request.domain,
                    len(s.running) / max(1, s.slots),
                    len(s.recent_objects),
                    s.name,
                ),
            )
            key = work_times.qualified_key(request.route, request.object_key)
            candidates.append(self._evaluate(request, best_other, key, now))
        if not candidates:
            return None
        best = min(candidates, key=lambda candidate: candidate.cost)
        if best.is_free:
            return best
        # The best server is busy. Wait for it if the response will still be in time; otherwise
        # use a free server that responds earlier. A slower one would only put the object into
        # the memory of one more server, in the place of another, so the request waits for as
        # long as that would work. While slots are scarce, use only a server that is likely to
        # respond in time.
        high_ratio = self._times.high_ratio(request.route)
        best_end_s = best.wait_s + best.work_s
        if now + best.wait_s + best.work_s * high_ratio <= request.target_at:
            self._reserve(queued, best)
            return None
        ready = [c for c in candidates if c.is_free and c.work_s <= best_end_s]
        if self._are_slots_scarce(free, now):
            ready = [c for c in ready if now + c.work_s * high_ratio <= request.target_at]
        elif not ready:
            ready = _give_way(queued, [c for c in candidates if c.is_free], now)
        if not ready:
            self._reserve(queued, best)
            return None
        return min(ready, key=lambda candidate: candidate.cost)

    def _are_slots_scarce(self, free: Iterable[pooled_server.PooledServer], now: float) -> bool:
        """Return whether there are no more free slots than queued requests."""
        return sum(server.free_slots(now) for server in free) <= len(self._queue)

    def _placement_filter(
        self,
        request: allocation.SlotRequest,
        free: Iterable[pooled_server.PooledServer],
        now: float,
    ) -> Callable[[pooled_server.PooledServer], bool]:
        """Return a function that tells whether a request may run on a server.

        The server must be eligible, and in a region to which the request may move now. If the
        servers of its own region cannot run it, the request may move to any.

        Args:
            request: The request.
            free: Servers that can start a request now.
            now: Monotonic time in seconds.
        """
        if self.shares is None or not self._can_stay_home(request, self.shares.home, now):
            return lambda server: _is_eligible(server, request)
        free_regions = {server.region for server in free if _is_eligible(server, request)}
        regions = self.shares.allowed(free_regions, now)
        return lambda server: server.region in regions and _is_eligible(server, request)

    def _can_stay_home(
        self, request: allocation.SlotRequest, home: ids.Region, now: float
    ) -> bool:
        """Return whether servers of the shard's own region can run a request now or later.

        Args:
            request: The request.
            home: The region.
            now: Monotonic time in seconds.
        """
        if self.pool.regions <= {home} or (request.homes and home not in request.homes):
            return False
        return self._healthy_home_servers(home, now) > len(request.avoided)

    def _healthy_home_servers(self, home: ids.Region, now: float) -> int:
        """Return how many servers of a region can serve, 0 if most of its slots cannot.

        While a region has lost most of its servers, its requests move without a bound.

        Args:
            home: The region.
            now: Monotonic time in seconds.
        """
        if self._home_counted_at != now:
            own = [server for server in self.pool.servers if server.region == home]
            healthy = [server for server in own if server.can_serve(now)]
            healthy_slots = sum(server.slots for server in healthy)
            is_able = healthy_slots >= _MIN_HEALTHY_SHARE * sum(s.slots for s in own)
            self._home_counted_at = now
            self._home_count = len(healthy) if is_able else 0
        return self._home_count

    def _is_abroad(self, server: pooled_server.PooledServer) -> bool:
        """Return whether a server is borrowed from another region."""
        return self.shares is not None and server.region != self.shares.home

    def _reserve(self, queued: request_queue.QueuedRequest, candidate: _Candidate) -> None:
        """Record that a request waits for this server, so that others expect a longer wait."""
        queued.awaited = candidate.server.name
        reserved_s = self._reserved_s.get(candidate.server.name, 0.0)
        self._reserved_s[candidate.server.name] = reserved_s + candidate.work_s

    def _evaluate(
        self,
        request: allocation.SlotRequest,
        server: pooled_server.PooledServer,
        key: str | None,
        now: float,
    ) -> _Candidate:
        """Return the expected times and the cost of running a request on a server."""
        depth = self.pool.depth(server, key) if key is not None else None
        work_s = self._times.estimate_s(request.route, depth, _DEFAULT_WORK_S)
        work_s *= server.slowness(now)
        is_free = server.is_free(now)
        reserved_s = self._reserved_s.get(server.name, 0.0) / server.throughput_slots(work_s)
        wait_s = 0.0 if is_free else max(0.005, server.next_free_s(now)) + reserved_s
        weight = self._slot_time_weight()
        penalty = server.failure_share * _FAILURE_PENALTY * work_s
        if request.domain is not None and server.view.entry.failure_domain != request.domain:
            penalty += _CROSS_DOMAIN_COST_S
        if self._is_abroad(server):
            penalty += _CROSS_REGION_COST_S
        penalty += _PACE_WEIGHT * work_s * (server.pace.factor(now) - 1.0)
        cost = wait_s + work_s * (1 + weight) + penalty
        return _Candidate(server, is_free, wait_s, work_s, cost)

    def _slot_time_weight(self) -> float:
        """Return the cost of a second of slot time, as a multiple of one of waiting."""
        queue_ratio = min(1.0, len(self._queue) / max(1, self.pool.slots))
        return _SLOT_TIME_WEIGHT + queue_ratio * _QUEUE_SLOT_TIME_WEIGHT

    def _health_penalty(self, server: pooled_server.PooledServer, now: float) -> float:
        """Return the cost of slowness and failures, as a multiple of a request's work time."""
        slowness = (server.slowness(now) - 1.0) + (server.pace.factor(now) - 1.0)
        return slowness + server.failure_share * _FAILURE_PENALTY

    def _grant(
        self, queued: request_queue.QueuedRequest, candidate: _Candidate, now: float
    ) -> allocation.SlotGrant:
        """Occupy a slot of a server with a request, and return the grant."""
        request = queued.request
        server = candidate.server
        key = work_times.qualified_key(request.route, request.object_key)
        depth = self.pool.depth(server, key) if key is not None else None
        is_measured = self._times.has_samples(request.route, depth)
        server.start(request, candidate.work_s, now, depth, is_measured=is_measured)
        if self.shares is not None:
            self.shares.record(server.region, now)
        if not queued.late:
            self.fairness.record_grant(request, queued.expected_work_s, now)
        if key is not None:
            self.pool.record_object(server, key)
        return allocation.SlotGrant(
            request.id, server.name, server.view.entry.address, candidate.work_s
        )

    def _refusal(
        self,
        request: allocation.SlotRequest,
        code: codes.Code,
        now: float,
        reason: str,
        wait_s: float = 0.0,
    ) -> allocation.SlotRefusal:
        """Return a refusal, with the time to retry after.

        This is the expected time to empty the present queue, within fixed limits.

        Args:
            request: The request.
            code: Code of the refusal.
            now: Monotonic time in seconds.
            reason: Why it is refused, for the log.
            wait_s: Its expected wait in seconds.
        """
        slots = self.pool.throughput_slots(self._mean_work_s)
        backlog_s = self._queue.work_s / slots if slots > 0 else self._queue.work_s
        retry_after_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, backlog_s))
        figures = (
            f"reason={reason} wait_ms={min(wait_s, 1e6) * 1000:.0f} "
            f"running={self.pool.running}/{self.pool.slots} waiting={len(self._queue)} "
            f"servers={len(self.pool.servers)} "
            f"target_ms={(request.target_at - now) * 1000:.0f} "
            f"work_ms={self._estimate_work_s(request) * 1000:.0f}"
        )
        detail = f"{figures} {self.fairness.describe(request)}".rstrip()
        return allocation.SlotRefusal(request.id, code, retry_after_s, detail)


def _give_way(
    queued: request_queue.QueuedRequest, slower: list[_Candidate], now: float
) -> list[_Candidate]:
    """Return the servers to use in place of a busy one; none while the request waits for it.

    Args:
        queued: The request.
        slower: Free servers that would respond later than the busy one.
        now: Monotonic time in seconds.
    """
    if queued.gave_way_until is None:
        work_s = min((candidate.work_s for candidate in slower), default=0.0)
        queued.gave_way_until = now + work_s
    return slower if now >= queued.gave_way_until else []


def _is_eligible(server: pooled_server.PooledServer, request: allocation.SlotRequest) -> bool:
    if server.name in request.avoided:
        return False
    return not request.homes or server.region in request.homes
