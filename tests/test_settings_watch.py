"""Tests of carobhook.transport.settings_watch."""

import pytest

import test_entry
from carobhook.transport import settings_watch

TEXT = test_entry.SETTINGS.format(
    name="one",
    http=1,
    readiness=2,
    directory=3,
    peers=4,
    metrics=5,
    operators=6,
    seeds="",
    store=7,
    operator_hash="0" * 64,
    reader_hash="1" * 64,
)


@pytest.fixture
def watched(tmp_path):
    """Return a file, a watch of it, and what the watch told."""
    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    told = []
    return path, settings_watch.SettingsWatch(path, told.append), told


class TestSettingsWatch:
    """Changes of the settings file."""

    def test_change_is_told_once(self, watched):
        """A change is noticed without a signal, and only when the text differs."""
        path, watch, told = watched
        watch.look()
        assert told == []
        path.write_text(TEXT.replace('ttl_max = "5s"', 'ttl_max = "4s"'))
        watch.look()
        watch.look(signalled=True)
        assert [one.bounds.ttl_max_s for one in told] == [4.0]

    def test_faulty_or_missing_file_changes_nothing(self, watched):
        """What was in force stays when the new text cannot be used."""
        path, watch, told = watched
        path.write_text(TEXT.replace("budget_ratio = 0.2", "budget_ratio = -1"))
        watch.look(signalled=True)
        path.unlink()
        watch.look(signalled=True)
        assert told == []
