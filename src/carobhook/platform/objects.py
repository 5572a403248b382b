"""Decodes the store's objects into the types that the rest of the program uses."""

import typing

from carobhook.platform import durations
from carobhook.state import ids, routing, servers

_IDEMPOTENCY = {
    "safe": routing.Idempotency.REPEATABLE,
    "download": routing.Idempotency.REPEATABLE,
    "unsafe": routing.Idempotency.ONCE,
}
_STATES = {
    "ready": servers.ServerState.READY,
    "draining": servers.ServerState.DRAINING,
}


class MalformedObjectError(ValueError):
    """An object of the store does not hold what its kind promises."""


def name_of(plain: typing.Any) -> str:
    """Return the name of a stored object.

    Raises:
        MalformedObjectError: It has none.
    """
    return _field(_field(plain, "Metadata", dict), "Name", str)


def config(spec: typing.Any) -> routing.RoutingConfig:
    """Return the routing configuration of a stored object's ``Spec``.

    Raises:
        MalformedObjectError: A field is missing or of the wrong type.
    """
    try:
        policies = [_service(item) for item in _field(spec, "Services", list)]
        return routing.RoutingConfig(
            version=int(_field(spec, "ConfigVersion", str), 16),
            routes=tuple(_route(item) for item in _field(spec, "Routes", list)),
            services={policy.name: policy for policy in policies},
            limits=_limits(_field(spec, "Limits", dict)),
        )
    except MalformedObjectError:
        raise
    except (ValueError, TypeError, KeyError) as error:
        raise MalformedObjectError(f"config: {error}") from error


def server(plain: typing.Any) -> servers.ServerEntry:
    """Return the backend server of a stored object.

    Raises:
        MalformedObjectError: A field is missing or of the wrong type.
    """
    spec = _field(plain, "Spec", dict)
    # A server writes its lasting facts under Info and its changing ones under Status; the
    # latter may stand in the object's own Status, which is the newer place.
    info = _field(spec, "Info", dict)
    status = plain.get("Status") or spec.get("Status")
    if not isinstance(status, dict):
        raise MalformedObjectError(f"Status must be a table, got {status!r:.60}")
    status = status.get("Status", status)
    state = _STATES.get(_field(status, "State", str))
    if state is None:
        raise MalformedObjectError(f"State must be known, got {status['State']!r:.40}")
    slots = _field(info, "Slots", int)
    if slots < 1:
        raise MalformedObjectError(f"Slots must be at least 1, got {slots}")
    address = _field(spec, "Address", str)
    if not address.rpartition(":")[2].isdigit():
        raise MalformedObjectError(f"Address must be host:port, got {address!r:.40}")
    try:
        cold_s = durations.seconds(status.get("ColdRemaining", "0ms"))
    except ValueError as error:
        raise MalformedObjectError(f"ColdRemaining: {error}") from error
    born = spec.get("born", plain.get("born"))
    return servers.ServerEntry(
        name=ids.Server(name_of(plain)),
        service=ids.Service(_field(info, "Service", str)),
        zone=ids.FailureDomain(_field(info, "Zone", str)),
        address=address,
        slots=slots,
        state=state,
        cold_s=cold_s,
        started_at_ms=born if isinstance(born, int) and not isinstance(born, bool) else None,
    )


def _route(plain: typing.Any) -> routing.Route:
    if plain.get("TrafficSplit"):
        shares = tuple(
            routing.WeightedService(ids.Service(_field(part, "Service", str)), part["Weight"])
            for part in plain["TrafficSplit"]
        )
    else:
        shares = (routing.WeightedService(ids.Service(_field(plain, "Service", str)), 1),)
    kind = _field(plain, "Kind", str)
    return routing.Route(
        name=_field(plain, "Name", str),
        host=_field(plain, "Host", str),
        prefix=_field(plain, "PathPrefix", str),
        # An unknown kind is never repeated.
        idempotency=_IDEMPOTENCY.get(kind, routing.Idempotency.ONCE),
        timeout_s=durations.seconds(plain["Timeout"]),
        target_s=durations.seconds(plain["TargetLatency"]),
        priority=int(plain.get("Priority", 0)),
        weighted_services=shares,
        max_attempts=max(1, int(plain.get("MaxAttempts", 1))),
        object_affinity=bool(plain.get("SessionAffinity", False)),
        homes=frozenset(ids.Region(home) for home in plain.get("HomeRegions") or ()),
    )


def _service(plain: typing.Any) -> routing.ServicePolicy:
    return routing.ServicePolicy(
        name=ids.Service(_field(plain, "Name", str)),
        health_path=_field(plain, "HealthPath", str),
        max_connections=int(plain.get("MaxConnections", 1024)),
        cold_start_s=durations.seconds(plain.get("ColdStart", "0s")),
        cold_requests_per_s=float(plain.get("ColdPerS", 0.0)),
    )


def _limits(plain: typing.Any) -> routing.ClientLimits:
    return routing.ClientLimits(
        max_header_bytes=_field(plain, "MaxHeaderBytes", int),
        max_body_bytes=_field(plain, "MaxBodyBytes", int),
        header_timeout_s=durations.seconds(plain["HeaderTimeout"]),
        idle_timeout_s=durations.seconds(plain["IdleTimeout"]),
    )


_T = typing.TypeVar("_T")


def _field(plain: typing.Any, key: str, kind: type[_T]) -> _T:
    value = plain.get(key) if isinstance(plain, dict) else None
    if not isinstance(value, kind) or isinstance(value, bool):
        raise MalformedObjectError(f"{key} must be {kind.__name__}, got {value!r:.60}")
    return value
