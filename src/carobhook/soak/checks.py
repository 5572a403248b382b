"""What must hold of a soak, judged by what clients and servers saw."""

import collections
from collections.abc import Iterable, Sequence

import attrs

from carobhook.standins import platform_client

# After the last fault and this time, nearly all requests are served.
RECOVERED_AFTER_S = 4.0
_SERVED_SHARE = 0.95
# A server that says it is draining gets nothing after this.
DRAIN_S = 2.5
# A connection that ends so soon after a request was sent may have been closed before.
LOSS_SLACK_S = 0.2
_PROMISES = frozenset({408, 421, 429, 503})


@attrs.frozen
class Run:
    """One run of a request at a server.

    Attributes:
        attempt: Id that the client gave to its attempt.
        server: The server.
        at: Monotonic time in seconds of its begin.
    """

    attempt: str
    server: str
    at: float


def broken(
    runs: Sequence[Run],
    attempts: Sequence[tuple[platform_client.RequestPlan, platform_client.Attempt]],
) -> list[str]:
    """Return what was broken, whatever the faults were; nothing is right.

    Args:
        runs: Every run at a server.
        attempts: Every attempt of a client with its kind of request.
    """
    counts = collections.Counter(run.attempt for run in runs)
    found = []
    for plan, attempt in attempts:
        if not plan.repeatable and counts[attempt.id] > 1:
            found.append(f"{attempt.id} may run once and ran {counts[attempt.id]} times")
        if not plan.repeatable and attempt.status in _PROMISES and counts[attempt.id]:
            found.append(f"{attempt.id} got {attempt.status}, which says not-run, and ran")
        if attempt.status == 200 and attempt.body != attempt.id.encode():
            found.append(f"{attempt.id} got the answer {attempt.body!r:.40}")
        if attempt.status == 200 and not counts[attempt.id]:
            found.append(f"{attempt.id} was served and never ran")
        if attempt.status in (400, 401, 403, 404):
            found.append(f"{attempt.id} is proper and got {attempt.status}")
    known = {attempt.id for _, attempt in attempts}
    found += [
        f"{run.attempt} ran and no client sent it" for run in runs if run.attempt not in known
    ]
    return found


def cut(
    runs: Iterable[Run],
    attempts: Iterable[tuple[platform_client.RequestPlan, platform_client.Attempt]],
) -> list[str]:
    """Return the attempts that were cut, which planned work must not lead to.

    A request that crosses the close of its connection was read by nobody: no server ran it, and
    its end comes at once.

    Args:
        runs: Every run at a server.
        attempts: Every attempt of a client with its kind of request.
    """
    ran = {run.attempt for run in runs}
    found = []
    for _, attempt in attempts:
        crossed = attempt.id not in ran and attempt.seconds <= LOSS_SLACK_S
        if attempt.status in (500, 502, 504) or (attempt.status == 0 and not crossed):
            found.append(
                f"{attempt.id} got {attempt.status or 'no answer'} under planned work only"
            )
    return found


def late_sends(runs: Iterable[Run], drained: Iterable[tuple[str, float, float]]) -> list[str]:
    """Return the requests that reached a draining server too late.

    Args:
        runs: Every run at a server.
        drained: Server, begin and end of each time in which it said that it was draining.
    """
    return [
        f"{run.attempt} reached {run.server} {run.at - begin:.1f} s after it was draining"
        for server, begin, end in drained
        for run in runs
        if run.server == server and begin + DRAIN_S < run.at < end
    ]


def unrecovered(served: int, sent: int) -> list[str]:
    """Return whether too few of the requests after the recovery were served."""
    if sent and served >= _SERVED_SHARE * sent:
        return []
    return [f"only {served} of {sent} requests were served after the recovery"]
