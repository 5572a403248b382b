"""Limits the retries of requests for one service."""

import collections
import math

import attrs

# Width in seconds of the intervals in which a sliding window counts events.
_BUCKET_S = 0.5
# Share of the slack that a new budget may use at once. The rest is added in the course of a
# window; otherwise an instance that takes over could use the slack a second time.
_INITIAL_SLACK_SHARE = 0.1


@attrs.define
class _SlidingWindow:
    """Counts the events of the last `length_s` seconds, to the precision of `_BUCKET_S`."""

    length_s: float
    _buckets: collections.deque[list[float]] = attrs.field(
        factory=collections.deque, init=False
    )
    _total: float = attrs.field(default=0.0, init=False)

    def add(self, now: float) -> None:
        start = now - now % _BUCKET_S
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append([start, 0.0])
        self._buckets[-1][1] += 1
        self._total += 1

    def total(self, now: float) -> float:
        while self._buckets and self._buckets[0][0] + _BUCKET_S <= now - self.length_s:
            self._total -= self._buckets.popleft()[1]
        return self._total


@attrs.define
class RetryBudget:
    """Limits retries to a share of a service's requests plus a fixed number per window.

    Load pattern: many servers fail at once and every request would be sent twice, which doubles
    the load on the remaining servers. Each region counts its own requests. The limit still
    holds for all regions together if the fixed number is divided among them.

    Attributes:
        ratio: Retries allowed for each request.
        slack: Number of retries allowed in a window beyond those that `ratio` allows.
        window_s: Length of the window in seconds.
        started_at: Monotonic time in seconds at which this budget began to count. Another
            instance may have used its slack just before, so the slack of this one grows to its
            full size over a window.
        share: Share of the slack that this budget may use. It is below 1 while other instances
            may have a budget for the same requests; otherwise each could use the whole slack.
    """

    ratio: float
    slack: float
    window_s: float
    started_at: float = -math.inf
    share: float = 1.0
    _requests: _SlidingWindow = attrs.field(init=False)
    _retries: _SlidingWindow = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._requests = _SlidingWindow(self.window_s)
        self._retries = _SlidingWindow(self.window_s)

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request.

        Args:
            now: Monotonic time in seconds.
        """
        self._requests.add(now)

    def try_consume(self, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        Args:
            now: Monotonic time in seconds.
        """
        accrued_share = min(
            1.0, _INITIAL_SLACK_SHARE + max(0.0, now - self.started_at) / self.window_s
        )
        slack = self.slack * self.share * accrued_share
        allowed = self.ratio * self._requests.total(now) + slack
        if self._retries.total(now) + 1 > allowed:
            return False
        self._retries.add(now)
        return True
