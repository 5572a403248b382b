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
    """Return a settings file, a watch of it, and the list of settings that it passes on."""
    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    received = []
    return path, settings_watch.SettingsWatch(path, received.append), received


class TestSettingsWatch:
    """Changes of the settings file."""

    def test_change_is_passed_on_once(self, watched):
        """A changed text is passed on without a signal, an unchanged one not even with it."""
        path, watch, received = watched
        watch.check()
        assert received == []
        path.write_text(TEXT.replace('ttl_max = "5s"', 'ttl_max = "4s"'))
        watch.check()
        watch.check(signalled=True)
        assert [changed.bounds.ttl_max_s for changed in received] == [4.0]

    def test_faulty_or_missing_file_changes_nothing(self, watched):
        """Settings that are faulty or cannot be read are not passed on."""
        path, watch, received = watched
        path.write_text(TEXT.replace("budget_ratio = 0.2", "budget_ratio = -1"))
        watch.check(signalled=True)
        path.unlink()
        watch.check(signalled=True)
        assert received == []
