"""Watch of the settings file, which is checked periodically and on a signal."""

import pathlib
from collections.abc import Callable

from carobhook import entry_settings, logs, settings


class SettingsWatch:
    """Loads the settings file again after each change.

    Faulty settings change nothing: the former ones stay in force, and each fault is logged.

    Args:
        path: The settings file.
        on_change: Called with the new settings after a change of the file's text.
    """

    def __init__(
        self,
        path: pathlib.Path,
        on_change: Callable[[entry_settings.EntrySettings], object],
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._text = self._read()

    def check(self, signalled: bool = False) -> None:
        """Read the file, and pass on its settings if its text has changed.

        Args:
            signalled: Whether a signal caused the check; an unchanged file is logged then.
        """
        text = self._read()
        if text is None or text == self._text:
            if signalled:
                logs.event("settings-unchanged", path=self._path)
            return
        self._text = text
        try:
            loaded = entry_settings.loads(text, str(self._path))
        except settings.SettingsError as errors:
            for fault in errors.exceptions:
                logs.error("settings-faulty", path=self._path, fault=fault)
            return
        self._on_change(loaded)

    def _read(self) -> str | None:
        try:
            return self._path.read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            logs.warning("settings-faulty", path=self._path, fault=error)
            return None
