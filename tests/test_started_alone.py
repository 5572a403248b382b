"""Instances that started while their seeds were down dispatched side by side (issue 49)."""

from twisted.internet import defer, reactor, task

import test_entry
import test_membership_sync
from carobhook.coordination import membership, membership_sync
from carobhook.standins import unused_ports
from carobhook.state import members

COLD_S = 3.0
# As the settings and the configuration of `test_entry` bound it: 1.5 times the rate, and 5.
MOST_IN_A_SECOND = 5.0 * 1.5 + 5
NAMES = ("two", "three", "four", "five")


class TestColdServer(test_entry.EntryCase):
    """A server that is cold, and five instances that know nothing of each other."""

    server_count = 1
    timeout = 60

    async def setUp(self):
        """Start the instances with a seed that is down, each beside others like it."""
        await super().setUp()
        (number,) = unused_ports.find("127.0.0.1", 1)
        self.instance_ports["gone"] = {"peers": number}
        self.set_behaviour(work_s=0.05)

    async def test_all_together_keep_its_limit(self):
        """Each dispatched with the whole of it."""
        for name in NAMES:
            self.daemons.append(await self.start_instance(name, ("gone",)))
        await self.wait_until(
            lambda: all(daemon.phase is members.Phase.READY for daemon in self.daemons[1:])
        )
        self.add_backend("i-cold", cold=f"{COLD_S}s")
        cold = self.backends["i-cold"]
        added_at = reactor.seconds()
        running = []
        while reactor.seconds() < added_at + COLD_S:
            running += [self.send_one(name, len(running)) for name in NAMES]
            await task.deferLater(reactor, 0.1, lambda: None)
        await defer.gatherResults(running)
        times = [at for at in cold.received_at if at < added_at + COLD_S]
        most = max((sum(t <= at < t + 1.0 for at in times) for t in times), default=0)
        assert most <= MOST_IN_A_SECOND

    def send_one(self, name, number):
        """Send a request to an instance, whatever becomes of it."""
        sent = defer.ensureDeferred(
            self.request(instance=name, X_Attempt_Id=f"{name}-{number}")
        )
        return sent.addErrback(lambda reason: None)


class TestLimitShare:
    """The share of each limit that an instance uses."""

    def sync(self):
        """Return the membership of an instance that has just started, and its region."""
        own = test_membership_sync.member("a", "north")
        table = membership.Membership(own.name)
        table.record_heartbeat(own, 0.0)
        return membership_sync.MembershipSync(own.name, own.region, table), own.region

    def test_search_for_others(self):
        """While nobody was met, others like it may be there; it ends after a while."""
        sync, region = self.sync()
        sync.begin_search(0.0)
        assert sync.limit_share(region, 9.9) == 0.1
        sync.table.record_heartbeat(test_membership_sync.member("a", "north"), 10.1)
        assert sync.limit_share(region, 10.1) == 1.0

    def test_meeting_ends_the_search(self):
        """The others that are known count from then on."""
        sync, region = self.sync()
        sync.begin_search(0.0)
        sync.record_heartbeat(test_membership_sync.member("b", "north"), 0.2)
        assert sync.limit_share(region, 0.2) == 1.0

    def test_only_instance(self):
        """Its settings name no other."""
        sync, region = self.sync()
        assert sync.limit_share(region, 0.0) == 1.0
