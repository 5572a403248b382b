"""Measures how late the event loop of an instance makes a periodic call."""

from collections.abc import Callable

import attrs

from carobhook import entry_metrics, logs

# A shorter delay is only counted in the metrics.
_LOGGED_DELAY_S = 0.25


@attrs.frozen
class LoopLoad:
    """What the event loop is busy with, for the log line of a late call.

    Attributes:
        dispatch_s: Seconds since the start that dispatchers took for their decisions.
        queued: Slot requests that wait in the queues of this instance's dispatchers.
        in_flight: Clients' requests that wait for a slot or run.
    """

    dispatch_s: float
    queued: int
    in_flight: int


class EventLoopMonitor:
    """Records the delay of each periodic call, and logs long ones.

    An event loop that is late reads, writes and times out everything of its instance late.

    Args:
        interval_s: Interval of the periodic call in seconds.
        metrics: Metrics of the instance.
        load: Returns what the event loop is busy with.
    """

    def __init__(
        self,
        interval_s: float,
        metrics: entry_metrics.EntryMetrics,
        load: Callable[[], LoopLoad],
    ) -> None:
        self._interval_s = interval_s
        self._metrics = metrics
        self._load = load
        self._called_at: float | None = None
        self._dispatch_s = 0.0

    def record_call(self, now: float) -> None:
        """Record one periodic call.

        Args:
            now: Monotonic time in seconds.
        """
        called_at, self._called_at = self._called_at, now
        if called_at is None:
            return
        delay_s = max(0.0, now - called_at - self._interval_s)
        self._metrics.observe(entry_metrics.EntryMetric.EVENT_LOOP_DELAY, delay_s)
        load = self._load()
        previous_s, self._dispatch_s = self._dispatch_s, load.dispatch_s
        if delay_s >= _LOGGED_DELAY_S:
            logs.warning(
                "event-loop-late",
                late_ms=round(delay_s * 1000, 1),
                dispatch_ms=round((load.dispatch_s - previous_s) * 1000, 1),
                queued=load.queued,
                in_flight=load.in_flight,
            )
