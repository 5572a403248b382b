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


def match(response):
    """Return whether a response has the attempt id of the request."""
    return requests.ServerCodec().match_attempt(response, "own")


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
        self.connection.exchange(HEAD, b"", match).addCallbacks(
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
        first: Bytes that answer the first request.
    """

    def __init__(self, first):
        self.exchange = Exchange()
        self.exchange.receive(first)
        self.bodies = [received.response.body for received in self.exchange.responses]

    def request(self, match=match):
        """Send another request; return False if the connection is not used again."""
        if not self.exchange.connection.is_reusable:
            return False
        self.exchange.connection.exchange(HEAD, b"", match).addCallbacks(
            lambda received: self.bodies.append(received.response.body),
            lambda reason: self.exchange.errors.append(reason.value),
        )
        return True


class TestLateCopies:
    """A second copy of an answer on a connection that is in use again."""

    @pytest.mark.parametrize("request_id", [b"other", None])
    def test_copy_before_the_answer(self, request_id):
        """It is not taken for the answer, whether it names its request or not."""
        conversation = Conversation(answer(b"own", b"first"))
        assert conversation.request()
        conversation.exchange.receive(answer(request_id, b"late"))
        assert b"late" not in conversation.bodies
        conversation.exchange.receive(answer(b"own", b"second"))
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

    def test_request_without_a_name_between_named_ones(self):
        """Its answer names no request either, and late copies are still told from answers."""
        conversation = Conversation(answer(b"own", b"first"))
        assert conversation.request(
            lambda response: requests.ServerCodec().match_attempt(response, None)
        )
        conversation.exchange.receive(answer(None, b"second"))
        assert conversation.bodies == [b"first", b"second"]
        assert conversation.request()
        conversation.exchange.receive(answer(None, b"late"))
        assert conversation.bodies == [b"first", b"second"]

    def test_server_that_names_no_request(self):
        """Nothing can be told of its answers; each is taken for the one that is due."""
        conversation = Conversation(answer(None, b"first"))
        assert conversation.request()
        conversation.exchange.receive(answer(None, b"second"))
        assert conversation.bodies == [b"first", b"second"]
