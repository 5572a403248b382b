"""Tests of carobhook.protocol.language."""

import pathlib
import re
import typing

import pytest

from carobhook.protocol import language
from carobhook.state import orders, statements

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "LANGUAGE.md"
EXAMPLES = re.findall(r"\| `([^`|]+)` \|$", _PAGE.read_text("utf-8"), re.MULTILINE)


class TestReferencePage:
    """The examples in the reference page of the language."""

    @pytest.mark.parametrize("text", EXAMPLES)
    def test_every_example_parses(self, text):
        """Each example parses, and so does the dry run of each command."""
        statement = language.parse(text)
        if isinstance(statement, statements.Command):
            assert language.parse(f"plan {text}") == statements.DryRun(statement)

    def test_every_statement_has_an_example(self):
        """Each type of statement and each table of ``show`` has an example."""
        parsed = [language.parse(text) for text in EXAMPLES]
        expected = {*typing.get_args(statements.Statement)}
        assert {type(statement) for statement in parsed} == expected
        shown = {s.subject for s in parsed if isinstance(s, statements.Show)}
        assert shown == set(statements.Subject)


class TestParse:
    """Parsing of valid statements."""

    def test_shift_with_all_optional_clauses(self):
        """A shift keeps its share, emergency cap and rank."""
        text = "shift licences from addis to kigali by 20% emergency cap 5% per 10s for rank 2"
        cap = statements.CapOverride(orders.Cap(0.05, 10.0), emergency=True)
        assert language.parse(text) == statements.Shift(
            "licences", "addis", "kigali", 0.2, cap, 2
        )

    def test_scheduled_drain(self):
        """Times of day become seconds since midnight."""
        assert language.parse("drain region addis at 14:00 until 18:30") == statements.Drain(
            orders.DrainKind.REGION, "addis", None, 14 * 3600, 18 * 3600 + 1800
        )

    def test_keywords_are_valid_names(self):
        """Services and regions may have names that are also keywords."""
        parsed = language.parse("shift show from region to server by 1%")
        assert (parsed.service, parsed.source, parsed.target) == ("show", "region", "server")


class TestSyntaxErrors:
    """Texts that do not parse."""

    @pytest.mark.parametrize(
        ("text", "column", "word", "message_part"),
        [
            ("shfit licences from a to b by 1%", 1, "shfit", "did you mean 'shift'"),
            ("show regoins", 6, "regoins", "did you mean 'regions'"),
            ("shift a form b to c by 1%", 9, "form", "expected from"),
            ("shift a from b", 15, "", "expected to"),
            ("drain region x at 25:00", 19, "25:00", "a time, such as 14:00"),
            ("set cap 500% per 1s", 9, "500", "at most 100%"),
            ("set cap 5% per 0s", 16, "0", "above 0 s"),
            ("plan show regions", 6, "show", "expected cancel or drain"),
            ("", 1, "", "the order ends too early"),
        ],
    )
    def test_error_reports_column_word_and_expectation(self, text, column, word, message_part):
        """The error has the column and the word, and its text names the expected words."""
        with pytest.raises(
            language.StatementSyntaxError, match=re.escape(message_part)
        ) as caught:
            language.parse(text)
        assert (caught.value.column, caught.value.word) == (column, word)


class TestCompletions:
    """Words that may follow an incomplete statement."""

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("drain", ("failure-domain", "region", "server")),
            ("shift licences", ("from",)),
            ("no such thing", ()),
        ],
    )
    def test_words_after_incomplete_statement(self, text, expected):
        """The valid next words are returned, and none after an invalid beginning."""
        assert language.completions(text) == expected
