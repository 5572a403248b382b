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
    """Return the names of the servers that may be used."""
    return [view.entry.name for view in known.servers(now)]


class TestServers:
    """Which servers may be used."""

    def test_draining_and_evacuated_servers_get_nothing(self):
        """A server that leaves, or whose failure domain is evacuated, is not used."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        assert names(known, 0.0) == ["i-1"]
        known.set_evacuated(frozenset({ids.FailureDomain("north-a")}))
        assert names(known, 0.0) == []
        known.set_evacuated(frozenset())
        known.put(attrs.evolve(ENTRY, state=servers.ServerState.DRAINING), 1.0)
        assert names(known, 1.0) == []

    def test_removed_server_is_gone_at_once(self):
        """While the store answers, a removed entry means that the server leaves."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        known.remove(ENTRY.name, 5.0)
        assert names(known, 5.0) == []

    def test_entry_that_lapsed_while_the_store_was_away_is_used_for_two_seconds(self):
        """It is back within that time, or taken as gone."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        known.store_lost(1.0)
        known.store_answered(6.0)
        known.retain(frozenset(), 6.0)
        assert names(known, 7.9) == ["i-1"]
        assert names(known, 8.1) == []

    def test_lapsed_entry_that_comes_back_stays(self):
        """The server's own heartbeat ends the doubt."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        known.store_lost(1.0)
        known.store_answered(6.0)
        known.retain(frozenset(), 6.0)
        known.put(ENTRY, 7.0)
        assert names(known, 9.0) == ["i-1"]

    def test_draining_server_is_not_kept_after_an_outage(self):
        """Its removal was announced, so it did not lapse."""
        known = catalog.Catalog()
        known.put(attrs.evolve(ENTRY, state=servers.ServerState.DRAINING), 0.0)
        known.store_lost(1.0)
        known.store_answered(6.0)
        known.retain(frozenset(), 6.0)
        known.put(attrs.evolve(ENTRY, state=servers.ServerState.READY, name="i-2"), 6.0)
        assert names(known, 6.1) == ["i-2"]

    def test_short_loss_lets_nothing_lapse(self):
        """After a moment without an answer, a removed entry is a removal."""
        known = catalog.Catalog()
        known.put(ENTRY, 0.0)
        known.store_lost(1.0)
        known.store_answered(1.3)
        known.remove(ENTRY.name, 1.4)
        assert names(known, 1.4) == []

    def test_cold_time_counts_from_the_entry(self):
        """A change of another field does not make the server cold for longer."""
        known = catalog.Catalog()
        known.put(attrs.evolve(ENTRY, cold_s=3.0), 10.0)
        known.put(attrs.evolve(ENTRY, cold_s=3.0, slots=5), 12.0)
        assert known.servers(12.0)[0].cold_until == 13.0


class TestConfig:
    """Versions only rise."""

    def test_older_version_is_not_taken(self):
        """What was in force stays when an older version is heard."""
        known = catalog.Catalog()
        newer = routing.RoutingConfig(7, (), {})
        assert known.offer_config(newer)
        assert not known.offer_config(routing.RoutingConfig(6, (), {}))
        assert known.config is newer
