"""Commands `serve` and `check-settings`, which run a daemon and check its settings."""

import pathlib
import signal
from typing import Annotated

import typer

from carobhook import entry_settings, settings
from carobhook.cli import exits

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
            entry_settings.load(file)
        except settings.SettingsError as group:
            faulty = True
            _print_faults(file, group)
        else:
            typer.echo(f"{file}: ok")
    if faulty:
        raise typer.Exit(exits.Exit.USAGE)


def serve(settings_file: SettingsFile) -> None:
    """Run one daemon until SIGINT or SIGTERM, which stop it gracefully.

    Exits with 0 after a graceful stop, 2 when the settings have faults, 5 when an address is
    in use, and 6 when the start fails otherwise. A store that is out of reach is no reason
    not to start: the daemon keeps trying and says so at /readyz.
    """
    # Loading takes a while, and the settings are compared with their file when the daemon runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loaded = _load_or_exit(settings_file)
    # Imported here, because check-settings needs no reactor.
    from carobhook import entry_process

    entry_process.run(settings_file, loaded)


def _load_or_exit(file: pathlib.Path) -> entry_settings.EntrySettings:
    """Return the settings in a file.

    Raises:
        typer.Exit: The file has faults, which were printed.
    """
    try:
        return entry_settings.load(file)
    except settings.SettingsError as group:
        _print_faults(file, group)
        exits.exit_with(exits.Exit.USAGE)


def _print_faults(file: pathlib.Path, group: settings.SettingsError) -> None:
    for fault in group.exceptions:
        typer.echo(f"{file}: {fault}", err=True)
