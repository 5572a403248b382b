"""Tells which requests may run more than once, before they are handled."""

from carobhook.protocol import client_api, http1
from carobhook.state import routing


def is_repeatable(config: routing.RoutingConfig | None, head: http1.RequestHead) -> bool:
    """Return whether a request may run more than once.

    Its route says so; the method does where the request names its service. A request that
    nothing serves counts as one that may not.

    Args:
        config: Configuration in force, or None if none is known yet.
        head: Request line and headers.
    """
    if config is None:
        return False
    route = config.match(head.get("host") or "", head.path)
    if route is not None:
        return route.repeatable
    try:
        call = client_api.parse_service_call(head)
    except ValueError:
        return False
    return call is not None and call.repeatable
