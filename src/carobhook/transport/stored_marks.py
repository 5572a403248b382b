"""Keeps marks of requests in the platform's store, where they outlast all instances.

Marks reach other instances as messages. The store has them for an instance that starts when no
other is left to tell it, or that is separated from the others.
"""

import math
import typing
from collections.abc import Callable

import attrs
import xxhash
from twisted.internet import defer
from twisted.python import failure

from carobhook import logs
from carobhook.coordination import objects, poison
from carobhook.protocol import mark_codec

# Marks are listed at this interval while most other instances are missing, and otherwise.
_SEPARATED_INTERVAL_S = 2.0
_INTERVAL_S = 60.0
_RETRY_S = 1.0
# Marks that wait to be written; beyond that, the oldest are only sent to the other instances.
_MAX_WAITING = 200
_MAX_ATTEMPTS = 20


@attrs.frozen
class MarkCallbacks:
    """Functions that `StoredMarks` calls.

    Attributes:
        on_mark: Called with a mark that the store holds, and its remaining seconds.
        on_removed: Called with a mark that the store held before and holds no longer.
        is_separated: Returns whether most other instances are missing.
        on_failure: Called with the failure of a call that is not the store's.
    """

    on_mark: Callable[[mark_codec.StoredMark, float], object]
    on_removed: Callable[[mark_codec.StoredMark], object]
    is_separated: Callable[[], bool]
    on_failure: Callable[[typing.Any], object]


@attrs.define(eq=False)
class _Change:
    """A mark that is to be written or deleted.

    Attributes:
        mark: The mark.
        is_deletion: Whether it is to be deleted.
        attempts: Number of attempts so far.
    """

    mark: mark_codec.StoredMark
    is_deletion: bool
    attempts: int = 0


class StoredMarks:
    """Marks of requests in the store.

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
        self._known: dict[str, mark_codec.StoredMark] = {}
        self._waiting: list[_Change] = []
        self._running: defer.Deferred | None = None
        self._listed_at = -math.inf
        self._retry_at = -math.inf

    def save(self, mark: poison.Mark) -> None:
        """Write a mark of this instance into the store, at once or as soon as it answers."""
        remaining_s = mark.expires_at - self._reactor.seconds()
        expires_at = round(self._wall() + remaining_s, 3)
        stored = mark_codec.StoredMark(mark.fingerprint, mark.name, mark.source, expires_at)
        self._enqueue(_Change(stored, is_deletion=False))

    def discard(self, fingerprint: poison.Fingerprint, names: tuple[str, ...]) -> None:
        """Delete the marks of a request that were cleared."""
        for name in names:
            mark = mark_codec.StoredMark(fingerprint, name, "", 0.0)
            self._enqueue(_Change(mark, is_deletion=True))

    def tick(self) -> None:
        """Make the next call to the store if one is due."""
        now = self._reactor.seconds()
        if self._running is not None or now < self._retry_at:
            return
        separated = self._callbacks.is_separated()
        interval_s = _SEPARATED_INTERVAL_S if separated else _INTERVAL_S
        if self._waiting:
            call = self._write(self._waiting[0])
        elif now - self._listed_at >= interval_s:
            call = self._list(now)
        else:
            return
        self._running = defer.ensureDeferred(call)
        self._running.addBoth(self._finish)

    def stop(self) -> None:
        """Cancel the call in progress."""
        if self._running is not None:
            self._running.cancel()

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
        kind, name = mark_codec.STORE_KIND, _object_name(change.mark)
        try:
            if change.is_deletion:
                await self._delete(name)
            else:
                await self._store.create(kind, name, mark_codec.encode(change.mark))
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

    async def _list(self, now: float) -> None:
        """Apply the marks that the store holds, and delete those that have expired."""
        listing = await self._store.list_stale(mark_codec.STORE_KIND)
        self._listed_at = now
        logs.event(
            "objects-listed",
            kind=mark_codec.STORE_KIND,
            objects=len(listing.items),
            revision=listing.revision,
            era=listing.era,
        )
        found: dict[str, mark_codec.StoredMark] = {}
        for item in listing.items:
            try:
                mark = mark_codec.decode(item.value)
            except mark_codec.MalformedMarkError as error:
                logs.warning(
                    "object-malformed",
                    object=f"{mark_codec.STORE_KIND}/{item.name}",
                    error=repr(error),
                )
                continue
            remaining_s = min(poison.MARK_LIFETIME_S, mark.expires_at - self._wall())
            if remaining_s <= 0:
                self._enqueue(_Change(mark, is_deletion=True))
                continue
            found[item.name] = mark
            self._callbacks.on_mark(mark, remaining_s)
        removed = [mark for name, mark in self._known.items() if name not in found]
        self._known = found
        for mark in removed:
            self._callbacks.on_removed(mark)


def _object_name(mark: mark_codec.StoredMark) -> str:
    return f"{mark.fingerprint.hex()}.{xxhash.xxh64_hexdigest(mark.name.encode())}"
