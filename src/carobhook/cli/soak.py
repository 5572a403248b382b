"""Command `soak`, which tests instance processes under injected faults."""

import pathlib
import shutil
import tempfile
from typing import Annotated

import typer

from carobhook.cli import exits


def soak(
    seeds: Annotated[int, typer.Option("--seeds", min=1, help="How many seeds to run.")] = 1,
    first: Annotated[int, typer.Option("--first", min=0, help="The first seed.")] = 1,
    instances: Annotated[int, typer.Option("--instances", min=2, help="Processes.")] = 4,
    servers: Annotated[
        int, typer.Option("--servers", min=1, help="Servers of each service.")
    ] = 3,
    duration_s: Annotated[
        float, typer.Option("--duration", min=1.0, help="Seconds in which faults begin.")
    ] = 8.0,
    keep: Annotated[
        pathlib.Path | None,
        typer.Option("--keep", help="Folder for settings and logs of the seeds that fail."),
    ] = None,
    other_source: Annotated[
        pathlib.Path | None,
        typer.Option(
            "--other-source",
            exists=True,
            file_okay=False,
            resolve_path=True,
            help="Folder with the package of another build; each restart changes the build.",
        ),
    ] = None,
) -> None:
    """Run instances as processes on loopback, and inject faults drawn from seeds.

    Exit codes: 0 all held, 1 something was broken, which is printed with the seed.
    """
    # Imported here, so that commands without a reactor do not load one.
    from twisted.internet import defer, reactor, task

    from carobhook.soak import run

    options = run.SoakOptions(instances, servers, duration_s, other_source)
    failed: list[int] = []

    async def _run_seeds() -> None:
        for seed in range(first, first + seeds):
            directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            try:
                verdict = await run.Soak(reactor, seed, directory, options).run()
                _print_verdict(verdict)
                if verdict.violations:
                    failed.append(seed)
                    if keep is not None:
                        shutil.copytree(directory, keep / f"seed-{seed}", dirs_exist_ok=True)
            finally:
                shutil.rmtree(directory)

    def _print_verdict(verdict: run.Verdict) -> None:
        state = "BROKEN" if verdict.violations else "held"
        typer.echo(f"seed {verdict.seed}: {state}, {verdict.served} of {verdict.sent} served")
        if verdict.violations:
            for step in verdict.steps:
                typer.echo(f"  {step}")
            for line in verdict.violations[:10]:
                typer.echo(f"  broken: {line}")

    def _main(_reactor: object) -> defer.Deferred:
        running = defer.ensureDeferred(_run_seeds())
        running.addCallback(lambda _: exits.Exit.REFUSED if failed else exits.Exit.OK)
        return running.addCallback(_raise_exit)

    # task.react ends the process with the code of a SystemExit. It would log a typer.Exit as an
    # error, and end with 1.
    def _raise_exit(code: exits.Exit) -> None:
        if code is not exits.Exit.OK:
            raise SystemExit(int(code))

    task.react(_main)
