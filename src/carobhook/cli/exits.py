"""Exit codes of the commands, and the function that ends a command with one."""

import enum
import typing

import typer


class Exit(enum.IntEnum):
    """Exit codes of the commands.

    A command that a signal kills has none of these, but the code that the shell reports for
    the signal.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4
    ADDRESS_IN_USE = 5
    FAILED = 6


def exit_with(code: Exit, *lines: str) -> typing.NoReturn:
    """Print lines to standard error and end the command with an exit code.

    Raises:
        typer.Exit: Always.
    """
    for line in lines:
        typer.echo(line, err=True)
    raise typer.Exit(code)
