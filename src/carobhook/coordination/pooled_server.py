"""One backend server of a pool: its slots, its limits and its observed health."""

import collections
import math

import attrs

from carobhook.coordination import (
    catalog,
    server_pace,
    token_bucket,
    work_times,
)
from carobhook.state import allocation, ids

# A server that broke a connection or could not be reached gets no requests for this long,
# doubled with each further failure.
_FIRST_PAUSE_S = 0.4
_MAX_PAUSE_S = 3.0
# Weights of the latest sample in the moving averages of failures and of slowness.
_FAILURE_WEIGHT = 0.15
_SLOWNESS_WEIGHT = 0.25
# Without new responses, the observed slowness counts half as much after this time. Otherwise a
# server that is avoided as slow would get no requests that could show that it is fast again.
_SLOWNESS_HALF_LIFE_S = 3.0
# Lower and upper limit of a sample of slowness.
LEAST_SLOWNESS = 0.5
_MOST_SLOWNESS = 8.0
# A server that reported that it is overloaded gets no requests for this long.
_SHED_PAUSE_S = 0.15
# Requests that one dispatcher may send to a cold server at once.
_COLD_BURST = 2.0
# A server that limits its rate may get the requests of this many seconds at once.
_LIMIT_BURST_S = 0.5
# A server gets this many requests a second even if it names a lower limit; only its answers can
# tell that it takes more again.
_MIN_LIMIT_PER_S = 0.2
# Least result of `throughput_slots` for a limited server; callers divide by it.
_MIN_THROUGHPUT_SLOTS = 0.001
# Requests that a server got within this time before it named a limit count toward the limit.
_LIMIT_LOOKBACK_S = 1.0
# No requests before the limit keep a server idle for longer than this.
_MAX_LIMIT_PAUSE_S = 3.0


def cold_rate_limit(configured_per_s: float, max_per_s: float, visible_share: float) -> float:
    """Return the rate at which one dispatcher may send requests to a cold server.

    Load pattern: the instances are partitioned while a server is cold, and each partition runs
    its own dispatcher. While a partition forms or heals, two dispatchers may send requests to
    the server for a moment. Each is therefore limited to half of `max_per_s` less a burst, so
    that both together, with their bursts, send at most `max_per_s` requests within one second.
    In a partition that lasts, the rate of each dispatcher is also multiplied by the fraction of
    instances that are live in its partition. Before that factor, the rate is at least 1 a
    second, even if `max_per_s` allows less.

    Args:
        configured_per_s: Requests a second that a cold server can handle.
        max_per_s: Most requests that it may get from all instances within one second.
        visible_share: Fraction of the region's recently known instances that are live.
    """
    return max(1.0, min(configured_per_s, max_per_s / 2 - _COLD_BURST)) * visible_share


@attrs.frozen
class ServerOffer:
    """A server that a pool may use, and how many of its slots.

    Attributes:
        view: The server's entry in the store, and the end of its cold time.
        region: Its region.
        slots: Number of its slots that the pool may use.
        cold_rate: Requests a second that the pool may send it while it is cold, or None for no
            limit.
        max_per_s: Requests a second that the pool may send it, as the server named a limit, or
            None for no limit.
    """

    view: catalog.ServerView
    region: ids.Region
    slots: int
    cold_rate: float | None = None
    max_per_s: float | None = None


@attrs.frozen
class RunningRequest:
    """A request that occupies a slot.

    Attributes:
        route: Its route.
        depth: Depth of its object at the server when the slot was granted, or None if the
            object was not recorded there.
        started_at: Monotonic time in seconds of the grant.
        expected_s: Seconds that the server was expected to work.
        slowness: Slowness of the server at the grant, a factor that `expected_s` includes.
        pace: Pace that the server stated before the grant, as a factor of work times.
        is_measured: Whether `expected_s` is an average of observed times. An assumed time says
            nothing about the server's slowness.
        is_taken_over: Whether a previous dispatcher granted the slot, so that the work began
            before `started_at`.
    """

    route: str
    depth: int | None
    started_at: float
    expected_s: float
    slowness: float
    pace: float
    is_measured: bool
    is_taken_over: bool

    @property
    def expected_end_at(self) -> float:
        """Return the monotonic time in seconds at which it is expected to end."""
        return self.started_at + self.expected_s


@attrs.define(eq=False)
class PooledServer:
    """One server of a pool, with its running requests and its observed health.

    Attributes:
        view: The server's entry in the store, and the end of its cold time.
        region: Its region.
        slots: Number of its slots that the pool may use, before `unavailable_slots` are
            subtracted.
        cold_bucket: Limits requests while the server is cold; None for no limit.
        limit_bucket: Limits requests while the server names a limit; None for no limit.
        running: Requests that occupy a slot, by id.
        recent_objects: Objects of the requests that it got most recently.
        unavailable_slots: Number of `slots` that must not be granted for now, because other
            regions may use them or an order withholds them.
        pace: How long work takes on it by its own statement.
    """

    view: catalog.ServerView
    region: ids.Region
    slots: int
    cold_bucket: token_bucket.TokenBucket | None = None
    limit_bucket: token_bucket.TokenBucket | None = attrs.field(default=None, init=False)
    running: dict[ids.RequestId, RunningRequest] = attrs.field(factory=dict, init=False)
    recent_objects: work_times.RecentObjects = attrs.field(
        factory=work_times.RecentObjects, init=False
    )
    unavailable_slots: int = attrs.field(default=0, init=False)
    pace: server_pace.StatedPace = attrs.field(factory=server_pace.StatedPace, init=False)
    _connection_failures: int = attrs.field(default=0, init=False)
    _paused_until: float = attrs.field(default=-math.inf, init=False)
    _failure_share: float = attrs.field(default=0.0, init=False)
    _slowness: float = attrs.field(default=1.0, init=False)
    _slowness_at: float = attrs.field(default=0.0, init=False)
    # Expected end of the running request that is expected to end first.
    _first_end_at: float = attrs.field(default=math.inf, init=False)
    # Times of the latest starts, none older than `_LIMIT_LOOKBACK_S` at the last start.
    _starts: collections.deque[float] = attrs.field(factory=collections.deque, init=False)

    @property
    def name(self) -> ids.Server:
        """Return the server's name."""
        return self.view.entry.name

    @property
    def failure_share(self) -> float:
        """Return the moving average of failures among its responses, from 0 to 1."""
        return self._failure_share

    @property
    def is_suspect(self) -> bool:
        """Return whether a connection to it failed and it has not responded since."""
        return self._connection_failures > 0

    def update(self, offer: ServerOffer, now: float) -> None:
        """Update the store entry, the slots and the cold rate.

        An offer without a cold rate leaves an earlier rate as it is.

        Args:
            offer: The new values.
            now: Monotonic time in seconds.
        """
        self.view = offer.view
        self.slots = offer.slots
        self.limit_rate(offer.max_per_s, now)
        if offer.cold_rate is None:
            return
        if self.cold_bucket is None:
            self.cold_bucket = token_bucket.TokenBucket(offer.cold_rate, _COLD_BURST)
            # Another dispatcher may have used the burst a moment ago.
            self.cold_bucket.clear(now)
        self.cold_bucket.rate = offer.cold_rate

    def limit_rate(self, max_per_s: float | None, now: float) -> None:
        """Limit the requests that the server gets, or end the limit.

        What it got just before counts, so that it gets a rest if that was more than it takes.

        Args:
            max_per_s: Requests a second that the pool may send it, or None for no limit.
            now: Monotonic time in seconds.
        """
        if max_per_s is None:
            self.limit_bucket = None
            return
        rate = max(_MIN_LIMIT_PER_S, max_per_s)
        burst = max(1.0, rate * _LIMIT_BURST_S)
        bucket = self.limit_bucket
        if bucket is not None and bucket.rate == rate:
            return
        is_lower = bucket is None or rate < bucket.rate
        if bucket is None:
            bucket = self.limit_bucket = token_bucket.TokenBucket(rate, burst)
        bucket.rate, bucket.burst = rate, burst
        if is_lower:
            self._forget_starts(now)
            # No burst at first: another dispatcher may have used it a moment ago.
            balance = min(0.0, rate * _LIMIT_LOOKBACK_S - len(self._starts))
            bucket.reduce_to(max(balance, -rate * _MAX_LIMIT_PAUSE_S), now)

    def _forget_starts(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - _LIMIT_LOOKBACK_S:
            self._starts.popleft()

    def throughput_slots(self, work_s: float) -> float:
        """Return how many slots requests of a length can keep busy within the server's limit.

        Args:
            work_s: Work time of each request in seconds.
        """
        if self.limit_bucket is None:
            return float(self.slots)
        limited_slots = min(float(self.slots), self.limit_bucket.rate * work_s)
        return max(_MIN_THROUGHPUT_SLOTS, limited_slots)

    def free_slots(self, now: float) -> int:
        """Return the number of free slots.

        A paused server has none. After a failed connection, a server gets only one request at a
        time until it responds. Requests from before do not count for that: they may wait for
        their deadlines on connections that carry nothing any more.

        Args:
            now: Monotonic time in seconds.
        """
        if now < self._paused_until:
            return 0
        free = self.slots - self.unavailable_slots - len(self.running)
        if self._connection_failures:
            trials = sum(run.started_at >= self._paused_until for run in self.running.values())
            free = min(free, 1 - trials)
        return max(0, free)

    @property
    def has_usable_slots(self) -> bool:
        """Return whether any of its slots is for this pool, so that one may become free."""
        return self.slots > self.unavailable_slots

    def can_serve(self, now: float) -> bool:
        """Return whether the server takes requests, although it may be busy at the moment."""
        is_healthy = not self._connection_failures and now >= self._paused_until
        return is_healthy and self.slots > self.unavailable_slots and self.rate_allows(now)

    def rate_allows(self, now: float) -> bool:
        """Return whether its rate limits allow one more request, without counting one."""
        if self.limit_bucket is not None and self.limit_bucket.wait_s(now) > 0:
            return False
        return self.cold_rate_allows(now)

    def cold_rate_allows(self, now: float) -> bool:
        """Return whether the cold rate allows one more request, without counting one."""
        if self.cold_bucket is None or now >= self.view.cold_until:
            return True
        return self.cold_bucket.wait_s(now) <= 0

    def is_free(self, now: float) -> bool:
        """Return whether the server can start a request now."""
        if len(self.running) >= self.slots:
            return False
        return self.free_slots(now) > 0 and self.rate_allows(now)

    def slowness(self, now: float) -> float:
        """Return the factor by which its work takes longer than expected.

        What the server states of its pace is not included.
        """
        age_s = max(0.0, now - self._slowness_at)
        decay = 0.5 ** (age_s / _SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * decay

    def pace_during(self, run: RunningRequest, now: float) -> float:
        """Return the pace at which the server worked on a request that ends now.

        It may have changed meanwhile, so this is the mean of its values at both ends.

        Args:
            run: The request.
            now: Monotonic time in seconds.
        """
        return (run.pace + self.pace.factor(now)) / 2

    def next_free_s(self, now: float) -> float:
        """Return the expected seconds until it can start a request.

        That is when its pause ends or, if not paused, when a request ends, and when its limit
        allows one more. This is 0 if it is neither paused nor limited nor running a request. A
        request that runs longer than expected is assumed to end in a moment.

        Args:
            now: Monotonic time in seconds.
        """
        limit_s = self.limit_bucket.wait_s(now) if self.limit_bucket is not None else 0.0
        if now < self._paused_until:
            return max(limit_s, self._paused_until - now)
        if not self.running or (limit_s > 0 and self.free_slots(now) > 0):
            return limit_s
        return max(limit_s, 0.005, self._first_end_at - now)

    def start(
        self,
        request: allocation.SlotRequest,
        expected_s: float,
        now: float,
        depth: int | None = None,
        *,
        is_measured: bool = False,
        is_taken_over: bool = False,
    ) -> None:
        """Occupy a slot with a request.

        Args:
            request: The request.
            expected_s: Expected work time in seconds.
            now: Monotonic time in seconds.
            depth: Depth of its object at the server before, or None if it is not recorded.
            is_measured: Whether the expected time is an average of observed times.
            is_taken_over: Whether a previous dispatcher granted the slot.
        """
        key = work_times.qualified_key(request.route, request.object_key)
        if key is not None:
            self.recent_objects.touch(key)
        run = RunningRequest(
            request.route,
            depth,
            now,
            expected_s,
            self.slowness(now),
            self.pace.factor(now),
            is_measured,
            is_taken_over,
        )
        self.running[request.id] = run
        self._first_end_at = min(self._first_end_at, run.expected_end_at)
        if self.cold_bucket is not None and now < self.view.cold_until:
            self.cold_bucket.try_consume(now)
        if self.limit_bucket is not None:
            self.limit_bucket.try_consume(now)
        self._forget_starts(now)
        self._starts.append(now)

    def finish(self, request_id: ids.RequestId) -> RunningRequest | None:
        """Free the slot of a request and return it, or None if it occupies none."""
        run = self.running.pop(request_id, None)
        if run is not None and run.expected_end_at <= self._first_end_at:
            ends = (other.expected_end_at for other in self.running.values())
            self._first_end_at = min(ends, default=math.inf)
        return run

    def record_outcome(
        self, run: RunningRequest, outcome: allocation.AttemptOutcome, now: float
    ) -> None:
        """Update health and slowness from the outcome of a request.

        Args:
            run: The request, whose slot is free again.
            outcome: How the attempt ended.
            now: Monotonic time in seconds.
        """
        if outcome is allocation.AttemptOutcome.CANCELLED:
            return
        if outcome in (allocation.AttemptOutcome.UNREACHABLE, allocation.AttemptOutcome.BROKEN):
            # Requests that ran at the same time often fail together. They count as one failure;
            # otherwise each of them would double the pause.
            if run.started_at >= self._paused_until or self._connection_failures == 0:
                self._connection_failures += 1
                pause_s = min(
                    _MAX_PAUSE_S, _FIRST_PAUSE_S * 2.0 ** (self._connection_failures - 1)
                )
                self._paused_until = now + pause_s
            if outcome is allocation.AttemptOutcome.UNREACHABLE:
                # It may have stopped, and a restarted server has no objects in memory.
                self.recent_objects.clear()
            return
        self._connection_failures = 0
        if outcome is allocation.AttemptOutcome.MISDIRECTED:
            self._paused_until = now + _MAX_PAUSE_S
            return
        if outcome is allocation.AttemptOutcome.SHED:
            self._paused_until = now + _SHED_PAUSE_S
            self._update_failure_share(1.0)
            return
        self._update_failure_share(1.0 if outcome is allocation.AttemptOutcome.FAILED else 0.0)
        is_comparable = run.is_measured and not run.is_taken_over and run.expected_s > 0
        if outcome is allocation.AttemptOutcome.ANSWERED and is_comparable:
            elapsed_s = max(0.0, now - run.started_at)
            # The expected time includes the slowness at the grant. Multiplying by it compares
            # the elapsed time with the time that was expected without slowness. What the server
            # itself states is no reason to take it for slow after that.
            ratio = elapsed_s * run.slowness / run.expected_s / self.pace_during(run, now)
            sample = min(_MOST_SLOWNESS, max(LEAST_SLOWNESS, ratio))
            current = self.slowness(now)
            self._slowness = current + _SLOWNESS_WEIGHT * (sample - current)
            self._slowness_at = now

    def _update_failure_share(self, sample: float) -> None:
        self._failure_share += _FAILURE_WEIGHT * (sample - self._failure_share)
