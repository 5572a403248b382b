"""Tests of carobhook.request_trace and the command that uses it."""

import json

from typer import testing

from carobhook import cli, request_trace
from carobhook.state import codes


def line(request="r1", event="request-ended", time="2026-01-01T00:00:01.000Z", **fields):
    """Return a log line as an instance writes it."""
    common = {"time": time, "level": "info", "instance": "one", "event": event}
    return json.dumps(common | {"request": request} | fields)


REFUSED = line(code=1012, status=503, total_ms=1.0, sends=0, detail="running=4/4 waiting=9")
BROKEN = [
    line(
        event="exchange-broken",
        time="2026-01-01T00:00:00.500Z",
        server="i-1",
        error="reset: lost",
    ),
    line(code=1020, status=502, total_ms=300.0, sends=1, server="i-1"),
]
SERVED = line("r2", code=1000, status=200, total_ms=20.0, sends=1, server="i-2")


class TestCollectTraces:
    """Reading log lines of several instances."""

    def test_lines_are_sorted_by_time(self):
        """Lines are accepted in any order, and text without a JSON object is skipped."""
        traces = request_trace.collect_traces([*reversed(BROKEN), "no json", "{", "7", SERVED])
        assert [entry.event for entry in traces["r1"].lines] == [
            "exchange-broken",
            "request-ended",
        ]
        assert set(traces) == {"r1", "r2"}

    def test_text_before_the_object_is_ignored(self):
        """Log collectors put a time and a name in front of each line."""
        traces = request_trace.collect_traces([f"  12.5 node-1 {SERVED}"])
        assert traces["r2"].code is codes.Code.OK


class TestTrace:
    """Causes and failures of requests."""

    def test_cause_names_queue_state_or_server_error(self):
        """The cause of a refusal has the queue state, that of a lost server its error."""
        refused = request_trace.collect_traces([REFUSED])["r1"]
        assert "waiting=9" in refused.cause
        assert refused.failed
        broken = request_trace.collect_traces(BROKEN)["r1"]
        assert "i-1" in broken.cause
        assert "reset: lost" in broken.cause

    def test_success_is_not_failed(self):
        """The cause of a success names the server that answered."""
        trace = request_trace.collect_traces([SERVED])["r2"]
        assert not trace.failed
        assert "i-2" in trace.cause

    def test_every_code_has_a_cause(self):
        """Every result code has a cause of more than a few words."""
        for code in codes.Code:
            trace = request_trace.collect_traces([line(code=code.number, status=503)])["r1"]
            assert trace.code is code
            assert len(trace.cause) > 20


class TestCommand:
    """The command explain-request."""

    def run(self, *arguments, text=""):
        """Run the command and return its result."""
        return testing.CliRunner().invoke(cli.app, ["explain-request", *arguments], input=text)

    def test_lines_of_one_request_in_several_files(self, tmp_path):
        """Lines of several files are merged, and the last line printed is the cause."""
        for number, text in enumerate([*BROKEN, SERVED]):
            (tmp_path / str(number)).write_text(text + "\n")
        files = [str(tmp_path / str(number)) for number in range(3)]
        result = self.run("r1", *files)
        assert result.exit_code == 0
        assert result.output.splitlines()[-1].startswith("cause: ")

    def test_unknown_request(self):
        """A request without any line gives exit code 1."""
        assert self.run("r9", text=SERVED).exit_code == 1

    def test_failed_requests_by_cause(self):
        """Failed requests are listed by cause, without successes."""
        result = self.run("-", "--failed", "--json", text="\n".join([REFUSED, SERVED]))
        listed = json.loads(result.output)
        assert list(listed.values()) == [["r1"]]
