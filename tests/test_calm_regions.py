"""Tests of dispatchers in unequal regions under calm load, with the loans between them."""

import attrs
import pytest

import region_simulation

SMALL = region_simulation.SMALL
MIDDLE = region_simulation.MIDDLE
LARGE = region_simulation.LARGE
SERVERS = region_simulation.SERVERS
SLOTS = region_simulation.SLOTS
SHIFT_MOST = region_simulation.SHIFT_MOST
Traffic = region_simulation.Traffic
Regions = region_simulation.Regions
# Work times vary by a fifth, and a mean of them less.
MOST_NOISE = 1.25


def calm(share=0.3, **changes):
    """Return traffic that keeps a share of each region's own slots busy."""
    return {
        region: attrs.evolve(
            Traffic(share * count * SLOTS / Traffic.WORK_S),
            **changes,
        )
        for region, count in SERVERS.items()
    }


def burst(*homes):
    """Return traffic that is too much for the own slots of some regions."""
    return {region: load for region, load in calm(2.5).items() if region in homes}


@pytest.fixture(params=[1, 2, 3])
def regions(request):
    """Return the regions before their first request."""
    return Regions(request.param)


class TestShift:
    """Requests stay in their region while it has slots for them."""

    @pytest.mark.parametrize("objects", [0, 60])
    def test_first_traffic_stays_in_its_region(self, regions, objects):
        """No more than the agreed share changes region from one window to the next."""
        start = regions.clock.seconds()
        warm_s = Traffic.WORK_S / 4 if objects else Traffic.WORK_S
        regions.play(calm(objects=objects, warm_s=warm_s), 16.0)
        assert max(regions.shifts(start).values()) <= SHIFT_MOST

    def test_request_runs_at_home_while_slots_are_free_there(self, regions):
        """Nothing is gained by running it elsewhere."""
        regions.play(calm(), 16.0)
        assert regions.away_with_slots_at_home() == []

    def test_traffic_stays_in_its_region_after_a_burst(self, regions):
        """What was borrowed for a burst attracts no request after it."""
        regions.play(calm() | burst(SMALL), 15.0)
        regions.play(calm(), 8.0)
        start = regions.clock.seconds()
        regions.play(calm(), 10.0)
        assert max(regions.shifts(start).values()) <= SHIFT_MOST
        assert regions.away_with_slots_at_home(start) == []

    def test_traffic_of_a_region_that_returns_stays_there(self, regions):
        """A new dispatcher of a region whose clients were away knows of no demand either."""
        regions.play(calm(), 10.0)
        others = {region: load for region, load in calm().items() if region != SMALL}
        regions.play(others, 6.0)
        regions.restart_dispatcher(SMALL)
        regions.play(others, 2.0)
        start = regions.clock.seconds()
        regions.play(calm(), 10.0)
        assert max(regions.shifts(start).values()) <= SHIFT_MOST


class TestUnneededLoans:
    """A region borrows what its demand needs."""

    def test_region_without_requests_borrows_nothing(self, regions):
        """Its own slots are enough until demand is known."""
        assert {region: regions.lent_to(region) for region in SERVERS} == dict.fromkeys(
            SERVERS, 0
        )

    def test_loan_ends_within_seconds_of_its_need(self, regions):
        """In 8 s demand is known to have fallen (5 s) and the loan can end (3 s)."""
        regions.play(calm() | burst(SMALL), 20.0)
        assert regions.lent_to(SMALL) > 20
        regions.play(calm(0.2), 8.0)
        assert regions.lent_to(SMALL) == 0


class TestLoansOfUsedSlots:
    """Slots that run requests when they are lent or recalled."""

    def test_two_dispatchers_do_not_grant_the_same_slot(self, regions):
        """No server gets more requests than it has slots, from all dispatchers together."""
        regions.play(calm() | burst(SMALL), 15.0)
        regions.play(burst(MIDDLE, LARGE), 6.0)
        assert regions.overfilled == []


class TestSlowness:
    """Healthy servers of equal speed don't appear slow."""

    def test_new_dispatcher_takes_no_server_for_slow(self, regions):
        """It doesn't know when the requests that it takes over were started."""
        regions.play(calm(), 10.0)
        regions.restart_dispatcher(SMALL)
        regions.play(calm(), 4.0)
        now = regions.clock.seconds()
        pool = regions.shard(SMALL).dispatcher.pool
        assert max(server.slowness(now) for server in pool.servers) <= MOST_NOISE
