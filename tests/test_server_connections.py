"""Tests of carobhook.transport.server_connections with servers that send bytes without end."""

import pytest
from twisted.internet import defer, task, testing

from carobhook.platform import requests
from carobhook.protocol import http1
from carobhook.transport import (
    exchange_results,
    response_memory,
    server_connection,
)

HEAD = http1.RequestHead(b"GET", b"/", ((b"Host", b"x"),))
PIECE_BYTES = 16 * 1024
# Pieces of bytes that are no answer, until the connection must be closed.
MAX_PIECES = 2 * 1024 * 1024 // PIECE_BYTES
MEMORY_BYTES = 4 * 1024 * 1024


def identification(request_id):
    """Return how the response to a request with an id, or None, is told from others."""
    return server_connection.Identification(
        request_id,
        lambda response: requests.ServerCodec().match_attempt(response, request_id),
    )


class Exchange:
    """One exchange with a server, whose bytes the test sends.

    Args:
        memory: Memory that the exchange shares with others.
    """

    def __init__(self, memory=None):
        memory = memory or response_memory.ResponseMemory(MEMORY_BYTES)
        self.connection = server_connection.ServerConnection(task.Clock().seconds, memory)
        self.transport = testing.StringTransport()
        self.transport.setTcpNoDelay = lambda on: None
        self.connection.makeConnection(self.transport)
        self.errors = []
        self.responses = []
        self.connection.exchange(HEAD, b"", identification("own")).addCallbacks(
            self.responses.append, lambda reason: self.errors.append(reason.value)
        )

    def receive(self, data):
        """Deliver bytes of the server, if there are any and the connection is open."""
        if data and not self.is_closed:
            self.connection.dataReceived(data)

    @property
    def is_closed(self):
        """Return whether this side has closed the connection."""
        return self.transport.disconnecting


class TestEndlessBytes:
    """Bytes that are no answer, without end."""

    @pytest.mark.parametrize(
        ("first", "repeated"),
        [
            pytest.param(b"", b"\0", id="no-http"),
            pytest.param(b"HTTP/1.1 200 OK\r\n", b"X-Pad: pad\r\n", id="headers"),
            pytest.param(b"HTTP/1.1 200 OK\r\nX-Pad: ", b"p", id="one-header"),
            pytest.param(b"", b"HTTP/1.1 100 Continue\r\n\r\n", id="interim-responses"),
            pytest.param(
                b"",
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno",
                id="responses-to-other-requests",
            ),
            pytest.param(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                b"x",
                id="chunk-extension",
            ),
        ],
    )
    def test_endless_bytes_that_are_no_body_end_the_exchange(self, first, repeated):
        """The connection is closed, and the exchange fails as garbled."""
        exchange = Exchange()
        exchange.receive(first)
        for _ in range(MAX_PIECES):
            exchange.receive(repeated * (PIECE_BYTES // len(repeated)))
        assert exchange.is_closed
        assert [error.fault for error in exchange.errors] == [exchange_results.Fault.GARBLED]

    @pytest.mark.parametrize(
        ("head", "piece"),
        [
            pytest.param(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * PIECE_BYTES, id="no-length"),
            pytest.param(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES),
                id="chunked",
            ),
        ],
    )
    def test_endless_bodies_share_bounded_memory(self, head, piece):
        """Endless bodies are ended before they fill the memory; a short one beside is not."""
        memory = response_memory.ResponseMemory(MEMORY_BYTES)
        endless = [Exchange(memory) for _ in range(3)]
        short = Exchange(memory)
        short.receive(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: own\r\nContent-Length: 4\r\n\r\nha")
        for exchange in endless:
            exchange.receive(head)
        for _ in range(2 * MEMORY_BYTES // PIECE_BYTES):
            for exchange in endless:
                exchange.receive(piece)
            assert memory.used_bytes <= MEMORY_BYTES
        short.receive(b"lf")
        assert all(exchange.is_closed for exchange in endless)
        assert [received.response.body for received in short.responses] == [b"half"]
        assert memory.used_bytes == 0


class TestStatusLines:
    """Status lines that are none, which must not reach a client as an answer."""

    @pytest.mark.parametrize(
        "status",
        [
            b"000",
            b"001",
            b"099",
            b"101",
            b"600",
            b"700",
            b"999",
            b"20",
            b"2000",
            b"0200",
            b"+20",
        ],
    )
    def test_status_outside_of_the_protocol_fails_the_exchange(self, status):
        """A server in trouble once had its status 000 forwarded."""
        exchange = Exchange()
        exchange.receive(
            b"HTTP/1.1 %s X\r\nX-Attempt-Id: own\r\nContent-Length: 2\r\n\r\nno" % status
        )
        assert exchange.responses == []
        assert [error.fault for error in exchange.errors] == [exchange_results.Fault.GARBLED]
        assert exchange.is_closed

    @pytest.mark.parametrize("status", [b"200", b"299", b"304", b"404", b"500", b"599"])
    def test_other_statuses_are_answers(self, status):
        """The statuses that the check must let through."""
        exchange = Exchange()
        exchange.receive(
            b"HTTP/1.1 %s X\r\nX-Attempt-Id: own\r\nContent-Length: 0\r\n\r\n" % status
        )
        assert [received.response.status for received in exchange.responses] == [int(status)]


class SlowServer:
    """A server that reads only when the test says so, and the connection to it."""

    def __init__(self):
        memory = response_memory.ResponseMemory(MEMORY_BYTES)
        self.connection = server_connection.ServerConnection(task.Clock().seconds, memory)
        self.transport = testing.StringTransport()
        self.transport.setTcpNoDelay = lambda on: None
        self.connection.makeConnection(self.transport)
        self.failures = []

    def send(self, size):
        """Send a request with a body of a size."""
        sent = self.connection.exchange(HEAD, b"x" * size, None)
        sent.addErrback(self.failures.append)

    def read(self):
        """Read what the connection's transport holds; return its size."""
        size = len(self.transport.value())
        self.transport.clear()
        if self.transport.producer is not None:
            self.transport.producer.resumeProducing()
        return size


class TestSlowServers:
    """Servers that read request bodies slowly."""

    def test_transport_holds_two_pieces_of_a_body(self):
        """The transport held a copy of the whole body besides the request's own."""
        server = SlowServer()
        server.send(MEMORY_BYTES)
        sizes = [server.read()]
        while sizes[-1]:
            sizes.append(server.read())
        assert max(sizes) <= 128 * 1024
        assert sum(sizes) == len(http1.encode_request(HEAD, b"x" * MEMORY_BYTES))

    def test_connection_whose_server_responds_before_it_reads_is_not_reused(self):
        """The unread parts of all bodies added up in the transport of a reused connection."""
        server = SlowServer()
        server.send(MEMORY_BYTES)
        server.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert not server.connection.is_reusable
        assert server.transport.disconnected
        assert server.transport.producer is None


class TestLateBytes:
    """Bytes after the exchange."""

    def test_cancelled_exchange_closes_the_connection(self):
        """Whoever gives up an exchange does not read on."""
        exchange = Exchange()
        exchange.receive(b"HTTP/1.1 200 OK\r\n\r\nendless")
        exchange.connection._pending.cancel()
        assert exchange.is_closed
        assert isinstance(exchange.errors[0], defer.CancelledError)


def answer(request_id, body):
    """Return the bytes of a response that names a request, or none."""
    named = b"" if request_id is None else b"X-Attempt-Id: " + request_id + b"\r\n"
    length = str(len(body)).encode()
    return b"HTTP/1.1 200 OK\r\n" + named + b"Content-Length: " + length + b"\r\n\r\n" + body


class Conversation:
    """Requests one after another on one connection to a server.

    Args:
        first: Bytes that answer the first request, whose id is "own".
    """

    def __init__(self, first):
        self.exchange = Exchange()
        self.exchange.receive(first)
        self.bodies = [received.response.body for received in self.exchange.responses]

    def request(self, request_id="second"):
        """Send another request; return False if the connection may not carry it."""
        connection = self.exchange.connection
        if not connection.is_reusable or not connection.may_carry(request_id):
            return False
        connection.exchange(HEAD, b"", identification(request_id)).addCallbacks(
            lambda received: self.bodies.append(received.response.body),
            lambda reason: self.exchange.errors.append(reason.value),
        )
        return True


class TestLateCopies:
    """A second copy of an answer on a connection that is in use again."""

    @pytest.mark.parametrize("request_id", [b"own", b"other", None])
    def test_copy_before_the_answer(self, request_id):
        """It is not taken for the answer, whether it names its request or not."""
        conversation = Conversation(answer(b"own", b"first"))
        assert conversation.request()
        conversation.exchange.receive(answer(request_id, b"late"))
        assert b"late" not in conversation.bodies
        conversation.exchange.receive(answer(b"second", b"second"))
        assert conversation.bodies in ([b"first"], [b"first", b"second"])
        assert not conversation.exchange.connection.is_reusable

    @pytest.mark.parametrize("request_id", [b"own", b"other", None])
    def test_copy_right_behind_the_answer(self, request_id):
        """The connection is not used again."""
        conversation = Conversation(answer(b"own", b"first") + answer(request_id, b"late"))
        assert conversation.bodies == [b"first"]
        assert not conversation.request()

    @pytest.mark.parametrize("request_id", [b"own", b"other", None])
    def test_copy_while_nothing_is_asked(self, request_id):
        """The connection is closed as the copy arrives."""
        conversation = Conversation(answer(b"own", b"first"))
        conversation.exchange.receive(answer(request_id, b"late"))
        assert not conversation.request()

    @pytest.mark.parametrize("between", [0, 1, 5])
    def test_same_request_again(self, between):
        """The copy of its first answer could not be told from the second one."""
        conversation = Conversation(answer(b"own", b"first"))
        for number in range(between):
            assert conversation.request(f"other-{number}")
            conversation.exchange.receive(answer(b"other-%d" % number, b"other"))
        assert not conversation.request("own")
        assert conversation.request("second")

    def test_request_without_a_name_after_a_named_one(self):
        """Any answer could be its own, so it needs a connection that has carried nothing."""
        conversation = Conversation(answer(b"own", b"first"))
        assert not conversation.request(None)
        assert conversation.request()

    @pytest.mark.parametrize("request_id", ["second", None])
    def test_server_that_names_no_request(self, request_id):
        """Its answers can't be told apart, so each needs a connection of its own."""
        conversation = Conversation(answer(None, b"first"))
        assert conversation.bodies == [b"first"]
        assert not conversation.request(request_id)
        assert conversation.exchange.is_closed

    def test_number_of_requests_is_bounded(self):
        """A connection remembers each of its requests, so it carries only so many."""
        conversation = Conversation(answer(b"own", b"first"))
        count = 1
        while conversation.request(f"id-{count}"):
            conversation.exchange.receive(answer(b"id-%d" % count, b"next"))
            count += 1
        assert count == 256
        assert len(conversation.bodies) == 256
        assert conversation.exchange.is_closed
