"""Bounds that hold for all instances together, while their views of each other are wrong."""

import collections
import os
import random

import attrs
import pytest

import test_slot_desk as desks
from carobhook.state import allocation, ids, routing
from carobhook.transport import slot_shards

COLD_PER_S = 5.0
# Requests in one second that a cold server may get: 1.5 times its rate, and 5.
COLD_MOST = 1.5 * COLD_PER_S + 5.0
STEPS = 120
HISTORIES = int(os.environ.get("CAROBHOOK_HISTORIES", "30"))


class History(desks.Deployment):
    """Desks of one region with two cold servers, whose views a seed disturbs.

    Args:
        seed: Seed of the history.
        parts: Most sets of instances that are cut off from each other at one time.
    """

    def __init__(self, seed, parts):
        super().__init__("a", "b", "c", "d", slots=40)
        self.rng = random.Random(seed)
        self.parts = parts
        self.sent = collections.defaultdict(list)
        for desk in self.desks.values():
            known = desk._known
            known.replace_config_if_newer(
                routing.RoutingConfig(
                    2,
                    (),
                    {
                        desks.SERVICE: routing.ServicePolicy(
                            desks.SERVICE, "/health", 100, 3.0, COLD_PER_S
                        )
                    },
                )
            )
            for name in ("i-1", "i-2"):
                entry = known.servers(0.0)[0].entry
                known.put(attrs.evolve(entry, name=ids.Server(name), cold_s=1000.0), 0.0)
            desk.servers_changed()
        self.number = 0
        self.repeated = 0.0
        self.again, self.firsts, self.repeats = set(), [], []

    def split(self):
        """Cut the instances into parts, which notice one after the other, or heal the cut."""
        names = list(self.desks)
        parts = self.rng.randint(1, self.parts)
        part_of = {name: self.rng.randrange(parts) for name in names}
        self.cut = {(x, y) for x in names for y in names if part_of[x] != part_of[y]}
        self.rng.shuffle(names)
        for name in names:
            self.clock.advance(self.rng.uniform(0.0, 0.3))
            for other in names:
                if (name, other) in self.cut:
                    self.rosters[name].remove(other)
                    self.desks[name].lost(other)
                else:
                    self.rosters[name].record_heartbeat(
                        desks.member(other), self.clock.seconds()
                    )
            self.desks[name].members_changed()
            self.ask_some(3)

    def ask_some(self, count):
        """Let requests come in at any instances."""
        for _ in range(count):
            self.number += 1
            name = self.rng.choice(list(self.desks))
            now = self.clock.seconds()
            wish = allocation.SlotRequest(
                ids.RequestId(f"{name}-{self.number}"),
                desks.SERVICE,
                "route",
                None,
                1,
                now + 0.6,
                now + 2.0,
                repeat=self.rng.random() < self.repeated,
            )
            if wish.repeat:
                self.again.add(wish.id)
            else:
                self.firsts.append(now)
            answered = self.desks[name].ask(wish, desks.NORTH)
            answered.addCallbacks(self.granted, lambda _: None)

    def granted(self, decision):
        """Note when a request goes to a server, and end it a little later."""
        if not isinstance(decision, allocation.SlotGrant):
            return
        if decision.ask_id in self.again:
            self.repeats.append(self.clock.seconds())
        self.sent[decision.server].append(self.clock.seconds())
        name = decision.ask_id.split("-")[0]
        self.clock.callLater(
            0.2, self.desks[name].ended, decision.ask_id, allocation.AttemptOutcome.ANSWERED
        )

    def beat(self):
        """Let those that reach each other hear each other."""
        now = self.clock.seconds()
        for name, roster in self.rosters.items():
            for other in self.rosters:
                if (other, name) not in self.cut:
                    roster.record_heartbeat(desks.member(other), now)
        for desk in self.desks.values():
            desk.tick()

    def play(self):
        """Play the history; return the most requests that a server got within one second."""
        for _ in range(STEPS):
            self.clock.advance(0.1)
            self.beat()
            self.ask_some(self.rng.randint(0, 6))
            if self.rng.random() < 0.06:
                self.split()
        most = 0
        for times in self.sent.values():
            for start in times:
                most = max(most, sum(start <= at < start + 1.0 for at in times))
        return most


class TestRepeats:
    """Repeats of a service's requests within a window, from all instances."""

    def test_any_cut_keeps_the_budget(self):
        """While most sends would be repeats, their share and number hold."""
        for seed in range(HISTORIES // 10):
            one = History(seed, 4)
            for known in (desk._known for desk in one.desks.values()):
                for view in known.servers(0.0):
                    known.put(attrs.evolve(view.entry, cold_s=0.0, started_at_ms=2), 0.0)
            one.repeated = 0.8
            for _ in range(250):
                one.clock.advance(0.1)
                one.beat()
                one.ask_some(12)
                if one.rng.random() < 0.04:
                    one.split()
            window_s = desks.BOUNDS.budget_window_s
            # An instance gives its desk this part of the agreed bounds.
            slack = desks.BOUNDS.budget_slack / slot_shards.BOUND_MARGIN
            ratio = desks.BOUNDS.budget_ratio / slot_shards.BOUND_MARGIN
            for start in one.repeats:
                repeats = sum(start <= at < start + window_s for at in one.repeats)
                before = sum(start - window_s <= at < start + window_s for at in one.firsts)
                assert repeats <= ratio * before + slack, seed


class TestColdServers:
    """Requests that a cold server gets within one second, from all instances."""

    def test_takeovers_keep_the_bound(self):
        """While instances lose and find each other in two parts, the bound holds."""
        worst = max(History(seed, 2).play() for seed in range(HISTORIES))
        assert worst <= COLD_MOST

    @pytest.mark.parametrize("parts", [3, 4])
    def test_any_cut_keeps_the_bound(self, parts):
        """Also when every instance is cut off from every other."""
        worst = max(History(seed, parts).play() for seed in range(HISTORIES))
        assert worst <= COLD_MOST
