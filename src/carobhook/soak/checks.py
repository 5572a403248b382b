"""Invariants of a soak run, checked on the records of clients and backend servers."""

import collections
import math
from collections.abc import Callable, Iterable, Sequence

import attrs

from carobhook.soak import kept_connections
from carobhook.standins import platform_client

# Seconds from the end of the load and of all faults to the load that measures the recovery. At
# least `_MIN_SERVED_SHARE` of the latter must be served.
RECOVERY_S = 4.0
_MIN_SERVED_SHARE = 0.95
# Seconds within which instances must stop sending requests to a server that reports draining.
DRAIN_LIMIT_S = 2.5
# A connection that ends this soon after a request was sent may have been closed by its peer
# before the request arrived, so that no instance read the request.
CLOSE_RACE_S = 0.2
# Seconds within which a whole request that gets no answer is followed by the end of its
# connection, and within which the end follows a response that announces it.
LOSS_SLACK_S = 0.2
# Requests a second that a limited server names. Within each `LIMIT_WINDOW_S`, from
# `LIMIT_SETTLE_S` after it first named the limit, it may get `_LIMIT_FACTOR` times as many and
# `_LIMIT_SLACK` more.
LIMIT_PER_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
# Seconds from the start of a cut between an instance and all servers to the time from which
# callers must be served, and the share of their first attempts that must be.
CUT_SETTLE_S = 3.0
_MIN_CUT_SHARE = 0.9
# A request that ended this many servers may end this many more, later than this after that.
_ENDED_SERVERS = 3
_MAX_LATE_ENDS = 3
ENDS_SETTLE_S = 3.0
# Seconds within which a configuration must be in force at each instance.
CONFIG_LIMIT_S = 2.5
# Statuses that guarantee that the request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.frozen
class Run:
    """One execution of a request by a backend server.

    Attributes:
        attempt_id: Id that the client gave its attempt.
        server: Id of the server.
        started_at: Monotonic time in seconds at which it started.
    """

    attempt_id: str
    server: str
    started_at: float


def find_violations(
    runs: Sequence[Run],
    attempts: Sequence[tuple[platform_client.RequestPlan, platform_client.Attempt]],
) -> list[str]:
    """Return the violations of the invariants that hold under every fault, one line each.

    Args:
        runs: All runs on all servers.
        attempts: All attempts of all clients, each with its kind of request.
    """
    run_counts = collections.Counter(run.attempt_id for run in runs)
    violations = []
    for plan, attempt in attempts:
        if not plan.repeatable and run_counts[attempt.id] > 1:
            violations.append(
                f"{attempt.id} may run once and ran {run_counts[attempt.id]} times"
            )
        if (
            not plan.repeatable
            and attempt.status in _NOT_RUN_STATUSES
            and run_counts[attempt.id]
        ):
            violations.append(f"{attempt.id} got {attempt.status}, which says not-run, and ran")
        if attempt.status == 200 and attempt.body != attempt.id.encode():
            violations.append(f"{attempt.id} got the answer {attempt.body!r:.40}")
        if attempt.status == 200 and not run_counts[attempt.id]:
            violations.append(f"{attempt.id} was served and never ran")
        if attempt.status in (400, 401, 403, 404):
            violations.append(f"{attempt.id} is valid and got {attempt.status}")
    sent_ids = {attempt.id for _, attempt in attempts}
    violations += [
        f"{run.attempt_id} ran and no client sent it"
        for run in runs
        if run.attempt_id not in sent_ids
    ]
    return violations


def find_interrupted(
    runs: Iterable[Run],
    attempts: Iterable[tuple[platform_client.RequestPlan, platform_client.Attempt]],
) -> list[str]:
    """Return one line for each interrupted attempt; planned work must not interrupt any.

    Attempts with status 500, 502 or 504 and attempts without a response count as interrupted.
    An attempt without a response is accepted if no server ran it and it failed within
    `CLOSE_RACE_S`. Its request was sent while the connection was being closed, so that no
    instance read it.

    Args:
        runs: All runs on all servers.
        attempts: All attempts of all clients, each with its kind of request.
    """
    run_ids = {run.attempt_id for run in runs}
    violations = []
    for _, attempt in attempts:
        lost_in_close = attempt.id not in run_ids and attempt.duration_s <= CLOSE_RACE_S
        if attempt.status in (500, 502, 504) or (attempt.status == 0 and not lost_in_close):
            violations.append(
                f"{attempt.id} got {attempt.status or 'no answer'} after "
                f"{attempt.duration_s:.2f} s under planned work only"
            )
    return violations


def find_unanswered(run_ids: Iterable[str], unanswered: Iterable[str]) -> list[str]:
    """Return one line for each pipelined request that ran and got no answer.

    Planned work must not end the connection of any. One that no server ran counts as not read,
    as the response before it closed the connection.

    Args:
        run_ids: Ids of all requests that servers ran.
        unanswered: Ids of the requests whose connection was closed before their response.
    """
    ran = set(run_ids)
    return [
        f"{request_id} ran and its connection ended without its answer"
        for request_id in unanswered
        if request_id in ran
    ]


def find_late_closes(
    requests: Iterable[kept_connections.KeptRequest],
    run_ids: Iterable[str],
    delay: Callable[[float, float], float],
) -> list[str]:
    """Return one line for each request on a kept connection that planned work lost.

    One without an answer must not have run, and the end of its connection must follow within
    `LOSS_SLACK_S`.

    Args:
        requests: The requests on connections that their clients kept during a stop.
        run_ids: Ids of all requests that servers ran.
        delay: Returns by how much the time between two moments was measured too long, as the
            clients' own loop was busy, in seconds.
    """
    ran = set(run_ids)
    violations = []
    for request in requests:
        if request.response is not None:
            continue
        if request.ended_at is None:
            violations.append(f"{request.id}: not closed after the request, no answer")
            continue
        waited_s = request.ended_at - request.sent_at
        waited_s -= delay(request.sent_at, request.ended_at)
        if waited_s > LOSS_SLACK_S:
            late_ms = waited_s * 1000
            violations.append(
                f"{request.id}: closed {late_ms:.0f} ms after the request, no answer"
            )
        elif request.id in ran:
            violations.append(f"{request.id} ran and its connection ended without its answer")
    return violations


def find_late_ends_of_connections(
    requests: Iterable[kept_connections.KeptRequest], delay: Callable[[float, float], float]
) -> list[str]:
    """Return a violation if connections ended late after the answer that announced it.

    Their clients wait for the end and send no more; it must follow within `LOSS_SLACK_S`.

    Args:
        requests: The requests on connections that their clients kept during a stop.
        delay: As in `find_late_closes`.
    """
    waits_s = [
        math.inf
        if request.ended_at is None
        else request.ended_at
        - request.answered_at
        - delay(request.answered_at, request.ended_at)
        for request in requests
        if request.response is not None
        and request.answered_at is not None
        and request.response.closes
    ]
    late = [wait_s for wait_s in waits_s if wait_s > LOSS_SLACK_S]
    if not late:
        return []
    return [
        f"{len(late)} of {len(waits_s)} connections ended late after their last answer, up to "
        f"{max(late):.2f} s"
    ]


def find_late_sends(
    runs: Iterable[Run], draining_periods: Iterable[tuple[str, float, float]]
) -> list[str]:
    """Return one line for each request that reached a draining server too late.

    Too late means more than `DRAIN_LIMIT_S` after the server reported draining.

    Args:
        runs: All runs on all servers.
        draining_periods: Server, start and end of each period in which it reported draining.
    """
    return [
        f"{run.attempt_id} reached {run.server} "
        f"{run.started_at - start:.1f} s after it was draining"
        for server, start, end in draining_periods
        for run in runs
        if run.server == server and start + DRAIN_LIMIT_S < run.started_at < end
    ]


def find_over_limit(
    runs: Iterable[Run], limited_periods: Iterable[tuple[str, float, float]]
) -> list[str]:
    """Return one line for each period in which a server got more than its limit allows.

    Args:
        runs: All runs on all servers.
        limited_periods: Server, start and end of each period in which it named `LIMIT_PER_S`.
    """
    allowed = _LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW_S + _LIMIT_SLACK
    violations = []
    for server, start, end in limited_periods:
        starts = sorted(run.started_at for run in runs if run.server == server)
        ends = [at for at in starts if start + LIMIT_SETTLE_S <= at <= end]
        most = max(
            (sum(at - LIMIT_WINDOW_S < s <= at for s in starts) for at in ends), default=0
        )
        if most > allowed:
            violations.append(
                f"{server} got {most} requests in {LIMIT_WINDOW_S:.0f} s at a limit of "
                f"{LIMIT_PER_S:g} a second"
            )
    return violations


def find_unserved_in_cuts(
    attempts: Iterable[tuple[platform_client.RequestPlan, platform_client.Attempt]],
    cut_periods: Iterable[tuple[float, float]],
) -> list[str]:
    """Return one line for each cut from servers in which too few attempts were served.

    Attempts count from `CUT_SETTLE_S` after the start of the cut, and after that of any other
    cut which overlaps it.

    Args:
        attempts: All attempts of all clients, each with its kind of request.
        cut_periods: Start and end of each period in which an instance reached no server.
    """
    periods = list(cut_periods)
    sent = [
        attempt
        for _, attempt in attempts
        if not any(0 <= attempt.sent_at - start < CUT_SETTLE_S for start, _ in periods)
    ]
    violations = []
    for start, end in periods:
        meant = [a for a in sent if start <= a.sent_at < end - a.duration_s]
        served = sum(attempt.status == 200 for attempt in meant)
        if served < _MIN_CUT_SHARE * len(meant):
            violations.append(f"{served} of {len(meant)} attempts were served during a cut")
    return violations


def find_late_ends(ends: Iterable[float]) -> list[str]:
    """Return a violation if a request ended too many servers after it was known to do so.

    Args:
        ends: Monotonic times in seconds at which the request ended servers.
    """
    ordered = sorted(ends)
    if len(ordered) <= _ENDED_SERVERS:
        return []
    settled_at = ordered[_ENDED_SERVERS - 1] + ENDS_SETTLE_S
    late = sum(at > settled_at for at in ordered)
    if late <= _MAX_LATE_ENDS:
        return []
    return [f"a request that had ended {_ENDED_SERVERS} servers ended {late} more"]


@attrs.frozen
class ConfigInForce:
    """A configuration that came into force at an instance.

    Attributes:
        instance: Index of the instance.
        version: Version of the configuration.
        at: Monotonic time in seconds.
    """

    instance: int
    version: int
    at: float


def find_late_configs(
    writes: Iterable[tuple[int, float]],
    in_force: Sequence[ConfigInForce],
    store_faults: Iterable[tuple[float, float]],
    ends_at: float,
) -> list[str]:
    """Return one line for each configuration that an instance had too late.

    Too late means more than `CONFIG_LIMIT_S` after it was written, or after the end of faults
    of the store in that time. A later version may come into force in place of it.

    Args:
        writes: Version and monotonic time in seconds of each configuration.
        in_force: When which version came into force where.
        store_faults: Start and end of each fault of the store.
        ends_at: Monotonic time in seconds at which the records end.
    """
    faults = sorted(store_faults)
    instances = sorted({found.instance for found in in_force})
    violations = []
    for version, written_at in writes:
        begins_at = written_at
        for start, end in faults:
            if start <= begins_at + CONFIG_LIMIT_S:
                begins_at = max(begins_at, end)
        limit_at = begins_at + CONFIG_LIMIT_S
        if limit_at > ends_at:
            continue
        for instance in instances:
            times = [f.at for f in in_force if f.instance == instance and f.version >= version]
            if min(times, default=math.inf) > limit_at:
                late_s = min(times, default=ends_at) - begins_at
                violations.append(
                    f"configuration {version} came into force at i{instance} {late_s:.1f} s "
                    "after it could"
                )
    return violations


def check_recovery(served: int, sent: int) -> list[str]:
    """Return a violation if too few of the requests sent after the recovery were served.

    Args:
        served: Number of requests served.
        sent: Number of requests sent; none sent is a violation too.
    """
    if sent and served >= _MIN_SERVED_SHARE * sent:
        return []
    return [f"only {served} of {sent} requests were served after the recovery"]
