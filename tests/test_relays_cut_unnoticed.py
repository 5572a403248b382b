"""Cut instances relayed through others that were cut as well and had not noticed (issue 49)."""

import collections

from twisted.internet import reactor, task

import test_cut_instance
from carobhook.state import members


class Cut(test_cut_instance.Cut):
    """Cuts an instance from all servers, with new connections that open all the same."""

    async def reset_new(self, address):
        """Open a connection that is reset at once, while the request is on its way."""
        connection = await self.connect(address)
        reactor.callLater(0.0, connection.transport.abortConnection)
        return connection

    async def reset_after_request(self, address):
        """Open a connection that is reset when something is sent on it."""
        connection = await self.connect(address)
        connection.transport.write = lambda data: connection.transport.abortConnection()
        return connection

    async def silence_new(self, address):
        """Open a connection that carries nothing."""
        connection = await self.connect(address)
        connection.transport.write = lambda data: None
        return connection


class RelayCutCase(test_cut_instance.CutCase):
    """Base class of tests in which most instances are cut, and two of these have no clients."""

    other_names = ("three", "four")

    async def setUp(self):
        """Start more instances, and prepare the cuts of all but the second."""
        await super().setUp()
        for name in self.other_names:
            self.daemons.append(await self.start_instance(name, ("one",)))
        await self.wait_until(
            lambda: all(daemon.phase is members.Phase.READY for daemon in self.daemons)
        )
        await task.deferLater(reactor, 1.5, lambda: None)
        self.cuts = [Cut(daemon) for daemon in self.daemons if daemon is not self.daemons[1]]

    def begin(self, begin_open, mode):
        """Cut the instances.

        Args:
            begin_open: Name of the method that disturbs the open connections.
            mode: Name of the method that opens new ones from then on.
        """
        for cut in self.cuts:
            getattr(cut, begin_open)()
            cut.connect_with = getattr(cut, mode)

    async def play_cut(self, begin_open, mode, path="/u/x", method=b"POST"):
        """Cut the instances under load; check what is served, and what ran."""
        await self.play(lambda: self.begin(begin_open, mode), path, method)
        runs = collections.Counter(self.started_ids)
        assert max(runs.values()) == 1 or method == b"GET"


class TestRelayCutUnnoticed(RelayCutCase):
    """Requests that run at most once were reset at instances that relayed them."""

    async def test_new_connections_reset(self):
        """A relay that was not heard by any server lately tries the path first."""
        await self.play_cut("begin_reset", "reset_new")

    async def test_new_connections_reset_after_the_request(self):
        """A connection that opens and stays open is no evidence of a path."""
        await self.play_cut("begin_reset", "reset_after_request")

    async def test_new_connections_silent(self):
        """Nor is one on which nothing comes back."""
        await self.play_cut("begin_silent", "silence_new")

    async def test_new_connections_hang(self):
        """A relay that was found cut is not waited for again and again."""
        await self.play_cut("begin_silent", "hang")

    async def test_repeatable_requests(self):
        """The same for requests that may run again."""
        await self.play_cut("begin_silent", "reset_new", "/a/x", b"GET")


class FewServersCase(test_cut_instance.CutCase):
    """Base class of tests with fewer servers than an instance used to need to find its cut."""

    server_count = 1

    async def setUp(self):
        """Start the instances, and prepare the cut of the first."""
        await super().setUp()
        self.cut = Cut(self.daemons[0])

    async def play_cut(self, begin_open, mode, path="/u/x", method=b"POST"):
        """Cut the first instance under load, and check what is served."""

        def begin():
            getattr(self.cut, begin_open)()
            self.cut.connect_with = getattr(self.cut, mode)

        await self.play(begin, path, method)


class TestCutFromOneServer(FewServersCase):
    """An instance that knew one server never found that it was cut, and served nothing."""

    async def test_new_connections_reset(self):
        """One reset is enough to ask others about the server."""
        await self.play_cut("begin_reset", "reset_new")

    async def test_repeatable_requests(self):
        """Requests that are reset at once tell nobody else of the path."""
        await self.play_cut("begin_reset", "reset_new", "/a/x", b"GET")

    async def test_silent_connections(self):
        """A request that hangs is reason enough to try the path."""
        await self.play_cut("begin_silent", "silence_new", "/a/x", b"GET")


class TestCutFromTwoServers(TestCutFromOneServer):
    """The same with two servers."""

    server_count = 2
