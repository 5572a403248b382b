"""Exit codes of the commands, and the function that ends a command with one."""

import enum
import typing

import typer


class Exit(enum.IntEnum):
    """Exit codes of the commands.

    If a signal kills a command, the shell reports its own code for the signal, which is none
    of these.

    Attributes:
        OK: The command succeeded.
        REFUSED: An order was refused, the end of a request is not in the logs, or a soak test
            found a violation.
        USAGE: Arguments, files or settings have faults.
        UNREACHABLE: No daemon answered an order, or a server that is not a daemon did.
        NOT_IN_FORCE: An order was accepted, but was not in force everywhere in time.
        ADDRESS_IN_USE: An address cannot be listened on.
        FAILED: The program could not start for another reason.
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
