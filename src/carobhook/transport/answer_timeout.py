"""Time limit of a call whose answer may be large.

Load pattern: an object of 1 MiB takes seconds on a link of a few Mbit/s. A limit for the whole
answer ends each call just before it is complete, and the next one begins from the start.
"""

import math
import typing
from collections.abc import Callable

# An answer that has begun may stall for this long at the end of the time limit.
_MAX_STALL_S = 0.5
# An answer that goes on to arrive is not waited for longer than this past the time limit.
_MAX_EXTRA_S = 5.0


class AnswerTimeout:
    """Ends a call if its answer does not arrive in time.

    An answer that is arriving when the time is over has longer, as long as it goes on to.

    Args:
        reactor: Source of time and timers.
        timeout_s: Seconds from `start` in which the answer has to arrive, or to begin.
    """

    def __init__(self, reactor: typing.Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._ends_at = math.inf
        self._timer: typing.Any = None

    def start(self, on_timeout: Callable[[], object]) -> None:
        """Start the timer, which calls a function that ends the call."""
        self._ends_at = self._reactor.seconds() + self._timeout_s
        self._timer = self._reactor.callLater(self._timeout_s, on_timeout)

    @property
    def is_running(self) -> bool:
        """Return whether it was started, is not over, and was not stopped."""
        return self._timer is not None and bool(self._timer.active())

    def record_data(self) -> None:
        """Record that a part of the answer has arrived."""
        now = self._reactor.seconds()
        if not self.is_running or now + _MAX_STALL_S <= self._ends_at:
            return
        if now <= self._ends_at + _MAX_EXTRA_S - _MAX_STALL_S:
            self._timer.reset(_MAX_STALL_S)

    def stop(self) -> None:
        """Stop the timer."""
        if self.is_running:
            self._timer.cancel()
