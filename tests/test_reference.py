"""Tests of carobhook.reference: the pages in docs are up to date."""

import pathlib

import pytest

from carobhook import reference

_DOCS = pathlib.Path(__file__).parent.parent / "docs"


class TestPages:
    """Pages generated from the code."""

    @pytest.mark.parametrize("name", sorted(reference.PAGES))
    def test_page_in_docs_is_up_to_date(self, name):
        """A page in docs is equal to the generated one; `make docs` updates it."""
        assert (_DOCS / name).read_text("utf-8") == reference.PAGES[name]()
