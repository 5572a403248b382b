"""Failed requests of a real instance, each explained from its log lines alone."""

import logging
import re

from twisted.internet import defer, reactor, task

import test_entry
from carobhook import logs, request_trace, settings
from carobhook.coordination import poison
from carobhook.state import codes


class Lines(logging.Handler):
    """Keeps the lines as they are written."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        """Keep a line."""
        self.lines.append(self.format(record))


class TestCauses(test_entry.EntryCase):
    """Each way in which a request can fail, and the cause that its lines name."""

    async def setUp(self):
        """Keep the log of a running instance."""
        self.log = Lines()
        logs.setup_handler(settings.LogSettings(form="json"), self.log, "one")
        self.addCleanup(logging.getLogger().removeHandler, self.log)
        await super().setUp()

    def trace(self, request):
        """Return what the lines tell of a request."""
        found = request_trace.collect_traces(self.log.lines)
        assert request in found, request
        return found[request]

    def check(self, request, code, *words):
        """Check the code and the cause of a failed request."""
        trace = self.trace(request)
        assert trace.code is code, (trace.code, trace.cause)
        assert trace.failed
        assert code.value.text in trace.cause
        for word in words:
            assert word in trace.cause, trace.cause

    async def test_no_route(self):
        """1054 names the host and path."""
        await self.request("/nowhere/", X_Attempt_Id="a")
        self.check("a", codes.Code.NO_ROUTE, "/nowhere/")

    async def test_bad_header(self):
        """1002 names the value."""
        answer = await self.request(X_Attempt_Id="a", X_Deadline_Ms="soon")
        assert answer.status == 400
        self.check("a", codes.Code.BAD_REQUEST, "soon")

    async def test_no_configuration(self):
        """1051, while nothing is known yet."""
        self.store.remove("config", "main")
        self.daemons.append(await self.start_instance("two"))
        await self.request(X_Attempt_Id="a", instance="two")
        self.check("a", codes.Code.NO_CONFIG)

    async def test_no_server(self):
        """1010 tells that no server is known."""
        for name in self.backends:
            self.register(name, state="draining")
        known = self.daemons[0]._known
        await self.wait_until(lambda: not known.servers(reactor.seconds()))
        await self.request(X_Attempt_Id="a")
        self.check("a", codes.Code.NO_BACKEND, "servers=0")

    async def test_no_room(self):
        """1012 tells how many ran and waited."""
        self.set_behaviour(work_s=1.2)
        running = [
            defer.ensureDeferred(self.request(X_Attempt_Id=f"r{number}"))
            for number in range(40)
        ]
        await defer.gatherResults(running)
        traces = [self.trace(f"r{number}") for number in range(40)]
        refused = [t for t in traces if t.code is codes.Code.DEADLINE_UNMEETABLE]
        assert refused
        self.check(refused[0].request, codes.Code.DEADLINE_UNMEETABLE, "waiting=")
        # How many slots there are depends on what is lent to the other region just then.
        running = re.search(r"running=(\d+)/(\d+)", self.trace(refused[0].request).cause)
        assert running is not None
        assert running[1] == running[2]

    async def test_shed(self):
        """1014 after every attempt was shed."""
        self.set_behaviour(shed=True)
        await self.request(X_Attempt_Id="a")
        self.check("a", codes.Code.BACKEND_SHED, "2 sends")

    async def test_server_breaks(self):
        """1020 names the server and what its connection did."""
        self.set_behaviour(reset=True)
        await self.request("/u/x", method=b"POST", X_Attempt_Id="a")
        self.check("a", codes.Code.BACKEND_LOST, "i-", "reset")

    async def test_timeout(self):
        """1021 of work that runs on tells what came of it."""
        self.set_behaviour(work_s=1.8)
        await self.request("/u/x", method=b"POST", X_Attempt_Id="a")
        await self.wait_until(lambda: any("work-ended-late" in line for line in self.log.lines))
        self.check("a", codes.Code.DEADLINE_PASSED_RUNNING, "1 sends", "with status 200")

    async def test_client_leaves(self):
        """1019, whether it waited or ran."""
        self.set_behaviour(work_s=1.0)
        head = "GET /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\r\n"
        client = await self.send_raw(head.encode(), wait_s=0.2)
        client.transport.abortConnection()
        await self.wait_until(lambda: any('"request": "a"' in line for line in self.log.lines))
        self.check("a", codes.Code.CALLER_GONE)

    async def test_poison(self):
        """1030, with the marks before it."""
        self.set_behaviour(reset=True)
        for number in range(poison.MARK_LIMIT):
            await self.request("/u/x", method=b"POST", X_Attempt_Id=f"p{number}")
            await task.deferLater(reactor, 1.0, lambda: None)
        await self.request("/u/x", method=b"POST", X_Attempt_Id="a")
        self.check("a", codes.Code.POISONED)
        assert sum("request-marked" in line for line in self.log.lines) >= 3

    async def test_repeats_used_up(self):
        """1052, when the service's share of repeats is gone."""
        budget = (
            self.daemons[0]
            ._allocator._dispatchers.get_or_create(("north", "svc"))
            .dispatcher.retry_budget
        )
        for _ in range(200):
            budget.try_consume(reactor.seconds())
        self.set_behaviour(status=500)
        answer = await self.request(X_Attempt_Id="a")
        trace = self.trace("a")
        assert answer.status == 500
        assert trace.failed
        assert any(line.event == "request-retried" for line in trace.lines)
