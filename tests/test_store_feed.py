"""Tests of carobhook.coordination.store_feed."""

import collections
import functools
import random

from twisted.internet import task

import store_access
from carobhook.coordination import catalog, steering, store_feed
from carobhook.platform import names
from carobhook.protocol import feed_messages
from carobhook.state import ids
from carobhook.transport import follow_options, store_sync, supervision

OWN, OTHER, THIRD = ids.InstanceId("own"), ids.InstanceId("other"), ids.InstanceId("third")
RELAYS = [OWN, OTHER]
CONFIG_PROPAGATION_S = 2.5
FOLLOW_TIMES = follow_options.FollowTimes.within(CONFIG_PROPAGATION_S, 2.5, 5.0)
TIMES = FOLLOW_TIMES.source


class TestStart:
    """Where an instance that has no objects yet gets them from."""

    def test_relay_waits_only_for_heartbeats(self):
        """If no instance is ready, a relay follows the store after the wait for heartbeats."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        assert not selector.decide([], RELAYS, False, 5.0).direct
        assert selector.decide([], RELAYS, False, 5.35).direct

    def test_other_instances_wait_for_a_relay(self):
        """Only relays list the store when a whole fleet starts at once."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        assert not selector.decide([], [OTHER], False, 5.0).direct
        assert not selector.decide([], [OTHER], False, 7.0).direct
        decision = selector.decide([OTHER], [OTHER], False, 7.1)
        assert (decision.direct, decision.subscribe_to) == (True, OTHER)

    def test_feed_of_a_ready_instance_is_preferred(self):
        """A restarted instance waits for the feed of a ready one, then follows the store."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        decision = selector.decide([OTHER], RELAYS, False, 5.0)
        assert (decision.direct, decision.subscribe_to) == (False, OTHER)
        assert not selector.decide([OTHER], RELAYS, False, 5.9).direct
        assert selector.decide([OTHER], RELAYS, False, 6.0).direct

    def test_wait_for_a_relay_ends(self):
        """If no relay becomes ready, an instance follows the store itself."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        selector.decide([], [OTHER], False, 5.0)
        assert selector.decide([], [OTHER], False, 7.5).direct


class TestSourceSelector:
    """From which source an instance gets the store's changes."""

    def test_store_is_followed_without_candidates_or_by_the_first(self):
        """An instance follows the store if there is no candidate, or if it is the first."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        assert selector.decide([], RELAYS, True, 0.0).direct
        assert selector.decide([OWN, OTHER], RELAYS, True, 0.0).direct

    def test_store_is_followed_until_the_feed_is_fresh(self):
        """A feed replaces the store only after a progress message."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        decision = selector.decide([OTHER], RELAYS, True, 0.0)
        assert decision.direct
        assert decision.subscribe_to == OTHER
        selector.record_progress(OTHER, True, 0.1)
        assert not selector.decide([OTHER], RELAYS, True, 0.2).direct

    def test_stale_feed_is_dropped_within_two_seconds(self):
        """Without progress messages, or if changes are missing, the store is followed again."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        selector.record_progress(OTHER, True, 0.0)
        assert not selector.decide([OTHER], RELAYS, True, 0.9).direct
        assert selector.decide([OTHER], RELAYS, True, 1.5).direct
        selector.record_progress(OTHER, True, 2.0)
        selector.record_progress(OTHER, False, 2.1)
        assert selector.decide([OTHER], RELAYS, True, 2.2).direct

    def test_new_source_needs_its_own_progress_message(self):
        """Progress messages of the former source do not make another feed fresh."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        selector.record_progress(OTHER, True, 0.0)
        decision = selector.decide([THIRD], RELAYS, True, 0.1)
        assert (decision.source, decision.subscribe_to) == (OTHER, THIRD)
        assert selector.decide([THIRD], RELAYS, True, 1.1).direct
        selector.record_progress(THIRD, True, 1.2)
        assert selector.decide([THIRD], RELAYS, True, 1.3).source == THIRD

    def test_change_of_the_source_causes_no_calls(self):
        """While the former feed is fresh, an instance does not turn to the store."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        selector.record_progress(OTHER, True, 0.0)
        assert not selector.decide([OTHER], RELAYS, True, 0.1).direct
        for candidates in ([THIRD], [], [THIRD, OTHER]):
            assert not selector.decide(candidates, RELAYS, True, 0.5).direct

    def test_new_source_is_asked_at_once(self):
        """The interval between subscriptions is one of subscriptions to the same instance."""
        selector = store_feed.SourceSelector(OWN, TIMES)
        assert selector.decide([OTHER], RELAYS, True, 0.0).subscribe_to == OTHER
        assert selector.decide([THIRD], RELAYS, True, 0.1).subscribe_to == THIRD
        assert selector.decide([THIRD], RELAYS, True, 0.2).subscribe_to is None


class TestSubscribers:
    """Which instances get progress messages, and when."""

    def test_progress_messages_are_due_at_their_interval(self):
        """Every subscriber gets one progress message in each interval."""
        subscribers = store_feed.Subscribers(TIMES)
        subscribers.add(OTHER)
        assert subscribers.due(10.0) == [OTHER]
        assert subscribers.due(10.1) == []
        assert subscribers.due(10.4) == [OTHER]
        subscribers.remove(OTHER)
        assert subscribers.names == []


class Access(store_access.StoreAccess):
    """The store as `platform.store` offers it, with a count of its calls."""

    def __init__(self, engine, clock):
        super().__init__(engine, clock)
        self.calls = 0

    @property
    def answered_at(self):
        """Return the present time, as every call is answered."""
        return self.clock.seconds()

    async def list(self, kind):
        """Count the call and list."""
        self.calls += 1
        return await super().list(kind)

    async def watch(self, kinds, since, wait_s, margin_s):
        """Count the call and watch."""
        self.calls += 1
        return await super().watch(kinds, since, wait_s, margin_s)


class FeedPair:
    """Two instances on the clock of a test, of which OTHER follows the store for both."""

    @functools.cached_property
    def marks(self):
        """Return the marks of each instance, by its name."""
        return collections.defaultdict(store_access.Marks)

    def create_sync(self, name):
        """Return the `StoreSync` of an instance; OTHER is the only candidate and relay."""

        def send(to, message):
            self.sync_by_name[to].handle_message(name, message)
            return True

        return store_sync.StoreSync(
            self.clock,
            self.access[name],
            self.known[name],
            self.orders[name],
            random.Random(1),
            lambda: self.handle_change(name),
            follow_options.FeedPeers(name, lambda: [OTHER], lambda: [OTHER], lambda: [], send),
            supervision.Supervisor(self.clock),
            FOLLOW_TIMES,
            lambda: self.marks[name],
        )

    def handle_change(self, name):
        """Receive the call that an instance makes after each change; does nothing here."""

    def run(self, seconds):
        """Simulate some seconds."""
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            for follower in self.sync_by_name.values():
                follower.tick()


class StartedFeedPair(FeedPair):
    """One instance follows the store, and another subscribes to its feed."""

    def setup_method(self):
        """Start both, until the second has all objects from the first."""
        self.clock = task.Clock()
        engine = store_access.create_access(self.clock).engine
        self.access = {name: Access(engine, self.clock) for name in (OWN, OTHER)}
        self.engine = engine
        self.known = {name: catalog.Catalog() for name in (OWN, OTHER)}
        self.orders = {name: steering.Steering({}) for name in (OWN, OTHER)}
        self.sync_by_name = {name: self.create_sync(name) for name in (OWN, OTHER)}
        for follower in self.sync_by_name.values():
            follower.start()
        self.run(3.0)


class TestRequests(StartedFeedPair):
    """What a subscriber is sent when it asks again."""

    def kinds_sent(self, request):
        """Return the kinds of which OTHER sends a snapshot on a request of OWN."""
        kinds = []

        def record(sender, message):
            if isinstance(message, feed_messages.FeedSnapshot):
                kinds.append(message.kind)

        subscriber = self.sync_by_name[OWN]
        handle, subscriber.handle_message = subscriber.handle_message, record
        self.sync_by_name[OTHER].handle_message(OWN, request)
        subscriber.handle_message = handle
        return kinds

    def request(self, lacking=(), has_gap=False):
        """Return a request of an instance that lacks changes of some kinds."""
        revisions = self.sync_by_name[OTHER]._received.revisions
        held = {
            kind: revision - 1 if kind in lacking else revision
            for kind, revision in revisions.items()
        }
        era = self.engine.era
        return feed_messages.FeedRequest(True, era, tuple(held.items()), has_gap)

    def test_subscriber_is_not_sent_again_what_is_on_its_way(self):
        """It lacks the objects for as long as they are on its link."""
        assert self.kinds_sent(self.request([names.CONFIG_KIND])) == []

    def test_subscriber_that_missed_changes_is_sent_their_kinds(self):
        """The other kinds it has already."""
        kinds = self.kinds_sent(self.request([names.CONFIG_KIND], has_gap=True))
        assert kinds == [names.CONFIG_KIND]

    def test_new_subscriber_is_sent_what_it_lacks(self):
        """An instance that followed another source has nearly everything."""
        self.sync_by_name[OTHER].remove_subscriber(OWN)
        assert self.kinds_sent(self.request([names.SERVERS_KIND])) == [names.SERVERS_KIND]
        assert OWN in self.sync_by_name[OTHER]._publisher._subscribers

    def test_instance_without_a_stream_is_not_subscribed(self):
        """What it was sent is lost, so it has to be sent again when it asks again."""
        source = self.sync_by_name[OTHER]
        source.remove_subscriber(OWN)
        send, source._publisher._send = source._publisher._send, lambda name, message: False
        self.kinds_sent(self.request([names.SERVERS_KIND]))
        source._publisher._send = send
        assert self.kinds_sent(self.request([names.SERVERS_KIND])) == [names.SERVERS_KIND]

    def test_subscriber_of_an_earlier_build_is_sent_everything(self):
        """It cannot say what it has, and asks only if it lacks something."""
        assert len(self.kinds_sent(feed_messages.FeedRequest())) == 4

    def test_lost_change_is_noticed_and_sent_again(self):
        """The answer to a query comes behind all that was sent before it."""
        subscriber, lost = self.sync_by_name[OWN], []
        handle = subscriber.handle_message

        def lose_events(sender, message):
            if isinstance(message, feed_messages.FeedEvents):
                lost.append(message)
            else:
                handle(sender, message)

        subscriber.handle_message = lose_events
        self.engine.create(names.EVACUATIONS_KIND, "z", {}, self.clock.seconds())
        self.run(1.0)
        assert len(lost) == 1
        assert self.known[OWN].evacuated == {"z"}
        assert not subscriber.is_direct


class TestFeed(StartedFeedPair):
    """How long a subscriber relies on the feed."""

    def test_subscriber_makes_no_calls_when_objects_change(self):
        """The feed stays complete when objects of several kinds change in turn."""
        assert self.sync_by_name[OTHER].is_direct and not self.sync_by_name[OWN].is_direct
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
            assert not self.sync_by_name[OWN].is_direct
        assert self.access[OWN].calls == before
        for known in self.known.values():
            assert len(known.servers(self.clock.seconds())) == 12
            assert known.evacuated == {"z0", "z3", "z6", "z9"}

    def test_subscriber_follows_the_store_when_the_relay_loses_it(self):
        """Without progress messages it follows the store within three seconds."""
        self.access[OTHER].down = True
        last_answer_at = self.clock.seconds()
        type(self.access[OTHER]).answered_at = property(
            lambda access: last_answer_at if access.down else access.clock.seconds()
        )
        self.run(3.0)
        assert self.sync_by_name[OWN].is_direct
