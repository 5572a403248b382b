"""Requests of routes below /v1/services/ were taken for calls by service name (issue 49)."""

import attrs
import pytest
from twisted.internet import task

import test_entry
import test_homes_in_force
import test_request_flow
from carobhook.coordination import catalog
from carobhook.state import allocation, ids, routing

TARGET = b"/v1/services/svc/7?x=1"
OTHER = ids.Service("other")
ROUTE = routing.Route(
    "added",
    "shop.example",
    "/v1/services/",
    routing.Idempotency.ONCE,
    4.0,
    2.0,
    1,
    (routing.WeightedService(OTHER, 1),),
    2,
    False,
)


class TestRouteBelowTheOwnInterface(test_entry.EntryCase):
    """A configuration names a route whose prefix is that of the product's own interface."""

    async def setUp(self):
        """Add the route, for requests that run at most once."""
        await super().setUp()
        added = test_entry.route("/v1/services/", "unsafe")
        self.store.put("config", "main", test_entry.config(2, test_entry.route(), added))
        catalog_ = self.daemons[0]._catalog
        await self.wait_until(lambda: catalog_.config.version == 2)

    async def test_path_is_unchanged(self):
        """Its first part was cut off as the name of a service."""
        response = await self.request("/v1/services/svc/7?x=1", b"POST", b"order")
        assert response.status == 200
        heads = [head for backend in self.backends.values() for head in backend.heads]
        assert [head.target for head in heads][-1] == b"/v1/services/svc/7?x=1"

    async def test_name_of_no_service(self):
        """It got 404, which clients do not repeat."""
        assert (await self.request("/v1/services/zeke/7")).status == 200

    async def test_headers_of_the_own_interface_mean_nothing(self):
        """They are the route's clients' own, and were 400 if they held no number."""
        response = await self.request("/v1/services/zeke/7", Carobhook_Rank="high")
        assert response.status == 200

    async def test_method_does_not_decide_what_is_repeated(self):
        """A DELETE whose answer was lost ran again on a second server."""
        self.set_behaviour(reset=True)
        await self.request("/v1/services/svc/7", b"DELETE")
        assert len(self.started_ids) == 1


def config(version, *routes):
    """Return a configuration with two services."""
    policies = {
        name: attrs.evolve(test_homes_in_force.POLICY, name=name)
        for name in (test_homes_in_force.SERVICE, OTHER)
    }
    return routing.RoutingConfig(version, routes, policies)


class TestRouteAddedMeanwhile:
    """A route comes into force while a call by service name is under way."""

    def setup_method(self):
        """Know a server of each service, and no route."""
        self.known = catalog.Catalog()
        self.known.replace_config_if_newer(config(1))
        for name, service in (("n1", test_homes_in_force.SERVICE), ("o1", OTHER)):
            entry = test_homes_in_force.entry(name, test_homes_in_force.DOMAIN)
            self.known.put(attrs.evolve(entry, service=service), 0.0)
        self.allocator = test_request_flow.FakeSlotAllocator()
        self.servers = test_request_flow.FakeServers()

    def start(self, **context_fields):
        """Start the call; return its responses."""
        return test_homes_in_force.start_request(
            task.Clock(), self.known, self.allocator, self.servers, TARGET, **context_fields
        )

    def test_waiting_call_becomes_the_routes_request(self):
        """The service that it named gets nothing; the route's gets the path unchanged."""
        self.start()
        self.known.replace_config_if_newer(config(2, ROUTE))
        self.allocator.grant("n1")
        assert self.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]
        assert self.servers.attempts == []
        assert self.allocator.requests[-1][0].service == OTHER
        self.allocator.grant("o1")
        assert self.servers.attempts[0].build_head().target == TARGET

    def test_call_that_is_about_to_be_sent(self):
        """The last look is when the bytes leave."""
        self.start()
        self.allocator.grant("n1")
        assert self.servers.attempts[0].may_send()
        self.known.replace_config_if_newer(config(2, ROUTE))
        assert not self.servers.attempts[0].may_send()

    def test_call_without_such_a_route(self):
        """The own interface stays."""
        self.start()
        self.known.replace_config_if_newer(config(2, attrs.evolve(ROUTE, prefix="/v1/x/")))
        self.allocator.grant("n1")
        assert self.servers.attempts[0].build_head().target == b"/7?x=1"

    @pytest.mark.parametrize("is_recent", [True, False])
    def test_newer_configuration_may_have_the_route(self, is_recent):
        """A client of the platform is told to come back, and no other service runs it."""
        responses = self.start(is_config_recent=lambda: is_recent)
        assert [response.status for response in responses] == ([] if is_recent else [503])
        assert len(self.allocator.requests) == is_recent
