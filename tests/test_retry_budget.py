"""Tests of carobhook.coordination.retry_budget."""

import hypothesis
from hypothesis import strategies as st

from carobhook.coordination import retry_budget


class TestRetryBudget:
    """Retries within a window."""

    @hypothesis.given(st.lists(st.tuples(st.floats(0.0, 0.3), st.booleans()), max_size=400))
    def test_limit_holds_in_every_window(self, steps):
        """No window has more retries than the share of recent requests plus the slack."""
        budget = retry_budget.RetryBudget(0.2, 3.0, 5.0)
        now, request_times, retry_times = 0.0, [], []
        for gap_s, is_retry in steps:
            now += gap_s
            if not is_retry:
                budget.count_request(now)
                request_times.append(now)
            elif budget.try_consume(now):
                retry_times.append(now)
                requests = sum(1 for at in request_times if at > now - 5.5)
                retries = sum(1 for at in retry_times if at > now - 5.0)
                assert retries <= 0.2 * requests + 3.0 + 1e-9
