"""Tests of carobhook.request_trace and the command that uses it."""

import json

from typer import testing

from carobhook import cli, request_trace
from carobhook.state import codes


def line(request="r1", event="request-ended", time="2026-01-01T00:00:01.000Z", **fields):
    """Return a log line as an instance writes it."""
    told = {"time": time, "level": "info", "instance": "one", "event": event}
    return json.dumps(told | {"request": request} | fields)


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


class TestRead:
    """Lines of many instances."""

    def test_lines_are_put_in_order(self):
        """Order of the files does not matter, and other text is passed over."""
        traces = request_trace.read([*reversed(BROKEN), "no json", "{", "7", SERVED])
        assert [one.event for one in traces["r1"].lines] == [
            "exchange-broken",
            "request-ended",
        ]
        assert set(traces) == {"r1", "r2"}

    def test_text_before_the_object_is_no_hindrance(self):
        """Collectors put a time and a name in front of each line."""
        traces = request_trace.read([f"  12.5 node-1 {SERVED}"])
        assert traces["r2"].code is codes.Code.OK


class TestTrace:
    """Causes."""

    def test_cause_names_what_decided(self):
        """A refusal tells the state of the queue, a lost server its name and error."""
        refused = request_trace.read([REFUSED])["r1"]
        assert "waiting=9" in refused.cause
        assert refused.failed
        broken = request_trace.read(BROKEN)["r1"]
        assert "i-1" in broken.cause
        assert "reset: lost" in broken.cause

    def test_success_is_no_failure(self):
        """An answer of a server is told as such."""
        trace = request_trace.read([SERVED])["r2"]
        assert not trace.failed
        assert "i-2" in trace.cause

    def test_every_code_of_a_request_has_a_sentence(self):
        """No result code leaves the reader without a cause."""
        for code in codes.Code:
            trace = request_trace.read([line(code=code.number, status=503)])["r1"]
            assert trace.code is code
            assert len(trace.cause) > 20


class TestCommand:
    """The command line."""

    def run(self, *arguments, text=""):
        """Return the result of a call."""
        return testing.CliRunner().invoke(cli.app, ["explain-request", *arguments], input=text)

    def test_one_request_of_many_files(self, tmp_path):
        """Lines from several files are joined, and the cause is the last line."""
        for number, text in enumerate([*BROKEN, SERVED]):
            (tmp_path / str(number)).write_text(text + "\n")
        files = [str(tmp_path / str(number)) for number in range(3)]
        result = self.run("r1", *files)
        assert result.exit_code == 0
        assert result.output.splitlines()[-1].startswith("cause: ")

    def test_unknown_request(self):
        """No line, no cause, exit code 1."""
        assert self.run("r9", text=SERVED).exit_code == 1

    def test_failed_requests_by_cause(self):
        """Ids are listed by their causes, and successes left out."""
        result = self.run("-", "--failed", "--json", text="\n".join([REFUSED, SERVED]))
        listed = json.loads(result.output)
        assert list(listed.values()) == [["r1"]]
