"""Decides which instances read the marks of requests from the store."""

import math
import typing

import attrs

from carobhook.coordination import object_watch, objects


class Marks(typing.Protocol):
    """Marks of requests, which instances keep in the store and send each other as messages."""

    @property
    def position(self) -> objects.Position | None:
        """Return the position up to which they were read from the store, None before."""

    @property
    def is_current(self) -> bool:
        """Return whether they were read, and the store answered the latest call."""

    def handle_update(self, update: object_watch.Update) -> None:
        """Apply what a watch of the marks tells."""

    def forget(self) -> None:
        """Forget what was read, as it is not known how much of it was applied."""

    def unfollow(self) -> None:
        """Record that the marks are not watched any more."""


# An instance that expects others counts as the source of its region once it has been for this
# long. It may take itself for the source until their heartbeats arrive.
_SOURCE_WAIT_S = 0.6


@attrs.define
class MarkFollowing:
    """Decides whether one instance watches the marks in the store itself.

    Load pattern: all instances of a fleet start at once, or turn to the store at once when it
    comes back. One of each region reads the marks and sends them to the others, so that the
    calls do not grow with the fleet. An instance that no such instance informs, as the source
    of its feed is of an earlier build or out of reach, reads them itself.

    Attributes:
        wait_s: Seconds without word of an instance that watches the marks, after which this one
            does. It is shorter than the time after which an instance must know them.
    """

    wait_s: float
    _informed_at: float = attrs.field(default=-math.inf, init=False)
    _not_source_at: float | None = attrs.field(default=None, init=False)

    def record_informed(self, at: float) -> None:
        """Record that an instance which watches the marks has sent them all.

        Args:
            at: Monotonic time in seconds up to which it has.
        """
        self._informed_at = max(self._informed_at, at)

    def must_follow(
        self, is_source: bool, expects_others: bool, can_read: bool, now: float
    ) -> bool:
        """Return whether to watch the marks now.

        Args:
            is_source: Whether this instance follows the store for its region.
            expects_others: Whether its settings name other instances.
            can_read: Whether it has the objects of every other kind and the store answers.
                Until then, the wait for word of another instance does not begin.
            now: Monotonic time in seconds.
        """
        if not is_source or self._not_source_at is None:
            self._not_source_at = now
        if not can_read:
            self.record_informed(now)
        source_wait_s = _SOURCE_WAIT_S if expects_others else 0.0
        if is_source and now - self._not_source_at >= source_wait_s:
            return True
        return now - self._informed_at > self.wait_s
