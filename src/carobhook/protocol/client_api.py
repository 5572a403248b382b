"""Carobhook's own HTTP interface for clients: lookups, and requests to a named service.

A client looks up the addresses of instances with ``/v1/lookup?region=R&failure_domain=D`` at
the address of the directory. A client that does not know the routes can name a service instead:
it sends the request to ``/v1/services/NAME/PATH`` at the address for requests. A route of the
configuration for that host and path comes first.
"""

import json
import urllib.parse

import attrs

from carobhook.protocol import http1
from carobhook.state import codes, ids

LOOKUP_PATH = "/v1/lookup"
_SERVICES_PREFIX = "/v1/services/"
_DEADLINE_HEADER = "carobhook-deadline-ms"
_RANK_HEADER = "carobhook-rank"
_REPEATABLE_METHODS = frozenset({b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS"})
_MAX_DEADLINE_MS = 3600 * 1000
_DEFAULT_RANK = 1


@attrs.frozen
class Lookup:
    """Asks for the addresses of the instances that a client should use.

    Attributes:
        region: Region of the client.
        failure_domain: Failure domain of the client.
    """

    region: ids.Region
    failure_domain: ids.FailureDomain


@attrs.frozen
class ServiceCall:
    """Request of a client to a service that it names.

    Attributes:
        service: Name of the service.
        head: Request head for the service; its target lacks the ``/v1/services/NAME`` prefix.
        repeatable: Whether the request may run more than once, which its method determines.
        priority: Rank that the client requests; 0 is the most urgent.
        time_left_s: Seconds that the client waits for the response, None if not given.
    """

    service: ids.Service
    head: http1.RequestHead
    repeatable: bool
    priority: int
    time_left_s: float | None


def parse_lookup(target: bytes) -> Lookup | None:
    """Return the lookup that a request target encodes, None for any other target."""
    path, _, query = target.decode("latin-1").partition("?")
    if path != LOOKUP_PATH:
        return None
    parameters = dict(urllib.parse.parse_qsl(query))
    return Lookup(
        ids.Region(parameters.get("region", "")),
        ids.FailureDomain(parameters.get("failure_domain", "")),
    )


def lookup_response(addresses: list[str], ttl_s: float) -> http1.Response:
    """Return the response to a lookup; its status is 503 if there is no address.

    Args:
        addresses: Addresses for requests, ``host:port``, the preferred one first.
        ttl_s: Seconds for which clients may cache the addresses.
    """
    fields = {"addresses": addresses, "ttl_s": ttl_s}
    headers = ((b"Content-Type", b"application/json"),)
    status, reason = (200, b"OK") if addresses else (503, b"Service Unavailable")
    return http1.Response(status, reason, headers, json.dumps(fields).encode() + b"\n")


def parse_service_call(head: http1.RequestHead) -> ServiceCall | None:
    """Return the service call that a request encodes, None if its target names no service.

    Args:
        head: Request head of the client.

    Raises:
        ValueError: The rank or deadline header is not a number.
    """
    target = head.target.decode("latin-1")
    if not target.startswith(_SERVICES_PREFIX):
        return None
    name, slash, rest = target.removeprefix(_SERVICES_PREFIX).partition("/")
    return ServiceCall(
        ids.Service(name),
        attrs.evolve(head, target=f"{slash or '/'}{rest}".encode("latin-1")),
        head.method in _REPEATABLE_METHODS,
        int(head.get(_RANK_HEADER) or _DEFAULT_RANK),
        http1.header_seconds(head, _DEADLINE_HEADER, _MAX_DEADLINE_MS),
    )


def result_headers(code: codes.Code, may_have_run: bool) -> http1.Headers:
    """Return the headers that report the result of a request to the client.

    Args:
        code: Result code.
        may_have_run: Whether a server may have run the request; if so, the reported run status
            is "unknown" in place of the code's own.
    """
    run_status = codes.RunStatus.UNKNOWN if may_have_run else code.run
    return (
        (b"Carobhook-Code", str(code.number).encode()),
        (b"Carobhook-Run", run_status.value.encode()),
    )
