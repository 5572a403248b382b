"""Command `demo`, which runs or writes a complete deployment on loopback."""

import pathlib
import secrets
import sys
from typing import Annotated

import typer

from carobhook import demo as layouts
from carobhook.cli import exits

_SECRET_BYTES = 24


def demo(
    write: Annotated[
        pathlib.Path | None,
        typer.Option(
            "--write", help="Write the files that separate processes start from, and end."
        ),
    ] = None,
    base_port: Annotated[
        int, typer.Option("--base-port", min=1024, max=64_000, help="First port used.")
    ] = layouts.Ports().http,
) -> None:
    """Show a deployment of nine instances on loopback.

    Without --write everything runs in this one process, for a quick look, until SIGINT or
    SIGTERM.
    """
    layout = layouts.Layout(
        layouts.Ports.starting_at(base_port),
        token=secrets.token_urlsafe(_SECRET_BYTES),
        peer_key=secrets.token_urlsafe(_SECRET_BYTES),
    )
    if write is None:
        _run_in_process(layout)
        return
    try:
        layouts.write(layout, write)
    except OSError as error:
        exits.exit_with(exits.Exit.USAGE, f"error: --write {write}: {error}")
    typer.echo(f"wrote {len(layout.instances)} instances to {write}")


def _run_in_process(layout: layouts.Layout) -> None:
    # Imported here, because writing the files needs no reactor.
    from twisted.internet import reactor

    from carobhook import logs, settings
    from carobhook.cli import local, reactor_runner

    logs.setup(settings.LogSettings(level="warning"), sys.stderr)
    deployment = local.LocalDemo(reactor, layout)
    reactor_runner.run_until_stopped(reactor, deployment.start, deployment.stop)
