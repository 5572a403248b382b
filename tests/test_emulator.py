"""Tests of carobhook.emulator, and of the dispatcher against its baseline and the ideal."""

import json
import random

import attrs
import pytest
from typer import testing

from carobhook import cli
from carobhook.emulator import model, simulation


def simulate(policy, load, seed=1, **fields):
    """Return the statistics of a scenario of 12 seconds."""
    scenario = model.Scenario(load, seed, duration_s=12.0, **fields)
    return simulation.simulate(scenario, policy)


class TestModel:
    """Load and servers."""

    def test_load_one_fills_all_slots(self):
        """Arrivals at load 1 need all slots if every object is cached."""
        scenario = model.Scenario(1.0, 3, duration_s=60.0)
        requests = list(model.generate_requests(scenario))
        work_s = sum(0.3 * request.kind.work_s for request in requests)
        capacity_s = scenario.servers * scenario.slots * scenario.duration_s
        assert 0.93 < work_s / capacity_s < 1.07
        assert {request.instance for request in requests} == set(range(9))

    def test_least_recently_used_object_is_evicted(self):
        """A server needs less time for a cached object, until newer objects evict it."""
        server = model.Server("s", model.Scenario(load=1.0), random.Random(1))
        kind = model.DEFAULT_KINDS[0]
        requests = [model.Request(n, kind, f"o{n}", 0, 0.0) for n in range(30)]
        cold_s, warm_s = (
            server.start_request(requests[0], 0.0),
            server.start_request(requests[0], 0.0),
        )
        assert warm_s < 0.5 * cold_s
        for request in requests[1:]:
            server.start_request(request, 0.0)
        assert not server.has_cached(requests[0])


class TestClients:
    """Client accounts, and clients that come back after a refusal."""

    def test_flood_multiplies_the_load_of_one_account_only(self):
        """Otherwise its cost for the others could not be told from a larger load of all."""
        scenario = model.customer_scenario(1.0, duration_s=14.0)
        requests = list(model.generate_requests(scenario))
        usual, flood = (
            sum(r.account == "flooding" and start <= r.arrived_at < start + 6 for r in requests)
            for start in (0.0, 8.0)
        )
        assert 5.5 < flood / usual < 8.5
        large = [r.arrived_at >= 7.0 for r in requests if r.account == "large-0"]
        assert 0.4 < sum(large) / len(large) < 0.6

    def test_patient_client_waits_at_most_a_third_of_its_time(self):
        """Else it would return too late to be answered, which real clients do not."""
        request = model.Request(0, model.CUSTOMER_KINDS[0], "o", 0, 10.0, None, True)
        assert model.return_time(request, 1, 0.5, 10.0) == 10.5
        assert model.return_time(request, 1, 5.0, 10.0) == 11.0
        assert model.return_time(request, 1, 5.0, 13.0) is None
        hasty = attrs.evolve(request, is_hasty=True)
        assert model.return_time(hasty, 1, 5.0, 10.0) == 10.0 + model.HASTY_RETURN_S

    def test_request_that_comes_back_counts_once(self):
        """Every request ends once, however often it is refused."""
        scenario = model.customer_scenario(2.0, duration_s=4.0)
        outcomes = simulation.simulate_groups(scenario, "dispatcher")
        overall = outcomes.overall
        assert len(overall.response_times_s) + overall.refused == overall.total
        assert overall.refusals > overall.refused
        assert sum(stats.total for stats in outcomes.by_account.values()) == overall.total


class TestPolicies:
    """Outcomes of the requests under each policy."""

    @pytest.mark.parametrize("policy", sorted(simulation.POLICIES))
    @pytest.mark.parametrize("load", [0.5, 2.0])
    def test_every_request_has_one_outcome(self, policy, load):
        """Each request is answered or refused, and the kinds add up to the total."""
        by_kind = simulate(policy, load)
        overall = by_kind.pop("")
        assert overall.total == sum(stats.total for stats in by_kind.values())
        assert len(overall.response_times_s) + overall.refused == overall.total

    def test_ideal_policy_uses_the_capacity(self):
        """Nearly all requests are in time at load 0.6, and nearly half of them at load 2."""
        assert simulate("ideal", 0.6)[""].share_in_time > 0.97
        assert simulate("ideal", 2.0)[""].share_in_time > 0.45

    @pytest.mark.parametrize("load", [1.2, 2.5])
    def test_dispatcher_beats_least_busy_under_overload(self, load):
        """The dispatcher counts all slots and refuses early, so more requests are in time."""
        dispatched, baseline = (
            simulate("dispatcher", load)[""],
            simulate("least-busy", load)[""],
        )
        assert dispatched.in_time > 3 * baseline.in_time

    def test_number_of_instances_does_not_affect_the_dispatcher(self):
        """One dispatcher counts the slots, whichever instance requests them."""
        few = simulate("dispatcher", 1.2, instances=9)[""]
        many = simulate("dispatcher", 1.2, instances=300)[""]
        assert abs(few.share_in_time - many.share_in_time) < 0.05


class TestMeasure:
    """The command measure."""

    def test_rows(self):
        """Each load has one row for each policy."""
        arguments = ["measure", "--load", "0.8", "--length", "3", "--json"]
        done = testing.CliRunner().invoke(cli.app, arguments)
        assert done.exit_code == 0
        rows = [json.loads(line) for line in done.stdout.splitlines()]
        assert [row["policy"] for row in rows] == list(simulation.POLICIES)
        assert all(0 <= row["in_time"] <= 1 for row in rows)


class TestScarceMemory:
    """Servers whose memory holds just about all objects, each at one of them."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_work_is_not_repeated_on_servers_without_the_object(self, seed):
        """A request waits for the server that has its object if that responds first."""
        kind = model.RequestKind("browse", 1.0, 2.0, 1.2, 8.0, 1, 299)
        scenario = model.Scenario(
            load=0.6,
            seed=seed,
            servers=25,
            slots=5,
            duration_s=20.0,
            kinds=(kind,),
            cache_size=11,
            cached_share=0.25,
        )
        stats = simulation.simulate(scenario, "dispatcher")[""]
        assert stats.share_in_time > 0.7
