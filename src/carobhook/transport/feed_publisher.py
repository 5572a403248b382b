"""Forwards the store's changes from the instance that watches it to its subscribers."""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from carobhook import logs
from carobhook.coordination import confirmations, follow_times, store_feed
from carobhook.protocol import feed_messages
from carobhook.state import ids
from carobhook.transport import received_objects


@attrs.frozen
class StoreStatus:
    """What an instance that watches the store knows of it at present.

    Attributes:
        era: Era of the store.
        answered_at: Monotonic time in seconds of its last answer.
        is_complete: Whether the objects of every kind have been received.
        has_marks: Whether the marks of requests in the store are watched and known.
    """

    era: int
    answered_at: float
    is_complete: bool
    has_marks: bool


class FeedPublisher:
    """Sends subscribers the objects that they lack, changes and progress messages.

    Args:
        received: Objects of this instance.
        confirmed: How recently each kind of them was confirmed.
        by_kind: Waits for changes of each kind.
        times: Waits of the feed.
        send: Sends a message to an instance; returns False if there is no stream to it.
    """

    def __init__(
        self,
        received: received_objects.ReceivedObjects,
        confirmed: confirmations.Confirmations,
        by_kind: Mapping[str, follow_times.KindTimes],
        times: follow_times.SourceTimes,
        send: Callable[[ids.InstanceId, feed_messages.Message], bool],
    ) -> None:
        self._received = received
        self._confirmed = confirmed
        self._by_kind = by_kind
        self._times = times
        self._send = send
        self._subscribers = store_feed.Subscribers(times)

    def remove(self, name: ids.InstanceId) -> None:
        """Remove a subscriber, if it is one."""
        self._subscribers.remove(name)

    def clear(self) -> None:
        """Remove all subscribers, as this instance does not watch the store any more."""
        self._subscribers.clear()

    def publish(self, message: feed_messages.Change) -> None:
        """Send a change to all subscribers."""
        for name in self._subscribers.names:
            self._send(name, message)

    def handle_request(self, name: ids.InstanceId, request: feed_messages.FeedRequest) -> None:
        """Add a subscriber and send it the objects that it lacks.

        A subscriber that has not got yet what was sent to it may ask again, as the answers to
        its queries wait behind that; to send it once more would hold it up further. Without a
        stream to it nothing is on its way, so it is not subscribed.
        """
        is_waiting = name in self._subscribers and request.asks_progress
        if is_waiting and not request.has_gap:
            return
        held = dict(request.revisions)
        snapshots = [
            snapshot
            for snapshot in self._received.snapshots()
            if snapshot.era != request.era or held.get(snapshot.kind) != snapshot.revision
        ]
        if not all(self._send(name, snapshot) for snapshot in snapshots):
            self._subscribers.remove(name)
            return
        self._subscribers.add(name, request.asks_progress)
        logs.event(
            "feed-subscribed",
            subscriber=name,
            kinds=[snapshot.kind for snapshot in snapshots],
            size_bytes=sum(size_of(snapshot.items) for snapshot in snapshots),
        )

    def answer_query(
        self,
        name: ids.InstanceId,
        query: feed_messages.ProgressQuery,
        status: StoreStatus,
        now: float,
    ) -> None:
        """Answer a subscriber's query, unless it is not known that all objects are current.

        Args:
            name: The subscriber; any other instance gets no answer.
            query: The query.
            status: What is known of the store.
            now: Monotonic time in seconds.
        """
        if name not in self._subscribers:
            return
        progress = self._progress(status, now, query.number)
        if progress is not None:
            self._send(name, progress)

    def send_progress(self, status: StoreStatus, now: float) -> None:
        """Send progress messages that are due to subscribers of earlier builds.

        These do not ask.

        Args:
            status: What is known of the store.
            now: Monotonic time in seconds.
        """
        due = self._subscribers.due(now)
        progress = self._progress(status, now) if due else None
        if progress is not None:
            for name in due:
                self._send(name, progress)

    def _progress(
        self, status: StoreStatus, now: float, answers: int = 0
    ) -> feed_messages.FeedProgress | None:
        """Return a progress message, None if it is not known that all objects are current.

        Args:
            status: What is known of the store.
            now: Monotonic time in seconds.
            answers: Number of the query that it answers, 0 if there is none.
        """
        if now - status.answered_at > self._times.answer_lifetime_s:
            return None
        if not status.is_complete or not self._is_confirmed(now):
            return None
        if not self._received.is_of_era(status.era):
            return None
        revisions = tuple(sorted(self._received.revisions.items()))
        ages_ms = tuple(
            (kind, math.ceil((now - self._confirmed.at(kind)) * 1000)) for kind, _ in revisions
        )
        return feed_messages.FeedProgress(
            revisions, status.era, ages_ms, answers, status.has_marks
        )

    def _is_confirmed(self, now: float) -> bool:
        """Return whether the position of each kind was confirmed lately."""
        return all(
            now - self._confirmed.at(kind) <= times.max_age_s
            for kind, times in self._by_kind.items()
        )


def size_of(items: Iterable[feed_messages.FeedObject]) -> int:
    """Return the bytes of the values of objects."""
    return sum(len(item.value or b"") for item in items)
