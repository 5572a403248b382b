"""Tells requests that were refused before from those that come for the first time.

Load pattern: under overload most requests are refused, and some of their clients send them
again at once. With the same chance at each attempt, these would be served more often than
those that wait as long as `Retry-After` says.
"""

import math

import attrs

from carobhook.state import allocation

# A request has come back if it has at least this much less time to its target than the first
# ones of its route: a fixed time, for delays on the way, and a share of the route's time.
_MIN_WAITED_S = 0.02
_MIN_WAITED_SHARE = 0.02
# The longest time to the target that was seen on a route counts for this long, so that a change
# of the route's target takes effect.
_WINDOW_S = 10.0
# The target of a request that names its service is set by its client, so a shorter time to it
# does not mean that the request was sent before.
_CALL_PREFIX = "service/"


@attrs.define
class _LongestTime:
    """Longest time to the target in seconds, in this window and in the previous one.

    Attributes:
        current_s: Longest time in this window.
        previous_s: Longest time in the previous window.
        started_at: Monotonic time in seconds at which this window started.
    """

    current_s: float = 0.0
    previous_s: float = 0.0
    started_at: float = -math.inf

    def record(self, left_s: float, now: float) -> float:
        """Add a time in seconds, and return the longest."""
        if now - self.started_at >= _WINDOW_S:
            is_previous = now - self.started_at < 2 * _WINDOW_S
            self.previous_s = self.current_s if is_previous else 0.0
            self.current_s, self.started_at = 0.0, now
        self.current_s = max(self.current_s, left_s)
        return max(self.current_s, self.previous_s)


@attrs.define
class ReturningRequests:
    """Longest times to the target of the routes, which the first attempts have."""

    _by_route: dict[str, _LongestTime] = attrs.field(factory=dict, init=False)
    _pruned_at: float = attrs.field(default=-math.inf, init=False)

    @property
    def tracked(self) -> int:
        """Return the number of routes with recent requests."""
        return len(self._by_route)

    def has_returned(self, request: allocation.SlotRequest, now: float) -> bool:
        """Return whether a client sent a request before, and record its time.

        A request that its instance sends to a second server has not come back: its client still
        waits for the first answer.

        Args:
            request: The request.
            now: Monotonic time in seconds.
        """
        if request.repeat or request.avoided or request.route.startswith(_CALL_PREFIX):
            return False
        self._prune_if_due(now)
        left_s = request.target_at - now
        times = self._by_route.setdefault(request.route, _LongestTime())
        longest_s = times.record(left_s, now)
        return left_s < longest_s * (1 - _MIN_WAITED_SHARE) - _MIN_WAITED_S

    def _prune_if_due(self, now: float) -> None:
        """Forget the routes without requests in the latest two windows."""
        if now - self._pruned_at < _WINDOW_S:
            return
        self._pruned_at = now
        self._by_route = {
            route: times
            for route, times in self._by_route.items()
            if now - times.started_at < 2 * _WINDOW_S
        }
