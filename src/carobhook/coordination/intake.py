"""Decides what becomes of a request when it comes in: its route, service, region and times."""

import attrs

from carobhook.coordination import refusals, smooth_round_robin, steering
from carobhook.protocol import client_api
from carobhook.state import codes, ids, routing

# Time that a client waits if it does not say; the route's timeout binds besides.
_DEFAULT_TIME_LEFT_S = 30.0
# An answer that is sent at the client's deadline arrives after it.
_CLIENT_MARGIN_S = 0.03
# Of a request to a service by its name: part of its time in which its answer is timely, and
# the most servers that it may be sent to.
_TARGET_SHARE = 0.5
_CALL_ATTEMPTS = 2


@attrs.frozen
class Placed:
    """Where a request goes and how long it may take.

    Attributes:
        route: Its route.
        service: The service that is to run it.
        region: Region whose dispatcher is asked.
        fallback: Region that is asked if that one refuses, None for none.
        priority: Rank of the request; 0 is the most urgent.
        target_at: Monotonic time in seconds until which an answer earns its full worth.
        deadline_at: Monotonic time in seconds of the final answer.
    """

    route: routing.Route
    service: ids.Service
    region: ids.Region
    fallback: ids.Region | None
    priority: int
    target_at: float
    deadline_at: float


@attrs.define
class Intake:
    """Places requests by the configuration.

    Load pattern: a client that was refused comes back with less time. The longest time that was
    seen on a route is what a first attempt has, so the difference is what the client has waited
    already, and its target is that much nearer.

    Attributes:
        region: Region of this instance.
        orders: Operators' orders in force.
    """

    region: ids.Region
    orders: steering.Steering
    _choice: smooth_round_robin.SmoothRoundRobin[ids.Service] = attrs.field(
        factory=smooth_round_robin.SmoothRoundRobin, init=False
    )
    _longest_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def place(
        self,
        config: routing.RoutingConfig | None,
        host: str,
        path: str,
        time_left_s: float | None,
        began_at: float,
    ) -> Placed | refusals.Refusal:
        """Return where a request goes, or why it is refused.

        Args:
            config: Configuration in force, None before the first.
            host: Value of its host header.
            path: Its path without the query.
            time_left_s: Seconds that the client still waits, None if it does not say.
            began_at: Monotonic time in seconds at which it came.
        """
        if config is None:
            return refusals.Refusal(codes.Code.NO_CONFIG, retry_after_s=0.5)
        route = config.match(host, path)
        if route is None:
            return refusals.Refusal(codes.Code.NO_ROUTE, detail=f"{host}{path}")
        left_s = _DEFAULT_TIME_LEFT_S if time_left_s is None else time_left_s
        longest_s = max(self._longest_s.get(route.name, 0.0), left_s)
        self._longest_s[route.name] = longest_s
        waited_s = longest_s - left_s if time_left_s is not None else 0.0
        deadline_at = began_at + min(route.timeout_s, left_s - _CLIENT_MARGIN_S)
        service = self.pick(route)
        priority = self.orders.priority(route.name, route.priority)
        target_at = began_at + route.target_s - waited_s
        return self._placed(route, service, priority, target_at, deadline_at)

    def place_call(
        self,
        config: routing.RoutingConfig | None,
        call: client_api.ServiceCall,
        began_at: float,
    ) -> Placed | refusals.Refusal:
        """Return where a request to a service goes, or why it is refused.

        Args:
            config: Configuration in force, None before the first.
            call: The request.
            began_at: Monotonic time in seconds at which it came.
        """
        if config is None:
            return refusals.Refusal(codes.Code.NO_CONFIG, retry_after_s=0.5)
        if call.service not in config.services:
            detail = f"no service {call.service!r}"
            return refusals.Refusal(codes.Code.NO_ROUTE, detail=detail)
        left_s = _DEFAULT_TIME_LEFT_S if call.time_left_s is None else call.time_left_s
        route = routing.Route(
            name=f"service/{call.service}",
            host="",
            prefix="/",
            idempotency=_idempotency(call),
            timeout_s=left_s,
            target_s=left_s * _TARGET_SHARE,
            priority=call.priority,
            weighted_services=(routing.WeightedService(call.service, 1),),
            max_attempts=_CALL_ATTEMPTS,
            object_affinity=False,
        )
        target_at = began_at + route.target_s
        deadline_at = began_at + left_s - _CLIENT_MARGIN_S
        return self._placed(route, call.service, call.priority, target_at, deadline_at)

    def pick(self, route: routing.Route) -> ids.Service:
        """Return the service that takes a route's next request, by the weights.

        The choice is smooth: over any few requests each service gets its part.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights: dict[ids.Service, float] = {}
        for share in route.weighted_services:
            weights[share.service] = weights.get(share.service, 0.0) + share.weight
        return self._choice.choose(route.name, weights)

    def _placed(
        self,
        route: routing.Route,
        service: ids.Service,
        priority: int,
        target_at: float,
        deadline_at: float,
    ) -> Placed:
        """Return where a request goes by the orders of operators."""
        home = self._home_of(route)
        region = self.orders.region_for(service, home, priority, route.homes)
        fallback = home if region != home else None
        return Placed(route, service, region, fallback, priority, target_at, deadline_at)

    def _home_of(self, route: routing.Route) -> ids.Region:
        if not route.homes or self.region in route.homes:
            return self.region
        return min(route.homes)


def _idempotency(call: client_api.ServiceCall) -> routing.Idempotency:
    if call.repeatable:
        return routing.Idempotency.REPEATABLE
    return routing.Idempotency.ONCE
