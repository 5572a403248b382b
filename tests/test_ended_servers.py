"""A request that ends the servers that run it was sent on and on (issue 30)."""

from twisted.internet import defer, reactor, task

import test_entry
from carobhook import logs
from carobhook.coordination import poison
from carobhook.protocol import mark_codec
from carobhook.state import members

FATAL = "/u/fatal"
FATAL_SAFE = "/a/fatal"


class EndedServersCase(test_entry.EntryCase):
    """Base class of tests with a request that ends its servers."""

    timeout = 60
    server_count = 8

    @property
    def ends(self):
        """Return the number of servers that a request has ended."""
        return sum(len(backend.ends) for backend in self.backends.values())

    def make_fatal(self, target=FATAL, **fields):
        """Let requests for a target end their servers."""
        self.set_behaviour(fatal_target=target.encode(), **fields)

    async def pause(self, seconds):
        """Wait for some seconds."""
        await task.deferLater(reactor, seconds, lambda: None)

    async def send(self, count, target=FATAL, instance="one", pause_s=0.6):
        """Send a request several times; return the statuses of its responses."""
        statuses = []
        for _ in range(count):
            response = await self.request(target, b"POST", b"bad", instance=instance)
            statuses.append(response.status)
            await self.pause(pause_s)
        return statuses

    async def start_second(self):
        """Start a second instance, which knows the first; wait until it is ready."""
        self.daemons.append(await self.start_instance("two", ("one",)))
        await self.wait_until(lambda: self.daemons[1].phase is members.Phase.READY)
        await self.wait_until(
            lambda: len(self.daemons[0]._streams.membership.serving(reactor.seconds())) == 2
        )


class TestFailureResponse(EndedServersCase):
    """A server's own failure response cleared the marks of the request."""

    async def test_failure_between_the_ends_proves_nothing(self):
        """The request is refused after the third end, although it got a 500 before that."""
        self.make_fatal()
        assert await self.send(2) == [502, 502]
        self.set_behaviour(status=500)
        assert await self.send(1) == [500]
        self.make_fatal()
        assert await self.send(4) == [502, 503, 503, 503]
        assert self.ends == poison.MARK_LIMIT


class TestRefusalBeforeTheRun(EndedServersCase):
    """A response that a server gives before it runs a request cleared the marks."""

    async def test_status_that_shows_no_run_proves_nothing(self):
        """A server finds the same body too large between the second end and the third."""
        self.make_fatal()
        assert await self.send(2) == [502, 502]
        self.set_behaviour(status=413)
        assert await self.send(1) == [413]
        self.make_fatal()
        assert await self.send(4) == [502, 503, 503, 503]
        assert self.ends == poison.MARK_LIMIT

    async def test_result_of_the_work_clears(self):
        """An innocent request is not refused because its object is missing."""
        self.make_fatal()
        assert await self.send(2) == [502, 502]
        self.set_behaviour(status=404)
        assert await self.send(1) == [404]
        self.make_fatal()
        assert await self.send(1) == [502]
        self.set_behaviour()
        assert await self.send(1) == [200]


class TestLateInstance(EndedServersCase):
    """An instance that started later knew no marks."""

    async def test_started_instance_refuses_at_once(self):
        """The marks reach it when it joins."""
        self.make_fatal()
        await self.send(3)
        await self.start_second()
        await self.pause(1.0)
        assert await self.send(2, instance="two") == [503, 503]
        assert self.ends == poison.MARK_LIMIT


class TestDepartedClient(EndedServersCase):
    """A request whose client had left was not held against it."""

    async def test_end_after_the_client_has_left_counts(self):
        """The servers end 0.3 s after the client of a repeatable request has gone."""
        self.make_fatal(FATAL_SAFE, work_s=0.6, down_s=3.0)
        head = f"GET {FATAL_SAFE} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: c%d\r\n\r\n"
        for number in range(8):
            client = await self.send_raw((head % number).encode(), wait_s=0.3)
            client.transport.abortConnection()
            await self.pause(1.6)
        assert self.ends == poison.MARK_LIMIT


class TestWaitingCopies(EndedServersCase):
    """Copies that waited when the request became known were sent all the same."""

    server_count = 3

    async def test_waiting_copy_is_refused(self):
        """Twelve copies at once: those that wait at the third end reach no server any more."""
        self.make_fatal(work_s=0.4, down_s=1.0)
        for name in self.backends:
            self.register(name, slots=1)
        patient = test_entry.route("/u/", "unsafe", Timeout="8s", TargetLatency="7s")
        self.store.put("config", "main", test_entry.config(2, patient))
        await self.pause(0.8)
        waiting = [
            self.request(FATAL, b"POST", b"bad", X_Attempt_Id=str(number), X_Deadline_Ms="8000")
            for number in range(12)
        ]
        responses = await defer.gatherResults([defer.ensureDeferred(w) for w in waiting])
        third_end = sorted(at for b in self.backends.values() for at in b.ends)[2]
        starts = [at for backend in self.backends.values() for _, at in backend.starts]
        late_starts = [at - third_end for at in starts if at > third_end + 0.2]
        assert late_starts == []
        statuses = sorted(response.status for response in responses)
        assert statuses == [502] * self.ends + [503] * (12 - self.ends)


class TestInnocentRequest(EndedServersCase):
    """Connections that broke at servers which went on running were held against a request."""

    async def test_resets_of_running_servers_quarantine_nothing(self):
        """Five resets of the connection alone, and the request is still served after them."""
        self.set_behaviour(reset=True)
        assert await self.send(5) == [502] * 5
        self.set_behaviour()
        assert await self.send(1) == [200]


class TestRestartOfAllInstances(EndedServersCase):
    """The marks were forgotten when all instances ended at once."""

    async def restart(self):
        """End the only instance, and start it anew."""
        await self.daemons.pop().stop()
        self.daemons.append(await self.start_instance("one"))
        await self.wait_until(lambda: self.daemons[0].phase is members.Phase.READY)

    async def test_marks_outlast_the_instances(self):
        """An instance that starts alone finds the marks in the store."""
        self.make_fatal()
        await self.send(3)
        await self.restart()
        await self.pause(0.5)
        assert await self.send(2) == [503, 503]
        assert self.ends == poison.MARK_LIMIT

    async def test_marks_of_the_last_seconds_outlast_all_instances(self):
        """review/10: they were listed by a stale read, and known a minute later."""
        self.store.mode.stale_s = 5.0
        self.make_fatal()
        await self.send(3)
        await self.wait_until(lambda: len(self.stored_marks()) == 3)
        await self.restart()
        await self.pause(1.0)
        assert await self.send(2) == [503, 503]
        assert self.ends == poison.MARK_LIMIT

    async def test_marks_outlast_an_older_copy_of_the_store_and_all_instances(self):
        """What the copy lacks was taken for cleared, and nobody wrote it again."""
        saved = self.store.save()
        self.make_fatal()
        await self.send(3)
        await self.wait_until(lambda: len(self.stored_marks()) == 3)
        self.store.restore(saved)
        assert self.stored_marks() == []
        await self.wait_until(lambda: len(self.stored_marks()) == 3)
        assert await self.send(1) == [503]
        await self.restart()
        await self.pause(1.0)
        assert await self.send(2) == [503, 503]
        assert self.ends == poison.MARK_LIMIT

    async def test_served_request_leaves_no_mark_in_the_store(self):
        """A response without a failure deletes the marks there too."""
        self.make_fatal()
        await self.send(2)
        assert len(self.stored_marks()) == 2
        self.set_behaviour()
        assert await self.send(1) == [200]
        await self.wait_until(lambda: not self.stored_marks())

    def stored_marks(self):
        """Return the objects of the store that hold marks."""
        return self.store.names(mark_codec.STORE_KIND)


class TestLogOfMarks(EndedServersCase):
    """The log did not tell why a request was not refused any more."""

    async def test_removal_names_its_source(self):
        """A server that answers the request clears its marks."""
        lines = []
        self.patch(logs, "event", lambda name, **fields: lines.append((name, fields)))
        self.make_fatal()
        await self.send(1)
        self.set_behaviour()
        assert await self.send(1) == [200]
        removed = [fields for name, fields in lines if name == "marks-removed"]
        assert [(fields["source"], fields["marks"]) for fields in removed] == [("answered", 1)]

    async def test_attempt_without_a_mark_names_its_reason(self):
        """A connection was reset, and its server goes on."""
        lines = []
        self.patch(logs, "event", lambda name, **fields: lines.append((name, fields)))
        self.set_behaviour(reset=True)
        assert await self.send(1, pause_s=0.0) == [502]
        self.set_behaviour()
        await self.wait_until(lambda: "attempt-settled" in [name for name, _ in lines])
        fields = dict(lines)["attempt-settled"]
        assert (fields["request"], fields["reason"].value) == ("attempt", "alive")
        assert fields["server"] in self.backends
