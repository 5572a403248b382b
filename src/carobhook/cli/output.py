"""Prints answers to orders as tables for people or as JSON for programs."""

import json
import sys
import typing
from typing import Any

import attrs
import rich.console
import rich.table
import rich.text

from carobhook.cli import operator
from carobhook.state import codes

_MAX_LISTED_INSTANCES = 5
# Table width in columns if the output is not a terminal. With rich's default of 80 columns,
# long cells would be broken into several lines, which programs that read a pipe cannot parse.
_PIPE_WIDTH = 10_000


class Printer(typing.Protocol):
    """Prints the results of a session's orders."""

    def print_answer(self, answer: operator.Answer, progress: operator.Progress | None) -> None:
        """Print an answer, and the progress of its version if there is one."""

    def show_progress(self, progress: operator.Progress) -> None:
        """Show the progress of a version while the session waits for it."""

    def print_error(self, code: codes.Code, text: str) -> None:
        """Print the reason why an order got no answer."""


class JsonPrinter:
    """Prints one JSON object on one line for each order."""

    def print_answer(self, answer: operator.Answer, progress: operator.Progress | None) -> None:
        """Print an answer, and the progress of its version if there is one."""
        fields = attrs.asdict(answer)
        fields["progress"] = None if progress is None else attrs.asdict(progress)
        print(json.dumps(fields))

    def show_progress(self, progress: operator.Progress) -> None:
        """Print nothing, so that each order has only one line of output."""

    def print_error(self, code: codes.Code, text: str) -> None:
        """Print the reason why an order got no answer."""
        print(json.dumps({"code": code.number, "text": text}))


class TablePrinter:
    """Prints tables and plain text; errors and incomplete progress go to standard error."""

    def __init__(self) -> None:
        width = None if sys.stdout.isatty() else _PIPE_WIDTH
        self._out = rich.console.Console(highlight=False, width=width)
        self._err = rich.console.Console(highlight=False, soft_wrap=True, stderr=True)
        self._status: Any = None

    def print_answer(self, answer: operator.Answer, progress: operator.Progress | None) -> None:
        """Print an answer, and the progress of its version if there is one."""
        self._stop_status()
        if not answer.accepted:
            self._err.print(rich.text.Text(f"error {answer.code}: {answer.text}"))
            return
        if answer.columns is not None:
            self._print_table(answer.columns, answer.rows or [])
        elif answer.text:
            self._out.print(rich.text.Text(answer.text))
        if progress is not None:
            target = self._out if progress.complete else self._err
            target.print(
                rich.text.Text(f"version {progress.version}: {describe_progress(progress)}")
            )

    def show_progress(self, progress: operator.Progress) -> None:
        """Show the progress of a version if standard error is a terminal."""
        if not self._err.is_terminal:
            return
        if self._status is None:
            self._status = self._err.status("")
            self._status.start()
        self._status.update(rich.text.Text(describe_progress(progress)))

    def print_error(self, code: codes.Code, text: str) -> None:
        """Print the reason why an order got no answer."""
        self._stop_status()
        self._err.print(rich.text.Text(f"error {code.number}: {text}"))

    def _stop_status(self) -> None:
        if self._status is not None:
            self._status.stop()
            self._status = None

    def _print_table(self, columns: list[str], rows: list[list[Any]]) -> None:
        table = rich.table.Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(rich.text.Text(column), overflow="fold")
        for row in rows:
            table.add_row(*(rich.text.Text(_format_cell(value)) for value in row))
        self._out.print(table)


def describe_progress(progress: operator.Progress) -> str:
    """Return the progress of a version as one line of text."""
    text = (
        f"in force in {progress.in_force} of {progress.total} instances "
        f"after {progress.seconds:.1f} s"
    )
    if progress.complete or not progress.missing:
        return text
    listed = ", ".join(progress.missing[:_MAX_LISTED_INSTANCES])
    more = len(progress.missing) - _MAX_LISTED_INSTANCES
    return f"{text}; not yet in {listed}" + (f" and {more} more" if more > 0 else "")


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"
    return str(value)
