"""Applies the configuration in force to requests that were accepted by an earlier one."""

import attrs

from carobhook.coordination import (
    account_access,
    catalog,
    refusals,
    request_routing,
    steering,
)
from carobhook.protocol import client_api, http1
from carobhook.state import ids, routing
from carobhook.transport import accepted_requests, notice_board


@attrs.frozen
class RoutesInForce:
    """Routes accepted requests anew, and tells which servers they may still be sent to.

    Attributes:
        server_catalog: Servers and configuration.
        orders: Operators' orders in force.
        notices: What servers say of themselves in their responses.
        router: Routes requests.
    """

    server_catalog: catalog.Catalog
    orders: steering.Steering
    notices: notice_board.NoticeBoard
    router: request_routing.RequestRouter

    def may_use(self, accepted: accepted_requests.AcceptedRequest, server: ids.Server) -> bool:
        """Return whether a request may be sent to a server, by what is in force at present."""
        known = self.server_catalog
        entry = known.entry(server)
        if entry is None or not known.is_usable(server) or self.notices.is_resting(server):
            return False
        config = self._newer_config(accepted)
        region = self.orders.regions.get(entry.failure_domain)
        return config is None or self._allows(config, accepted, region)

    def reroute(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> accepted_requests.AcceptedRequest | refusals.Refusal:
        """Return a request as the configuration in force routes it, or the reason to refuse it.

        Its times stay as they are. A request whose route or account is gone was accepted before
        that, and is still served. Its key is not looked up again.
        """
        config = self._newer_config(accepted)
        if config is None:
            return accepted
        matched = match(config, accepted.called or accepted.request.head)
        route = self._route(config, accepted, matched)
        if route is None or isinstance(route, refusals.Refusal):
            return accepted if route is None else route
        account = account_access.account_in_force(config, accepted.account_terms)
        decision = self.router.route_again(
            route, accepted.service, accepted.target_at, accepted.deadline_at, account
        )
        request, called = accepted.request, accepted.called
        if called is not None and matched is not None:
            request, called = attrs.evolve(request, head=called), None
        return attrs.evolve(
            accepted,
            request=request,
            called=called,
            route=decision.route,
            service=decision.service,
            region=decision.region,
            fallback=decision.fallback,
            priority=decision.priority,
            config_version=config.version,
            account_terms=account,
        )

    def _allows(
        self,
        config: routing.RoutingConfig,
        accepted: accepted_requests.AcceptedRequest,
        region: ids.Region | None,
    ) -> bool:
        """Return whether a newer configuration lets a request run in a region as it is routed.

        Args:
            config: The configuration.
            accepted: The request.
            region: Region of the server, None if it is not known.
        """
        matched = match(config, accepted.called or accepted.request.head)
        if matched is not None and accepted.called is not None:
            # It had no route when it was accepted; now it is sent by its route or not at all.
            return False
        route = self._route(config, accepted, matched)
        if isinstance(route, refusals.Refusal):
            return False
        if route is None or not route.homes:
            return True
        known_homes = accepted.route.homes
        if config.accounts is not None and not (known_homes and known_homes <= route.homes):
            # Another instance that relays the request was chosen by the wider homes.
            return False
        return region in route.homes

    def _newer_config(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> routing.RoutingConfig | None:
        """Return the configuration in force if it isn't that of a request."""
        config = self.server_catalog.config
        if config is None or config.version == accepted.config_version:
            return None
        return config

    def _route(
        self,
        config: routing.RoutingConfig,
        accepted: accepted_requests.AcceptedRequest,
        matched: routing.Route | None,
    ) -> routing.Route | refusals.Refusal | None:
        """Return the route of a request for its account, or the reason to refuse the request.

        None is returned if neither its route nor its account is in the configuration.

        Args:
            config: Configuration in force.
            accepted: The request.
            matched: Its route in the configuration, or None.
        """
        account = account_access.account_in_force(config, accepted.account_terms)
        if matched is None:
            if account is None or account == accepted.account_terms:
                return None
            matched = _route_as_accepted(accepted)
        return account_access.account_route(matched, account)


def _route_as_accepted(accepted: accepted_requests.AcceptedRequest) -> routing.Route:
    """Return the route of a request that no route of the configuration serves any more.

    The route of a request that names its service has no home regions of its own, and the
    priority that the client asked for.
    """
    call = client_api.parse_service_call(accepted.called) if accepted.called else None
    if call is None:
        return accepted.route
    return attrs.evolve(accepted.route, homes=frozenset(), priority=call.priority)


def match(config: routing.RoutingConfig, head: http1.RequestHead) -> routing.Route | None:
    """Return the route of a request in a configuration, or None."""
    return config.match(head.get("host") or "", head.path)
