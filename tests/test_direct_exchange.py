"""Tests of carobhook.transport.direct_exchange: which paths get requests."""

import random

import pytest
from twisted.internet import defer, task

from carobhook.protocol import http1, path_messages
from carobhook.state import ids
from carobhook.transport import direct_exchange, exchange_results

Fault = exchange_results.Fault
Reach = path_messages.Reach
HEAD = http1.RequestHead(b"GET", b"/x", ())
RESPONSE = exchange_results.ReceivedResponse(http1.Response(200, b"OK", (), b""), (), False)


class Connections:
    """Hands the calls of an exchange to the test's paths."""

    def __init__(self, paths):
        self.exchange = paths.answer
        self.has_fresh = paths.has_fresh
        self.probe_response = paths.probe_response


class Paths:
    """An instance whose servers the test lets work or not, by address."""

    def __init__(self, *working):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.working = set(working)
        self.sent, self.probed, self.asked = [], [], []
        self.fault = Fault.CONNECT
        self.others = Reach.REACHED
        self.pending = None
        self.exchange = direct_exchange.DirectExchange(
            self.clock,
            random.Random(1),
            Connections(self),
            direct_exchange.KnownServers(lambda: 4, lambda: list("abcd"), lambda address: HEAD),
            self.reach_of_others,
            lambda reason: None,
        )

    async def answer(self, address, head, body, require_fresh, identification, may_send, **_):
        """Answer a request, or fail it."""
        self.sent.append(address)
        if self.pending is not None:
            return await self.pending
        if address not in self.working:
            raise exchange_results.ExchangeError(self.fault, "cut", False, False)
        return RESPONSE

    def has_fresh(self, address, request_id):
        """Return False, as no connection is idle."""
        return False

    async def probe_response(self, address, build_head, timeout_s):
        """Answer a probe, or not."""
        self.probed.append(address)
        return Reach.REACHED if address in self.working else Reach.UNREACHED

    async def reach_of_others(self, address):
        """Return what other instances find."""
        self.asked.append(address)
        return self.others

    def start(self, address, *, for_other=False, once=True, on_silence=lambda: None):
        """Start to send a request; return the deferred response."""
        attempt = direct_exchange.Attempt(
            ids.Server(address),
            address,
            frozenset(),
            "id-1",
            lambda: HEAD,
            b"",
            once,
            lambda response: True,
            lambda: True,
            on_silence,
        )
        if for_other:
            return defer.ensureDeferred(self.exchange.exchange_for_other(attempt))
        return defer.ensureDeferred(self.exchange.exchange(attempt, verify_path=once))

    def send(self, address, **options):
        """Send a request; return the status of its response or the fault."""
        found = []
        self.start(address, **options).addCallbacks(
            lambda received: found.append(received.response.status),
            lambda reason: found.append(reason.value.fault),
        )
        return found[0]


@pytest.fixture
def paths():
    """Return paths of which all work."""
    return Paths("a", "b", "c", "d")


class TestUnprovenPath:
    """Requests that run at most once, at an instance that has heard no server lately."""

    def test_probe_goes_first(self, paths):
        """It is sent once the server has answered, and the next ones at once."""
        assert paths.send("a") == 200
        assert paths.send("b") == 200
        assert (paths.probed, paths.sent) == (["a"], ["a", "b"])

    def test_evidence_lapses(self, paths):
        """An instance that has sent nothing for a while does not know any more."""
        paths.send("a")
        paths.clock.advance(1.1)
        paths.working.clear()
        assert paths.send("b") is Fault.CONNECT
        assert (paths.probed, paths.sent) == (["a", "b"], ["a"])

    def test_failed_path_is_not_proven_by_others(self, paths):
        """Other servers are heard, and a new connection to this one was reset."""
        paths.send("a")
        paths.working.discard("b")
        paths.fault = Fault.RESET
        assert paths.send("b") is Fault.RESET
        assert paths.send("a") == 200
        assert paths.send("b") is Fault.CONNECT
        assert paths.sent == ["a", "b", "a"]

    def test_repeatable_request_is_sent_at_once(self, paths):
        """It finds out itself whether the path works."""
        assert paths.send("a", once=False) == 200
        assert paths.probed == []


class TestRelayedRequest:
    """Requests that another instance relays through this one."""

    def test_cut_instance_sends_nothing(self, paths):
        """It has noticed nothing before, and says that it knows nothing of the server."""
        paths.working.clear()
        assert paths.send("a", for_other=True, once=False) is Fault.NO_PATH
        assert paths.sent == []

    def test_server_is_blamed_by_an_instance_that_reaches_others(self, paths):
        """Its failure says something of the server."""
        paths.working.discard("a")
        assert paths.send("a", for_other=True) is Fault.CONNECT

    def test_open_connections_prove_nothing_for_new_ones(self, paths):
        """Servers are heard on connections that live on, while new ones are refused."""
        paths.working.clear()
        for _ in range(3):
            now = paths.clock.seconds()
            paths.exchange.paths.record_response("b", False, now)
            assert paths.send("a", for_other=True) is Fault.NO_PATH
            paths.clock.advance(0.6)


class TestResetPath:
    """New connections that are reset when a request was sent."""

    @pytest.mark.parametrize("reach", Reach)
    def test_others_are_asked(self, paths, reach):
        """Only one that reaches the server shows that it is the path."""
        paths.others, paths.fault = reach, Fault.RESET
        paths.working.discard("a")
        paths.send("a", once=False)
        assert paths.asked == ["a"]
        assert paths.exchange.paths.is_confirmed("a") == (reach is Reach.REACHED)
        assert paths.exchange.paths.has_failed("a") == (reach is not Reach.UNREACHED)


class TestSilentPath:
    """Requests whose path broke after they were sent."""

    def run(self, paths, *, once):
        """Send a request, cut the instance, and let a while pass; return the outcome."""
        found, silences = [], []
        paths.send("a")
        paths.pending = defer.Deferred()
        sending = paths.start("a", once=once, on_silence=lambda: silences.append(True))
        sending.addBoth(found.append)
        paths.working.clear()
        for _ in range(30):
            paths.clock.advance(0.1)
            paths.exchange.tick(lambda address: True)
        return found, silences

    def test_repeatable_request_is_given_up(self, paths):
        """Another instance can send it."""
        found, silences = self.run(paths, once=False)
        assert found[0].value.fault is Fault.SILENT
        assert silences == []

    def test_request_that_runs_once_waits_without_its_slot(self, paths):
        """Its response may still come, and others can use the slot."""
        found, silences = self.run(paths, once=True)
        assert (found, silences) == ([], [True])

    def test_request_that_runs_once_is_cancelled_after_its_silence(self, paths):
        """It was taken for one that may go through another instance, and ran twice."""
        sending, silences = [], []
        paths.send("a")
        paths.pending = defer.Deferred()
        sending = paths.start("a", on_silence=lambda: silences.append(True))
        paths.working.clear()
        for _ in range(30):
            paths.clock.advance(0.1)
            paths.exchange.tick(lambda address: True)
        assert silences == [True]
        found = []
        sending.addErrback(lambda reason: found.append(reason.type))
        sending.cancel()
        assert found == [defer.CancelledError]

    def test_slow_server_is_waited_for(self, paths):
        """The server answers probes: nothing is wrong with the path."""
        found = []
        paths.pending = defer.Deferred()
        paths.start("a", once=False).addBoth(found.append)
        for _ in range(30):
            paths.clock.advance(0.1)
            paths.exchange.tick(lambda address: True)
        assert found == []
        assert paths.probed
