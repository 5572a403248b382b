"""Tests of carobhook.cli.session: orders, progress and exit codes, with a fake daemon."""

import json

import pytest

from carobhook.cli import exits, operator, output, session
from carobhook.state import codes

_TABLE = operator.Answer(
    codes.Code.QUERY_OK.number,
    "",
    4,
    ["server", "load"],
    [["a-very-long-name-of-a-server", 0.5]],
)
_ACCEPTED = operator.Answer(codes.Code.ORDER_ACCEPTED.number, "accepted as version 4", 4)
_REFUSED = operator.Answer(codes.Code.ORDER_OVER_CAP.number, "the cap lets 10% move now")


def progress(in_force):
    """Return the progress of version 4, in force in a number of three instances."""
    missing = ["c", "b", "a"][: 3 - in_force]
    return operator.Progress(4, in_force, 3, missing, 0.25 * in_force)


class FakeClient:
    """Client that returns prepared answers, or raises the exceptions among them."""

    def __init__(self, answers, progresses=()):
        self.answers = list(answers)
        self.progresses = list(progresses)
        self.orders = []

    def send(self, order):
        """Return the next answer."""
        self.orders.append(order)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def fetch_progress(self, version):
        """Return the next prepared progress, and the last one repeatedly."""
        return self.progresses.pop(0) if len(self.progresses) > 1 else self.progresses[0]


class FakeClock:
    """Clock whose time advances only in sleeps."""

    def __init__(self):
        self.now = 0.0

    def read(self):
        """Return the time in seconds."""
        return self.now

    def sleep(self, seconds):
        """Advance the time."""
        self.now += seconds


def make_session(fake, printer=None, wait_s=1.0):
    """Return a session with a fake clock."""
    clock = FakeClock()
    return session.Session(
        fake, printer or output.JsonPrinter(), wait_s, clock.read, clock.sleep
    )


class TestRunOrder:
    """One order."""

    @pytest.mark.parametrize(
        ("answer", "progresses", "code"),
        [
            (_TABLE, [], exits.Exit.OK),
            (_REFUSED, [], exits.Exit.REFUSED),
            (_ACCEPTED, [progress(1), progress(3)], exits.Exit.OK),
            (_ACCEPTED, [progress(2)], exits.Exit.NOT_IN_FORCE),
            (operator.UnreachableError("refused"), [], exits.Exit.UNREACHABLE),
            (operator.UnexpectedAnswerError("odd"), [], exits.Exit.UNREACHABLE),
        ],
    )
    def test_exit_code_for_each_result(self, answer, progresses, code):
        """Each result of an order has its documented exit code."""
        assert make_session(FakeClient([answer], progresses)).run_order("an order") is code

    def test_session_waits_until_an_order_is_in_force(self, capsys):
        """The last line has the number of instances and the seconds that the order took."""
        fake = FakeClient([_ACCEPTED], [progress(0), progress(1), progress(3)])

        make_session(fake, output.TablePrinter()).run_order("shift")

        assert capsys.readouterr().out == (
            "accepted as version 4\nversion 4: in force in 3 of 3 instances after 0.8 s\n"
        )

    def test_missing_instances_are_listed_after_the_wait(self, capsys):
        """When the wait ends first, the line lists the instances without the order."""
        fake = FakeClient([_ACCEPTED], [progress(1)])

        make_session(fake, output.TablePrinter()).run_order("shift")

        assert capsys.readouterr().err == (
            "version 4: in force in 1 of 3 instances after 0.2 s; not yet in c, b\n"
        )

    def test_table_in_a_pipe_has_whole_cells(self, capsys):
        """A long cell is not broken into lines if the output is not a terminal."""
        make_session(FakeClient([_TABLE]), output.TablePrinter()).run_order("show servers")

        out = capsys.readouterr().out
        assert "a-very-long-name-of-a-server" in out and "0.5" in out

    def test_markup_in_an_answer_is_printed_literally(self, capsys):
        """Square brackets in names and texts are not parsed as styles."""
        answer = operator.Answer(
            codes.Code.QUERY_OK.number, "", None, ["[red]x"], [["[bold]y"]]
        )

        make_session(FakeClient([answer]), output.TablePrinter()).run_order("show")

        out = capsys.readouterr().out
        assert "[red]x" in out and "[bold]y" in out

    def test_json_output_contains_answer_and_progress(self, capsys):
        """The JSON object has the fields of the answer and the progress."""
        make_session(FakeClient([_ACCEPTED], [progress(3)])).run_order("shift")

        printed = json.loads(capsys.readouterr().out)
        assert printed["code"] == 2001
        assert printed["progress"]["in_force"] == 3


class TestRunOrders:
    """Several orders."""

    def test_run_stops_at_the_first_failed_order(self):
        """Orders after a refused one are not sent."""
        fake = FakeClient([_TABLE, _REFUSED, _TABLE])

        result = make_session(fake).run_orders(["one", "two", "three"])

        assert result is exits.Exit.REFUSED
        assert [order.text for order in fake.orders] == ["one", "two"]
        assert len({order.id for order in fake.orders}) == 2


class TestPrompt:
    """Orders from a prompt."""

    def test_prompt_continues_after_a_refusal(self):
        """A refused order does not end the prompt, but quit does, with the last exit code."""
        fake = FakeClient([_REFUSED, _TABLE])
        lines = iter(["one", "", "two", "quit"])

        assert make_session(fake).run_prompt(lambda: next(lines)) is exits.Exit.OK
        assert [order.text for order in fake.orders] == ["one", "two"]

    def test_end_of_input_ends_the_prompt(self):
        """An interrupt discards only the line; the end of input ends the prompt."""
        events = iter([KeyboardInterrupt(), EOFError()])

        def read_line():
            raise next(events)

        assert make_session(FakeClient([])).run_prompt(read_line) is exits.Exit.OK
