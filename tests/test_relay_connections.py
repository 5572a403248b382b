"""Tests of carobhook.transport.relay_connections."""

import pytest
from twisted.internet import defer, testing

import protocol_samples
import test_member_streams
import test_mixed_builds
from carobhook.protocol import membership_messages, peer_codec
from carobhook.state import ids
from carobhook.transport import peers, relay_connections

PEER = test_member_streams.member("peer", "127.0.0.1:5")
REQUEST = protocol_samples.sample_message("RelayRequest")
RESPONSE = protocol_samples.sample_message("RelayResponse")


class Origin:
    """An instance that relays its requests through another one."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        identity = peers.Identity(ids.InstanceId("own"), ids.Incarnation("0" * 16), b"key")
        self.connections = relay_connections.RelayConnections(self.reactor, identity)
        self.transports = []

    def open(self):
        """Return an open connection; accept it if it is a new one."""
        count = len(self.reactor.tcpClients)
        opening = defer.ensureDeferred(self.connections.open(PEER))
        if len(self.reactor.tcpClients) > count:
            connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
            transport = test_mixed_builds.Transport()
            connection.makeConnection(transport)
            challenge = membership_messages.Challenge(b"n" * 16)
            connection.dataReceived(peer_codec.CODEC.encode(challenge))
            self.transports.append(transport)
        return opening.result

    def exchange(self, connection):
        """Send a request on a connection; return what comes of it."""
        return defer.ensureDeferred(self.connections.exchange(PEER.name, connection, REQUEST))

    def use(self, connection):
        """Let a request be answered on a connection."""
        exchange = self.exchange(connection)
        connection.dataReceived(peer_codec.CODEC.encode(RESPONSE))
        assert exchange.result == RESPONSE


class TestIdleConnection:
    """A connection on which the other side may have ended waits for the next request.

    A request on it counts as one that may have run, and fails if it must not run twice.
    """

    def setup_method(self):
        """Start an instance."""
        self.origin = Origin()

    @pytest.mark.parametrize(("idle_s", "is_same"), [(4.0, True), (6.0, False)])
    def test_used_connection(self, idle_s, is_same):
        """An instance that has stood still closes idle connections late."""
        connection = self.origin.open()
        self.origin.use(connection)
        self.origin.reactor.advance(idle_s)
        assert (self.origin.open() is connection) is is_same
        assert self.origin.transports[0].abort_count == (0 if is_same else 1)

    @pytest.mark.parametrize(("idle_s", "is_same"), [(0.5, True), (1.5, False)])
    def test_connection_that_carried_no_request(self, idle_s, is_same):
        """The other side waits for a first request for two seconds only."""
        connection = self.origin.open()
        self.origin.connections.keep(PEER.name, connection)
        self.origin.reactor.advance(idle_s)
        assert (self.origin.open() is connection) is is_same

    def test_idle_connections_are_closed(self):
        """Each takes a descriptor."""
        unused, used = self.origin.open(), self.origin.open()
        self.origin.use(used)
        self.origin.connections.keep(PEER.name, unused)
        self.origin.reactor.advance(1.5)
        self.origin.connections.close_idle(self.origin.reactor.seconds())
        assert [t.abort_count for t in self.origin.transports] == [1, 0]
        self.origin.reactor.advance(4.0)
        self.origin.connections.close_idle(self.origin.reactor.seconds())
        assert [t.abort_count for t in self.origin.transports] == [1, 1]

    def test_connection_that_the_other_side_closed(self):
        """The request is sent on another one."""
        connection = self.origin.open()
        self.origin.use(connection)
        connection.connectionLost()
        assert self.origin.open() is not connection


class TestLostInstance:
    """The other instance ends."""

    def test_request_that_was_sent_may_have_run(self):
        """Its failure says so."""
        origin = Origin()
        connection = origin.open()
        exchange = origin.exchange(connection)
        connection.connectionLost()
        assert exchange.result.check(relay_connections.RelayLostError)
        exchange.addErrback(lambda _: None)

    def test_request_that_was_not_sent(self):
        """It has not run, and another instance may relay it."""
        origin = Origin()
        opening = defer.ensureDeferred(origin.connections.open(PEER))
        connection = origin.reactor.tcpClients[-1][2].buildProtocol(None)
        connection.makeConnection(test_mixed_builds.Transport())
        connection.connectionLost()
        assert opening.result.check(relay_connections.RelayNotSentError)
        opening.addErrback(lambda _: None)
