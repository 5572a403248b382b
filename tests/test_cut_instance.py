"""An instance that lost its paths to all servers served nobody, nor others (issue 30)."""

import collections

from twisted.internet import defer, reactor, task

import test_entry
from carobhook.state import members
from carobhook.transport import exchange_results, server_connections

CONNECT_TIMEOUT_S = 0.5


class Cut:
    """Cuts an instance from all servers, as its connections to them see it."""

    def __init__(self, daemon):
        self.connections = daemon._servers._connections
        self.opened = []
        self.connect = self.connections._connect
        self.connections._connect = self.record_connect
        self.connect_with = self.connect

    async def record_connect(self, address):
        """Open a connection as the present mode lets it, and keep it for the next cut."""
        connection = await self.connect_with(address)
        self.opened.append(connection)
        return connection

    async def refuse(self, address):
        """Refuse a new connection."""
        fault = exchange_results.Fault.CONNECT
        raise exchange_results.ExchangeError(fault, "cut", False, False)

    async def hang(self, address):
        """Let a new connection time out."""
        await task.deferLater(reactor, CONNECT_TIMEOUT_S, lambda: None)
        await self.refuse(address)

    def begin_silent(self):
        """Let new connections hang, and open ones carry nothing any more."""
        self.connect_with = self.hang
        for connection in self.opened:
            if connection.transport is not None and connection.connected:
                connection.transport.pauseProducing()
                connection.transport.write = lambda data: None

    def begin_reset(self):
        """Reset the open connections, and refuse new ones."""
        self.connect_with = self.refuse
        for connection in self.opened:
            if connection.transport is not None and connection.connected:
                connection.connectionLost(server_connections.error.ConnectionLost())
                connection.transport.abortConnection()

    def begin_refusing_new(self):
        """Refuse new connections, while open ones live on, until they are closed."""
        self.connect_with = self.refuse
        for connection in self.opened[4:]:
            if connection.connected:
                connection.transport.loseConnection()

    def end(self):
        """Let connections be opened again."""
        self.connect_with = self.connect


class CutCase(test_entry.EntryCase):
    """Base class of tests with two instances, of which one is cut from all servers."""

    timeout = 90
    server_count = 8
    # As `StableWindow` of the rules: what is sent later has to be served.
    settle_s = 3.0

    async def setUp(self):
        """Start two instances which know each other."""
        await super().setUp()
        self.set_behaviour(work_s=0.05)
        self.daemons.append(await self.start_instance("two", ("one",)))
        await self.wait_until(lambda: self.daemons[1].phase is members.Phase.READY)
        await task.deferLater(reactor, 1.5, lambda: None)
        self.cut = Cut(self.daemons[0])
        self.statuses = collections.defaultdict(list)
        self.sent = 0

    async def load(self, phase, seconds, path="/a/x", method=b"GET"):
        """Send 25 requests a second to each instance; record their statuses by instance."""
        running = []
        for _ in range(int(seconds * 25)):
            for instance in ("one", "two"):
                self.sent += 1
                running.append(self.send_one(phase, instance, path, method, f"n{self.sent}"))
            await task.deferLater(reactor, 0.04, lambda: None)
        await defer.gatherResults(running)

    @defer.inlineCallbacks
    def send_one(self, phase, instance, path, method, request_id):
        """Send a request once; record its status, 0 without a response."""
        sent = self.request(
            path, method, instance=instance, X_Deadline_Ms="1500", X_Attempt_Id=request_id
        )
        try:
            response = yield defer.ensureDeferred(sent)
            status = response.status
        except exchange_results.ExchangeError:
            status = 0
        self.statuses[phase, instance].append(status)

    def share(self, phase, instance):
        """Return the share of requests that were served."""
        statuses = self.statuses[phase, instance]
        return statuses.count(200) / len(statuses)

    async def play(self, begin, path="/a/x", method=b"GET"):
        """Cut the first instance under load, and check what is served after a while."""
        await self.load("before", 1.5, path, method)
        begin()
        await self.load("settling", self.settle_s, path, method)
        await self.load("cut", 3.0, path, method)
        shares = {name: self.share("cut", name) for name in ("one", "two")}
        assert min(shares.values()) >= 0.95, shares
        runs = collections.Counter(self.started_ids)
        if method == b"POST":
            assert max(runs.values()) == 1


class TestPartitionFromServers(CutCase):
    """Callers of the cut instance, and of all others, were refused while the cut lasted."""

    async def test_silent_connections(self):
        """New connections hang, and open ones are silent."""
        await self.play(self.cut.begin_silent)

    async def test_reset_connections(self):
        """Open connections are reset, and new ones refused."""
        await self.play(self.cut.begin_reset)

    async def test_requests_that_must_not_run_twice(self):
        """The same for requests that run at most once, which they do."""
        await self.play(self.cut.begin_reset, "/u/x", b"POST")

    async def test_new_connections_refused(self):
        """Four open connections live on, and the load needs more than these."""
        self.set_behaviour(work_s=0.25)
        await self.play(self.cut.begin_refusing_new)

    async def test_some_servers_only(self):
        """Five of eight servers accept no connection of the instance; the others answer."""
        lost = {
            f"127.0.0.1:{port.getHost().port}"
            for number, port in enumerate(self.ports.values())
            if number < 5
        }

        async def connect(address):
            connect_with = self.cut.refuse if address in lost else self.cut.connect
            return await connect_with(address)

        def begin():
            self.cut.begin_reset()
            self.cut.connect_with = connect

        await self.play(begin)

    async def test_direct_path_is_used_again_after_the_cut(self):
        """Within three seconds after the cut, requests go straight to the servers."""
        await self.play(self.cut.begin_reset)
        self.cut.end()
        await self.load("healing", 3.0)
        before = len(self.cut.opened), self.connection_uses()
        await self.load("healed", 2.0)
        assert self.share("healed", "one") >= 0.95
        assert self.connection_uses() - before[1] >= 0.9 * 50

    def connection_uses(self):
        """Return how many requests the first instance has sent to servers itself."""
        return sum(connection.exchange_count for connection in self.cut.opened)


class TestClientOfACutInstance(CutCase):
    """A client that leaves while another instance relays its request."""

    async def test_server_is_told(self):
        """Closing the way cancels the request at the server, as on the direct path."""
        self.cut.begin_reset()
        await self.load("settling", 2.0)
        self.set_behaviour(work_s=3.0)
        head = "GET /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: left\r\n\r\n"
        client = await self.send_raw(head.encode(), wait_s=0.4)
        assert "left" in self.started_ids
        client.transport.abortConnection()
        await self.wait_until(lambda: any(b.cancelled for b in self.backends.values()), 0.5)
