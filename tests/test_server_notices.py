"""Servers that leave, or want a rest, say so in their responses."""

import pytest
from twisted.internet import defer, reactor, task

import test_entry
from carobhook.coordination import server_notices
from carobhook.platform import requests
from carobhook.protocol import http1
from carobhook.standins import platform_server
from carobhook.state import allocation, ids, members, servers

RUN = servers.ServerRun(ids.Server("a"), 1)


def response(status=200, **headers):
    """Return a response with headers."""
    raw = tuple((k.replace("_", "-").encode(), v.encode()) for k, v in headers.items())
    return http1.Response(status, b"Status", raw, b"")


class TestParsing:
    """What is read from a response."""

    @pytest.mark.parametrize(
        ("found", "expected"),
        [
            (response(), None),
            (response(Server_Leaving="1"), allocation.ServerNotice(True, None)),
            (response(500, Server_Leaving="1"), allocation.ServerNotice(True, None)),
            (response(200, Server_Leaving="0"), None),
            (response(421, Server_Leaving="1"), None),
            (response(503, Retry_After="1.5"), allocation.ServerNotice(False, 1.5)),
            (response(503, Retry_After="0"), None),
            (response(200, Retry_After="5"), None),
            (
                response(503, Retry_After="2", Server_Leaving="1"),
                allocation.ServerNotice(True, 2.0),
            ),
        ],
    )
    def test_notice(self, found, expected):
        """Only a 503 asks for a rest; a 421 comes from another server."""
        assert requests.ServerCodec().notice(found) == expected

    @pytest.mark.parametrize("text", ["soon", "-1", "1e9", "nan", "", "Wed, 21 Oct 2026"])
    def test_unreadable_time(self, text):
        """A time that is no decimal number of seconds raises ValueError."""
        with pytest.raises(ValueError, match="Retry-After"):
            requests.ServerCodec().notice(response(503, Retry_After=text))


class TestRests:
    """Servers that want no requests from this instance for a while."""

    def test_server_rests_for_the_time_it_named(self):
        """A later, shorter time does not end a rest sooner."""
        rests = server_notices.Rests()
        rests.add(RUN, 2.0, 10.0)
        rests.add(RUN, 0.5, 10.5)
        assert rests.is_resting(RUN.server, 11.9)
        assert rests.resting(11.9) == {RUN.server}
        assert not rests.is_resting(RUN.server, 12.0)
        assert rests.resting(12.0) == frozenset()

    def test_new_run_of_a_server_wants_no_rest(self):
        """What it said before its restart no longer counts."""
        rests = server_notices.Rests()
        rests.add(RUN, 5.0, 0.0)
        rests.retain(lambda server: servers.ServerRun(server, 2))
        assert not rests.is_resting(RUN.server, 1.0)


class NoticeCase(test_entry.EntryCase):
    """Base class of tests with servers that send notices."""

    server_count = 3

    def starts_after(self, name, moment):
        """Return how many requests a server received later than a moment."""
        backend = self.backends[name]
        return sum(at > moment for at in backend.received_at)

    async def load(self, seconds, instance="one"):
        """Send 25 requests a second; return their statuses."""
        running = []
        for number in range(int(seconds * 25)):
            sent = self.request("/a/x", instance=instance, X_Attempt_Id=f"{instance}{number}")
            running.append(defer.ensureDeferred(sent))
            await task.deferLater(reactor, 0.04, lambda: None)
        return [found.status for found in await defer.gatherResults(running)]


class TestLeavingServer(NoticeCase):
    """A server that leaves says so in its responses before its entry does."""

    async def test_it_gets_no_further_requests(self):
        """Nor from another instance, which has not heard of it itself."""
        self.daemons.append(await self.start_instance("two", ("one",)))
        await self.wait_until(lambda: self.daemons[1].phase is members.Phase.READY)
        self.backends["i-0"].behaviour = platform_server.Behaviour(is_leaving=True)
        assert set(await self.load(1.0)) == {200}
        heard_at = reactor.seconds()
        assert self.backends["i-0"].started_ids
        await task.deferLater(reactor, 0.2, lambda: None)
        statuses = await self.load(1.0) + await self.load(1.0, "two")
        assert set(statuses) == {200}
        assert self.starts_after("i-0", heard_at) == 0

    async def test_next_run_is_used_again(self):
        """The server's entry shows that it was started anew."""
        self.set_behaviour(is_leaving=True)
        await self.request()
        await task.deferLater(reactor, 0.2, lambda: None)
        await self.load(0.5)
        assert (await self.request()).status == 503
        self.set_behaviour()
        for name in self.backends:
            self.register(name, born=2)
        await task.deferLater(reactor, 0.6, lambda: None)
        assert (await self.request()).status == 200


class TestWordOfAFormerRun(NoticeCase):
    """A server runs anew under its id before a response of its former run arrives."""

    server_count = 1

    async def request_across_a_restart(self, **fields):
        """Send a request whose response comes from the former run; return its status."""
        self.set_behaviour(work_s=0.6, **fields)
        sent = defer.ensureDeferred(self.request())
        await task.deferLater(reactor, 0.3, lambda: None)
        self.register("i-0", born=2)
        response = await sent
        self.set_behaviour()
        return response.status

    async def test_next_run_does_not_leave(self):
        """It was the former one that said so."""
        assert await self.request_across_a_restart(is_leaving=True) == 200
        assert (await self.request(X_Attempt_Id="second")).status == 200


class TestResting(NoticeCase):
    """A server that turns requests away and says for how long."""

    async def test_it_gets_at_most_two_requests_meanwhile(self):
        """All servers want a rest; what is on its way when they say so may still arrive."""
        self.set_behaviour(shed=True, retry_after="2.0")
        assert set(await self.load(1.9)) == {503}
        for name, backend in self.backends.items():
            assert backend.received_at
            assert self.starts_after(name, backend.received_at[0] + 0.5) <= 2

    async def test_it_is_used_again_after_that(self):
        """Each of the three servers wants a rest of a second."""
        self.set_behaviour(shed=True, retry_after="1.0")
        for _ in range(3):
            assert (await self.request()).status == 503
        assert all(backend.received_at for backend in self.backends.values())
        self.set_behaviour()
        await task.deferLater(reactor, 0.4, lambda: None)
        assert (await self.request()).status == 503
        await task.deferLater(reactor, 0.8, lambda: None)
        assert (await self.request()).status == 200
