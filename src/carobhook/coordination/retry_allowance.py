"""Bounds the requests that a service gets beyond the first send of each."""

import collections
import math

import attrs

_BUCKET_S = 0.5
# Part of the slack that a new allowance has at once.
_FIRST_SHARE = 0.1


@attrs.define
class _Window:
    """Counts events over the last seconds."""

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
class RetryAllowance:
    """Lets at most a share of a service's requests, and a few more, be sent again.

    Load pattern: many servers fail at once and every request would be sent twice, which doubles
    the load of the servers that are left. Each region counts its own requests, so the sum over
    regions keeps the bound if each takes its part of the fixed number.

    Attributes:
        ratio: Repeats for each request.
        slack: Repeats in a window besides.
        window_s: Length of the window in seconds.
        began_at: Monotonic time in seconds from which this one counts. Another may have counted
            before, so the slack is gained over a window.
        share: Part of the slack that this one may use, while others may count besides.
    """

    ratio: float
    slack: float
    window_s: float
    began_at: float = -math.inf
    share: float = 1.0
    _requests: _Window = attrs.field(init=False)
    _repeats: _Window = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._requests = _Window(self.window_s)
        self._repeats = _Window(self.window_s)

    def count_request(self, now: float) -> None:
        """Count the first send of a request.

        Args:
            now: Monotonic time in seconds.
        """
        self._requests.add(now)

    def take(self, now: float) -> bool:
        """Count a repeat if one is allowed; tell whether it is.

        Args:
            now: Monotonic time in seconds.
        """
        gained = min(1.0, _FIRST_SHARE + max(0.0, now - self.began_at) / self.window_s)
        slack = self.slack * self.share * gained
        allowed = self.ratio * self._requests.total(now) + slack
        if self._repeats.total(now) + 1 > allowed:
            return False
        self._repeats.add(now)
        return True
