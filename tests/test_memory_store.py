"""Tests of carobhook.standins.memory_store."""

import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from carobhook.coordination import objects
from carobhook.standins import memory_store

_NAMES = st.sampled_from(["a", "b", "c"])


def _events(engine: memory_store.MemoryStore, *kinds: str, since: int = 0) -> list[tuple]:
    batch = engine.events_since(kinds, since)
    return [(event.name, event.version, event.value) for event in batch.events]


class TestWrites:
    """Tests of conditional creates, updates and deletes."""

    def test_versions_increase_across_kinds(self):
        """Writes to all kinds share one revision counter, which deletes advance as well."""
        engine = memory_store.MemoryStore()

        first = engine.create("lease", "a", 1, 0.0)
        second = engine.create("change", "a", 1, 0.0)
        engine.delete("lease", "a", first, 0.0)
        third = engine.create("lease", "a", 2, 0.0)

        assert (first, second, third, engine.revision) == (1, 2, 4, 4)

    def test_create_of_an_existing_object_conflicts(self):
        """A create with the name of an existing object fails without effect."""
        engine = memory_store.MemoryStore()
        engine.create("k", "a", 1, 0.0)

        with pytest.raises(objects.ConflictError, match="exists at version 1"):
            engine.create("k", "a", 2, 0.0)

        assert engine.get("k", "a", 0.0).value == 1

    @pytest.mark.parametrize("name, version", [("a", 7), ("gone", 1)])
    def test_stale_update_and_delete_conflict(self, name, version):
        """A write with another version, or to an object that does not exist, has no effect."""
        engine = memory_store.MemoryStore()
        engine.create("k", "a", 1, 0.0)

        with pytest.raises(objects.ConflictError):
            engine.update("k", name, 2, version, 0.0)
        with pytest.raises(objects.ConflictError):
            engine.delete("k", name, version, 0.0)

        assert engine.list("k", 0.0).items == (objects.StoredObject("k", "a", 1, 1),)

    def test_values_over_a_megabyte_are_refused(self):
        """A value of exactly 1 MB of JSON is stored; one more byte is refused."""
        engine = memory_store.MemoryStore()
        fits = "x" * (memory_store.VALUE_LIMIT_BYTES - 2)

        with pytest.raises(objects.TooLargeError, match="1000001 B"):
            engine.create("k", "a", fits + "x", 0.0)

        assert engine.create("k", "a", fits, 0.0) == 1

    def test_value_is_copied_on_write(self):
        """The store keeps a copy, which a caller cannot change through the value it passed."""
        engine = memory_store.MemoryStore()
        value = {"list": [1]}
        engine.create("k", "a", value, 0.0)

        value["list"].append(2)

        assert engine.get("k", "a", 0.0).value == {"list": [1]}


class TestEvents:
    """Tests of the event history and of listeners."""

    def test_events_of_several_kinds_since_a_revision(self):
        """Events of the given kinds after the revision are returned in order."""
        engine = memory_store.MemoryStore()
        engine.create("k", "a", 1, 0.0)
        engine.create("l", "b", 2, 0.0)
        engine.create("other", "c", 3, 0.0)
        engine.delete("k", "a", 1, 0.0)

        assert _events(engine, "k", "l", since=1) == [("b", 2, 2), ("a", 4, None)]
        assert engine.events_since(["k"], 4).revision == 4

    def test_compacted_and_future_revisions_are_expired(self):
        """A revision before the kept events, or above the store's own, raises ExpiredError.

        A revision above the store's own was read from a store that no longer exists.
        """
        engine = memory_store.MemoryStore(memory_store.Limits(kept_events=2))
        for name in "abc":
            engine.create("k", name, 0, 0.0)

        with pytest.raises(objects.ExpiredError):
            engine.events_since(["k"], 0)
        with pytest.raises(objects.ExpiredError):
            engine.events_since(["k"], 4)

        assert _events(engine, "k", since=1) == [("b", 2, 0), ("c", 3, 0)]

    def test_unsubscribed_listener_gets_no_events(self):
        """A listener is called with each event until it is unsubscribed."""
        engine = memory_store.MemoryStore()
        received: list[objects.WatchEvent] = []
        unsubscribe = engine.subscribe(received.append)
        engine.create("k", "a", 1, 0.0)

        unsubscribe()
        engine.create("k", "b", 1, 0.0)

        assert [event.name for event in received] == ["a"]


class TestLimits:
    """Tests of rate limits and call counts."""

    def test_writes_and_reads_have_separate_rate_limits(self):
        """Calls over a rate limit are refused without effect, and counted."""
        limits = memory_store.Limits(writes_per_s=2, reads_per_s=3)
        engine = memory_store.MemoryStore(limits)
        engine.create("k", "a", 1, 0.0)
        engine.create("k", "b", 1, 0.0)

        with pytest.raises(memory_store.RateLimitedError):
            engine.create("k", "c", 1, 0.0)

        assert len(engine.list("k", 0.0).items) == 2
        assert engine.create("k", "c", 1, 0.5) == 3
        assert engine.stats.calls == {"create": 4, "list": 1}
        assert engine.stats.refused == 1

    def test_refused_calls_count_as_without_effect(self):
        """RateLimitedError is an UnavailableError, which callers treat as without effect."""
        assert issubclass(memory_store.RateLimitedError, objects.UnavailableError)


class EngineMachine(stateful.RuleBasedStateMachine):
    """Compares the engine's objects and its replayed events with a dictionary."""

    def __init__(self) -> None:
        super().__init__()
        self.engine = memory_store.MemoryStore(memory_store.Limits(1e9, 1e9, 1_000))
        self.model: dict[str, tuple[int, int]] = {}

    @stateful.rule(name=_NAMES, value=st.integers())
    def create(self, name, value):
        """A create succeeds exactly when the name is free."""
        try:
            version = self.engine.create("k", name, value, 0.0)
        except objects.ConflictError:
            assert name in self.model
            return
        assert name not in self.model
        self.model[name] = (version, value)

    @stateful.rule(name=_NAMES, value=st.integers(), offset=st.integers(0, 1))
    def update(self, name, value, offset):
        """An update succeeds exactly when it names the current version."""
        current = self.model.get(name, (0, 0))[0]
        try:
            version = self.engine.update("k", name, value, current - offset, 0.0)
        except objects.ConflictError:
            assert offset == 1 or name not in self.model
            return
        assert offset == 0
        self.model[name] = (version, value)

    @stateful.rule(name=_NAMES)
    def delete(self, name):
        """A delete with the current version removes the object."""
        if name in self.model:
            self.engine.delete("k", name, self.model.pop(name)[0], 0.0)

    @stateful.invariant()
    def events_replay_to_the_list(self):
        """Replaying all events gives the objects that a list returns."""
        replayed = {}
        for event in self.engine.events_since(["k"], 0).events:
            replayed[event.name] = (event.version, event.value)
        live = {name: entry for name, entry in replayed.items() if entry[1] is not None}
        listed = {
            item.name: (item.version, item.value) for item in self.engine.list("k", 0.0).items
        }
        assert live == listed == self.model


TestEngineMachine = EngineMachine.TestCase
