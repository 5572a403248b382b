"""Handles the requests of clients: routes, runs or refuses them, and records the outcomes."""

import math
import typing
from collections.abc import Callable

import attrs

from carobhook import entry_metrics, logs
from carobhook.coordination import catalog, confirmations, refusals, request_routing, steering
from carobhook.platform import requests
from carobhook.protocol import client_api, http1
from carobhook.state import codes, ids
from carobhook.transport import (
    accepted_requests,
    client_connections,
    notice_board,
    refusal_responses,
    request_flow,
    request_quarantine,
    routes_in_force,
    server_exchange,
    slot_allocator,
)

# A client that a stopping instance refuses can send its request to another one at once.
_LEAVING_RETRY_S = 0.05

# Refusals that depend on the configuration being the newest.
_CODES_OF_UNKNOWN_ROUTES = frozenset({codes.Code.NO_ROUTE, codes.Code.ROUTE_UNCONFIRMED})
_CODES_OF_UNKNOWN_KEYS = frozenset({codes.Code.KEY_UNKNOWN, codes.Code.KEY_UNCONFIRMED})

Responder = Callable[[http1.Response], None]


@attrs.frozen
class RequestContext:
    """Components of the instance that `EntryRequests` uses.

    Attributes:
        server_catalog: Servers and configuration.
        orders: Operators' orders in force.
        allocator: Requests and releases slots.
        servers: Exchanges with backend servers.
        metrics: Counters and histograms.
        quarantine: Requests that end the servers that run them.
        notices: What servers say of themselves in their responses.
        is_slow: Returns whether the machine of this instance is slow.
        is_config_recent: Returns whether the configuration may be taken for the newest.
        config_evidence: Returns how it is known that it is the newest, None if it never was.
    """

    server_catalog: catalog.Catalog
    orders: steering.Steering
    allocator: slot_allocator.SlotAllocator
    servers: server_exchange.ServerExchange
    metrics: entry_metrics.EntryMetrics
    quarantine: request_quarantine.RequestQuarantine
    notices: notice_board.NoticeBoard
    is_slow: Callable[[], bool] = lambda: False
    is_config_recent: Callable[[], bool] = lambda: True
    config_evidence: Callable[[], confirmations.Confirmation | None] = lambda: None


class EntryRequests:
    """Handles the requests of this instance's clients.

    Args:
        reactor: Source of time and timers.
        region: Region of this instance.
        domain: Failure domain of this instance.
        incarnation: Id of this run of the instance.
        context: Components of the instance that this class uses.
    """

    def __init__(
        self,
        reactor: typing.Any,
        region: ids.Region,
        domain: ids.FailureDomain,
        incarnation: ids.Incarnation,
        context: RequestContext,
    ) -> None:
        self._reactor = reactor
        self._domain = domain
        self._incarnation = incarnation
        self._context = context
        self._router = request_routing.RequestRouter(region, context.orders)
        self._routes = routes_in_force.RoutesInForce(
            context.server_catalog, context.orders, context.notices, self._router
        )
        self._codec = requests.ServerCodec(self._has_accounts)
        self._active_flows: set[request_flow.RequestFlow] = set()
        self._accepted_count = 0
        self._ends_at = math.inf

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait for a slot or run."""
        return len(self._active_flows)

    def handle(
        self, request: client_connections.ClientRequest, respond: Responder
    ) -> client_connections.ActiveRequest | None:
        """Handle a request and respond to it once, now or later.

        There is no response if the client disconnects first.

        Args:
            request: The request.
            respond: Sends the response to the client.

        Returns:
            The started request, or None if it was refused at once.
        """
        call: client_api.ServiceCall | None = None
        called: http1.RequestHead | None = None
        try:
            call = self._service_call(request.head)
            decision = self._route(request, call)
        except ValueError as error:
            decision = refusals.Refusal(codes.Code.BAD_REQUEST, detail=str(error))
        if self._has_accounts():
            # From here on, the key is not needed any more, and nothing can pass it on.
            request = attrs.evolve(request, head=requests.without_account(request.head))
            call = call and attrs.evolve(call, head=requests.without_account(call.head))
        if call is not None:
            called = request.head
            request = attrs.evolve(request, head=call.head)
            respond = _with_ok_headers(respond)
        if not isinstance(decision, refusals.Refusal):
            decision = self._refusal(request, decision) or decision
        if isinstance(decision, refusals.Refusal):
            self._log_refusal(request, decision)
            respond(refusal_responses.refusal_response(decision))
            return None
        flow = self._create_flow(self._accept(request, decision, called), respond)
        self._active_flows.add(flow)
        flow.start()
        return flow

    def _has_accounts(self) -> bool:
        """Return whether the configuration in force has client accounts."""
        config = self._context.server_catalog.config
        return config is not None and config.accounts is not None

    def _refusal(
        self,
        request: client_connections.ClientRequest,
        decision: request_routing.RoutingDecision,
    ) -> refusals.Refusal | None:
        """Return the reason to refuse a request that the configuration allows, or None."""
        refusal: refusals.Refusal | None = None
        if decision.deadline_at > self._ends_at:
            refusal = _leaving_refusal()
        elif self._context.quarantine.is_quarantined(request):
            refusal = refusal_responses.quarantine_refusal()
        if refusal is None or decision.account is None:
            return refusal
        return attrs.evolve(refusal, account=decision.account.name)

    def _log_refusal(
        self, request: client_connections.ClientRequest, refusal: refusals.Refusal
    ) -> None:
        request_id = requests.request_id(request.head)
        logs.event(
            "request-refused",
            request=request_id,
            status=refusal.status,
            code=refusal.code.number,
            detail=refusal.detail,
            account=refusal.account,
        )
        config = self._context.server_catalog.config
        if config is None:
            return
        now, evidence = self._reactor.seconds(), self._context.config_evidence()
        version = f"{config.version:08x}"
        age_ms = _elapsed_ms(evidence.at, now) if evidence is not None else None
        source = evidence.source if evidence is not None else None
        read_ms = _elapsed_ms(request.received_at, now)
        if refusal.code in _CODES_OF_UNKNOWN_ROUTES:
            logs.event(
                "route-unknown",
                request=request_id,
                config=version,
                config_age_ms=age_ms,
                config_source=source,
                read_ms=read_ms,
            )
        elif refusal.code in _CODES_OF_UNKNOWN_KEYS:
            logs.event(
                "key-unknown",
                request=request_id,
                config=version,
                config_age_ms=age_ms,
                config_source=source,
                read_ms=read_ms,
            )
            number = str(refusal.code.number)
            self._context.metrics.count(entry_metrics.EntryMetric.KEYS_REFUSED, number)

    def limit_to(self, ends_at: float) -> None:
        """Refuse all further requests that might not end before this instance does.

        Args:
            ends_at: Monotonic time in seconds at which requests are aborted.
        """
        self._ends_at = ends_at

    def refuse_waiting(self) -> None:
        """Refuse all further requests, and those that no server runs."""
        self._ends_at = -math.inf
        for flow in list(self._active_flows):
            flow.refuse_if_waiting(_leaving_refusal())

    def abort(self) -> None:
        """Refuse all requests, also those that run, as this instance ends."""
        for flow in list(self._active_flows):
            flow.abort()

    def _service_call(self, head: http1.RequestHead) -> client_api.ServiceCall | None:
        """Return the service call that a request encodes, None if it goes by its route.

        A route comes first, whatever its prefix: operators decide what their hosts serve. While
        a newer configuration may have a route for it, a request in the manner of the platform's
        clients is no call either.

        Raises:
            ValueError: The rank or deadline header is not a number.
        """
        config = self._context.server_catalog.config
        if config is None or routes_in_force.match(config, head) is not None:
            return None
        if requests.request_id(head) is not None and not self._context.is_config_recent():
            return None
        return client_api.parse_service_call(head)

    def _route(
        self, request: client_connections.ClientRequest, call: client_api.ServiceCall | None
    ) -> request_routing.RoutingDecision | refusals.Refusal:
        """Return the routing decision for a request, or a refusal.

        Raises:
            ValueError: A header that must hold a number does not.
        """
        config = self._context.server_catalog.config
        is_recent = self._context.is_config_recent()
        head = request.head
        key = requests.account_key(head) if self._has_accounts() else None
        if call is not None:
            return self._router.route_call(config, call, request.received_at, is_recent, key)
        time_left_s = requests.time_left_s(head)
        return self._router.route_request(
            config,
            head.get("host") or "",
            head.path,
            time_left_s,
            request.received_at,
            is_recent,
            key,
        )

    def _accept(
        self,
        request: client_connections.ClientRequest,
        decision: request_routing.RoutingDecision,
        called: http1.RequestHead | None,
    ) -> accepted_requests.AcceptedRequest:
        self._accepted_count += 1
        config, account = self._context.server_catalog.config, decision.account
        return accepted_requests.AcceptedRequest(
            request=request,
            id=ids.RequestId(f"{self._incarnation[:8]}-{self._accepted_count:x}"),
            client_request_id=requests.request_id(request.head),
            route=decision.route,
            service=decision.service,
            region=decision.region,
            fallback=decision.fallback,
            priority=decision.priority,
            object_key=requests.object_key(request.head),
            target_at=decision.target_at,
            deadline_at=decision.deadline_at,
            config_version=config.version if config is not None else 0,
            domain=self._domain,
            called=called,
            account=account.name if account is not None else None,
            account_terms=account,
        )

    def _create_flow(
        self, accepted: accepted_requests.AcceptedRequest, respond: Responder
    ) -> request_flow.RequestFlow:
        flow = request_flow.RequestFlow(
            self._reactor,
            accepted,
            self._context.allocator,
            self._context.servers,
            self._codec,
            respond,
            self._record_outcome,
            lambda: self._active_flows.discard(flow),
            self._context.quarantine,
            self._routes.may_use,
            self._routes.reroute,
            self._context.notices.resting,
            self._context.notices.pace_of,
            self._context.is_slow,
        )
        return flow

    def _record_outcome(self, outcome: accepted_requests.RequestOutcome) -> None:
        """Record an outcome in metrics and log."""
        accepted, refusal = outcome.accepted, outcome.refusal
        self._update_metrics(outcome)
        logs.event(
            "request-ended",
            request=accepted.client_request_id,
            route=accepted.route.name,
            service=accepted.service,
            status=outcome.status,
            code=refusal.code.number if refusal is not None else codes.Code.OK.number,
            server=outcome.server,
            detail=refusal.detail if refusal is not None else "",
            sends=outcome.attempts,
            config=f"{accepted.config_version:08x}",
            waited_ms=round(outcome.slot_wait_s * 1000, 1),
            total_ms=round(outcome.total_s * 1000, 1),
            account=accepted.account,
        )

    def _update_metrics(self, outcome: accepted_requests.RequestOutcome) -> None:
        metric, service = entry_metrics.EntryMetric, outcome.accepted.service
        code = outcome.refusal.code if outcome.refusal is not None else codes.Code.OK
        metrics = self._context.metrics
        metrics.count(metric.REQUESTS, service, str(code.number))
        metrics.observe(metric.REQUEST_TIME, outcome.total_s, service)
        metrics.observe(metric.SLOT_WAIT, outcome.slot_wait_s, service)
        for _ in range(1, outcome.attempts):
            metrics.count(metric.REPEATS, service)


def _elapsed_ms(since: float, now: float) -> float:
    return round((now - since) * 1000, 1)


def _leaving_refusal() -> refusals.Refusal:
    return refusals.Refusal(codes.Code.INSTANCE_LEAVING, retry_after_s=_LEAVING_RETRY_S)


def _with_ok_headers(respond: Responder) -> Responder:
    """Return a responder that adds the headers of the OK code to responses without a code.

    It is used for calls of the client API, whose responses must all have a result code.
    Refusals have their own; responses of backend servers have none.
    """
    headers = client_api.result_headers(codes.Code.OK, may_have_run=False)

    def respond_with_code(response: http1.Response) -> None:
        has_code = response.get(headers[0][0].decode()) is not None
        respond(
            response
            if has_code
            else attrs.evolve(response, headers=(*response.headers, *headers))
        )

    return respond_with_code
