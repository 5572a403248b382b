"""Orders ran after a refusal: the copy of an earlier refusal was taken for their answer."""

from twisted.internet import reactor, task

import test_cut_instance
import test_entry
from carobhook.protocol import http1
from carobhook.standins import platform_server

NOT_RUN_STATUSES = (408, 421, 429, 503)
WITH_NEXT = platform_server.CopyTiming.WITH_NEXT
# An instance probes a server before an order if it has heard none for longer than a second.
QUIET_S = 1.2
WORK_S = 0.1
ROUNDS = 4


class CopyCase(test_entry.EntryCase):
    """Base class of tests whose servers send each refusal a second time."""

    async def setUp(self):
        """Let every server send the copy where the answer to the next request is due."""
        await super().setUp()
        self.copy_refusals()

    def copy_refusals(self, **fields):
        """Set the behaviour of every server, which sends copies of its refusals."""
        self.set_behaviour(refusal_copies=WITH_NEXT, work_s=WORK_S, **fields)

    async def send_order(self, name, **options):
        """Send an order; return its status and how often it ran, which it has to allow."""
        response = await self.request("/u/x", b"POST", b"1", X_Attempt_Id=name, **options)
        await task.deferLater(reactor, 2 * WORK_S, lambda: None)
        runs = self.started_ids.count(name)
        self.assertLessEqual(runs, 1)
        if response.status in NOT_RUN_STATUSES:
            self.assertEqual(runs, 0, f"{name} got {response.status} and ran")
        return response.status, runs

    async def add_id(self, number):
        """Let the server at the only address take a new id, beside which the old one stays."""
        self.ports[f"i-{number + 1}"] = self.ports["i-0"]
        self.register(f"i-{number + 1}")
        await task.deferLater(reactor, 0.3, lambda: None)
        self.backends["i-0"].name = f"i-{number + 1}"


class TestTwoIdsAtOneAddress(CopyCase):
    """An order goes to the same address twice, under the ids of two servers."""

    server_count = 1

    async def test_copy_of_the_first_refusal(self):
        """The second answer on the connection is the copy of the first one's refusal."""
        found = []
        for number in range(ROUNDS):
            await self.add_id(number)
            found.append(await self.send_order(f"order-{number}"))
            self.store.remove("servers", f"i-{number}")
        self.assertEqual(found, [(200, 1)] * ROUNDS)


class TestProbedConnection(CopyCase):
    """An order takes the connection on which a probe was refused."""

    async def test_copy_of_the_probes_refusal(self):
        """The copy names no request, as the probe had no id."""
        found = []
        for number in range(ROUNDS):
            await task.deferLater(reactor, QUIET_S, lambda: None)
            found.append(await self.send_order(f"order-{number}"))
        self.assertEqual(found, [(200, 1)] * ROUNDS)


class TestRepeatedId(CopyCase):
    """A client sends the id of a refused order again."""

    server_count = 1

    async def test_copy_of_the_first_refusal(self):
        """The order runs once, and its answer is that of its run."""
        for number in range(ROUNDS):
            self.copy_refusals(shed=True)
            refused = await self.send_order(f"order-{number}")
            self.copy_refusals()
            self.assertEqual(refused, (503, 0))
            self.assertEqual(await self.send_order(f"order-{number}"), (200, 1))


class TestRequestsWithoutId(CopyCase):
    """Requests without an id stand between orders."""

    server_count = 1

    async def send_unnamed(self):
        """Send a request without an id."""
        address = f"127.0.0.1:{self.instance_ports['one']['http']}"
        head = http1.RequestHead(b"GET", b"/a/x", ((b"Host", test_entry.HOST.encode()),))
        received = await self.connections.exchange(address, head, b"", require_fresh=True)
        # For a moment, no request is sent to a server that refused one.
        await task.deferLater(reactor, 2 * WORK_S, lambda: None)
        return received.response.status

    async def test_copy_of_their_refusal(self):
        """It is not taken for the answer of an order."""
        for number in range(ROUNDS):
            self.copy_refusals(shed=True)
            self.assertEqual(await self.send_unnamed(), 503)
            self.copy_refusals()
            self.assertEqual(await self.send_order(f"order-{number}"), (200, 1))

    async def test_copy_of_an_orders_refusal(self):
        """It is not taken for their answer."""
        for number in range(ROUNDS):
            self.copy_refusals(shed=True)
            self.assertEqual(await self.send_order(f"order-{number}"), (503, 0))
            self.copy_refusals()
            self.assertEqual(await self.send_unnamed(), 200)


class TestRelayedOrder(CopyCase, test_cut_instance.CutCase):
    """An order is relayed twice to one address, under the ids of two servers."""

    server_count = 1

    async def test_copy_of_the_first_refusal(self):
        """The connection to the server is that of the other instance."""
        self.copy_refusals()
        self.cut.begin_reset()
        await task.deferLater(reactor, QUIET_S, lambda: None)
        for number in range(ROUNDS):
            await self.add_id(number)
            await self.send_order(f"order-{number}")
            self.store.remove("servers", f"i-{number}")
        self.assertGreater(len(self.started_ids), 0)
