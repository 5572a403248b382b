"""Tests of carobhook.transport.graceful_stop."""

import socket

import pytest
from twisted.internet import defer, reactor, threads
from twisted.trial import unittest

from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_connections, graceful_stop


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
            client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            stopping = graceful_stop.GracefulStop(reactor, clients).finish_requests(port, times)
            stopped = defer.ensureDeferred(stopping)
            data = await threads.deferToThread(client.recv, 1024)
        await stopped
        assert data.startswith(b"HTTP/1.1 200 ")
