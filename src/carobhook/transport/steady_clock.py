"""Replaces the clock of a reactor by one that is never set.

The reactor's own clock is the time of day. When that is set back, timers stand still for as
long as the step, and elapsed times are negative.
"""

import time
import typing

# The time of this clock also passes while the machine is suspended. Systems other than Linux do
# not have it.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def seconds() -> float:
    """Return the monotonic time in seconds, including the time suspended where possible."""
    return time.clock_gettime(_CLOCK_ID)


def install(reactor: typing.Any) -> None:
    """Make a reactor use this clock for its time and its timers.

    Args:
        reactor: A reactor without any timers yet.
    """
    reactor.seconds = seconds
