"""Command `codes`, which prints the reference of result codes."""

from typing import Annotated

import rich.console
import rich.table
import typer

from carobhook import reference
from carobhook.state import codes as result_codes


def codes(
    markdown: Annotated[
        bool, typer.Option("--markdown", help="Print the reference page in Markdown.")
    ] = False,
) -> None:
    """List every numbered result code."""
    if markdown:
        typer.echo(reference.codes_page(), nl=False)
        return
    table = rich.table.Table("code", "name", "run", "retry", "meaning", box=None)
    for code in result_codes.Code:
        info = code.value
        retry = "yes" if info.retry else "no"
        table.add_row(
            str(info.number), reference.code_name(code), info.run.value, retry, info.text
        )
    rich.console.Console().print(table)
