"""Watch of kinds of store objects: lists them, then watches them and resumes after failures."""

import math
import random
import typing
from collections.abc import Callable, Mapping, Sequence

import attrs
from attrs import validators
from twisted.internet import defer, task

from carobhook.coordination import backoff, objects


@attrs.frozen
class Snapshot:
    """All objects of the watched kinds, which replace all objects received before.

    Attributes:
        items: The objects by kind.
        revision: Store revision up to which the objects are complete.
        confirmed_at: Monotonic time in seconds up to which they have all changes.
        era: Era of the revision.
    """

    items: Mapping[str, tuple[objects.StoredObject, ...]]
    revision: int
    confirmed_at: float
    era: int = 0


@attrs.frozen
class Changes:
    """Changes after the previous `Snapshot` or `Changes`, in the order of their versions.

    Attributes:
        events: The changes.
        since: Store revision after which the changes were made.
        revision: Store revision up to which the changes are complete.
        confirmed_at: Monotonic time in seconds up to which they are all changes.
        era: Era of both revisions.
    """

    events: tuple[objects.WatchEvent, ...]
    since: int
    revision: int
    confirmed_at: float
    era: int = 0


@attrs.frozen
class Unchanged:
    """No change after the previous `Snapshot` or `Changes`.

    Attributes:
        confirmed_at: Monotonic time in seconds up to which there was none.
    """

    confirmed_at: float


@attrs.frozen
class WatchFailure:
    """A call to the store failed; the objects received so far stay in use."""

    error: objects.StoreError


Update = Snapshot | Changes | Unchanged | WatchFailure
Handler = Callable[[Update], object]


@attrs.frozen
class WatchOptions:
    """Settings of a watch.

    Attributes:
        wait_s: Seconds that one call waits for an event.
        margin_s: Seconds after this wait in which the answer has to arrive.
        first_wait_s: The same for the first call after a failure, so that it is known soon
            whether the store answers.
        delays: Delays before the next call after failures.
        lost_delay_s: Delay while the store is known to answer nothing.
        batch_delay_s: Seconds to wait after a call that returned events before the next call.
            Events of that time are returned together, which saves calls.
    """

    wait_s: float = attrs.field(default=5.0, validator=validators.gt(0))
    margin_s: float = attrs.field(default=0.7, validator=validators.gt(0))
    first_wait_s: float = attrs.field(default=0.5, validator=validators.gt(0))
    delays: backoff.Backoff = attrs.field(factory=backoff.Backoff)
    lost_delay_s: float = attrs.field(default=5.0, validator=validators.gt(0))
    batch_delay_s: float = attrs.field(default=0.0, validator=validators.ge(0))


class ObjectWatcher:
    """Task that passes every change to objects of some kinds to a handler.

    The handler gets all objects, then each change once, in the order of versions. After a
    failure the watch resumes at the revision that it had reached; the objects are listed again
    only if the object API no longer keeps the events after that revision, or has begun a new
    era, in which the revision means something else.

    Args:
        store: The object API.
        clock: Reactor, or `twisted.internet.task.Clock`.
        rng: Source of the jitter.
        kinds: Kinds to watch.
        handler: Called with every update; must not raise.
        options: Waits and delays.
        resume_at: Position up to which the caller has the objects already, or None to list
            them first.
        is_lost: Returns whether the store is known to answer nothing. The caller then finds
            out by cheaper calls when it answers again, and calls `renew`.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        clock: typing.Any,
        rng: random.Random,
        kinds: Sequence[str],
        handler: Handler,
        *,
        options: WatchOptions | None = None,
        resume_at: objects.Position | None = None,
        is_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._kinds = tuple(kinds)
        self._handler = handler
        self._options = options or WatchOptions()
        self._is_lost = is_lost
        start = resume_at or objects.Position(0, 0)
        self._since = None if resume_at is None else start.revision
        self._era = start.era
        self._listed_revisions: dict[str, int] = dict.fromkeys(self._kinds, start.revision)
        self._failures = 0
        self._has_failed = False
        self._is_renewed = False
        self._confirmed_at = -math.inf
        # The call in progress, or the wait for the next one, and when it began.
        self._step: defer.Deferred[None] | None = None
        self._step_began_at = -math.inf
        self._is_waiting = False
        self._running: defer.Deferred[None] | None = None

    @property
    def since(self) -> int | None:
        """Return the revision up to which all changes were handled, or None if unknown."""
        return self._since

    @property
    def era(self) -> int:
        """Return the era of the latest objects, 0 before."""
        return self._era

    def start(self) -> defer.Deferred[None]:
        """Start watching; the Deferred fires on `stop`, or fails if the handler raises."""
        self._running = defer.ensureDeferred(self._run())
        stopped: defer.Deferred[None] = defer.Deferred()
        self._running.addErrback(lambda failure: failure.trap(defer.CancelledError) and None)
        self._running.chainDeferred(stopped)
        return stopped

    def stop(self) -> None:
        """Stop watching and cancel the call in progress."""
        self._is_renewed = False
        if self._running is not None:
            self._running.cancel()

    def renew(self, before: float) -> bool:
        """Make the next call at once if it waits, or if the present one was made before a time.

        A call that was made while the store answered nothing gets no answer after its return
        either, and would run to the end of its time. A wait ends whenever it began, as a call
        from before the return may have failed after it.

        Args:
            before: The monotonic time in seconds.

        Returns:
            Whether a call was ended, or the wait for the next one.
        """
        if self._step is None or self._step.called:
            return False
        if self._step_began_at >= before and not self._is_waiting:
            return False
        self._is_renewed = True
        self._step.cancel()
        return True

    async def _run(self) -> None:
        while True:
            try:
                await self._begin(defer.ensureDeferred(self._list_or_watch()))
                self._failures = 0
                self._has_failed = False
            except objects.ExpiredError:
                self._since = None
            except objects.StoreError as error:
                self._handler(WatchFailure(error))
                await self._wait_after_failure()
            except defer.CancelledError:
                self._accept_renewal()

    async def _wait_after_failure(self) -> None:
        delay_s = self._options.delays.delay_s(self._failures, self._rng)
        if self._is_lost():
            delay_s = self._options.lost_delay_s
        self._failures += 1
        self._has_failed = True
        try:
            wait = task.deferLater(self._clock, delay_s)
            await self._begin(wait, is_waiting=True)
        except defer.CancelledError:
            self._accept_renewal()

    def _begin(
        self, step: defer.Deferred[None], is_waiting: bool = False
    ) -> defer.Deferred[None]:
        self._step, self._step_began_at = step, self._clock.seconds()
        self._is_waiting = is_waiting
        return step

    def _accept_renewal(self) -> None:
        """Go on after `renew` cancelled a step.

        Raises:
            defer.CancelledError: It was cancelled by `stop`.
        """
        if not self._is_renewed:
            raise defer.CancelledError
        self._is_renewed = False
        self._has_failed = True
        self._failures = 0

    async def _list_or_watch(self) -> None:
        if self._since is None:
            await self._list()
            return
        called_at = self._clock.seconds()
        wait_s = self._wait_s(called_at)
        batch = await self._store.watch(
            self._kinds, self._since, wait_s, self._options.margin_s
        )
        if batch.era != self._era:
            raise objects.ExpiredError(f"era {self._era} has ended; it is {batch.era} now")
        # Kinds are listed one after another, and the watch resumes at the lowest of their
        # revisions. The later listings hold some of the events already.
        new = [
            event
            for event in batch.events
            if event.version > self._listed_revisions[event.kind]
        ]
        # The answer may have been under way for long. It was given after the call was made and,
        # without an event, after the wait.
        has_waited = not batch.events and self._clock.seconds() - called_at >= wait_s
        self._confirmed_at = called_at + wait_s if has_waited else called_at
        if new:
            self._handler(
                Changes(tuple(new), self._since, batch.revision, self._confirmed_at, self._era)
            )
        else:
            self._handler(Unchanged(self._confirmed_at))
        self._since = batch.revision
        if new and self._options.batch_delay_s:
            await task.deferLater(self._clock, self._options.batch_delay_s)

    def _wait_s(self, now: float) -> float:
        """Return how long the next call waits for an event.

        It is shorter after an answer that confirmed an earlier time only, so that no more than
        one whole wait passes between two confirmations.
        """
        options = self._options
        first_wait_s = min(options.first_wait_s, options.wait_s)
        if self._has_failed:
            return first_wait_s
        return max(first_wait_s, options.wait_s - max(0.0, now - self._confirmed_at))

    async def _list(self) -> None:
        self._confirmed_at = self._clock.seconds()
        listings = {}
        for kind in self._kinds:
            listings[kind] = await self._store.list(kind)
        eras = {listing.era for listing in listings.values()}
        if len(eras) > 1:
            raise objects.UnavailableError("a new era began while objects were listed")
        self._era = eras.pop()
        self._listed_revisions = {kind: listings[kind].revision for kind in self._kinds}
        self._since = min(self._listed_revisions.values())
        items = {kind: listing.items for kind, listing in listings.items()}
        self._handler(Snapshot(items, self._since, self._confirmed_at, self._era))
