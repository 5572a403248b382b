"""Regions with few servers and as many callers as the others, whose demand moves in waves."""

import math

import attrs
import pytest

import region_simulation

SMALL = region_simulation.SMALL
MIDDLE = region_simulation.MIDDLE
LARGE = region_simulation.LARGE
# A tenth of the servers is in the small region, for a third of the requests.
SERVER_COUNTS = {SMALL: 5, MIDDLE: 20, LARGE: 24}
SLOTS = 4
WORK_S = 0.5
WAVE_S = 36.0
SWING = 0.55
# Share of a wave by which the demand of each region is ahead.
PHASES = {SMALL: 0.3, MIDDLE: 0.63, LARGE: 0.97}
STEP_S = 0.5
LENGTH_S = 16.0
LIMITS = attrs.evolve(
    region_simulation.LIMITS, region_change=region_simulation.SHIFT_MOST * 0.8
)


def demand(region, at, load):
    """Return the traffic of a region at a time, in seconds from the first request."""
    slots = SLOTS * sum(SERVER_COUNTS.values())
    phase = at / WAVE_S + PHASES[region]
    per_s = load * slots / WORK_S / len(SERVER_COUNTS)
    per_s *= 1 + SWING * math.sin(2 * math.pi * phase)
    return region_simulation.Traffic(per_s, work_s=WORK_S, warm_s=WORK_S, target_s=0.8)


class Wave:
    """Requests of all regions, of which the small one starts near the top of its wave."""

    def __init__(self, seed, load):
        self.regions = region_simulation.Regions(
            seed, server_counts=SERVER_COUNTS, slots=SLOTS, limits=LIMITS
        )
        self.started_at = self.regions.clock.seconds()
        for number in range(int(LENGTH_S / STEP_S)):
            at = number * STEP_S
            traffic = {region: demand(region, at, load) for region in SERVER_COUNTS}
            self.regions.play(traffic, STEP_S)

    @property
    def share_in_time(self):
        """Return the share of the small region's decided requests that were in time."""
        runs = [run for run in self.regions.runs if run.home == SMALL]
        decided = len(runs) + self.regions.refused[SMALL]
        return sum(run.in_time for run in runs) / decided


@pytest.fixture(scope="module", params=[1, 2, 3])
def wave(request):
    """Return a wave that all servers together bear easily."""
    return Wave(request.param, 0.5)


class TestWave:
    """The others have room for what the small region's servers can't run."""

    def test_small_region_is_served_like_the_others(self, wave):
        """It was refused a seventh of its requests while loans grew slot by slot (issue 55)."""
        assert wave.share_in_time > 0.9

    def test_bounds_hold(self, wave):
        """No more requests than agreed change their region, and no slot is granted twice."""
        shifts = wave.regions.shifts(wave.started_at)
        assert shifts[SMALL] <= region_simulation.SHIFT_MOST
        assert wave.regions.overfilled == []
