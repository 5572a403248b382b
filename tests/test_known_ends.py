"""Tests of carobhook.coordination.known_ends."""

import math

from carobhook.coordination import known_ends

RUN = "s/1000"


def name_at(ends, alive_at):
    """Return the name of the end that follows a time."""
    return known_ends.name_of_end(RUN, ends.number_of(RUN, alive_at))


class TestKnownEnds:
    """Which ends of one listed run have the same name."""

    def test_first_end_has_the_name_of_the_run(self):
        """Older builds name each end like that."""
        assert name_at(known_ends.KnownEnds(), 5.0) == RUN

    def test_attempt_on_a_later_run_ends_that_one(self):
        """Its connection was opened after the end that is known."""
        ends = known_ends.KnownEnds()
        ends.record(RUN, 10.0)
        assert name_at(ends, 10.1) == f"{RUN}#2"
        ends.record(f"{RUN}#2", 12.0)
        assert name_at(ends, 12.1) == f"{RUN}#3"

    def test_connection_that_was_dead_already(self):
        """The server ran on it before the known end: that is the one that broke it."""
        ends = known_ends.KnownEnds()
        ends.record(RUN, 10.0)
        ends.record(f"{RUN}#2", 12.0)
        assert name_at(ends, 9.0) == name_at(ends, -math.inf) == RUN
        assert name_at(ends, 11.0) == f"{RUN}#2"

    def test_repeated_mark_does_not_move_an_end(self):
        """Other instances tell of it later, as its copies come."""
        ends = known_ends.KnownEnds()
        ends.record(RUN, 10.0)
        ends.record(RUN, 13.0)
        assert name_at(ends, 11.0) == f"{RUN}#2"

    def test_unknown_numbers_are_left_out(self):
        """The mark of the second end came, that of the first did not."""
        ends = known_ends.KnownEnds()
        ends.record(f"{RUN}#2", 12.0)
        assert name_at(ends, 11.0) == RUN
        assert name_at(ends, 13.0) == f"{RUN}#3"

    def test_runs_are_told_apart(self):
        """The ends of others do not count, whatever their names look like."""
        ends = known_ends.KnownEnds()
        for name in ("s#2/1000", "s/None#2", "s/1000#x", "t/1000#2", "#2"):
            ends.record(name, 10.0)
        assert name_at(ends, 11.0) == RUN

    def test_number_of_runs_is_bounded(self):
        """The oldest are dropped, so that a flood of marks does not use up memory."""
        ends = known_ends.KnownEnds()
        for number in range(10_001):
            ends.record(f"s{number}/1", 1.0)
        assert ends.number_of("s0/1", 2.0) == 1
        assert ends.number_of("s1/1", 2.0) == 2

    def test_number_of_an_end_is_bounded(self):
        """A mark with a huge number uses no memory, and the names go on being valid."""
        ends = known_ends.KnownEnds()
        ends.record(f"{RUN}#9999", 10.0)
        assert name_at(ends, 11.0) == f"{RUN}#20"
