"""Commands that run one daemon and check its settings."""

import pathlib
import re
import sys
from typing import Annotated

import typer

from carobhook import entry_settings, settings
from carobhook.cli import exits

_PLATFORM_TABLE = re.compile(r"^\s*\[place\]", re.MULTILINE)

SettingsFile = Annotated[
    pathlib.Path, typer.Option("--settings", "-s", help="Settings file in TOML.")
]


def check_settings(
    files: Annotated[list[pathlib.Path], typer.Argument(help="Settings files in TOML.")],
) -> None:
    """Check settings files and report every fault, one line each.

    Exits with 0 when all files are right and with 2 when any has a fault.
    """
    faulty = False
    for file in files:
        try:
            _load_any(file)
        except settings.SettingsError as group:
            faulty = True
            _report(file, group)
        else:
            typer.echo(f"{file}: ok")
    if faulty:
        raise typer.Exit(exits.Exit.USAGE)


def _load_any(
    file: pathlib.Path,
) -> settings.Settings | entry_settings.EntrySettings:
    """Return the settings of a file; those of the platform have a table ``place``.

    Raises:
        settings.SettingsError: The file has faults.
    """
    text = settings.read_text(file)
    is_platform = _PLATFORM_TABLE.search(text) is not None
    if is_platform:
        return entry_settings.loads(text, str(file))
    return settings.loads(text, str(file))


def serve(settings_file: SettingsFile) -> None:
    """Run one daemon until SIGINT or SIGTERM, which stop it gracefully.

    Exits with 0 after a graceful stop, 2 when the settings have faults, 5 when an address is
    in use, and 6 when the start fails otherwise. A store that is out of reach is no reason
    not to start: the daemon keeps trying and says so at /readyz.
    """
    loaded = _load_or_leave(settings_file)
    if isinstance(loaded, entry_settings.EntrySettings):
        from carobhook import entry

        entry.run(settings_file, loaded)
        return
    # Imported late, so that check-settings needs no reactor.
    from twisted.internet import reactor

    from carobhook import logs
    from carobhook.cli import running
    from carobhook.transport import daemon, tls

    logs.setup(loaded.log, sys.stderr, loaded.instance.name)
    try:
        instance = daemon.Daemon(loaded, reactor)
    except tls.TlsFilesError as problem:
        exits.leave(exits.Exit.USAGE, f"{settings_file}: {problem}")
    running.until_stopped(reactor, instance.start, instance.stop)


def _load_or_leave(
    file: pathlib.Path,
) -> settings.Settings | entry_settings.EntrySettings:
    """Return the settings of a file.

    Raises:
        typer.Exit: The file has faults; they have been printed.
    """
    try:
        return _load_any(file)
    except settings.SettingsError as group:
        _report(file, group)
        exits.leave(exits.Exit.USAGE)


def _report(file: pathlib.Path, group: settings.SettingsError) -> None:
    for fault in group.exceptions:
        typer.echo(f"{file}: {fault}", err=True)
