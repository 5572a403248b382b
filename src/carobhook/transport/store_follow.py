"""Keeps the catalog up to date: from the store itself, or from an instance that follows it."""

import json
import random
import typing
from collections.abc import Callable, Iterable

import attrs
from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import (
    backoff,
    catalog,
    object_watch,
    objects,
    steering,
    store_feed,
)
from carobhook.platform import names, store
from carobhook.platform import objects as platform_objects
from carobhook.protocol import feed_messages
from carobhook.state import ids, orders

_DELAYS = backoff.Backoff(first_s=0.2, cap_s=1.0)
_OPTIONS = object_watch.WatchOptions(wait_s=4.0, delays=_DELAYS, batch_delay_s=0.2)
# Orders are few, and each call is paid for.
_ORDERS_OPTIONS = object_watch.WatchOptions(wait_s=15.0, delays=_DELAYS, batch_delay_s=0.2)
_KINDS = {
    names.CONFIG_KIND: _OPTIONS,
    names.SERVERS_KIND: _OPTIONS,
    names.EVACUATIONS_KIND: _OPTIONS,
    orders.STORE_KIND: _ORDERS_OPTIONS,
}
_T = typing.TypeVar("_T")

_PROBE_INTERVAL_S = 0.5
_PROBE_TIMEOUT_S = 0.5


@attrs.frozen
class FeedPort:
    """How other instances are reached.

    Attributes:
        own: Name of this instance.
        candidates: Returns the instances of the region that could follow the store for it, in
            order of preference.
        relays: Returns the instances that speak for the region, ready or not.
        send: Sends a message to an instance.
    """

    own: ids.InstanceId
    candidates: Callable[[], list[ids.InstanceId]]
    relays: Callable[[], list[ids.InstanceId]]
    send: Callable[[ids.InstanceId, typing.Any], bool]


class StoreFollow:
    """Follows the configuration, the servers and the evacuations.

    Args:
        reactor: Source of time and timers.
        platform: The store.
        known: The catalog to keep.
        orders: The operators' orders to keep.
        rng: Source of the jitter of delays.
        changed: Called after each change to the catalog.
        port: How other instances are reached.
    """

    def __init__(
        self,
        reactor: typing.Any,
        platform: store.PlatformStore,
        known: catalog.Catalog,
        orders: steering.Steering,
        rng: random.Random,
        changed: Callable[[], object],
        port: FeedPort,
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._known = known
        self._orders = orders
        self._rng = rng
        self._changed = changed
        self._port = port
        self._objects: dict[str, dict[str, feed_messages.FeedObject]] = {}
        self._revisions: dict[str, int] = {}
        self._evacuated: set[ids.FailureDomain] = set()
        self._followers: list[object_watch.ObjectWatcher] = []
        self._choice = store_feed.SourceSelector(port.own)
        self._subscribers = store_feed.Subscribers()
        self._probing: defer.Deferred | None = None
        self._probed_at = 0.0

    @property
    def complete(self) -> bool:
        """Return whether every kind is known."""
        return len(self._revisions) == len(_KINDS)

    @property
    def direct(self) -> bool:
        """Return whether this instance follows the store itself."""
        return bool(self._followers)

    def start(self) -> None:
        """Begin to follow: another instance that is ready, or the store itself."""
        self.tick()

    def stop(self) -> None:
        """Stop following."""
        self._stop_followers()
        if self._probing is not None:
            self._probing.cancel()

    def tick(self) -> None:
        """Choose the source, prove that the store answers, and tell the subscribers."""
        now = self._reactor.seconds()
        step = self._choice.decide(
            self._port.candidates(), self._port.relays(), self.complete, now
        )
        if step.subscribe_to is not None:
            self._port.send(step.subscribe_to, feed_messages.FeedRequest())
        if step.direct and not self._followers:
            self._go_direct()
        elif not step.direct and self._followers:
            logs.event("store-followed-by", instance=step.source)
            self._stop_followers()
        if self._followers:
            self._probe(now)
            if store_feed.has_recent_answer(self._platform.answered_at, now):
                told = feed_messages.FeedProgress(feed_messages.revision_pairs(self._revisions))
                for name in self._subscribers.due(now):
                    self._port.send(name, told)

    def lost(self, name: ids.InstanceId) -> None:
        """Forget an instance that is gone."""
        self._subscribers.remove(name)

    def received(self, sender: ids.InstanceId, message: feed_messages.Message) -> None:
        """Handle a message about the feed."""
        now = self._reactor.seconds()
        if isinstance(message, feed_messages.FeedRequest):
            if self._followers and self.complete:
                self._subscribers.add(sender)
                for snapshot in self._snapshots():
                    self._port.send(sender, snapshot)
        elif isinstance(message, feed_messages.FeedProgress):
            current = all(
                self._revisions.get(kind, -1) >= revision
                for kind, revision in message.revisions
            )
            self._choice.record_progress(sender, current, now)
        elif isinstance(message, feed_messages.FeedSnapshot):
            if message.revision >= self._revisions.get(message.kind, 0):
                self._replace(message.kind, message.revision, message.items)
        elif message.since <= self._revisions.get(message.kind, -1):
            self._change(message.kind, message.revision, message.items)

    def _snapshots(self) -> list[feed_messages.FeedSnapshot]:
        return [
            feed_messages.FeedSnapshot(
                kind, revision, tuple(self._objects.get(kind, {}).values())
            )
            for kind, revision in self._revisions.items()
        ]

    # The store itself.

    def _go_direct(self) -> None:
        logs.event("store-followed-directly", revisions=dict(self._revisions))
        self._followers = [
            object_watch.ObjectWatcher(
                self._platform,
                self._reactor,
                self._rng,
                (kind,),
                self._hearer(kind),
                options=options,
                resume_at=self._revisions.get(kind),
            )
            for kind, options in _KINDS.items()
        ]
        for follower in self._followers:
            follower.start().addErrback(_log_failure)

    def _stop_followers(self) -> None:
        followers, self._followers = self._followers, []
        for follower in followers:
            follower.stop()
        self._subscribers.clear()

    def _probe(self, now: float) -> None:
        idle_s = now - max(self._platform.answered_at, self._probed_at)
        if self._probing is not None or idle_s < _PROBE_INTERVAL_S:
            return
        self._probed_at = now
        self._probing = defer.ensureDeferred(self._platform.probe(_PROBE_TIMEOUT_S))
        self._probing.addCallbacks(self._probe_answered, self._probe_failed)

    def _probe_answered(self, _: object) -> None:
        self._probing = None

    def _probe_failed(self, reason: typing.Any) -> None:
        self._probing = None
        if reason.check(defer.CancelledError):
            return
        if not reason.check(objects.StoreError):
            _log_failure(reason)
            return
        if self._known.store_lost_at is None:
            logs.warning("store-unavailable", kind="probe", error=reason.value)
        self._known.record_outage(self._reactor.seconds())

    def _hearer(self, kind: str) -> object_watch.Handler:
        return lambda message: self._hear(kind, message)

    def _hear(self, kind: str, message: object_watch.Update) -> None:
        now = self._reactor.seconds()
        if isinstance(message, object_watch.WatchFailure):
            if self._known.store_lost_at is None:
                logs.warning("store-unavailable", kind=kind, error=message.error)
            self._known.record_outage(now)
            return
        if self._known.store_lost_at is not None:
            lost_s = now - self._known.store_lost_at
            logs.event("store-answers", kind=kind, unavailable_s=round(lost_s, 3))
        self._known.record_answer(now)
        if isinstance(message, object_watch.Snapshot):
            items = tuple(_fed(item) for item in message.items[kind])
            self._replace(kind, message.revision, items)
            told: feed_messages.Message = feed_messages.FeedSnapshot(
                kind, message.revision, items
            )
        else:
            items = tuple(_fed(event) for event in message.events)
            # The watch may have gone on since over changes of other kinds, untold.
            since = self._revisions.get(kind, message.since)
            self._change(kind, message.revision, items)
            told = feed_messages.FeedEvents(kind, since, message.revision, items)
        for name in self._subscribers.names:
            self._port.send(name, told)

    # What is known.

    def _replace(
        self, kind: str, revision: int, items: Iterable[feed_messages.FeedObject]
    ) -> None:
        now = self._reactor.seconds()
        held = {item.name: item for item in items}
        logs.event("objects-listed", kind=kind, objects=len(held), revision=revision)
        before = self._objects.get(kind, {})
        self._objects[kind] = held
        self._revisions[kind] = revision
        if kind == names.EVACUATIONS_KIND:
            self._evacuated.clear()
        if kind == names.SERVERS_KIND:
            self._known.retain(frozenset(ids.Server(name) for name in held), now)
        self._take(kind, _news(kind, held, before), now)
        self._changed()

    def _change(
        self, kind: str, revision: int, items: Iterable[feed_messages.FeedObject]
    ) -> None:
        held = self._objects.setdefault(kind, {})
        for item in items:
            if item.value is None:
                held.pop(item.name, None)
            else:
                held[item.name] = item
        self._revisions[kind] = max(revision, self._revisions.get(kind, 0))
        self._take(kind, items, self._reactor.seconds())
        self._changed()

    def _take(self, kind: str, items: Iterable[feed_messages.FeedObject], now: float) -> None:
        for item in items:
            if kind == names.CONFIG_KIND:
                self._take_config(item)
            elif kind == names.SERVERS_KIND:
                self._take_server(item, now)
            elif kind == orders.STORE_KIND:
                self._take_orders(item)
            else:
                self._take_evacuation(item)
        if kind == names.EVACUATIONS_KIND:
            self._known.set_evacuated(frozenset(self._evacuated))

    def _take_config(self, item: feed_messages.FeedObject) -> None:
        if item.name != names.CONFIG_NAME or item.value is None:
            return
        config = _decoded(
            f"{names.CONFIG_KIND}/{item.name}",
            item.value,
            platform_objects.decode_config,
            platform_objects.MalformedObjectError,
        )
        if config is not None and self._known.replace_config_if_newer(config):
            logs.event(
                "config-in-force",
                version=f"{config.version:08x}",
                revision=item.version,
                routes=len(config.routes),
            )

    def _take_orders(self, item: feed_messages.FeedObject) -> None:
        if item.name != orders.STORE_NAME or item.value is None:
            return
        # Imported late, as most instances never see an order.
        from carobhook.protocol import order_codec

        book = _decoded(
            f"{orders.STORE_KIND}/{item.name}",
            item.value,
            order_codec.decode,
            order_codec.MalformedOrdersError,
        )
        if book is not None and self._orders.replace_if_newer(book):
            logs.event("orders-in-force", version=book.version, revision=item.version)

    def _take_server(self, item: feed_messages.FeedObject, now: float) -> None:
        name = ids.Server(item.name)
        if item.value is None:
            logs.event("server-removed", server=name, revision=item.version)
            self._known.remove(name, now)
            return
        entry = _decoded(
            f"{names.SERVERS_KIND}/{item.name}",
            item.value,
            platform_objects.decode_server,
            platform_objects.MalformedObjectError,
        )
        if entry is None:
            self._known.remove(name, now)
            return
        logs.event(
            "server-seen",
            server=name,
            service=entry.service,
            zone=entry.failure_domain,
            state=entry.state,
            cold_s=entry.cold_s,
            revision=item.version,
        )
        self._known.put(entry, now)

    def _take_evacuation(self, item: feed_messages.FeedObject) -> None:
        zone = ids.FailureDomain(item.name)
        logs.event("evacuation", zone=zone, begun=item.value is not None, revision=item.version)
        if item.value is None:
            self._evacuated.discard(zone)
        else:
            self._evacuated.add(zone)


def _decoded(
    name: str,
    value: bytes,
    decode: Callable[[typing.Any], _T],
    malformed: type[Exception],
) -> _T | None:
    """Return what an object holds, None for one that cannot be read, which one line tells.

    Args:
        name: Kind and name of the object.
        value: Its value in JSON.
        decode: Makes it of the value's plain form.
        malformed: What ``decode`` raises if it cannot.
    """
    try:
        return decode(json.loads(value))
    except malformed as problem:
        logs.warning("object-malformed", object=name, error=problem)
        return None


def _news(
    kind: str,
    held: dict[str, feed_messages.FeedObject],
    before: dict[str, feed_messages.FeedObject],
) -> list[feed_messages.FeedObject]:
    """Return what a listing holds that was not known; what was evacuated is told anew."""
    if kind == names.EVACUATIONS_KIND:
        return list(held.values())
    return [item for item in held.values() if item != before.get(item.name)]


def _fed(item: objects.StoredObject | objects.WatchEvent) -> feed_messages.FeedObject:
    value = None
    if item.value is not None:
        value = json.dumps(item.value, separators=(",", ":")).encode()
    return feed_messages.FeedObject(item.name, item.version, value)


def _log_failure(reason: typing.Any) -> None:
    logs.error("unhandled-error", text=reason.getErrorMessage(), trace=reason.getTraceback())
