"""States that the mends of issue 27 overlooked: requests refused, slots granted twice."""

import os
import pathlib
import subprocess
import sys
import time

import pytest
from twisted.internet import defer, reactor, task

import test_calm_regions
import test_dispatcher
import test_entry
import test_late_stop
import test_restored_store
import test_store_feed
from carobhook.coordination import dispatcher, region_shares, retry_budget
from carobhook.platform import names
from carobhook.protocol import feed_messages
from carobhook.state import allocation, ids
from carobhook.transport import exchange_results

HOME, FAR = test_dispatcher.HOME, test_dispatcher.FAR
OWN, OTHER = test_store_feed.OWN, test_store_feed.OTHER
A = ids.Server("a")


def make_dispatcher(before, *offers):
    """Return a dispatcher whose requests ran in these regions 2.25 s ago, at time 2.5."""
    budget = retry_budget.RetryBudget(10.0, 10.0, 10.0)
    shares = region_shares.RegionShares(HOME, 0.06)
    for region, count in before.items():
        for _ in range(count):
            shares.record(region, 0.25)
    dispatcher_ = dispatcher.Dispatcher(budget, shares)
    dispatcher_.pool.replace(offers, 2.5)
    return dispatcher_


class TestRegionLimit:
    """The limit on changes of the region left requests without any server."""

    @pytest.mark.parametrize(
        "restriction",
        [{"homes": frozenset({HOME})}, {"avoided": frozenset({ids.Server("b")})}],
        ids=["homes", "avoided"],
    )
    def test_request_that_may_not_leave_runs_on_a_free_server_at_home(self, restriction):
        """A region or a server where it may not run is no reason to leave out its home."""
        dispatcher_ = make_dispatcher(
            {HOME: 10, FAR: 30},
            test_dispatcher.offer("a", 50),
            test_dispatcher.offer("b", 50, FAR),
        )
        decisions = []
        for number in range(12):
            request = test_dispatcher.make_request(number, 2.5, **restriction)
            decisions += dispatcher_.submit(request, 2.5)
        assert [type(d) for d in decisions] == [allocation.SlotGrant] * 12

    def test_requests_of_a_region_whose_servers_are_down_run_elsewhere(self):
        """Own servers that cannot be reached are no reason to refuse what others could run."""
        dispatcher_ = make_dispatcher(
            {HOME: 40}, test_dispatcher.offer("a", 50), test_dispatcher.offer("b", 50, FAR)
        )
        pooled = dispatcher_.pool.get(A)
        for number in range(4):
            request = test_dispatcher.make_request(100 + number, 2.5)
            pooled.start(request, 0.1, 2.5 + 4 * number)
            run = pooled.finish(request.id)
            pooled.record_outcome(run, allocation.AttemptOutcome.UNREACHABLE, 2.5)
            pooled._paused_until = 0.0
        pooled._paused_until = 5.5
        decisions = []
        for number in range(12):
            decisions += dispatcher_.submit(test_dispatcher.make_request(number, 2.5), 2.5)
        assert [type(d) for d in decisions] == [allocation.SlotGrant] * 12


class TestTakeoverOfBorrowedSlots:
    """A new dispatcher heard of the slots in use before it heard of the loan."""

    def test_slot_in_use_is_not_granted(self):
        """The request that holds the only slot counts once the server is lent again."""
        dispatcher_ = test_dispatcher.make_dispatcher()
        dispatcher_.register_running(test_dispatcher.make_request(1), A, 0.0)
        dispatcher_.pool.replace([test_dispatcher.offer("a", slots=1, region=FAR)], 0.1)
        decisions = dispatcher_.submit(test_dispatcher.make_request(2), 0.1)
        assert test_dispatcher.granted_ids(decisions) == []


class TestLateLoopInAStop(test_late_stop.StopCase):
    """The event loop was late when a stopping instance refused what waited."""

    async def test_queued_requests_are_refused_as_not_run(self):
        """Their 503 is sent although the time of the abort has come as well."""
        running, queued = await self.queue_requests()
        reactor.callLater(1.35, time.sleep, 0.45)
        await self.daemons[0].stop()
        results = await defer.gatherResults(queued)
        await defer.gatherResults(running)

        assert [status for status, _ in results] == [503] * 3


class TestForgottenKind(test_restored_store.RestoredStoreCase):
    """A message of a feed could not be applied by an instance that watches the store."""

    def test_subscribers_keep_the_servers(self):
        """The source lists the kind anew before it calls its objects complete again."""
        self.run(1.0)
        before = self.usable(OWN)
        source = self.sync_by_name[OTHER]
        assert source.is_direct and before
        position = source._received.position(names.SERVERS_KIND)
        unreadable = feed_messages.FeedObject(["s9"], position.revision + 1, b"{}")
        source.handle_message(
            OWN,
            feed_messages.FeedEvents(
                names.SERVERS_KIND,
                position.revision,
                position.revision + 1,
                (unreadable,),
                position.era,
            ),
        )
        self.put(names.SERVERS_KIND, "s7", test_restored_store.server("s7"))
        self.run(3.0)
        snapshots = {s.kind: s for s in source._received.snapshots()}
        listed = {item.name for item in snapshots[names.SERVERS_KIND].items}
        assert set(before) <= listed


class TestMovedDispatcher:
    """The dispatcher of a shard moves to another instance while slots are lent."""

    def test_loan_survives_a_move_of_the_lender(self):
        """A borrower that lives on a loan keeps most of it."""
        regions = test_calm_regions.Regions(1)
        small = test_calm_regions.SMALL
        load = test_calm_regions.calm() | test_calm_regions.burst(small)
        regions.play(load, 15.0)
        before = regions.lent_to(small)
        for lender in test_calm_regions.SERVERS:
            if lender != small:
                regions.restart_dispatcher(lender)
        regions.play(load, 1.0)
        assert regions.lent_to(small) >= 0.8 * before

    def test_borrowed_slots_in_use_count_after_a_move_of_the_borrower(self):
        """No server gets more requests than it has slots."""
        regions = test_calm_regions.Regions(1)
        small = test_calm_regions.SMALL
        load = test_calm_regions.calm() | test_calm_regions.burst(small)
        regions.play(load, 15.0)
        assert regions.overfilled == []
        regions.restart_dispatcher(small)
        regions.play(load, 3.0)
        assert regions.overfilled == []


class TestMetricsOfAProcess(test_entry.EntryCase):
    """Metrics of an instance in a process of its own, whose reactor gets the steady clock."""

    async def test_instance_counts_itself_as_serving(self):
        """Gauges use the clock that all other parts use."""
        path = pathlib.Path(self.mktemp())
        path.write_text(self.settings_of("two"))
        process = subprocess.Popen(
            [sys.executable, "-m", "carobhook.entry"],
            stdout=subprocess.DEVNULL,
            env=os.environ
            | {"PYTHONPATH": os.pathsep.join(sys.path), "CAROBHOOK_SETTINGS": str(path)},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        lines = {}
        for _ in range(100):
            await task.deferLater(reactor, 0.1, lambda: None)
            try:
                response = await self.request("/metrics", instance="two", port="metrics")
            except exchange_results.ExchangeError:
                continue
            lines = dict(
                line.rsplit(" ", 1)
                for line in response.body.decode().splitlines()
                if not line.startswith("#")
            )
            if lines["carobhook_ready"] == "1.0":
                break
        assert lines["carobhook_ready"] == "1.0"
        assert float(lines["carobhook_instances_serving"]) >= 1
