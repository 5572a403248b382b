"""Decides the route, service, region and deadlines of an incoming request."""

import attrs

from carobhook.coordination import account_access, refusals, smooth_round_robin, steering
from carobhook.protocol import client_api
from carobhook.state import client_accounts, codes, ids, routing

# Time left that is assumed for a client that states none. The timeout of a matching route also
# applies.
_DEFAULT_TIME_LEFT_S = 30.0
# Subtracted from the client's time left: a response that is sent only at the client's deadline
# would arrive after it.
_CLIENT_MARGIN_S = 0.03
# Requests that name a service have no configured route, so the next two constants replace the
# settings of a route. Latency target, as a fraction of the client's time left.
_CALL_TARGET_FRACTION = 0.5
# Maximum number of servers that such a request is sent to.
_CALL_MAX_ATTEMPTS = 2
# Seconds after which a client that no known route serves is told to come back, while it is not
# known whether there is a newer configuration.
_UNCONFIRMED_RETRY_S = 0.5


@attrs.frozen
class RoutingDecision:
    """Where a request is sent and how long it may take.

    Attributes:
        route: Route of the request, with the priority and homes that its account gives it;
            made from the call if the request names its service.
        service: Service that runs the request.
        region: Region whose dispatcher is asked for a slot.
        fallback: Region to ask if the first refuses, None for none.
        priority: Rank of the request; 0 is the most urgent.
        target_at: Monotonic time in seconds after which a response is late and worth less.
        deadline_at: Monotonic time in seconds by which the client must get its final response.
        account: Client account of the request, or None.
    """

    route: routing.Route
    service: ids.Service
    region: ids.Region
    fallback: ids.Region | None
    priority: int
    target_at: float
    deadline_at: float
    account: client_accounts.ClientAccount | None = None


@attrs.define
class RequestRouter:
    """Routes requests by the configuration and operators' orders.

    Load pattern: a client that was refused sends its request again, with less time left. If the
    latency target started anew with each attempt, a response would count as timely although the
    client has waited for longer. So the router assumes that each client's first attempt had the
    longest time left seen on the route, where the default counts for clients that state none. A
    client that states less is assumed to have waited for the difference, and the target of its
    request is earlier by as much.

    Attributes:
        region: Region of this instance.
        orders: Operators' orders in force.
    """

    region: ids.Region
    orders: steering.Steering
    _service_choice: smooth_round_robin.SmoothRoundRobin[ids.Service] = attrs.field(
        factory=smooth_round_robin.SmoothRoundRobin, init=False
    )
    _longest_time_left_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def route_request(
        self,
        config: routing.RoutingConfig | None,
        host: str,
        path: str,
        time_left_s: float | None,
        received_at: float,
        is_confirmed: bool = True,
        key: str | None = None,
    ) -> RoutingDecision | refusals.Refusal:
        """Return where a request is sent, or the reason to refuse it.

        Args:
            config: Configuration in force, None before the first.
            host: Value of the request's Host header.
            path: Path of the request without the query.
            time_left_s: Seconds that the client will still wait, None if it states none.
            received_at: Monotonic time in seconds at which the request was received.
            is_confirmed: Whether the configuration is known to be the newest.
            key: Key of a client account that the request states, None without one.
        """
        if config is None:
            return refusals.Refusal(codes.Code.NO_CONFIG, retry_after_s=0.5)
        matched = config.match(host, path)
        if matched is None:
            return _unroutable(f"{host}{path}", is_confirmed)
        account = account_access.find_account(config, matched.needs_key, key, is_confirmed)
        if isinstance(account, refusals.Refusal):
            return account
        route = account_access.account_route(matched, account)
        if isinstance(route, refusals.Refusal):
            return route
        left_s = _DEFAULT_TIME_LEFT_S if time_left_s is None else time_left_s
        longest_s = max(self._longest_time_left_s.get(route.name, 0.0), left_s)
        self._longest_time_left_s[route.name] = longest_s
        waited_s = longest_s - left_s if time_left_s is not None else 0.0
        deadline_at = received_at + min(route.timeout_s, left_s - _CLIENT_MARGIN_S)
        service = self.choose_service(route)
        priority = self.orders.route_priority(route.name, route.priority)
        target_at = received_at + route.target_s - waited_s
        return self._apply_orders(route, service, priority, target_at, deadline_at, account)

    def route_call(
        self,
        config: routing.RoutingConfig | None,
        call: client_api.ServiceCall,
        received_at: float,
        is_confirmed: bool = True,
        key: str | None = None,
    ) -> RoutingDecision | refusals.Refusal:
        """Return where a request that names its service is sent, or the reason to refuse it.

        Args:
            config: Configuration in force, None before the first.
            call: The request.
            received_at: Monotonic time in seconds at which the request was received.
            is_confirmed: Whether the configuration is known to be the newest.
            key: Key of a client account that the request states, None without one.
        """
        if config is None:
            return refusals.Refusal(codes.Code.NO_CONFIG, retry_after_s=0.5)
        if call.service not in config.services:
            return _unroutable(f"no service {call.service!r}", is_confirmed)
        account = account_access.find_account(config, True, key, is_confirmed)
        if isinstance(account, refusals.Refusal):
            return account
        left_s = _DEFAULT_TIME_LEFT_S if call.time_left_s is None else call.time_left_s
        called = routing.Route(
            name=f"service/{call.service}",
            host="",
            prefix="/",
            idempotency=_idempotency(call),
            timeout_s=left_s,
            target_s=left_s * _CALL_TARGET_FRACTION,
            priority=call.priority,
            weighted_services=(routing.WeightedService(call.service, 1),),
            max_attempts=_CALL_MAX_ATTEMPTS,
            object_affinity=False,
        )
        route = account_access.account_route(called, account)
        if isinstance(route, refusals.Refusal):
            return route
        target_at = received_at + route.target_s
        deadline_at = received_at + left_s - _CLIENT_MARGIN_S
        return self._apply_orders(
            route, call.service, route.priority, target_at, deadline_at, account
        )

    def route_again(
        self,
        route: routing.Route,
        service: ids.Service,
        target_at: float,
        deadline_at: float,
        account: client_accounts.ClientAccount | None = None,
    ) -> RoutingDecision:
        """Return where a request is sent by another version of its route.

        Args:
            route: The route in the configuration in force, for the account.
            service: Service that was chosen before; it is kept if the route still has it.
            target_at: Monotonic time in seconds after which a response is late.
            deadline_at: Monotonic time in seconds by which the client must get its response.
            account: Client account of the request, or None.
        """
        services = {weighted.service for weighted in route.weighted_services}
        kept = service if service in services else self.choose_service(route)
        priority = self.orders.route_priority(route.name, route.priority)
        return self._apply_orders(route, kept, priority, target_at, deadline_at, account)

    def choose_service(self, route: routing.Route) -> ids.Service:
        """Return the service for a route's next request.

        The choices rotate smoothly, so even a few consecutive requests follow the weights of
        the route.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights: dict[ids.Service, float] = {}
        for weighted in route.weighted_services:
            weights[weighted.service] = weights.get(weighted.service, 0.0) + weighted.weight
        return self._service_choice.choose(route.name, weights)

    def _apply_orders(
        self,
        route: routing.Route,
        service: ids.Service,
        priority: int,
        target_at: float,
        deadline_at: float,
        account: client_accounts.ClientAccount | None,
    ) -> RoutingDecision:
        """Return where a request is sent, after operators' shifts have chosen the region."""
        home = self._home_region(route)
        region = self.orders.choose_region(service, home, priority, route.homes)
        fallback = home if region != home else None
        return RoutingDecision(
            route, service, region, fallback, priority, target_at, deadline_at, account
        )

    def _home_region(self, route: routing.Route) -> ids.Region:
        """Return this instance's region, or a home region if this one may not run the requests.

        The home region is the first by name, so all instances choose the same.
        """
        if not route.homes or self.region in route.homes:
            return self.region
        return min(route.homes)


def _unroutable(detail: str, is_confirmed: bool) -> refusals.Refusal:
    """Return the refusal of a request that the configuration has no route for.

    Clients do not repeat what was not found, so that is said only of the newest configuration.
    """
    if is_confirmed:
        return refusals.Refusal(codes.Code.NO_ROUTE, detail=detail)
    return refusals.Refusal(
        codes.Code.ROUTE_UNCONFIRMED, retry_after_s=_UNCONFIRMED_RETRY_S, detail=detail
    )


def _idempotency(call: client_api.ServiceCall) -> routing.Idempotency:
    if call.repeatable:
        return routing.Idempotency.REPEATABLE
    return routing.Idempotency.ONCE
