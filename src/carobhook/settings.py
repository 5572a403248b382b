"""Settings that every program of the product has, and their faults."""

import pathlib
from typing import Any

import attrs

from carobhook import checks, tables

LOG_FORMS = ("keyvalue", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")


class SettingsFault(tables.TableFault):
    """One fault of a settings file."""


class SettingsError(ExceptionGroup[SettingsFault]):
    """Every fault of a settings file."""

    def derive(self, excs: Any, /) -> "SettingsError":  # type: ignore[override]
        """Return a group of the same kind with other faults."""
        return SettingsError(self.message, excs)


class TlsFilesError(Exception):
    """A file of the settings' table tls cannot be used."""


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
        fault = SettingsFault("", "", reason, "a readable UTF-8 file")
        raise SettingsError(str(path), [fault]) from error
