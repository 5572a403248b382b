"""No order of requests, answers and late copies lets a copy be taken for an answer."""

import attrs
import hypothesis
from hypothesis import strategies
from twisted.internet import task, testing

import test_server_connections
from carobhook.transport import response_memory, server_connection

IDS = ("a", "b", "c", None)


@attrs.define
class Send:
    """A request that was sent, and the body of its answer, which no other answer has."""

    request_id: str | None
    body: bytes
    taken: list[bytes] = attrs.field(factory=list)


class Server:
    """A server that answers on one connection at a time, and keeps its answers for copies.

    Args:
        is_naming: Whether its answers name their requests.
    """

    def __init__(self, is_naming):
        self.is_naming = is_naming
        self.sends = []
        self.open()

    def open(self):
        """Open a new connection, on which nothing was answered yet."""
        memory = response_memory.ResponseMemory(test_server_connections.MEMORY_BYTES)
        self.connection = server_connection.ServerConnection(task.Clock().seconds, memory)
        self.transport = testing.StringTransport()
        self.transport.setTcpNoDelay = lambda on: None
        self.connection.makeConnection(self.transport)
        self.answers = []
        self.pending = None

    def request(self, request_id):
        """Send a request, on a new connection if this one may not carry it."""
        if self.pending is not None:
            return
        if not self.connection.is_reusable or not self.connection.may_carry(request_id):
            self.open()
        send = Send(request_id, b"%d" % len(self.sends))
        self.sends.append(send)
        self.pending = send
        result = self.connection.exchange(
            test_server_connections.HEAD,
            b"",
            test_server_connections.identification(request_id),
        )
        result.addCallbacks(
            lambda received: send.taken.append(received.response.body), lambda reason: None
        )

    def answer(self):
        """Answer the request that waits."""
        if self.pending is None:
            return
        send, self.pending = self.pending, None
        is_named = self.is_naming and send.request_id is not None
        request_id = send.request_id.encode() if is_named else None
        self.answers.append(test_server_connections.answer(request_id, send.body))
        self.deliver(self.answers[-1])

    def copy(self, number):
        """Send one of the answers on this connection a second time."""
        if self.answers:
            self.deliver(self.answers[number % len(self.answers)])

    def deliver(self, data):
        """Deliver bytes, unless this side has closed the connection."""
        if not self.transport.disconnecting:
            self.connection.dataReceived(data)


STEPS = strategies.one_of(
    strategies.tuples(strategies.just("request"), strategies.sampled_from(IDS)),
    strategies.tuples(strategies.just("answer")),
    strategies.tuples(strategies.just("copy"), strategies.integers(0, 5)),
)


class TestCopies:
    """A server that may send any answer a second time, at any moment."""

    @hypothesis.settings(deadline=None, max_examples=500)
    @hypothesis.given(strategies.booleans(), strategies.lists(STEPS, max_size=30))
    def test_no_copy_is_taken_for_an_answer(self, is_naming, steps):
        """A request gets its own answer or none."""
        server = Server(is_naming)
        for name, *arguments in steps:
            getattr(server, name)(*arguments)
        for send in server.sends:
            assert send.taken in ([], [send.body])

    def test_requests_without_copies_are_answered(self):
        """The rule costs no answer of a server that sends each once."""
        for is_naming in (False, True):
            server = Server(is_naming)
            for request_id in IDS * 3:
                server.request(request_id)
                server.answer()
            assert [send.taken for send in server.sends] == [[s.body] for s in server.sends]
