"""Tells whether the machine of this instance works much slower than usual.

Load pattern: some machines of a region slow down several times over for seconds, as their
processors are throttled or taken by others. Their instances still answer heartbeats, so clients
and other instances send them as much as before, which they cannot carry. The evidence is the
time that a fixed piece of work takes: it depends neither on the load of the instance nor on the
servers, paths and other instances that it waits for.
"""

import collections
import math
import statistics

import attrs

# The median of this many latest samples is compared with the usual time, so that single samples
# during which the processor did something else do not count.
_SAMPLES = 7
# The machine is slow when work takes this many times its usual time, and usual again below the
# second factor.
_SLOW_FACTOR = 3.0
_USUAL_FACTOR = 1.7
# It counts as slow for at least this long.
_MIN_SLOW_S = 2.0
# The usual time is the least median so far. It grows by this share with each sample, as a
# machine may be moved to a slower processor for good.
_USUAL_GROWTH = 0.0005


@attrs.define
class MachinePace:
    """Compares the time that a fixed piece of work takes with its usual time."""

    _samples_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_SAMPLES), init=False
    )
    _usual_s: float = attrs.field(default=math.inf, init=False)
    _factor: float = attrs.field(default=1.0, init=False)
    _is_slow: bool = attrs.field(default=False, init=False)
    _slow_since: float = attrs.field(default=-math.inf, init=False)
    _sample_count: int = attrs.field(default=0, init=False)

    @property
    def is_slow(self) -> bool:
        """Return whether the machine is much slower than usual."""
        return self._is_slow

    @property
    def factor(self) -> float:
        """Return how long work takes, as a multiple of its usual time."""
        return self._factor

    @property
    def usual_s(self) -> float:
        """Return the usual time of the piece of work in seconds, infinity if unknown."""
        return self._usual_s

    @property
    def median_s(self) -> float:
        """Return the median of the latest samples in seconds, 0 without any."""
        return statistics.median(self._samples_s) if self._samples_s else 0.0

    @property
    def sample_count(self) -> int:
        """Return the number of samples so far."""
        return self._sample_count

    def record(self, sample_s: float, now: float) -> None:
        """Record how long the piece of work took.

        Args:
            sample_s: Its time in seconds; samples of 0 are ignored.
            now: Monotonic time in seconds.
        """
        if sample_s <= 0:
            return
        self._samples_s.append(sample_s)
        self._sample_count += 1
        if len(self._samples_s) < _SAMPLES:
            return
        median_s = statistics.median(self._samples_s)
        self._usual_s = min(median_s, self._usual_s * (1 + _USUAL_GROWTH))
        self._factor = median_s / self._usual_s
        if not self._is_slow and self._factor >= _SLOW_FACTOR:
            self._is_slow, self._slow_since = True, now
        elif self._factor <= _USUAL_FACTOR and now - self._slow_since >= _MIN_SLOW_S:
            self._is_slow = False
