"""Tests of carobhook.transport.request_flow: what clients and logs are told of each end."""

import json

from twisted.internet import defer, task

from carobhook import request_trace
from carobhook.platform import requests
from carobhook.protocol import http1
from carobhook.state import allocation, codes, ids, routing
from carobhook.transport import client_connections, request_flow, server_connections

ONCE = routing.Idempotency.ONCE
REPEATABLE = routing.Idempotency.REPEATABLE


class SlotAllocator:
    """Grants or refuses as a test says; keeps what it was asked and told."""

    def __init__(self):
        self.asked, self.ends, self.waiting = [], [], []

    def request_slot(self, ask, region):
        """Take an ask in; the test answers it."""
        answered = defer.Deferred()
        self.asked.append((ask, region))
        self.waiting.append(answered)
        return answered

    def grant(self, server="s1"):
        """Grant the ask that waits."""
        ask = self.asked[-1][0]
        self.waiting.pop().callback(
            allocation.SlotGrant(ask.id, ids.Server(server), "s:1", 0.1)
        )

    def refuse(self, code=codes.Code.DEADLINE_UNMEETABLE):
        """Refuse the ask that waits."""
        ask = self.asked[-1][0]
        self.waiting.pop().callback(allocation.SlotRefusal(ask.id, code, 0.7, "running=4/4"))

    def release_slot(self, ask_id, end):
        """Take a slot back."""
        self.ends.append(end)


class Servers:
    """Exchanges that the test ends."""

    def __init__(self):
        self.running = []

    async def exchange(self, address, head, body, careful, belongs):
        """Wait until the test ends the exchange."""
        self.running.append(defer.Deferred())
        return await self.running[-1]

    def answer(self, status=200, **headers):
        """Answer the exchange that runs."""
        told = tuple((k.replace("_", "-").encode(), v.encode()) for k, v in headers.items())
        answer = http1.Response(status, b"Status", told, b"body")
        self.running.pop().callback(server_connections.Received(answer, told, False))

    def fail(self, fault=server_connections.Fault.RESET):
        """Break the exchange that runs."""
        problem = server_connections.ExchangeError(fault, "broken", False, False)
        self.running.pop().errback(problem)

    def distrust(self, address):
        """Forget idle connections."""


class Case:
    """One request on its way."""

    def __init__(self, idempotency=REPEATABLE, attempts=2, timeout_s=1.0, fallback=None):
        self.clock = task.Clock()
        self.allocator, self.servers = SlotAllocator(), Servers()
        self.answers, self.outcomes, self.over = [], [], []
        route = routing.Route(
            "r",
            "h",
            "/",
            idempotency,
            timeout_s,
            0.5,
            1,
            (routing.WeightedService(ids.Service("svc"), 1),),
            attempts,
            False,
        )
        head = http1.RequestHead(b"GET", b"/x", ((b"X-Attempt-Id", b"id-1"),))
        accepted = request_flow.Accepted(
            client_connections.Inbound(head, b"", "10.0.0.1", 0.0),
            ids.RequestId("one-1"),
            "id-1",
            route,
            ids.Service("svc"),
            ids.Region("south" if fallback else "north"),
            ids.Region(fallback) if fallback else None,
            1,
            None,
            0.5,
            timeout_s,
            1,
        )
        self.flow = request_flow.RequestFlow(
            self.clock,
            accepted,
            self.allocator,
            self.servers,
            requests.ServerCodec(),
            self.answers.append,
            self.outcomes.append,
            lambda: self.over.append(True),
        )
        self.flow.start()

    @property
    def told(self):
        """Return status and code of the one answer and the one outcome."""
        assert len(self.answers) <= 1
        assert len(self.outcomes) == 1
        refusal = self.outcomes[0].refusal
        code = refusal.code if refusal is not None else codes.Code.OK
        return (self.answers[0].status if self.answers else 0), code


class TestWaiting:
    """Requests without a slot."""

    def test_deadline_while_it_waits(self):
        """It has not run, so the client may come back."""
        one = Case()
        one.clock.advance(1.0)
        assert one.told == (503, codes.Code.DEADLINE_PASSED_QUEUED)
        assert one.answers[0].get("carobhook-run") == "not-run"
        assert one.answers[0].get("retry-after") is not None
        assert one.over

    def test_client_that_leaves_while_it_waits(self):
        """Nothing is sent, and nobody is answered."""
        one = Case()
        one.flow.client_gone()
        assert one.told == (0, codes.Code.CALLER_GONE)
        assert one.over and not one.servers.running

    def test_refusal_says_what_it_was_decided_from(self):
        """The dispatcher's reason reaches the log."""
        one = Case()
        one.allocator.refuse()
        assert one.told == (503, codes.Code.DEADLINE_UNMEETABLE)
        assert one.outcomes[0].refusal.detail == "running=4/4"

    def test_what_was_shifted_and_is_refused_is_served_at_home(self):
        """An order never loses a request that its own region can serve."""
        one = Case(fallback="north")
        one.allocator.refuse()
        assert [region for _, region in one.allocator.asked] == ["south", "north"]
        one.allocator.grant()
        one.servers.answer()
        assert one.told == (200, codes.Code.OK)

    def test_home_is_asked_once(self):
        """What home refuses too is refused."""
        one = Case(fallback="north")
        one.allocator.refuse()
        one.allocator.refuse()
        assert one.told == (503, codes.Code.DEADLINE_UNMEETABLE)


class TestEnds:
    """Requests that were sent."""

    def test_timeout_of_work_that_runs_once(self, caplog):
        """The client is told at the timeout; the late answer is another line."""
        one = Case(ONCE)
        one.allocator.grant()
        with caplog.at_level("INFO", "carobhook"):
            one.clock.advance(1.0)
            assert one.told == (504, codes.Code.DEADLINE_PASSED_RUNNING)
            assert not one.over
            one.servers.answer()
        assert one.told == (504, codes.Code.DEADLINE_PASSED_RUNNING)
        assert one.over
        late = [r.fields for r in caplog.records if r.event == "work-ended-late"]
        assert [(fields["request"], fields["status"]) for fields in late] == [("id-1", 200)]

    def test_late_answer_does_not_hide_the_cause(self):
        """The cause found from the lines is the one that the client saw."""
        lines = [
            {"time": "1", "event": "request-ended", "request": "a", "status": 504,
             "code": 1021, "sends": 1, "server": "s1", "total_ms": 1000.0},
            {"time": "2", "event": "work-ended-late", "request": "a", "status": 200,
             "server": "s1", "total_ms": 1400.0},
        ]  # fmt: skip
        trace = request_trace.collect_traces(json.dumps(line) for line in lines)["a"]
        assert trace.failed
        assert trace.code is codes.Code.DEADLINE_PASSED_RUNNING
        assert "s1" in trace.cause and "1400.0 ms" in trace.cause

    def test_client_that_leaves_work_that_runs_once(self):
        """The work goes on, and its slot is held until its end."""
        one = Case(ONCE)
        one.allocator.grant()
        one.flow.client_gone()
        assert one.told == (0, codes.Code.CALLER_GONE)
        assert not one.over and not one.allocator.ends
        one.clock.advance(2.0)
        one.servers.answer()
        assert one.allocator.ends == [allocation.AttemptOutcome.ANSWERED]
        assert one.told == (0, codes.Code.CALLER_GONE)
        assert one.over

    def test_broken_connection(self):
        """What may run once is not sent again, and nobody claims that it did not run."""
        one = Case(ONCE)
        one.allocator.grant()
        one.servers.fail()
        assert one.told == (502, codes.Code.BACKEND_LOST)
        assert one.answers[0].get("carobhook-run") == "unknown"

    def test_shed_by_every_server(self):
        """A request that no server ran is refused as not run."""
        one = Case(ONCE)
        for server in ("s1", "s2"):
            one.allocator.grant(server)
            one.servers.answer(503, X_Not_Executed="1")
        assert one.told == (503, codes.Code.BACKEND_SHED)
        assert [ask.avoided for ask, _ in one.allocator.asked] == [
            frozenset(),
            frozenset({"s1"}),
        ]
