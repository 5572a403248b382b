"""Tests of carobhook.coordination.following."""

import random

from twisted.internet import task

import store_access
from carobhook.coordination import following, objects


class TestFollower:
    """Lists, changes and interruptions."""

    def setup_method(self):
        """Follow two kinds of a store that keeps three events."""
        self.clock = task.Clock()
        self.access = store_access.create_access(self.clock, kept_events=3)
        self.engine = self.access.engine
        self.heard: list[following.Message] = []
        self.engine.create("k", "a", 1, 0.0)

    def follow(self) -> following.Follower:
        """Start a follower of kinds ``k`` and ``l``."""
        follower = following.Follower(
            self.access,
            self.clock,
            random.Random(0),
            ["k", "l"],
            self.heard.append,
        )
        follower.start()
        return follower

    def told(self) -> list[object]:
        """Return what was heard since the last call, shortened."""
        heard, self.heard[:] = list(self.heard), []
        return [part for message in heard for part in _parts(message)]

    def test_all_objects_then_changes(self):
        """Each kind is told whole once, then each change as it comes."""
        self.follow()
        first = self.told()
        self.engine.create("l", "b", 2, 0.0)
        self.engine.delete("k", "a", 1, 0.0)
        self.clock.advance(20.0)

        assert first == [("k", ["a"]), ("l", [])]
        assert self.told() == [("l", "b", 2), ("k", "a", None)]

    def test_an_interruption_loses_and_repeats_nothing(self):
        """After an outage the watch goes on where it was."""
        self.follow()
        self.engine.create("k", "b", 2, 0.0)
        self.told()
        self.access.down = True
        self.engine.create("k", "c", 3, 0.0)
        self.clock.pump([0.5] * 10)
        interrupted = self.told()
        self.access.down = False
        self.clock.advance(6.0)

        assert set(interrupted) == {objects.UnavailableError}
        assert 3 <= len(interrupted) <= 8
        assert self.told() == [("k", "c", 3)]

    def test_events_no_longer_kept_are_listed_again(self):
        """A follower that fell too far behind is told all kinds anew."""
        self.follow()
        self.told()
        self.access.down = True
        for index in range(5):
            self.engine.create("l", f"n{index}", index, 0.0)
        self.told()
        self.access.down = False
        self.clock.advance(6.0)

        assert self.told()[-2:] == [("k", ["a"]), ("l", [f"n{i}" for i in range(5)])]

    def test_stopping_leaves_nothing_behind(self):
        """A stopped follower has no timers and hears nothing."""
        follower = self.follow()
        self.told()

        follower.stop()
        self.engine.create("k", "b", 2, 0.0)

        assert self.told() == []
        assert not self.clock.getDelayedCalls()


def _parts(message: following.Message) -> list[object]:
    if isinstance(message, following.Listed):
        return [(kind, [i.name for i in items]) for kind, items in message.items.items()]
    if isinstance(message, following.Changed):
        return [(event.kind, event.name, event.value) for event in message.events]
    return [type(message.error)]
