"""A stopping instance took requests that it could not answer any more, and dropped them."""

from twisted.internet import defer, protocol, reactor, task

import test_entry
from carobhook.state import members
from carobhook.transport import exchange_results

# Of the grace period of `test_entry.SETTINGS`, in which requests are aborted after 1.7 s.
GRACE_S = 2.0
# A request that is sent in the first half of the grace period may still run at its end.
LATE_S = 0.6 * GRACE_S


class StopCase(test_entry.EntryCase):
    """The instance `one` stops; `two`, which stays, dispatches for both."""

    server_count = 1

    async def join(self):
        """Start the second instance, and give the route a long timeout."""
        self.daemons.append(await self.start_instance("two", seeds=("one",)))
        times = {"TargetLatency": "4s", "Timeout": "5s", "MaxAttempts": 1}
        self.store.put("config", "main", test_entry.config(2, test_entry.route(**times)))
        await self.wait_until(
            lambda: all(
                daemon.phase is members.Phase.READY
                and daemon._catalog.config.version == 2
                and len(daemon._streams.membership.serving(reactor.seconds())) == 2
                for daemon in self.daemons
            )
        )

    async def status(self, name, instance="one", deadline_ms=6000):
        """Send a request; return its status and Retry-After, or how its connection ended."""
        try:
            response = await self.request(
                instance=instance, X_Attempt_Id=name, X_Deadline_Ms=str(deadline_ms)
            )
        except exchange_results.ExchangeError as error:
            return error.fault.value, None
        return response.status, response.get("retry-after")

    async def queue_requests(self):
        """Return four requests that run at `two`, and three at `one` that wait for a slot."""
        await self.join()
        self.set_behaviour(work_s=4.0)
        running = [
            defer.ensureDeferred(self.status(f"running-{number}", "two")) for number in range(4)
        ]
        await self.wait_until(lambda: len(self.started_ids) == 4)
        queued = [defer.ensureDeferred(self.status(f"queued-{number}")) for number in range(3)]
        await self.wait_until(lambda: self.daemons[0]._allocator.pending_count == 3)
        return running, queued


class TestRequestLateInAStop(StopCase):
    """A request came late in a stop."""

    async def test_request_that_outlasts_the_stop_is_refused_as_not_run(self):
        """A request whose work ends after the abort is refused before a server gets it."""
        await self.join()
        self.set_behaviour(work_s=1.2)
        stopping = defer.ensureDeferred(self.daemons[0].stop())
        await task.deferLater(reactor, LATE_S, lambda: None)
        status, retry_after = await self.status("late")
        await stopping

        assert (status, self.started_ids) == (503, [])
        assert float(retry_after) > 0

    async def test_request_that_ends_in_time_is_served(self):
        """A request whose own deadline lies before the abort is still passed on."""
        await self.join()
        stopping = defer.ensureDeferred(self.daemons[0].stop())
        await task.deferLater(reactor, LATE_S, lambda: None)
        status, _ = await self.status("short", deadline_ms=300)
        await stopping

        assert status == 200


class TestIdleConnection(StopCase):
    """A request crossed the close of an idle connection, and got no answer."""

    async def test_request_on_an_idle_connection_is_served(self):
        """Clients use open connections until the directory has told them that it leaves."""
        await self.join()
        head = b"GET /a/x HTTP/1.1\r\nHost: " + test_entry.HOST.encode() + b"\r\n"
        request = head + b"X-Deadline-Ms: 300\r\nX-Attempt-Id: "
        client = await self.send_raw(head + b"X-Attempt-Id: first\r\n\r\n", wait_s=0.0)
        await self.wait_until(lambda: client.data.count(b"HTTP/1.1 200") == 1)
        stopping = defer.ensureDeferred(self.daemons[0].stop())
        await task.deferLater(reactor, 0.2, lambda: None)
        client.transport.write(request + b"second\r\n\r\n")
        await client.closed
        await stopping

        assert client.data.count(b"HTTP/1.1 200") == 2
        assert b"connection: close" in client.data.lower()


class TestQueuedAtTheEnd(StopCase):
    """Requests waited for a slot when the grace period ended."""

    async def test_queued_requests_are_refused_as_not_run(self):
        """They get a 503 before their connections are closed."""
        running, queued = await self.queue_requests()
        await self.daemons[0].stop()
        results = await defer.gatherResults(queued)
        await defer.gatherResults(running)

        assert [status for status, _ in results] == [503] * 3
        assert all(float(retry_after) > 0 for _, retry_after in results)
        assert not [name for name in self.started_ids if name.startswith("queued")]


class TestReadWhileClosing(StopCase):
    """A request was read and started after the time of the abort, while ports closed."""

    async def test_no_request_starts_once_the_stop_ends(self):
        """A request whose last bytes come when sockets are closed is not started."""
        await self.join()
        daemon = self.daemons[0]
        creator = protocol.ClientCreator(reactor, test_entry.RawClient)
        client = await creator.connectTCP("127.0.0.1", self.instance_ports["one"]["http"])
        head = f"GET /a/x HTTP/1.1\r\nHost: {test_entry.HOST}\r\nContent-Length: 1\r\n\r\n"
        client.transport.write(head.encode())
        await task.deferLater(reactor, 0.1, lambda: None)
        shut_down = daemon._shut_down

        async def send_the_rest():
            client.transport.write(b"x")
            await shut_down()

        daemon._shut_down = send_the_rest
        await daemon.stop()

        assert daemon._requests.in_flight == 0


class TestAbortedConnections(StopCase):
    """A connection stayed open, without an answer, until the process had ended."""

    async def test_all_connections_are_closed_when_the_stop_returns(self):
        """The reactor stops right after it, so what is open or unsent then is lost."""
        await self.join()
        self.set_behaviour(work_s=4.0)
        running = defer.ensureDeferred(self.status("running"))
        await self.wait_until(lambda: self.started_ids == ["running"])
        await self.daemons[0].stop()
        open_connections = self.daemons[0]._request_listener.open_connections
        await running

        assert open_connections == 0


class TestPipelinedRequests(StopCase):
    """Requests that servers ran got no answer, as the first response closed the connection."""

    async def send_slow(self, *works_s):
        """Send requests of some work times on one connection; return its client.

        All of them run when it returns.
        """
        await self.join()
        creator = protocol.ClientCreator(reactor, test_entry.RawClient)
        client = await creator.connectTCP("127.0.0.1", self.instance_ports["one"]["http"])
        head = f"GET /a/x HTTP/1.1\r\nHost: {test_entry.HOST}\r\nX-Deadline-Ms: 5000\r\n"
        for number, work_s in enumerate(works_s):
            self.set_behaviour(work_s=work_s)
            client.transport.write(f"{head}X-Attempt-Id: r{number}\r\n\r\n".encode())
            expected = [f"r{n}" for n in range(number + 1)]
            await self.wait_until(lambda ids=expected: self.started_ids == ids)
        return client

    def answers(self, client):
        """Return the status of each response, and whether it closes the connection."""
        found = client.data.lower().split(b"http/1.1 ")[1:]
        return [(int(data[:3]), b"connection: close" in data) for data in found]

    async def test_all_that_run_when_the_stop_begins_are_answered(self):
        """review/9: the three behind the first were broken off, with the grace period ahead."""
        client = await self.send_slow(0.3, 0.3, 0.3, 0.3)
        await self.daemons[0].stop()
        await client.closed
        assert self.answers(client) == [(200, False)] * 3 + [(200, True)]

    async def test_answers_behind_one_that_outlasts_the_grace_period(self):
        """They were ready, and were dropped with the connection at the end of the stop."""
        client = await self.send_slow(4.0, 0.3, 0.3)
        await self.daemons[0].stop()
        await client.closed
        assert self.answers(client) == [(502, False), (200, False), (200, True)]
        assert b"carobhook-run: unknown" in client.data.lower()

    async def test_changed_settings_and_limits_end_nothing(self):
        """Settings that are read again, and lower limits of a newer configuration."""
        client = await self.send_slow(0.8, 0.8)
        daemon = self.daemons[0]
        daemon.reload(daemon._settings)
        limits = {"IdleTimeout": "300ms", "HeaderTimeout": "100ms", "MaxHeaderBytes": 256}
        times = {"TargetLatency": "4s", "Timeout": "5s"}
        newer = test_entry.config(3, test_entry.route(**times), limits=limits)
        self.store.put("config", "main", newer)
        await self.wait_until(lambda: daemon._catalog.config.version == 3)
        await self.wait_until(lambda: len(self.answers(client)) == 2)
        assert self.answers(client) == [(200, False), (200, False)]
