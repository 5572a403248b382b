"""Decides who follows the store for a region, and whether what it tells can be trusted.

Load pattern: every change of an object costs a call for each instance that watches it, so one
instance of a region watches and tells the others. What it tells counts only while it proves,
several times a second, that the store answers it; without that, each instance follows the store
by itself until a proof comes again.
"""

import math
from collections.abc import Collection, Iterable, Sequence

import attrs

from carobhook.coordination import membership
from carobhook.state import ids, members

# Proofs are sent this often, and trusted this long.
PROOF_INTERVAL_S = 0.3
_PROOF_LIFETIME_S = 1.0
_ASK_INTERVAL_S = 0.6
_IN_TOUCH_S = 1.1
# At its start an instance waits so long for others to be heard, for the feed of one that is
# ready, and, if it is no relay itself, for a relay to become ready.
_HEARING_S = 0.3
_FIRST_FEED_S = 1.0
_RELAY_START_S = 2.5


def in_touch(answered_at: float, now: float) -> bool:
    """Tell whether the store answered lately.

    Args:
        answered_at: Monotonic time in seconds of its last answer.
        now: Monotonic time in seconds.
    """
    return now - answered_at <= _IN_TOUCH_S


def candidates(serving: Iterable[members.Member], region: ids.Region) -> list[ids.InstanceId]:
    """Return the instances that could follow the store for a region, best first.

    Args:
        serving: Instances that take new work.
        region: The region.
    """
    able = [m for m in serving if m.region == region and m.reaches_store]
    names = [m.name for m in membership.relays(able, region)]
    ordered = membership.rendezvous(f"feed/{region}", names)
    return [ids.InstanceId(name) for name in ordered]


@attrs.frozen
class Step:
    """What an instance does now.

    Attributes:
        direct: Whether it follows the store itself.
        source: The instance that it follows in place of the store.
        ask: An instance to ask for its feed, or None.
    """

    direct: bool
    source: ids.InstanceId | None
    ask: ids.InstanceId | None


@attrs.define
class SourceChoice:
    """Chooses the source of one instance.

    Attributes:
        own: Name of this instance.
    """

    own: ids.InstanceId
    _fresh: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)
    _asked_at: float = attrs.field(default=-math.inf, init=False)
    _began_at: float | None = attrs.field(default=None, init=False)

    def told_fresh(self, sender: ids.InstanceId, current: bool, now: float) -> None:
        """Take in a proof of an instance that the store answers it.

        Args:
            sender: The instance.
            current: Whether everything that it told of is known here.
            now: Monotonic time in seconds.
        """
        if current:
            self._fresh[sender] = now
        else:
            self._fresh.pop(sender, None)

    def decide(
        self,
        candidates: Sequence[ids.InstanceId],
        relays: Collection[ids.InstanceId],
        complete: bool,
        now: float,
    ) -> Step:
        """Return what to do now.

        Args:
            candidates: Instances that could follow the store, in order of preference.
            relays: Instances that speak for the region, ready or not.
            complete: Whether everything is known once.
            now: Monotonic time in seconds.
        """
        if self._began_at is None:
            self._began_at = now
        source = candidates[0] if candidates else None
        if source == self.own:
            return Step(True, None, None)
        waited_s = now - self._began_at
        if source is None:
            patience_s = _HEARING_S if self.own in relays else _RELAY_START_S
            return Step(complete or waited_s >= patience_s, None, None)
        fresh_s = now - self._fresh.get(source, -math.inf)
        trusted = complete and fresh_s <= _PROOF_LIFETIME_S
        ask = None
        if not trusted and now - self._asked_at >= _ASK_INTERVAL_S:
            ask = source
            self._asked_at = now
        starting = not complete and waited_s < _FIRST_FEED_S
        return Step(not trusted and not starting, source if trusted else None, ask)


@attrs.define
class Subscribers:
    """Instances that follow this one."""

    _names: set[ids.InstanceId] = attrs.field(factory=set, init=False)
    _proved_at: float = attrs.field(default=-math.inf, init=False)

    @property
    def names(self) -> list[ids.InstanceId]:
        """Return the subscribers."""
        return sorted(self._names)

    def add(self, name: ids.InstanceId) -> None:
        """Take in a subscription."""
        self._names.add(name)

    def due(self, now: float) -> list[ids.InstanceId]:
        """Return the subscribers if a proof is due, and count it as sent.

        Args:
            now: Monotonic time in seconds.
        """
        if now - self._proved_at < PROOF_INTERVAL_S:
            return []
        self._proved_at = now
        return self.names

    def remove(self, name: ids.InstanceId) -> None:
        """Forget an instance that is gone."""
        self._names.discard(name)

    def clear(self) -> None:
        """Forget all."""
        self._names.clear()
