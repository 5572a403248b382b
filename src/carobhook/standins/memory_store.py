"""In-memory engine of the store's stand-in: objects, versions, events and rate limits."""

import collections
import json
import typing
from collections.abc import Callable, Mapping, Sequence

import attrs

from carobhook.coordination import objects, token_bucket

VALUE_LIMIT_BYTES = 1_000_000
# Size of a burst, in seconds of calls at the rate limit.
_BURST_S = 1.0

Listener = Callable[[objects.WatchEvent], None]


@attrs.frozen
class Limits:
    """Rate limits and event history of the store.

    Attributes:
        writes_per_s: Creates, updates and deletes a second.
        reads_per_s: Gets, lists and watches a second; a watch counts once, however long it
            waits.
        kept_events: Number of latest events that are kept for watches.
    """

    writes_per_s: float = 500.0
    reads_per_s: float = 2_000.0
    kept_events: int = 10_000


class RateLimitedError(objects.UnavailableError):
    """A call exceeded the rate limit of the store; it had no effect."""


@attrs.frozen
class SavedCopy:
    """Copy of the objects of a store, to which it can be restored.

    Attributes:
        objects: Objects by kind and name.
        revision: Version of the latest write.
    """

    objects: Mapping[str, Mapping[str, objects.StoredObject]]
    revision: int


@attrs.define
class Stats:
    """Counts of all calls by operation, and of the calls refused by the rate limit."""

    calls: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused: int = 0


class MemoryStore:
    """Objects, versions and events of one store.

    Every call is synchronous and gets the current time from its caller. Values are stored as
    copies that went through JSON; callers must not modify the values that they get.

    Args:
        limits: Rate limits and event history; the defaults if None.
    """

    def __init__(self, limits: Limits | None = None) -> None:
        self._limits = limits or Limits()
        self._objects: dict[str, dict[str, objects.StoredObject]] = {}
        self._revision = 0
        self._era = 1
        self._events: collections.deque[objects.WatchEvent] = collections.deque()
        self._compacted_revision = 0
        self._listeners: list[Listener] = []
        self._stats = Stats()
        self._writes = _new_bucket(self._limits.writes_per_s)
        self._reads = _new_bucket(self._limits.reads_per_s)

    @property
    def revision(self) -> int:
        """Return the version of the latest write."""
        return self._revision

    @property
    def era(self) -> int:
        """Return the era, which rises each time that the store is restored."""
        return self._era

    @property
    def stats(self) -> Stats:
        """Return the call counts."""
        return self._stats

    def get(self, kind: str, name: str, now: float) -> objects.StoredObject | None:
        """Return one object, or None if there is none.

        Raises:
            RateLimitedError: Too many reads.
        """
        self._admit("get", self._reads, now)
        found = self._objects.get(kind, {}).get(name)
        return None if found is None else attrs.evolve(found, era=self._era)

    def list(self, kind: str, now: float) -> objects.Listing:
        """Return all objects of one kind, by name.

        Raises:
            RateLimitedError: Too many reads.
        """
        self._admit("list", self._reads, now)
        items = sorted(self._objects.get(kind, {}).items())
        return objects.Listing(self._revision, tuple(item for _, item in items), self._era)

    def create(self, kind: str, name: str, value: typing.Any, now: float) -> int:
        """Create an object; return its version.

        Raises:
            RateLimitedError: Too many writes.
            TooLargeError: The value is over 1 MB.
            ConflictError: An object of that name exists.
        """
        self._admit("create", self._writes, now)
        existing = self._objects.get(kind, {}).get(name)
        if existing is not None:
            raise objects.ConflictError(f"{kind}/{name} exists at version {existing.version}")
        return self._put(kind, name, value)

    def update(self, kind: str, name: str, value: typing.Any, version: int, now: float) -> int:
        """Replace an object whose version is still ``version``; return its new version.

        Raises:
            RateLimitedError: Too many writes.
            TooLargeError: The value is over 1 MB.
            ConflictError: The object has another version or is gone.
        """
        self._admit("update", self._writes, now)
        self._check_version(kind, name, version)
        return self._put(kind, name, value)

    def delete(self, kind: str, name: str, version: int, now: float) -> None:
        """Delete an object whose version is still ``version``.

        Raises:
            RateLimitedError: Too many writes.
            ConflictError: The object has another version or is gone.
        """
        self._admit("delete", self._writes, now)
        self._check_version(kind, name, version)
        del self._objects[kind][name]
        self._revision += 1
        self._publish(objects.WatchEvent(kind, name, self._revision, None))

    def admit_watch(self, now: float) -> None:
        """Count one watch against the read limit, however long it waits.

        Raises:
            RateLimitedError: Too many reads.
        """
        self._admit("watch", self._reads, now)

    def events_since(self, kinds: Sequence[str], since: int) -> objects.WatchBatch:
        """Return the events of some kinds after a revision; the batch may be empty.

        Raises:
            ExpiredError: Some events after ``since`` are no longer kept, or ``since`` is above
                the current revision.
        """
        if not self._compacted_revision <= since <= self._revision:
            raise objects.ExpiredError(
                f"since {since} is outside {self._compacted_revision} to {self._revision}"
            )
        events: list[objects.WatchEvent] = []
        for event in reversed(self._events):
            if event.version <= since:
                break
            if event.kind in kinds:
                events.append(event)
        return objects.WatchBatch(self._revision, tuple(reversed(events)), self._era)

    def save(self) -> SavedCopy:
        """Return a copy of all objects, to which `restore` returns."""
        copied = {kind: dict(by_name) for kind, by_name in self._objects.items()}
        return SavedCopy(copied, self._revision)

    def restore(self, saved: SavedCopy) -> None:
        """Return to an older copy: later writes are lost, and their revisions given out again.

        Watches from any other revision than the copy's expire.
        """
        self._objects = {kind: dict(by_name) for kind, by_name in saved.objects.items()}
        self._revision = saved.revision
        self._era += 1
        self.compact()

    def compact(self) -> None:
        """Drop the event history, so that every watch from an earlier revision expires."""
        self._events.clear()
        self._compacted_revision = self._revision

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call ``listener`` with every new event; return a function that unsubscribes it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _admit(self, operation: str, bucket: token_bucket.TokenBucket, now: float) -> None:
        self._stats.calls[operation] += 1
        if not bucket.try_consume(now):
            self._stats.refused += 1
            raise RateLimitedError(f"{operation}: over {bucket.rate:g} calls a second")

    def _check_version(self, kind: str, name: str, version: int) -> None:
        existing = self._objects.get(kind, {}).get(name)
        if existing is None:
            raise objects.ConflictError(f"{kind}/{name} does not exist")
        if existing.version != version:
            raise objects.ConflictError(
                f"{kind}/{name} is at version {existing.version}, not {version}"
            )

    def _put(self, kind: str, name: str, value: typing.Any) -> int:
        text = json.dumps(value)
        if len(text) > VALUE_LIMIT_BYTES:
            raise objects.TooLargeError(f"{kind}/{name}: {len(text)} B is over 1 MB")
        self._revision += 1
        stored = objects.StoredObject(kind, name, self._revision, json.loads(text))
        self._objects.setdefault(kind, {})[name] = stored
        self._publish(objects.WatchEvent(kind, name, stored.version, stored.value))
        return stored.version

    def _publish(self, event: objects.WatchEvent) -> None:
        self._events.append(event)
        while len(self._events) > self._limits.kept_events:
            self._compacted_revision = self._events.popleft().version
        for listener in tuple(self._listeners):
            listener(event)


def _new_bucket(rate: float) -> token_bucket.TokenBucket:
    return token_bucket.TokenBucket(rate=rate, burst=max(1.0, rate * _BURST_S))
