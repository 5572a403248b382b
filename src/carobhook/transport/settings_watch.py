"""Watch of the settings file, which is checked periodically and on a signal."""

import pathlib
from collections.abc import Callable

from carobhook import entry_settings, logs, settings


class SettingsWatch:
    """Loads the settings file again after each change.

    If the file is faulty or cannot be read, the settings in force stay unchanged, and each
    fault is logged.

    Args:
        path: The settings file.
        on_change: Called with the new settings after each change to a valid text.
        in_force: Settings that were read from the file before, which may have changed since;
            None if the settings in force are those that are in the file now.
    """

    def __init__(
        self,
        path: pathlib.Path,
        on_change: Callable[[entry_settings.EntrySettings], object],
        in_force: entry_settings.EntrySettings | None = None,
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._in_force = in_force
        self._text = None if in_force is not None else self._read()

    def check(self, signalled: bool = False) -> None:
        """Read the file, and pass on its settings if its text has changed and is valid.

        Args:
            signalled: Whether a signal caused the check. It is then also logged that the
                settings are unchanged if the text is the same or the file cannot be read.
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
        if loaded == self._in_force:
            return
        self._in_force = loaded
        self._on_change(loaded)

    def _read(self) -> str | None:
        try:
            return self._path.read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            logs.warning("settings-faulty", path=self._path, fault=error)
            return None
