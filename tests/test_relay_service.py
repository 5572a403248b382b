"""Tests of carobhook.transport.relay_service: requests of other instances."""

import attrs
import pytest
from twisted.internet import defer

from carobhook.coordination import catalog
from carobhook.protocol import http1, relay_messages
from carobhook.state import allocation, ids, servers
from carobhook.transport import exchange_results, relay_service

Outcome = relay_messages.RelayOutcome
Fault = exchange_results.Fault
ENTRY = servers.ServerEntry(
    ids.Server("s"),
    ids.Service("svc"),
    ids.FailureDomain("north-a"),
    "s:1",
    4,
    servers.ServerState.READY,
    0.0,
)
REQUEST = relay_messages.RelayRequest(
    ids.Server("s"), "s:1", "id-1", True, b"POST", b"/x", ((b"Host", b"h"),), b"body"
)


class Relay:
    """A relay service whose exchanges the test completes."""

    def __init__(self, can_relay=True, max_body_bytes=1000):
        self.catalog = catalog.Catalog()
        self.catalog.put(ENTRY, 0.0)
        self.exchanges, self.answers, self.cancelled = [], [], []
        self.failures = []
        self.quarantined, self.questions = set(), []
        self.service = relay_service.RelayService(
            self,
            lambda server, address: self.catalog.is_usable(server),
            lambda: can_relay,
            lambda response, _: allocation.ResponseMatch.NAMED,
            self.catalog.run_of,
            lambda run, response: None,
            max_body_bytes,
            self.failures.append,
            self.is_quarantined,
        )

    def is_quarantined(self, sender, fingerprint):
        """Return whether the test quarantines a request."""
        self.questions.append((sender, fingerprint))
        return fingerprint in self.quarantined

    async def exchange_for_other(self, attempt):
        """Wait until the test completes the exchange, unless it may not be sent."""
        address = attempt.address
        if not attempt.may_send():
            raise exchange_results.ExchangeError(Fault.WITHDRAWN, "not sent", False, False)
        self.exchanges.append(defer.Deferred(lambda _: self.cancelled.append(address)))
        return await self.exchanges[-1]

    def send(self, request=REQUEST):
        """Relay a request."""
        return self.service.handle(ids.InstanceId("one"), request, self.answers.append)

    @property
    def outcomes(self):
        """Return the outcomes of all answers."""
        return [answer.outcome for answer in self.answers]


class TestRelayService:
    """What an instance does with the requests of another one."""

    def test_response_is_passed_on(self):
        """Status, headers and body are the server's."""
        relay = Relay()
        relay.send()
        response = http1.Response(200, b"OK", ((b"A", b"b"),), b"served")
        relay.exchanges[0].callback(exchange_results.ReceivedResponse(response, (), False))
        assert relay.answers == [
            relay_messages.RelayResponse(
                Outcome.RESPONDED,
                "",
                200,
                b"OK",
                ((b"A", b"b"),),
                b"served",
                is_identified=True,
            )
        ]
        assert relay.service.in_flight == 0

    @pytest.mark.parametrize(
        ("fault", "outcome"),
        [
            (Fault.CONNECT, Outcome.UNREACHED),
            (Fault.NO_PATH, Outcome.BUSY),
            (Fault.RESET, Outcome.RESET),
            (Fault.CUT_SHORT, Outcome.CUT_SHORT),
            (Fault.GARBLED, Outcome.GARBLED),
        ],
    )
    def test_failed_exchange(self, fault, outcome):
        """The sender learns whether the request may have run."""
        relay = Relay()
        relay.send()
        relay.exchanges[0].errback(exchange_results.ExchangeError(fault, "", False, False))
        assert relay.outcomes == [outcome]

    def test_unexpected_error_leaves_open_whether_it_ran(self):
        """The sender gets an answer, and the error is counted."""
        relay = Relay()
        relay.send()
        relay.exchanges[0].errback(ZeroDivisionError("error"))
        assert relay.outcomes == [Outcome.RESET]
        assert len(relay.failures) == 1

    def test_draining_server_gets_nothing(self):
        """The relaying instance may know of a change of which the sender has not heard."""
        relay = Relay()
        relay.catalog.remove(ENTRY.name, 0.0)
        relay.send()
        assert relay.outcomes == [Outcome.WITHDRAWN]
        assert relay.exchanges == []

    def test_instance_that_is_cut_itself_takes_none(self):
        """There is no second hop."""
        relay = Relay(can_relay=False)
        relay.send()
        assert relay.outcomes == [Outcome.BUSY]

    def test_bodies_are_bounded(self):
        """Requests of others must not use up the memory."""
        relay = Relay(max_body_bytes=6)
        relay.send()
        relay.send()
        assert relay.outcomes == [Outcome.BUSY]
        assert relay.service.in_flight == 1

    def test_number_of_requests_is_bounded(self):
        """Nor may they use up the descriptors."""
        relay = Relay(max_body_bytes=10**6)
        for _ in range(300):
            relay.send()
        assert relay.service.in_flight == 256
        assert relay.outcomes == [Outcome.BUSY] * 44

    def test_cancelled_request_is_cancelled_at_the_server(self):
        """The sender's client has left."""
        relay = Relay()
        running = relay.send()
        running.cancel()
        assert relay.cancelled == ["s:1"]
        assert relay.service.in_flight == 0
        assert relay.answers == []


class TestQuarantinedRequest:
    """The relaying instance knows marks of which the cut one has not heard."""

    NAMED = attrs.evolve(REQUEST, fingerprint=b"fatal")

    def test_request_known_here_is_not_sent(self):
        """It ended three servers more through each instance that relayed it."""
        relay = Relay()
        relay.quarantined = {b"fatal"}
        relay.send(self.NAMED)
        assert relay.outcomes == [Outcome.WITHDRAWN]
        assert relay.exchanges == []
        assert relay.questions == [("one", b"fatal")]

    def test_mark_that_comes_before_the_send_counts(self):
        """The connection to the server may take long to open."""
        relay = Relay()
        attempt = relay.service._attempt(ids.InstanceId("one"), self.NAMED)
        assert attempt.may_send()
        relay.quarantined = {b"fatal"}
        assert not attempt.may_send()

    def test_other_requests_are_relayed(self):
        """The marks of one request say nothing about another."""
        relay = Relay()
        relay.quarantined = {b"other"}
        relay.send(self.NAMED)
        assert len(relay.exchanges) == 1

    def test_request_of_an_older_build_is_relayed(self):
        """It has no fingerprint, which is no fingerprint of a request."""
        relay = Relay()
        relay.quarantined = {b""}
        relay.send()
        assert len(relay.exchanges) == 1
