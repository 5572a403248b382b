"""Tells whether the machine of this instance works much slower than usual.

Load pattern: some machines of a region slow down several times over for seconds, as their
processors are throttled or taken by others. Their instances still answer heartbeats, so clients
and other instances send them as much as before, which they cannot carry. The evidence is the
time that a fixed piece of work takes: it depends neither on the load of the instance nor on the
servers, paths and other instances that it waits for.

That time also changes with the clock rate of the processor, and does so at many machines
together. What counts is therefore the ratio to the time that the work takes at other instances,
compared with the ratio that is usual for this machine.
"""

import collections
import math
import statistics
from collections.abc import Iterable

import attrs

# The median of this many latest samples is used, so that single samples during which the
# processor did something else do not count.
_SAMPLES = 7
# The machine is slow when its ratio is this many times the usual ratio, and usual again below
# the second factor.
_SLOW_FACTOR = 3.0
_USUAL_FACTOR = 1.7
# The ratio has to be high for this long. A change at all machines is seen at one's own first:
# what others announce may wait at a relay until its next heartbeat.
_CONFIRM_S = 0.5
# It counts as slow for at least this long.
_MIN_SLOW_S = 2.0
# The usual ratio is the median of the ratios noted at this interval; none is concluded from
# fewer than the minimum. Ratios of a slow machine are noted at the longer interval: a machine
# may become slower for good, as when it is moved to another processor.
_NOTE_INTERVAL_S = 1.0
_SLOW_NOTE_INTERVAL_S = 10.0
_MAX_NOTES = 120
_MIN_NOTES = 3
# Another time is announced once it differs by this factor from the one announced before.
_ANNOUNCED_CHANGE = 1.2


def reference_time(times_us: Iterable[int]) -> float:
    """Return the time that the piece of work takes at most machines, in microseconds.

    It is the lower quartile, so that it holds as long as a quarter of the machines work at
    their usual pace, and does not follow a single fast one.

    Args:
        times_us: Times that other instances announce, in microseconds; 0 for none.

    Returns:
        The time, or 0 if no instance announces one.
    """
    known = sorted(time_us for time_us in times_us if time_us > 0)
    return float(known[len(known) // 4]) if known else 0.0


@attrs.define
class MachinePace:
    """Compares the time of a fixed piece of work with that of other instances."""

    _samples_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_SAMPLES), init=False
    )
    _notes: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_NOTES), init=False
    )
    _noted_at: float = attrs.field(default=-math.inf, init=False)
    _usual_ratio: float = attrs.field(default=math.nan, init=False)
    _factor: float = attrs.field(default=1.0, init=False)
    _high_since: float = attrs.field(default=math.inf, init=False)
    _is_slow: bool = attrs.field(default=False, init=False)
    _slow_since: float = attrs.field(default=-math.inf, init=False)
    _announced_us: int = attrs.field(default=0, init=False)

    @property
    def is_slow(self) -> bool:
        """Return whether the machine is much slower than usual."""
        return self._is_slow

    @property
    def is_suspect(self) -> bool:
        """Return whether the machine has been much slower than usual, for too short a time."""
        return self._high_since < math.inf and not self._is_slow

    @property
    def factor(self) -> float:
        """Return how long work takes by comparison with others, as a multiple of the usual."""
        return self._factor

    @property
    def usual_ratio(self) -> float:
        """Return the usual ratio to the time of others, not a number while it is unknown."""
        return self._usual_ratio

    @property
    def note_count(self) -> int:
        """Return the number of ratios that the usual ratio follows from."""
        return len(self._notes)

    @property
    def median_s(self) -> float:
        """Return the median of the latest samples in seconds, 0 without any."""
        return statistics.median(self._samples_s) if self._samples_s else 0.0

    @property
    def announced_us(self) -> int:
        """Return the time to announce to others in microseconds, 0 while it is unknown."""
        return self._announced_us

    def record(self, sample_s: float, reference_us: float, now: float) -> None:
        """Record how long the piece of work took.

        Args:
            sample_s: Its time in seconds; samples of 0 are ignored.
            reference_us: Time that it takes at other instances, in microseconds; nothing is
                concluded without one (0).
            now: Monotonic time in seconds.
        """
        if sample_s <= 0:
            return
        self._samples_s.append(sample_s)
        if len(self._samples_s) < _SAMPLES:
            return
        median_us = self.median_s * 1e6
        self._announce(median_us)
        if reference_us <= 0:
            self._factor, self._high_since = 1.0, math.inf
            self._conclude(now)
            return
        ratio = median_us / reference_us
        self._note(ratio, now)
        self._factor = ratio / self._usual_ratio if len(self._notes) >= _MIN_NOTES else 1.0
        self._conclude(now)

    def _announce(self, median_us: float) -> None:
        change = median_us / self._announced_us if self._announced_us else math.inf
        if not 1 / _ANNOUNCED_CHANGE < change < _ANNOUNCED_CHANGE:
            self._announced_us = max(1, round(median_us))

    def _note(self, ratio: float, now: float) -> None:
        """Note a ratio from time to time, and update the usual one."""
        is_high = self._is_slow or self._high_since < math.inf
        interval_s = _SLOW_NOTE_INTERVAL_S if is_high else _NOTE_INTERVAL_S
        if now - self._noted_at < interval_s:
            return
        self._noted_at = now
        self._notes.append(ratio)
        self._usual_ratio = statistics.median(self._notes)

    def _conclude(self, now: float) -> None:
        if self._is_slow:
            if self._factor <= _USUAL_FACTOR and now - self._slow_since >= _MIN_SLOW_S:
                self._is_slow = False
                self._high_since = math.inf
            return
        if self._factor < _SLOW_FACTOR:
            self._high_since = math.inf
            return
        self._high_since = min(self._high_since, now)
        if now - self._high_since >= _CONFIRM_S:
            self._is_slow, self._slow_since = True, now
