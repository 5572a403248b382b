"""Keeps the catalog up to date from the platform's store."""

import random
import typing
from collections.abc import Callable

from carobhook import logs
from carobhook.coordination import backoff, catalog, following, objects
from carobhook.platform import names
from carobhook.platform import objects as platform_objects
from carobhook.state import ids

_WATCH_WAIT_S = 2.0
_DELAYS = backoff.Backoff(first_s=0.1, cap_s=0.8)
_KINDS = (names.CONFIG_KIND, names.SERVERS_KIND, names.EVACUATIONS_KIND)


class StoreFollow:
    """Follows the configuration, the servers and the evacuations.

    Args:
        reactor: Source of time and timers.
        store: The store.
        known: The catalog to keep.
        rng: Source of the jitter of delays.
        changed: Called after each change to the catalog.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: objects.ObjectStore,
        known: catalog.Catalog,
        rng: random.Random,
        changed: Callable[[], object],
    ) -> None:
        self._reactor = reactor
        self._known = known
        self._changed = changed
        self._listed: set[str] = set()
        self._evacuated: set[ids.FailureDomain] = set()
        options = following.FollowOptions(wait_s=_WATCH_WAIT_S, delays=_DELAYS)
        self._followers = [
            following.Follower(store, reactor, rng, (kind,), self._hearer(kind), options=options)
            for kind in _KINDS
        ]

    @property
    def complete(self) -> bool:
        """Return whether every kind was listed once."""
        return len(self._listed) == len(_KINDS)

    def start(self) -> None:
        """Begin to follow."""
        for follower in self._followers:
            follower.start().addErrback(_log_failure)

    def stop(self) -> None:
        """Stop following."""
        for follower in self._followers:
            follower.stop()

    def _hearer(self, kind: str) -> following.Handler:
        return lambda message: self._hear(kind, message)

    def _hear(self, kind: str, message: following.Message) -> None:
        now = self._reactor.seconds()
        if isinstance(message, following.Interrupted):
            if self._known.store_lost_at is None:
                logs.warning("store-unavailable", kind=kind, error=message.error)
            self._known.store_lost(now)
            return
        if self._known.store_lost_at is not None:
            lost_s = now - self._known.store_lost_at
            logs.event("store-answers", kind=kind, unavailable_s=round(lost_s, 3))
        self._known.store_answered(now)
        if isinstance(message, following.Listed):
            items = message.items[kind]
            self._listed.add(kind)
            logs.event("objects-listed", kind=kind, objects=len(items))
            if kind == names.EVACUATIONS_KIND:
                self._evacuated.clear()
            if kind == names.SERVERS_KIND:
                self._known.retain(frozenset(ids.Server(i.name) for i in items), now)
            self._take(kind, items, now)
        else:
            self._take(kind, message.events, now)
        self._changed()

    def _take(
        self,
        kind: str,
        items: typing.Iterable[objects.StoredObject | objects.WatchEvent],
        now: float,
    ) -> None:
        for item in items:
            if kind == names.CONFIG_KIND:
                self._take_config(item)
            elif kind == names.SERVERS_KIND:
                self._take_server(item, now)
            else:
                self._take_evacuation(item)
        if kind == names.EVACUATIONS_KIND:
            self._known.set_evacuated(frozenset(self._evacuated))

    def _take_config(self, item: objects.StoredObject | objects.WatchEvent) -> None:
        if item.name != names.CONFIG_NAME or item.value is None:
            return
        try:
            config = platform_objects.config(item.value)
        except platform_objects.MalformedObjectError as problem:
            logs.warning("object-malformed", object=f"config/{item.name}", error=problem)
            return
        if self._known.offer_config(config):
            logs.event(
                "config-in-force",
                version=f"{config.version:08x}",
                revision=item.version,
                routes=len(config.routes),
            )

    def _take_server(
        self, item: objects.StoredObject | objects.WatchEvent, now: float
    ) -> None:
        name = ids.Server(item.name)
        if item.value is None:
            logs.event("server-removed", server=name, revision=item.version)
            self._known.remove(name, now)
            return
        try:
            entry = platform_objects.server(item.value)
        except platform_objects.MalformedObjectError as problem:
            logs.warning("object-malformed", object=f"servers/{item.name}", error=problem)
            self._known.remove(name, now)
            return
        logs.event(
            "server-seen",
            server=name,
            service=entry.service,
            zone=entry.zone,
            state=entry.state,
            cold_s=entry.cold_s,
            revision=item.version,
        )
        self._known.put(entry, now)

    def _take_evacuation(self, item: objects.StoredObject | objects.WatchEvent) -> None:
        zone = ids.FailureDomain(item.name)
        logs.event("evacuation", zone=zone, begun=item.value is not None, revision=item.version)
        if item.value is None:
            self._evacuated.discard(zone)
        else:
            self._evacuated.add(zone)


def _log_failure(reason: typing.Any) -> None:
    logs.error("unhandled-error", text=reason.getErrorMessage(), trace=reason.getTraceback())
