"""Takes the requests of clients in: placed or refused, carried, counted and logged."""

import secrets
import typing
from collections.abc import Callable

import attrs

from carobhook import entry_metrics, logs
from carobhook.coordination import catalog, poison, refusals, request_routing, steering
from carobhook.platform import requests
from carobhook.protocol import client_api, http1, slot_messages
from carobhook.state import codes, ids
from carobhook.transport import (
    client_connections,
    request_flow,
    server_connections,
    slot_allocator,
)

_POISON_RETRY_S = 10.0

Answer = Callable[[http1.Response], None]


@attrs.frozen
class RequestPorts:
    """What requests need of the rest of an instance.

    Attributes:
        known: Servers and configuration.
        orders: Operators' orders in force.
        allocator: Where slots are asked for.
        servers: Connections to servers.
        metrics: Counters and histograms.
        broadcast: Sends a message to all other instances.
    """

    known: catalog.Catalog
    orders: steering.Steering
    allocator: slot_allocator.SlotAllocator
    servers: server_connections.ServerConnections
    metrics: entry_metrics.EntryMetrics
    broadcast: Callable[[typing.Any], object]


class EntryRequests:
    """Owns the requests that this instance has in hand.

    Args:
        reactor: Source of time and timers.
        own: Name of this instance.
        region: Its region.
        domain: Its failure domain.
        incarnation: Id of this run.
        ports: What requests need of the rest of the instance.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own: ids.InstanceId,
        region: ids.Region,
        domain: ids.FailureDomain,
        incarnation: ids.Incarnation,
        ports: RequestPorts,
    ) -> None:
        self._reactor = reactor
        self._domain = domain
        self._incarnation = incarnation
        self._ports = ports
        self._router = request_routing.RequestRouter(region, ports.orders)
        self._wire = requests.ServerCodec()
        self._quarantine = poison.Quarantine(own)
        self._flows: set[request_flow.RequestFlow] = set()
        self._taken = 0

    @property
    def in_flight(self) -> int:
        """Return how many requests wait or run."""
        return len(self._flows)

    def take(
        self, inbound: client_connections.Inbound, answer: Answer
    ) -> client_connections.Exchange | None:
        """Take a request in; the answer is given once, now or later.

        Args:
            inbound: The request.
            answer: Answers its client.
        """
        try:
            call = client_api.parse_service_call(inbound.head)
            placed = self._place(inbound, call)
        except ValueError as problem:
            call = None
            placed = refusals.Refusal(codes.Code.BAD_REQUEST, detail=str(problem))
        if call is not None:
            inbound = attrs.evolve(inbound, head=call.head)
            answer = _telling(answer)
        if not isinstance(placed, refusals.Refusal) and self._is_poison(inbound):
            placed = refusals.Refusal(codes.Code.POISONED, retry_after_s=_POISON_RETRY_S)
        if isinstance(placed, refusals.Refusal):
            logs.event(
                "request-refused",
                request=requests.request_id(inbound.head),
                status=placed.status,
                code=placed.code.number,
                detail=placed.detail,
            )
            answer(request_flow.refusal_answer(placed))
            return None
        flow = self._flow(self._accepted(inbound, placed), answer)
        self._flows.add(flow)
        flow.start()
        return flow

    def marked(self, message: slot_messages.RequestMarked) -> None:
        """Take in that servers broke at another instance while they ran a request.

        News is passed on, as not every instance has a stream to every other.
        """
        expires_at = self._reactor.seconds() + message.remaining_ms / 1000
        mark = poison.Mark(message.fingerprint, message.name, message.source, expires_at)
        if self._quarantine.add(mark):
            self._ports.broadcast(message)

    def cleared(self, message: slot_messages.RequestCleared) -> None:
        """Take in that a marked request was answered at another instance, and pass it on."""
        if self._quarantine.clear(message.fingerprint):
            self._ports.broadcast(message)

    def _place(
        self, inbound: client_connections.Inbound, call: client_api.ServiceCall | None
    ) -> request_routing.RoutingDecision | refusals.Refusal:
        """Return where a request goes.

        Raises:
            ValueError: A header holds no number.
        """
        config = self._ports.known.config
        if call is not None:
            return self._router.route_call(config, call, inbound.began_at)
        head = inbound.head
        path = head.target.partition(b"?")[0].decode("latin-1")
        left_s = requests.time_left_s(head)
        return self._router.route_request(
            config, head.get("host") or "", path, left_s, inbound.began_at
        )

    def _accepted(
        self, inbound: client_connections.Inbound, placed: request_routing.RoutingDecision
    ) -> request_flow.Accepted:
        self._taken += 1
        config = self._ports.known.config
        return request_flow.Accepted(
            inbound=inbound,
            id=ids.RequestId(f"{self._incarnation[:8]}-{self._taken:x}"),
            client_id=requests.request_id(inbound.head),
            route=placed.route,
            service=placed.service,
            region=placed.region,
            fallback=placed.fallback,
            priority=placed.priority,
            object_key=requests.object_key(inbound.head),
            target_at=placed.target_at,
            deadline_at=placed.deadline_at,
            config_version=config.version if config is not None else 0,
            domain=self._domain,
        )

    def _flow(
        self, accepted: request_flow.Accepted, answer: Answer
    ) -> request_flow.RequestFlow:
        flow = request_flow.RequestFlow(
            self._reactor,
            accepted,
            self._ports.allocator,
            self._ports.servers,
            self._wire,
            answer,
            self._told,
            lambda: self._flows.discard(flow),
            self._broke,
            self._ports.known.is_usable,
        )
        return flow

    def _told(self, outcome: request_flow.Outcome) -> None:
        """Count and log what a client got."""
        accepted, refusal = outcome.accepted, outcome.refusal
        if refusal is None:
            self._clear_marks(accepted)
        self._count(outcome)
        logs.event(
            "request-ended",
            request=accepted.client_id,
            route=accepted.route.name,
            service=accepted.service,
            status=outcome.status,
            code=refusal.code.number if refusal is not None else codes.Code.OK.number,
            server=outcome.server,
            detail=refusal.detail if refusal is not None else "",
            sends=outcome.sends,
            config=f"{accepted.config_version:08x}",
            waited_ms=round(outcome.waited_s * 1000, 1),
            total_ms=round(outcome.total_s * 1000, 1),
        )

    def _count(self, outcome: request_flow.Outcome) -> None:
        metric, service = entry_metrics.EntryMetric, outcome.accepted.service
        code = outcome.refusal.code if outcome.refusal is not None else codes.Code.OK
        metrics = self._ports.metrics
        metrics.count(metric.REQUESTS, service, str(code.number))
        metrics.observe(metric.REQUEST_TIME, outcome.total_s, service)
        metrics.observe(metric.SLOT_WAIT, outcome.waited_s, service)
        for _ in range(1, outcome.sends):
            metrics.count(metric.REPEATS, service)

    # Requests that break servers.

    def _is_poison(self, inbound: client_connections.Inbound) -> bool:
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_quarantined(_fingerprint(inbound), self._reactor.seconds())

    def _broke(self, accepted: request_flow.Accepted) -> None:
        """Mark a request that a server broke under, here and at the other instances."""
        now = self._reactor.seconds()
        print_ = _fingerprint(accepted.inbound)
        mark = self._quarantine.record_failure(print_, secrets.token_hex(8), now)
        logs.warning("request-marked", request=accepted.client_id, fingerprint=print_.hex())
        left_ms = round((mark.expires_at - now) * 1000)
        self._ports.broadcast(
            slot_messages.RequestMarked(print_, mark.name, mark.source, left_ms)
        )

    def _clear_marks(self, accepted: request_flow.Accepted) -> None:
        """Forget the marks of a request that was answered."""
        if self._quarantine.is_empty:
            return
        print_ = _fingerprint(accepted.inbound)
        if self._quarantine.clear(print_):
            self._ports.broadcast(slot_messages.RequestCleared(print_))


def _telling(answer: Answer) -> Answer:
    """Return what answers a client of the product's own interface, with the result code."""
    headers = client_api.result_headers(codes.Code.OK, may_have_run=False)

    def tell(given: http1.Response) -> None:
        is_own = given.get(headers[0][0].decode()) is not None
        answer(given if is_own else attrs.evolve(given, headers=(*given.headers, *headers)))

    return tell


def _fingerprint(inbound: client_connections.Inbound) -> poison.Fingerprint:
    """Return what stays the same when a client sends a request again."""
    head = inbound.head
    host = head.get("host") or ""
    parts = (inbound.client, host, head.method.decode("latin-1"), head.target.decode("latin-1"))
    return poison.fingerprint_of(parts, inbound.body)
