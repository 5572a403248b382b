"""Limits on the sum over all instances, tested while network partitions come and go."""

import collections
import math
import os
import random

import attrs
import pytest

import test_slot_allocator as slot_tests
from carobhook.state import allocation, ids, routing
from carobhook.transport import shard_limits

COLD_PER_S = 5.0
# Requests that a cold server may get within one second: 1.5 times its rate plus 5.
MAX_COLD_PER_S = 1.5 * COLD_PER_S + 5.0
# Limit that servers name, the window in which it is measured, and the time after which an
# instance that has passed on an answer with it is bound by it.
MAX_NAMED_PER_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_NOTICE_S = 0.5
STEPS = 120
SIMULATIONS = int(os.environ.get("CAROBHOOK_HISTORIES", "30"))


class PartitionSimulation(slot_tests.Deployment):
    """Simulates four instances of one region with two cold servers and random partitions.

    Args:
        seed: Seed of the requests and the partitions.
        max_partitions: Largest number of partitions at one time.
    """

    def __init__(self, seed, max_partitions):
        super().__init__("a", "b", "c", "d", slots=40)
        self.rng = random.Random(seed)
        self.max_partitions = max_partitions
        self.sent_at = collections.defaultdict(list)
        for allocator in self.allocators.values():
            catalog = allocator._catalog
            catalog.replace_config_if_newer(
                routing.RoutingConfig(
                    2,
                    (),
                    {
                        slot_tests.SERVICE: routing.ServicePolicy(
                            slot_tests.SERVICE, "/health", 100, 3.0, COLD_PER_S
                        )
                    },
                )
            )
            for name in ("i-1", "i-2"):
                entry = catalog.servers(0.0)[0].entry
                catalog.put(attrs.evolve(entry, name=ids.Server(name), cold_s=1000.0), 0.0)
            allocator.update_servers()
        self.request_count = 0
        self.retry_share = 0.0
        self.retry_ids, self.request_times, self.retry_times = set(), [], []

    def repartition(self):
        """Partition the instances at random, or heal the partition.

        The instances notice the change one after the other.
        """
        names = list(self.allocators)
        partitions = self.rng.randint(1, self.max_partitions)
        partition_of = {name: self.rng.randrange(partitions) for name in names}
        self.cut = {(x, y) for x in names for y in names if partition_of[x] != partition_of[y]}
        self.rng.shuffle(names)
        for name in names:
            self.clock.advance(self.rng.uniform(0.0, 0.3))
            for other in names:
                if (name, other) in self.cut:
                    self.memberships[name].remove(other)
                    self.allocators[name].remove_instance(other)
                else:
                    self.memberships[name].record_heartbeat(
                        slot_tests.member(other), self.clock.seconds()
                    )
            self.allocators[name].update_owners()
            self.send_requests(3)

    def send_requests(self, count):
        """Send slot requests from random instances."""
        for _ in range(count):
            self.request_count += 1
            name = self.rng.choice(list(self.allocators))
            now = self.clock.seconds()
            request = allocation.SlotRequest(
                ids.RequestId(f"{name}-{self.request_count}"),
                slot_tests.SERVICE,
                "route",
                None,
                1,
                now + 0.6,
                now + 2.0,
                repeat=self.rng.random() < self.retry_share,
            )
            if request.repeat:
                self.retry_ids.add(request.id)
            else:
                self.request_times.append(now)
            deferred = self.allocators[name].request_slot(request, slot_tests.NORTH)
            deferred.addCallbacks(self.record_grant, lambda _: None)

    def record_grant(self, decision):
        """Record the time of a grant, and release its slot 0.2 seconds later."""
        if not isinstance(decision, allocation.SlotGrant):
            return
        if decision.ask_id in self.retry_ids:
            self.retry_times.append(self.clock.seconds())
        self.sent_at[decision.server].append(self.clock.seconds())
        name = decision.ask_id.split("-")[0]
        self.clock.callLater(
            0.2,
            self.allocators[name].release_slot,
            decision.ask_id,
            allocation.AttemptOutcome.ANSWERED,
        )

    def exchange_heartbeats(self):
        """Deliver heartbeats within each partition, and run the periodic work."""
        now = self.clock.seconds()
        for name, table in self.memberships.items():
            for other in self.memberships:
                if (other, name) not in self.cut:
                    table.record_heartbeat(slot_tests.member(other), now)
        for allocator in self.allocators.values():
            allocator.tick()

    def run(self):
        """Run the simulation; return the most requests that a server got within one second."""
        for _ in range(STEPS):
            self.clock.advance(0.1)
            self.exchange_heartbeats()
            self.send_requests(self.rng.randint(0, 6))
            if self.rng.random() < 0.06:
                self.repartition()
        max_per_s = 0
        for times in self.sent_at.values():
            for start in times:
                max_per_s = max(max_per_s, sum(start <= at < start + 1.0 for at in times))
        return max_per_s


class LimitSimulation(PartitionSimulation):
    """Simulates servers that name a limit in every answer, while partitions come and go."""

    def __init__(self, seed, max_partitions):
        super().__init__(seed, max_partitions)
        self.told_at, self.sends = {}, collections.defaultdict(list)
        for allocator in self.allocators.values():
            for view in allocator._catalog.servers(0.0):
                warm = attrs.evolve(view.entry, cold_s=0.0, started_at_ms=2)
                allocator._catalog.put(warm, 0.0)
            allocator.update_servers()

    def record_grant(self, decision):
        """Record a grant, and release its slot with an answer that names the limit."""
        if not isinstance(decision, allocation.SlotGrant):
            return
        name = decision.ask_id.split("-")[0]
        self.sends[decision.server].append((self.clock.seconds(), name))
        self.clock.callLater(0.2, self.answer, name, decision)

    def answer(self, name, decision):
        """Pass on an answer, after which the instance knows the limit."""
        self.told_at.setdefault((name, decision.server), self.clock.seconds())
        self.allocators[name].release_slot(
            decision.ask_id,
            allocation.AttemptOutcome.ANSWERED,
            allocation.RateStatement(MAX_NAMED_PER_S),
        )

    def max_in_window(self):
        """Return the most requests that a server got in a window from instances that knew."""
        worst = 0
        for server, sends in self.sends.items():
            known = [
                at
                for at, name in sends
                if at >= self.told_at.get((name, server), math.inf) + LIMIT_NOTICE_S
            ]
            for start in known:
                worst = max(worst, sum(start <= at < start + LIMIT_WINDOW_S for at in known))
        return worst


class TestNamedLimits:
    """Requests that a server gets from all instances after it named a limit."""

    @pytest.mark.parametrize("max_partitions", [1, 2, 3, 4])
    def test_partitions_keep_the_limit(self, max_partitions):
        """The limit holds while shards move, and while partitions form and heal."""
        worst = 0
        for seed in range(SIMULATIONS):
            simulation = LimitSimulation(seed, max_partitions)
            simulation.run()
            worst = max(worst, simulation.max_in_window())
        assert worst <= 1.5 * MAX_NAMED_PER_S * LIMIT_WINDOW_S + 5


class TestRetries:
    """Retries of a service's requests within a window, from all instances."""

    def test_partitions_keep_the_retry_budget(self):
        """When 80 % of all requests are retries, the budget holds in every window."""
        for seed in range(SIMULATIONS // 10):
            simulation = PartitionSimulation(seed, 4)
            for catalog in (allocator._catalog for allocator in simulation.allocators.values()):
                for view in catalog.servers(0.0):
                    catalog.put(attrs.evolve(view.entry, cold_s=0.0, started_at_ms=2), 0.0)
            simulation.retry_share = 0.8
            for _ in range(250):
                simulation.clock.advance(0.1)
                simulation.exchange_heartbeats()
                simulation.send_requests(12)
                if simulation.rng.random() < 0.04:
                    simulation.repartition()
            window_s = slot_tests.LIMITS.budget_window_s
            # Instances apply only this share of the agreed limits; dividing restores those.
            slack = slot_tests.LIMITS.budget_slack / shard_limits.APPLIED_LIMIT_SHARE
            ratio = slot_tests.LIMITS.budget_ratio / shard_limits.APPLIED_LIMIT_SHARE
            for start in simulation.retry_times:
                retries = sum(start <= at < start + window_s for at in simulation.retry_times)
                requests = sum(
                    start - window_s <= at < start + window_s for at in simulation.request_times
                )
                assert retries <= ratio * requests + slack, seed


class TestColdServers:
    """Requests that a cold server gets within one second, from all instances."""

    def test_two_partitions_keep_the_cold_rate(self):
        """The limit holds while two partitions form and heal."""
        worst = max(PartitionSimulation(seed, 2).run() for seed in range(SIMULATIONS))
        assert worst <= MAX_COLD_PER_S

    @pytest.mark.parametrize("max_partitions", [3, 4])
    def test_many_partitions_keep_the_cold_rate(self, max_partitions):
        """The limit also holds with more partitions, up to one for each instance."""
        worst = max(
            PartitionSimulation(seed, max_partitions).run() for seed in range(SIMULATIONS)
        )
        assert worst <= MAX_COLD_PER_S
