"""Tests of carobhook.coordination.dispatcher, some of which simulate loads."""

import heapq
import random

import pytest

from carobhook.coordination import (
    catalog,
    dispatcher,
    pooled_server,
    retry_budget,
)
from carobhook.state import allocation, codes, ids, servers

SERVICE = ids.Service("catalogue")
HOME = ids.Region("north")
FAR = ids.Region("south")


def offer(name, slots=2, region=HOME, cold_until=0.0, cold_rate=None, started_at_ms=None):
    """Return an offer of a ready server's slots to a pool."""
    entry = servers.ServerEntry(
        ids.Server(name),
        SERVICE,
        ids.FailureDomain(f"{region}-a"),
        f"{name}:80",
        slots,
        servers.ServerState.READY,
        0.0,
        started_at_ms,
    )
    return pooled_server.ServerOffer(
        catalog.ServerView(entry, cold_until), region, slots, cold_rate=cold_rate
    )


def make_dispatcher(*offers, ratio=10.0, slack=10.0):
    """Return a dispatcher with a pool of the offered servers."""
    budget = retry_budget.RetryBudget(ratio, slack, 10.0)
    dispatcher_ = dispatcher.Dispatcher(budget)
    dispatcher_.pool.replace(offers, 0.0)
    return dispatcher_


def make_request(number, now=0.0, target_s=1.0, deadline_s=5.0, **fields):
    """Return a slot request with the id ``r<number>``."""
    fields = {"object_key": None, "priority": 1} | fields
    return allocation.SlotRequest(
        ids.RequestId(f"r{number}"),
        SERVICE,
        "route",
        target_at=now + target_s,
        deadline_at=now + deadline_s,
        **fields,
    )


def granted_ids(decisions):
    """Return the ids of the requests that were granted a slot."""
    return [d.ask_id for d in decisions if isinstance(d, allocation.SlotGrant)]


class TestSlots:
    """No server gets more requests than it has slots."""

    def test_request_is_queued_while_all_slots_are_busy(self):
        """With two slots, the third request is queued, and granted when one is released."""
        dispatcher_ = make_dispatcher(offer("a"))
        assert granted_ids(dispatcher_.submit(make_request(1), 0.0)) == ["r1"]
        assert granted_ids(dispatcher_.submit(make_request(2), 0.0)) == ["r2"]
        assert dispatcher_.submit(make_request(3), 0.0) == []
        decisions = dispatcher_.release_slot(
            ids.RequestId("r1"), ids.Server("a"), allocation.AttemptOutcome.ANSWERED, 0.2
        )
        assert granted_ids(decisions) == ["r3"]

    def test_lent_slots_are_not_granted(self):
        """A slot lent to another region is not granted by the lender."""
        dispatcher_ = make_dispatcher(offer("a"))
        dispatcher_.pool.set_unavailable_slots({ids.Server("a"): 1})
        dispatcher_.submit(make_request(1), 0.0)
        assert dispatcher_.submit(make_request(2), 0.0) == []

    def test_request_waits_for_lent_slots_to_return(self):
        """While all slots are lent, a request waits for one if it has time, or is refused."""
        dispatcher_ = make_dispatcher(offer("a"))
        dispatcher_.pool.set_unavailable_slots({ids.Server("a"): 2})
        hurried = dispatcher_.submit(make_request(1), 0.0)
        assert [d.code for d in hurried] == [codes.Code.DEADLINE_UNMEETABLE]
        assert dispatcher_.submit(make_request(2, target_s=4.0), 0.0) == []
        dispatcher_.pool.set_unavailable_slots({})
        assert granted_ids(dispatcher_.decide(1.0)) == ["r2"]

    def test_request_is_refused_while_orders_withhold_all_slots(self):
        """No slot returns, so waiting would be in vain."""
        dispatcher_ = make_dispatcher(offer("a"))
        withheld = {ids.Server("a"): 2}
        dispatcher_.pool.set_unavailable_slots(withheld, withheld)
        decisions = dispatcher_.submit(make_request(1, target_s=4.0), 0.0)
        assert [d.code for d in decisions] == [codes.Code.DEADLINE_UNMEETABLE]

    def test_slots_granted_by_the_previous_dispatcher_count(self):
        """After a takeover, requests that already run occupy their slots."""
        dispatcher_ = make_dispatcher(offer("a", slots=1))
        dispatcher_.register_running(make_request(1), ids.Server("a"), 0.0)
        assert dispatcher_.submit(make_request(2), 0.0) == []

    def test_request_counts_after_its_loan_ended(self):
        """The lender learns of a borrowed slot that is still in use from the borrower only."""
        dispatcher_ = make_dispatcher(offer("a", region=FAR))
        dispatcher_.submit(make_request(1), 0.0)
        dispatcher_.pool.replace([], 1.0)
        assert dispatcher_.pool.running == 1

    def test_request_without_usable_server_is_refused_at_once(self):
        """A request that no server may run is refused, not queued."""
        decisions = make_dispatcher().submit(make_request(1), 0.0)
        assert [d.code for d in decisions] == [codes.Code.NO_BACKEND]

    def test_request_runs_only_in_its_home_regions(self):
        """A request with home regions is sent to no server elsewhere."""
        dispatcher_ = make_dispatcher(offer("a", region=FAR))
        decisions = dispatcher_.submit(make_request(1, homes=frozenset({HOME})), 0.0)
        assert [d.code for d in decisions] == [codes.Code.NO_BACKEND]


class TestAdmission:
    """Early refusal of requests that cannot meet their target, and the order of grants."""

    def test_request_is_refused_on_arrival_if_wait_exceeds_target(self):
        """A request is refused on arrival if its expected wait exceeds its target."""
        dispatcher_ = make_dispatcher(offer("a", slots=1))
        decisions = []
        for number in range(20):
            decisions += dispatcher_.submit(make_request(number, target_s=0.6), 0.0)
        refused = [d for d in decisions if isinstance(d, allocation.SlotRefusal)]
        assert len(refused) > 10
        assert all(d.code is codes.Code.DEADLINE_UNMEETABLE for d in refused)
        assert all(0 < d.retry_after_s <= 5 for d in refused)

    def test_late_request_is_dropped_while_others_are_in_time(self):
        """A request that will miss its target leaves the queue if another can meet its own."""
        dispatcher_ = make_dispatcher(offer("a", slots=1))
        dispatcher_.submit(make_request(1), 0.0)
        dispatcher_.submit(make_request(2, target_s=0.7), 0.0)
        dispatcher_.submit(make_request(3, now=0.1, target_s=3.0), 0.1)
        decisions = dispatcher_.decide(0.6)
        assert [d.ask_id for d in decisions] == ["r2"]

    def test_late_request_is_served_while_no_other_waits(self):
        """A late response is better than none, if no other request needs the slot."""
        dispatcher_ = make_dispatcher(offer("a", slots=1))
        dispatcher_.submit(make_request(1), 0.0)
        dispatcher_.submit(make_request(2, target_s=0.7), 0.0)
        assert dispatcher_.decide(0.6) == []
        decisions = dispatcher_.release_slot(
            ids.RequestId("r1"), ids.Server("a"), allocation.AttemptOutcome.ANSWERED, 0.8
        )
        assert granted_ids(decisions) == ["r2"]

    def test_urgent_request_is_granted_first(self):
        """Among queued requests, the lowest priority number is served first."""
        dispatcher_ = make_dispatcher(offer("a", slots=1))
        dispatcher_.submit(make_request(1), 0.0)
        dispatcher_.submit(make_request(2, priority=2), 0.0)
        dispatcher_.submit(make_request(3, priority=0), 0.01)
        decisions = dispatcher_.release_slot(
            ids.RequestId("r1"), ids.Server("a"), allocation.AttemptOutcome.ANSWERED, 0.1
        )
        assert granted_ids(decisions) == ["r3"]

    def test_retry_is_refused_once_retry_budget_is_used_up(self):
        """Once the retry budget is used up, retries are refused with a code of their own."""
        dispatcher_ = make_dispatcher(offer("a", slots=9), ratio=0.1, slack=1.0)
        dispatcher_.submit(make_request(1), 0.0)
        assert granted_ids(dispatcher_.submit(make_request(2, repeat=True), 0.0)) == ["r2"]
        decisions = dispatcher_.submit(make_request(3, repeat=True), 0.0)
        assert [d.code for d in decisions] == [codes.Code.RETRIES_USED_UP]


class TestHealth:
    """Servers that fail, or are cold."""

    def test_broken_server_is_paused(self):
        """After a broken connection a server gets no requests, and then one at a time."""
        dispatcher_ = make_dispatcher(offer("a"))
        dispatcher_.submit(make_request(1), 0.0)
        dispatcher_.release_slot(
            ids.RequestId("r1"), ids.Server("a"), allocation.AttemptOutcome.BROKEN, 0.1
        )
        assert dispatcher_.submit(make_request(2, now=0.1, target_s=3.0), 0.1) == []
        assert granted_ids(dispatcher_.decide(0.6)) == ["r2"]
        assert dispatcher_.submit(make_request(3, now=0.6), 0.6) == []

    def test_healthy_server_is_preferred_to_a_failing_one(self):
        """A server that responds with failures is not chosen while a healthy one is free."""
        dispatcher_ = make_dispatcher(offer("a", slots=4), offer("b", slots=4))
        for number in range(8):
            name = ids.RequestId(f"x{number}")
            dispatcher_.register_running(make_request(f"x{number}"), ids.Server("a"), 0.0)
            dispatcher_.release_slot(
                ids.RequestId(f"rx{number}"),
                ids.Server("a"),
                allocation.AttemptOutcome.FAILED,
                0.1,
            )
            assert name
        first = dispatcher_.submit(make_request(1, now=0.2), 0.2)
        assert first[0].server == "b"

    def test_cold_server_stays_within_its_rate(self):
        """Within any second, a cold server gets at most its rate, the burst and one more."""
        dispatcher_ = make_dispatcher(offer("a", slots=50, cold_until=10.0, cold_rate=5.0))
        times = []
        for number in range(200):
            now = number * 0.02
            for decision in dispatcher_.submit(make_request(number, now=now), now):
                if isinstance(decision, allocation.SlotGrant):
                    times.append(now)
                    dispatcher_.release_slot(
                        decision.ask_id,
                        decision.server,
                        allocation.AttemptOutcome.ANSWERED,
                        now + 0.001,
                    )
        max_per_s = max(sum(1 for t in times if start <= t < start + 1) for start in times)
        assert max_per_s <= 5 + 2 + 1


class TestTrialAfterAFailure:
    """A request on a silent connection kept its server from getting others (issue 49)."""

    def paused_server(self):
        """Return a dispatcher whose server failed once, and runs a request from before."""
        dispatcher_ = make_dispatcher(offer("a", slots=3))
        for number in (1, 2):
            dispatcher_.submit(make_request(number), 0.0)
        dispatcher_.release_slot(
            ids.RequestId("r2"), ids.Server("a"), allocation.AttemptOutcome.BROKEN, 0.1
        )
        dispatcher_.decide(1.0)
        return dispatcher_

    def test_requests_from_before_are_no_trial(self):
        """The first one may hang until its deadline; the server gets another one."""
        dispatcher_ = self.paused_server()
        assert granted_ids(dispatcher_.submit(make_request(3, 1.0), 1.0)) == ["r3"]

    def test_one_trial_at_a_time(self):
        """More follow when it has responded."""
        dispatcher_ = self.paused_server()
        dispatcher_.submit(make_request(3, 1.0), 1.0)
        assert dispatcher_.submit(make_request(4, 1.0), 1.0) == []
        decisions = dispatcher_.release_slot(
            ids.RequestId("r3"), ids.Server("a"), allocation.AttemptOutcome.ANSWERED, 1.1
        )
        assert granted_ids(decisions) == ["r4"]

    def test_slots_stay_in_use(self):
        """A trial gets no slot that a request from before still holds."""
        dispatcher_ = make_dispatcher(offer("a", slots=2))
        for number in (1, 2):
            dispatcher_.submit(make_request(number), 0.0)
        dispatcher_.release_slot(
            ids.RequestId("r2"), ids.Server("a"), allocation.AttemptOutcome.BROKEN, 0.1
        )
        dispatcher_.register_running(make_request(5), ids.Server("a"), 0.2)
        assert dispatcher_.submit(make_request(3, 1.0), 1.0) == []


class TestSlowness:
    """What says that a server is slow."""

    def end(self, dispatcher_, number, server, now):
        """Release the slot of a request that was answered."""
        dispatcher_.release_slot(
            ids.RequestId(f"r{number}"), server, allocation.AttemptOutcome.ANSWERED, now
        )

    def test_assumed_work_time_says_nothing(self):
        """Requests of 2 s, granted before any end, don't make equal servers look slow."""
        dispatcher_ = make_dispatcher(*[offer(f"s{n}") for n in range(4)])
        grants = [dispatcher_.submit(make_request(n, target_s=4.0), 0.0)[0] for n in range(8)]
        for number, grant in enumerate(grants):
            self.end(dispatcher_, number, grant.server, 2.0)
        assert [s.slowness(2.0) for s in dispatcher_.pool.servers] == [1.0] * 4

    def test_request_taken_over_says_nothing(self):
        """It began before this dispatcher, so the time since then isn't its work time."""
        dispatcher_ = make_dispatcher(*[offer(f"s{n}") for n in range(4)])
        for number in range(8):
            server = ids.Server(f"s{number % 4}")
            dispatcher_.register_running(make_request(number), server, 0.0)
        for number in range(8):
            now = 0.25 * (number + 1)
            self.end(dispatcher_, number, ids.Server(f"s{number % 4}"), now)
        assert [s.slowness(2.0) for s in dispatcher_.pool.servers] == [1.0] * 4

    def test_noise_sends_no_request_to_another_region(self):
        """A free server at home that was 3 % slower is preferred to an untested one."""
        dispatcher_ = make_dispatcher(offer("home"), offer("far", region=FAR))
        server = ids.Server("home")
        for number, work_s in enumerate([1.0, 1.12]):
            now = 10.0 * number
            request = make_request(number, now=now, target_s=4.0, avoided={ids.Server("far")})
            dispatcher_.submit(request, now)
            self.end(dispatcher_, number, server, now + work_s)
        domain = ids.FailureDomain(f"{HOME}-a")
        assert 1.0 < dispatcher_.pool.get(server).slowness(11.2) < 1.05
        request = make_request(9, now=11.2, target_s=4.0, domain=domain)
        assert dispatcher_.submit(request, 11.2)[0].server == server


class TestObjectAffinity:
    """Servers work faster on objects that they handled recently."""

    def test_object_is_sent_to_the_same_server_again(self):
        """While every server has free slots, the one that handled the object gets it again."""
        dispatcher_ = make_dispatcher(*[offer(f"s{n}") for n in range(6)])
        first = dispatcher_.submit(make_request(1, object_key="k"), 0.0)[0]
        dispatcher_.release_slot(
            first.ask_id, first.server, allocation.AttemptOutcome.ANSWERED, 0.6
        )
        for number in range(2, 8):
            again = dispatcher_.submit(make_request(number, now=1.0, object_key="k"), 1.0)[0]
            assert again.server == first.server
            dispatcher_.release_slot(
                again.ask_id, again.server, allocation.AttemptOutcome.ANSWERED, 1.2
            )


class TestWaitForHolder:
    """Requests whose object is in the memory of a server that is not free."""

    def prepare(self):
        """Return a dispatcher whose server "a" has the object, which takes 2 s elsewhere."""
        dispatcher_ = make_dispatcher(offer("a", slots=1), offer("b", slots=4))
        times = dispatcher_._times
        for _ in range(20):
            times.observe("route", None, 2.0)
            times.observe("route", 0, 0.5)
        dispatcher_.submit(make_request(1, object_key="o", target_s=9.0), 0.0)
        (holder,) = dispatcher_.pool.holders("route\0o")
        return dispatcher_, holder

    def submit(self, dispatcher_, now):
        """Submit a request for the object that cannot be in time without waiting."""
        request = make_request(2, now, object_key="o", target_s=0.9, deadline_s=9.0)
        return dispatcher_.submit(request, now)

    def test_server_whose_slots_are_all_lent_is_not_waited_for(self):
        """None of its slots becomes free here, whoever ends."""
        dispatcher_, holder = self.prepare()
        outcome = allocation.AttemptOutcome.ANSWERED
        dispatcher_.release_slot(ids.RequestId("r1"), holder.name, outcome, 2.0)
        dispatcher_.pool.set_unavailable_slots({holder.name: holder.slots})
        assert granted_ids(self.submit(dispatcher_, 2.0)) == ["r2"]

    def test_wait_is_bounded(self):
        """A request does not wait longer than the work takes on a free server."""
        dispatcher_, holder = self.prepare()
        holder.running.clear()
        holder.start(make_request(3), 0.8, 0.0)
        while holder.free_slots(0.0):
            holder.start(make_request(100 + len(holder.running)), 0.8, 0.0)
        assert self.submit(dispatcher_, 0.0) == []
        assert granted_ids(dispatcher_.decide(1.0)) == []
        assert granted_ids(dispatcher_.decide(2.1)) == ["r2"]


class LoadSimulation:
    """Simulates one dispatcher and its servers under random arrivals.

    Args:
        seed: Seed of the arrivals, objects and work times.
        load: Arrival rate, as a share of the slots' capacity if every object is warm.
        servers_: Number of servers.
        slots: Slots of each server.
        objects: Number of different objects.
        length_s: Seconds during which requests arrive.
    """

    WARM_S, COLD_S, TARGET_S = 0.2, 0.6, 0.5

    def __init__(self, seed, load, servers_=6, slots=4, objects=30, length_s=30.0):
        self.rng = random.Random(seed)
        self.slots = servers_ * slots
        self.rate = load * self.slots / self.WARM_S
        self.dispatcher = make_dispatcher(
            *[offer(f"s{n}", slots=slots) for n in range(servers_)]
        )
        self.objects = objects
        self.length_s = length_s
        self.warm_objects = {f"s{n}": set() for n in range(servers_)}
        self.busy = dict.fromkeys(self.warm_objects, 0)
        self.max_busy = 0
        self.in_time = self.late = self.refused = 0
        self.refusal_delays_s = []
        self.object_keys = {}

    def run(self):
        """Run the simulation to its end and return it."""
        events, number, now = [], 0, 0.0
        while now < self.length_s:
            now += self.rng.expovariate(self.rate)
            heapq.heappush(events, (now, number, "arrive", None))
            number += 1
        arrived_at = {}
        while events:
            now, key, event, server_ = heapq.heappop(events)
            if event == "arrive":
                arrived_at[f"r{key}"] = now
                self.object_keys[f"r{key}"] = f"o{self.rng.randrange(self.objects)}"
                decisions = self.dispatcher.submit(
                    make_request(
                        key,
                        now=now,
                        target_s=self.TARGET_S,
                        deadline_s=3.0,
                        object_key=self.object_keys[f"r{key}"],
                    ),
                    now,
                )
            else:
                self.busy[server_] -= 1
                elapsed_s = now - arrived_at[key]
                self.in_time += elapsed_s <= self.TARGET_S
                self.late += elapsed_s > self.TARGET_S
                decisions = self.dispatcher.release_slot(
                    ids.RequestId(key),
                    ids.Server(server_),
                    allocation.AttemptOutcome.ANSWERED,
                    now,
                )
            for decision in decisions:
                if isinstance(decision, allocation.SlotRefusal):
                    self.refused += 1
                    self.refusal_delays_s.append(now - arrived_at[decision.ask_id])
                    continue
                name = decision.server
                self.busy[name] += 1
                self.max_busy = max(self.max_busy, self.busy[name])
                object_key = self.object_keys[decision.ask_id]
                warm = object_key in self.warm_objects[name]
                self.warm_objects[name].add(object_key)
                work_s = (self.WARM_S if warm else self.COLD_S) * self.rng.uniform(0.8, 1.2)
                heapq.heappush(events, (now + work_s, decision.ask_id, "end", name))
        return self


class TestSimulatedLoads:
    """Simulated loads."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_overload_keeps_throughput_and_slots(self, seed):
        """At 2.5 times the capacity, 85 % of it is served in time.

        No server gets more requests than it has slots, and at most a tenth as many requests are
        served late as in time.
        """
        simulation = LoadSimulation(seed, 2.5).run()
        capacity = simulation.slots / LoadSimulation.WARM_S * simulation.length_s
        assert simulation.max_busy <= 4
        assert simulation.in_time >= 0.85 * capacity
        assert simulation.late <= 0.1 * simulation.in_time

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_overload_refuses_early(self, seed):
        """At 2.5 times the capacity, 90 % of refusals come within an eighth of the target."""
        simulation = LoadSimulation(seed, 2.5).run()
        early = sum(
            1
            for delay_s in simulation.refusal_delays_s
            if delay_s <= LoadSimulation.TARGET_S / 8
        )
        assert early >= 0.9 * len(simulation.refusal_delays_s)

    def test_half_load_is_served_in_time(self):
        """At half of the capacity, 95 % of requests are in time and none is refused."""
        simulation = LoadSimulation(4, 0.5).run()
        served = simulation.in_time + simulation.late
        assert simulation.refused == 0
        assert simulation.in_time >= 0.95 * served
