"""Decodes objects of the platform's store into the types of `carobhook.state`."""

import math
import typing

from carobhook.platform import durations
from carobhook.state import client_accounts, ids, routing, servers

_IDEMPOTENCY_OF_KIND = {
    "safe": routing.Idempotency.REPEATABLE,
    "download": routing.Idempotency.REPEATABLE,
    "unsafe": routing.Idempotency.ONCE,
}
_SERVER_STATES = {
    "ready": servers.ServerState.READY,
    "draining": servers.ServerState.DRAINING,
}


class MalformedObjectError(ValueError):
    """A field of a stored object is missing or has an invalid value."""


def object_name(raw: typing.Any) -> str:
    """Return the name of a stored object.

    Raises:
        MalformedObjectError: The object has no name.
    """
    return _require(_require(raw, "Metadata", dict), "Name", str)


class ConfigDecoder:
    """Decodes configurations one after another.

    Load pattern: a configuration of thousands of routes changes, and few of its routes do.
    Those that are as they were are not decoded again, as this is most of the work.
    """

    def __init__(self) -> None:
        # Latest routes by name, each with the value that it was decoded from.
        self._routes: dict[str, tuple[typing.Any, routing.Route]] = {}

    def decode(self, spec: typing.Any) -> routing.RoutingConfig:
        """Decode the routing configuration from the ``Spec`` of a stored object.

        Raises:
            MalformedObjectError: A field is missing or has an invalid value.
        """
        try:
            raw_routes = _require(spec, "Routes", list)
            routes = tuple(self._decode_route(raw) for raw in raw_routes)
            policies = [_decode_service(item) for item in _require(spec, "Services", list)]
            config = routing.RoutingConfig(
                version=int(_require(spec, "ConfigVersion", str), 16),
                routes=routes,
                services={policy.name: policy for policy in policies},
                limits=_decode_limits(_require(spec, "Limits", dict)),
                accounts=_decode_accounts(spec.get("Tenants")),
            )
        except MalformedObjectError:
            raise
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            raise MalformedObjectError(f"config: {error}") from error
        self._routes = {
            route.name: (raw, route) for raw, route in zip(raw_routes, routes, strict=True)
        }
        return config

    def _decode_route(self, raw: typing.Any) -> routing.Route:
        name = raw.get("Name") if isinstance(raw, dict) else None
        known = self._routes.get(name) if isinstance(name, str) else None
        if known is not None and known[0] == raw:
            return known[1]
        return _decode_route(raw)


def decode_server(raw: typing.Any) -> servers.ServerEntry:
    """Decode the entry of a backend server from a stored object.

    Raises:
        MalformedObjectError: A field is missing or has an invalid value.
    """
    spec = _require(raw, "Spec", dict)
    # Spec.Info holds the facts that do not change while a server runs, Status those that do.
    # Status is a table of the object itself or of its Spec; the former is the newer place and
    # has precedence. Its fields may be nested in a second table named Status.
    info = _require(spec, "Info", dict)
    status = raw.get("Status") or spec.get("Status")
    if not isinstance(status, dict):
        raise MalformedObjectError(f"Status must be a table, got {status!r:.60}")
    status = status.get("Status", status)
    state = _SERVER_STATES.get(_require(status, "State", str))
    if state is None:
        raise MalformedObjectError(f"State must be known, got {status['State']!r:.40}")
    slots = _require(info, "Slots", int)
    if slots < 1:
        raise MalformedObjectError(f"Slots must be at least 1, got {slots}")
    address = _require(spec, "Address", str)
    if not address.rpartition(":")[2].isdigit():
        raise MalformedObjectError(f"Address must be host:port, got {address!r:.40}")
    try:
        cold_s = durations.parse_seconds(status.get("ColdRemaining", "0ms"))
    except ValueError as error:
        raise MalformedObjectError(f"ColdRemaining: {error}") from error
    # "born" is the Unix time of the server's start in milliseconds.
    started_at_ms = _int_or_none(spec.get("born", raw.get("born")))
    return servers.ServerEntry(
        name=ids.Server(object_name(raw)),
        service=ids.Service(_require(info, "Service", str)),
        failure_domain=ids.FailureDomain(_require(info, "Zone", str)),
        address=address,
        slots=slots,
        state=state,
        cold_s=cold_s,
        started_at_ms=started_at_ms,
        sequence=_int_or_none(status.get("SeqNo")),
    )


def _int_or_none(value: typing.Any) -> int | None:
    return value if isinstance(value, int) and not isinstance(value, bool) else None


def _decode_route(raw: typing.Any) -> routing.Route:
    if raw.get("TrafficSplit"):
        shares = tuple(
            routing.WeightedService(
                ids.Service(_require(split, "Service", str)), split["Weight"]
            )
            for split in raw["TrafficSplit"]
        )
    else:
        shares = (routing.WeightedService(ids.Service(_require(raw, "Service", str)), 1),)
    # Kind says whether requests of the route may run more than once.
    kind = _require(raw, "Kind", str)
    return routing.Route(
        name=_require(raw, "Name", str),
        host=_require(raw, "Host", str),
        prefix=_require(raw, "PathPrefix", str),
        # Requests of an unknown kind run at most once, because another run might repeat
        # their effects.
        idempotency=_IDEMPOTENCY_OF_KIND.get(kind, routing.Idempotency.ONCE),
        timeout_s=durations.parse_seconds(raw["Timeout"]),
        target_s=durations.parse_seconds(raw["TargetLatency"]),
        priority=int(raw.get("Priority", 0)),
        weighted_services=shares,
        max_attempts=max(1, int(raw.get("MaxAttempts", 1))),
        object_affinity=bool(raw.get("SessionAffinity", False)),
        homes=frozenset(ids.Region(home) for home in raw.get("HomeRegions") or ()),
        needs_key=not _decode_exemption(raw.get("AuthExempt")),
    )


def _decode_exemption(value: typing.Any) -> bool:
    """Return whether a route is exempt; another value than a bool must not open it to all.

    Raises:
        MalformedObjectError: The value is neither a bool nor missing.
    """
    if value is not None and not isinstance(value, bool):
        raise MalformedObjectError(f"AuthExempt must be bool, got {value!r:.60}")
    return bool(value)


def _decode_accounts(raw: typing.Any) -> client_accounts.AccountTable | None:
    """Return the client accounts, which the platform calls tenants, or None without them.

    The texts of errors are logged, so they contain no keys, and no values that may hold keys.

    Raises:
        MalformedObjectError: An account has an invalid value, or two have one name or key.
    """
    if raw is None:
        return None
    if not isinstance(raw, list):
        raise MalformedObjectError("Tenants must be list")
    entries = [(_decode_account(item), _decode_keys(item)) for item in raw]
    try:
        return client_accounts.AccountTable.build(entries)
    except ValueError as error:
        raise MalformedObjectError(f"Tenants: {error}") from error


def _decode_account(raw: typing.Any) -> client_accounts.ClientAccount:
    name = _require(raw, "Name", str)
    # The name becomes the value of a header.
    if not name.isprintable() or not name or name != name.strip():
        raise MalformedObjectError(f"Name of a tenant must be printable, got {name!r:.60}")
    priority = raw.get("Priority")
    if priority is not None and (_int_or_none(priority) is None or priority < 0):
        raise MalformedObjectError(f"Priority of tenant {name!r} must be a whole number")
    homes = raw.get("HomeRegions") or []
    if not isinstance(homes, list) or not all(isinstance(home, str) for home in homes):
        raise MalformedObjectError(f"HomeRegions of tenant {name!r} must be list of str")
    rate_per_s = _decode_amount(raw, "RatePerS", name)
    burst = _decode_amount(raw, "Burst", name)
    return client_accounts.ClientAccount(
        name=ids.Account(name),
        quota=client_accounts.Quota(rate_per_s, burst) if rate_per_s > 0 else None,
        priority=priority,
        homes=frozenset(ids.Region(home) for home in homes),
    )


def _decode_amount(raw: typing.Any, key: str, name: str) -> float:
    """Return a number of at least 0; a missing one is 0."""
    value = raw.get(key)
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise MalformedObjectError(f"{key} of tenant {name!r} must be a number of at least 0")
    return float(value)


def _decode_keys(raw: typing.Any) -> list[str]:
    keys = raw.get("ApiKeys")
    if not isinstance(keys, list) or not all(map(_is_key, keys)):
        raise MalformedObjectError(
            f"ApiKeys of tenant {raw['Name']!r} must be list of printable str"
        )
    return keys


def _is_key(value: typing.Any) -> bool:
    """Return whether a value can be a key; an empty one would be that of any request."""
    return isinstance(value, str) and bool(value) and value.isprintable()


def _decode_service(raw: typing.Any) -> routing.ServicePolicy:
    return routing.ServicePolicy(
        name=ids.Service(_require(raw, "Name", str)),
        health_path=_require(raw, "HealthPath", str),
        max_connections=int(raw.get("MaxConnections", 1024)),
        cold_start_s=durations.parse_seconds(raw.get("ColdStart", "0s")),
        cold_requests_per_s=float(raw.get("ColdPerS", 0.0)),
    )


def _decode_limits(raw: typing.Any) -> routing.ClientLimits:
    return routing.ClientLimits(
        max_header_bytes=_require(raw, "MaxHeaderBytes", int),
        max_body_bytes=_require(raw, "MaxBodyBytes", int),
        header_timeout_s=durations.parse_seconds(raw["HeaderTimeout"]),
        idle_timeout_s=durations.parse_seconds(raw["IdleTimeout"]),
    )


_T = typing.TypeVar("_T")


def _require(raw: typing.Any, key: str, expected_type: type[_T]) -> _T:
    """Return a field of an object.

    Raises:
        MalformedObjectError: The field is missing, of another type or a bool.
    """
    value = raw.get(key) if isinstance(raw, dict) else None
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise MalformedObjectError(f"{key} must be {expected_type.__name__}, got {value!r:.60}")
    return value
