"""What the stand-in of the store held some seconds ago, for reads that may be stale."""

import collections

from carobhook.coordination import objects
from carobhook.standins import memory_store

# Changes older than this are not needed to answer any read.
_KEPT_S = 30.0


class PastListings:
    """Listings of each kind as they were at a time that has passed.

    Args:
        first: Objects that the store holds at first, before which it has no past.
    """

    def __init__(self, first: memory_store.SavedCopy) -> None:
        self._oldest = {kind: dict(by_name) for kind, by_name in first.objects.items()}
        self._revisions = dict.fromkeys(self._oldest, first.revision)
        self._events: dict[str, collections.deque[tuple[float, objects.WatchEvent]]] = {}

    def record(self, event: objects.WatchEvent, now: float) -> None:
        """Record a change.

        Args:
            event: The change.
            now: Monotonic time in seconds.
        """
        events = self._events.setdefault(event.kind, collections.deque())
        events.append((now, event))
        while now - events[0][0] > _KEPT_S:
            _, passed = events.popleft()
            _apply(self._oldest.setdefault(event.kind, {}), passed)
            self._revisions[event.kind] = passed.version

    def listing(self, kind: str, at: float, era: int) -> objects.Listing:
        """Return the objects of a kind at a time.

        Args:
            kind: The kind.
            at: Monotonic time in seconds.
            era: Era of the listing.
        """
        found = dict(self._oldest.get(kind, {}))
        revision = self._revisions.get(kind, 0)
        for changed_at, event in self._events.get(kind, ()):
            if changed_at > at:
                break
            _apply(found, event)
            revision = event.version
        return objects.Listing(revision, tuple(found[name] for name in sorted(found)), era)


def _apply(found: dict[str, objects.StoredObject], event: objects.WatchEvent) -> None:
    if event.value is None:
        found.pop(event.name, None)
    else:
        found[event.name] = objects.StoredObject(
            event.kind, event.name, event.version, event.value
        )
