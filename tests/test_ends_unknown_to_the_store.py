"""A request was sent on as ends of servers were not told by the store, or not at once."""

from twisted.internet import defer

import test_ended_servers
from carobhook.coordination import poison

FATAL = test_ended_servers.FATAL
FATAL_SAFE = test_ended_servers.FATAL_SAFE
BORN_MS = 1_000
SENDS = 8
REFUSED_LATER = [502] * poison.MARK_LIMIT + [503] * (SENDS - poison.MARK_LIMIT)


class UntoldEndsCase(test_ended_servers.EndedServersCase):
    """Base class of tests with servers whose entries name their start."""

    server_count = 2

    def add_backend(self, name, **fields):
        """Start a backend server and register it with its start."""
        super().add_backend(name, born=BORN_MS, **fields)

    def marks(self, number=0):
        """Return the names of the marks that an instance knows."""
        quarantine = self.daemons[number]._servers.quarantine
        return {message.name for message in quarantine.mark_messages()}

    def rename(self, backend, is_told=True):
        """Give a server that starts anew another id, which the store tells or not."""
        old, backend.name = backend.name, f"{backend.name}+"
        if is_told:
            self.tell_renamed(old, backend)

    def tell_renamed(self, old, backend):
        """Write the entry of a server that has another id now."""
        self.store.remove("servers", old)
        self.ports[backend.name] = backend._port
        self.register(backend.name, born=BORN_MS + len(backend.ends))

    async def spoil(self, count, pause_s, after=lambda: defer.succeed(None)):
        """Send a safe request several times, whose client leaves before its server ends."""
        head = f"GET {FATAL_SAFE} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: c%d\r\n\r\n"
        for number in range(count):
            client = await self.send_raw((head % number).encode(), wait_s=0.2)
            client.transport.abortConnection()
            await after()
            await self.pause(pause_s)


class TestSameId(UntoldEndsCase):
    """All ends of a server had the name of the run that the store had told last."""

    async def test_listing_that_does_not_change(self):
        """The servers start again with their ids, and the store tells of no start."""
        self.make_fatal(down_s=0.4)
        statuses = await self.send(SENDS, pause_s=1.0)
        assert self.ends == poison.MARK_LIMIT
        assert statuses == REFUSED_LATER

    async def test_store_that_is_away(self):
        """The store does not answer from before the first end on."""
        self.store.mode.silent = True
        await self.pause(1.0)
        self.make_fatal(down_s=0.4)
        statuses = await self.send(SENDS, pause_s=1.0)
        assert self.ends == poison.MARK_LIMIT
        assert statuses == REFUSED_LATER

    async def test_two_instances(self):
        """Both send the request in turn, and learn of each other's marks."""
        await self.start_second()
        await self.pause(0.5)
        self.make_fatal(down_s=0.4)
        statuses = []
        for number in range(SENDS):
            instance = ("one", "two")[number % 2]
            statuses += await self.send(1, instance=instance, pause_s=1.0)
        assert self.ends == poison.MARK_LIMIT
        assert statuses == REFUSED_LATER


class TestNewId(UntoldEndsCase):
    """The check found a listener, and took it for the run that had the request."""

    async def test_server_that_listens_again_before_the_check(self):
        """Each server starts anew with a new id, which the store tells at once."""
        for backend in self.backends.values():
            backend.on_restart = lambda backend=backend: self.rename(backend)
        self.make_fatal(down_s=0.01)
        statuses = await self.send(SENDS, pause_s=1.0)
        assert self.ends == poison.MARK_LIMIT
        assert statuses == REFUSED_LATER

    async def test_attempts_that_are_given_up(self):
        """The client has left before the end, and the check comes a second later."""
        for backend in self.backends.values():
            backend.on_restart = lambda backend=backend: self.rename(backend)
        self.make_fatal(FATAL_SAFE, work_s=0.3, down_s=0.1)
        await self.spoil(SENDS, pause_s=1.6)
        assert self.ends == poison.MARK_LIMIT


class TestSignsOfLife(UntoldEndsCase):
    """A response of the next server cleared the doubt about the former one."""

    server_count = 1

    async def test_other_server_at_the_address(self):
        """Its 421 says that the run that had the request is not there any more."""
        backend = next(iter(self.backends.values()))
        backend.on_restart = lambda: self.rename(backend, is_told=False)
        self.make_fatal(FATAL_SAFE, work_s=0.3, down_s=0.1)

        async def meet_other():
            """Send a request that gets 421, and let the store tell of the other server."""
            await self.pause(0.5)
            old = backend.name.removesuffix("+")
            await self.request(X_Attempt_Id=f"i{len(backend.heads)}")
            await self.pause(0.5)
            if old in self.store_names():
                self.tell_renamed(old, backend)

        await self.spoil(SENDS, pause_s=0.8, after=meet_other)
        assert self.ends == poison.MARK_LIMIT

    async def test_next_run_with_the_same_id(self):
        """Its response comes on a connection that was opened after the end."""
        backend = next(iter(self.backends.values()))

        async def meet_next():
            """Send a request that the next run answers before the check."""
            await self.pause(0.5)
            born = BORN_MS + len(backend.ends)
            assert (await self.request(X_Attempt_Id=f"i{len(backend.heads)}")).status == 200
            await self.pause(1.0)
            self.ports[backend.name] = backend._port
            self.register(backend.name, born=born)

        self.make_fatal(FATAL_SAFE, work_s=0.3, down_s=0.1)
        await self.spoil(SENDS, pause_s=0.5, after=meet_next)
        assert self.ends == poison.MARK_LIMIT

    def store_names(self):
        """Return the servers that the store lists."""
        return set(self.store.names("servers"))


class TestInnocentRequest(UntoldEndsCase):
    """A request that ended no server, or fewer than three, must be served."""

    async def test_resets_of_running_servers_between_two_ends(self):
        """Two ends of one listed run are two marks; five resets add none."""
        self.make_fatal(down_s=0.4)
        assert await self.send(2, pause_s=1.0) == [502, 502]
        self.set_behaviour(reset=True)
        assert await self.send(5) == [502] * 5
        assert len(self.marks()) == 2
        self.set_behaviour()
        await self.pause(2.0)
        assert await self.send(1) == [200]

    async def test_copies_at_two_instances(self):
        """One end that takes two copies of the request is one mark, also the second end."""
        await self.start_second()
        await self.pause(0.5)
        for name in list(self.backends)[1:]:
            self.store.remove("servers", name)
        await self.pause(0.5)
        self.make_fatal(work_s=0.4, down_s=0.4)
        for expected in (1, 2):
            copies = [
                defer.ensureDeferred(
                    self.request(FATAL, b"POST", b"bad", instance=name, X_Attempt_Id=name)
                )
                for name in ("one", "two")
            ]
            responses = await defer.gatherResults(copies)
            assert [response.status for response in responses] == [502, 502]
            await self.pause(1.2)
            assert self.ends == expected
            assert len(self.marks(0)) == len(self.marks(1)) == expected

    async def test_planned_restart(self):
        """A server that was reset and starts anew long after that leaves no mark."""
        self.set_behaviour(reset=True)
        assert await self.send(2) == [502] * 2
        self.set_behaviour()
        await self.pause(7.0)
        for name in self.backends:
            self.register(name, born=BORN_MS + 1)
        await self.pause(0.5)
        assert self.marks() == set()

    async def test_server_that_resets_new_connections(self):
        """It has no room for more connections, and resets the one that asks who it is."""
        self.set_behaviour(reset=True)
        for backend in self.backends.values():
            port = backend._port
            build, port.factory.buildProtocol = port.factory.buildProtocol, lambda addr: None
            self.addCleanup(setattr, port.factory, "buildProtocol", build)
        assert all(status in (502, 503) for status in await self.send(4))
        assert self.marks() == set()

    async def test_cold_server_is_not_asked(self):
        """A health check would use up its rate; a probe that gets 421 does not."""
        for name in self.backends:
            self.register(name, born=BORN_MS, cold="2500ms")
        await self.pause(0.3)
        self.set_behaviour(reset=True)
        assert await self.send(1, pause_s=0.0) == [502]
        self.set_behaviour()
        started = len(self.started_ids)
        await self.pause(3.0)
        assert self.inquiries() == 0
        assert len(self.started_ids) == started
        assert self.marks() == set()

    def inquiries(self):
        """Return the number of health checks that named the server."""
        heads = [head for backend in self.backends.values() for head in backend.heads]
        checks = [head for head in heads if head.target == b"/health"]
        return sum(head.get("x-expected-instance") in self.backends for head in checks)

    async def test_served_request_is_cleared(self):
        """A server that answers the request removes all marks, also those of further ends."""
        self.make_fatal(down_s=0.4)
        assert await self.send(2, pause_s=1.0) == [502, 502]
        self.set_behaviour()
        assert await self.send(1) == [200]
        assert self.marks() == set()
