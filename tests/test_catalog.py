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


def names(known, now):
    """Return the names of the servers that may get requests."""
    return [view.entry.name for view in known.servers(now)]


class TestServers:
    """Which servers may get requests."""

    def test_draining_and_evacuated_servers_are_excluded(self):
        """A server that is draining or in an evacuated failure domain gets no requests."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        assert names(known, 0.0) == ["i-1"]
        known.set_evacuated(frozenset({ids.FailureDomain("north-a")}))
        assert names(known, 0.0) == []
        known.set_evacuated(frozenset())
        known.put(attrs.evolve(ENTRY, state=servers.ServerState.DRAINING), 1.0)
        assert names(known, 1.0) == []

    def test_removed_server_is_excluded_at_once(self):
        """While the store answers, a removed entry means that the server was removed."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        known.remove(ENTRY.name, 5.0)
        assert names(known, 5.0) == []

    def test_entry_that_expired_in_an_outage_is_used_for_two_seconds(self):
        """A server that does not register again within the grace period is removed."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        known.record_outage(1.0)
        known.record_answer(6.0)
        known.retain(frozenset(), 6.0)
        assert names(known, 7.9) == ["i-1"]
        assert names(known, 8.1) == []

    def test_expired_entry_that_is_registered_again_stays(self):
        """A new entry of the server ends its grace period."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        known.record_outage(1.0)
        known.record_answer(6.0)
        known.retain(frozenset(), 6.0)
        known.put(ENTRY, 7.0)
        assert names(known, 9.0) == ["i-1"]

    def test_draining_server_is_not_kept_after_an_outage(self):
        """A draining server removes its entry on purpose, so it gets no grace period."""
        known = catalog.Catalog()
        known.put(attrs.evolve(ENTRY, state=servers.ServerState.DRAINING), 0.0)
        known.record_outage(1.0)
        known.record_answer(6.0)
        known.retain(frozenset(), 6.0)
        known.put(attrs.evolve(ENTRY, state=servers.ServerState.READY, name="i-2"), 6.0)
        assert names(known, 6.1) == ["i-2"]

    def test_short_outage_gives_no_grace_period(self):
        """After an outage of less than a second, a missing entry was removed on purpose."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        known.record_outage(1.0)
        known.record_answer(1.3)
        known.remove(ENTRY.name, 1.4)
        assert names(known, 1.4) == []

    def test_cold_time_counts_from_the_first_entry(self):
        """A change of another field does not make the server cold for longer."""
        known = catalog.Catalog()
        known.put(attrs.evolve(ENTRY, cold_s=3.0), 10.0)
        known.put(attrs.evolve(ENTRY, cold_s=3.0, slots=5), 12.0)
        assert known.servers(12.0)[0].cold_until == 13.0


class TestConfig:
    """The version of the configuration only increases."""

    def test_older_version_is_ignored(self):
        """An older version does not replace the configuration in force."""
        known = catalog.Catalog()
        newer = routing.RoutingConfig(7, (), {})
        assert known.replace_config_if_newer(newer)
        assert not known.replace_config_if_newer(routing.RoutingConfig(6, (), {}))
        assert known.config is newer
