"""Following of some kinds of objects: list once, then watch, and resume after failures."""

import random
import typing
from collections.abc import Callable, Mapping, Sequence

import attrs
from attrs import validators
from twisted.internet import defer, task

from carobhook.coordination import backoff, objects


@attrs.frozen
class Listed:
    """All objects by kind, in place of what was known before.

    Attributes:
        items: The objects.
        revision: Revision of the store up to which they are complete.
    """

    items: Mapping[str, tuple[objects.StoredObject, ...]]
    revision: int


@attrs.frozen
class Changed:
    """Changes since the objects were listed or last changed, in the order of versions.

    Attributes:
        events: The changes.
        since: Revision after which they came.
        revision: Revision of the store up to which they are complete.
    """

    events: tuple[objects.WatchEvent, ...]
    since: int
    revision: int


@attrs.frozen
class Interrupted:
    """Nothing is heard for now; what is known stays in use."""

    error: objects.StoreError


Message = Listed | Changed | Interrupted
Handler = Callable[[Message], object]


@attrs.frozen
class FollowOptions:
    """How objects are followed.

    Attributes:
        wait_s: Seconds that one watch waits for an event.
        delays: Delays after failures.
        pause_s: Seconds between an event and the next watch, in which events gather.
    """

    wait_s: float = attrs.field(default=5.0, validator=validators.gt(0))
    delays: backoff.Backoff = attrs.field(factory=backoff.Backoff)
    pause_s: float = attrs.field(default=0.0, validator=validators.ge(0))


class Follower:
    """Task that tells a handler of every change to some kinds of objects.

    The handler gets all objects, then their changes in the order of their versions, each
    once. After an interruption the watch goes on where it was, and only when the object API
    no longer keeps the events are the objects listed again.

    Args:
        store: The object API.
        clock: Reactor, or `twisted.internet.task.Clock`.
        rng: Source of the jitter.
        kinds: Kinds to follow.
        handler: Called with every message; must not raise.
        options: Waits and delays.
        resume_at: Revision up to which the objects are known already.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        clock: typing.Any,
        rng: random.Random,
        kinds: Sequence[str],
        handler: Handler,
        *,
        options: FollowOptions | None = None,
        resume_at: int | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._kinds = tuple(kinds)
        self._handler = handler
        self._options = options or FollowOptions()
        self._since = resume_at
        self._listed: dict[str, int] = dict.fromkeys(self._kinds, resume_at or 0)
        self._failures = 0
        self._running: defer.Deferred[None] | None = None

    @property
    def since(self) -> int | None:
        """Return the revision up to which everything was told, or None at the start."""
        return self._since

    def start(self) -> defer.Deferred[None]:
        """Begin to follow; the Deferred fires when it stops, or fails with the handler."""
        self._running = defer.ensureDeferred(self._run())
        stopped: defer.Deferred[None] = defer.Deferred()
        self._running.addErrback(lambda failure: failure.trap(defer.CancelledError) and None)
        self._running.chainDeferred(stopped)
        return stopped

    def stop(self) -> None:
        """Stop following."""
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
                self._failures = 0
            except objects.ExpiredError:
                self._since = None
            except objects.StoreError as error:
                self._handler(Interrupted(error))
                delay_s = self._options.delays.delay_s(self._failures, self._rng)
                self._failures += 1
                await task.deferLater(self._clock, delay_s)

    async def _step(self) -> None:
        if self._since is None:
            await self._list()
            return
        batch = await self._store.watch(self._kinds, self._since, self._options.wait_s)
        new = [event for event in batch.events if event.version > self._listed[event.kind]]
        if new:
            self._handler(Changed(tuple(new), self._since, batch.revision))
        self._since = batch.revision
        if new and self._options.pause_s:
            await task.deferLater(self._clock, self._options.pause_s)

    async def _list(self) -> None:
        found = {}
        for kind in self._kinds:
            found[kind] = await self._store.list(kind)
        self._listed = {kind: found[kind].revision for kind in self._kinds}
        self._since = min(self._listed.values())
        items = {kind: listing.items for kind, listing in found.items()}
        self._handler(Listed(items, self._since))
