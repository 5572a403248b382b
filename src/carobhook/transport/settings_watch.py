"""Notices that the settings file has changed, with a signal or without one."""

import pathlib
from collections.abc import Callable

from carobhook import entry_settings, logs, settings


class SettingsWatch:
    """Reads the settings file again after each change.

    Faulty settings change nothing: what was in force stays, and one line tells each fault.

    Args:
        path: The file.
        changed: Called with settings that differ from the last ones.
    """

    def __init__(
        self,
        path: pathlib.Path,
        changed: Callable[[entry_settings.EntrySettings], object],
    ) -> None:
        self._path = path
        self._changed = changed
        self._text = self._read()

    def look(self, signalled: bool = False) -> None:
        """Read the file, and tell if it has changed.

        Args:
            signalled: Whether somebody said that it has changed.
        """
        text = self._read()
        if text is None or text == self._text:
            if signalled:
                logs.event("settings-unchanged", path=self._path)
            return
        self._text = text
        try:
            loaded = entry_settings.loads(text, str(self._path))
        except settings.SettingsError as group:
            for fault in group.exceptions:
                logs.error("settings-faulty", path=self._path, fault=fault)
            return
        self._changed(loaded)

    def _read(self) -> str | None:
        try:
            return self._path.read_text("utf-8")
        except (OSError, UnicodeDecodeError) as problem:
            logs.warning("settings-faulty", path=self._path, fault=problem)
            return None
