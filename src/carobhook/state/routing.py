"""Routing configuration: routes, services and limits on client requests."""

import enum
from collections.abc import Iterable, Mapping, Sequence

import attrs
from attrs import validators

from carobhook.state import client_accounts, ids


class Idempotency(enum.Enum):
    """Whether a route's requests may run more than once."""

    REPEATABLE = "repeatable"
    ONCE = "once"


@attrs.frozen
class WeightedService:
    """Service that receives part of a route's requests, in proportion to its weight."""

    service: ids.Service
    weight: float = attrs.field(validator=validators.ge(0))


@attrs.frozen
class Route:
    """Maps requests for a host and path prefix to services.

    Attributes:
        name: Name of the route.
        host: Host name that the route matches.
        prefix: Path prefix that the route matches; it begins and ends with a slash.
        idempotency: Whether requests may run more than once.
        timeout_s: Time limit of a request in seconds, from its arrival to its response.
        target_s: Latency target in seconds; a later response is late, but still useful until
            the time limit.
        priority: Rank of the requests; 0 is the most urgent.
        weighted_services: Services that run the requests, with their weights.
        max_attempts: Largest number of attempts for one client request, each on another server;
            attempts whose server cannot be reached are not counted.
        object_affinity: Whether a server runs requests for an object faster if it recently ran
            others for it; if so, slot requests carry the key of the object.
        homes: Regions that may run the requests; empty for all regions.
        needs_key: Whether requests must carry the key of an account, if the configuration has
            accounts.
    """

    name: str
    host: str
    prefix: str
    idempotency: Idempotency
    timeout_s: float
    target_s: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    object_affinity: bool
    homes: frozenset[ids.Region] = frozenset()
    needs_key: bool = True

    @property
    def repeatable(self) -> bool:
        """Return whether a request of the route may run more than once."""
        return self.idempotency is Idempotency.REPEATABLE


@attrs.frozen
class ServicePolicy:
    """Configuration of one service.

    A server is cold for some time after its start and then handles requests only at a low rate.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check on its servers.
        max_connections: Largest number of connections that one server accepts.
        cold_start_s: Seconds for which a server counts as cold after its start.
        cold_requests_per_s: Requests per second that a cold server can handle.
    """

    name: ids.Service
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


@attrs.frozen
class ClientLimits:
    """Limits on the size of client requests and on the time that clients take to send them.

    Attributes:
        max_header_bytes: Largest size of a request head.
        max_body_bytes: Largest size of a request body.
        header_timeout_s: Seconds in which a client must send a request head.
        idle_timeout_s: Seconds after which a connection without a request is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@attrs.frozen
class _HostRoutes:
    """Routes of one host.

    A host may have thousands, and prefixes of a few lengths only.

    Attributes:
        by_prefix: The routes by path prefix.
        lengths: Lengths of the prefixes, from the longest to the shortest.
    """

    by_prefix: Mapping[str, Route]
    lengths: Sequence[int]

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@attrs.frozen
class RoutingConfig:
    """One version of the complete routing configuration.

    Attributes:
        version: Version number, which increases with each change.
        routes: All routes.
        services: Policies by service name.
        limits: Limits on client requests.
        accounts: The client accounts, or None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ids.Service, ServicePolicy]
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    accounts: client_accounts.AccountTable | None = None
    _by_host: dict[str, _HostRoutes] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "_by_host", _routes_by_host(self.routes))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Args:
            host: Value of the Host header; its port is ignored.
            path: Path of the request, without the query.
        """
        host_name = host.rpartition(":")[0] or host
        routes = self._by_host.get(host_name.lower())
        return routes.match(path) if routes is not None else None


def _routes_by_host(routes: Iterable[Route]) -> dict[str, _HostRoutes]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), {}).setdefault(route.prefix, route)
    return {
        host: _HostRoutes(by_prefix, sorted(set(map(len, by_prefix)), reverse=True))
        for host, by_prefix in by_host.items()
    }
