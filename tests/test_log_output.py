"""Tests of carobhook.log_output."""

import logging
import os

import pytest

from carobhook import log_output


def record(level=logging.INFO, **fields):
    """Return a record of an event."""
    made = logging.LogRecord("carobhook", level, "", 0, "event", (), None)
    made.fields = fields
    return made


class TestImportance:
    """What goes first when not all lines can be written."""

    def test_failures_and_beliefs_before_successes(self):
        """A line of a plain success is worth least, one of a belief most."""
        success = record(request="1", code=1000, sends=1)
        refused = record(request="1", code=1012, sends=0)
        belief = record(server="i-1")
        order = [log_output.importance_of(one) for one in (belief, refused, success)]
        assert order == sorted(order)
        assert len(set(order)) == 3


class TestLineBudget:
    """Lines in a flood."""

    def test_flood_of_requests_leaves_room_for_beliefs(self):
        """At 5,000 lines a second, successes are left out and counted, beliefs written."""
        budget = log_output.LineBudget()
        written = dict.fromkeys(log_output.Importance, 0)
        for number in range(10_000):
            now = number / 5000
            low = log_output.Importance.LOW
            written[low] += budget.admits(low, now)
            if number % 100 == 0:
                high = log_output.Importance.HIGH
                written[high] += budget.admits(high, now)
        assert written[log_output.Importance.HIGH] == 100
        assert written[log_output.Importance.LOW] < 1000
        assert budget.omitted_total == 10_000 - written[log_output.Importance.LOW]
        assert budget.take_omitted() == {"low": budget.omitted_total}
        assert budget.take_omitted() == {}


class TestLineHandler:
    """Output that nobody reads."""

    @pytest.fixture
    def pipe(self):
        """Return a pipe."""
        read, write = os.pipe()
        yield read, write
        for descriptor in (read, write):
            try:
                os.close(descriptor)
            except OSError:
                continue

    def test_stuck_reader_never_blocks(self, pipe):
        """Lines wait up to a bound, then are left out and counted."""
        budget = log_output.LineBudget()
        handler = log_output.LineHandler(pipe[1], budget)
        for _ in range(500):
            handler.emit(record(server="x" * 4000, text="y"))
            handler.format = lambda _: "z" * 4000
        assert budget.omitted_total > 0

    def test_reader_that_comes_back_gets_whole_lines(self, pipe):
        """What waited is written in order, without a cut line."""
        handler = log_output.LineHandler(pipe[1], log_output.LineBudget())
        handler.format = lambda made: f"{made.fields['n']:05} " + "z" * 1000
        for number in range(300):
            handler.emit(record(n=number))
        octets = b""
        for _ in range(100):
            octets += os.read(pipe[0], 65536)
            handler.flush()
            if octets.count(b"\n") == 300:
                break
        lines = octets.decode().splitlines()
        assert [int(line[:5]) for line in lines] == list(range(300))

    def test_closed_reader_is_no_error(self, pipe):
        """Without a reader, lines are dropped."""
        handler = log_output.LineHandler(pipe[1], log_output.LineBudget())
        os.close(pipe[0])
        handler.emit(record(server="i-1"))
