"""Decides how much of an order has taken effect at a time, within its cap.

Load pattern: an operator moves a large part of a service at once, to servers with cold caches.
Each step moves at most the cap, and the next one comes a window later.
"""

import collections
import math

import attrs

from carobhook.state import orders

# What an order moved returns more slowly than it left.
_RETURN_PACE = 0.5
_ROUNDING = 1e-9


def scheduled_share(goal: float, span: orders.Span, cap: orders.Cap, wall: float) -> float:
    """Return the share that an order should have moved by now.

    Args:
        goal: Share that it is to move in the end.
        span: When it holds.
        cap: Most that may move within a window.
        wall: Wall-clock time in seconds.
    """
    moved = _stepped(goal, cap.share, cap.window_s, wall - span.begins_at)
    if span.ends_at is None or wall < span.ends_at:
        return moved
    left = _stepped(goal, cap.share, cap.window_s, span.ends_at - span.begins_at)
    back = cap.share * _RETURN_PACE
    return max(0.0, left - _stepped(left, back, cap.window_s, wall - span.ends_at))


def duration_s(goal: float, cap: orders.Cap) -> float:
    """Return the seconds that an order needs to move its share.

    Args:
        goal: Share that it is to move.
        cap: Most that may move within a window.
    """
    return max(0.0, math.ceil(goal / cap.share - _ROUNDING) - 1) * cap.window_s


def _stepped(goal: float, step: float, window_s: float, elapsed_s: float) -> float:
    if elapsed_s < 0:
        return 0.0
    return min(goal, step * (math.floor(elapsed_s / window_s) + 1))


@attrs.define
class MovedShares:
    """What one instance has moved lately, by its own steady clock.

    The wall clock, by which orders are scheduled, may step; no step lets an instance move more
    than the cap within a window.
    """

    _moves: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque, init=False
    )

    def room(self, cap: orders.Cap, now: float) -> float:
        """Return how much more the cap lets move now.

        Args:
            cap: Most that may move within a window.
            now: Monotonic time in seconds.
        """
        while self._moves and self._moves[0][0] <= now - cap.window_s:
            self._moves.popleft()
        return max(0.0, cap.share - sum(share for _, share in self._moves))

    def count(self, share: float, now: float) -> None:
        """Count a move.

        Args:
            share: Share that moved, whichever way.
            now: Monotonic time in seconds.
        """
        if share > 0:
            self._moves.append((now, share))
