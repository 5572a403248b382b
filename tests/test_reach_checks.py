"""Tests of carobhook.transport.reach_checks."""

import random

import pytest
from twisted.internet import defer, task

from carobhook.protocol import path_messages
from carobhook.transport import reach_checks

Reach = path_messages.Reach


class Fleet:
    """Instances that ask each other; each reaches the server or not."""

    def __init__(self, reaches, is_trusted=None, silent=()):
        self.clock = task.Clock()
        self.probes = []
        self.checks = {}
        for name in reaches:
            self.checks[name] = reach_checks.ReachChecks(
                self.clock,
                random.Random(1),
                self.probe_of(name, reaches[name]),
                lambda address: address == "s:1",
                lambda address, name=name: defer.succeed((is_trusted or {}).get(name, True)),
                lambda name=name: [other for other in reaches if other != name],
                lambda to, message, name=name: self.send(name, to, message),
            )
        self.silent = silent

    def probe_of(self, name, reached):
        """Return the probe of an instance, which waits 0.1 s."""

        async def probe(address):
            self.probes.append(name)
            await task.deferLater(self.clock, 0.1, lambda: None)
            return reached

        return probe

    def send(self, sender, to, message):
        """Deliver a message after 0.01 s, unless its receiver is silent."""
        if to not in self.silent:
            self.clock.callLater(0.01, self.checks[to].handle_message, sender, message)
        return True

    def reach_of_others(self):
        """Return what the first instance learns from others within three seconds."""
        result = defer.ensureDeferred(self.checks["a"].reach_of_others("s:1"))
        self.clock.pump([0.05] * 60)
        return result.result

    def has_ended(self):
        """Return what the first instance finds out within three seconds."""
        result = defer.ensureDeferred(self.checks["a"].has_ended("s:1"))
        self.clock.pump([0.05] * 60)
        found = []
        result.addCallback(found.append)
        return found


class TestHasEnded:
    """Whether a server has ended, by what several instances find."""

    @pytest.mark.parametrize(
        ("reaches", "expected"),
        [
            ({"a": True, "b": False}, [False]),
            ({"a": False, "b": True, "c": False}, [False]),
            ({"a": False, "b": False, "c": False}, [True]),
            ({"a": False}, [True]),
        ],
    )
    def test_server_that_anyone_reaches_has_not_ended(self, reaches, expected):
        """One instance that reaches it is enough; without others, the own path decides."""
        assert Fleet(reaches).has_ended() == expected

    def test_silent_instances_do_not_delay_for_long(self):
        """An answer that does not come counts as unknown."""
        assert Fleet({"a": False, "b": True}, silent=("b",)).has_ended() == [True]

    def test_unknown_address_is_not_probed_for_others(self):
        """An instance does not connect wherever another one wants it to."""
        fleet = Fleet({"a": True, "b": True})
        query = path_messages.ReachQuery("1", "elsewhere:22")
        fleet.checks["b"].handle_message("a", query)
        fleet.clock.pump([0.05] * 10)
        assert fleet.probes == []

    def test_simultaneous_checks_share_a_probe(self):
        """Many requests that are lost at once cost one connection."""
        fleet = Fleet({"a": True})
        results = [defer.ensureDeferred(fleet.checks["a"].has_ended("s:1")) for _ in range(9)]
        fleet.clock.pump([0.05] * 10)
        assert [self_result.result for self_result in results] == [False] * 9
        assert fleet.probes == ["a"]

    def test_instance_that_reaches_hardly_any_server_says_unknown(self):
        """Its failed probe says nothing about the server."""
        fleet = Fleet({"a": False, "b": False}, is_trusted={"b": False})
        reports = []
        send = fleet.send
        fleet.send = lambda sender, to, message: (
            reports.append(message) or send(sender, to, message)
        )
        fleet.has_ended()
        assert [m.reach for m in reports if isinstance(m, path_messages.ReachReport)] == [
            Reach.UNKNOWN
        ]


class TestReachOfOthers:
    """Whether the server or the path to it is at fault, by what others find."""

    @pytest.mark.parametrize(
        ("reaches", "is_trusted", "expected"),
        [
            ({"a": False, "b": True, "c": False}, {}, Reach.REACHED),
            ({"a": False, "b": False, "c": False}, {}, Reach.UNREACHED),
            ({"a": False, "b": False, "c": False}, {"b": False, "c": False}, Reach.UNKNOWN),
            ({"a": False, "b": False, "c": False}, {"b": False}, Reach.UNREACHED),
            ({"a": False}, {}, Reach.UNKNOWN),
        ],
    )
    def test_only_those_that_can_tell_count(self, reaches, is_trusted, expected):
        """Instances that are cut themselves say nothing of the server."""
        assert Fleet(reaches, is_trusted).reach_of_others() is expected
