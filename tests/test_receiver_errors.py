"""Tests that an error which a receiver raises once does not end the task that called it."""

import random

from twisted.internet import task, testing

import store_access
import test_entry
import test_store_feed
from carobhook import entry_settings
from carobhook.coordination import catalog, steering
from carobhook.platform import names
from carobhook.transport import entry_daemon, follow_options, store_sync, supervision

OWN, OTHER = test_store_feed.OWN, test_store_feed.OTHER
PROPAGATION_S = 2.5


def server_value(name="s", state="ready"):
    """Return the object of a server in the platform's format."""
    return {
        "Metadata": {"Name": name},
        "Spec": {"Address": "s:1", "Info": {"Service": "svc", "Zone": "a-1", "Slots": 1}},
        "Status": {"State": state, "ColdRemaining": "0ms"},
    }


def config_value(version, homes):
    """Return a configuration with one route that has homes."""
    route = {
        "Name": "r",
        "Host": "shop.example",
        "PathPrefix": "/a/",
        "Kind": "safe",
        "Timeout": "2s",
        "TargetLatency": "1s",
        "Service": "svc",
        "HomeRegions": homes,
    }
    limits = {
        "MaxHeaderBytes": 1024,
        "MaxBodyBytes": 1024,
        "HeaderTimeout": "1s",
        "IdleTimeout": "5s",
    }
    service = {"Name": "svc", "HealthPath": "/health"}
    return {
        "ConfigVersion": f"{version:08x}",
        "Routes": [route],
        "Services": [service],
        "Limits": limits,
    }


class TestReceiverErrors:
    """A change after the one whose receiver failed must come into force like any other."""

    def setup_method(self):
        """Start an instance that follows the store itself, with a server and a config."""
        self.clock = task.Clock()
        engine = store_access.create_access(self.clock).engine
        self.access = test_store_feed.Access(engine, self.clock)
        self.known = catalog.Catalog()
        self.failures = 0
        self.server = engine.create(names.SERVERS_KIND, "s", server_value(), 0.0)
        self.config = engine.create(
            names.CONFIG_KIND, names.CONFIG_NAME, config_value(1, []), 0.0
        )
        self.sync = store_sync.StoreSync(
            self.clock,
            self.access,
            self.known,
            steering.Steering({}),
            random.Random(1),
            self.on_change,
            follow_options.FeedPeers(
                OWN, lambda: [], lambda: [OWN], lambda: [], lambda to, message: True
            ),
            supervision.Supervisor(self.clock),
            test_store_feed.FOLLOW_TIMES,
            store_access.Marks,
        )
        self.sync.start()
        self.run(3.0)

    def on_change(self):
        """Raise an error while there are failures left."""
        if self.failures:
            self.failures -= 1
            raise ValueError("list.remove(x): x not in list")

    def run(self, seconds):
        """Simulate some seconds."""
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.sync.tick()

    def fail_once(self, kind):
        """Change an object of a kind, and raise an error in the receiver of the change."""
        now = self.clock.seconds()
        self.failures = 1
        if kind == names.CONFIG_KIND:
            self.config = self.access.engine.update(
                kind, names.CONFIG_NAME, config_value(2, []), self.config, now
            )
        else:
            self.access.engine.create(kind, "other", server_value("other"), now)
        self.run(PROPAGATION_S)
        assert self.failures == 0

    def test_next_drain_comes_into_force(self):
        """DRAIN: a server that says later that it leaves gets no more requests."""
        self.fail_once(names.SERVERS_KIND)
        assert self.known.is_usable("s")
        self.access.engine.update(
            names.SERVERS_KIND,
            "s",
            server_value(state="draining"),
            self.server,
            self.clock.seconds(),
        )
        self.run(PROPAGATION_S)
        assert not self.known.is_usable("s")

    def test_next_evacuation_comes_into_force(self):
        """EVAC: a failure domain that is evacuated later gets no more requests."""
        self.fail_once(names.EVACUATIONS_KIND)
        self.access.engine.create(names.EVACUATIONS_KIND, "a-1", {}, self.clock.seconds())
        self.run(PROPAGATION_S)
        assert not self.known.is_usable("s")

    def test_homes_that_are_added_next_come_into_force(self):
        """HOME: the next configuration gives the route homes."""
        self.fail_once(names.CONFIG_KIND)
        self.access.engine.update(
            names.CONFIG_KIND,
            names.CONFIG_NAME,
            config_value(3, ["south"]),
            self.config,
            self.clock.seconds(),
        )
        self.run(PROPAGATION_S)
        assert self.known.config.match("shop.example", "/a/x").homes == {"south"}


class TestFollower(test_store_feed.FeedPair):
    """An instance follows OTHER, whose receiver of configurations has failed once."""

    def setup_method(self):
        """Start both, until the second has all objects from the first."""
        self.clock = task.Clock()
        engine = store_access.create_access(self.clock).engine
        self.access = {
            name: test_store_feed.Access(engine, self.clock) for name in (OWN, OTHER)
        }
        self.known = {name: catalog.Catalog() for name in (OWN, OTHER)}
        self.orders = {name: steering.Steering({}) for name in (OWN, OTHER)}
        self.failures = 0
        self.sync_by_name = {name: self.create_sync(name) for name in (OWN, OTHER)}
        self.version = engine.create(
            names.CONFIG_KIND, names.CONFIG_NAME, config_value(1, []), 0.0
        )
        for follower in self.sync_by_name.values():
            follower.start()
        self.run(3.0)

    def handle_change(self, name):
        """Raise an error at OTHER while there are failures left."""
        if name == OTHER and self.failures:
            self.failures -= 1
            raise ValueError("list.remove(x): x not in list")

    def put_config(self, version, homes):
        """Write a configuration, and let it come into force."""
        self.version = self.access[OTHER].engine.update(
            names.CONFIG_KIND,
            names.CONFIG_NAME,
            config_value(version, homes),
            self.version,
            self.clock.seconds(),
        )
        self.run(PROPAGATION_S)

    def test_follower_gets_the_configuration_after_the_error(self):
        """HOME, CONFIG: the follower must not take an old copy for the present one."""
        assert self.sync_by_name[OTHER].is_direct and not self.sync_by_name[OWN].is_direct
        self.failures = 1
        self.put_config(2, [])
        assert self.failures == 0
        self.put_config(3, ["south"])
        assert self.known[OWN].config.version == 3


class TestPeriodicTasks:
    """Heartbeats, the tick of the dispatchers and the choice of a source are such tasks."""

    def test_task_that_failed_once_is_run_again(self):
        """DRAIN, EVAC, CONFIG: without ticks, a follower never leaves a source that is gone."""
        keys = ("http", "readiness", "directory", "peers", "metrics", "operators", "store")
        ports = {key: number for number, key in enumerate(keys, 8001)}
        settings = entry_settings.loads(
            test_entry.SETTINGS.format(
                name="one", seeds="", operator_hash="0" * 64, reader_hash="0" * 64, **ports
            )
        )
        reactor = testing.MemoryReactorClock()
        daemon = entry_daemon.EntryDaemon(settings, reactor, random.Random(1))
        calls = []

        def call():
            calls.append(reactor.seconds())
            if len(calls) == 3:
                raise ValueError("list.remove(x): x not in list")

        daemon._supervisor.start_loop("call", call, 0.1)
        reactor.pump([0.1] * 10)
        assert len(calls) >= 10
