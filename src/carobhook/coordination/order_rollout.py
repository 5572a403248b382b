"""Computes how much of an order has taken effect at a given time, within its cap.

Load pattern: an operator moves a large part of a service's traffic with one order, to servers
with cold caches. So the order takes effect in steps: the cap limits the size of each step, and
a whole window passes between two steps.
"""

import collections
import math

import attrs

from carobhook.state import orders

# Traffic returns at this fraction of the rate at which the order moved it away.
_RETURN_RATE_FACTOR = 0.5
# Without this tolerance, ceil would count one step too many: 0.07 / 0.01 is just above 7.
_ROUNDING_TOLERANCE = 1e-9


def scheduled_share(goal: float, span: orders.Span, cap: orders.Cap, wall_time: float) -> float:
    """Return the share that an order should have in effect at a given time.

    The share grows in steps from the start of the order. After the end of the order, it falls
    back to zero in smaller steps from the value that it had reached.

    Args:
        goal: Share that the order moves once it has taken full effect.
        span: Times at which the order begins and ends.
        cap: Largest share that may move within a window.
        wall_time: Wall-clock time in seconds.
    """
    moved = _stepped_share(goal, cap.share, cap.window_s, wall_time - span.begins_at)
    if span.ends_at is None or wall_time < span.ends_at:
        return moved
    moved_at_end = _stepped_share(goal, cap.share, cap.window_s, span.ends_at - span.begins_at)
    return_step = cap.share * _RETURN_RATE_FACTOR
    return max(
        0.0,
        moved_at_end
        - _stepped_share(moved_at_end, return_step, cap.window_s, wall_time - span.ends_at),
    )


def duration_s(goal: float, cap: orders.Cap) -> float:
    """Return the seconds from the first step of an order until it has taken full effect.

    Args:
        goal: Share that the order moves once it has taken full effect.
        cap: Largest share that may move within a window.
    """
    return max(0.0, math.ceil(goal / cap.share - _ROUNDING_TOLERANCE) - 1) * cap.window_s


def _stepped_share(goal: float, step: float, window_s: float, elapsed_s: float) -> float:
    """Return the share after one step at once and another at the end of each window."""
    if elapsed_s < 0:
        return 0.0
    return min(goal, step * (math.floor(elapsed_s / window_s) + 1))


@attrs.define
class MoveLimiter:
    """Limits the share that one instance moves within a window of its monotonic clock.

    Orders are scheduled by the wall clock, which may jump. Without this limit, a jump would let
    an instance move more than the cap within a window.
    """

    _moves: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque, init=False
    )

    def allowance(self, cap: orders.Cap, now: float) -> float:
        """Return the share that may still move within the window that ends now.

        Moves from before this window are forgotten.

        Args:
            cap: Largest share that may move within a window.
            now: Monotonic time in seconds.
        """
        while self._moves and self._moves[0][0] <= now - cap.window_s:
            self._moves.popleft()
        return max(0.0, cap.share - sum(share for _, share in self._moves))

    def record(self, share: float, now: float) -> None:
        """Record a move.

        Args:
            share: Share that was moved, whether away from its region or back.
            now: Monotonic time in seconds.
        """
        if share > 0:
            self._moves.append((now, share))
