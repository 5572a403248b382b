"""After the store was restored from an older copy, what was confirmed was not in force."""

from twisted.internet import defer, task

import store_access
import test_order_commands
import test_store_feed
from carobhook.coordination import catalog, order_store, steering
from carobhook.platform import names
from carobhook.protocol import language, order_codec
from carobhook.state import orders

OWN, OTHER = test_store_feed.OWN, test_store_feed.OTHER


def config(version):
    """Return the ``Spec`` of a configuration."""
    limits = {
        "MaxHeaderBytes": 2048,
        "MaxBodyBytes": 4096,
        "HeaderTimeout": "500ms",
        "IdleTimeout": "5s",
    }
    return {
        "ConfigVersion": f"{version:08x}",
        "Routes": [],
        "Services": [
            {"Name": name, "HealthPath": "/"} for name in test_order_commands.KNOWN.services
        ],
        "Limits": limits,
    }


def server(name, state="ready", sequence=1):
    """Return the entry of a server."""
    spec = {
        "Address": "a:1",
        "Info": {"Service": "svc", "Zone": "z", "Slots": 1},
        "born": 1000,
    }
    status = {"State": state, "ColdRemaining": "0ms", "SeqNo": sequence}
    return {"Metadata": {"Name": name}, "Spec": spec, "Status": status}


class RestoredStoreCase(test_store_feed.FeedPair):
    """One instance follows the store, and another subscribes to its feed."""

    def setup_method(self):
        """Start both, until the second has all objects from the first."""
        self.clock = task.Clock()
        engine = store_access.create_access(self.clock).engine
        self.access = {
            name: test_store_feed.Access(engine, self.clock) for name in (OWN, OTHER)
        }
        self.engine = engine
        self.put(names.CONFIG_KIND, names.CONFIG_NAME, config(2))
        self.put(names.SERVERS_KIND, "s1", server("s1"))
        self.known = {name: catalog.Catalog() for name in (OWN, OTHER)}
        regions = test_order_commands.KNOWN.regions
        self.orders = {name: steering.Steering(regions) for name in (OWN, OTHER)}
        self.sync_by_name = {name: self.create_sync(name) for name in (OWN, OTHER)}
        for sync in self.sync_by_name.values():
            sync.start()
        self.run(3.0)

    def put(self, kind, name, value):
        """Write an object."""
        now = self.clock.seconds()
        found = self.engine.get(kind, name, now)
        if found is None:
            self.engine.create(kind, name, value, now)
        else:
            self.engine.update(kind, name, value, found.version, now)

    def remove(self, kind, name):
        """Delete an object."""
        now = self.clock.seconds()
        self.engine.delete(kind, name, self.engine.get(kind, name, now).version, now)

    def restore(self, saved):
        """Return the store to an older copy, which ends all calls in progress."""
        self.engine.restore(saved)
        for access in self.access.values():
            access.cut_watches()

    def usable(self, name):
        """Return the names of the servers that an instance may use."""
        return [view.entry.name for view in self.known[name].servers(self.clock.seconds())]

    @property
    def config_versions(self):
        """Return the version of the configuration in force at both instances."""
        return [known.config.version for known in self.known.values()]


class TestPosition(RestoredStoreCase):
    """How far an instance has followed the store."""

    def test_new_history_past_the_old_revision_is_not_missed(self):
        """An instance that returns late does not take new revisions for those that it has."""
        saved = self.engine.save()
        for number in range(5):
            self.put(names.EVACUATIONS_KIND, f"z{number}", {})
        self.run(1.0)
        for access in self.access.values():
            access.down = True
        self.run(1.0)
        self.restore(saved)
        self.put(names.CONFIG_KIND, names.CONFIG_NAME, config(3))
        self.put(names.SERVERS_KIND, "s2", server("s2"))
        for number in range(9):
            self.put("others", f"o{number}", {})
        self.run(1.0)
        for access in self.access.values():
            access.down = False
        self.run(4.0)
        assert self.config_versions == [3, 3]
        assert self.usable(OWN) == self.usable(OTHER) == ["s1", "s2"]

    def test_subscriber_takes_the_listing_of_the_new_era(self):
        """A snapshot with lower revisions than one's own is newer, if its era is."""
        for number in range(9):
            self.put(names.SERVERS_KIND, f"lost{number}", server(f"lost{number}"))
        saved = self.engine.save()
        for number in range(9):
            self.put(names.EVACUATIONS_KIND, f"z{number}", {})
            self.remove(names.EVACUATIONS_KIND, f"z{number}")
        self.run(1.0)
        assert not self.sync_by_name[OWN].is_direct
        self.restore(saved)
        self.put(names.CONFIG_KIND, names.CONFIG_NAME, config(3))
        for number in range(9):
            self.remove(names.SERVERS_KIND, f"lost{number}")
        self.run(6.0)
        assert self.config_versions == [3, 3]
        assert self.usable(OWN) == self.usable(OTHER) == ["s1"]


class TestOlderCopy(RestoredStoreCase):
    """What the copy says or lacks, until it is written again."""

    def test_server_that_was_draining_is_not_ready_again(self):
        """The copy's entry is older than the one that is known."""
        saved = self.engine.save()
        self.put(names.SERVERS_KIND, "s1", server("s1", "draining", 2))
        self.put(names.SERVERS_KIND, "s2", server("s2"))
        self.run(1.0)
        assert self.usable(OWN) == self.usable(OTHER) == ["s2"]
        self.restore(saved)
        self.run(1.5)
        assert self.usable(OWN) == self.usable(OTHER) == ["s2"]

    def test_server_that_had_left_does_not_come_back(self):
        """The copy still has the entry of a server that was removed."""
        self.put(names.SERVERS_KIND, "s2", server("s2"))
        saved = self.engine.save()
        self.remove(names.SERVERS_KIND, "s2")
        self.run(1.0)
        assert self.usable(OWN) == self.usable(OTHER) == ["s1"]
        self.restore(saved)
        self.run(3.0)
        assert self.usable(OWN) == self.usable(OTHER) == ["s1"]

    def test_server_that_the_copy_lacks_stays_in_use(self):
        """It registered in the lost seconds, and does so again."""
        saved = self.engine.save()
        self.put(names.SERVERS_KIND, "s2", server("s2"))
        self.run(1.0)
        self.restore(saved)
        for _ in range(15):
            self.run(0.1)
            assert self.usable(OWN) == self.usable(OTHER) == ["s1", "s2"]
        self.put(names.SERVERS_KIND, "s2", server("s2", sequence=2))
        self.run(4.0)
        assert self.usable(OWN) == self.usable(OTHER) == ["s1", "s2"]

    def test_server_whose_entry_stays_is_used_in_the_end(self):
        """The entry of a server that has ended would have expired by then."""
        self.put(names.SERVERS_KIND, "s2", server("s2"))
        saved = self.engine.save()
        self.remove(names.SERVERS_KIND, "s2")
        self.run(1.0)
        self.restore(saved)
        self.run(9.0)
        assert self.usable(OWN) == self.usable(OTHER) == ["s1", "s2"]

    def test_server_that_writes_again_is_used(self):
        """A newer entry than the one that was removed counts."""
        self.put(names.SERVERS_KIND, "s2", server("s2"))
        saved = self.engine.save()
        self.remove(names.SERVERS_KIND, "s2")
        self.run(1.0)
        self.restore(saved)
        self.run(1.0)
        self.put(names.SERVERS_KIND, "s2", server("s2", sequence=7))
        self.run(1.0)
        assert self.usable(OWN) == self.usable(OTHER) == ["s1", "s2"]

    def test_evacuation_holds_until_it_is_written_again(self):
        """The zone gets nothing in the moment in which the store lacks its evacuation."""
        saved = self.engine.save()
        self.put(names.EVACUATIONS_KIND, "z", {})
        self.run(1.0)
        assert self.usable(OWN) == self.usable(OTHER) == []
        self.restore(saved)
        for _ in range(10):
            self.run(0.1)
            assert self.usable(OWN) == self.usable(OTHER) == []
        self.put(names.EVACUATIONS_KIND, "z", {})
        self.run(5.0)
        assert self.usable(OWN) == self.usable(OTHER) == []
        self.remove(names.EVACUATIONS_KIND, "z")
        self.run(1.0)
        assert self.usable(OWN) == self.usable(OTHER) == ["s1"]

    def test_evacuation_that_is_not_written_again_ends(self):
        """It was taken back while the store was away, so nobody writes it again."""
        saved = self.engine.save()
        self.put(names.EVACUATIONS_KIND, "z", {})
        self.run(1.0)
        self.restore(saved)
        self.run(8.0)
        assert self.usable(OWN) == self.usable(OTHER) == ["s1"]

    def test_instance_that_starts_gets_the_newest_configuration(self):
        """A relay tells the configuration in force, not the older one of the copy."""
        saved = self.engine.save()
        self.put(names.CONFIG_KIND, names.CONFIG_NAME, config(3))
        self.run(1.0)
        self.restore(saved)
        self.run(2.0)
        self.known[OWN] = catalog.Catalog()
        self.sync_by_name[OWN].stop()
        self.sync_by_name[OWN] = self.create_sync(OWN)
        self.sync_by_name[OWN].start()
        self.run(2.0)
        assert self.config_versions == [3, 3]


class TestOrders(RestoredStoreCase):
    """Operators' orders, which nobody but the instances writes again."""

    def submit(self, number, text, name=OTHER):
        """Accept an order at an instance."""
        store = order_store.OrderStore(self.access[name], lambda: defer.succeed(None))
        result = defer.ensureDeferred(
            store.submit(
                language.parse(text), test_order_commands.context(f"o{number}", text=text), None
            )
        )
        return self.successful(result)

    @staticmethod
    def successful(result):
        """Return the value of a fired Deferred."""
        values = []
        result.addCallback(values.append)
        return values[0]

    def stored(self):
        """Return the orders in the store."""
        found = self.engine.get(orders.STORE_KIND, orders.STORE_NAME, self.clock.seconds())
        return order_codec.decode(found.value)

    def order_ids(self, state):
        """Return the ids of all accepted orders."""
        return [change.order for change in state.changes]

    def test_lost_orders_are_written_again(self):
        """The instances that know them restore them, for those that start later."""
        self.submit(1, "set cap 20% per 10s")
        saved = self.engine.save()
        self.submit(2, "shift svc from north to south by 10%")
        self.run(1.0)
        self.restore(saved)
        self.run(5.0)
        assert self.order_ids(self.stored()) == ["o1", "o2"]
        assert self.stored() == self.orders[OWN].in_force == self.orders[OTHER].in_force

    def test_lost_orders_are_not_written_over_newer_ones(self):
        """An instance that is far behind does not take what it lacks for lost."""
        for number in range(1, 4):
            self.submit(number, "set cap 20% per 10s")
        self.run(1.0)
        self.access[OWN].down = self.access[OTHER].down = True
        self.run(2.0)
        for access in self.access.values():
            access.down = False
        for number in range(4, 240):
            self.submit(number, "set cap 30% per 10s")
        before = self.stored()
        self.run(6.0)
        assert self.stored() == before
        assert self.orders[OWN].in_force == self.orders[OTHER].in_force == before

    def test_order_after_a_restore_is_in_force_everywhere(self):
        """An order built on the copy takes no version that another order has had."""
        self.submit(1, "set cap 20% per 10s")
        saved = self.engine.save()
        self.submit(2, "shift svc from north to south by 10%")
        self.run(1.0)
        self.restore(saved)
        self.submit(3, "shift other from north to south by 10%")
        self.run(5.0)
        assert set(self.order_ids(self.stored())) == {"o1", "o2", "o3"}
        for known in self.orders.values():
            assert known.in_force == self.stored()
            assert len(known.in_force.shifts) == 2
