"""Tests of carobhook.log_output."""

import logging
import os

import pytest

from carobhook import log_output


def record(level=logging.INFO, **fields):
    """Return a record of an event."""
    event = logging.LogRecord("carobhook", level, "", 0, "event", (), None)
    event.fields = fields
    return event


class TestImportance:
    """Importance of lines, which decides what is omitted first."""

    def test_successes_are_less_important_than_failures_and_state_changes(self):
        """A success is least important; a line about no request is most important."""
        success = record(request="1", code=1000, sends=1)
        refused = record(request="1", code=1012, sends=0)
        state_change = record(server="i-1")
        order = [log_output.importance_of(entry) for entry in (state_change, refused, success)]
        assert order == sorted(order)
        assert len(set(order)) == 3


class TestLineBudget:
    """Lines that are omitted under load."""

    def test_flood_of_requests_does_not_displace_state_changes(self):
        """At 5,000 lines a second, successes are omitted and counted, state changes written."""
        budget = log_output.LineBudget()
        written = dict.fromkeys(log_output.Importance, 0)
        for number in range(10_000):
            now = number / 5000
            low = log_output.Importance.LOW
            written[low] += budget.try_consume(low, now)
            if number % 100 == 0:
                high = log_output.Importance.HIGH
                written[high] += budget.try_consume(high, now)
        assert written[log_output.Importance.HIGH] == 100
        assert written[log_output.Importance.LOW] < 1000
        assert budget.omitted_total == 10_000 - written[log_output.Importance.LOW]
        assert budget.collect_omitted() == {"low": budget.omitted_total}
        assert budget.collect_omitted() == {}


class TestLineHandler:
    """Output to a reader that is slow or gone."""

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
        """Lines are buffered up to a limit; further ones are omitted and counted."""
        budget = log_output.LineBudget()
        handler = log_output.LineHandler(pipe[1], budget)
        for _ in range(500):
            handler.emit(record(server="x" * 4000, text="y"))
            handler.format = lambda _: "z" * 4000
        assert budget.omitted_total > 0

    def test_reader_that_resumes_gets_whole_lines(self, pipe):
        """Buffered lines are written in order, and none is truncated."""
        handler = log_output.LineHandler(pipe[1], log_output.LineBudget())
        handler.format = lambda event: f"{event.fields['n']:05} " + "z" * 1000
        for number in range(300):
            handler.emit(record(n=number))
        data = b""
        for _ in range(100):
            data += os.read(pipe[0], 65536)
            handler.flush()
            if data.count(b"\n") == 300:
                break
        lines = data.decode().splitlines()
        assert [int(line[:5]) for line in lines] == list(range(300))

    def test_closed_reader_raises_no_error(self, pipe):
        """Lines are discarded when the reader has closed its end."""
        handler = log_output.LineHandler(pipe[1], log_output.LineBudget())
        os.close(pipe[0])
        handler.emit(record(server="i-1"))
