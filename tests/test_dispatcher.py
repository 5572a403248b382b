"""Tests of carobhook.coordination.dispatcher, some by replays of whole load patterns."""

import heapq
import random

import pytest

from carobhook.coordination import (
    catalog,
    dispatcher,
    retry_allowance,
    server_pool,
)
from carobhook.state import allocation, codes, ids, servers

SERVICE = ids.Service("catalogue")
HOME = ids.Region("north")
FAR = ids.Region("south")


def server(name, slots=2, region=HOME, cold_until=0.0, cold_requests_per_s=None, born=None):
    """Return a server as a pool holds it."""
    entry = servers.ServerEntry(
        ids.Server(name),
        SERVICE,
        ids.FailureDomain(f"{region}-a"),
        f"{name}:80",
        slots,
        servers.ServerState.READY,
        0.0,
        born,
    )
    return server_pool.ServerOffer(
        catalog.ServerView(entry, cold_until), region, slots, cold_rate=cold_requests_per_s
    )


def made(*pooled, ratio=10.0, slack=10.0):
    """Return a dispatcher with some servers."""
    allowance = retry_allowance.RetryAllowance(ratio, slack, 10.0)
    one = dispatcher.Dispatcher(allowance)
    one.pool.replace(pooled, 0.0)
    return one


def ask(number, now=0.0, target_s=1.0, deadline_s=5.0, **fields):
    """Return an ask."""
    fields = {"object_key": None, "priority": 1} | fields
    return allocation.SlotRequest(
        ids.RequestId(f"r{number}"),
        SERVICE,
        "route",
        target_at=now + target_s,
        deadline_at=now + deadline_s,
        **fields,
    )


def grants(decisions):
    """Return the ids that got a slot."""
    return [d.ask_id for d in decisions if isinstance(d, allocation.SlotGrant)]


class TestSlots:
    """No server gets more than its slots."""

    def test_requests_beyond_the_slots_wait(self):
        """The third request of two slots waits, and goes when one is free."""
        one = made(server("a"))
        assert grants(one.ask(ask(1), 0.0)) == ["r1"]
        assert grants(one.ask(ask(2), 0.0)) == ["r2"]
        assert one.ask(ask(3), 0.0) == []
        freed = one.ended(
            ids.RequestId("r1"), ids.Server("a"), allocation.AttemptOutcome.ANSWERED, 0.2
        )
        assert grants(freed) == ["r3"]

    def test_lent_slots_are_not_used(self):
        """What another region uses is not given out here."""
        one = made(server("a"))
        one.pool.lend({ids.Server("a"): 1})
        one.ask(ask(1), 0.0)
        assert one.ask(ask(2), 0.0) == []

    def test_slots_that_a_former_dispatcher_gave_out_count(self):
        """After a takeover, requests that run already hold their slots."""
        one = made(server("a", slots=1))
        one.hold(ask(1), ids.Server("a"), 0.0)
        assert one.ask(ask(2), 0.0) == []

    def test_no_server_is_refused_at_once(self):
        """Without any server that may take it, nothing waits."""
        decisions = made().ask(ask(1), 0.0)
        assert [d.code for d in decisions] == [codes.Code.NO_BACKEND]

    def test_homes_bind(self):
        """A request with homes goes nowhere else."""
        one = made(server("a", region=FAR))
        decisions = one.ask(ask(1, homes=frozenset({HOME})), 0.0)
        assert [d.code for d in decisions] == [codes.Code.NO_BACKEND]


class TestRefusing:
    """What cannot be in time is refused when it comes."""

    def test_long_queue_refuses_on_arrival(self):
        """The wait behind the queue is known, and refused if it passes the target."""
        one = made(server("a", slots=1))
        answered = []
        for number in range(20):
            answered += one.ask(ask(number, target_s=0.6), 0.0)
        refused = [d for d in answered if isinstance(d, allocation.SlotRefusal)]
        assert len(refused) > 10
        assert all(d.code is codes.Code.DEADLINE_UNMEETABLE for d in refused)
        assert all(0 < d.retry_after_s <= 5 for d in refused)

    def test_hopeless_gives_way_early(self):
        """What cannot be in time any more leaves the queue when others still can."""
        one = made(server("a", slots=1))
        one.ask(ask(1), 0.0)
        one.ask(ask(2, target_s=0.7), 0.0)
        one.ask(ask(3, now=0.1, target_s=3.0), 0.1)
        decisions = one.decide(0.6)
        assert [d.ask_id for d in decisions] == ["r2"]

    def test_late_request_is_served_while_nobody_else_waits(self):
        """An answer that comes late is better than none, if it takes nobody's slot."""
        one = made(server("a", slots=1))
        one.ask(ask(1), 0.0)
        one.ask(ask(2, target_s=0.7), 0.0)
        assert one.decide(0.6) == []
        freed = one.ended(
            ids.RequestId("r1"), ids.Server("a"), allocation.AttemptOutcome.ANSWERED, 0.8
        )
        assert grants(freed) == ["r2"]

    def test_urgent_goes_first(self):
        """Rank decides among those that wait."""
        one = made(server("a", slots=1))
        one.ask(ask(1), 0.0)
        one.ask(ask(2, priority=2), 0.0)
        one.ask(ask(3, priority=0), 0.01)
        freed = one.ended(
            ids.RequestId("r1"), ids.Server("a"), allocation.AttemptOutcome.ANSWERED, 0.1
        )
        assert grants(freed) == ["r3"]

    def test_repeats_are_bounded(self):
        """Once the allowance is used up, a repeat is refused as not run."""
        one = made(server("a", slots=9), ratio=0.1, slack=1.0)
        one.ask(ask(1), 0.0)
        assert grants(one.ask(ask(2, repeat=True), 0.0)) == ["r2"]
        decisions = one.ask(ask(3, repeat=True), 0.0)
        assert [d.code for d in decisions] == [codes.Code.RETRIES_USED_UP]


class TestHealth:
    """Servers that fail."""

    def test_broken_server_is_left_alone_for_a_while(self):
        """After a broken connection it gets one request at a time, later."""
        one = made(server("a"))
        one.ask(ask(1), 0.0)
        one.ended(ids.RequestId("r1"), ids.Server("a"), allocation.AttemptOutcome.BROKEN, 0.1)
        assert one.ask(ask(2, now=0.1, target_s=3.0), 0.1) == []
        assert grants(one.decide(0.6)) == ["r2"]
        assert one.ask(ask(3, now=0.6), 0.6) == []

    def test_failing_server_gets_less_than_a_sound_one(self):
        """A server that answers with failures is used only when the others are full."""
        one = made(server("a", slots=4), server("b", slots=4))
        for number in range(8):
            name = ids.RequestId(f"x{number}")
            one.hold(ask(f"x{number}"), ids.Server("a"), 0.0)
            one.ended(
                ids.RequestId(f"rx{number}"),
                ids.Server("a"),
                allocation.AttemptOutcome.FAILED,
                0.1,
            )
            assert name
        first = one.ask(ask(1, now=0.2), 0.2)
        assert first[0].server == "b"

    def test_cold_server_gets_no_more_than_its_rate(self):
        """Over any second, a cold server gets its rate and the burst."""
        one = made(server("a", slots=50, cold_until=10.0, cold_requests_per_s=5.0))
        times = []
        for number in range(200):
            now = number * 0.02
            for decision in one.ask(ask(number, now=now), now):
                if isinstance(decision, allocation.SlotGrant):
                    times.append(now)
                    one.ended(
                        decision.ask_id,
                        decision.server,
                        allocation.AttemptOutcome.ANSWERED,
                        now + 0.001,
                    )
        most = max(sum(1 for t in times if start <= t < start + 1) for start in times)
        assert most <= 5 + 2 + 1


class TestWarmth:
    """Servers that had an object lately work faster on it."""

    def test_object_returns_to_its_server(self):
        """With slots free everywhere, the server that had the object gets it again."""
        one = made(*[server(f"s{n}") for n in range(6)])
        first = one.ask(ask(1, object_key="k"), 0.0)[0]
        one.ended(first.ask_id, first.server, allocation.AttemptOutcome.ANSWERED, 0.6)
        for number in range(2, 8):
            again = one.ask(ask(number, now=1.0, object_key="k"), 1.0)[0]
            assert again.server == first.server
            one.ended(again.ask_id, again.server, allocation.AttemptOutcome.ANSWERED, 1.2)


class World:
    """Replays a load on one dispatcher: servers, objects and arrivals from a seed.

    Args:
        seed: Seed of the load.
        load: Arrivals, as a share of what the slots bear if all work is warm.
    """

    WARM_S, COLD_S, TARGET_S = 0.2, 0.6, 0.5

    def __init__(self, seed, load, servers_=6, slots=4, objects=30, length_s=30.0):
        self.rng = random.Random(seed)
        self.slots = servers_ * slots
        self.rate = load * self.slots / self.WARM_S
        self.one = made(*[server(f"s{n}", slots=slots) for n in range(servers_)])
        self.objects = objects
        self.length_s = length_s
        self.held = {f"s{n}": set() for n in range(servers_)}
        self.busy = dict.fromkeys(self.held, 0)
        self.most_busy = 0
        self.in_time = self.late = self.refused = 0
        self.refused_after = []
        self.keys = {}

    def play(self):
        """Play the load."""
        events, number, now = [], 0, 0.0
        while now < self.length_s:
            now += self.rng.expovariate(self.rate)
            heapq.heappush(events, (now, number, "arrive", None))
            number += 1
        began = {}
        while events:
            now, key, what, server_ = heapq.heappop(events)
            if what == "arrive":
                began[f"r{key}"] = now
                self.keys[f"r{key}"] = f"o{self.rng.randrange(self.objects)}"
                decisions = self.one.ask(
                    ask(
                        key,
                        now=now,
                        target_s=self.TARGET_S,
                        deadline_s=3.0,
                        object_key=self.keys[f"r{key}"],
                    ),
                    now,
                )
            else:
                self.busy[server_] -= 1
                took = now - began[key]
                self.in_time += took <= self.TARGET_S
                self.late += took > self.TARGET_S
                decisions = self.one.ended(
                    ids.RequestId(key),
                    ids.Server(server_),
                    allocation.AttemptOutcome.ANSWERED,
                    now,
                )
            for decision in decisions:
                if isinstance(decision, allocation.SlotRefusal):
                    self.refused += 1
                    self.refused_after.append(now - began[decision.ask_id])
                    continue
                name = decision.server
                self.busy[name] += 1
                self.most_busy = max(self.most_busy, self.busy[name])
                key = self.keys[decision.ask_id]
                warm = key in self.held[name]
                self.held[name].add(key)
                work_s = (self.WARM_S if warm else self.COLD_S) * self.rng.uniform(0.8, 1.2)
                heapq.heappush(events, (now + work_s, decision.ask_id, "end", name))
        return self


class TestReplays:
    """Whole load patterns."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_two_and_a_half_times_the_load(self, seed):
        """Under heavy load, about as many are in time as the slots bear, and slots hold."""
        world = World(seed, 2.5).play()
        borne = world.slots / World.WARM_S * world.length_s
        assert world.most_busy <= 4
        assert world.in_time >= 0.85 * borne
        assert world.late <= 0.1 * world.in_time

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_refusals_come_early_under_load(self, seed):
        """Most of what is refused is refused within an eighth of the target."""
        world = World(seed, 2.5).play()
        early = sum(1 for waited in world.refused_after if waited <= World.TARGET_S / 8)
        assert early >= 0.9 * len(world.refused_after)

    def test_calm_load_is_served_in_time(self):
        """At half of the load nearly everything is in time, and nothing is refused."""
        world = World(4, 0.5).play()
        served = world.in_time + world.late
        assert world.refused == 0
        assert world.in_time >= 0.95 * served
