"""Command `ctl`, which sends orders from its arguments, a file or a prompt to a daemon."""

import functools
import os
import pathlib
import sys
import typing
from collections.abc import Callable, Iterable, Iterator
from typing import Annotated

import typer

from carobhook import checks
from carobhook.cli import exits

if typing.TYPE_CHECKING:
    from carobhook.cli import session

DEFAULT_OPERATOR = "127.0.0.1:18200"
TOKEN_VARIABLE = "CAROBHOOK_TOKEN"
OPERATOR_VARIABLE = "CAROBHOOK_OPERATOR"
DEFAULT_WAIT_S = 15.0


_Order = Annotated[
    list[str] | None,
    typer.Argument(help="One order, such as: show regions. None at all opens a prompt."),
]
_Operator = Annotated[
    str,
    typer.Option(
        "--operator",
        envvar=OPERATOR_VARIABLE,
        metavar="HOST:PORT",
        help="Operator port of any instance.",
    ),
]
_TokenFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file", help=f"File that holds the token; else ${TOKEN_VARIABLE} is used."
    ),
]
_CaFile = Annotated[
    pathlib.Path | None,
    typer.Option("--ca-file", help="Authorities in PEM; the operator port speaks TLS."),
]
_OrderFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--file", "-f", help="File of orders, one a line; # opens a comment. - is stdin."
    ),
]
_AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object for each order.")]
_Wait = Annotated[
    float,
    typer.Option("--wait", min=0.0, help="Longest wait for an order to be in force, in s."),
]
_History = Annotated[
    pathlib.Path | None,
    typer.Option("--history", help="File for the prompt's history; else it is forgotten."),
]


def ctl(
    *,
    order: _Order = None,
    address: _Operator = DEFAULT_OPERATOR,
    token_file: _TokenFile = None,
    ca_file: _CaFile = None,
    file: _OrderFile = None,
    as_json: _AsJson = False,
    wait_s: _Wait = DEFAULT_WAIT_S,
    history: _History = None,
) -> None:
    """Give orders and ask questions.

    An order returns when it is in force in every instance, and says how far it got if that
    takes longer than --wait. A file stops at the first order that fails.

    Exit codes: 0 done, 1 refused, 2 bad usage, 3 no daemon answers, 4 accepted but not in
    force in time.
    """
    if order and file:
        exits.exit_with(exits.Exit.USAGE, "error: give an order or --file, not both")
    if not checks.ADDRESS.accepts(address):
        expected = checks.ADDRESS.expected
        exits.exit_with(
            exits.Exit.USAGE, f"error: --operator is {address!r}, expected {expected}"
        )
    token = _read_token(token_file)
    if ca_file is not None and not ca_file.is_file():
        exits.exit_with(exits.Exit.USAGE, f"error: --ca-file {ca_file} cannot be read")
    orders = [" ".join(order)] if order else _read_orders(file)
    ctl_session = _open_session(address, token, ca_file, as_json=as_json, wait_s=wait_s)
    if orders is None:
        raise typer.Exit(ctl_session.run_prompt(_prompt_reader(history)))
    raise typer.Exit(ctl_session.run_orders(orders))


def _open_session(
    address: str, token: str, ca_file: pathlib.Path | None, *, as_json: bool, wait_s: float
) -> "session.Session":
    # Imported here, because the HTTP client is slow to import and other commands need none.
    from carobhook.cli import operator, output, session

    printer = output.JsonPrinter() if as_json else output.TablePrinter()
    client = operator.BlockingOperatorClient(
        lambda reactor: operator.HttpOperatorClient(reactor, address, token, ca_file)
    )
    return session.Session(client, printer, wait_s)


def _read_token(file: pathlib.Path | None) -> str:
    """Return the operator's token from a file or the environment.

    Raises:
        typer.Exit: There is no readable token, or it is not printable ASCII.
    """
    if file is None:
        token = os.environ.get(TOKEN_VARIABLE, "").strip()
        source = f"${TOKEN_VARIABLE}"
    else:
        try:
            token = file.read_text("utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            exits.exit_with(exits.Exit.USAGE, f"error: --token-file {file}: {error}")
        source = str(file)
    if not token:
        exits.exit_with(
            exits.Exit.USAGE, f"error: no token; set ${TOKEN_VARIABLE} or give --token-file"
        )
    if not (token.isascii() and token.isprintable()):
        exits.exit_with(
            exits.Exit.USAGE, f"error: the token in {source} must be printable ASCII"
        )
    return token


def _read_orders(file: pathlib.Path | None) -> Iterable[str] | None:
    """Return the orders in a file or standard input.

    Returns None if there is no file and standard input is a terminal: the orders then come
    from a prompt.

    Raises:
        typer.Exit: The file cannot be read.
    """
    if file is None and sys.stdin.isatty():
        return None
    if file is None or str(file) == "-":
        return _parse_orders(sys.stdin)
    try:
        return _parse_orders(file.read_text("utf-8").splitlines())
    except (OSError, UnicodeDecodeError) as error:
        exits.exit_with(exits.Exit.USAGE, f"error: --file {file}: {error}")


def _parse_orders(lines: Iterable[str]) -> Iterator[str]:
    """Yield the lines that contain an order, without comments and empty lines."""
    for line in lines:
        text = line.strip()
        if text and not text.startswith("#"):
            yield text


def _prompt_reader(history: pathlib.Path | None) -> Callable[[], str]:
    """Return a function that reads one line at the prompt.

    Args:
        history: File that keeps the lines for later sessions; None keeps them only in memory.
    """
    import prompt_toolkit
    from prompt_toolkit import history as prompt_history

    previous_lines: typing.Any = prompt_history.InMemoryHistory()
    if history is not None:
        previous_lines = prompt_history.FileHistory(str(history))
    prompt_session: typing.Any = prompt_toolkit.PromptSession(history=previous_lines)
    return functools.partial(prompt_session.prompt, "carobhook> ")
