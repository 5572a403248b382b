"""Tests of carobhook.coordination.catalog."""

import attrs

from carobhook.coordination import catalog
from carobhook.state import ids, routing, servers

ENTRY = servers.ServerEntry(
    ids.Server("i-1"),
    ids.Service("s"),
    ids.FailureDomain("north-a"),
    "10.0.0.1:80",
    4,
    servers.ServerState.READY,
    0.0,
    1000,
)


def usable_names(catalog_, now):
    """Return the names of the servers that may get requests."""
    return [view.entry.name for view in catalog_.servers(now)]


class TestServers:
    """Which servers may get requests."""

    def test_draining_and_evacuated_servers_are_excluded(self):
        """A server that is draining or in an evacuated failure domain gets no requests."""
        catalog_ = catalog.Catalog()
        catalog_.put(ENTRY, 0.0)
        assert usable_names(catalog_, 0.0) == ["i-1"]
        catalog_.set_evacuated(frozenset({ids.FailureDomain("north-a")}))
        assert usable_names(catalog_, 0.0) == []
        catalog_.set_evacuated(frozenset())
        catalog_.put(attrs.evolve(ENTRY, state=servers.ServerState.DRAINING), 1.0)
        assert usable_names(catalog_, 1.0) == []

    def test_removed_server_is_excluded_at_once(self):
        """While the store answers, a removed entry means that the server was removed."""
        catalog_ = catalog.Catalog()
        catalog_.put(ENTRY, 0.0)
        catalog_.remove(ENTRY.name, 5.0)
        assert usable_names(catalog_, 5.0) == []

    def test_entry_that_expired_in_an_outage_is_used_for_two_seconds(self):
        """A server that does not register again within the grace period is removed."""
        catalog_ = catalog.Catalog()
        catalog_.put(ENTRY, 0.0)
        catalog_.record_outage(1.0)
        catalog_.record_answer(6.0)
        catalog_.retain(frozenset(), 6.0)
        assert usable_names(catalog_, 7.9) == ["i-1"]
        assert usable_names(catalog_, 8.1) == []

    def test_expired_entry_that_is_registered_again_stays(self):
        """A new entry of the server ends its grace period."""
        catalog_ = catalog.Catalog()
        catalog_.put(ENTRY, 0.0)
        catalog_.record_outage(1.0)
        catalog_.record_answer(6.0)
        catalog_.retain(frozenset(), 6.0)
        catalog_.put(ENTRY, 7.0)
        assert usable_names(catalog_, 9.0) == ["i-1"]

    def test_draining_server_is_not_kept_after_an_outage(self):
        """A draining server removes its entry on purpose, so it gets no grace period."""
        catalog_ = catalog.Catalog()
        catalog_.put(attrs.evolve(ENTRY, state=servers.ServerState.DRAINING), 0.0)
        catalog_.record_outage(1.0)
        catalog_.record_answer(6.0)
        catalog_.retain(frozenset(), 6.0)
        catalog_.put(attrs.evolve(ENTRY, state=servers.ServerState.READY, name="i-2"), 6.0)
        assert usable_names(catalog_, 6.1) == ["i-2"]

    def test_short_outage_gives_no_grace_period(self):
        """After an outage of less than a second, a missing entry was removed on purpose."""
        catalog_ = catalog.Catalog()
        catalog_.put(ENTRY, 0.0)
        catalog_.record_outage(1.0)
        catalog_.record_answer(1.3)
        catalog_.remove(ENTRY.name, 1.4)
        assert usable_names(catalog_, 1.4) == []

    def test_cold_time_counts_from_the_first_entry(self):
        """A change of another field does not make the server cold for longer."""
        catalog_ = catalog.Catalog()
        catalog_.put(attrs.evolve(ENTRY, cold_s=3.0), 10.0)
        catalog_.put(attrs.evolve(ENTRY, cold_s=3.0, slots=5), 12.0)
        assert catalog_.servers(12.0)[0].cold_until == 13.0


class TestConfig:
    """The version of the configuration only increases."""

    def test_older_version_is_ignored(self):
        """An older version does not replace the configuration in force."""
        catalog_ = catalog.Catalog()
        newer = routing.RoutingConfig(7, (), {})
        assert catalog_.replace_config_if_newer(newer)
        assert not catalog_.replace_config_if_newer(routing.RoutingConfig(6, (), {}))
        assert catalog_.config is newer


class TestEntryAge:
    """Which of two entries of a server is older."""

    def test_starts_count_before_reports(self):
        """A server that starts again counts its reports anew."""
        first = attrs.evolve(ENTRY, sequence=9)
        again = attrs.evolve(ENTRY, started_at_ms=2000, sequence=1)
        assert first.is_older_than(again)
        assert not again.is_older_than(first)
        assert first.is_older_than(attrs.evolve(first, sequence=10))
        assert not first.is_older_than(first)

    def test_entries_that_do_not_tell_are_not_older(self):
        """Without a number of the report, an entry counts as news."""
        assert not ENTRY.is_older_than(attrs.evolve(ENTRY, sequence=3))
        assert not attrs.evolve(ENTRY, sequence=3).is_older_than(ENTRY)
