"""Clients of a region were led to others, as its instances took their machines for slow."""

import random

import pytest

import directory_simulation as simulation

SHIFT_MOST = simulation.SHIFT_MOST
NORTH = simulation.REGIONS[0]


def largest_change(fleet):
    """Return the largest change of any region."""
    return max(fleet.largest_change(region) for region in simulation.REGIONS)


def called_slow(fleet):
    """Return the names of the instances that were ever called slow."""
    return [instance.member.name for instance in fleet.instances if instance.slow_at]


class TestUsualMachines:
    """Days without a slow machine: nobody is called slow, and no client moves."""

    @pytest.mark.parametrize("fast", [0.2, 0.3, 0.4])
    def test_all_machines_work_faster_at_the_start(self, fast):
        """The pace of the whole fleet falls over some seconds before the first request."""

        def paces(region, number, now):
            return fast + (1 - fast) * min(1.0, max(0.0, (now + 9.0) / 7.0))

        fleet = simulation.Fleet(paces)
        fleet.play(10.0)
        assert called_slow(fleet) == []
        assert largest_change(fleet) <= SHIFT_MOST

    @pytest.mark.parametrize("seed", range(5))
    def test_fast_moments_of_single_machines(self, seed):
        """Each is idle, and works three times faster for a second at some moment."""
        rng = random.Random(seed)
        moments = {
            (region, number): rng.uniform(-simulation.LEAD_S, -1.0)
            for region in simulation.REGIONS
            for number in range(3)
        }

        def paces(region, number, now):
            is_fast = 0 <= now - moments[region, number] < 1.0
            return 0.3 if is_fast else rng.uniform(0.85, 1.3)

        fleet = simulation.Fleet(paces, seed)
        fleet.play(10.0)
        assert called_slow(fleet) == []
        assert largest_change(fleet) <= SHIFT_MOST

    def test_all_machines_slow_down_together(self):
        """Their processors are throttled at one moment, and free again later."""

        def paces(region, number, now):
            return 4.0 if 5.0 <= now < 15.0 else 1.0

        fleet = simulation.Fleet(paces)
        fleet.play(25.0)
        assert called_slow(fleet) == []
        assert largest_change(fleet) <= SHIFT_MOST


class TestSlowMachines:
    """Machines of a region are truly slow, for a while."""

    @pytest.mark.parametrize("slow", [2, 3])
    @pytest.mark.parametrize("began_at", [0.2, 4.0])
    def test_clients_change_their_region_in_steps(self, began_at, slow):
        """Most or all of a region turn slow at one moment, and usual again at one moment."""

        def paces(region, number, now):
            is_slow = region == NORTH and number < slow and began_at <= now < began_at + 12
            return 6.0 if is_slow else 1.0

        for first_lookups_s in (0.1, simulation.WINDOW_S):
            fleet = simulation.Fleet(paces, first_lookups_s=first_lookups_s)
            fleet.play(began_at + 30.0)
            assert len(called_slow(fleet)) == slow
            assert largest_change(fleet) <= SHIFT_MOST

    def test_machines_that_turn_slow_by_turns(self):
        """Two of three are slow at any moment, others each few seconds."""

        def paces(region, number, now):
            is_usual = round(now // 4) % 3 == number
            return 6.0 if region == NORTH and now >= 4.0 and not is_usual else 1.0

        fleet = simulation.Fleet(paces)
        fleet.play(40.0)
        assert len(called_slow(fleet)) == 3
        assert largest_change(fleet) <= SHIFT_MOST
