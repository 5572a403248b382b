"""Marks that an answer of the store lacked were taken for cleared, whatever its age."""

import pytest

from carobhook.coordination import mark_table, objects
from carobhook.protocol import mark_codec


def mark(name):
    """Return a mark."""
    return mark_codec.StoredMark(b"f", name, "i1", 1000.0)


def listed(*names):
    """Return the objects of a listing, by name."""
    return {name: mark(name) for name in names}


class TestMarkTable:
    """What may be concluded from a mark that a listing lacks."""

    @pytest.fixture
    def table(self):
        """Return a table that has read three marks at revision 10 of the second era."""
        table = mark_table.MarkTable()
        changes = table.apply_listing(objects.Position(2, 10), listed("a", "b", "c"))
        assert [found.name for found in changes.held] == ["a", "b", "c"]
        assert changes.deleted == ()
        return table

    @pytest.mark.parametrize("position", [objects.Position(2, 9), objects.Position(1, 99)])
    def test_older_listing_tells_nothing(self, table, position):
        """One that was under way for long, of this era or an earlier one."""
        assert table.apply_listing(position, listed("a")) == mark_table.MarkChanges()
        assert set(table.marks) == {"a", "b", "c"}
        assert table.position == objects.Position(2, 10)

    def test_later_listing_of_the_era_tells_of_deletions(self, table):
        """The store loses nothing within an era."""
        changes = table.apply_listing(objects.Position(2, 11), listed("a", "d"))
        assert [found.name for found in changes.deleted] == ["b", "c"]
        assert set(table.marks) == {"a", "d"}

    def test_listing_of_a_later_era_tells_of_no_deletion(self, table):
        """What an older copy of the store lacks was lost."""
        changes = table.apply_listing(objects.Position(3, 4), listed("a"))
        assert changes.deleted == ()
        assert set(table.marks) == {"a"}

    def test_object_that_cannot_be_read_is_no_deletion(self, table):
        """Another writer may have replaced its value."""
        changes = table.apply_listing(objects.Position(2, 11), {**listed("a", "b"), "c": None})
        assert changes.deleted == ()

    def test_events_tell_of_deletions(self, table):
        """That of a mark which was never read tells nothing."""
        events = [("d", mark("d")), ("a", None), ("other", None)]
        changes = table.apply_events(objects.Position(2, 14), events)
        assert [found.name for found in changes.held] == ["d"]
        assert [found.name for found in changes.deleted] == ["a"]
        assert table.position == objects.Position(2, 14)

    def test_nothing_is_concluded_from_what_was_forgotten(self, table):
        """It is not known how much of an answer was applied when that failed."""
        table.forget()
        changes = table.apply_listing(objects.Position(2, 12), listed("a"))
        assert changes.deleted == ()
