"""Tests of carobhook.coordination.request_routing and refusals: where requests are sent."""

import collections

import attrs

from carobhook.coordination import refusals, request_routing, steering
from carobhook.state import codes, ids, routing

NORTH, SOUTH = ids.Region("north"), ids.Region("south")
ROUTE = routing.Route(
    "r",
    "shop.example",
    "/a/",
    routing.Idempotency.REPEATABLE,
    2.0,
    0.5,
    1,
    (routing.WeightedService(ids.Service("one"), 1),),
    2,
    True,
)
DEEPER = attrs.evolve(ROUTE, name="deeper", prefix="/a/b/")


def config(*routes):
    """Return a configuration of some routes."""
    return routing.RoutingConfig(1, routes, {})


def make_router(region=NORTH):
    """Return a router without operators' orders."""
    return request_routing.RequestRouter(region, steering.Steering({}))


class TestRouteRequest:
    """Route, region and deadlines of a request."""

    def test_longest_prefix_wins(self):
        """Of the routes of the host, the one with the longest matching prefix is chosen."""
        router = make_router()
        routes = config(ROUTE, DEEPER)
        assert router.route_request(routes, "shop.example", "/a/b/c", 1.0, 0.0).route is DEEPER
        assert router.route_request(routes, "Shop.Example:80", "/a/bc", 1.0, 0.0).route is ROUTE

    def test_unknown_path_gets_404_and_missing_config_gets_503(self):
        """An unknown path gets 404; without a configuration, 503 says that nothing was run."""
        router = make_router()
        unknown = router.route_request(config(ROUTE), "shop.example", "/b/", 1.0, 0.0)
        assert (unknown.code, unknown.status) == (codes.Code.NO_ROUTE, 404)
        unconfigured = router.route_request(None, "shop.example", "/a/", 1.0, 0.0)
        assert (unconfigured.code, unconfigured.status) == (codes.Code.NO_CONFIG, 503)

    def test_unknown_path_gets_503_while_a_newer_configuration_may_exist(self):
        """A client does not repeat what was not found, so 404 is said only if it is known."""
        refusal = make_router().route_request(
            config(ROUTE), "shop.example", "/b/", 1.0, 0.0, is_confirmed=False
        )
        assert (refusal.code, refusal.status) == (codes.Code.ROUTE_UNCONFIRMED, 503)
        assert refusal.retry_after_s
        known = make_router().route_request(
            config(ROUTE), "shop.example", "/a/", 1.0, 0.0, is_confirmed=False
        )
        assert known.route is ROUTE

    def test_timeout_and_time_left_limit_deadline(self):
        """The deadline is the earlier of the route's timeout and the client's deadline."""
        router = make_router()
        assert (
            router.route_request(config(ROUTE), "shop.example", "/a/", 9.0, 10.0).deadline_at
            == 12.0
        )
        assert (
            router.route_request(config(ROUTE), "shop.example", "/a/", 1.0, 10.0).deadline_at
            < 11.0
        )

    def test_repeated_request_has_earlier_target(self):
        """The target is earlier by the time that the client has waited already."""
        router = make_router()
        router.route_request(config(ROUTE), "shop.example", "/a/", 3.0, 0.0)
        repeated = router.route_request(config(ROUTE), "shop.example", "/a/", 2.4, 1.0)
        assert repeated.target_at == 1.0 + 0.5 - (3.0 - 2.4)

    def test_home_region_is_chosen(self):
        """A request that only another region may run is sent to that region."""
        homed = attrs.evolve(ROUTE, homes=frozenset({SOUTH}))
        decision = make_router().route_request(config(homed), "shop.example", "/a/", 1.0, 0.0)
        assert decision.region == SOUTH


class TestChooseService:
    """Services of a route that is split by weights."""

    def test_choices_follow_weights(self):
        """In any hundred requests, each service gets its share within one request."""
        shares = tuple(
            routing.WeightedService(ids.Service(name), weight)
            for name, weight in (("one", 70), ("two", 25), ("three", 5))
        )
        split = attrs.evolve(ROUTE, weighted_services=shares)
        router = make_router()
        chosen = [router.choose_service(split) for _ in range(1000)]
        for start in range(0, 900, 37):
            counted = collections.Counter(chosen[start : start + 100])
            assert abs(counted["one"] - 70) <= 1
            assert abs(counted["two"] - 25) <= 1
            assert abs(counted["three"] - 5) <= 1


class TestRefusal:
    """HTTP statuses, which say whether a request was run."""

    def test_status_after_send(self):
        """The refusal of a request that may have run never says that it was not run."""
        sent = refusals.Refusal(codes.Code.DEADLINE_UNMEETABLE, may_have_run=True)
        assert sent.status == 502
        assert refusals.Refusal(codes.Code.DEADLINE_UNMEETABLE).status == 503

    def test_status_of_request_that_waited(self):
        """A request that waited until its deadline was not run, so it may be sent again."""
        waited = refusals.Refusal(codes.Code.DEADLINE_PASSED_QUEUED)
        assert waited.status == 503
        sent = refusals.Refusal(codes.Code.DEADLINE_PASSED_QUEUED, may_have_run=True)
        assert sent.status == 504
