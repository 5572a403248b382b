"""Tests of carobhook.coordination.intake."""

import collections

import attrs

from carobhook.coordination import intake, refusals, steering
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
    """Return a configuration."""
    return routing.RoutingConfig(1, routes, {})


def made(region=NORTH):
    """Return an intake without orders of operators."""
    return intake.Intake(region, steering.Steering({}))


class TestPlace:
    """Route, region and times of a request."""

    def test_longest_prefix_wins(self):
        """Among the routes of the host, the longest prefix that begins the path counts."""
        one = made()
        given = config(ROUTE, DEEPER)
        assert one.place(given, "shop.example", "/a/b/c", 1.0, 0.0).route is DEEPER
        assert one.place(given, "Shop.Example:80", "/a/bc", 1.0, 0.0).route is ROUTE

    def test_unknown_path_is_404_and_no_configuration_503(self):
        """An instance that knows no configuration promises that nothing ran."""
        one = made()
        unknown = one.place(config(ROUTE), "shop.example", "/b/", 1.0, 0.0)
        assert (unknown.code, unknown.status) == (codes.Code.NO_ROUTE, 404)
        early = one.place(None, "shop.example", "/a/", 1.0, 0.0)
        assert (early.code, early.status) == (codes.Code.NO_CONFIG, 503)

    def test_timeout_and_time_left_both_bind(self):
        """The answer is due at the earlier of the two."""
        one = made()
        assert one.place(config(ROUTE), "shop.example", "/a/", 9.0, 10.0).deadline_at == 12.0
        assert one.place(config(ROUTE), "shop.example", "/a/", 1.0, 10.0).deadline_at < 11.0

    def test_returning_request_has_less_time_to_its_target(self):
        """What the client has waited already is taken off."""
        one = made()
        one.place(config(ROUTE), "shop.example", "/a/", 3.0, 0.0)
        back = one.place(config(ROUTE), "shop.example", "/a/", 2.4, 1.0)
        assert back.target_at == 1.0 + 0.5 - (3.0 - 2.4)

    def test_homes_name_the_region(self):
        """A route that another region must serve is asked for there."""
        homed = attrs.evolve(ROUTE, homes=frozenset({SOUTH}))
        placed = made().place(config(homed), "shop.example", "/a/", 1.0, 0.0)
        assert placed.region == SOUTH


class TestPick:
    """Shares of a split route."""

    def test_every_few_requests_follow_the_weights(self):
        """Over any hundred requests each part gets its share within one request."""
        shares = tuple(
            routing.WeightedService(ids.Service(name), weight)
            for name, weight in (("one", 70), ("two", 25), ("three", 5))
        )
        split = attrs.evolve(ROUTE, weighted_services=shares)
        one = made()
        picked = [one.pick(split) for _ in range(1000)]
        for start in range(0, 900, 37):
            counted = collections.Counter(picked[start : start + 100])
            assert abs(counted["one"] - 70) <= 1
            assert abs(counted["two"] - 25) <= 1
            assert abs(counted["three"] - 5) <= 1


class TestRefusal:
    """Statuses that promise."""

    def test_no_promise_after_a_send(self):
        """A refusal of what may have run never says that it did not."""
        sent = refusals.Refusal(codes.Code.DEADLINE_UNMEETABLE, may_have_run=True)
        assert sent.status == 502
        assert refusals.Refusal(codes.Code.DEADLINE_UNMEETABLE).status == 503

    def test_promise_is_made_where_it_is_true(self):
        """What waited until its deadline was not run, so its client may come back."""
        waited = refusals.Refusal(codes.Code.DEADLINE_PASSED_QUEUED)
        assert waited.status == 503
        sent = refusals.Refusal(codes.Code.DEADLINE_PASSED_QUEUED, may_have_run=True)
        assert sent.status == 504
