"""Calls of the product's own interface for clients: look-ups, and requests to a service.

Clients that know no routes name the service: ``/v1/services/NAME/PATH`` on the address for
requests, and ``/v1/lookup?region=R&failure_domain=D`` on that for the directory.
"""

import json
import urllib.parse

import attrs

from carobhook.protocol import http1
from carobhook.state import codes, ids

LOOKUP_PATH = "/v1/lookup"
_SERVICES_PREFIX = "/v1/services/"
_TIME_LEFT_HEADER = "carobhook-deadline-ms"
_RANK_HEADER = "carobhook-rank"
_REPEATABLE_METHODS = frozenset({b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS"})
_LONGEST_MS = 3600 * 1000
_DEFAULT_RANK = 1


@attrs.frozen
class Lookup:
    """Asks where clients of a failure domain connect to."""

    region: ids.Region
    failure_domain: ids.FailureDomain


@attrs.frozen
class ServiceCall:
    """A request to a service by its name.

    Attributes:
        service: The service.
        head: The request as the service gets it.
        repeatable: Whether it may run more than once, by its method.
        priority: Rank that the client asks for; 0 is the most urgent.
        time_left_s: Seconds that the client waits, None if it does not say.
    """

    service: ids.Service
    head: http1.RequestHead
    repeatable: bool
    priority: int
    time_left_s: float | None


def lookup(target: bytes) -> Lookup | None:
    """Return the look-up that a request target stands for, None if it is none."""
    path, _, query = target.decode("latin-1").partition("?")
    if path != LOOKUP_PATH:
        return None
    fields = dict(urllib.parse.parse_qsl(query))
    return Lookup(
        ids.Region(fields.get("region", "")),
        ids.FailureDomain(fields.get("failure_domain", "")),
    )


def lookup_answer(addresses: list[str], ttl_s: float) -> http1.Answer:
    """Return the answer to a look-up.

    Args:
        addresses: Addresses for requests, best first.
        ttl_s: Seconds for which clients may keep it.
    """
    plain = {"addresses": addresses, "ttl_s": ttl_s}
    headers = ((b"Content-Type", b"application/json"),)
    status, reason = (200, b"OK") if addresses else (503, b"Service Unavailable")
    return http1.Answer(status, reason, headers, json.dumps(plain).encode() + b"\n")


def service_call(head: http1.RequestHead) -> ServiceCall | None:
    """Return the call of a service that a request stands for, None if it is none.

    Raises:
        ValueError: A header holds no number.
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
        http1.told_s(head, _TIME_LEFT_HEADER, _LONGEST_MS),
    )


def result_headers(code: codes.Code, may_have_run: bool) -> http1.Headers:
    """Return the headers that tell a client what became of its request.

    Args:
        code: The result.
        may_have_run: Whether a server may have run it all the same.
    """
    run = codes.Run.UNKNOWN if may_have_run else code.run
    return (
        (b"Carobhook-Code", str(code.number).encode()),
        (b"Carobhook-Run", run.value.encode()),
    )
