"""Tests of carobhook.transport.graceful_stop."""

import socket
import time

import pytest
from twisted.internet import defer, reactor, task, threads
from twisted.trial import unittest

from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_connections, graceful_stop

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class TestStopTimes:
    """The order of the steps of a stop."""

    @pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 4.0, 6.0, 10.0, 60.0])
    def test_steps_are_in_order_within_the_grace_period(self, grace_s):
        """Requests are limited before connections are refused, and all ends before the kill."""
        times = graceful_stop.StopTimes.within(100.0, grace_s)
        steps = [times.limit_at, times.close_at, times.refuse_at, times.abort_at]
        assert steps == sorted(steps)
        assert times.limit_at > 100.0
        assert times.abort_at < 100.0 + grace_s


class IdleRequests:
    """Requests of an instance that answers each one at once."""

    in_flight = 0

    def limit_to(self, ends_at):
        """Do nothing."""

    def refuse_waiting(self):
        """Do nothing."""


class TestLateStop(unittest.TestCase):
    """Connections that were opened while the event loop was late were reset by a stop."""

    async def test_connection_that_was_not_accepted_yet_is_served(self):
        """Its client has sent a request, which the system holds."""
        listener = client_connections.ClientListener(
            reactor,
            lambda request, respond: respond(http1.Response(200, b"OK", (), b"served")),
            routing.ClientLimits,
            8,
            1024,
        )
        port = reactor.listenTCP(0, listener, interface="127.0.0.1")
        clients = graceful_stop.ClientSide(IdleRequests(), listener, (), int, int)
        now = reactor.seconds()
        times = graceful_stop.StopTimes(now, now, now + 1.0, now + 1.2)
        with socket.create_connection(("127.0.0.1", port.getHost().port), 2.0) as client:
            client.sendall(GET)
            stopping = graceful_stop.GracefulStop(reactor, clients).finish_requests(port, times)
            stopped = defer.ensureDeferred(stopping)
            data = await threads.deferToThread(client.recv, 1024)
        await stopped
        assert data.startswith(b"HTTP/1.1 200 ")


class AbortedRequests(IdleRequests):
    """A request that runs until the stop aborts it, and then gets a large answer."""

    def __init__(self, before_answer):
        self.respond = None
        self.before_answer = before_answer

    def refuse_waiting(self):
        """Let the client send more."""
        self.before_answer()

    def handle(self, request, respond):
        """Keep the request."""
        self.respond = respond

    def abort(self):
        """Answer it."""
        self.respond(http1.Response(200, b"OK", (), b"x" * 60_000))


class TestEndOfTheGracePeriod(unittest.TestCase):
    """A reset took the last answer from a client that had sent another request meanwhile."""

    async def test_client_gets_the_whole_last_answer(self):
        """It reads slowly while the instance closes its connections, and after that."""
        with socket.socket() as client:
            # A part of the answer waits at the instance's end of the connection.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reading = []

            def send_and_read():
                client.sendall(GET)
                reading.append(threads.deferToThread(read_slowly, client))

            requests = AbortedRequests(send_and_read)
            listener = client_connections.ClientListener(
                reactor, requests.handle, routing.ClientLimits, 8, 1024 * 1024
            )
            listener.closes_when_answered = True
            port = reactor.listenTCP(0, listener, interface="127.0.0.1")
            clients = graceful_stop.ClientSide(requests, listener, (), int, int)
            await threads.deferToThread(client.connect, ("127.0.0.1", port.getHost().port))
            client.sendall(GET)
            while requests.respond is None:
                await task.deferLater(reactor, 0.01)
            await graceful_stop.GracefulStop(reactor, clients).close_connections([port])
            assert listener.open_connections == 0
            data = await reading[0]
        assert data.endswith(b"x" * 60_000)


def read_slowly(client):
    """Return all that a socket receives until its end."""
    parts = []
    while part := client.recv(2048):
        parts.append(part)
        time.sleep(0.03)
    return b"".join(parts)
