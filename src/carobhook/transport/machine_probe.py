"""Measures how fast the machine of this instance works."""

from collections.abc import Callable

from carobhook import logs
from carobhook.coordination import machine_pace

# Rounds of the measured piece of work, which takes well below a millisecond.
_ROUNDS = 2000


class MachineProbe:
    """Runs a fixed piece of work at each call, and logs when the machine turns slow or usual.

    Args:
        seconds: Returns the monotonic time in seconds.
        on_change: Called when the machine has turned slow or usual.
    """

    def __init__(self, seconds: Callable[[], float], on_change: Callable[[], object]) -> None:
        self._seconds = seconds
        self._on_change = on_change
        self._pace = machine_pace.MachinePace()

    @property
    def is_slow(self) -> bool:
        """Return whether the machine is much slower than usual."""
        return self._pace.is_slow

    @property
    def factor(self) -> float:
        """Return how long work takes, as a multiple of its usual time."""
        return self._pace.factor

    def probe(self) -> None:
        """Measure once."""
        was_slow = self._pace.is_slow
        started_at = self._seconds()
        sum(range(_ROUNDS))
        ended_at = self._seconds()
        self._pace.record(ended_at - started_at, ended_at)
        if self._pace.is_slow == was_slow:
            return
        factor = round(self._pace.factor, 1)
        median_us = round(self._pace.median_s * 1e6, 1)
        usual_us = round(self._pace.usual_s * 1e6, 1)
        samples = self._pace.sample_count
        if was_slow:
            logs.event(
                "machine-usual",
                factor=factor,
                median_us=median_us,
                usual_us=usual_us,
                samples=samples,
            )
        else:
            logs.warning(
                "machine-slow",
                factor=factor,
                median_us=median_us,
                usual_us=usual_us,
                samples=samples,
            )
        self._on_change()
