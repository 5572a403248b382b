"""Tests of carobhook.coordination.retry_allowance."""

import hypothesis
from hypothesis import strategies as st

from carobhook.coordination import retry_allowance


class TestRetryAllowance:
    """Repeats in a window."""

    @hypothesis.given(st.lists(st.tuples(st.floats(0.0, 0.3), st.booleans()), max_size=400))
    def test_the_bound_holds_in_every_window(self, steps):
        """No window sees more repeats than the share of the requests before and the slack."""
        one = retry_allowance.RetryAllowance(0.2, 3.0, 5.0)
        now, sends, repeats = 0.0, [], []
        for gap_s, is_repeat in steps:
            now += gap_s
            if not is_repeat:
                one.count_request(now)
                sends.append(now)
            elif one.take(now):
                repeats.append(now)
                counted = sum(1 for at in sends if at > now - 5.5)
                window = sum(1 for at in repeats if at > now - 5.0)
                assert window <= 0.2 * counted + 3.0 + 1e-9
