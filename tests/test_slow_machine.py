"""An instance whose machine works several times slower than usual."""

import attrs
import pytest

from carobhook import logs
from carobhook.coordination import directory, machine_pace, membership, moved_clients
from carobhook.state import allocation, ids, members
from carobhook.transport import machine_probe, request_flow

USUAL_S = 0.0001
INTERVAL_S = 0.1
NORTH, SOUTH = ids.Region("north"), ids.Region("south")
SERVICE = ids.Service("svc")


def play(pace, *phases):
    """Record samples; return whether the machine was slow after each.

    Args:
        pace: The pace to record them in.
        phases: Pairs of a factor of the usual time and the number of samples with it.
    """
    factors = [factor for factor, count in phases for _ in range(count)]
    slow = []
    for number, factor in enumerate(factors):
        pace.record(USUAL_S * factor, USUAL_S * 1e6, number * INTERVAL_S)
        slow.append(pace.is_slow)
    return slow


def member(name, is_slow=False, region=NORTH, weight=100.0):
    """Return a member of a region's first failure domain."""
    share = members.SLOW_WEIGHT_SHARE if is_slow else 1.0
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation("0" * 16),
        region,
        ids.FailureDomain(f"{region}-a"),
        f"{name}:1",
        f"{name}:2",
        members.Phase.READY,
        ids.Version(1),
        weight=weight * share,
        is_slow=is_slow,
    )


class TestMachinePace:
    """Evidence of a slow machine."""

    def test_slow_machine_is_noticed_within_a_second(self):
        """It works five times slower from one moment to the next."""
        slow = play(machine_pace.MachinePace(), (1.0, 50), (5.0, 10))
        assert not any(slow[:50])
        assert slow[-1]

    def test_usual_pace_is_noticed_within_seconds(self):
        """It is used again by itself."""
        slow = play(machine_pace.MachinePace(), (1.0, 50), (5.0, 30), (1.0, 30))
        assert slow[79]
        assert not slow[-1]

    def test_single_slow_samples_say_nothing(self):
        """The processor did something else for a moment."""
        pace = machine_pace.MachinePace()
        assert not any(play(pace, *[(1.0, 3), (30.0, 1), (1.0, 2), (30.0, 2)] * 20))

    def test_machine_that_is_twice_as_slow(self):
        """It carries what it gets, and is not worth a change."""
        assert not any(play(machine_pace.MachinePace(), (1.0, 50), (2.0, 100)))

    def test_slower_processor_becomes_usual(self):
        """After hours at the same pace, that is what the machine can do."""
        slow = play(machine_pace.MachinePace(), (1.0, 50), (5.0, 5000))
        assert slow[60]
        assert not slow[-1]

    def test_instance_without_others(self):
        """Nothing tells a slow machine from one that was fast before."""
        pace = machine_pace.MachinePace()
        for number in range(100):
            pace.record(USUAL_S * (1.0 if number < 50 else 6.0), 0.0, number * INTERVAL_S)
            assert not pace.is_slow

    def test_nothing_is_concluded_in_the_first_seconds(self):
        """There is no usual ratio yet."""
        assert not any(play(machine_pace.MachinePace(), (1.0, 10), (6.0, 15)))

    def test_weaker_machine_is_not_slow(self):
        """Its work has always taken six times as long as elsewhere."""
        assert not any(play(machine_pace.MachinePace(), (6.0, 200)))

    def test_time_that_most_machines_need(self):
        """It holds while up to three quarters are slow, or one is fast."""
        assert machine_pace.reference_time([]) == 0.0
        assert machine_pace.reference_time([0, 50, 0]) == 50.0
        assert machine_pace.reference_time([50, 50, 300, 300, 300, 300]) == 50.0
        assert machine_pace.reference_time([10, 50, 50, 50, 50]) == 50.0

    def test_clock_that_does_not_advance(self):
        """Samples without a time are ignored."""
        assert not any(play(machine_pace.MachinePace(), (0.0, 50), (1.0, 20), (0.0, 5)))


class TestMachineProbe:
    """Measuring, and telling of a change."""

    def test_change_is_logged_and_reported_once(self, monkeypatch):
        """Others learn of it at once, not with the next heartbeat."""
        events, changes = [], []
        monkeypatch.setattr(logs, "warning", lambda name, **values: events.append(name))
        monkeypatch.setattr(logs, "event", lambda name, **values: events.append(name))
        now, factor = 0.0, 1.0

        def seconds():
            nonlocal now
            now += USUAL_S * factor
            return now

        probe = machine_probe.MachineProbe(
            seconds,
            lambda: [round(USUAL_S * 1e6)],
            lambda: changes.append(probe.is_slow),
            lambda: None,
        )
        for phase_factor in (1.0, 6.0, 1.0):
            factor = phase_factor
            for _ in range(60):
                now += INTERVAL_S
                probe.probe()
        assert changes == [True, False]
        assert events == ["machine-slow", "machine-usual"]


class TestDirectory:
    """Where clients of a region with slow machines are led."""

    def nearest(self, *serving, is_elsewhere=False):
        """Return the names of the instances for clients of the north."""
        domain = ids.FailureDomain("north-a")
        found = directory.nearest(serving, NORTH, domain, is_elsewhere)
        return {found_member.name for found_member in found}

    def test_slow_machine_is_left_out(self):
        """The others of its domain can carry its clients."""
        assert self.nearest(member("a", True), member("b"), member("c")) == {"b", "c"}

    def test_region_with_too_few_is_helped_by_the_others(self):
        """One of four could not carry the clients of all; a share of them is led elsewhere."""
        north = [member("a"), *(member(name, True) for name in "bcd")]
        south = [member(name, region=SOUTH) for name in "ef"]
        assert moved_clients.needs_others(north + south, NORTH)
        assert self.nearest(*north, *south, is_elsewhere=True) == {"e", "f"}
        assert self.nearest(*north, *south) == {"a"}

    def test_slow_instances_of_other_regions_help_nobody(self):
        """Clients stay if no other region has an instance of usual pace."""
        south = member("e", True, region=SOUTH)
        assert self.nearest(member("a"), south, is_elsewhere=True) == {"a"}

    def test_all_are_slow(self):
        """Slow instances are better than none."""
        assert self.nearest(member("a", True), member("b", True)) == {"a", "b"}

    def test_small_machine_is_not_slow(self):
        """A low weight alone is no reason to leave an instance out."""
        assert self.nearest(member("a", weight=5.0), member("b")) == {"a", "b"}


class TestDuties:
    """Duties that an instance has for others."""

    @pytest.mark.parametrize("count", [5, 12])
    def test_slow_machine_hands_on_relaying_and_dispatching(self, count):
        """Instances of older builds choose alike, as they know its weight."""
        usual = [member(f"m{number}") for number in range(count)]
        owner = membership.shard_owner(NORTH, SERVICE, usual)
        serving = [
            attrs.evolve(m, is_slow=True, weight=m.weight * members.SLOW_WEIGHT_SHARE)
            if m.name == owner
            else m
            for m in usual
        ]
        assert membership.shard_owner(NORTH, SERVICE, serving) not in (owner, None)
        assert owner not in [m.name for m in membership.relays(serving, NORTH)]

    def owner(self, slow, older=(), south=()):
        """Return the owner of a shard of the north, which has three instances.

        Args:
            slow: Names of the instances on slow machines.
            older: Names of instances of a build that announces no work time.
            south: Names of instances of another region.
        """
        serving = [
            attrs.evolve(
                member(name, name in slow, SOUTH if name in south else NORTH),
                work_time_us=0 if name in older else 50,
            )
            for name in ("a", "b", "c", *south)
        ]
        return membership.shard_owner(NORTH, SERVICE, serving)

    @pytest.mark.parametrize("first", ["a", "b", "c"])
    def test_dispatcher_of_a_small_region_is_on_a_usual_machine(self, first):
        """All its instances are relays, so that weights do not tell."""
        assert self.owner({"a", "b", "c"} - {first}) == first

    def test_all_machines_of_a_region_are_slow(self):
        """Another region dispatches for it; with none, a slow machine does."""
        assert self.owner({"a", "b", "c"}, south=["s"]) == "s"
        assert self.owner({"a", "b", "c", "s"}, south=["s"]) == self.owner(())
        assert self.owner({"a", "b", "c"}) == self.owner(())

    def test_older_builds_choose_alike(self):
        """While one of them serves, a slow machine keeps the duty."""
        assert self.owner({self.owner(())}, older={"b"}) == self.owner(())


class TestReports:
    """What a slow instance reports of servers."""

    def test_times_at_a_slow_machine_say_nothing_of_servers(self):
        """Servers would look slow to all instances otherwise."""
        outcome = allocation.AttemptOutcome
        assert request_flow._reported_outcome(outcome.ANSWERED, True, False) is outcome.RELAYED
        assert request_flow._reported_outcome(outcome.FAILED, True, False) is outcome.FAILED
