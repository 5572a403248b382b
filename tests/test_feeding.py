"""Tests of carobhook.coordination.feeding."""

import random

from twisted.internet import task

import store_access
from carobhook.coordination import catalog, feeding, steering
from carobhook.platform import names
from carobhook.state import ids
from carobhook.transport import store_follow

OWN, OTHER, THIRD = ids.InstanceId("own"), ids.InstanceId("other"), ids.InstanceId("third")
RELAYS = [OWN, OTHER]


class TestStart:
    """How an instance that knows nothing begins."""

    def test_relay_waits_only_to_hear_others(self):
        """With nobody ready, a relay follows the store as soon as it could have heard one."""
        choice = feeding.SourceChoice(OWN)
        assert not choice.decide([], RELAYS, False, 5.0).direct
        assert choice.decide([], RELAYS, False, 5.35).direct

    def test_others_wait_for_a_relay(self):
        """A fleet that starts at once does not list the store from every machine."""
        choice = feeding.SourceChoice(OWN)
        assert not choice.decide([], [OTHER], False, 5.0).direct
        assert not choice.decide([], [OTHER], False, 7.0).direct
        step = choice.decide([OTHER], [OTHER], False, 7.1)
        assert (step.direct, step.ask) == (True, OTHER)

    def test_ready_instance_is_asked_first(self):
        """A restarted instance takes what it needs from another, else from the store."""
        choice = feeding.SourceChoice(OWN)
        step = choice.decide([OTHER], RELAYS, False, 5.0)
        assert (step.direct, step.ask) == (False, OTHER)
        assert not choice.decide([OTHER], RELAYS, False, 5.9).direct
        assert choice.decide([OTHER], RELAYS, False, 6.0).direct

    def test_nobody_waits_for_ever(self):
        """Without any relay, each instance follows the store by itself."""
        choice = feeding.SourceChoice(OWN)
        choice.decide([], [OTHER], False, 5.0)
        assert choice.decide([], [OTHER], False, 7.5).direct


class TestSourceChoice:
    """From whom an instance learns the store's changes."""

    def test_alone_or_first_it_follows_the_store(self):
        """Without another candidate, or as the first one, it watches by itself."""
        choice = feeding.SourceChoice(OWN)
        assert choice.decide([], RELAYS, True, 0.0).direct
        assert choice.decide([OWN, OTHER], RELAYS, True, 0.0).direct

    def test_it_watches_until_the_other_proves_itself(self):
        """A feed is asked for, and used once it is proved to be fresh."""
        choice = feeding.SourceChoice(OWN)
        step = choice.decide([OTHER], RELAYS, True, 0.0)
        assert step.direct
        assert step.ask == OTHER
        choice.told_fresh(OTHER, True, 0.1)
        assert not choice.decide([OTHER], RELAYS, True, 0.2).direct

    def test_proofs_that_stop_are_noticed_within_two_seconds(self):
        """Silence of the source, or a gap in what it told, leads back to the store."""
        choice = feeding.SourceChoice(OWN)
        choice.told_fresh(OTHER, True, 0.0)
        assert not choice.decide([OTHER], RELAYS, True, 0.9).direct
        assert choice.decide([OTHER], RELAYS, True, 1.5).direct
        choice.told_fresh(OTHER, True, 2.0)
        choice.told_fresh(OTHER, False, 2.1)
        assert choice.decide([OTHER], RELAYS, True, 2.2).direct

    def test_a_new_source_must_prove_itself(self):
        """The proofs of the former source count for nothing."""
        choice = feeding.SourceChoice(OWN)
        choice.told_fresh(OTHER, True, 0.0)
        assert choice.decide([THIRD], RELAYS, True, 0.1).direct


class TestSubscribers:
    """Who is told."""

    def test_proofs_are_sent_at_their_interval(self):
        """A proof goes to every subscriber, not more often than needed."""
        held = feeding.Subscribers()
        held.add(OTHER)
        assert held.due(10.0) == [OTHER]
        assert held.due(10.1) == []
        assert held.due(10.4) == [OTHER]
        held.remove(OTHER)
        assert held.names == []


class Access(store_access.StoreAccess):
    """The store as `platform.store` shows it, which watches one kind at a time."""

    def __init__(self, engine, clock):
        super().__init__(engine, clock)
        self.calls = 0

    @property
    def answered_at(self):
        """Return the present, as every call is answered."""
        return self.clock.seconds()

    async def list(self, kind):
        """Count and list."""
        self.calls += 1
        return await super().list(kind)

    async def watch(self, kinds, since, wait_s):
        """Count and watch."""
        self.calls += 1
        return await super().watch(kinds, since, wait_s)


class TestFeed:
    """One instance follows the store, and another follows it."""

    def setup_method(self):
        """Let the second know all that the first does."""
        self.clock = task.Clock()
        engine = store_access.create_access(self.clock).engine
        self.access = {name: Access(engine, self.clock) for name in (OWN, OTHER)}
        self.engine = engine
        self.known = {name: catalog.Catalog() for name in (OWN, OTHER)}
        self.follows = {name: self.follow(name) for name in (OWN, OTHER)}
        for one in self.follows.values():
            one.start()
        self.run(3.0)

    def follow(self, name):
        """Return what follows the store for an instance; OTHER is the relay."""

        def send(to, message):
            self.follows[to].received(name, message)
            return True

        return store_follow.StoreFollow(
            self.clock,
            self.access[name],
            self.known[name],
            steering.Steering({}),
            random.Random(1),
            lambda: None,
            store_follow.FeedPort(name, lambda: [OTHER], lambda: [OTHER], send),
        )

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            for one in self.follows.values():
                one.tick()

    def test_follower_makes_no_calls_whatever_changes(self):
        """Changes of one kind while another kind's watch goes on leave no gap."""
        assert self.follows[OTHER].direct and not self.follows[OWN].direct
        before = self.access[OWN].calls
        for number in range(12):
            spec = {"Address": "a:1", "Info": {"Service": "svc", "Zone": "z", "Slots": 1}}
            value = {"Metadata": {"Name": f"s{number}"}, "Spec": spec}
            value["Status"] = {"State": "ready", "ColdRemaining": "0ms"}
            self.engine.create(names.SERVERS_KIND, f"s{number}", value, self.clock.seconds())
            self.run(2.5)
            if number % 3 == 0:
                self.engine.create(
                    names.EVACUATIONS_KIND, f"z{number}", {}, self.clock.seconds()
                )
            self.run(2.5)
            assert not self.follows[OWN].direct
        assert self.access[OWN].calls == before
        for known in self.known.values():
            assert len(known.servers(self.clock.seconds())) == 12
            assert known.evacuated == {"z0", "z3", "z6", "z9"}

    def test_follower_goes_on_by_itself_when_the_relay_loses_the_store(self):
        """Without proofs it watches the store within two seconds."""
        self.access[OTHER].down = True
        stamp = self.clock.seconds()
        type(self.access[OTHER]).answered_at = property(
            lambda access: stamp if access.down else access.clock.seconds()
        )
        self.run(3.0)
        assert self.follows[OWN].direct
