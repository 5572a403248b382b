"""Tests that a request is sent only where the configuration in force allows it by then."""

import random

import attrs
import pytest
from twisted.internet import defer, task, testing

import test_request_flow
from carobhook import entry_metrics
from carobhook.coordination import catalog, relay_choice, steering
from carobhook.platform import requests
from carobhook.protocol import http1, path_messages
from carobhook.state import allocation, ids, routing, servers
from carobhook.transport import (
    client_connections,
    direct_exchange,
    entry_requests,
    notice_board,
    peers,
    relay_connections,
    server_connections,
    server_exchange,
)

NORTH, SOUTH = ids.Region("north"), ids.Region("south")
DOMAIN = ids.FailureDomain("north-a")
REGIONS = {DOMAIN: NORTH, ids.FailureDomain("south-a"): SOUTH}
SERVICE = ids.Service("svc")
POLICY = routing.ServicePolicy(SERVICE, "/health", 100, 3.0, 5.0)


def config(version, homes=(), idempotency=routing.Idempotency.REPEATABLE):
    """Return a configuration with one route."""
    route = routing.Route(
        "r",
        "shop.example",
        "/a/",
        idempotency,
        4.0,
        2.0,
        1,
        (routing.WeightedService(SERVICE, 1),),
        3,
        False,
        frozenset(homes),
    )
    return routing.RoutingConfig(version, (route,), {SERVICE: POLICY})


def entry(name, domain):
    """Return the entry of a ready server."""
    return servers.ServerEntry(
        ids.Server(name), SERVICE, domain, f"{name}:1", 1, servers.ServerState.READY, 0.0
    )


def start_request(reactor, known, allocator, connections, target=b"/a/x", **context_fields):
    """Start a request at an instance in the north; return its responses."""
    metrics = entry_metrics.EntryMetrics(dict.fromkeys(entry_metrics.EntryMetric, float))
    context = entry_requests.RequestContext(
        known,
        steering.Steering(REGIONS),
        allocator,
        connections,
        metrics,
        test_request_flow.FakeObserver(),
        notice_board.NoticeBoard(
            reactor, requests.ServerCodec(), known, lambda: None, lambda message: None
        ),
        **context_fields,
    )
    handler = entry_requests.EntryRequests(
        reactor, NORTH, DOMAIN, ids.Incarnation("0" * 16), context
    )
    headers = ((b"Host", b"shop.example"), (b"X-Attempt-Id", b"id-1"))
    head = http1.RequestHead(b"GET", target, headers)
    responses = []
    handler.handle(
        client_connections.ClientRequest(head, b"", "10.0.0.1", 0.0), responses.append
    )
    return responses


class TestHomesInForce:
    """A configuration adds homes to a route while one of its requests is under way."""

    def setup_method(self):
        """Start a request when its route has no homes."""
        self.known = catalog.Catalog()
        self.known.replace_config_if_newer(config(1))
        for name, domain in (("n1", "north-a"), ("n2", "north-a"), ("s1", "south-a")):
            self.known.put(entry(name, ids.FailureDomain(domain)), 0.0)
        self.allocator = test_request_flow.FakeSlotAllocator()
        self.servers = test_request_flow.FakeServers()
        start_request(task.Clock(), self.known, self.allocator, self.servers)

    def test_grant_of_an_older_configuration_is_not_used(self):
        """A server outside the homes that were added since gets nothing."""
        self.known.replace_config_if_newer(config(2, [SOUTH]))
        self.allocator.grant("n1")
        assert not self.servers.exchanges
        assert self.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]

    def test_further_attempt_asks_for_a_server_in_the_homes(self):
        """A retry asks for a slot where the homes in force are, not those on arrival."""
        self.allocator.grant("n1")
        self.known.replace_config_if_newer(config(2, [SOUTH]))
        self.servers.respond(503, X_Not_Executed="1")
        request, region = self.allocator.requests[-1]
        assert len(self.allocator.requests) == 2
        assert (region, request.homes) == (SOUTH, {SOUTH})


PROBE = http1.RequestHead(b"GET", b"/health", ())
IDENTITY = peers.Identity(ids.InstanceId("one"), ids.Incarnation("0" * 16), b"")
CHANGES = {
    "drain": lambda known: known.put(
        attrs.evolve(entry("n1", DOMAIN), state=servers.ServerState.DRAINING), 0.4
    ),
    "evacuation": lambda known: known.set_evacuated(frozenset({DOMAIN})),
    "homes": lambda known: known.replace_config_if_newer(config(2, [SOUTH])),
}


class TestLastLook:
    """A server may not be used any more when the connection to it opens."""

    @pytest.mark.parametrize("change", CHANGES)
    def test_no_bytes_leave_after_a_change(self, change):
        """The last look is when the bytes leave, not when the slot was granted."""
        assert self.sent_after(change, routing.Idempotency.REPEATABLE) == b""

    @pytest.mark.parametrize("change", ["drain", "evacuation"])
    def test_no_probe_leaves_after_a_change(self, change):
        """One goes before a request that must not run twice."""
        assert self.sent_after(change, routing.Idempotency.ONCE) == b""

    def test_no_request_leaves_with_a_probe(self):
        """Its home moved: the server may be probed, and must not get the request."""
        assert b"/a/" not in self.sent_after("homes", routing.Idempotency.ONCE)

    def sent_after(self, change, idempotency):
        """Return the bytes that are sent when the connection opens after a change."""
        reactor, known = testing.MemoryReactorClock(), catalog.Catalog()
        known.replace_config_if_newer(config(1, idempotency=idempotency))
        known.put(entry("n1", DOMAIN), 0.0)
        allocator = test_request_flow.FakeSlotAllocator()
        rng = random.Random(1)
        direct = direct_exchange.DirectExchange(
            reactor,
            rng,
            server_connections.ServerConnections(reactor, 0.5),
            direct_exchange.KnownServers(
                lambda: known.server_count,
                known.usable_addresses,
                # The allocator's fake grants servers without their addresses.
                lambda address: PROBE if known.is_usable("n1") else None,
            ),
            lambda address: defer.succeed(path_messages.Reach.UNREACHED),
            lambda reason: None,
        )
        exchange = server_exchange.ServerExchange(
            reactor,
            direct,
            relay_connections.RelayConnections(reactor, IDENTITY),
            relay_choice.RelayChoice(rng, NORTH),
            list,
            known.run_of,
            lambda run, response: None,
        )
        start_request(reactor, known, allocator, exchange)
        allocator.grant("n1")
        CHANGES[change](known)
        connection = reactor.tcpClients[0][2].buildProtocol(None)
        transport = testing.StringTransport()
        transport.setTcpNoDelay = lambda on: None
        connection.makeConnection(transport)
        reactor.advance(0.0)
        return transport.value()
