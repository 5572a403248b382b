"""The operator's routing configuration: routes, services and limits on clients."""

import enum
from collections.abc import Iterable, Mapping

import attrs
from attrs import validators

from carobhook.state import ids


class Idempotency(enum.Enum):
    """What may be repeated of a route's requests."""

    REPEATABLE = "repeatable"
    ONCE = "once"


@attrs.frozen
class Share:
    """One service of a route and its weight among the route's services."""

    service: ids.Service
    weight: float = attrs.field(validator=validators.ge(0))


@attrs.frozen
class Route:
    """One route.

    Attributes:
        name: Name of the route.
        host: Host that it serves.
        prefix: Path prefix, which begins and ends with a slash.
        idempotency: What may be repeated.
        timeout_s: Longest time that a request is kept waiting, in seconds.
        target_s: Time in which an answer earns its full worth, in seconds.
        priority: Rank; 0 is the most urgent.
        shares: Services that take its requests, with their weights.
        max_attempts: Most backend servers that one client attempt may be sent to.
        keeps_objects: Whether a server that handled an object lately works faster on it.
        homes: Regions that may serve it; empty for all.
    """

    name: str
    host: str
    prefix: str
    idempotency: Idempotency
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    keeps_objects: bool
    homes: frozenset[ids.Region] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.idempotency is Idempotency.REPEATABLE


@attrs.frozen
class ServicePolicy:
    """What the configuration says of one service.

    Attributes:
        name: The service.
        health_path: Path of its health check.
        max_connections: Connections that one server takes from all callers together.
        cold_start_s: Seconds for which a started server is cold.
        cold_per_s: Requests a second that a cold server bears.
    """

    name: ids.Service
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float


@attrs.frozen
class ClientLimits:
    """Bounds on what a client may send and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@attrs.frozen
class RoutingConfig:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ids.Service, ServicePolicy]
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    _by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "_by_host", _index(self.routes))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that begins a path, or None.

        Args:
            host: Value of the request's host header; a port is ignored.
            path: Path of the request, without its query.
        """
        name = host.rpartition(":")[0] or host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _index(routes: Iterable[Route]) -> dict[str, list[Route]]:
    """Return the routes of each host, those with the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for found in by_host.values():
        found.sort(key=lambda route: len(route.prefix), reverse=True)
    return by_host
