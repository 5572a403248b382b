"""Tests of carobhook.transport.server_exchange: direct and relayed exchanges."""

import random

import attrs
import pytest
from twisted.internet import defer, task

from carobhook.coordination import relay_choice
from carobhook.protocol import http1, path_messages, relay_messages
from carobhook.state import allocation, ids, members, servers
from carobhook.transport import (
    direct_exchange,
    exchange_results,
    relay_connections,
    server_exchange,
)

Fault = exchange_results.Fault
Outcome = relay_messages.RelayOutcome
Reach = path_messages.Reach
ResponseMatch = allocation.ResponseMatch
HEAD = http1.RequestHead(b"GET", b"/x", ())
NORTH, SOUTH = ids.Region("north"), ids.Region("south")
SERVED = relay_messages.RelayResponse(
    Outcome.RESPONDED, "", 200, b"OK", (), b"served", is_identified=True
)


def member(name, region=NORTH):
    """Return a ready instance."""
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation("0" * 16),
        region,
        ids.FailureDomain(f"{region}-a"),
        f"{name}:1",
        f"{name}:2",
        members.Phase.READY,
        ids.Version(1),
    )


class Paths:
    """An exchange whose direct path is broken, and instances that relay."""

    def __init__(self, *peers, answers=None):
        self.clock = task.Clock()
        self.direct = []
        self.connect_s = 0.0
        self.sound_at_half = False
        self.others_reach = False
        self.reached = False
        self.checked = []
        self.asked = []
        self.relayed = []
        self.answers = answers or {}
        self.on_loss = lambda: None
        self.present_run = servers.ServerRun(ids.Server("s1"))
        self.heard = []
        self.error = exchange_results.ExchangeError(Fault.CONNECT, "cut", False, False)
        rng = random.Random(1)
        self.direct_exchange = direct_exchange.DirectExchange(
            self.clock,
            rng,
            self,
            direct_exchange.KnownServers(lambda: 9, list, lambda address: HEAD),
            self.reach_of_others,
            lambda reason: None,
        )
        self.servers = server_exchange.ServerExchange(
            self.clock,
            self.direct_exchange,
            self,
            relay_choice.RelayChoice(rng, NORTH),
            lambda: peers,
            lambda server: self.present_run,
            lambda run, response: self.heard.append(run),
        )

    # Connections to servers.

    async def exchange(self, *args, **_):
        """Fail a direct exchange, or answer a relayed one."""
        if isinstance(args[0], str) and "s" in args[0]:
            self.direct.append(args[0])
            if self.connect_s:
                await task.deferLater(self.clock, self.connect_s)
            raise self.error
        self.asked.append(args[0])
        self.relayed.append(args[2])
        answer = self.answers.get(args[0], SERVED)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def reach_of_others(self, address):
        """Return what the test says that other instances find."""
        self.checked.append(address)
        return Reach.REACHED if self.others_reach else Reach.UNREACHED

    def has_fresh(self, address, request_id):
        """Return False, as there are no idle connections."""
        return False

    async def probe_response(self, address, build_head, timeout_s):
        """Fail a probe, as the direct exchange that it precedes would."""
        self.direct.append(address)
        if self.connect_s:
            await task.deferLater(self.clock, self.connect_s)
        return Reach.REACHED if self.reached else Reach.UNREACHED

    # Connections to other instances.

    async def open(self, peer):
        """Open a relay connection, unless the test lets it fail."""
        if isinstance(self.answers.get(peer.name), relay_connections.RelayNotSentError):
            self.asked.append(peer.name)
            raise self.answers[peer.name]
        return peer

    def keep(self, name, connection):
        """Do nothing."""

    def send(
        self,
        address="s1:1",
        homes=(),
        may_send=True,
        match=ResponseMatch.NAMED,
        once=True,
        is_repeat=False,
    ):
        """Send a request; return the status of its response or the fault."""
        attempt = direct_exchange.Attempt(
            ids.Server("s1"),
            address,
            frozenset(homes),
            "id-1",
            lambda: HEAD,
            b"",
            once,
            lambda response: match,
            lambda: may_send,
            is_repeat=is_repeat,
            fingerprint=lambda: b"fingerprint",
            on_loss=self.on_loss,
        )
        found = []
        result = defer.ensureDeferred(self.servers.exchange(attempt))
        result.addCallbacks(
            lambda received: found.append(received.response.status),
            lambda reason: found.append(reason.value.fault),
        )
        self.clock.advance(self.connect_s / 2)
        if self.connect_s and self.sound_at_half:
            self.direct_exchange.paths.record_response("s2:1", False, self.clock.seconds())
        self.clock.advance(self.connect_s / 2)
        return found[0]


class TestRelayedExchange:
    """Requests for servers to which no connection can be opened."""

    def test_request_goes_through_another_instance(self):
        """The slot and the request stay here; the second time nothing is tried directly."""
        paths = Paths(member("two"))
        assert paths.send() == 200
        assert paths.send() == 200
        assert (paths.direct, paths.asked) == (["s1:1"], ["two", "two"])

    def test_relayed_request_is_named(self):
        """The other instance may know marks that this one has not heard of."""
        paths = Paths(member("two"))
        paths.send()
        assert [request.fingerprint for request in paths.relayed] == [b"fingerprint"]

    def test_response_to_another_request_is_not_returned(self):
        """The check compared nothing: a member of an Enum is always true (issue 49)."""
        assert Paths(member("two")).send(match=ResponseMatch.OTHER) is Fault.GARBLED
        assert Paths(member("two")).send(match=ResponseMatch.UNNAMED) == 200

    def test_homes_bind_the_instance_too(self):
        """The body of a request goes to no instance outside its homes."""
        paths = Paths(member("two"), member("far", SOUTH))
        assert paths.send(homes=[SOUTH]) == 200
        assert paths.asked == ["far"]
        assert Paths(member("two")).send(homes=[SOUTH]) is Fault.CONNECT

    def test_instances_of_the_own_region_come_first(self):
        """The way is shorter, and traffic between regions is billed."""
        paths = Paths(member("far", SOUTH), member("two"))
        assert paths.send() == 200
        assert paths.asked == ["two"]

    @pytest.mark.parametrize(
        "answer",
        [
            relay_messages.RelayResponse(Outcome.BUSY),
            relay_connections.RelayNotSentError("refused"),
        ],
    )
    def test_next_instance_is_asked(self, answer):
        """One that takes no request is left out for a while, and comes after others then."""
        paths = Paths(member("two"), member("far", SOUTH), answers={"two": answer})
        assert paths.send() == 200
        assert paths.asked == ["two", "far"]
        assert paths.send() == 200
        assert paths.asked == ["two", "far", "far"]
        paths.clock.advance(1.1)
        assert paths.send(homes=[NORTH]) is Fault.NO_RELAY
        assert paths.send() == 200
        assert paths.asked[3:] == ["two", "far"]
        paths.clock.advance(5.1)
        assert paths.send() == 200
        assert paths.asked[5:] == ["two", "far"]

    def test_lost_instance_leaves_open_whether_it_ran(self):
        """The request is not sent through a second instance."""
        answers = {"two": relay_connections.RelayLostError("lost")}
        paths = Paths(member("two"), member("far", SOUTH), answers=answers)
        assert paths.send() is Fault.RESET
        assert paths.asked == ["two"]

    @pytest.mark.parametrize(
        ("outcome", "fault"),
        [
            (Outcome.UNREACHED, Fault.CONNECT),
            (Outcome.WITHDRAWN, Fault.WITHDRAWN),
            (Outcome.RESET, Fault.RESET),
            (Outcome.CUT_SHORT, Fault.CUT_SHORT),
            (Outcome.GARBLED, Fault.GARBLED),
        ],
    )
    def test_failure_at_the_other_instance(self, outcome, fault):
        """It counts as a failure here, with the same promise."""
        paths = Paths(member("two"), answers={"two": relay_messages.RelayResponse(outcome)})
        assert paths.send() is fault

    def test_request_that_may_not_be_sent_any_more(self):
        """A server that drains since gets nothing on this path either."""
        paths = Paths(member("two"))
        assert paths.send(may_send=False) is Fault.WITHDRAWN
        assert paths.asked == []

    def test_server_that_others_do_not_reach_either_is_at_fault(self):
        """Three such servers do not make the instance take itself for cut."""
        paths = Paths(
            member("two"), answers={"two": relay_messages.RelayResponse(Outcome.UNREACHED)}
        )
        for number in range(4):
            assert paths.send(f"s{number}:1") is Fault.CONNECT
        assert not paths.servers.is_cut
        assert len(paths.direct) == 4

    def test_cut_instance_without_others_blames_no_server(self):
        """After three servers it tries no more, and says that there is no path."""
        paths = Paths()
        faults = [paths.send(f"s{number}:1") for number in range(5)]
        assert faults == [Fault.CONNECT] * 2 + [Fault.NO_PATH] * 3
        assert len(paths.direct) == 3


class TestRelayOfAnOlderBuild:
    """Another instance took the copy of an earlier response for that of the request."""

    @pytest.mark.parametrize(
        ("match", "is_repeat", "found"),
        [
            (ResponseMatch.NAMED, False, 200),
            (ResponseMatch.NAMED, True, Fault.GARBLED),
            (ResponseMatch.UNNAMED, False, Fault.GARBLED),
            (ResponseMatch.UNKNOWN, False, Fault.GARBLED),
            (ResponseMatch.OTHER, False, Fault.GARBLED),
        ],
    )
    def test_only_the_name_of_a_first_send_tells(self, match, is_repeat, found):
        """The response to a repeat may be the copy of the refusal before it."""
        older = attrs.evolve(SERVED, is_identified=False)
        paths = Paths(member("two"), answers={ids.InstanceId("two"): older})
        assert paths.send(match=match, is_repeat=is_repeat) == found

    @pytest.mark.parametrize("match", [ResponseMatch.UNNAMED, ResponseMatch.UNKNOWN])
    def test_newer_build_tells_by_its_connection(self, match):
        """It uses none on which a copy could come."""
        assert Paths(member("two")).send(match=match, is_repeat=True) == 200


class TestRelayedStatus:
    """Status of a relayed response, which an older build passes on as it came."""

    @pytest.mark.parametrize("status", [0, 99, 101, 199, 600, 700, 999])
    def test_status_outside_of_the_protocol_is_no_answer(self, status):
        """The server may have run the request, as after any invalid response."""
        relayed = attrs.evolve(SERVED, status=status)
        paths = Paths(member("two"), answers={ids.InstanceId("two"): relayed})
        assert paths.send() is Fault.GARBLED


class TestRelaysThatBringNothing:
    """Instances that relay and are cut themselves (issue 49)."""

    def reset_by(self, *outcomes):
        """Return paths with one instance for each outcome, of which the first is asked."""
        answers = {
            f"p{number}": relay_messages.RelayResponse(outcome)
            for number, outcome in enumerate(outcomes)
        }
        return Paths(*(member(name) for name in answers), answers=answers)

    @pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.GARBLED, Outcome.CUT_SHORT])
    def test_failure_proves_no_path(self, outcome):
        """It may be the server, the other path, or the other instance."""
        paths = self.reset_by(outcome)
        paths.send()
        assert paths.servers.broken_paths == 0

    @pytest.mark.parametrize(
        "answer",
        [
            relay_messages.RelayResponse(Outcome.RESET),
            relay_connections.RelayLostError("lost"),
        ],
    )
    def test_instance_that_lost_a_request_comes_last(self, answer):
        """The next request goes to another one, of another region too."""
        paths = Paths(member("two"), member("far", SOUTH), answers={"two": answer})
        assert paths.send() is Fault.RESET
        assert paths.send() == 200
        assert paths.asked == ["two", "far"]

    def test_two_instances_decide_that_the_server_is_at_fault(self):
        """One alone may have lost its own path to it."""
        paths = self.reset_by(Outcome.UNREACHED, Outcome.RESPONDED)
        assert paths.send() is not Fault.CONNECT
        paths = self.reset_by(Outcome.UNREACHED, Outcome.UNREACHED, Outcome.UNREACHED)
        assert paths.send() is Fault.CONNECT
        assert len(paths.asked) == 2

    def test_refusals_of_all_say_nothing_of_the_server(self):
        """It is not paused for all instances."""
        paths = self.reset_by(Outcome.BUSY, Outcome.BUSY)
        assert paths.send() is Fault.NO_RELAY
        assert paths.send() is Fault.NO_RELAY
        assert len(paths.asked) == 2


class TestSilentExchange:
    """Requests whose connection fell silent after they were sent."""

    @pytest.mark.parametrize("once", [True, False])
    def test_only_what_may_run_again_is_relayed(self, once):
        """A request that runs once has been sent, and is not sent again."""
        paths = Paths(member("two"))
        paths.reached = True
        paths.error = exchange_results.ExchangeError(Fault.SILENT, "silent", True, False)
        assert paths.send(once=once) == (Fault.SILENT if once else 200)
        assert paths.asked == ([] if once else ["two"])


class TestSlowFailure:
    """A connection times out, which takes another instance as long to find out."""

    def slow_paths(self, *, sound, others_reach=False):
        """Return paths on which connections take half a second to fail."""
        paths = Paths(member("two"))
        paths.connect_s, paths.sound_at_half, paths.others_reach = 0.5, sound, others_reach
        return paths

    def test_server_is_blamed_at_once_while_others_are_heard(self):
        """The request tries another server, and the path is found out meanwhile."""
        paths = self.slow_paths(sound=True)
        assert paths.send() is Fault.CONNECT
        assert (paths.asked, paths.checked) == ([], ["s1:1"])
        assert paths.servers.broken_paths == 0

    def test_path_is_blamed_once_others_reach_the_server(self):
        """The next request for it goes through another instance."""
        paths = self.slow_paths(sound=True, others_reach=True)
        assert paths.send() is Fault.CONNECT
        assert paths.servers.broken_paths == 1
        paths.connect_s = 0.0
        assert paths.send() == 200
        assert (paths.direct, paths.asked) == (["s1:1"], ["two"])

    def test_request_is_relayed_if_no_server_is_heard(self):
        """The instance may be cut from all of them."""
        paths = self.slow_paths(sound=False)
        assert paths.send() == 200
        assert (paths.asked, paths.checked) == (["two"], [])
