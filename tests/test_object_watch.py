"""Tests of carobhook.coordination.object_watch."""

import random

from twisted.internet import task

import store_access
from carobhook.coordination import object_watch, objects


class TestObjectWatcher:
    """Listings, changes and failures of the store."""

    def setup_method(self):
        """Create a store that keeps three events and has one object."""
        self.clock = task.Clock()
        self.access = store_access.create_access(self.clock, kept_events=3)
        self.engine = self.access.engine
        self.received: list[object_watch.Update] = []
        self.engine.create("k", "a", 1, 0.0)

    def watch(self) -> object_watch.ObjectWatcher:
        """Start and return a watcher of kinds ``k`` and ``l``."""
        watcher = object_watch.ObjectWatcher(
            self.access,
            self.clock,
            random.Random(0),
            ["k", "l"],
            self.received.append,
        )
        watcher.start()
        return watcher

    def pop_received(self) -> list[object]:
        """Return summaries of the updates received since the last call."""
        updates, self.received[:] = list(self.received), []
        return [part for update in updates for part in _summarize(update)]

    def test_listing_is_followed_by_changes(self):
        """The handler gets all objects of each kind once, then each change."""
        self.watch()
        first = self.pop_received()
        self.engine.create("l", "b", 2, 0.0)
        self.engine.delete("k", "a", 1, 0.0)
        self.clock.advance(20.0)

        assert first == [("k", ["a"]), ("l", [])]
        assert self.pop_received() == [("l", "b", 2), ("k", "a", None)]

    def test_watch_resumes_after_an_outage_without_loss_or_repeats(self):
        """After an outage the watch resumes at the revision that it had reached."""
        self.watch()
        self.engine.create("k", "b", 2, 0.0)
        self.pop_received()
        self.access.down = True
        self.engine.create("k", "c", 3, 0.0)
        self.clock.pump([0.5] * 10)
        interrupted = self.pop_received()
        self.access.down = False
        self.clock.advance(6.0)

        assert set(interrupted) == {objects.UnavailableError}
        assert 3 <= len(interrupted) <= 8
        assert self.pop_received() == [("k", "c", 3)]

    def test_expired_events_lead_to_a_new_listing(self):
        """All kinds are listed again if the store no longer keeps the events of an outage."""
        self.watch()
        self.pop_received()
        self.access.down = True
        for index in range(5):
            self.engine.create("l", f"n{index}", index, 0.0)
        self.pop_received()
        self.access.down = False
        self.clock.advance(6.0)

        assert self.pop_received()[-2:] == [("k", ["a"]), ("l", [f"n{i}" for i in range(5)])]

    def test_renewal_ends_calls_and_waits_that_began_before(self):
        """The next call is made at once, also if the watch waits after a failure."""
        watcher = self.watch()
        self.pop_received()
        self.access.silence_watches()
        self.engine.create("k", "b", 2, 0.0)
        self.clock.advance(1.0)
        assert not watcher.renew(0.0)
        assert self.pop_received() == []
        assert watcher.renew(0.5)
        assert self.pop_received() == [("k", "b", 2)]
        self.access.down = True
        self.access.cut_watches()
        self.engine.create("k", "c", 3, 0.0)
        assert self.pop_received() == [objects.UnavailableError]
        self.access.down = False
        assert watcher.renew(2.0)
        assert self.pop_received() == [("k", "c", 3)]

    def test_renewal_ends_a_wait_that_began_after_the_return(self):
        """A call from before the store's return failed while its first answer was under way."""
        watcher = self.watch()
        self.pop_received()
        self.access.down = True
        self.access.cut_watches()
        self.access.down = False
        self.engine.create("k", "b", 2, 0.0)
        assert self.pop_received() == [objects.UnavailableError]
        assert watcher.renew(-1.0)
        assert self.pop_received() == [("k", "b", 2)]

    def test_stop_after_a_renewal_stops(self):
        """A renewal does not make the watch survive the stop that follows it."""
        watcher = self.watch()
        self.clock.advance(1.0)
        watcher.renew(0.5)
        watcher.stop()
        assert not watcher.renew(2.0)
        assert not self.clock.getDelayedCalls()

    def test_stop_cancels_all_timers(self):
        """A stopped watcher has no timers and passes on no changes."""
        watcher = self.watch()
        self.pop_received()

        watcher.stop()
        self.engine.create("k", "b", 2, 0.0)

        assert self.pop_received() == []
        assert not self.clock.getDelayedCalls()


def _summarize(update: object_watch.Update) -> list[object]:
    if isinstance(update, object_watch.Snapshot):
        return [(kind, [i.name for i in items]) for kind, items in update.items.items()]
    if isinstance(update, object_watch.Changes):
        return [(event.kind, event.name, event.value) for event in update.events]
    if isinstance(update, object_watch.Unchanged):
        return []
    return [type(update.error)]
