"""Structured logs: one line for each event."""

import enum
import json
import logging
import re
import time
import traceback
import typing
from typing import Any

from pythonjsonlogger import json as jsonlogger
from twisted import logger as twisted_logger
from zope import interface

from carobhook import events, settings

_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+%*<>\[\](),-]+")
_logger = logging.getLogger("carobhook")


def event(name: str | events.Event, **fields: object) -> None:
    """Log one event with its fields at the info level.

    Args:
        name: An event, or the name of one in `events.Event`.
        fields: Values shown as ``key=value``.
    """
    _log(logging.INFO, name, fields)


def warning(name: str | events.Event, **fields: object) -> None:
    """Log one event with its fields at the warning level."""
    _log(logging.WARNING, name, fields)


def error(name: str | events.Event, **fields: object) -> None:
    """Log one event with its fields at the error level."""
    _log(logging.ERROR, name, fields)


def _log(level: int, name: str | events.Event, fields: dict[str, object]) -> None:
    if not _logger.isEnabledFor(level):
        return
    text = name.value.name if isinstance(name, events.Event) else name
    _logger.log(level, "%s", text, extra={"event": text, "fields": fields})


def setup(
    log_settings: settings.LogSettings, stream: typing.TextIO, instance: str = ""
) -> None:
    """Write events to a stream, and warnings of libraries as well.

    Args:
        log_settings: Form and level.
        stream: Where the lines go.
        instance: Name put into every line, none when empty.
    """
    setup_handler(log_settings, logging.StreamHandler(stream), instance)


def setup_handler(
    log_settings: settings.LogSettings, handler: logging.Handler, instance: str = ""
) -> None:
    """Give events to a handler, and warnings of libraries as well.

    Args:
        log_settings: Form and level.
        handler: What writes them.
        instance: Name put into every line, none when empty.
    """
    handler.setFormatter(formatter(log_settings.form, instance))
    root = logging.getLogger()
    for old in list(root.handlers):
        if hasattr(old, "carobhook"):
            root.removeHandler(old)
    handler.carobhook = True  # type: ignore[attr-defined]
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    _logger.setLevel(log_settings.level.upper())


def follow_twisted() -> None:
    """Make events of the failures and warnings that twisted logs; once in a process."""
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [observe], discardBuffer=True, redirectStandardIO=False
    )


def formatter(form: str, instance: str = "") -> logging.Formatter:
    """Return the formatter of a log form, one of `settings.LOG_FORMS`."""
    return JsonFormatter(instance) if form == "json" else KeyValueFormatter(instance)


@interface.implementer(twisted_logger.ILogObserver)
def observe(entry: twisted_logger.LogEvent) -> None:
    """Pass on what twisted logs: failures as errors, warnings as such, no chatter."""
    level = entry.get("log_level")
    failure = entry.get("log_failure")
    if failure is not None:
        error(
            events.Event.UNHANDLED_ERROR,
            error=failure.type.__name__,
            text=failure.getErrorMessage(),
            trace=failure.getTraceback(),
        )
    elif level is not None and level >= twisted_logger.LogLevel.warn:
        warning(events.Event.LIBRARY, text=twisted_logger.formatEvent(entry))


def _fields(record: logging.LogRecord, instance: str) -> dict[str, Any]:
    """Return time, level, event and fields of a record; other libraries' text is a field."""
    found: dict[str, Any] = {
        "time": _timestamp(record.created),
        "level": record.levelname.lower(),
    }
    if instance:
        found["instance"] = instance
    if hasattr(record, "event"):
        found["event"] = record.event
        for key, value in getattr(record, "fields", {}).items():
            if found.setdefault(key, value) != value:
                found[f"field_{key}"] = value
    else:
        found |= {"event": events.Event.LIBRARY.value.name, "logger": record.name}
        found["text"] = record.getMessage()
    if record.exc_info and record.exc_info[0]:
        found["trace"] = "".join(traceback.format_exception(*record.exc_info))
    return found


def _timestamp(seconds: float) -> str:
    """Return wall-clock seconds as an ISO 8601 time in UTC, to the millisecond."""
    whole, millis = divmod(int(seconds * 1000), 1000)
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole)) + f".{millis:03d}Z"


class KeyValueFormatter(logging.Formatter):
    """Formats one event as a line of ``key=value`` pairs."""

    def __init__(self, instance: str = "") -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        pairs = _fields(record, self._instance).items()
        return " ".join(f"{_plain_key(key)}={_plain_value(value)}" for key, value in pairs)


class JsonFormatter(jsonlogger.JsonFormatter):
    """Formats one event as a JSON object on one line."""

    def __init__(self, instance: str = "") -> None:
        super().__init__(json_ensure_ascii=False)
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        fields = {
            key: _json_value(value) for key, value in _fields(record, self._instance).items()
        }
        return self.jsonify_log_record(fields)


def _json_value(value: object) -> object:
    """Return a value that JSON has; enums give their values, others their text."""
    if isinstance(value, enum.Enum):
        return _json_value(value.value)
    if value is None or isinstance(value, (bool, int, float, str)):
        return value
    if isinstance(value, (list, tuple)):
        return [_json_value(item) for item in value]
    return str(value)


def _plain_key(key: str) -> str:
    return key if _PLAIN.fullmatch(key) and "=" not in key else json.dumps(key)


def _plain_value(value: object) -> str:
    """Return a value as it stands, or quoted as JSON when it has spaces or the like."""
    plain = _json_value(value)
    if isinstance(plain, bool) or plain is None:
        return json.dumps(plain)
    if isinstance(plain, float):
        return f"{plain:.6g}"
    if isinstance(plain, list):
        plain = ",".join(str(item) for item in plain)
    text = str(plain)
    return text if _PLAIN.fullmatch(text) else json.dumps(text, ensure_ascii=True)
