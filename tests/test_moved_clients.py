"""Tests of carobhook.coordination.moved_clients."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies

import test_slot_allocator
import test_slow_machine
from carobhook.coordination import moved_clients
from carobhook.state import ids

NORTH, SOUTH = test_slow_machine.NORTH, test_slow_machine.SOUTH
CHANGE_PER_S = 0.015


def member(name, is_slow=False, moved_share=0.0, **fields):
    """Return a member with the share of its clients that is led to other regions."""
    made = test_slow_machine.member(name, is_slow, **fields)
    return attrs.evolve(made, moved_share=moved_share)


class TestMovedClients:
    """Steps of one instance."""

    @hypothesis.given(
        strategies.lists(strategies.tuples(strategies.booleans(), strategies.floats(0, 20)))
    )
    def test_share_changes_at_the_bounded_rate(self, steps):
        """However the need flaps, and however long the instance was suspended."""
        moved, now = moved_clients.MovedClients(), 0.0
        moved.advance(False, CHANGE_PER_S, now)
        for is_needed, elapsed_s in steps:
            before, now = moved.share, now + elapsed_s
            moved.advance(is_needed, CHANGE_PER_S, now)
            assert abs(moved.share - before) <= CHANGE_PER_S * min(elapsed_s, 1.0) + 1e-9
            assert 0.0 <= moved.share <= 1.0

    def test_start_does_not_change_the_share_of_the_region(self):
        """An instance that starts goes on from the share of the others."""
        moved = moved_clients.MovedClients()
        moved.adopt(0.4, 10.0)
        assert moved.share == 0.4
        moved.advance(False, CHANGE_PER_S, 11.0)
        assert moved.share == pytest.approx(0.385)


class TestRegionShare:
    """What directories conclude from the announcements."""

    def test_mean_of_the_instances_by_their_usual_weight(self):
        """A slow instance counts as before it was slow; other regions do not count."""
        serving = [
            member("a", True, 0.5, weight=100.0),
            member("b", weight=300.0),
            member("c", True, 1.0, region=SOUTH),
        ]
        assert moved_clients.region_share(serving, NORTH) == pytest.approx(0.125)
        assert moved_clients.region_share(serving, ids.Region("gone")) == 0.0

    @pytest.mark.parametrize(("slow", "needed"), [(0, False), (2, False), (3, True), (4, True)])
    def test_region_needs_others(self, slow, needed):
        """Half of its instances carry its clients; fewer do not."""
        serving = [member(name, number < slow) for number, name in enumerate("abcd")]
        assert moved_clients.needs_others(serving, NORTH) is needed


class TestLookupSplit:
    """Decisions on single look-ups."""

    @pytest.mark.parametrize("share", [0.0, 0.01, 0.3, 0.5, 0.99, 1.0])
    def test_share_of_the_lookups(self, share):
        """It is exact at each directory, whatever the clients' addresses are."""
        split = moved_clients.LookupSplit()
        led = sum(split.leads_elsewhere(NORTH, share) for _ in range(1000))
        assert abs(led - 1000 * share) <= 1


class TestDispatchers:
    """Changes by dispatchers and by the directory add up, so that both keep one bound."""

    def test_dispatchers_use_half_of_their_limit_while_clients_are_moved(self):
        """Also those that are created meanwhile; the whole of it is theirs afterwards."""
        deployment = test_slot_allocator.Deployment("a")
        name = ids.InstanceId("a")
        allocator, table = deployment.allocators[name], deployment.memberships[name]
        dispatchers = allocator._dispatchers
        whole = test_slot_allocator.LIMITS.region_change

        def limits(moved_share):
            deployment.clock.advance(1.0)
            found = attrs.evolve(test_slot_allocator.member("a"), moved_share=moved_share)
            table.record_heartbeat(found, deployment.clock.seconds())
            allocator.tick()
            shards = [(NORTH, ids.Service(service)) for service in ("svc", f"s{moved_share}")]
            states = [dispatchers.get_or_create(shard) for shard in shards]
            return [state.dispatcher.shares.max_change for state in states]

        assert limits(0.0) == [whole, whole]
        assert limits(0.2) == [whole / 2, whole / 2]
        assert limits(0.0) == [whole, whole]
