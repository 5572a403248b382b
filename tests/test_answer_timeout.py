"""Tests of carobhook.transport.answer_timeout."""

import json

from twisted.internet import defer, task, testing

import test_mixed_builds
from carobhook.coordination import objects
from carobhook.platform import store
from carobhook.transport import answer_timeout


class TestAnswerTimeout:
    """When a call is ended."""

    def setup_method(self):
        """Begin a call that may take two seconds."""
        self.clock = task.Clock()
        self.ended_at = []
        self.timeout = answer_timeout.AnswerTimeout(self.clock, 2.0)
        self.timeout.start(lambda: self.ended_at.append(self.clock.seconds()))

    def receive(self, first_at, last_at):
        """Receive a part of the answer eight times a second, then run on."""
        for _ in range(160):
            self.clock.advance(0.125)
            if first_at <= self.clock.seconds() <= last_at:
                self.timeout.record_data()

    def test_call_without_an_answer_ends_in_time(self):
        """Nothing prolongs it."""
        self.receive(99, 99)
        assert self.ended_at == [2.0]

    def test_answer_that_stalled_early_does_not_prolong_the_call(self):
        """It has the time that the whole answer has."""
        self.receive(0.25, 1.0)
        assert self.ended_at == [2.0]

    def test_answer_that_is_arriving_is_not_given_up(self):
        """The call ends half a second after its last part."""
        self.receive(0.5, 4.0)
        assert self.ended_at == [4.5]

    def test_answer_without_end_is_given_up(self):
        """It has five seconds more."""
        self.receive(0.5, 99)
        assert self.ended_at == [7.0]

    def test_stopped_timeout_ends_nothing(self):
        """The answer is complete."""
        assert self.timeout.is_running
        self.timeout.stop()
        self.receive(0.5, 99)
        assert self.ended_at == []
        assert not self.timeout.is_running


class TestLargeAnswerOfTheStore:
    """A configuration that takes longer on the link than a call may take."""

    def setup_method(self):
        """List configurations, and open the connection of the call."""
        self.reactor = testing.MemoryReactorClock()
        calls = store.PlatformStore(self.reactor, "10.0.0.1:80", 1.5)
        self.listed, self.failed = [], []
        listing = defer.ensureDeferred(calls.list("config"))
        listing.addCallbacks(self.listed.append, lambda reason: self.failed.append(reason.type))
        self.connection = self.reactor.tcpClients[0][2].buildProtocol(None)
        self.connection.makeConnection(test_mixed_builds.Transport())
        self.reactor.advance(0)

    def send_answer(self, bytes_per_s):
        """Send the answer in steps of 0.1 s."""
        item = {"Metadata": {"Name": "main", "Revision": 7}, "Spec": {"Routes": "r" * 900_000}}
        body = json.dumps({"items": [item], "More": False, "CurrentRev": 7}).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        step = bytes_per_s // 10
        for start in range(0, len(answer), step):
            if self.failed:
                return
            self.reactor.advance(0.1)
            self.connection.dataReceived(answer[start : start + step])

    def test_answer_on_a_slow_link_is_received(self):
        """On 5 Mbit/s it takes as long as the call may, on 2.5 Mbit/s twice as long."""
        self.send_answer(312_500)
        assert [listing.revision for listing in self.listed] == [7]

    def test_answer_that_never_ends_is_given_up(self):
        """On a link that carries next to nothing."""
        self.send_answer(1_000)
        assert self.failed == [objects.UnavailableError]
