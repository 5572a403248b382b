"""Orders ran after a refusal: the copy of an earlier refusal was taken for their answer."""

from twisted.internet import reactor, task

import test_entry
from carobhook.standins import platform_server

NOT_RUN_STATUSES = (408, 421, 429, 503)
WITH_NEXT = platform_server.CopyTiming.WITH_NEXT
# An instance probes a server before an order if it has heard none for longer than a second.
QUIET_S = 1.2


class CopyCase(test_entry.EntryCase):
    """Base class of tests whose servers send each refusal a second time."""

    def copy_refusals(self, **fields):
        """Let every server send the copy where the answer to the next request is due."""
        self.set_behaviour(refusal_copies=WITH_NEXT, work_s=0.1, **fields)

    async def send_order(self, number):
        """Send an order, and check that it ran if and as often as its answer allows."""
        name = f"order-{number}"
        response = await self.request("/u/x", b"POST", b"1", X_Attempt_Id=name)
        await task.deferLater(reactor, 0.2, lambda: None)
        runs = self.started_ids.count(name)
        self.assertLessEqual(runs, 1)
        if response.status in NOT_RUN_STATUSES:
            self.assertEqual(runs, 0, f"{name} got {response.status} and ran")
        return response.status


class TestTwoIdsAtOneAddress(CopyCase):
    """An order goes to the same address twice, under the ids of two servers."""

    server_count = 1

    async def test_copy_of_the_first_refusal(self):
        """The second answer on the connection is the copy of the first one's refusal."""
        self.copy_refusals()
        server = self.backends["i-0"]
        for number in range(4):
            self.ports[f"i-{number + 1}"] = self.ports["i-0"]
            self.register(f"i-{number + 1}")
            await task.deferLater(reactor, 0.3, lambda: None)
            server.name = f"i-{number + 1}"
            await self.send_order(number)
            self.store.remove("servers", f"i-{number}")


class TestProbedConnection(CopyCase):
    """An order takes the connection on which a probe was refused."""

    async def test_copy_of_the_probes_refusal(self):
        """The copy names no request, as the probe had no id."""
        self.copy_refusals()
        for number in range(4):
            await task.deferLater(reactor, QUIET_S, lambda: None)
            await self.send_order(number)
