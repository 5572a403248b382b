"""Tests of carobhook.emulator, and of the dispatcher's share of what is possible under load."""

import json
import random

import pytest
from typer import testing

from carobhook import cli
from carobhook.emulator import model, play


def shares(policy, load, seed=1, **fields):
    """Return the requests in time, as a share of all, of a scene of some seconds."""
    scene = model.Scene(load, seed, length_s=12.0, **fields)
    return play.play(scene, policy)


class TestModel:
    """Loads and servers."""

    def test_load_is_that_of_the_slots(self):
        """Arrivals at load 1 keep all slots busy with warm work."""
        scene = model.Scene(1.0, 3, length_s=60.0)
        requests = list(model.arrivals(scene))
        work_s = sum(0.3 * request.kind.work_s for request in requests)
        borne_s = scene.servers * scene.slots * scene.length_s
        assert 0.93 < work_s / borne_s < 1.07
        assert {request.instance for request in requests} == set(range(9))

    def test_object_is_warm_until_many_others_came(self):
        """A server works faster on what it had lately."""
        server = model.Server("s", 4, random.Random(1))
        kind = model.DEFAULT_KINDS[0]
        requests = [model.Request(n, kind, f"o{n}", 0, 0.0) for n in range(30)]
        cold_s, warm_s = server.begin(requests[0]), server.begin(requests[0])
        assert warm_s < 0.5 * cold_s
        for request in requests[1:]:
            server.begin(request)
        assert not server.knows(requests[0])


class TestPolicies:
    """What becomes of every request."""

    @pytest.mark.parametrize("policy", sorted(play.POLICIES))
    @pytest.mark.parametrize("load", [0.5, 2.0])
    def test_every_request_ends_once(self, policy, load):
        """Each is answered or refused, and the kinds add up to all."""
        tallies = shares(policy, load)
        whole = tallies.pop("")
        assert whole.asked == sum(tally.asked for tally in tallies.values())
        assert len(whole.seconds) + whole.refused == whole.asked

    def test_ideal_serves_all_it_can(self):
        """It answers nearly everything in time below capacity, and fills the slots above."""
        assert shares("ideal", 0.6)[""].share_in_time > 0.97
        assert shares("ideal", 2.0)[""].share_in_time > 0.45

    @pytest.mark.parametrize("load", [1.2, 2.5])
    def test_dispatcher_beats_guessing(self, load):
        """Under load, exact slots and early refusals serve several times as many in time."""
        ours, guessed = shares("dispatcher", load)[""], shares("least-busy", load)[""]
        assert ours.in_time > 3 * guessed.in_time

    def test_more_instances_change_nothing_for_the_dispatcher(self):
        """One dispatcher counts the slots, whoever asks."""
        few = shares("dispatcher", 1.2, instances=9)[""]
        many = shares("dispatcher", 1.2, instances=300)[""]
        assert abs(few.share_in_time - many.share_in_time) < 0.05


class TestMeasure:
    """The command."""

    def test_rows(self):
        """Each load has a row for each policy."""
        arguments = ["measure", "--load", "0.8", "--length", "3", "--json"]
        done = testing.CliRunner().invoke(cli.app, arguments)
        assert done.exit_code == 0
        rows = [json.loads(line) for line in done.stdout.splitlines()]
        assert [row["policy"] for row in rows] == list(play.POLICIES)
        assert all(0 <= row["in_time"] <= 1 for row in rows)
