"""Checks of requests that end the servers which run them."""

from collections.abc import Iterable

from carobhook.soak import checks

_ENDED_SERVERS = 3
_MAX_LATE_RETRIES = 3


def find_late_retries(
    starts: Iterable[float], ends: Iterable[float], disturbances: Iterable[tuple[float, float]]
) -> list[str]:
    """Return a violation if a request reached too many servers once it was known to end them.

    That is `checks.ENDS_SETTLE_S` after the third end, and after the end of each disturbance of
    the store or of an instance: until then, an instance may be out of touch.

    Args:
        starts: Monotonic times in seconds at which servers began to run the request.
        ends: Times at which it ended servers.
        disturbances: Start and end of each disturbance.
    """
    ordered = sorted(ends)
    if len(ordered) < _ENDED_SERVERS:
        return []
    calm_at = max([ordered[_ENDED_SERVERS - 1], *(end for _, end in disturbances)])
    late = sum(at > calm_at + checks.ENDS_SETTLE_S for at in starts)
    if late <= _MAX_LATE_RETRIES:
        return []
    return [
        f"a request under which {_ENDED_SERVERS} servers had ended was sent to servers {late} "
        f"times more; {len(ordered)} ended in all"
    ]
