"""Tests of carobhook.transport.request_flow: responses to clients, outcomes and log lines."""

import json

import attrs
import pytest
from twisted.internet import defer, task

from carobhook import request_trace
from carobhook.platform import requests
from carobhook.protocol import http1, slot_messages
from carobhook.state import allocation, codes, ids, routing, servers
from carobhook.transport import (
    accepted_requests,
    client_connections,
    exchange_results,
    request_flow,
    slot_client,
)

ONCE = routing.Idempotency.ONCE
REPEATABLE = routing.Idempotency.REPEATABLE


class FakeSlotAllocator:
    """Allocator whose decisions the test makes; records slot requests and outcomes."""

    def __init__(self):
        self.requests, self.outcomes, self.pending, self.rates = [], [], [], []

    def request_slot(self, request, region):
        """Record a slot request, which the test grants or refuses later."""
        decision = defer.Deferred()
        self.requests.append((request, region))
        self.pending.append(decision)
        return decision

    def grant(self, server="s1"):
        """Grant the pending slot request."""
        request = self.requests[-1][0]
        self.pending.pop().callback(
            allocation.SlotGrant(request.id, ids.Server(server), "s:1", 0.1)
        )

    def refuse(self, code=codes.Code.DEADLINE_UNMEETABLE):
        """Refuse the pending slot request."""
        request = self.requests[-1][0]
        self.pending.pop().callback(
            allocation.SlotRefusal(request.id, code, 0.7, "running=4/4")
        )

    def release_slot(self, request_id, outcome, rate=None, pace=None):
        """Record the outcome with which a slot is released, and what the server said."""
        self.outcomes.append(outcome)
        self.rates.append(rate)


class FakeServers:
    """Connections to servers whose exchanges the test completes."""

    def __init__(self):
        self.exchanges = []
        self.attempts = []
        self.is_cut = False

    async def exchange(self, attempt):
        """Wait until the test completes the exchange."""
        self.attempts.append(attempt)
        self.exchanges.append(defer.Deferred())
        return await self.exchanges[-1]

    def respond(self, status=200, body=b"body", **headers):
        """Complete the running exchange with a response."""
        raw_headers = tuple(
            (k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()
        )
        response = http1.Response(status, b"Status", raw_headers, body)
        self.exchanges.pop().callback(
            exchange_results.ReceivedResponse(response, raw_headers, False)
        )

    def fail(self, fault=exchange_results.Fault.RESET, *, is_relayed=False):
        """Fail the running exchange."""
        error = exchange_results.ExchangeError(fault, "broken", False, False, is_relayed)
        self.exchanges.pop().errback(error)

    def discard_idle(self, address):
        """Do nothing, as there are no idle connections."""


class FakeObserver:
    """Observer that quarantines no request and learns nothing."""

    def is_quarantined(self, request):
        """Return False."""
        return False

    def run_of(self, server):
        """Return a run without a start."""
        return servers.ServerRun(server)

    def attempt_lost(self, request, run, address, is_broken, sending=None):
        """Do nothing."""

    def request_answered(self, request):
        """Do nothing."""


class FlowCase:
    """A started `RequestFlow` with fakes around it."""

    def __init__(
        self,
        idempotency=REPEATABLE,
        attempts=2,
        timeout_s=1.0,
        fallback=None,
        create_allocator=lambda clock: FakeSlotAllocator(),
        observer=None,
    ):
        self.clock = task.Clock()
        self.allocator, self.servers = create_allocator(self.clock), FakeServers()
        self.responses, self.outcomes, self.finished = [], [], []
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
        accepted = accepted_requests.AcceptedRequest(
            client_connections.ClientRequest(head, b"", "10.0.0.1", 0.0),
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
            self.responses.append,
            self.outcomes.append,
            lambda: self.finished.append(True),
            observer or FakeObserver(),
        )
        self.flow.start()

    @property
    def result(self):
        """Return the status of the only response and the code of the only outcome."""
        assert len(self.responses) <= 1
        assert len(self.outcomes) == 1
        refusal = self.outcomes[0].refusal
        code = refusal.code if refusal is not None else codes.Code.OK
        return (self.responses[0].status if self.responses else 0), code


class TestLateDecision:
    """A former dispatcher decides on the first slot request while the second one waits."""

    def retried(self):
        """Return a retried request whose shard has changed its dispatcher, and the messages."""
        sent = []

        def send(to, message):
            sent.append((to, message))
            return True

        case = FlowCase(
            create_allocator=lambda clock: slot_client.SlotClient(
                clock, lambda shard: ids.InstanceId("now"), send, send, lambda: None
            )
        )
        case.allocator.handle_grant(ids.InstanceId("now"), self.grant(sent[0][1].id))
        case.servers.respond(503, X_Not_Executed="1")
        return case, sent

    def grant(self, slot_request_id):
        """Return the grant of a slot request."""
        return allocation.SlotGrant(slot_request_id, ids.Server("s1"), "s:1", 0.1)

    def test_late_grant_is_given_back(self):
        """The second send would go to the server that the first one was refused by."""
        case, sent = self.retried()
        first_id = sent[0][1].id
        case.allocator.handle_grant(ids.InstanceId("former"), self.grant(first_id))
        assert len(case.servers.attempts) == 1
        withdrawn = slot_messages.SlotRequestWithdrawn(
            first_id, ids.Region("north"), ids.Service("svc")
        )
        assert sent[-1] == (ids.InstanceId("former"), withdrawn)

    def test_late_refusal_refuses_nothing(self):
        """The second slot request is still to be decided."""
        case, sent = self.retried()
        code = codes.Code.DEADLINE_UNMEETABLE
        case.allocator.handle_refusal(allocation.SlotRefusal(sent[0][1].id, code, 1.0))
        assert case.responses == []
        case.allocator.handle_grant(ids.InstanceId("now"), self.grant(sent[-1][1].id))
        assert len(case.servers.attempts) == 2


class TestWaitingForSlot:
    """Requests that wait for a slot."""

    def test_deadline_passes_while_waiting_for_slot(self):
        """The request has not run, so the response tells the client that it may retry."""
        case = FlowCase()
        case.clock.advance(1.0)
        assert case.result == (503, codes.Code.DEADLINE_PASSED_QUEUED)
        assert case.responses[0].get("carobhook-run") == "not-run"
        assert case.responses[0].get("retry-after") is not None
        assert case.finished

    def test_client_disconnects_while_waiting_for_slot(self):
        """The request is not sent to a server, and no response is written."""
        case = FlowCase()
        case.flow.client_disconnected()
        assert case.result == (0, codes.Code.CALLER_GONE)
        assert case.finished and not case.servers.exchanges

    def test_detail_of_a_refusal_is_reported(self):
        """The outcome, which is logged, has the detail of the dispatcher's refusal."""
        case = FlowCase()
        case.allocator.refuse()
        assert case.result == (503, codes.Code.DEADLINE_UNMEETABLE)
        assert case.outcomes[0].refusal.detail == "running=4/4"

    def test_refused_shifted_request_falls_back_to_its_own_region(self):
        """A request that an order shifted runs in its own region if the other refuses it."""
        case = FlowCase(fallback="north")
        case.allocator.refuse()
        assert [region for _, region in case.allocator.requests] == ["south", "north"]
        case.allocator.grant()
        case.servers.respond()
        assert case.result == (200, codes.Code.OK)

    def test_fallback_region_is_asked_once(self):
        """A request that its own region refuses too is refused."""
        case = FlowCase(fallback="north")
        case.allocator.refuse()
        case.allocator.refuse()
        assert case.result == (503, codes.Code.DEADLINE_UNMEETABLE)

    def test_request_beyond_a_quota_asks_no_other_region(self):
        """The quota holds there too, so that the client is told at once."""
        case = FlowCase(fallback="north")
        case.allocator.refuse(codes.Code.QUOTA_EXCEEDED)
        assert case.result == (429, codes.Code.QUOTA_EXCEEDED)
        assert len(case.allocator.requests) == 1


class TestSentRequests:
    """Outcomes of requests that were sent to a server."""

    def test_timeout_of_work_that_runs_once(self, caplog):
        """The client gets a 504 at the timeout; the late response only gets a log line."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        with caplog.at_level("INFO", "carobhook"):
            case.clock.advance(1.0)
            assert case.result == (504, codes.Code.DEADLINE_PASSED_RUNNING)
            assert not case.finished
            case.servers.respond()
        assert case.result == (504, codes.Code.DEADLINE_PASSED_RUNNING)
        assert case.finished
        late = [r.fields for r in caplog.records if r.event == "work-ended-late"]
        assert [(fields["request"], fields["status"]) for fields in late] == [("id-1", 200)]

    def test_late_response_does_not_hide_the_cause(self):
        """The trace names the cause of the client's response, not the server's late success."""
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

    def test_client_disconnect_does_not_cancel_work_that_runs_once(self):
        """The request keeps running, and its slot is released only when it ends."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.flow.client_disconnected()
        assert case.result == (0, codes.Code.CALLER_GONE)
        assert not case.finished and not case.allocator.outcomes
        case.clock.advance(2.0)
        case.servers.respond()
        assert case.allocator.outcomes == [allocation.AttemptOutcome.ANSWERED]
        assert case.result == (0, codes.Code.CALLER_GONE)
        assert case.finished

    def test_broken_connection_leaves_run_status_unknown(self):
        """A request that must not run twice is not retried; its run status is unknown."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.servers.fail()
        assert case.result == (502, codes.Code.BACKEND_LOST)
        assert case.responses[0].get("carobhook-run") == "unknown"

    def test_request_shed_by_every_server_is_refused_as_not_run(self):
        """A request whose attempts were all shed is refused as not run."""
        case = FlowCase(ONCE)
        for server in ("s1", "s2"):
            case.allocator.grant(server)
            case.servers.respond(503, X_Not_Executed="1")
        assert case.result == (503, codes.Code.BACKEND_SHED)
        assert [request.avoided for request, _ in case.allocator.requests] == [
            frozenset(),
            frozenset({"s1"}),
        ]


class TestEndlessResults:
    """Work that runs once, at a server whose response never ends."""

    def test_endless_result_frees_its_slot(self):
        """After the deadline and a wait, the exchange is cancelled and the slot released."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.clock.advance(1.0)
        assert case.result == (504, codes.Code.DEADLINE_PASSED_RUNNING)
        assert case.finished == []
        case.clock.advance(5.0)
        assert case.finished == [True]
        assert case.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]

    def test_endless_result_for_a_client_that_left(self):
        """The same holds if the client has disconnected before."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.flow.client_disconnected()
        case.clock.pump([1.0, 5.0])
        assert case.finished == [True]
        assert case.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]


class TestCutInstance:
    """What an instance without paths to servers reports of them."""

    def test_broken_connection_says_nothing_of_the_server(self):
        """The server is not paused for all instances; the client gets the same answer."""
        case = FlowCase(ONCE)
        case.servers.is_cut = True
        case.allocator.grant()
        case.servers.fail()
        assert case.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]
        assert case.result == (502, codes.Code.BACKEND_LOST)

    def test_no_path_is_refused_at_once_and_not_held_against_the_server(self):
        """No second slot is requested, as it could not be used either."""
        case = FlowCase()
        case.allocator.grant()
        case.servers.fail(exchange_results.Fault.NO_PATH)
        assert case.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]
        assert case.result == (503, codes.Code.NO_BACKEND)
        assert len(case.allocator.requests) == 1

    def test_relayed_response_tells_no_work_time(self):
        """The dispatcher learns that the server answered, and not how long it took."""
        case = FlowCase()
        case.allocator.grant()
        response = http1.Response(200, b"OK", (), b"body")
        case.servers.exchanges.pop().callback(
            exchange_results.ReceivedResponse(response, (), False, is_relayed=True)
        )
        assert case.allocator.outcomes == [allocation.AttemptOutcome.RELAYED]
        assert case.result == (200, codes.Code.OK)

    def test_failure_at_a_relaying_instance_says_nothing_of_the_server(self):
        """That instance may be cut; the client learns that the request may have run."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.servers.fail(is_relayed=True)
        assert case.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]
        assert case.result == (502, codes.Code.BACKEND_LOST)

    def test_no_relay_is_held_against_nobody(self):
        """The request was not sent, and tries other servers, to which there may be a path."""
        case = FlowCase(ONCE)
        for _ in range(5):
            case.allocator.grant()
            case.servers.fail(exchange_results.Fault.NO_RELAY)
        assert case.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED] * 5
        assert case.result == (503, codes.Code.NO_BACKEND)

    def test_request_on_a_broken_path_holds_no_slot(self):
        """It waits for its response, and others get the slot meanwhile."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.servers.attempts[0].on_silence()
        assert case.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]
        assert case.responses == []
        case.servers.respond()
        assert case.result == (200, codes.Code.OK)


class TestPromiseThatNobodyMade:
    """A server's 503, 408 or 429 was passed on, and the request had run (issue 49)."""

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_request_that_runs_once(self, status):
        """Only the header that says so makes it a promise; the client would send it again."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.servers.respond(status)
        assert case.result == (502, codes.Code.BACKEND_LOST)
        assert len(case.allocator.requests) == 1

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_server_that_says_so(self, status):
        """The request did not run, and goes to another server."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.servers.respond(status, X_Not_Executed="1")
        assert case.responses == []
        assert len(case.allocator.requests) == 2

    @pytest.mark.parametrize("status", [408, 429])
    def test_request_that_may_run_again(self, status):
        """Its client may send it again anyway, and gets the server's own response."""
        case = FlowCase()
        case.allocator.grant()
        case.servers.respond(status)
        assert [response.status for response in case.responses] == [status]

    def test_server_failure_is_still_forwarded(self):
        """Other statuses promise nothing."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.servers.respond(500)
        assert [response.status for response in case.responses] == [500]


class TestKeptFailures:
    """A server's failure response is kept while the request is sent again."""

    @pytest.mark.parametrize(("size", "status"), [(64 * 1024, 500), (64 * 1024 + 1, 502)])
    def test_large_response_is_not_kept(self, size, status):
        """Large ones of many requests were bounded by nothing."""
        case = FlowCase()
        case.allocator.grant()
        case.servers.respond(500, b"x" * size)
        case.allocator.refuse()
        assert [response.status for response in case.responses] == [status]


class TestPipelinedRequests:
    """Requests that were started before those ahead of them were answered."""

    @pytest.mark.parametrize("is_pipelined", [True, False])
    def test_route_that_runs_once_now(self, is_pipelined):
        """A pipelined request would run as one that its client has to send again."""
        case = FlowCase()
        flow, accepted = case.flow, case.flow._accepted
        flow._accepted = attrs.evolve(
            accepted, request=attrs.evolve(accepted.request, is_pipelined=is_pipelined)
        )
        once = attrs.evolve(accepted.route, idempotency=ONCE)
        flow._reroute = lambda before: attrs.evolve(before, route=once)
        flow._apply_configuration()
        assert flow._accepted.route.repeatable is is_pipelined


class TestAnsweredBeforeItIsSent:
    """A request that still waited for a connection was sent after its answer (issue 49)."""

    def test_deadline(self):
        """The client was told that its time is over."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        assert case.servers.attempts[0].may_send()
        case.clock.advance(1.0)
        assert [response.status for response in case.responses] == [504]
        assert not case.servers.attempts[0].may_send()

    def test_client_that_left(self):
        """Nobody waits for it."""
        case = FlowCase(ONCE)
        case.allocator.grant()
        case.flow.client_disconnected()
        assert not case.servers.attempts[0].may_send()
        case.servers.fail(exchange_results.Fault.WITHDRAWN)
        assert case.finished == [True]
        assert case.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]
