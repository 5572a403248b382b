"""Settings tables shared by all programs, and the errors of settings files."""

import pathlib
from typing import Any

import attrs

from carobhook import checks, tables

LOG_FORMS = ("keyvalue", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")


class InvalidSettingError(tables.TableError):
    """One error of a settings file."""


class SettingsError(ExceptionGroup[InvalidSettingError]):
    """All errors of a settings file."""

    def derive(self, excs: Any, /) -> "SettingsError":  # type: ignore[override]
        """Return a group of the same class with other errors."""
        return SettingsError(self.message, excs)


class TlsFilesError(Exception):
    """A file that the ``tls`` table names cannot be read or is not valid."""


@attrs.frozen
class LogSettings:
    """How events are written, and from which level."""

    form: str = attrs.field(
        default="keyvalue",
        validator=checks.one_of(LOG_FORMS),
        metadata=checks.doc("One line of key=value pairs, or one JSON object, per event."),
    )
    level: str = attrs.field(
        default="info",
        validator=checks.one_of(LOG_LEVELS),
        metadata=checks.doc("Lowest level that is written."),
    )


@attrs.frozen
class TlsSettings:
    """Files for TLS on every port, set together; plain TCP when they are not set."""

    cert: str = attrs.field(
        default="",
        validator=checks.optional(checks.TEXT),
        metadata=checks.doc("PEM file of the certificate chain."),
    )
    key: str = attrs.field(
        default="",
        validator=checks.optional(checks.TEXT),
        metadata=checks.doc("PEM file of the private key."),
    )
    ca: str = attrs.field(
        default="",
        validator=checks.optional(checks.TEXT),
        metadata=checks.doc("PEM file of the deployment's authorities, for peers."),
    )


def read_text(path: pathlib.Path) -> str:
    """Return the text of a settings file.

    Args:
        path: The file.

    Raises:
        SettingsError: The file cannot be read.
    """
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        setting_error = InvalidSettingError("", "", reason, "a readable UTF-8 file")
        raise SettingsError(str(path), [setting_error]) from error
