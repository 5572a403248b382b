"""Tests of carobhook.coordination.token_bucket."""

import pytest

from carobhook.coordination import token_bucket


class TestTokenBucket:
    """A rate limit with a burst."""

    def test_burst_is_followed_by_the_rate(self):
        """A full bucket gives its burst at once, then one token every 1/rate seconds."""
        bucket = token_bucket.TokenBucket(rate=10, burst=3)

        allowed = [bucket.try_consume(5.0) for _ in range(4)]

        assert allowed == [True, True, True, False]
        assert bucket.wait_s(5.0) == pytest.approx(0.1)
        assert not bucket.try_consume(5.05)
        assert bucket.try_consume(5.15)

    def test_idle_time_gains_no_more_than_the_burst(self):
        """After a long idle time the bucket has as many tokens as the burst."""
        bucket = token_bucket.TokenBucket(rate=10, burst=2)
        bucket.try_consume(0.0)

        allowed = [bucket.try_consume(1_000.0) for _ in range(3)]

        assert allowed == [True, True, False]

    def test_earlier_time_gains_no_tokens(self):
        """A clock that goes backwards adds no tokens."""
        bucket = token_bucket.TokenBucket(rate=1, burst=1)
        bucket.try_consume(10.0)

        assert not bucket.try_consume(0.0)
        assert not bucket.try_consume(0.5)
