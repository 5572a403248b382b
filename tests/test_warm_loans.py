"""Regions whose servers keep the same objects in memory, with the loans between them."""

import attrs
import pytest

import region_simulation

SMALL = region_simulation.SMALL
# The servers of the small region hold fewer objects than its clients ask for, and those of the
# others hold each object several times.
SERVER_COUNTS = {SMALL: 12, region_simulation.MIDDLE: 48, region_simulation.LARGE: 60}
SLOTS = 5
MEMORY = 11
TRAFFIC = region_simulation.Traffic(
    per_s=100.0, work_s=2.0, warm_s=0.5, objects=150, target_s=1.2
)
# Requests a second of the small region before and after its load rises.
LOW_PER_S, HIGH_PER_S = 60.0, 150.0
RISE_S = 10.0
LIMITS = attrs.evolve(
    region_simulation.LIMITS, region_change=region_simulation.SHIFT_MOST * 0.4
)


class Rise:
    """Requests of the small region while its load rises beyond what its own servers bear."""

    def __init__(self, seed):
        self.regions = region_simulation.Regions(
            seed, server_counts=SERVER_COUNTS, slots=SLOTS, memory=MEMORY, limits=LIMITS
        )
        self.play(LOW_PER_S, 12.0)
        self.regions.runs.clear()
        self.started_at = self.regions.clock.seconds()
        self.share_in_time = self.play(HIGH_PER_S, RISE_S)
        ended_at = self.started_at + RISE_S
        self.regions.runs = [run for run in self.regions.runs if run.at < ended_at]

    def play(self, per_s, length_s):
        """Play traffic; return the share of the small region's requests in time."""
        traffic = dict.fromkeys(SERVER_COUNTS, TRAFFIC)
        traffic[SMALL] = attrs.evolve(TRAFFIC, per_s=per_s)
        self.regions.play(traffic, length_s)
        in_time = sum(run.in_time for run in self.regions.runs if run.home == SMALL)
        return in_time / (per_s * length_s)


@pytest.fixture(scope="module", params=[1, 2, 3])
def rise(request):
    """Return a rise of the small region's load."""
    return Rise(request.param)


class TestRise:
    """A region with few servers borrows slots at servers that have its objects."""

    def test_requests_are_in_time(self, rise):
        """Work that servers of other regions have done before is not done anew."""
        assert rise.share_in_time > 0.8

    def test_bounds_hold(self, rise):
        """No more requests than agreed change their region, and no slot is granted twice."""
        shifts = rise.regions.shifts(rise.started_at)
        assert shifts[SMALL] <= region_simulation.SHIFT_MOST
        assert rise.regions.overfilled == []
