"""Tests of carobhook.transport.event_loop."""

import pytest

from carobhook import entry_metrics, logs
from carobhook.transport import event_loop

INTERVAL_S = 0.1


class Recorder:
    """A monitor with metrics, whose load can be set, and the warnings that it logged."""

    def __init__(self, monkeypatch):
        self.load = event_loop.LoopLoad(0.0, 0, 0)
        self.warnings = []
        gauges = dict.fromkeys(entry_metrics.EntryMetric, lambda: 0.0)
        self.metrics = entry_metrics.EntryMetrics(gauges)
        self.monitor = event_loop.EventLoopMonitor(INTERVAL_S, self.metrics, lambda: self.load)
        monkeypatch.setattr(
            logs, "warning", lambda name, **fields: self.warnings.append((name, fields))
        )


@pytest.fixture
def recorder(monkeypatch):
    """Return a monitor that made its first call at 0 s."""
    found = Recorder(monkeypatch)
    found.monitor.record_call(0.0)
    return found


class TestEventLoopMonitor:
    """Delays of the periodic call."""

    def test_call_in_time_is_only_counted(self, recorder):
        """A call after its interval is observed with a delay of zero, and logs nothing."""
        recorder.monitor.record_call(INTERVAL_S)
        assert recorder.warnings == []
        assert b'event_loop_delay_seconds_bucket{le="0.01"} 1.0' in recorder.metrics.render()

    def test_late_call_is_logged_with_the_load(self, recorder):
        """The line has the delay, the time that dispatchers took since, and the queues."""
        recorder.load = event_loop.LoopLoad(2.5, 700, 90)
        recorder.monitor.record_call(3.1)
        fields = {"late_ms": 3000.0, "dispatch_ms": 2500.0, "queued": 700, "in_flight": 90}
        assert recorder.warnings == [("event-loop-late", fields)]

    def test_dispatch_time_counts_from_the_previous_call(self, recorder):
        """Time that a call before has reported is not reported again."""
        recorder.load = event_loop.LoopLoad(2.5, 0, 0)
        recorder.monitor.record_call(3.1)
        recorder.load = event_loop.LoopLoad(2.6, 0, 0)
        recorder.monitor.record_call(4.2)
        assert recorder.warnings[-1][1]["dispatch_ms"] == 100.0
