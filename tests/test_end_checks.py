"""Tests of carobhook.transport.end_checks."""

import attrs
import pytest
from twisted.internet import defer

import test_entry
from carobhook.platform import identity
from carobhook.protocol import path_messages
from carobhook.state import ids
from carobhook.transport import end_checks, exchange_results, server_connections

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

    def test_other_server_at_the_address(self):
        """The one that had the request has ended, whatever others reach there."""
        evidence = check(Listener.OTHER, Reach.REACHED)
        assert (evidence.finding, evidence.is_certain) == (Finding.REPLACED, True)

    def test_listener_that_does_not_say_who_it_is(self):
        """It may be either."""
        assert check(Listener.SILENT).finding is Finding.UNKNOWN

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


class TestFindListener(test_entry.EntryCase):
    """Who listens at the address of a server, over loopback."""

    server_count = 1

    async def find(self, server="i-0", may_ask=True, timeout_s=1.0):
        """Return who is found at the address of the server."""
        head = identity.build_head(ids.Server(server), self.address, "/health")
        question = server_connections.Question(
            lambda: head if may_ask else None, identity.is_other_server
        )
        # The first one tells nothing.
        asked = (attrs.evolve(question, is_other=lambda response: None), question)
        return await self.connections.find_listener(self.address, asked, timeout_s)

    @property
    def address(self):
        """Return the address of the server."""
        return f"127.0.0.1:{self.ports['i-0'].getHost().port}"

    async def test_expected_server(self):
        """It answers its health check, or refuses it as it is full."""
        assert await self.find() is Listener.PRESENT
        self.set_behaviour(shed=True)
        assert await self.find() is Listener.PRESENT

    async def test_other_server(self):
        """It answers 421, and runs nothing."""
        started = len(self.started_ids)
        assert await self.find("former") is Listener.OTHER
        assert len(self.started_ids) == started

    async def test_server_that_may_not_be_asked(self):
        """A connection that it accepts is all that is known."""
        assert await self.find("former", may_ask=False) is Listener.SILENT

    async def test_server_that_does_not_answer(self):
        """It is busy for longer than the check, or resets the connection."""
        self.set_behaviour(work_s=0.5)
        assert await self.find(timeout_s=0.1) is Listener.SILENT
        self.set_behaviour(reset=True)
        assert await self.find() is Listener.SILENT

    async def test_nobody(self):
        """The connection is refused."""
        address = self.address
        await self.ports["i-0"].stopListening()
        question = server_connections.Question(lambda: None, identity.is_other_server)
        found = await self.connections.find_listener(address, (question,), 1.0)
        assert found is Listener.REFUSED
