"""How recently it is known that an instance has all changes of a kind of store object.

An object that has not changed looks the same as one whose changes no longer arrive. So each
kind has a time up to which all changes are known to have been received, and who confirmed it.
"""

import math

import attrs

from carobhook.state import ids

# Source of a confirmation that came from the store itself.
STORE = "store"


@attrs.frozen
class Confirmation:
    """All changes of a kind up to a time were received.

    Attributes:
        at: The monotonic time in seconds.
        source: Instance whose feed confirmed it, or `STORE`.
    """

    at: float
    source: ids.InstanceId | str


@attrs.define
class Confirmations:
    """Latest confirmation of each kind."""

    _by_kind: dict[str, Confirmation] = attrs.field(factory=dict, init=False)

    def record(self, kind: str, at: float, source: ids.InstanceId | str) -> None:
        """Record a confirmation, unless a later one of its kind is known.

        Args:
            kind: The kind.
            at: Monotonic time in seconds up to which all changes were received.
            source: Instance whose feed confirmed it, or `STORE`.
        """
        if at >= self.at(kind):
            self._by_kind[kind] = Confirmation(at, source)

    def at(self, kind: str) -> float:
        """Return the time up to which all changes of a kind were received, -inf if unknown."""
        found = self.latest(kind)
        return found.at if found is not None else -math.inf

    def latest(self, kind: str) -> Confirmation | None:
        """Return the latest confirmation of a kind, None if there was none."""
        return self._by_kind.get(kind)

    def source(self, kind: str) -> ids.InstanceId | str:
        """Return who confirmed a kind last, or an empty text."""
        found = self.latest(kind)
        return found.source if found is not None else ""
