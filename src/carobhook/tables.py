"""Reads TOML tables into attrs values and reports every fault of a file at once."""

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
_SECRET_KEYS = frozenset({"peer_key"})


class Unknown(enum.Enum):
    """Stands for the value of a table or key that is not known."""

    UNKNOWN = "unknown"


UNKNOWN = Unknown.UNKNOWN


class TableFault(Exception):  # noqa: N818 - a fault of a file, reported inside a group.
    """One fault of a file.

    Attributes:
        table: Name of the table, such as ``store``; empty for the whole file.
        key: Name of the key; empty when the fault is about the table.
        value: The value found, None when it is missing.
        expected: What was expected.
        line: Line in the file from 1, None when it is not known.
        suggestion: Nearest known name for an unknown table or key.
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
        """Return the fault as one line, without the name of the file."""
        place = ".".join(part for part in (self.table, self.key) if part) or "file"
        line = f"line {self.line}: " if self.line else ""
        hint = f"; did you mean {self.suggestion!r}?" if self.suggestion else ""
        return f"{line}{place}: {self._found()}, expected {self.expected}{hint}"

    def _found(self) -> str:
        if self.value is None:
            return "is missing"
        if self.value is UNKNOWN:
            return "is unknown"
        if self.key in _SECRET_KEYS:
            return "has an unsuitable value"
        return f"is {self.value!r}"


@attrs.frozen
class Lines:
    """Lines of a TOML text on which its tables and keys stand."""

    _numbers: Mapping[tuple[str, str], int]

    @classmethod
    def scan(cls, text: str) -> "Lines":
        """Return the lines found by a scan; unusual spellings are left out."""
        numbers: dict[tuple[str, str], int] = {}
        table = ""
        for number, line in enumerate(text.splitlines(), start=1):
            if header := _TABLE_LINE.match(line):
                table = header[1].replace('"', "")
                numbers.setdefault((table, ""), number)
            elif key := _KEY_LINE.match(line):
                numbers.setdefault((table, key[1]), number)
        return cls(numbers)

    def of(self, table: str, key: str = "") -> int | None:
        """Return the line of a key, else of its table, else None."""
        return self._numbers.get((table, key)) or self._numbers.get((table, ""))


def parse(text: str, fault_type: type[TableFault] = TableFault) -> dict[str, Any]:
    """Parse TOML.

    Args:
        text: The text.
        fault_type: Class of the fault to raise.

    Raises:
        TableFault: The text is not TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = _ERROR_LINE.search(str(error))
        number = int(line[1]) if line else None
        raise fault_type("", "", str(error), "valid TOML", line=number) from error
    except RecursionError as error:
        raise fault_type("", "", "nested too deeply", "valid TOML") from error


class Reader:
    """Builds attrs values from tables and collects the faults met on the way.

    Args:
        lines: Where the tables and keys stand.
        fault_type: Class of the faults to make.
    """

    def __init__(self, lines: Lines, fault_type: type[TableFault]) -> None:
        self._lines = lines
        self._fault_type = fault_type
        self._faults: list[TableFault] = []

    @property
    def faults(self) -> tuple[TableFault, ...]:
        """Return the faults met so far, in the order of the file where it is known."""
        return tuple(sorted(self._faults, key=lambda fault: fault.line or 0))

    def read(self, kind: type[Any], table: str, content: Any, **fixed: Any) -> Any:
        """Return the value of one table, or None when the table has faults.

        Args:
            kind: attrs class whose fields carry `checks.Check` validators.
            table: Name of the table, for reports.
            content: What the file holds there.
            fixed: Fields that do not stand in the table, such as its own name.
        """
        if not isinstance(content, dict):
            self.report(table, "", content, "a table")
            return None
        before = len(self._faults)
        fields = {f.name: f for f in attrs.fields(kind) if f.name not in fixed}
        self._check_unknown(table, content, fields)
        for field in fields.values():
            self._check_field(table, field, content)
        if len(self._faults) > before:
            return None
        return kind(**content, **fixed)

    def report(
        self, table: str, key: str, value: object, expected: str, suggestion: str | None = None
    ) -> None:
        """Note one fault."""
        line = self._lines.of(table, key)
        self._faults.append(
            self._fault_type(table, key, value, expected, line=line, suggestion=suggestion)
        )

    def report_unknown_tables(
        self, content: Mapping[str, Any], known: typing.Iterable[str]
    ) -> None:
        """Note every table or top-level key that is not known."""
        names = tuple(known)
        for name in content:
            if name not in names:
                self.report_unknown(name, "", names)

    def report_unknown(self, table: str, key: str, known: typing.Iterable[str]) -> None:
        """Note an unknown key, or an unknown table when ``key`` is empty."""
        names = sorted(known)
        near = difflib.get_close_matches(key or table, names, n=1, cutoff=0.5)
        expected = "one of " + ", ".join(names)
        self.report(table, key, UNKNOWN, expected, near[0] if near else None)

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
        for key, item, expected in _wrong(field, value):
            self.report(*_place(table, key), item, expected)


def _wrong(field: Any, value: Any) -> Iterator[tuple[tuple[str, ...], Any, str]]:
    """Yield path, value and expectation of each wrong part of one field's value."""
    check = field.validator
    if check.each is None or not isinstance(value, dict):
        if not check.accepts(value):
            yield (field.name,), value, check.expected
        return
    for name, item in value.items():
        if not check.each.accepts(item):
            yield (field.name, name), item, check.each.expected


def _place(table: str, path: tuple[str, ...]) -> tuple[str, str]:
    return ".".join((table, *path[:-1])), path[-1]
