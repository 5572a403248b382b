"""Tests of carobhook.coordination.follow_times."""

import hypothesis
import pytest
from hypothesis import strategies

from carobhook.coordination import follow_times
from carobhook.platform import names
from carobhook.transport import follow_options

# Interval in seconds at which an instance looks at its sources.
TICK_S = 0.1
# Time in seconds of a call to a store that answers, on a new connection.
ANSWER_S = 0.15

bounds = strategies.floats(follow_times.MIN_BOUND_S, 3600.0)


def both(bound_s):
    """Return the waits of a watch and of a source for a bound."""
    return (
        follow_times.KindTimes.within(bound_s),
        follow_times.SourceTimes.within(bound_s),
    )


class TestPaths:
    """Waits in a row of a change that the store has just confirmed, on each of its paths."""

    @hypothesis.given(bounds)
    def test_answer_lost(self, bound_s):
        """The answer of a call is lost, and the next one brings the change."""
        kind, _ = both(bound_s)
        lost_s = kind.watch.wait_s + kind.watch.margin_s
        assert lost_s + kind.watch.delays.first_s + ANSWER_S < bound_s

    @hypothesis.given(bounds)
    def test_call_refused(self, bound_s):
        """The store refused several calls in a row, and takes the next one."""
        kind, _ = both(bound_s)
        assert kind.watch.batch_delay_s + kind.watch.delays.cap_s + ANSWER_S < bound_s

    @hypothesis.given(bounds)
    def test_store_returns(self, bound_s):
        """A probe was sent right before the return, and the next one ends the stuck calls."""
        kind, source = both(bound_s)
        probes_s = source.probe_timeout_s + source.probe_interval_s + TICK_S + ANSWER_S
        assert probes_s + TICK_S + kind.watch.batch_delay_s + ANSWER_S < bound_s

    @hypothesis.given(bounds)
    def test_source_lost(self, bound_s):
        """The source confirmed a position right before the change, and was heard no more."""
        kind, _ = both(bound_s)
        assert kind.max_age_s + TICK_S + 2 * ANSWER_S <= bound_s

    @hypothesis.given(bounds)
    def test_source_silent(self, bound_s):
        """The source ends right after a progress message."""
        kind, source = both(bound_s)
        waits_s = source.progress_lifetime_s + TICK_S + 2 * ANSWER_S
        assert kind.watch.batch_delay_s + waits_s < bound_s


class TestSteadyFeed:
    """A source that works never looks old to those that follow it."""

    @hypothesis.given(bounds)
    def test_age_in_progress_messages(self, bound_s):
        """Between two answers without changes, a feed stays fresh."""
        kind, source = both(bound_s)
        age_s = kind.watch.wait_s + ANSWER_S + source.progress_interval_s + 2 * TICK_S
        assert age_s < kind.max_age_s
        assert source.progress_interval_s + 2 * TICK_S < source.progress_lifetime_s
        assert source.probe_interval_s + TICK_S + ANSWER_S < source.answer_lifetime_s


class TestBounds:
    """Bounds that are too short to be kept."""

    @pytest.mark.parametrize("bound_s", [0.0, 0.1, 1.9])
    def test_short_bound_is_treated_as_the_shortest(self, bound_s):
        """The waits stay long enough for the calls themselves."""
        assert both(bound_s) == both(follow_times.MIN_BOUND_S)

    @pytest.mark.parametrize("bound_s", [0.1, 0.5, 1.0])
    def test_configuration_stays_confirmed_between_two_answers(self, bound_s):
        """No bound is shorter than the wait of a call, so nothing becomes unknown in it."""
        times = follow_options.FollowTimes.within(bound_s, 2.5, 5.0)
        kind = times.by_kind[names.CONFIG_KIND]
        assert kind.watch.wait_s + ANSWER_S + TICK_S < kind.bound_s
