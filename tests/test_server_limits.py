"""Tests of limits that servers name: in responses, in memory, and in the grants of slots."""

import collections
import typing

import pytest
from twisted.internet import task

import test_dispatcher
import test_slot_allocator
from carobhook.coordination import catalog, server_limits, steering
from carobhook.platform import requests
from carobhook.protocol import http1, slot_messages
from carobhook.state import allocation, ids
from carobhook.transport import shard_dispatchers

SERVER = ids.Server("s1")


def response(status=200, **headers):
    """Return a response of a server."""
    raw = tuple((k.replace("_", "-").encode(), v.encode()) for k, v in headers.items())
    return http1.Response(status, b"Status", raw, b"")


def statement(max_per_s):
    """Return what an answer says."""
    return allocation.RateStatement(max_per_s)


class TestRateStatement:
    """Limits in the responses of servers."""

    @pytest.mark.parametrize(
        ("text", "max_per_s"), [("14.7", 14.7), ("0", 0.0), (" 3 ", 3.0), ("0.25", 0.25)]
    )
    def test_decimal_number(self, text, max_per_s):
        """A decimal number of at least 0 is the limit, whatever the status of the response."""
        codec = requests.ServerCodec()
        for status in (200, 500, 503):
            found = codec.rate_statement(response(status, Server_Limit=text))
            assert found == statement(max_per_s)

    @pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e3", "five", "9" * 400, "1,5"])
    def test_malformed_number(self, text):
        """Anything else raises ValueError and sets no limit."""
        with pytest.raises(ValueError, match="limit must be"):
            requests.ServerCodec().rate_statement(response(Server_Limit=text))

    def test_response_without_the_header(self):
        """An answer without a limit ends it; a rejection or a foreign answer does not."""
        codec = requests.ServerCodec()
        assert codec.rate_statement(response()) == statement(None)
        assert codec.rate_statement(response(503, X_Not_Executed="1")) is None
        assert codec.rate_statement(response(421, Server_Limit="5")) is None


class TestServerLimits:
    """Limits that one instance remembers."""

    def test_limit_holds_until_an_answer_names_none(self):
        """Answers that say nothing leave it in force."""
        limits = server_limits.ServerLimits()
        assert limits.record(SERVER, statement(5.0), 0.0)
        assert not limits.record(SERVER, statement(5.0), 1.0)
        assert not limits.record(SERVER, None, 2.0)
        assert limits.max_per_s(SERVER, 3.0) == 5.0
        assert limits.record(SERVER, statement(None), 3.0)
        assert limits.max_per_s(SERVER, 3.0) is None

    def test_limit_that_no_answer_repeats_is_forgotten(self):
        """A server that gets nothing says nothing, so a limit ends after a while."""
        limits = server_limits.ServerLimits()
        limits.record(SERVER, statement(5.0), 0.0)
        assert limits.in_force(server_limits.LIFETIME_S) == {SERVER: 5.0}
        assert limits.in_force(server_limits.LIFETIME_S + 0.1) == {}
        assert limits.record(SERVER, statement(5.0), 20.0)


class TestLimitedServer:
    """Grants of a dispatcher whose servers name limits."""

    def count_grants(self, dispatcher_, start, length_s, number=1000):
        """Submit 20 requests a second, each of 50 ms; return the grants by server."""
        grants = collections.Counter()
        for step in range(round(length_s * 20)):
            now = start + step * 0.05
            request = test_dispatcher.make_request(number + step, now, target_s=0.3)
            for decision in dispatcher_.submit(request, now):
                if isinstance(decision, allocation.SlotGrant):
                    grants[decision.server] += 1
                    dispatcher_.release_slot(
                        decision.ask_id,
                        decision.server,
                        allocation.AttemptOutcome.ANSWERED,
                        now + 0.04,
                    )
            dispatcher_.decide(now + 0.045)
        return grants

    def test_it_gets_its_limit_and_no_more(self):
        """The rate of grants follows the limit, and is free again when the limit ends."""
        dispatcher_ = test_dispatcher.make_dispatcher(test_dispatcher.offer("s1", 4))
        assert self.count_grants(dispatcher_, 0.0, 2.0)[SERVER] == 40
        dispatcher_.pool.limit_rate(SERVER, 5.0, 2.0)
        assert 12 <= self.count_grants(dispatcher_, 2.0, 6.0, 2000)[SERVER] <= 5 * 6
        dispatcher_.pool.limit_rate(SERVER, None, 8.0)
        assert self.count_grants(dispatcher_, 8.0, 2.0, 3000)[SERVER] == 40

    def test_it_is_used_when_the_others_are_busy(self):
        """A limit leaves the server the requests that it takes."""
        dispatcher_ = test_dispatcher.make_dispatcher(
            test_dispatcher.offer("s1", 4), test_dispatcher.offer("s2", 2)
        )
        dispatcher_.pool.limit_rate(SERVER, 5.0, 0.0)
        for number in range(2):
            dispatcher_.submit(test_dispatcher.make_request(number, deadline_s=60.0), 0.0)
        assert len(dispatcher_.pool.get(ids.Server("s2")).running) == 2
        assert 12 <= self.count_grants(dispatcher_, 1.0, 6.0)[SERVER] <= 5 * 6 + 3

    def test_excess_before_the_limit_counts(self):
        """A server that got far more than it takes rests first, but not for long."""
        dispatcher_ = test_dispatcher.make_dispatcher(test_dispatcher.offer("s1", 4))
        self.count_grants(dispatcher_, 0.0, 2.0)
        dispatcher_.pool.limit_rate(SERVER, 2.0, 2.0)
        assert not self.count_grants(dispatcher_, 2.0, 2.0, 2000)
        assert self.count_grants(dispatcher_, 4.0, 2.0, 3000)

    def test_work_that_takes_no_time(self):
        """A limited server whose answers came at once is still chosen without an error."""
        dispatcher_ = test_dispatcher.make_dispatcher(test_dispatcher.offer("s1", 4))
        dispatcher_.pool.limit_rate(SERVER, 5.0, 0.0)
        answered = allocation.AttemptOutcome.ANSWERED
        for number in range(4):
            now = 1.0 + number
            dispatcher_.submit(test_dispatcher.make_request(number, now), now)
            dispatcher_.release_slot(ids.RequestId(f"r{number}"), SERVER, answered, now)
        grants = dispatcher_.submit(test_dispatcher.make_request(9, 6.0, object_key="o"), 6.0)
        assert [grant.server for grant in grants] == [SERVER]

    def test_limit_of_zero_leaves_a_few_requests(self):
        """Without any request, no answer could tell that the limit has ended."""
        dispatcher_ = test_dispatcher.make_dispatcher(test_dispatcher.offer("s1", 4))
        dispatcher_.pool.limit_rate(SERVER, 0.0, 0.0)
        assert 1 <= self.count_grants(dispatcher_, 0.0, 20.0)[SERVER] <= 5

    def test_request_beyond_the_limit_is_refused_at_once(self):
        """Waits and Retry-After follow what the limit lets through, not the free slots."""
        dispatcher_ = test_dispatcher.make_dispatcher(test_dispatcher.offer("s1", 4))
        dispatcher_.pool.limit_rate(SERVER, 1.0, 0.0)
        refusals = []
        for number in range(20):
            request = test_dispatcher.make_request(number, 1.0, target_s=8.0, deadline_s=9.0)
            refusals += [
                decision
                for decision in dispatcher_.submit(request, 1.0)
                if isinstance(decision, allocation.SlotRefusal)
            ]
        assert 14 <= len(refusals) <= 18
        assert all(refusal.retry_after_s >= 2.0 for refusal in refusals)


class TwoRegions:
    """Dispatchers of one service in two regions, each at its own instance."""

    DOMAINS: typing.ClassVar = {
        ids.FailureDomain("north-a"): ids.Region("north"),
        ids.FailureDomain("south-a"): ids.Region("south"),
    }

    def __init__(self):
        self.clock = task.Clock()
        self.grants = []
        self.dispatchers = {
            region: self.create(region) for region in sorted(self.DOMAINS.values())
        }
        for region in self.dispatchers:
            self.dispatchers[region].get_or_create((region, test_dispatcher.SERVICE))
        self.exchange_reports()

    def create(self, own):
        """Return the dispatchers of one region's instance."""
        server_catalog = catalog.Catalog()
        for name in ("s1", "s2", "s3"):
            entry = test_dispatcher.offer(name, 4).view.entry
            server_catalog.put(entry, 0.0)
        return shard_dispatchers.ShardDispatchers(
            self.clock,
            own,
            self.DOMAINS,
            server_catalog,
            steering.Steering(self.DOMAINS),
            test_slot_allocator.LIMITS,
            lambda shard: shard[0],
            self.deliver,
            lambda: [own],
            lambda region: 1.0,
        )

    def deliver(self, receiver, message):
        """Deliver a message between the dispatchers; keep the grants."""
        dispatchers = self.dispatchers[receiver]
        if isinstance(message, slot_messages.RegionReport):
            dispatchers.handle_region_report(message)
        elif isinstance(message, slot_messages.ServerLimitReport):
            dispatchers.handle_limit_report(message)
        elif isinstance(message, slot_messages.SlotGranted):
            self.grants.append(message.grant)
        return True

    def exchange_reports(self):
        """Let every dispatcher update its loans twice, so that both know both."""
        for _ in range(2):
            self.clock.advance(0.5)
            for dispatchers in self.dispatchers.values():
                dispatchers.update_loans(0.5, self.clock.seconds())

    def usable(self, region):
        """Return the servers that a region's dispatcher can use now, with their free slots."""
        state = self.dispatchers[region].get_or_create((region, test_dispatcher.SERVICE))
        now = self.clock.seconds()
        return {
            server.name: server.free_slots(now)
            for server in state.dispatcher.pool.servers
            if server.is_free(now)
        }

    def answer(self, region, server, max_per_s):
        """Pass on an answer of a server at an instance of a region."""
        self.dispatchers[region].handle_release(
            slot_messages.SlotReleased(
                ids.RequestId("r1"),
                region,
                test_dispatcher.SERVICE,
                server,
                allocation.AttemptOutcome.ANSWERED,
                allocation.RateStatement(max_per_s),
            )
        )


class TestLentServer:
    """Servers of which another region uses some slots."""

    NORTH, SOUTH = ids.Region("north"), ids.Region("south")

    @pytest.mark.parametrize("told", [NORTH, SOUTH])
    def test_limited_server_is_lent_no_longer(self, told):
        """Whichever region hears of the limit first, one dispatcher is left to keep it."""
        regions = TwoRegions()
        lent = sorted(regions.usable(self.SOUTH))
        assert lent, "the region without servers borrows some"
        regions.answer(told, lent[0], 2.0)
        assert lent[0] not in regions.usable(self.SOUTH)
        regions.exchange_reports()
        assert lent[0] not in regions.usable(self.SOUTH)
        regions.answer(self.NORTH, lent[0], None)
        for _ in range(3):
            regions.exchange_reports()
        assert sorted(regions.usable(self.SOUTH)) == lent
