"""One error, or one lost answer, froze a part of an instance that went on to serve."""

import json

import pytest
from twisted.internet import reactor, task

import test_entry
import test_restored_store
import test_store_feed
from carobhook.platform import names
from carobhook.protocol import feed_messages

OWN, OTHER = test_store_feed.OWN, test_store_feed.OTHER
CONFIG_PROPAGATION_S = 2.5


class _ReceiverError(Exception):
    """Raised by the receiver of a change, as dispatching raised it."""


class TestFailingReceiver(test_restored_store.RestoredStoreCase):
    """The receiver of an instance's changes raises an error once."""

    failing: str | None = None

    def handle_change(self, name):
        """Raise an error, if this instance's receiver is to fail next."""
        if name == self.failing:
            self.failing = None
            raise _ReceiverError(name)

    def change_config(self, version):
        """Write a configuration, and wait as long as it may take to come into force."""
        self.put(names.CONFIG_KIND, names.CONFIG_NAME, test_restored_store.config(version))
        self.run(CONFIG_PROPAGATION_S)

    @pytest.mark.parametrize("instance", [OTHER, OWN], ids=["source", "subscriber"])
    def test_later_configuration_comes_into_force(self, instance):
        """After the error at the source of changes, it and its subscriber get the next one."""
        self.failing = OTHER
        self.change_config(3)
        assert self.failing is None
        self.change_config(4)
        assert self.known[instance].config.version == 4

    def test_leaving_of_a_server_comes_into_force(self):
        """After the error for a change of the servers, the next one comes into force."""
        self.failing = OTHER
        self.put(names.SERVERS_KIND, "s2", test_restored_store.server("s2"))
        self.run(CONFIG_PROPAGATION_S)
        draining = test_restored_store.server("s1", "draining", 2)
        self.put(names.SERVERS_KIND, "s1", draining)
        self.run(CONFIG_PROPAGATION_S)
        assert "s1" not in self.usable(OTHER) + self.usable(OWN)

    def test_unreadable_configuration_does_not_end_the_watch(self):
        """A configuration whose decoder raises an error that nothing expects is left out."""
        broken = test_restored_store.config(3) | {"Routes": [7]}
        self.put(names.CONFIG_KIND, names.CONFIG_NAME, broken)
        self.run(CONFIG_PROPAGATION_S)
        self.change_config(4)
        assert self.config_versions == [4, 4]


class TestLostAnswer(test_restored_store.RestoredStoreCase):
    """The answer of a watch is lost, while the source's other calls are answered."""

    @pytest.mark.parametrize("instance", [OTHER, OWN], ids=["source", "subscriber"])
    @pytest.mark.parametrize("wait_s", [0.2, 1.8])
    def test_configuration_comes_into_force_in_time(self, instance, wait_s):
        """An answer of another call is no evidence that the watch has heard all changes."""
        # After a change, the next watch begins.
        self.put(names.CONFIG_KIND, names.CONFIG_NAME, test_restored_store.config(3))
        self.run(0.5)
        assert self.config_versions == [3, 3]
        self.access[OTHER].silence_watches()
        self.run(wait_s)
        self.put(names.CONFIG_KIND, names.CONFIG_NAME, test_restored_store.config(4))
        self.run(CONFIG_PROPAGATION_S)
        assert self.known[instance].config.version == 4


class TestSourceBehind(test_restored_store.RestoredStoreCase):
    """A source knows less than its subscriber, which followed the store itself meanwhile."""

    def test_older_events_do_not_bring_a_server_back(self):
        """Events of the source that are older than the subscriber's own change nothing."""
        self.put(names.SERVERS_KIND, "s1", test_restored_store.server("s1", sequence=2))
        older = self.engine.get(names.SERVERS_KIND, "s1", self.clock.seconds())
        draining = test_restored_store.server("s1", "draining", 3)
        self.put(names.SERVERS_KIND, "s1", draining)
        self.run(1.0)
        assert self.usable(OWN) == []
        item = feed_messages.FeedObject("s1", older.version, json.dumps(older.value).encode())
        self.sync_by_name[OWN].handle_message(
            OTHER,
            feed_messages.FeedEvents(
                names.SERVERS_KIND, older.version - 1, older.version, (item,), self.engine.era
            ),
        )
        assert self.usable(OWN) == []


def raise_once(call):
    """Return a function that raises an error once when called, and then does as ``call``."""
    errors = [_ReceiverError("once")]

    def replacement(*args):
        if errors:
            raise errors.pop()
        return call(*args)

    return replacement


class TestFailingLoop(test_entry.TwoInstancesCase):
    """A periodic task of one of two instances raises an error once."""

    async def test_heartbeats_go_on(self):
        """The instances do not lose each other."""
        await self.join()
        streams = self.daemons[0]._streams
        self.patch(streams, "send_heartbeats", raise_once(streams.send_heartbeats))
        await task.deferLater(reactor, 2.0, lambda: None)
        assert self.serving_counts() == [2, 2]

    async def test_source_of_changes_is_chosen_anew(self):
        """A subscriber follows the store when its source has gone, after an error before."""
        await self.join()
        await self.wait_until(
            lambda: sorted(d._store_sync.is_direct for d in self.daemons) == [False, True]
        )
        self.daemons.sort(key=lambda daemon: daemon._store_sync.is_direct)
        subscriber = self.daemons[0]
        sync = subscriber._store_sync
        self.patch(sync, "tick", raise_once(sync.tick))
        await task.deferLater(reactor, 0.5, lambda: None)
        await self.daemons.pop()._shut_down()
        await task.deferLater(reactor, 2.0, lambda: None)
        self.store.put("config", "main", test_entry.config(5, test_entry.route()))
        await self.wait_until(
            lambda: subscriber._catalog.config.version == 5, CONFIG_PROPAGATION_S
        )
