"""Command `explain-request`, which explains the end of a request by its log lines."""

import collections
import json
import pathlib
import sys
from collections.abc import Iterator
from typing import Annotated

import typer

from carobhook import request_trace
from carobhook.cli import exits

Files = Annotated[
    list[pathlib.Path] | None,
    typer.Argument(help="Files of log lines in JSON; standard input without any."),
]


def explain_request(
    request: Annotated[
        str, typer.Argument(help="Id of the request, or - to look at all of them.")
    ],
    files: Files = None,
    failed: Annotated[
        bool, typer.Option("--failed", help="List the ids of failed requests by cause.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON objects.")] = False,
) -> None:
    """Put the log lines of one request in order, and say why it ended as it did.

    Exits with 0 when the end of the request is known, and with 1 when no line tells it.
    """
    traces = request_trace.collect_traces(_read_lines(files or []))
    if failed:
        _print_failed(traces, as_json)
        return
    trace = traces.get(request)
    if trace is None:
        exits.exit_with(exits.Exit.REFUSED, f"no line tells of request {request}")
    if as_json:
        lines = [
            {**line.fields, "event": line.event, "time": line.time} for line in trace.lines
        ]
        typer.echo(json.dumps({"request": request, "cause": trace.cause, "lines": lines}))
    else:
        for line in trace.lines:
            typer.echo(str(line))
        typer.echo(f"cause: {trace.cause}")
    if trace.code is None:
        raise typer.Exit(exits.Exit.REFUSED)


def _read_lines(files: list[pathlib.Path]) -> Iterator[str]:
    """Yield the lines of all files, or of standard input if there is no file."""
    if not files:
        yield from sys.stdin
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as stream:
                yield from stream
        except OSError as error:
            exits.exit_with(exits.Exit.USAGE, f"{file}: {error.strerror}")


def _print_failed(traces: dict[str, request_trace.Trace], as_json: bool) -> None:
    """Print the ids of failed requests by cause, which is a result code and its text.

    As text, the most frequent cause comes first, with at most five ids for each.
    """
    by_cause: dict[str, list[str]] = collections.defaultdict(list)
    for trace in traces.values():
        if trace.failed and trace.code is not None:
            by_cause[f"{trace.code.number} {trace.code.value.text}"].append(trace.request)
    if as_json:
        typer.echo(json.dumps(by_cause))
        return
    for cause, requests in sorted(by_cause.items(), key=lambda item: -len(item[1])):
        typer.echo(f"{len(requests):6} {cause} {' '.join(sorted(requests)[:5])}")
