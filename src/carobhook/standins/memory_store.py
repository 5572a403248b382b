"""In-memory engine of the object API's stand-in: objects, versions, events, limits."""

import collections
import json
import typing
from collections.abc import Callable, Sequence

import attrs

from carobhook.coordination import objects, token_bucket

VALUE_LIMIT_BYTES = 1_000_000
_BURST_S = 1.0

Listener = Callable[[objects.WatchEvent], None]


@attrs.frozen
class Limits:
    """What the object API bears.

    Attributes:
        writes_per_s: Creates, updates and deletes a second.
        reads_per_s: Gets, lists and watches a second; a waiting watch is one call.
        kept_events: Latest events that a watch can still ask for.
    """

    writes_per_s: float = 500.0
    reads_per_s: float = 2_000.0
    kept_events: int = 10_000


class RateLimitedError(objects.UnavailableError):
    """The object API refused a call over its rate; the call had no effect."""


@attrs.define
class Stats:
    """Calls that reached the engine, by operation, and those refused over the rate."""

    calls: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused: int = 0


class MemoryStore:
    """Objects of one object API; every call is synchronous and takes the present time.

    Values are kept as they were read back from their JSON form; callers must not change what
    they are given.

    Args:
        limits: Rates and history of the store.
    """

    def __init__(self, limits: Limits | None = None) -> None:
        self._limits = limits or Limits()
        self._objects: dict[str, dict[str, objects.StoredObject]] = {}
        self._revision = 0
        self._events: collections.deque[objects.WatchEvent] = collections.deque()
        self._forgotten = 0
        self._listeners: list[Listener] = []
        self._stats = Stats()
        self._writes = _bucket(self._limits.writes_per_s)
        self._reads = _bucket(self._limits.reads_per_s)

    @property
    def revision(self) -> int:
        """Return the version of the latest write."""
        return self._revision

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
        return self._objects.get(kind, {}).get(name)

    def list(self, kind: str, now: float) -> objects.Listing:
        """Return all objects of one kind, by name.

        Raises:
            RateLimitedError: Too many reads.
        """
        self._admit("list", self._reads, now)
        items = sorted(self._objects.get(kind, {}).items())
        return objects.Listing(self._revision, tuple(item for _, item in items))

    def create(self, kind: str, name: str, value: typing.Any, now: float) -> int:
        """Create an object; return its version.

        Raises:
            RateLimitedError: Too many writes.
            TooLargeError: The value is over 1 MB.
            ConflictError: An object of that name exists.
        """
        self._admit("create", self._writes, now)
        held = self._objects.get(kind, {}).get(name)
        if held is not None:
            raise objects.ConflictError(f"{kind}/{name} exists at version {held.version}")
        return self._put(kind, name, value)

    def update(self, kind: str, name: str, value: typing.Any, version: int, now: float) -> int:
        """Replace an object whose version is still ``version``; return its new version.

        Raises:
            RateLimitedError: Too many writes.
            TooLargeError: The value is over 1 MB.
            ConflictError: The object has another version or is gone.
        """
        self._admit("update", self._writes, now)
        self._expect(kind, name, version)
        return self._put(kind, name, value)

    def delete(self, kind: str, name: str, version: int, now: float) -> None:
        """Delete an object whose version is still ``version``.

        Raises:
            RateLimitedError: Too many writes.
            ConflictError: The object has another version or is gone.
        """
        self._admit("delete", self._writes, now)
        self._expect(kind, name, version)
        del self._objects[kind][name]
        self._revision += 1
        self._announce(objects.WatchEvent(kind, name, self._revision, None))

    def admit_watch(self, now: float) -> None:
        """Count one watch, however long it waits.

        Raises:
            RateLimitedError: Too many reads.
        """
        self._admit("watch", self._reads, now)

    def events_since(self, kinds: Sequence[str], since: int) -> objects.WatchBatch:
        """Return the events of some kinds after a revision; they may be none.

        Raises:
            ExpiredError: Events after ``since`` are no longer kept, or it is yet to come.
        """
        if not self._forgotten <= since <= self._revision:
            raise objects.ExpiredError(
                f"since {since} is outside {self._forgotten} to {self._revision}"
            )
        events: list[objects.WatchEvent] = []
        for event in reversed(self._events):
            if event.version <= since:
                break
            if event.kind in kinds:
                events.append(event)
        return objects.WatchBatch(self._revision, tuple(reversed(events)))

    def forget(self) -> None:
        """Give up the events that are kept, as a compaction does."""
        self._events.clear()
        self._forgotten = self._revision

    def listen(self, listener: Listener) -> Callable[[], None]:
        """Call ``listener`` with every event from now on; return how to stop that."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _admit(self, operation: str, bucket: token_bucket.TokenBucket, now: float) -> None:
        self._stats.calls[operation] += 1
        if not bucket.try_consume(now):
            self._stats.refused += 1
            raise RateLimitedError(f"{operation}: over {bucket.rate:g} calls a second")

    def _expect(self, kind: str, name: str, version: int) -> None:
        held = self._objects.get(kind, {}).get(name)
        if held is None:
            raise objects.ConflictError(f"{kind}/{name} does not exist")
        if held.version != version:
            raise objects.ConflictError(
                f"{kind}/{name} is at version {held.version}, not {version}"
            )

    def _put(self, kind: str, name: str, value: typing.Any) -> int:
        text = json.dumps(value)
        if len(text) > VALUE_LIMIT_BYTES:
            raise objects.TooLargeError(f"{kind}/{name}: {len(text)} B is over 1 MB")
        self._revision += 1
        kept = objects.StoredObject(kind, name, self._revision, json.loads(text))
        self._objects.setdefault(kind, {})[name] = kept
        self._announce(objects.WatchEvent(kind, name, kept.version, kept.value))
        return kept.version

    def _announce(self, event: objects.WatchEvent) -> None:
        self._events.append(event)
        while len(self._events) > self._limits.kept_events:
            self._forgotten = self._events.popleft().version
        for listener in tuple(self._listeners):
            listener(event)


def _bucket(rate: float) -> token_bucket.TokenBucket:
    return token_bucket.TokenBucket(rate=rate, burst=max(1.0, rate * _BURST_S))
