"""Keeps marks of requests in the platform's store, where they outlast all instances.

Marks reach other instances as messages. The store has them for instances that start when no
other is left to tell them, or that are separated from the others. An instance that reads them
sends the others what is new to it, and writes again what the store has lost.
"""

import math
import typing
from collections.abc import Callable

import attrs
import xxhash
from twisted.internet import defer
from twisted.python import failure

from carobhook import logs
from carobhook.coordination import mark_table, object_watch, objects, poison
from carobhook.protocol import mark_codec

_RETRY_S = 1.0
# Marks that wait to be written; beyond that, the oldest are only sent to the other instances.
_MAX_WAITING = 200
_MAX_ATTEMPTS = 20
# The store is compared with the marks that are known here at this interval. A difference is
# removed only if it lasts: the instance that made or cleared a mark writes first.
_COMPARE_INTERVAL_S = 0.5
_DIFFERENCE_AGE_S = 1.0
# A mark is deleted this long after it must have expired, whatever clock its writer had.
_DELETE_AFTER_S = 60.0
# A mark that seems to have expired before this time would have been deleted, unless no instance
# ran for long: the clock of its writer or of this instance is wrong. It counts then.
_MIN_CLOCK_ERROR_S = 2 * poison.MARK_LIFETIME_S
# A clock that is set to summer time by mistake is wrong by an hour. Beyond twice that, a mark
# is taken for an old one.
_MAX_CLOCK_ERROR_S = 2 * 3600.0


@attrs.frozen
class MarkCallbacks:
    """Functions that `StoredMarks` calls.

    Attributes:
        on_mark: Called with a mark that the store holds, and its remaining seconds.
        on_deleted: Called with a mark that was deleted from the store while it may count.
        live_marks: Returns the marks that count at this instance.
        is_cleared: Returns whether the mark of a fingerprint and name is known to be cleared.
        on_failure: Called with the failure of a call that is not the store's.
    """

    on_mark: Callable[[mark_codec.StoredMark, float], object]
    on_deleted: Callable[[mark_codec.StoredMark], object]
    live_marks: Callable[[], list[poison.Mark]]
    is_cleared: Callable[[poison.Fingerprint, str], bool]
    on_failure: Callable[[typing.Any], object]


@attrs.define(eq=False)
class _Change:
    """A mark that is to be written or deleted.

    Attributes:
        name: Name of its object.
        mark: The mark, None to delete it.
        attempts: Number of attempts so far.
    """

    name: str
    mark: mark_codec.StoredMark | None
    attempts: int = 0


class StoredMarks:
    """Marks of requests in the store; implements `mark_following.Marks`.

    Args:
        reactor: Source of time.
        store: The store.
        wall: Returns the time of day in seconds.
        callbacks: Functions to call.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: objects.ObjectStore,
        wall: Callable[[], float],
        callbacks: MarkCallbacks,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._wall = wall
        self._callbacks = callbacks
        self._table = mark_table.MarkTable()
        self._is_current = False
        self._waiting: list[_Change] = []
        self._running: defer.Deferred | None = None
        self._retry_at = -math.inf
        self._compared_at = -math.inf
        # Objects that the store lacks, or should not hold, and when that was seen first.
        self._differences: dict[str, float] = {}
        # Since when this instance has known objects, by its monotonic clock.
        self._known_since: dict[str, float] = {}

    @property
    def position(self) -> objects.Position | None:
        """Return the position up to which the marks were read, None before."""
        return self._table.position

    @property
    def is_current(self) -> bool:
        """Return whether the marks were read, and the store answered the latest call."""
        return self._is_current

    def handle_update(self, update: object_watch.Update) -> None:
        """Apply what a watch of the marks tells."""
        self._is_current = not isinstance(update, object_watch.WatchFailure)
        if isinstance(update, object_watch.Snapshot):
            self._apply_snapshot(update)
        elif isinstance(update, object_watch.Changes):
            self._apply_changes(update)

    def forget(self) -> None:
        """Forget what was read, as it is not known how much of it was applied."""
        self._is_current = False
        self._table.forget()

    def unfollow(self) -> None:
        """Record that the marks are not watched any more."""
        self._is_current = False

    def save(self, mark: poison.Mark) -> None:
        """Write a mark of this instance into the store, at once or as soon as it answers."""
        remaining_s = mark.expires_at - self._reactor.seconds()
        expires_at = round(self._wall() + remaining_s, 3)
        stored = mark_codec.StoredMark(mark.fingerprint, mark.name, mark.source, expires_at)
        self._enqueue(_Change(_object_name(mark.fingerprint, mark.name), stored))

    def discard(self, fingerprint: poison.Fingerprint, names: tuple[str, ...]) -> None:
        """Delete the marks of a request that were cleared."""
        for name in names:
            self._enqueue(_Change(_object_name(fingerprint, name), None))

    def tick(self) -> None:
        """Make the next call to the store if one is due."""
        now = self._reactor.seconds()
        if self._is_current and now - self._compared_at >= _COMPARE_INTERVAL_S:
            self._compared_at = now
            self._compare(now)
        if self._running is not None or now < self._retry_at or not self._waiting:
            return
        self._running = defer.ensureDeferred(self._write(self._waiting[0]))
        self._running.addBoth(self._finish)

    def stop(self) -> None:
        """Cancel the call in progress."""
        if self._running is not None:
            self._running.cancel()

    def _apply_snapshot(self, snapshot: object_watch.Snapshot) -> None:
        items = snapshot.items[mark_codec.STORE_KIND]
        logs.event(
            "objects-listed",
            kind=mark_codec.STORE_KIND,
            objects=len(items),
            revision=snapshot.revision,
            era=snapshot.era,
        )
        position = objects.Position(snapshot.era, snapshot.revision)
        listed = {item.name: _decode_or_warn(item.name, item.value) for item in items}
        self._apply(self._table.apply_listing(position, listed))

    def _apply_changes(self, changes: object_watch.Changes) -> None:
        events = []
        for event in changes.events:
            is_deleted = event.value is None
            mark = None if is_deleted else _decode_or_warn(event.name, event.value)
            if is_deleted or mark is not None:
                events.append((event.name, mark))
        position = objects.Position(changes.era, changes.revision)
        self._apply(self._table.apply_events(position, events))

    def _apply(self, changes: mark_table.MarkChanges) -> None:
        now = self._reactor.seconds()
        before = self._known_since
        self._known_since = {name: before.get(name, now) for name in self._table.marks}
        for mark in changes.held:
            remaining_s = self._remaining_s(mark)
            if remaining_s > 0:
                self._callbacks.on_mark(mark, remaining_s)
        for mark in changes.deleted:
            known_since = before.get(_object_name(mark.fingerprint, mark.name), now)
            if now - known_since < poison.MARK_LIFETIME_S:
                self._callbacks.on_deleted(mark)

    def _remaining_s(self, mark: mark_codec.StoredMark) -> float:
        """Return the seconds for which a mark counts that is read now."""
        remaining_s = mark.expires_at - self._wall()
        if -_MAX_CLOCK_ERROR_S <= remaining_s <= -_MIN_CLOCK_ERROR_S:
            return poison.MARK_LIFETIME_S
        return min(poison.MARK_LIFETIME_S, remaining_s)

    def _compare(self, now: float) -> None:
        """Write the marks that the store lacks, and delete those that it should not hold."""
        lacking = self._lacking()
        surplus = self._surplus(now)
        self._differences = {
            name: self._differences.get(name, now) for name in (*lacking, *surplus)
        }
        due = [
            name
            for name, since in self._differences.items()
            if now - since >= _DIFFERENCE_AGE_S
        ]
        waiting = {change.name for change in self._waiting}
        due = [name for name in due if name not in waiting][: _MAX_WAITING - len(waiting)]
        if not due:
            return
        written = [name for name in due if name in lacking]
        logs.event("marks-restored", written=len(written), deleted=len(due) - len(written))
        for name in due:
            if name in lacking:
                self.save(lacking[name])
            else:
                self._enqueue(_Change(name, None))

    def _lacking(self) -> dict[str, poison.Mark]:
        """Return the marks that count here and that the store does not hold, by object."""
        live = {_object_name(m.fingerprint, m.name): m for m in self._callbacks.live_marks()}
        return {name: mark for name, mark in live.items() if name not in self._table.marks}

    def _surplus(self, now: float) -> list[str]:
        """Return the names of the objects whose marks were cleared, or expired long ago.

        No time of day tells that a mark has expired: other instances take its deletion for a
        clearing.
        """
        max_age_s = poison.MARK_LIFETIME_S + _DELETE_AFTER_S
        return [
            name
            for name, mark in self._table.marks.items()
            if self._callbacks.is_cleared(mark.fingerprint, mark.name)
            or now - self._known_since.get(name, now) >= max_age_s
        ]

    def _enqueue(self, change: _Change) -> None:
        self._waiting.append(change)
        del self._waiting[:-_MAX_WAITING]

    def _finish(self, result: typing.Any) -> None:
        self._running = None
        if not isinstance(result, failure.Failure) or result.check(defer.CancelledError):
            return
        self._retry_at = self._reactor.seconds() + _RETRY_S
        if not result.check(objects.StoreError):
            self._callbacks.on_failure(result)

    async def _write(self, change: _Change) -> None:
        """Write or delete a mark; it stays in the queue if the store does not take it."""
        change.attempts += 1
        try:
            if change.mark is None:
                await self._delete(change.name)
            else:
                value = mark_codec.encode(change.mark)
                await self._store.create(mark_codec.STORE_KIND, change.name, value)
        except objects.ConflictError:
            # Another instance has written or deleted it.
            pass
        except objects.StoreError:
            if change.attempts < _MAX_ATTEMPTS:
                raise
        if change in self._waiting:
            self._waiting.remove(change)

    async def _delete(self, name: str) -> None:
        stored = await self._store.get(mark_codec.STORE_KIND, name)
        if stored is not None:
            await self._store.delete(mark_codec.STORE_KIND, name, stored.version)


def _decode_or_warn(name: str, value: typing.Any) -> mark_codec.StoredMark | None:
    """Return the mark of an object, or None if it cannot be read, which logs a warning."""
    try:
        return mark_codec.decode(value)
    except mark_codec.MalformedMarkError as error:
        logs.warning(
            "object-malformed", object=f"{mark_codec.STORE_KIND}/{name}", error=repr(error)
        )
        return None


def _object_name(fingerprint: poison.Fingerprint, name: str) -> str:
    return f"{fingerprint.hex()}.{xxhash.xxh64_hexdigest(name.encode())}"
