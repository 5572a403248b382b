"""Choice of the instance that follows the store for a region and feeds its changes to others.

Load pattern: every change of an object costs a call for each instance that watches it, so one
instance of a region watches the store and sends the changes to the others. These ask it several
times a second for its progress. A progress message says that the store still responds
to the sender, and up to which revision of each kind of object it has sent every change. An
instance relies on the feed only while it gets answers to queries that it sent lately;
otherwise, it follows the store itself.
"""

import math
from collections.abc import Collection, Iterable, Sequence

import attrs

from carobhook.coordination import follow_times, membership
from carobhook.state import ids, members

# Least time between two subscription requests while a feed is not fresh.
_SUBSCRIBE_INTERVAL_S = 0.6
# A starting instance waits before it lists the store's objects. Otherwise, every machine of a
# fleet that starts at once would list them. The waits count from its start.
# A relay waits this long for the heartbeat of an instance that can follow the store.
_HEARTBEAT_WAIT_S = 0.3
# An instance that knows such an instance waits this long for its feed.
_FIRST_FEED_WAIT_S = 1.0
# An instance that is no relay waits this long for such an instance to become ready.
_RELAY_WAIT_S = 2.5


def candidates(serving: Iterable[members.Member], region: ids.Region) -> list[ids.InstanceId]:
    """Return the instances that can follow the store for a region, in order of preference.

    Args:
        serving: Instances that accept new work.
        region: The region.
    """
    eligible = [m for m in serving if m.region == region and m.reaches_store]
    names = [m.name for m in membership.relays(eligible, region)]
    ordered = membership.rendezvous_order(f"feed/{region}", names)
    return [ids.InstanceId(name) for name in ordered]


@attrs.frozen
class SourceDecision:
    """Where an instance gets the store's changes from at present.

    Attributes:
        direct: Whether it follows the store itself.
        source: Instance whose feed it uses in place of the store, or None.
        subscribe_to: Instance to whose feed it must subscribe now, or None.
    """

    direct: bool
    source: ids.InstanceId | None
    subscribe_to: ids.InstanceId | None


@attrs.define
class SourceSelector:
    """Selects the source from which one instance gets the store's changes.

    Attributes:
        own: Name of this instance.
        times: Waits of the feed.
    """

    own: ids.InstanceId
    times: follow_times.SourceTimes
    _fresh_until: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)
    _subscribed_at: float = attrs.field(default=-math.inf, init=False)
    _subscribed_to: ids.InstanceId | None = attrs.field(default=None, init=False)
    _started_at: float | None = attrs.field(default=None, init=False)

    def record_progress(
        self,
        sender: ids.InstanceId,
        is_current: bool,
        asked_at: float,
        fresh_for_s: float = math.inf,
    ) -> None:
        """Record a progress message.

        Args:
            sender: Instance that sent it.
            is_current: Whether this instance has every change that the sender has sent; if
                not, the feed counts as stale until a later progress message.
            asked_at: Monotonic time in seconds at which the message was asked for.
            fresh_for_s: Seconds after that for which what the sender knows is recent enough.
        """
        if is_current:
            lifetime_s = min(fresh_for_s, self.times.progress_lifetime_s)
            self._fresh_until[sender] = asked_at + lifetime_s
        else:
            self._fresh_until.pop(sender, None)

    def decide(
        self,
        candidates: Sequence[ids.InstanceId],
        relays: Collection[ids.InstanceId],
        is_complete: bool,
        now: float,
    ) -> SourceDecision:
        """Return the source to use now.

        While the source changes, the feed of the former one is used for as long as it is fresh.
        Otherwise all instances of a region would turn to the store at the same moment.

        The caller must send a subscription request to `SourceDecision.subscribe_to`, as the
        next one is due only after an interval.

        Args:
            candidates: Instances that can follow the store, in order of preference.
            relays: Relays of the region, ready or not.
            is_complete: Whether this instance has received the objects of every kind.
            now: Monotonic time in seconds.
        """
        if self._started_at is None:
            self._started_at = now
        source = candidates[0] if candidates else None
        if source == self.own:
            return SourceDecision(True, None, None)
        waited_s = now - self._started_at
        feeder = self._fresh_feeder(source, now) if is_complete else None
        if source is None:
            wait_s = _HEARTBEAT_WAIT_S if self.own in relays else _RELAY_WAIT_S
            is_direct = feeder is None and (is_complete or waited_s >= wait_s)
            return SourceDecision(is_direct, feeder, None)
        subscribe_to = None
        if feeder != source and self._is_subscription_due(source, now):
            subscribe_to = self._subscribed_to = source
            self._subscribed_at = now
        is_starting = not is_complete and waited_s < _FIRST_FEED_WAIT_S
        return SourceDecision(feeder is None and not is_starting, feeder, subscribe_to)

    def _fresh_feeder(
        self, preferred: ids.InstanceId | None, now: float
    ) -> ids.InstanceId | None:
        """Return an instance whose feed is fresh, the preferred one if it is, or None."""
        self._fresh_until = {
            name: until for name, until in self._fresh_until.items() if now <= until
        }
        if preferred in self._fresh_until:
            return preferred
        return max(self._fresh_until, key=self._fresh_until.__getitem__, default=None)

    def _is_subscription_due(self, source: ids.InstanceId, now: float) -> bool:
        if source != self._subscribed_to:
            return True
        return now - self._subscribed_at >= _SUBSCRIBE_INTERVAL_S


@attrs.define
class Subscribers:
    """Instances that are subscribed to the feed of this one.

    Attributes:
        times: Waits of the feed.
    """

    times: follow_times.SourceTimes
    _names: set[ids.InstanceId] = attrs.field(factory=set, init=False)
    _asking: set[ids.InstanceId] = attrs.field(factory=set, init=False)
    _progress_sent_at: float = attrs.field(default=-math.inf, init=False)

    def __contains__(self, name: ids.InstanceId) -> bool:
        """Return whether an instance is subscribed."""
        return name in self._names

    @property
    def names(self) -> list[ids.InstanceId]:
        """Return the subscribers, sorted by name."""
        return sorted(self._names)

    def add(self, name: ids.InstanceId, asks_progress: bool = False) -> None:
        """Add a subscriber.

        Args:
            name: The subscriber.
            asks_progress: Whether it asks for progress messages; if not, it gets them unasked.
        """
        self._names.add(name)
        if asks_progress:
            self._asking.add(name)
        else:
            self._asking.discard(name)

    def due(self, now: float) -> list[ids.InstanceId]:
        """Return the subscribers to which to send a progress message now, unasked.

        The list is empty until an interval after the last messages has passed. The caller must
        send the messages, as the next interval begins with this call.

        Args:
            now: Monotonic time in seconds.
        """
        if now - self._progress_sent_at < self.times.progress_interval_s:
            return []
        self._progress_sent_at = now
        return [name for name in self.names if name not in self._asking]

    def remove(self, name: ids.InstanceId) -> None:
        """Remove a subscriber, if it is one."""
        self._names.discard(name)
        self._asking.discard(name)

    def clear(self) -> None:
        """Remove all subscribers."""
        self._names.clear()
        self._asking.clear()
