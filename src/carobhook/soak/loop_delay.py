"""Measures when the soak's own event loop was busy, and so saw what happened too late."""

import typing

import attrs
from twisted.internet import task

_INTERVAL_S = 0.01
# A loop that is late by less delays no observation that matters.
_MIN_DELAY_S = 0.005


@attrs.frozen
class BusyPeriod:
    """A period in which the loop called nothing that was due.

    Attributes:
        start: Monotonic time in seconds at which a call was due.
        end: Time at which it was made.
    """

    start: float
    end: float


class LoopDelay:
    """Records the periods in which the loop was busy.

    Args:
        reactor: The reactor whose loop is measured.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._due_at = 0.0
        self._call = task.LoopingCall(self._tick)
        self._call.clock = reactor
        self._periods: list[BusyPeriod] = []

    def start(self) -> None:
        """Measure until `stop`."""
        self._due_at = self._reactor.seconds()
        self._call.start(_INTERVAL_S)

    def stop(self) -> None:
        """Measure no more."""
        if self._call.running:
            self._call.stop()

    def between(self, start: float, end: float) -> float:
        """Return by how much the time from a write to a read seems longer than it was, in s.

        A write is sent when the loop is free again, and an end that comes while it is busy is
        read after that; what lies between them does not matter.

        Args:
            start: Monotonic time in seconds of the write.
            end: Time of the read.
        """
        delay_s = 0.0
        for period in self._periods:
            if period.start <= start <= period.end:
                delay_s += period.end - start
            if period.start <= end <= period.end:
                delay_s += end - period.start
        return min(delay_s, end - start)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        if now - self._due_at > _MIN_DELAY_S:
            self._periods.append(BusyPeriod(self._due_at, now))
        self._due_at = now + _INTERVAL_S
