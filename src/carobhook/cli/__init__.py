"""The command line: assembles the commands into one typer application."""

import typer

import carobhook
from carobhook.cli import (
    ctl,
    demo,
    explain_request,
    measure,
    reference,
    serve,
    soak,
    standin,
)

app = typer.Typer(
    help="Global traffic steering: the daemon, the operators' client and test stand-ins.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
    rich_markup_mode="markdown",
    epilog=(
        "Exit codes: 0 done, 1 order refused, 2 bad usage or settings, "
        "3 unreachable, 4 accepted but not in force in time, 5 address in use, "
        "6 failed otherwise."
    ),
)
app.command(name="serve")(serve.serve)
app.command(name="check-settings")(serve.check_settings)
app.command(name="ctl")(ctl.ctl)
app.command(name="explain-request")(explain_request.explain_request)
app.command(name="codes")(reference.codes)
app.command(name="demo")(demo.demo)
app.command(name="soak")(soak.soak)
app.command(name="measure")(measure.measure)
app.add_typer(standin.app, name="standin")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(carobhook.__version__)


def main() -> None:
    """Run the command line."""
    app()
