"""Generates the reference pages of result codes, events, metrics and settings."""

import enum
import pathlib
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from carobhook import entry_metrics, entry_settings, events
from carobhook.state import codes


def code_name(code: codes.Code) -> str:
    """Return the name of a code in lower case with hyphens, such as ``no-route``."""
    return code.name.lower().replace("_", "-")


def codes_page() -> str:
    """Return the text of docs/CODES.md."""
    rows = [
        (
            str(code.number),
            code_name(code),
            str(code.value.http_status),
            code.run.value,
            "yes" if code.value.retry else "no",
            code.value.text,
        )
        for code in codes.Code
    ]
    return "\n".join(
        (
            "# Result codes",
            "",
            "Every answer about a request or an order carries one of these numbers, requests",
            "in the header `Carobhook-Code` and orders in the field `code`. *Run* says whether",
            "the request was run (or the order took effect): `not-run` is only said when it is",
            "certain. *Retry* says whether the same call may be sent again later; a",
            "non-idempotent request is sent again only after `not-run`.",
            "",
            "1xxx are requests, 2xxx orders and queries, 3xxx settings and start-up.",
            "",
            "Made by `make docs`; `carobhook codes` prints the same list.",
            "",
            *_table(("Code", "Name", "HTTP status", "Run", "Retry", "Meaning"), rows),
            "",
        )
    )


def settings_page() -> str:
    """Return the text of docs/SETTINGS.md."""
    lines = [
        "# Settings",
        "",
        "One TOML file per instance. `carobhook check-settings FILE` reports every fault of a",
        "file, one line each, and exits with 2 when there is any. Unknown tables and keys are",
        "faults. `examples/zema.toml` and `examples/tarnok.toml` are commented examples; on",
        "the platform the file is made from the template `deploy/settings.toml`. Besides the",
        "tables below, `[regions]` holds the region of each failure domain.",
        "",
        "Made by `make docs`.",
    ]
    for name, kind in entry_settings.TABLES.items():
        lines += _settings_table(name, kind)
    return "\n".join([*lines, ""])


def _settings_table(name: str, kind: type[Any]) -> list[str]:
    rows = [_setting_row(field) for field in attrs.fields(kind)]
    heading = ["", f"## [{name}]", "", (kind.__doc__ or "").strip(), ""]
    return heading + _table(("Key", "Expected", "Default", "Meaning"), rows)


def events_page() -> str:
    """Return the text of docs/EVENTS.md."""
    rows = [(f"`{event.value.name}`", event.value.text) for event in events.Event]
    return "\n".join(
        (
            "# Events",
            "",
            "The daemon writes one line to standard output for each event: its time (UTC),",
            "level, the instance's name, the event and its fields as `key=value` pairs. A",
            "value with spaces or the like is quoted as in JSON. With `[log] form` `json`",
            "each line is a JSON object with the same names.",
            "",
            "Made by `make docs`.",
            "",
            *_table(("Event", "Meaning"), rows),
            "",
        )
    )


def metrics_page() -> str:
    """Return the text of docs/METRICS.md."""
    rows = [
        (f"`{info.name}`", info.kind.value, ", ".join(info.labels), info.text)
        for info in (metric.value for metric in entry_metrics.EntryMetric)
    ]
    return "\n".join(
        (
            "# Metrics",
            "",
            "An entry instance serves these as text at `/metrics` of its metrics address. The",
            "users' letter asks for this in place of the brief's statsd.",
            "",
            "Made by `make docs`.",
            "",
            *_table(("Name", "Kind", "Labels", "Meaning"), rows),
            "",
        )
    )


def _setting_row(field: Any) -> tuple[str, str, str, str]:
    return field.name, field.validator.expected, _format_default(field), field.metadata["doc"]


def _format_default(field: Any) -> str:
    if field.default is attrs.NOTHING:
        return "none: must be set"
    if isinstance(field.default, enum.Enum):
        return f"`{field.default.value}`"
    if not isinstance(field.default, (str, int, float)):
        return "empty"
    return f"`{field.default}`" if field.default != "" else "empty"


def _table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    lines = [_format_row(header), _format_row(["---"] * len(header))]
    return lines + [_format_row(row) for row in rows]


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def main(directory: pathlib.Path) -> None:
    """Write all pages to a directory."""
    for name, page in PAGES.items():
        (directory / name).write_text(page(), "utf-8")


PAGES: dict[str, Callable[[], str]] = {
    "CODES.md": codes_page,
    "EVENTS.md": events_page,
    "METRICS.md": metrics_page,
    "SETTINGS.md": settings_page,
}

if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
