"""Parser of the operators' language, which builds typed statements."""

import difflib
import pathlib
import typing

import lark

from carobhook.state import ids, orders, statements

_SECONDS_PER_HOUR = 3600
_SECONDS_PER_MINUTE = 60
_TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "ROUTE": "the name of a route",
    "INT": "a whole number",
    "NUMBER": "a number",
    "TIME": "a time, such as 14:00",
    "$END": "the end",
}


class StatementSyntaxError(Exception):
    """A statement has a syntax error.

    Attributes:
        column: Column of the error, counted from 1.
        word: Word at that column; empty at the end of the text.
        expected: Words, or descriptions of words, that are valid there.
    """

    def __init__(self, column: int, word: str, expected: tuple[str, ...]) -> None:
        self.column = column
        self.word = word
        self.expected = expected
        super().__init__(
            f"column {column}: {self._describe()}; expected {_join_alternatives(expected)}"
        )

    def _describe(self) -> str:
        if not self.word:
            return "the order ends too early"
        matches = difflib.get_close_matches(self.word, self.expected, n=1)
        hint = f", did you mean {matches[0]!r}?" if matches else ""
        return f"{self.word!r} is not understood here{hint}"


def _join_alternatives(expected: tuple[str, ...]) -> str:
    return " or ".join(expected) if expected else "something else"


@lark.v_args(inline=True)
class _Builder(lark.Transformer):
    """Builds typed statements from the parse tree; each method handles the rule of its name."""

    def start(self, statement: statements.Statement) -> statements.Statement:
        return statement

    def dry_run(self, command: statements.Command) -> statements.DryRun:
        return statements.DryRun(command)

    def show(self, subject: str) -> statements.Show:
        return statements.Show(statements.Subject(str(subject)))

    def show_change(self, version: str) -> statements.ShowChange:
        return statements.ShowChange(ids.Version(int(version)))

    def explain_service(self, service: str, region: str) -> statements.ExplainService:
        return statements.ExplainService(ids.Service(str(service)), ids.Region(str(region)))

    def explain_region(self, region: str) -> statements.ExplainRegion:
        return statements.ExplainRegion(ids.Region(str(region)))

    def wait(self, version: str) -> statements.Wait:
        return statements.Wait(ids.Version(int(version)))

    def share(self, number: lark.Token) -> float:
        if float(number) > 100:
            raise StatementSyntaxError(number.column or 1, number, ("a share of at most 100%",))
        return float(number) / 100

    def duration(self, number: lark.Token) -> float:
        if not float(number) > 0:
            raise StatementSyntaxError(number.column or 1, number, ("a time above 0 s",))
        return float(number)

    def cap(self, share: float, window_s: float) -> statements.CapOverride:
        return statements.CapOverride(orders.Cap(share, window_s))

    def emergency_cap(self, share: float, window_s: float) -> statements.CapOverride:
        return statements.CapOverride(orders.Cap(share, window_s), emergency=True)

    def cap_override(self, cap: statements.CapOverride) -> statements.CapOverride:
        return cap

    def for_rank(self, rank: str) -> int:
        return int(rank)

    def shift(
        self,
        service: str,
        source: str,
        target: str,
        share: float,
        cap_override: statements.CapOverride | None,
        priority: int | None,
    ) -> statements.Shift:
        return statements.Shift(
            ids.Service(str(service)),
            ids.Region(str(source)),
            ids.Region(str(target)),
            share,
            cap_override,
            priority,
        )

    def drain_target(self, kind: str, name: str) -> tuple[orders.DrainKind, str]:
        return orders.DrainKind(str(kind)), str(name)

    def drain(
        self,
        target: tuple[orders.DrainKind, str],
        starts: str | None,
        ends: str | None,
        cap_override: statements.CapOverride | None,
    ) -> statements.Drain:
        return statements.Drain(
            *target,
            cap_override,
            _seconds_since_midnight(starts),
            _seconds_since_midnight(ends),
        )

    def undrain(self, target: tuple[orders.DrainKind, str]) -> statements.Undrain:
        return statements.Undrain(*target)

    def set_cap(self, share: float, window_s: float, service: str | None) -> statements.SetCap:
        service_name = None if service is None else ids.Service(str(service))
        return statements.SetCap(orders.Cap(share, window_s), service_name)

    def set_rank(self, priority: str, route: str) -> statements.SetRank:
        return statements.SetRank(str(route), int(priority))

    def unset_rank(self, route: str) -> statements.SetRank:
        return statements.SetRank(str(route), None)

    def cancel(self, order: str) -> statements.Cancel:
        return statements.Cancel(ids.OrderId(str(order)))


def _seconds_since_midnight(time: str | None) -> int | None:
    if time is None:
        return None
    hours, _, minutes = str(time).partition(":")
    return int(hours) * _SECONDS_PER_HOUR + int(minutes) * _SECONDS_PER_MINUTE


_GRAMMAR = pathlib.Path(__file__).with_name("language.lark")
_PARSER = lark.Lark(_GRAMMAR.read_text("utf-8"), parser="lalr", maybe_placeholders=True)
_TERMINALS = {terminal.name: terminal.pattern for terminal in _PARSER.terminals}
_ENUM_TERMINALS = {"SUBJECT": statements.Subject, "SUBJECT_KIND": orders.DrainKind}


def parse(text: str) -> statements.Statement:
    """Return the statement that an operator wrote.

    Args:
        text: One query, command or dry run.

    Raises:
        StatementSyntaxError: The text has a syntax error.
    """
    try:
        return _Builder().transform(_PARSER.parse(text))
    except lark.exceptions.VisitError as error:
        raise error.orig_exc from error
    except lark.exceptions.UnexpectedInput as error:
        raise _syntax_error(text, error) from error


def completions(text: str) -> tuple[str, ...]:
    """Return the words that may follow the first words of a statement.

    Args:
        text: First words of a statement, each of them complete.
    """
    try:
        interactive = _PARSER.parse_interactive(text)
        interactive.exhaust_lexer()
        return _expected_words(interactive.accepts())
    except lark.exceptions.UnexpectedInput:
        return ()


def _syntax_error(text: str, error: lark.exceptions.UnexpectedInput) -> StatementSyntaxError:
    """Return the syntax error that describes an error of the parser.

    lark names the valid terminals `accepts` or `expected` if a word is valid elsewhere, and
    `allowed` if it matches no terminal.
    """
    names = getattr(error, "accepts", None) or getattr(error, "expected", None)
    names = names or getattr(error, "allowed", None) or ()
    start = error.pos_in_stream
    token = getattr(error, "token", None)
    if start is None or (token is not None and token.type == "$END"):
        start = len(text.rstrip())
        return StatementSyntaxError(start + 1, "", _expected_words(names))
    words = text[start:].split()
    return StatementSyntaxError(start + 1, words[0] if words else "", _expected_words(names))


def _expected_words(names: typing.Iterable[str]) -> tuple[str, ...]:
    """Return the words, or descriptions of words, that match the given terminals."""
    words: set[str] = set()
    for name in names:
        if name in _ENUM_TERMINALS:
            words.update(member.value for member in _ENUM_TERMINALS[name])
        elif name in _TERMINAL_DESCRIPTIONS:
            words.add(_TERMINAL_DESCRIPTIONS[name])
        else:
            words.add(_TERMINALS[name].value)
    return tuple(sorted(words))
