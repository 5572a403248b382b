"""Tests of docs/REQUESTS.md: its table matches the result codes and the existing tests."""

import ast
import pathlib
import re

import pytest

from carobhook.state import codes

_TESTS = pathlib.Path(__file__).parent
_PAGE = (_TESTS.parent / "docs" / "REQUESTS.md").read_text("utf-8")
_ROW = re.compile(r"^\| (.+) \| (\d{4}) \| (\S+) \| `(.+)::(.+)::(.+)` \|$", re.MULTILINE)
_ROWS = _ROW.findall(_PAGE)


def methods_in(name: str) -> set[tuple[str, str]]:
    """Return the pairs of class name and method name in a test file."""
    tree = ast.parse((_TESTS / name).read_text("utf-8"))
    return {
        (node.name, item.name)
        for node in tree.body
        if isinstance(node, ast.ClassDef)
        for item in node.body
        if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)
    }


class TestTable:
    """Table of the points at which a request can fail."""

    @pytest.mark.parametrize("row", _ROWS, ids=lambda row: row[0])
    def test_row(self, row):
        """A row has the run status of its result code, and names a test that exists."""
        _, number, run, file, class_name, method = row
        code = next(code for code in codes.Code if code.number == int(number))
        assert code.run.value == run
        assert (class_name, method) in methods_in(file)

    def test_every_code_of_a_request_has_a_row(self):
        """The table lists exactly the result codes from 1001 to 1999."""
        listed = {int(row[1]) for row in _ROWS}
        expected = {code.number for code in codes.Code if 1000 < code.number < 2000}
        assert listed == expected
