"""Applies changes of store objects that arrive by a watch or by another instance's feed."""

import json
import math
import operator
import random
import typing
from collections.abc import Callable, Iterable, Mapping

import attrs

from carobhook import logs
from carobhook.coordination import (
    catalog,
    confirmations,
    mark_following,
    newer_versions,
    object_watch,
    objects,
    progress_queries,
    steering,
    store_feed,
)
from carobhook.platform import names, store
from carobhook.protocol import feed_messages, mark_codec
from carobhook.state import ids, members, orders
from carobhook.transport import (
    feed_publisher,
    follow_options,
    orders_restore,
    received_objects,
    store_watches,
    supervision,
)

# Version of the object in force that an instance announces, by kind of object.
_ANNOUNCED_VERSIONS: Mapping[str, Callable[[members.Member], int]] = {
    names.CONFIG_KIND: operator.attrgetter("version"),
    orders.STORE_KIND: operator.attrgetter("orders_version"),
}


@attrs.define
class FeedBytes:
    """Bytes of objects that other instances sent.

    Attributes:
        received: All of them.
        repeated: Those of objects that were held in that version already.
    """

    received: int = 0
    repeated: int = 0


class StoreSync:
    """Keeps the catalog and the orders of this instance up to date with the store.

    The changes come from a watch of the store, or from the feed of an instance that watches it.

    Args:
        reactor: Source of time and timers.
        platform_store: The store.
        server_catalog: Catalog to update.
        order_steering: Steering that gets the operators' orders.
        rng: Source of the jitter of delays.
        on_change: Called after each update of the catalog or the orders; called again if it
            raises.
        peers: Access to the other instances.
        supervisor: Runs the calls whose failure must not end a watch.
        times: Waits with which the store is followed.
        marks: Returns the marks of requests.

    Attributes:
        feed_bytes: What other instances sent since the start.
    """

    def __init__(
        self,
        reactor: typing.Any,
        platform_store: store.PlatformStore,
        server_catalog: catalog.Catalog,
        order_steering: steering.Steering,
        rng: random.Random,
        on_change: Callable[[], object],
        peers: follow_options.FeedPeers,
        supervisor: supervision.Supervisor,
        times: follow_options.FollowTimes,
        marks: Callable[[], mark_following.Marks],
    ) -> None:
        self._reactor = reactor
        self._times = times
        self._marks = marks
        self._mark_following = mark_following.MarkFollowing(times.source.marks_wait_s)
        self._is_direct = False
        self._store = platform_store
        self._catalog = server_catalog
        self._on_change = on_change
        self._peers = peers
        self._supervisor = supervisor
        self._received = received_objects.ReceivedObjects(server_catalog, order_steering)
        self.feed_bytes = FeedBytes()
        self._confirmations = confirmations.Confirmations()
        self._is_unconfirmed = False
        self._probe = store_watches.StoreProbe(
            reactor, platform_store, times.source, self._probe_answered, self._probe_failed
        )
        self._watches = store_watches.StoreWatches(
            reactor,
            platform_store,
            rng,
            {kind: each.watch for kind, each in times.by_kind.items()}
            | {mark_codec.STORE_KIND: times.marks},
            store_watches.WatchCallbacks(
                self._handle_update,
                self._resume_position,
                self._forget,
                lambda: self._probe.has_failed,
            ),
            supervisor,
        )
        self._has_unhandled_change = False
        self._source_selector = store_feed.SourceSelector(peers.own, times.source)
        self._publisher = feed_publisher.FeedPublisher(
            self._received, self._confirmations, times.by_kind, times.source, peers.send
        )
        self._progress_queries = progress_queries.ProgressQueries(
            times.source.progress_interval_s, times.source.progress_lifetime_s
        )
        self._newer_versions = newer_versions.NewerVersions(times.source.newer_wait_s, rng)
        self._newer_checked_at = -math.inf
        self._era = 0
        self._orders_restore = orders_restore.OrdersRestore(
            reactor,
            platform_store,
            server_catalog,
            order_steering,
            rng,
            lambda: self._received.orders_item,
            supervisor,
        )

    @property
    def is_complete(self) -> bool:
        """Return whether the objects of every kind have been received."""
        return all(self._received.position(kind) is not None for kind in self._times.by_kind)

    @property
    def is_direct(self) -> bool:
        """Return whether this instance watches the store itself."""
        return self._is_direct

    @property
    def config_confirmed_at(self) -> float:
        """Return the monotonic time in seconds up to which no configuration was missed.

        It is -inf before the first one was received.
        """
        return self._confirmations.at(names.CONFIG_KIND)

    @property
    def config_evidence(self) -> confirmations.Confirmation | None:
        """Return how it is known that no configuration was missed, None before the first."""
        return self._confirmations.latest(names.CONFIG_KIND)

    @property
    def is_config_recent(self) -> bool:
        """Return whether a newer configuration may exist only for as long as one may take."""
        age_s = self._reactor.seconds() - self.config_confirmed_at
        return age_s <= self._times.by_kind[names.CONFIG_KIND].bound_s

    def start(self) -> None:
        """Start to follow the feed of another instance, or the store itself."""
        self.tick()

    def stop(self) -> None:
        """Stop watching the store, and cancel the probe in progress, if there is one."""
        self._stop_watching()
        self._watches.stop([mark_codec.STORE_KIND])
        self._orders_restore.stop()
        self._probe.stop()

    def tick(self) -> None:
        """Select the source of changes and switch to it.

        While the source is the store, it is probed.
        """
        now = self._reactor.seconds()
        self._record_era(self._store.era)
        self._received.update_evacuated(now)
        candidates = self._peers.candidates()
        decision = self._source_selector.decide(
            candidates, self._peers.relays(), self.is_complete, now
        )
        if decision.subscribe_to is not None:
            self._request_feed(decision.subscribe_to)
        self._ask_for_progress(decision.source, candidates, now)
        if decision.direct and not self.is_direct:
            self._start_watching()
        elif not decision.direct and self.is_direct:
            logs.event("store-followed-by", instance=decision.source)
            self._stop_watching()
        self._follow_marks(candidates, now)
        self._watches.restart_failed(now)
        if self.is_direct:
            self._publisher.send_progress(self._store_status(), now)
        if self.is_direct or self._catalog.store_lost_at is not None:
            self._probe.send_if_due(now)
        if self._has_unhandled_change:
            self._notify_change()
        if self.is_complete:
            self._ask_for_newer(now)
        self._report_age(now)

    def _follow_marks(self, candidates: list[ids.InstanceId], now: float) -> None:
        """Start or stop the watch of marks."""
        is_source = self.is_direct and candidates[:1] == [self._peers.own]
        can_read = self.is_complete and self._catalog.store_lost_at is None
        follows = self._mark_following.must_follow(
            is_source, self._peers.expects_others(), can_read, now
        )
        if follows == self._watches.is_watched(mark_codec.STORE_KIND):
            return
        if follows:
            self._watches.start([mark_codec.STORE_KIND])
        else:
            self._watches.stop([mark_codec.STORE_KIND])
            self._marks().unfollow()

    def _store_status(self) -> feed_publisher.StoreStatus:
        return feed_publisher.StoreStatus(
            self._era, self._store.answered_at, self.is_complete, self._marks().is_current
        )

    def _request_feed(self, name: ids.InstanceId, has_gap: bool = False) -> None:
        revisions = tuple(sorted(self._received.revisions.items()))
        request = feed_messages.FeedRequest(True, self._era, revisions, has_gap)
        self._peers.send(name, request)

    def _ask_for_progress(
        self,
        source: ids.InstanceId | None,
        candidates: list[ids.InstanceId],
        now: float,
    ) -> None:
        """Ask the source in use, and the preferred one, up to where they follow the store."""
        sources = [*candidates[:1]] if source is None else [source, *candidates[:1]]
        sources = [name for name in sources if name != self._peers.own]
        for name, number in self._progress_queries.due(sources, now):
            self._peers.send(name, feed_messages.ProgressQuery(number))

    def _ask_for_newer(self, now: float) -> None:
        """Ask another instance for an object, if it applies a newer version of it."""
        if now - self._newer_checked_at < self._times.source.newer_wait_s:
            return
        self._newer_checked_at = now
        for kind, version in self._received.versions_in_force.items():
            version_of = _ANNOUNCED_VERSIONS[kind]
            announced = {
                member.name: version_of(member)
                for member in self._peers.members()
                if version_of(member) > version
            }
            name = self._newer_versions.instance_to_ask(
                kind, announced, self._peers.relays, now
            )
            if name is not None:
                logs.event("newer-version-seen", kind=kind, version=version, instance=name)
                self._peers.send(name, feed_messages.ObjectRequest(kind, version))

    def _report_age(self, now: float) -> None:
        """Log when it is too long unknown whether a newer configuration exists, and the end."""
        kind = names.CONFIG_KIND
        is_unconfirmed = not self.is_config_recent
        if is_unconfirmed == self._is_unconfirmed or self._received.position(kind) is None:
            return
        self._is_unconfirmed = is_unconfirmed
        source = self._confirmations.source(kind)
        if is_unconfirmed:
            logs.warning(
                "config-unconfirmed",
                source=source,
                direct=self.is_direct,
                age_s=round(now - self.config_confirmed_at, 3),
            )
        else:
            logs.event("config-confirmed", source=source, direct=self.is_direct)

    def _record_era(self, era: int) -> None:
        """Record the store's era; when a new one has begun, list the objects again at once."""
        if era <= self._era:
            return
        before, self._era = self._era, era
        if not before:
            return
        logs.warning(
            "store-restored", era=era, before=before, revisions=self._received.revisions
        )
        self._watches.restart_older(era)

    def remove_subscriber(self, name: ids.InstanceId) -> None:
        """Remove an instance from the subscribers: it is gone, or what it was sent may be lost.

        Args:
            name: The instance, which subscribes again if it lives.
        """
        self._publisher.remove(name)

    def handle_message(self, sender: ids.InstanceId, message: feed_messages.Message) -> None:
        """Handle a message of the feed protocol.

        A request is ignored unless this instance watches the store and has all objects. A
        snapshot is ignored if it is older than the objects of this instance, and so are events
        that end before its revision. Events are also ignored if they begin after the revision
        of this instance, as changes in between would be lost.

        Args:
            sender: Instance that sent it.
            message: The message.
        """
        now = self._reactor.seconds()
        if isinstance(message, feed_messages.FeedRequest):
            if self.is_direct and self.is_complete:
                self._publisher.handle_request(sender, message)
        elif isinstance(message, feed_messages.ProgressQuery):
            if self.is_direct:
                self._publisher.answer_query(sender, message, self._store_status(), now)
        elif isinstance(message, feed_messages.FeedProgress):
            self._handle_progress(sender, message, now)
        elif isinstance(message, feed_messages.ObjectRequest):
            item = self._received.newer_item(message.kind, message.version)
            if item is not None:
                self._peers.send(sender, feed_messages.ObjectReport(message.kind, item))
        elif isinstance(message, feed_messages.ObjectReport):
            self._supervisor.run("feed", self._count_bytes, message.kind, (message.item,))
            apply = self._received.apply_newer
            self._supervisor.run("feed", apply, message.kind, message.item, sender)
            self._notify_change()
        else:
            self._supervisor.run("feed", self._count_bytes, message.kind, message.items)
            self._handle_objects(sender, message)

    def _handle_objects(
        self,
        sender: ids.InstanceId,
        message: feed_messages.Change,
    ) -> None:
        """Apply objects of a feed, unless they are older or follow changes that are missing."""
        position = objects.Position(message.era, message.revision)
        if isinstance(message, feed_messages.FeedSnapshot):
            if self._received.is_newer(message.kind, position):
                self._apply_message(
                    self._apply_snapshot, message.kind, position, message.items, sender
                )
        elif self._received.has_reached(message.kind, message.era, message.since):
            if self._received.has_reached(message.kind, message.era, message.revision):
                return
            self._apply_message(
                self._apply_changes, message.kind, position, message.items, sender
            )

    def _count_bytes(self, kind: str, items: Iterable[feed_messages.FeedObject]) -> None:
        self.feed_bytes.received += feed_publisher.size_of(items)
        self.feed_bytes.repeated += self._received.bytes_held(kind, items)

    def _handle_progress(
        self, sender: ids.InstanceId, message: feed_messages.FeedProgress, now: float
    ) -> None:
        """Rely on a feed for as long as what the sender knew when it sent the message holds.

        The time counts from the sender's own confirmation, not from the message: otherwise it
        would begin anew with each instance on the way. The sender's age counts from the query,
        not from the arrival of the answer, which may have been under way for long.
        """
        # Builds of earlier versions send the message unasked.
        asked_at: float | None = now
        if message.answers:
            asked_at = self._progress_queries.take_asked_at(sender, message.answers)
        if asked_at is None:
            return
        if message.has_marks:
            self._mark_following.record_informed(asked_at)
        is_current = all(
            self._received.has_reached(kind, message.era, revision)
            for kind, revision in message.revisions
        )
        fresh_for_s = math.inf
        # Builds of earlier versions state no ages.
        ages_s = dict.fromkeys(self._received.revisions, 0.0)
        ages_s.update((kind, age_ms / 1000) for kind, age_ms in message.ages_ms)
        for kind, age_s in ages_s.items():
            if is_current:
                self._confirmations.record(kind, asked_at - age_s, sender)
            if kind in self._times.by_kind:
                fresh_for_s = min(fresh_for_s, self._times.by_kind[kind].max_age_s - age_s)
        self._source_selector.record_progress(sender, is_current, asked_at, fresh_for_s)
        # Builds of earlier versions send what they are asked for again in any case.
        lacks_changes = not is_current and bool(message.answers)
        if lacks_changes and self._progress_queries.record_gap(sender, asked_at, now):
            self._request_feed(sender, has_gap=True)

    def _apply_message(
        self,
        apply: Callable[..., object],
        kind: str,
        position: objects.Position,
        items: Iterable[feed_messages.FeedObject],
        sender: ids.InstanceId,
    ) -> None:
        """Apply objects of a feed; if that fails, receive all objects of their kind anew."""
        if not self._supervisor.run("feed", apply, kind, position, items, sender):
            self._receive_anew(kind)
        self._notify_change()

    def _receive_anew(self, kind: str) -> None:
        """Forget the objects of a kind, and list them anew if this instance watches it."""
        self._received.forget(kind)
        self._watches.restart(kind)

    def _notify_change(self) -> None:
        """Report a change of the catalog or the orders; a report that fails is repeated."""
        self._has_unhandled_change = not self._supervisor.run("store-change", self._on_change)

    # Updates from the store.

    def _start_watching(self) -> None:
        logs.event("store-followed-directly", revisions=self._received.revisions)
        self._is_direct = True
        self._watches.start(self._times.by_kind)

    def _stop_watching(self) -> None:
        self._is_direct = False
        self._watches.stop(self._times.by_kind)
        self._publisher.clear()

    def _forget(self, kind: str) -> None:
        """Forget the objects of a kind, as it is not known how many of them were applied."""
        if kind == mark_codec.STORE_KIND:
            self._marks().forget()
        else:
            self._received.forget(kind)

    def _resume_position(self, kind: str) -> objects.Position | None:
        """Return where this instance has got to with a kind, unless the era has ended."""
        position = self._received.position(kind)
        if kind == mark_codec.STORE_KIND:
            position = self._marks().position
        return position if position is not None and position.era == self._era else None

    def _probe_answered(self, had_failed: bool, sent_at: float) -> None:
        if not self.is_direct:
            self._record_answer(names.PROBE_KIND)
        if had_failed:
            self._watches.renew(sent_at)

    def _probe_failed(self, reason: typing.Any) -> None:
        if not reason.check(objects.StoreError):
            self._supervisor.record("probe", reason)
            return
        self._record_failure(names.PROBE_KIND, reason.value)

    def _record_failure(self, kind: str, error: BaseException) -> None:
        """Record that the store did not answer a call for a kind of object."""
        if self._catalog.store_lost_at is None:
            logs.warning("store-unavailable", kind=kind, error=error)
        self._catalog.record_outage(self._reactor.seconds())

    def _record_answer(self, kind: str) -> None:
        """Record that the store answered a call for a kind of object."""
        now = self._reactor.seconds()
        if self._catalog.store_lost_at is not None:
            outage_s = now - self._catalog.store_lost_at
            logs.event("store-answers", kind=kind, unavailable_s=round(outage_s, 3))
        self._catalog.record_answer(now)

    def _handle_update(self, kind: str, update: object_watch.Update) -> None:
        if kind == mark_codec.STORE_KIND:
            self._marks().handle_update(update)
            self._watches.record_success(kind)
            return
        if isinstance(update, object_watch.WatchFailure):
            self._record_failure(kind, update.error)
            return
        self._confirmations.record(kind, update.confirmed_at, confirmations.STORE)
        self._record_answer(kind)
        if isinstance(update, object_watch.Unchanged):
            return
        if isinstance(update, object_watch.Snapshot):
            items = tuple(_feed_object(item) for item in update.items[kind])
            position = objects.Position(update.era, update.revision)
            self._apply_snapshot(kind, position, items)
            feed_message: feed_messages.Change = feed_messages.FeedSnapshot(
                kind, update.revision, items, update.era
            )
        else:
            items = tuple(_feed_object(event) for event in update.events)
            # This is not update.since: the watch also advances past changes of other kinds,
            # about which subscribers get no update. Their revision can be older than
            # update.since, and they would ignore the events.
            known = self._received.position(kind)
            since = known.revision if known is not None else update.since
            self._apply_changes(kind, objects.Position(update.era, update.revision), items)
            feed_message = feed_messages.FeedEvents(
                kind, since, update.revision, items, update.era
            )
        self._watches.record_success(kind)
        self._publisher.publish(feed_message)
        self._notify_change()

    # Updates of the catalog and the orders.

    def _apply_snapshot(
        self,
        kind: str,
        position: objects.Position,
        items: Iterable[feed_messages.FeedObject],
        source: str = confirmations.STORE,
    ) -> None:
        self._record_era(position.era)
        self._received.apply_snapshot(kind, position, items, self._reactor.seconds(), source)
        self._restore_orders(kind)

    def _apply_changes(
        self,
        kind: str,
        position: objects.Position,
        items: Iterable[feed_messages.FeedObject],
        source: str = confirmations.STORE,
    ) -> None:
        self._received.apply_changes(kind, position, items, self._reactor.seconds(), source)
        self._restore_orders(kind)

    def _restore_orders(self, kind: str) -> None:
        """After a change of the orders, write those again that the store has lost."""
        if kind == orders.STORE_KIND:
            self._orders_restore.schedule(self.is_direct)


def _feed_object(item: objects.StoredObject | objects.WatchEvent) -> feed_messages.FeedObject:
    value = None
    if item.value is not None:
        value = json.dumps(item.value, separators=(",", ":")).encode()
    return feed_messages.FeedObject(item.name, item.version, value)
