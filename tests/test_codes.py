"""Tests of carobhook.state.codes."""

from carobhook.state import codes


class TestCode:
    """The result codes."""

    def test_numbers_are_unique(self):
        """No two codes share a number."""
        numbers = [code.number for code in codes.Code]

        assert len(numbers) == len(set(numbers))
