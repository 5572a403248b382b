"""Structured logs with one line for each event."""

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

_UNQUOTED = re.compile(r"[A-Za-z0-9_.:/@+%*<>\[\](),-]+")
_logger = logging.getLogger("carobhook")


def event(name: str | events.Event, **fields: object) -> None:
    """Log one event with its fields at the info level.

    Args:
        name: A member of `events.Event`, or the name of one.
        fields: Fields of the line, by name.
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
    event_name = name.value.name if isinstance(name, events.Event) else name
    _logger.log(level, "%s", event_name, extra={"event": event_name, "fields": fields})


def setup(
    log_settings: settings.LogSettings, stream: typing.TextIO, instance: str = ""
) -> None:
    """Configure logging of events and of libraries' warnings to a stream.

    Args:
        log_settings: Format and lowest level of the lines.
        stream: Stream that the lines are written to.
        instance: Name of the instance, which each line carries unless it is empty.
    """
    setup_handler(log_settings, logging.StreamHandler(stream), instance)


def setup_handler(
    log_settings: settings.LogSettings, handler: logging.Handler, instance: str = ""
) -> None:
    """Configure logging of events and of libraries' warnings to a handler.

    A handler that an earlier call has set up is removed.

    Args:
        log_settings: Format and lowest level of the lines.
        handler: Handler that writes the lines.
        instance: Name of the instance, which each line carries unless it is empty.
    """
    handler.setFormatter(formatter(log_settings.form, instance))
    root = logging.getLogger()
    for previous in list(root.handlers):
        if hasattr(previous, "carobhook"):
            root.removeHandler(previous)
    handler.carobhook = True  # type: ignore[attr-defined]
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    _logger.setLevel(log_settings.level.upper())


def forward_twisted_logs() -> None:
    """Log the warnings and errors of twisted's logger as events; call once in a process."""
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [forward_twisted_event], discardBuffer=True, redirectStandardIO=False
    )


def formatter(form: str, instance: str = "") -> logging.Formatter:
    """Return the formatter for a log format, which is one of `settings.LOG_FORMS`."""
    return JsonFormatter(instance) if form == "json" else KeyValueFormatter(instance)


@interface.implementer(twisted_logger.ILogObserver)
def forward_twisted_event(twisted_event: twisted_logger.LogEvent) -> None:
    """Log an event of twisted's logger, unless it is below the warning level.

    An event with a failure, such as an unhandled error of a deferred, is logged as an error at
    any level, other events as warnings.
    """
    level = twisted_event.get("log_level")
    failure = twisted_event.get("log_failure")
    if failure is not None:
        error(
            events.Event.UNHANDLED_ERROR,
            error=failure.type.__name__,
            text=failure.getErrorMessage(),
            trace=failure.getTraceback(),
        )
    elif level is not None and level >= twisted_logger.LogLevel.warn:
        warning(events.Event.LIBRARY, text=twisted_logger.formatEvent(twisted_event))


def _line_fields(record: logging.LogRecord, instance: str) -> dict[str, Any]:
    """Return all fields of a line; the message of a library's record is the field ``text``.

    A field of an event that has the name of a common field, such as ``level``, gets the prefix
    ``field_`` so that it does not replace the common one. It is left out if the values are
    equal.
    """
    fields: dict[str, Any] = {
        "time": _format_timestamp(record.created),
        "level": record.levelname.lower(),
    }
    if instance:
        fields["instance"] = instance
    if hasattr(record, "event"):
        fields["event"] = record.event
        for key, value in getattr(record, "fields", {}).items():
            if fields.setdefault(key, value) != value:
                fields[f"field_{key}"] = value
    else:
        fields |= {"event": events.Event.LIBRARY.value.name, "logger": record.name}
        fields["text"] = record.getMessage()
    if record.exc_info and record.exc_info[0]:
        fields["trace"] = "".join(traceback.format_exception(*record.exc_info))
    return fields


def _format_timestamp(seconds: float) -> str:
    """Return wall-clock seconds as an ISO 8601 time in UTC, to the millisecond."""
    whole_s, millis = divmod(int(seconds * 1000), 1000)
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole_s)) + f".{millis:03d}Z"


class KeyValueFormatter(logging.Formatter):
    """Formats one event as a line of ``key=value`` pairs."""

    def __init__(self, instance: str = "") -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        pairs = _line_fields(record, self._instance).items()
        return " ".join(f"{_format_key(key)}={_format_value(value)}" for key, value in pairs)


class JsonFormatter(jsonlogger.JsonFormatter):
    """Formats one event as a JSON object on one line."""

    def __init__(self, instance: str = "") -> None:
        super().__init__(json_ensure_ascii=False)
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        fields = {
            key: _json_value(value)
            for key, value in _line_fields(record, self._instance).items()
        }
        return self.jsonify_log_record(fields)


def _json_value(value: object) -> object:
    """Return a value that JSON can represent: an enum's value, or the text of other types."""
    if isinstance(value, enum.Enum):
        return _json_value(value.value)
    if value is None or isinstance(value, (bool, int, float, str)):
        return value
    if isinstance(value, (list, tuple)):
        return [_json_value(item) for item in value]
    return str(value)


def _format_key(key: str) -> str:
    return key if _UNQUOTED.fullmatch(key) and "=" not in key else json.dumps(key)


def _format_value(value: object) -> str:
    """Return the text of a value, quoted as in JSON if it has spaces or special characters."""
    json_value = _json_value(value)
    if isinstance(json_value, bool) or json_value is None:
        return json.dumps(json_value)
    if isinstance(json_value, float):
        return f"{json_value:.6g}"
    if isinstance(json_value, list):
        json_value = ",".join(str(item) for item in json_value)
    text = str(json_value)
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text, ensure_ascii=True)
