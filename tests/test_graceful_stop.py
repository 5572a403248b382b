"""Tests of carobhook.transport.graceful_stop."""

import pytest

from carobhook.transport import graceful_stop


class TestStopTimes:
    """The order of the steps of a stop."""

    @pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 4.0, 6.0, 10.0, 60.0])
    def test_steps_are_in_order_within_the_grace_period(self, grace_s):
        """Requests are limited before connections are refused, and all ends before the kill."""
        times = graceful_stop.StopTimes.within(100.0, grace_s)
        steps = [times.limit_at, times.close_at, times.refuse_at, times.abort_at]
        assert steps == sorted(steps)
        assert times.limit_at > 100.0
        assert times.abort_at < 100.0 + grace_s
