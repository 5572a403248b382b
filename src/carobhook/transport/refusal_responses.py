"""Responses to clients whose requests are refused."""

from carobhook.coordination import refusals
from carobhook.protocol import client_api, http1
from carobhook.state import codes
from carobhook.transport import client_connections

# Time after which a client may repeat a quarantined request, sent as Retry-After.
_QUARANTINE_RETRY_S = 10.0


def quarantine_refusal(may_have_run: bool = False) -> refusals.Refusal:
    """Return the refusal of a quarantined request.

    Args:
        may_have_run: Whether an earlier attempt may have run it.
    """
    return refusals.Refusal(codes.Code.POISONED, may_have_run, _QUARANTINE_RETRY_S)


def refusal_response(refusal: refusals.Refusal) -> http1.Response:
    """Return the response that reports a refusal to a client."""
    info = refusal.code.value
    headers = [
        (b"Content-Type", b"text/plain; charset=utf-8"),
        *client_api.result_headers(refusal.code, refusal.may_have_run),
    ]
    if refusal.status in (429, 503) and refusal.retry_after_s is not None:
        headers.append((b"Retry-After", f"{refusal.retry_after_s:.3f}".encode()))
    return client_connections.local_response(refusal.status, info.text, tuple(headers))
