"""Reads TOML tables into attrs values and reports all errors of a file at once."""

import difflib
import enum
import re
import tomllib
import typing
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

_TABLE_LINE = re.compile(r"\s*\[+\s*([^\]]+?)\s*\]+")
_KEY_LINE = re.compile(r"""\s*["']?([A-Za-z0-9_.-]+)["']?\s*=""")
_ERROR_LINE = re.compile(r"at line (\d+)")
# Error messages leave out the values of these keys; otherwise secrets would be printed.
_SECRET_KEYS = frozenset({"peer_key"})


class Unknown(enum.Enum):
    """Marks the value of an unknown table or key in a `TableError`."""

    UNKNOWN = "unknown"


UNKNOWN = Unknown.UNKNOWN


class TableError(Exception):
    """One error of a file.

    Attributes:
        table: Name of the table, such as ``store``; empty for the whole file.
        key: Name of the key; empty when the error is about the table.
        value: The value in the file; None when it is missing, UNKNOWN for an unknown name.
        expected: Description of the accepted values.
        line: Line number in the file, counted from 1, or None if it could not be determined.
        suggestion: Most similar known name for an unknown table or key, or None.
    """

    def __init__(
        self,
        table: str,
        key: str,
        value: object,
        expected: str,
        *,
        line: int | None = None,
        suggestion: str | None = None,
    ) -> None:
        super().__init__(table, key, value, expected)
        self.table = table
        self.key = key
        self.value = value
        self.expected = expected
        self.line = line
        self.suggestion = suggestion

    def __str__(self) -> str:
        """Return the error as one line, without the name of the file."""
        location = ".".join(part for part in (self.table, self.key) if part) or "file"
        line = f"line {self.line}: " if self.line else ""
        hint = f"; did you mean {self.suggestion!r}?" if self.suggestion else ""
        return f"{line}{location}: {self._describe_value()}, expected {self.expected}{hint}"

    def _describe_value(self) -> str:
        if self.value is None:
            return "is missing"
        if self.value is UNKNOWN:
            return "is unknown"
        if self.key in _SECRET_KEYS:
            return "has an unsuitable value"
        return f"is {self.value!r}"


@attrs.frozen
class LineNumbers:
    """Line numbers of the tables and keys of a TOML text."""

    _numbers: Mapping[tuple[str, str], int]

    @classmethod
    def scan(cls, text: str) -> "LineNumbers":
        """Return the line numbers that a line-by-line scan of a text finds.

        Spellings that the patterns do not match, such as quoted keys with spaces or keys of
        inline tables, have no line number.
        """
        numbers: dict[tuple[str, str], int] = {}
        table = ""
        for number, line in enumerate(text.splitlines(), start=1):
            if header := _TABLE_LINE.match(line):
                table = header[1].replace('"', "")
                numbers.setdefault((table, ""), number)
            elif key := _KEY_LINE.match(line):
                numbers.setdefault((table, key[1]), number)
        return cls(numbers)

    def find(self, table: str, key: str = "") -> int | None:
        """Return the line number of a key, else of its table, or None if neither is known."""
        return self._numbers.get((table, key)) or self._numbers.get((table, ""))


def parse(text: str, error_type: type[TableError] = TableError) -> dict[str, Any]:
    """Parse a TOML text.

    Args:
        text: The text.
        error_type: Class of the error to raise.

    Raises:
        TableError: The text is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = _ERROR_LINE.search(str(error))
        number = int(line[1]) if line else None
        raise error_type("", "", str(error), "valid TOML", line=number) from error
    except RecursionError as error:
        raise error_type("", "", "nested too deeply", "valid TOML") from error


class Reader:
    """Builds attrs values from tables and collects the errors of all of them.

    Args:
        line_numbers: Line numbers of the tables and keys.
        error_type: Class of the collected errors.
    """

    def __init__(self, line_numbers: LineNumbers, error_type: type[TableError]) -> None:
        self._line_numbers = line_numbers
        self._error_type = error_type
        self._errors: list[TableError] = []

    @property
    def errors(self) -> tuple[TableError, ...]:
        """Return the errors found so far, by line; those without a line come first."""
        return tuple(sorted(self._errors, key=lambda error: error.line or 0))

    def read(self, kind: type[Any], table: str, content: Any, **fixed: Any) -> Any:
        """Return the value of one table, or None if the table has errors.

        Args:
            kind: attrs class whose fields carry `checks.Check` validators.
            table: Name of the table, for messages.
            content: The table as parsed from the file.
            fixed: Values of fields that the table does not hold, such as its own name.
        """
        if not isinstance(content, dict):
            self.report(table, "", content, "a table")
            return None
        error_count = len(self._errors)
        fields = {f.name: f for f in attrs.fields(kind) if f.name not in fixed}
        self._check_unknown(table, content, fields)
        for field in fields.values():
            self._check_field(table, field, content)
        if len(self._errors) > error_count:
            return None
        return kind(**content, **fixed)

    def report(
        self, table: str, key: str, value: object, expected: str, suggestion: str | None = None
    ) -> None:
        """Record one error."""
        line = self._line_numbers.find(table, key)
        self._errors.append(
            self._error_type(table, key, value, expected, line=line, suggestion=suggestion)
        )

    def report_unknown_tables(
        self, content: Mapping[str, Any], known: typing.Iterable[str]
    ) -> None:
        """Record an error for each unknown table or top-level key."""
        names = tuple(known)
        for name in content:
            if name not in names:
                self.report_unknown(name, "", names)

    def report_unknown(self, table: str, key: str, known: typing.Iterable[str]) -> None:
        """Record an unknown key, or an unknown table when ``key`` is empty."""
        names = sorted(known)
        matches = difflib.get_close_matches(key or table, names, n=1, cutoff=0.5)
        expected = "one of " + ", ".join(names)
        self.report(table, key, UNKNOWN, expected, matches[0] if matches else None)

    def _check_unknown(self, table: str, content: dict[str, Any], fields: Mapping) -> None:
        for key in content:
            if key not in fields:
                self.report_unknown(table, key, fields)

    def _check_field(self, table: str, field: Any, content: dict[str, Any]) -> None:
        if field.name not in content:
            if field.default is attrs.NOTHING:
                self.report(table, field.name, None, field.validator.expected)
            return
        value = content[field.name]
        for path, item, expected in _invalid_values(field, value):
            self.report(*_table_and_key(table, path), item, expected)


def _invalid_values(field: Any, value: Any) -> Iterator[tuple[tuple[str, ...], Any, str]]:
    """Yield path, value and expected values of each invalid part of one field's value."""
    check = field.validator
    if check.item_check is None or not isinstance(value, dict):
        if not check.accepts(value):
            yield (field.name,), value, check.expected
        return
    for name, item in value.items():
        if not check.item_check.accepts(item):
            yield (field.name, name), item, check.item_check.expected


def _table_and_key(table: str, path: tuple[str, ...]) -> tuple[str, str]:
    """Return the dotted name of the table that holds a value, and the value's key."""
    return ".".join((table, *path[:-1])), path[-1]
