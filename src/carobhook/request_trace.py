"""Finds what became of a request in the log lines of many instances."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from carobhook.state import codes

_BY_NUMBER = {code.number: code for code in codes.Code}
_ENDS = frozenset({"request-ended", "request-refused"})
# What the fields of a line say by themselves.
_PLAIN_FIELDS = frozenset({"time", "level", "instance", "event", "request"})


@attrs.frozen
class Line:
    """One log line about a request.

    Attributes:
        time: Time of the instance's clock, as written.
        instance: Instance that wrote it.
        event: Name of the event.
        fields: The other fields.
    """

    time: str
    instance: str
    event: str
    fields: Mapping[str, Any]

    def __str__(self) -> str:
        """Return the line for people."""
        told = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time} {self.instance} {self.event} {told}".rstrip()


@attrs.frozen
class Trace:
    """All lines of one request, in the order of their times.

    Attributes:
        request: Id that the client gave to its attempt.
        lines: The lines.
    """

    request: str
    lines: tuple[Line, ...]

    @property
    def code(self) -> codes.Code | None:
        """Return the result code that it ended with, or None if no line tells."""
        for line in reversed(self.lines):
            if line.event in _ENDS and line.fields.get("code") in _BY_NUMBER:
                return _BY_NUMBER[line.fields["code"]]
        return None

    @property
    def failed(self) -> bool:
        """Tell whether it did not end with a success of a server."""
        if self.code is not codes.Code.OK:
            return self.code is not None
        return any(line.fields.get("status", 0) >= 500 for line in self.lines)

    @property
    def cause(self) -> str:
        """Return in a sentence why it ended as it did."""
        end = next((line for line in reversed(self.lines) if line.event in _ENDS), None)
        if end is None or self.code is None:
            return "No line tells how the request ended."
        return _sentence(self.code, end, self.lines)


def read(lines: Iterable[str]) -> dict[str, Trace]:
    """Return the requests that log lines tell of, by id.

    Args:
        lines: Lines of any number of instances, each with a JSON object, which other text may
            stand before. Lines without one, or about no request, are passed over.
    """
    found: dict[str, list[Line]] = {}
    for text in lines:
        plain = _object(text)
        if plain is None or not isinstance(plain.get("request"), str):
            continue
        fields = {key: value for key, value in plain.items() if key not in _PLAIN_FIELDS}
        line = Line(
            str(plain.get("time", "")),
            str(plain.get("instance", "")),
            str(plain.get("event", "")),
            fields,
        )
        found.setdefault(plain["request"], []).append(line)
    return {
        request: Trace(request, tuple(sorted(held, key=lambda line: line.time)))
        for request, held in found.items()
    }


def _object(text: str) -> dict[str, Any] | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        plain = json.loads(text[start:])
    except ValueError:
        return None
    return plain if isinstance(plain, dict) else None


def _sentence(code: codes.Code, end: Line, lines: tuple[Line, ...]) -> str:
    fields = end.fields
    where = f"at {end.instance}" if end.instance else "at an instance"
    broken = [line for line in lines if line.event == "exchange-broken"]
    if code is codes.Code.OK:
        answer = f"Server {fields.get('server')} answered {fields.get('status')}"
        return f"{answer} in {fields.get('total_ms')} ms, {where}."
    text = f"{code.value.text} It ended {where} after {fields.get('total_ms', 0)} ms"
    if fields.get("sends"):
        text += f" and {fields['sends']} sends, the last to server {fields.get('server')}"
    if broken:
        last = broken[-1].fields
        text += f"; the exchange with {last.get('server')} failed: {last.get('error')}"
    late = next((line for line in lines if line.event == "work-ended-late"), None)
    if late is not None:
        after = f"after {late.fields.get('total_ms')} ms"
        text += f"; its work ended {after} with status {late.fields.get('status')}"
    if fields.get("detail"):
        text += f"; decided from {fields['detail']}"
    return text + "."
