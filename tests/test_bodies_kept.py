"""Bodies of requests stayed in memory after their end, and counted as nothing (issue 49)."""

import gc
import weakref

from twisted.internet import reactor, task, testing

import test_entry
import test_request_flow
from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_connections

BODY = b"x" * 3000


class TestMemoryAfterTheEnd(test_entry.EntryCase):
    """What refers to a request when it has ended."""

    async def ended_flows(self, **request_fields):
        """Send requests; return how many are alive without a run of the cycle collector."""
        handler = self.daemons[0]._requests
        create, flows = handler._create_flow, []

        def record(*args):
            flows.append(weakref.ref(create(*args)))
            return flows[-1]()

        handler._create_flow = record
        gc.collect()
        gc.disable()
        try:
            for number in range(5):
                await self.request(X_Attempt_Id=str(number), body=BODY, **request_fields)
            # The last one may be what an idle connection or the test itself knows.
            await task.deferLater(reactor, 0.1, lambda: None)
            return sum(flow() is not None for flow in flows)
        finally:
            gc.enable()

    async def test_answered_request(self):
        """Nothing refers to it."""
        assert await self.ended_flows(path="/u/x", method=b"POST") == 0

    async def test_failed_request(self):
        """Nor to one whose connection broke."""
        self.set_behaviour(reset=True)
        assert await self.ended_flows(path="/u/x", method=b"POST") == 0

    async def test_request_past_its_deadline(self):
        """Nor to one whose timer has run."""
        self.set_behaviour(work_s=0.4)
        fields = {"path": "/a/x", "method": b"GET", "X_Deadline_Ms": "200"}
        assert await self.ended_flows(**fields) == 0


class Listener:
    """A listener of which the test knows the reserved memory."""

    def __init__(self, handler):
        self.listener = client_connections.ClientListener(
            task.Clock(), handler, routing.ClientLimits, 10, 10 * len(BODY)
        )

    @property
    def reserved(self):
        """Return the size of the bodies that count."""
        return self.listener.memory.held_bytes


class TestReservedMemory:
    """Bodies of clients that left counted as nothing while their requests went on."""

    def test_request_goes_on_without_its_client(self):
        """Its body counts until its work ends."""
        case = test_request_flow.FlowCase(test_request_flow.ONCE)
        case.allocator.grant()
        listener = Listener(lambda request, respond: case.flow)
        connection = listener.listener.buildProtocol(None)
        transport = make_transport()
        connection.makeConnection(transport)
        head = f"POST /u/x HTTP/1.1\r\nHost: h\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
        connection.dataReceived(head + BODY)
        assert listener.reserved == len(BODY)
        connection.connectionLost()
        assert listener.reserved == len(BODY)
        case.servers.respond()
        assert listener.reserved == 0

    def test_answered_request(self):
        """Its body counts as nothing at once."""
        listener = Listener(
            lambda request, respond: respond(http1.Response(200, b"OK", (), b"")) or None
        )
        connection = listener.listener.buildProtocol(None)
        connection.makeConnection(make_transport())
        head = f"POST /u/x HTTP/1.1\r\nHost: h\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
        connection.dataReceived(head + BODY)
        assert listener.reserved == 0


def make_transport():
    """Return a transport that keeps what is written."""
    transport = testing.StringTransport()
    transport.setTcpNoDelay = lambda on: None
    return transport
