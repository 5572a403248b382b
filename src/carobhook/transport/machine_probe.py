"""Measures how fast the machine of this instance works."""

import math
from collections.abc import Callable, Iterable

from carobhook import logs
from carobhook.coordination import machine_pace

# Rounds of the measured piece of work, which takes well below a millisecond.
_ROUNDS = 2000
# The times of others are collected this often, and at each call while the machine is suspect.
_REFERENCE_INTERVAL_S = 0.4


class MachineProbe:
    """Runs a fixed piece of work at each call, and logs when the machine turns slow or usual.

    Args:
        seconds: Returns the monotonic time in seconds.
        others_us: Returns the times that the work takes at the other live instances, in
            microseconds, 0 for an unknown one.
        on_change: Called when the machine has turned slow or usual.
        on_work_time: Called when another work time is to be announced.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        others_us: Callable[[], Iterable[int]],
        on_change: Callable[[], object],
        on_work_time: Callable[[], object],
    ) -> None:
        self._seconds = seconds
        self._others_us = others_us
        self._reference_us = 0.0
        self._collected_at = -math.inf
        self._on_change = on_change
        self._on_work_time = on_work_time
        self._pace = machine_pace.MachinePace()

    @property
    def is_slow(self) -> bool:
        """Return whether the machine is much slower than usual."""
        return self._pace.is_slow

    @property
    def factor(self) -> float:
        """Return how long work takes by comparison with others, as a multiple of the usual."""
        return self._pace.factor

    @property
    def work_time_us(self) -> int:
        """Return how long the work takes, to be announced, in microseconds; 0 if unknown."""
        return self._pace.announced_us

    def probe(self) -> None:
        """Measure once."""
        was_slow, announced_us = self._pace.is_slow, self._pace.announced_us
        started_at = self._seconds()
        sum(range(_ROUNDS))
        ended_at = self._seconds()
        is_due = ended_at - self._collected_at >= _REFERENCE_INTERVAL_S
        if is_due or self._pace.is_suspect:
            self._collected_at = ended_at
            self._reference_us = machine_pace.reference_time(self._others_us())
        self._pace.record(ended_at - started_at, self._reference_us, ended_at)
        if self._pace.is_slow != was_slow:
            self._log()
            self._on_change()
        elif self._pace.announced_us != announced_us:
            self._on_work_time()

    def _log(self) -> None:
        factor = round(self._pace.factor, 1)
        median_us = round(self._pace.median_s * 1e6, 1)
        usual_us = round(self._pace.usual_ratio * self._reference_us, 1)
        notes = self._pace.note_count
        if self._pace.is_slow:
            logs.warning(
                "machine-slow",
                factor=factor,
                median_us=median_us,
                usual_us=usual_us,
                others_us=self._reference_us,
                notes=notes,
            )
        else:
            logs.event(
                "machine-usual",
                factor=factor,
                median_us=median_us,
                usual_us=usual_us,
                others_us=self._reference_us,
                notes=notes,
            )
