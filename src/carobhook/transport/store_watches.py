"""Watches of the store's objects, and probes that tell whether it answers."""

import math
import random
import typing
from collections.abc import Callable, Iterable, Mapping

import attrs
from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import backoff, follow_times, object_watch, objects
from carobhook.platform import store
from carobhook.transport import supervision

# A watch that failed for a reason other than the store lists its objects anew after a delay.
_RESTART_DELAYS = backoff.Backoff(first_s=0.2, cap_s=5.0)


@attrs.frozen
class WatchCallbacks:
    """Functions that `StoreWatches` calls.

    Attributes:
        on_update: Called with a kind and each update of its watch.
        position: Returns the position at which the watch of a kind resumes, None to list its
            objects anew.
        forget: Forgets the objects of a kind, as it is not known how many were applied.
        is_lost: Returns whether probes of the store fail.
    """

    on_update: Callable[[str, object_watch.Update], object]
    position: Callable[[str], objects.Position | None]
    forget: Callable[[str], object]
    is_lost: Callable[[], bool]


class StoreWatches:
    """Watches of kinds of objects, each of which is started again if it fails.

    Args:
        reactor: Source of time and timers.
        platform_store: The store.
        rng: Source of the jitter of delays.
        by_kind: Waits of the watch of each kind.
        callbacks: Functions to call.
        supervisor: Records why a watch failed.
    """

    def __init__(
        self,
        reactor: typing.Any,
        platform_store: store.PlatformStore,
        rng: random.Random,
        by_kind: Mapping[str, object_watch.WatchOptions],
        callbacks: WatchCallbacks,
        supervisor: supervision.Supervisor,
    ) -> None:
        self._reactor = reactor
        self._store = platform_store
        self._rng = rng
        self._by_kind = by_kind
        self._callbacks = callbacks
        self._supervisor = supervisor
        self._watchers: dict[str, object_watch.ObjectWatcher] = {}
        # Number of failures of each kind's watch in a row, and the monotonic time in seconds at
        # which a failed one is started again.
        self._failure_counts: dict[str, int] = {}
        self._restart_at: dict[str, float] = {}

    def is_watched(self, kind: str) -> bool:
        """Return whether a kind is watched."""
        return kind in self._watchers

    def start(self, kinds: Iterable[str]) -> None:
        """Start to watch kinds that are not watched yet."""
        for kind in kinds:
            if not self.is_watched(kind):
                self._watch(kind)

    def stop(self, kinds: Iterable[str]) -> None:
        """Stop the watches of kinds."""
        for kind in kinds:
            self._restart_at.pop(kind, None)
            watcher = self._watchers.pop(kind, None)
            if watcher is not None:
                watcher.stop()

    def restart(self, kind: str) -> None:
        """Start the watch of a kind anew, if it is watched."""
        watcher = self._watchers.get(kind)
        if watcher is not None:
            watcher.stop()
            self._watch(kind)

    def restart_older(self, era: int) -> None:
        """Start the watches anew that have not seen an era yet."""
        for kind, watcher in list(self._watchers.items()):
            if watcher.era < era:
                self.restart(kind)

    def restart_failed(self, now: float) -> None:
        """Start the watches again whose delay after a failure is over.

        Args:
            now: Monotonic time in seconds.
        """
        for kind, restart_at in list(self._restart_at.items()):
            if now >= restart_at:
                self._watch(kind)

    def record_success(self, kind: str) -> None:
        """Record that an update of a kind was applied."""
        self._failure_counts.pop(kind, None)

    def renew(self, before: float) -> None:
        """Make the calls again that were sent, or put off, before the store answered again.

        Args:
            before: Monotonic time in seconds of the call that was answered.
        """
        renewed = [kind for kind, watcher in self._watchers.items() if watcher.renew(before)]
        if renewed:
            logs.event("watches-renewed", kinds=renewed)

    def _watch(self, kind: str) -> None:
        self._restart_at.pop(kind, None)
        watcher = self._watchers[kind] = object_watch.ObjectWatcher(
            self._store,
            self._reactor,
            self._rng,
            (kind,),
            lambda update: self._callbacks.on_update(kind, update),
            options=self._by_kind[kind],
            resume_at=self._callbacks.position(kind),
            is_lost=self._callbacks.is_lost,
        )
        watcher.start().addErrback(lambda reason: self._watch_failed(kind, watcher, reason))

    def _watch_failed(
        self, kind: str, watcher: object_watch.ObjectWatcher, reason: typing.Any
    ) -> None:
        """Schedule the next start of a watch that ended because its objects were not applied.

        It lists them anew, as it is not known how many of them were applied.
        """
        self._supervisor.record(f"watch-{kind}", reason)
        if self._watchers.get(kind) is not watcher:
            return
        self._callbacks.forget(kind)
        count = self._failure_counts.get(kind, 0)
        self._failure_counts[kind] = count + 1
        delay_s = _RESTART_DELAYS.delay_s(count, self._rng)
        self._restart_at[kind] = self._reactor.seconds() + delay_s


class StoreProbe:
    """Finds out by the cheapest call whether the store answers, while no other call tells.

    Args:
        reactor: Source of time.
        platform_store: The store.
        times: Interval and time limit of probes.
        on_answered: Called when a probe is answered, with whether the one before it failed, and
            the monotonic time in seconds at which it was sent.
        on_failed: Called with the reason for which a probe failed.
    """

    def __init__(
        self,
        reactor: typing.Any,
        platform_store: store.PlatformStore,
        times: follow_times.SourceTimes,
        on_answered: Callable[[bool, float], object],
        on_failed: Callable[[typing.Any], object],
    ) -> None:
        self._reactor = reactor
        self._store = platform_store
        self._times = times
        self._on_answered = on_answered
        self._on_failed = on_failed
        self._running: defer.Deferred | None = None
        self._sent_at = 0.0
        self._has_failed = False

    @property
    def has_failed(self) -> bool:
        """Return whether the store did not answer the latest probe."""
        return self._has_failed

    def stop(self) -> None:
        """Cancel the probe in progress, if there is one."""
        if self._running is not None:
            self._running.cancel()

    def send_if_due(self, now: float) -> None:
        """Send a probe if none is in progress, and the store has been silent for a while.

        Args:
            now: Monotonic time in seconds.
        """
        # While the store is lost, answers to other calls do not put the next probe off.
        answered_at = -math.inf if self._has_failed else self._store.answered_at
        idle_s = now - max(answered_at, self._sent_at)
        if self._running is not None or idle_s < self._times.probe_interval_s:
            return
        self._sent_at = now
        probe = self._store.probe(self._times.probe_timeout_s)
        self._running = defer.ensureDeferred(probe)
        self._running.addCallbacks(self._answered, self._failed)

    def _answered(self, _: object) -> None:
        self._running = None
        had_failed, self._has_failed = self._has_failed, False
        self._on_answered(had_failed, self._sent_at)

    def _failed(self, reason: typing.Any) -> None:
        self._running = None
        if reason.check(defer.CancelledError):
            return
        self._has_failed = self._has_failed or bool(reason.check(objects.StoreError))
        self._on_failed(reason)
