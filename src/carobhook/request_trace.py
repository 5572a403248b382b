"""Explains the outcomes of requests from the log lines of any number of instances."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from carobhook.state import codes

_CODES_BY_NUMBER = {code.number: code for code in codes.Code}
_FINAL_EVENTS = frozenset({"request-ended", "request-refused"})
# Fields that are not kept in `LogLine.fields`: they have attributes of their own, or say
# nothing about the request.
_COMMON_FIELDS = frozenset({"time", "level", "instance", "event", "request"})


@attrs.frozen
class LogLine:
    """One log line about a request.

    Attributes:
        time: Time of the line by the wall clock of the instance, in the form of the logs.
        instance: Instance that wrote the line.
        event: Name of the event.
        fields: Fields of the event, without those that all lines have.
    """

    time: str
    instance: str
    event: str
    fields: Mapping[str, Any]

    def __str__(self) -> str:
        """Return the line in a form for people to read."""
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time} {self.instance} {self.event} {pairs}".rstrip()


@attrs.frozen
class Trace:
    """All log lines of one request, sorted by time.

    Attributes:
        request: Id of the request, as in the lines.
        lines: The sorted lines.
    """

    request: str
    lines: tuple[LogLine, ...]

    @property
    def code(self) -> codes.Code | None:
        """Return the result code of the request, or None if no line has it."""
        for line in reversed(self.lines):
            if line.event in _FINAL_EVENTS and line.fields.get("code") in _CODES_BY_NUMBER:
                return _CODES_BY_NUMBER[line.fields["code"]]
        return None

    @property
    def failed(self) -> bool:
        """Return whether the request failed: its code is not OK, or any status is 500 or more.

        A request whose result code is unknown does not count as failed.
        """
        if self.code is not codes.Code.OK:
            return self.code is not None
        return any(line.fields.get("status", 0) >= 500 for line in self.lines)

    @property
    def cause(self) -> str:
        """Return a sentence that explains the outcome of the request."""
        final = next(
            (line for line in reversed(self.lines) if line.event in _FINAL_EVENTS), None
        )
        if final is None or self.code is None:
            return "No line tells how the request ended."
        return _describe_outcome(self.code, final, self.lines)


def collect_traces(lines: Iterable[str]) -> dict[str, Trace]:
    """Return the traces of all requests in a sequence of log lines, by request id.

    Args:
        lines: Lines of any number of instances. Each may hold other text before its JSON
            object. Lines without a JSON object or without a request id are skipped.
    """
    lines_by_request: dict[str, list[LogLine]] = {}
    for text in lines:
        record = _parse_object(text)
        if record is None or not isinstance(record.get("request"), str):
            continue
        fields = {key: value for key, value in record.items() if key not in _COMMON_FIELDS}
        line = LogLine(
            str(record.get("time", "")),
            str(record.get("instance", "")),
            str(record.get("event", "")),
            fields,
        )
        lines_by_request.setdefault(record["request"], []).append(line)
    return {
        request: Trace(request, tuple(sorted(unsorted, key=lambda line: line.time)))
        for request, unsorted in lines_by_request.items()
    }


def _parse_object(text: str) -> dict[str, Any] | None:
    """Return the JSON object that begins at the first brace of a line, or None."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        value = json.loads(text[start:])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def _describe_outcome(code: codes.Code, final: LogLine, lines: tuple[LogLine, ...]) -> str:
    fields = final.fields
    location = f"at {final.instance}" if final.instance else "at an instance"
    failed_exchanges = [line for line in lines if line.event == "exchange-broken"]
    if code is codes.Code.OK:
        answer = f"Server {fields.get('server')} answered {fields.get('status')}"
        return f"{answer} in {fields.get('total_ms')} ms, {location}."
    text = f"{code.value.text} It ended {location} after {fields.get('total_ms', 0)} ms"
    if fields.get("sends"):
        text += f" and {fields['sends']} sends, the last to server {fields.get('server')}"
    if failed_exchanges:
        last = failed_exchanges[-1].fields
        text += f"; the exchange with {last.get('server')} failed: {last.get('error')}"
    late_end = next((line for line in lines if line.event == "work-ended-late"), None)
    if late_end is not None:
        duration = f"after {late_end.fields.get('total_ms')} ms"
        text += f"; its work ended {duration} with status {late_end.fields.get('status')}"
    if fields.get("detail"):
        text += f"; decided from {fields['detail']}"
    return text + "."
