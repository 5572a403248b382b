"""Marks of requests in the store, at instances that start, are cut off or outlast a restore."""

import random

import pytest
from twisted.internet import task

import store_access
from carobhook.coordination import catalog, object_watch, poison
from carobhook.protocol import mark_codec, slot_messages
from carobhook.transport import request_quarantine, stored_marks

FATAL, OTHER = poison.fingerprint_of(("a",), b""), poison.fingerprint_of(("b",), b"")
KIND = mark_codec.STORE_KIND
OPTIONS = object_watch.WatchOptions()


class Instance:
    """The marks of one instance, which watches them in the store if `follow` was called."""

    def __init__(self, fleet, name, wall_error_s=0.0):
        self.fleet, self.name = fleet, name
        self.quarantine = poison.Quarantine(name)
        self.access = store_access.StoreAccess(fleet.engine, fleet.clock)
        self.watcher = None
        self.stored = stored_marks.StoredMarks(
            fleet.clock,
            self.access,
            lambda: 1e9 + fleet.clock.seconds() + wall_error_s,
            stored_marks.MarkCallbacks(
                self.add_stored,
                self.remove_stored,
                lambda: self.quarantine.marks(fleet.clock.seconds()),
                self.quarantine.is_cleared,
                fleet.failures.append,
            ),
        )

    def follow(self):
        """Watch the marks in the store."""
        self.watcher = object_watch.ObjectWatcher(
            self.access,
            self.fleet.clock,
            random.Random(1),
            (KIND,),
            self.stored.handle_update,
            options=OPTIONS,
        )
        self.watcher.start()
        return self

    def end(self):
        """End this instance."""
        self.fleet.instances.remove(self)
        self.stored.stop()
        if self.watcher is not None:
            self.watcher.stop()

    def record_ends(self, count, fingerprint=FATAL):
        """Record that a request ended servers."""
        for number in range(count):
            name = f"s{number}"
            mark = self.quarantine.record_end(fingerprint, name, self.fleet.clock.seconds())
            self.stored.save(mark)
            self.fleet.tell(self, lambda other, mark=mark: other.quarantine.add(mark))

    def clear(self, fingerprint=FATAL):
        """Clear the marks of a request that a server answered."""
        names = self.quarantine.clear(fingerprint)
        self.stored.discard(fingerprint, names)
        self.fleet.tell(self, lambda other: other.quarantine.remove(fingerprint, names))

    def add_stored(self, stored, remaining_s):
        """Add a mark of the store, and send it on; learn from others that it was cleared."""
        expires_at = self.fleet.clock.seconds() + remaining_s
        mark = poison.Mark(stored.fingerprint, stored.name, stored.source, expires_at)
        if not self.quarantine.add(mark):
            return
        for other in self.fleet.others(self):
            other.quarantine.add(mark)
            if other.quarantine.is_cleared(mark.fingerprint, mark.name):
                self.quarantine.remove(mark.fingerprint, (mark.name,))

    def remove_stored(self, stored):
        """Remove a mark that was deleted from the store, and send that on."""
        names = (stored.name,)
        self.quarantine.remove(stored.fingerprint, names)
        self.fleet.tell(self, lambda other: other.quarantine.remove(stored.fingerprint, names))

    def refuses(self, fingerprint=FATAL):
        """Return whether a request is refused."""
        return self.quarantine.is_quarantined(fingerprint, self.fleet.clock.seconds())


class StoredMarksCase:
    """Base class of tests with instances, their store and a simulated clock."""

    def setup_method(self):
        """Create the store."""
        self.clock = task.Clock()
        self.engine = store_access.create_access(self.clock).engine
        self.instances, self.failures = [], []

    def start(self, name, wall_error_s=0.0):
        """Start an instance, whose time of day may be wrong."""
        self.instances.append(Instance(self, name, wall_error_s))
        return self.instances[-1]

    def others(self, instance):
        """Return all other instances."""
        return [other for other in self.instances if other is not instance]

    def tell(self, sender, change):
        """Send a message to all other instances."""
        for other in self.others(sender):
            change(other)

    def run(self, seconds):
        """Simulate some seconds."""
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            for instance in self.instances:
                instance.stored.tick()
        assert self.failures == []

    def end_all(self):
        """End all instances at once."""
        for instance in list(self.instances):
            instance.end()

    @property
    def object_names(self):
        """Return the names of the marks' objects in the store."""
        return [item.name for item in self.engine.list(KIND, self.clock.seconds()).items]

    def restore(self, saved):
        """Return the store to an older copy, which ends all calls in progress."""
        self.engine.restore(saved)
        for instance in self.instances:
            instance.access.cut_watches()


class TestStart(StoredMarksCase):
    """What an instance knows that starts when all others have ended."""

    def test_marks_of_the_last_moment_are_known(self):
        """Its first answer must not be an old one, and no later one may take them away."""
        self.start("i1").follow().record_ends(3)
        self.run(0.5)
        self.end_all()
        started = self.start("i2").follow()
        self.run(0.2)
        assert started.refuses()
        self.run(200.0)
        assert started.refuses()

    def test_marks_are_known_soon_after_the_return_of_the_store(self):
        """Until the store answers, the instance serves without them."""
        self.start("i1").record_ends(3)
        self.run(0.5)
        self.end_all()
        started = self.start("i2")
        started.access.down = True
        started.follow()
        self.run(20.0)
        assert not started.refuses()
        assert not started.stored.is_current
        started.access.down = False
        self.run(OPTIONS.delays.cap_s)
        assert started.refuses()

    def test_mark_that_was_cleared_is_not_found(self):
        """An innocent request would be refused for ten minutes."""
        first = self.start("i1").follow()
        first.record_ends(3)
        self.run(0.5)
        first.clear()
        self.run(0.5)
        self.end_all()
        started = self.start("i2").follow()
        self.run(5.0)
        assert not started.refuses()
        assert self.object_names == []

    def test_clearing_while_the_instance_starts(self):
        """The deletion comes after the listing that still has the marks."""
        first = self.start("i1")
        first.record_ends(3)
        self.run(0.5)
        started = self.start("i2").follow()
        names = first.quarantine.clear(FATAL)
        # No stream connects the two yet, so the store alone can tell.
        first.stored.discard(FATAL, names)
        assert started.refuses()
        self.run(1.0)
        assert not started.refuses()


class TestRestoredStore(StoredMarksCase):
    """The store comes back from a copy that lacks what was written since."""

    def test_lost_marks_are_written_again(self):
        """They outlast the instances that know them, as if nothing had been lost."""
        saved = self.engine.save()
        first = self.start("i1").follow()
        self.start("i2")
        first.record_ends(3)
        self.run(0.5)
        self.restore(saved)
        self.run(3.0)
        assert [instance.refuses() for instance in self.instances] == [True, True]
        assert len(self.object_names) == 3
        self.end_all()
        started = self.start("i3").follow()
        self.run(0.2)
        assert started.refuses()

    def test_lost_clearing_is_made_again(self):
        """The copy has marks that were cleared; an instance that starts would take them."""
        first = self.start("i1").follow()
        first.record_ends(3)
        self.run(0.5)
        saved = self.engine.save()
        first.clear()
        self.run(0.5)
        assert self.object_names == []
        self.restore(saved)
        self.run(3.0)
        assert self.object_names == []
        assert not first.refuses()

    def test_instance_that_starts_on_the_copy_learns_of_the_clearing(self):
        """It finds the marks in the store, and others know better."""
        first = self.start("i1")
        first.record_ends(3)
        self.run(0.5)
        saved = self.engine.save()
        first.clear()
        self.run(0.5)
        self.restore(saved)
        started = self.start("i2").follow()
        self.run(3.0)
        assert not started.refuses()
        assert self.object_names == []

    def test_copy_after_copy(self):
        """Each one may be older than what was written again."""
        saved = self.engine.save()
        first = self.start("i1").follow()
        first.record_ends(3)
        for _ in range(4):
            self.run(0.7)
            self.restore(saved)
        self.run(3.0)
        assert first.refuses()
        assert len(self.object_names) == 3


class TestSeparatedInstances(StoredMarksCase):
    """Instances that reach the store and not each other."""

    def tell(self, sender, change):
        """Lose the message."""

    def others(self, instance):
        """Return no other instance."""
        return []

    def test_marks_and_clearings_pass_through_the_store(self):
        """Both are known to the other side within a second."""
        one, other = self.start("i1").follow(), self.start("i2").follow()
        one.record_ends(3)
        self.run(1.0)
        assert other.refuses()
        other.clear()
        self.run(1.0)
        assert not one.refuses()
        self.run(5.0)
        assert self.object_names == []

    def test_history_is_lost_meanwhile(self):
        """A listing takes the place of the events, and tells the same."""
        one, other = self.start("i1").follow(), self.start("i2").follow()
        one.record_ends(3)
        self.run(1.0)
        other.access.down = True
        other.access.cut_watches()
        one.clear()
        one.record_ends(3, OTHER)
        self.run(1.0)
        self.engine.compact()
        other.access.down = False
        self.run(6.0)
        assert (other.refuses(FATAL), other.refuses(OTHER)) == (False, True)


class TestDeletedMarks(StoredMarksCase):
    """Objects that are deleted, expire or cannot be read."""

    def test_operator_deletes_the_objects(self):
        """The request is served again, and nobody writes the marks again."""
        first, second = self.start("i1").follow(), self.start("i2")
        first.record_ends(3)
        self.run(1.0)
        for name in self.object_names:
            found = self.engine.get(KIND, name, self.clock.seconds())
            self.engine.delete(KIND, name, found.version, self.clock.seconds())
        self.run(3.0)
        assert [first.refuses(), second.refuses()] == [False, False]
        assert self.object_names == []

    def test_expired_marks_are_deleted(self):
        """Not at once, as clocks differ: a deletion is taken for a clearing."""
        first = self.start("i1").follow()
        first.record_ends(3)
        self.run(poison.MARK_LIFETIME_S + 30)
        assert len(self.object_names) == 3
        self.run(40)
        assert self.object_names == []

    def test_object_that_cannot_be_read(self):
        """The others count."""
        self.engine.create(KIND, "x", {"fingerprint": 1}, 0.0)
        first = self.start("i1").follow()
        first.record_ends(3)
        self.run(1.0)
        self.engine.create(KIND, "y", None, self.clock.seconds())
        self.run(1.0)
        self.end_all()
        started = self.start("i2").follow()
        self.run(0.5)
        assert started.refuses()


HOUR_S = 3600.0
WRONG_CLOCKS = pytest.mark.parametrize("wall_error_s", [HOUR_S, -HOUR_S, 2 * 60.0, -2 * 60.0])


class TestWrongClocks(StoredMarksCase):
    """Instances whose time of day is wrong deleted marks that counted, or did not take them.

    A deletion is taken for a clearing, after which a mark is never added again.
    """

    @WRONG_CLOCKS
    def test_instance_with_a_wrong_clock_deletes_no_mark_that_counts(self, wall_error_s):
        """It compares the store with its own clock."""
        first = self.start("i1").follow()
        first.record_ends(3)
        second = self.start("i2", wall_error_s).follow()
        self.run(poison.MARK_LIFETIME_S - 10)
        assert first.refuses()
        assert len(self.object_names) == 3
        assert second.stored.is_current

    @WRONG_CLOCKS
    def test_marks_written_by_a_wrong_clock_are_kept(self, wall_error_s):
        """Others found them expired long ago."""
        first = self.start("i1", wall_error_s).follow()
        second = self.start("i2").follow()
        first.record_ends(3)
        self.run(poison.MARK_LIFETIME_S - 10)
        assert [first.refuses(), second.refuses()] == [True, True]
        assert len(self.object_names) == 3

    @pytest.mark.parametrize("wall_error_s", [HOUR_S, -HOUR_S])
    def test_instance_that_starts_alone_with_a_wrong_clock(self, wall_error_s):
        """Nobody else is left to tell it the marks."""
        self.start("i1").follow().record_ends(3)
        self.run(1.0)
        self.end_all()
        started = self.start("i2", wall_error_s).follow()
        self.run(5.0)
        assert started.refuses()

    @pytest.mark.parametrize("wall_error_s", [HOUR_S, -HOUR_S])
    def test_marks_of_a_wrong_clock_are_read_later(self, wall_error_s):
        """The instance that wrote them has ended."""
        self.start("i1", wall_error_s).follow().record_ends(3)
        self.run(1.0)
        self.end_all()
        started = self.start("i2").follow()
        self.run(5.0)
        assert started.refuses()

    @WRONG_CLOCKS
    def test_marks_are_deleted_after_their_time(self, wall_error_s):
        """They stayed for an hour where the clock of their writer was ahead."""
        self.start("i1", wall_error_s).follow().record_ends(3)
        self.start("i2").follow()
        self.run(poison.MARK_LIFETIME_S + 70)
        assert [instance.refuses() for instance in self.instances] == [False, False]
        assert self.object_names == []

    @WRONG_CLOCKS
    def test_clearing_reaches_an_instance_with_a_wrong_clock(self, wall_error_s):
        """It took the deletion for one of an expired mark."""
        first = self.start("i1").follow()
        first.record_ends(3)
        second = self.start("i2", wall_error_s).follow()
        self.run(1.0)
        names = first.quarantine.clear(FATAL)
        # No stream connects the two, so the store alone can tell.
        first.stored.discard(FATAL, names)
        self.run(1.0)
        assert not second.refuses()

    def test_expired_mark_is_not_read(self):
        """An innocent request is not refused for longer by an instance that starts."""
        self.start("i1").follow().record_ends(3)
        self.run(poison.MARK_LIFETIME_S + 30)
        self.end_all()
        started = self.start("i2").follow()
        self.run(1.0)
        assert len(self.object_names) == 3
        assert not started.refuses()

    def test_marks_that_no_instance_deleted(self):
        """All were stopped, and start a day later."""
        self.start("i1").follow().record_ends(3)
        self.run(1.0)
        self.end_all()
        self.clock.advance(24 * HOUR_S)
        started = self.start("i2").follow()
        self.run(1.0)
        assert not started.refuses()
        self.run(poison.MARK_LIFETIME_S + 70)
        assert self.object_names == []


class TestRandomHistories(StoredMarksCase):
    """Marks, clearings, restores, ends and starts in random order."""

    def test_all_agree_in_the_end(self):
        """What counts is what was marked and not cleared since, wherever one instance lived."""
        for seed in range(150):
            self.setup_method()
            self.play(random.Random(seed))

    def play(self, rng):
        """Play one history; one instance outlasts it all."""
        survivor = self.start("i0").follow()
        marked, saved = set(), self.engine.save()
        for number in range(1, 25):
            self.run(rng.choice([0.1, 0.3, 2.5]))
            choice = rng.random()
            if choice < 0.3:
                started = self.start(f"i{number}")
                if rng.random() < 0.5:
                    started.follow()
            elif choice < 0.5:
                fingerprint = bytes([number])
                rng.choice(self.instances).record_ends(3, fingerprint)
                marked.add(fingerprint)
            elif choice < 0.65 and marked:
                fingerprint = rng.choice(sorted(marked))
                survivor.clear(fingerprint)
                marked.discard(fingerprint)
            elif choice < 0.75:
                saved = self.engine.save()
            elif choice < 0.85:
                self.restore(saved)
            elif len(self.instances) > 1:
                rng.choice(self.instances[1:]).end()
        self.run(4.0)
        last = self.start("last").follow()
        self.run(0.5)
        for fingerprint in (bytes([number]) for number in range(25)):
            assert survivor.refuses(fingerprint) == (fingerprint in marked)
            assert last.refuses(fingerprint) == (fingerprint in marked)
        assert len(self.object_names) == 3 * len(marked)


class TestMissedClearing:
    """An instance was away when a request was answered, and kept its marks for ten minutes."""

    def test_sender_of_a_cleared_mark_is_told(self):
        """Its streams are new when it is back, so it sends its marks on them."""
        clock = task.Clock()
        access = store_access.create_access(clock)
        quarantine = request_quarantine.RequestQuarantine(
            clock,
            "i1",
            catalog.Catalog(),
            None,
            request_quarantine.MarkStore(access, clock.seconds),
            lambda message: None,
            lambda reason: None,
        )
        marked = slot_messages.RequestMarked(FATAL, "s1", "i2", 1000)
        answers = []
        quarantine.apply_mark(marked, answers.append)
        quarantine.apply_mark(marked, answers.append)
        assert answers == []
        quarantine.apply_clearing(slot_messages.RequestCleared(FATAL, ("s1",)))
        quarantine.apply_mark(marked, answers.append)
        assert answers == [slot_messages.RequestCleared(FATAL, ("s1",))]
        assert quarantine.mark_messages() == []
