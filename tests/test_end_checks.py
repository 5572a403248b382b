"""Tests of carobhook.transport.end_checks."""

import pytest
from twisted.internet import defer

from carobhook.protocol import path_messages
from carobhook.transport import end_checks, exchange_results

Finding = end_checks.Finding
Listener = exchange_results.Listener
Reach = path_messages.Reach


def check(listener, reach=Reach.UNREACHED, is_trusted=True):
    """Return the evidence of a check, by what this instance and others find."""
    checks = end_checks.EndChecks(
        lambda: 7.0,
        lambda server, address: defer.succeed(listener),
        lambda address: defer.succeed(reach),
        lambda address: defer.succeed(is_trusted),
    )
    results = []
    defer.ensureDeferred(checks.check("s", "s:1")).addCallback(results.append)
    return results[0]


class TestEndChecks:
    """What a check takes for the end of a server, and how sure that is."""

    def test_listener_has_not_ended(self):
        """One connection of this instance is enough."""
        assert check(Listener.PRESENT).finding is Finding.ALIVE

    @pytest.mark.parametrize("listener", [Listener.REFUSED, Listener.UNREACHED])
    def test_server_that_another_instance_reaches(self, listener):
        """The path of this instance is at fault, which tells nothing of the server."""
        assert check(listener, Reach.REACHED).finding is Finding.UNKNOWN

    @pytest.mark.parametrize(
        ("listener", "reach", "is_trusted", "is_certain"),
        [
            (Listener.REFUSED, Reach.UNREACHED, False, True),
            (Listener.REFUSED, Reach.UNKNOWN, True, True),
            (Listener.REFUSED, Reach.UNKNOWN, False, False),
            (Listener.UNREACHED, Reach.UNREACHED, True, False),
            (Listener.UNREACHED, Reach.UNKNOWN, True, False),
        ],
    )
    def test_unreachable_server(self, listener, reach, is_trusted, is_certain):
        """Only a refusal that a broken path does not explain is certain."""
        evidence = check(listener, reach, is_trusted)
        assert evidence.finding is Finding.UNREACHABLE
        assert evidence.is_certain is is_certain
        assert evidence.at == 7.0
