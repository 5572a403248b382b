"""Quarantine of requests that break the connections of the backend servers that run them."""

import collections
from collections.abc import Iterable

import attrs
import xxhash

from carobhook.state import ids

MARK_LIFETIME_S = 600.0
# A request is refused after this many broken connections without a complete response.
MARK_LIMIT = 3
# Limits of memory use; beyond them, the oldest entries are dropped.
_MAX_MARKED_REQUESTS = 10_000
_MAX_SEEN_MARKS = 20_000

Fingerprint = bytes


@attrs.frozen
class Mark:
    """Record that a server's connection broke while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        name: Unique name of the mark.
        source: Instance that had the connection.
        expires_at: Monotonic time in seconds, by the clock of the instance that stores it.
    """

    fingerprint: Fingerprint
    name: str
    source: ids.InstanceId
    expires_at: float


def fingerprint_of(parts: Iterable[str], body: bytes) -> Fingerprint:
    """Return a digest of a request's text parts, in their order, and its body."""
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()


@attrs.define
class Quarantine:
    """Marks of requests from this instance and its peers.

    Load pattern: clients repeat a request that breaks every server that runs it, and send it to
    any instance. It is refused once it has enough marks; a complete response removes them.

    Attributes:
        own: Name of this instance.
        mark_limit: Number of marks from which a request is refused.
    """

    own: ids.InstanceId
    mark_limit: int = MARK_LIMIT
    _marks: dict[Fingerprint, dict[str, Mark]] = attrs.field(factory=dict, init=False)
    _seen_marks: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    @property
    def is_empty(self) -> bool:
        """Return whether no request has marks."""
        return not self._marks

    def is_quarantined(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request has so many marks that it is refused.

        Args:
            fingerprint: Fingerprint of the request.
            now: Monotonic time in seconds.
        """
        return len(self._live_marks(fingerprint, now)) >= self.mark_limit

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Remove a request's marks after a complete response; return whether it had any."""
        return self._marks.pop(fingerprint, None) is not None

    def record_failure(self, fingerprint: Fingerprint, name: str, now: float) -> Mark:
        """Add and return a mark for a connection of this instance that broke.

        Args:
            fingerprint: Fingerprint of the request that the server ran.
            name: Unique name of the mark.
            now: Monotonic time in seconds.
        """
        mark = Mark(fingerprint, name, self.own, now + MARK_LIFETIME_S)
        self.add(mark)
        return mark

    def add(self, mark: Mark) -> bool:
        """Add a mark of this instance or of a peer; return whether it is new.

        A mark that was seen before is not added again, even if it was cleared since. Instances
        forward marks and clearings to each other, and without this rule a mark could be added
        and cleared in turn without end.
        """
        if mark.name in self._seen_marks:
            return False
        self._seen_marks[mark.name] = None
        if len(self._seen_marks) > _MAX_SEEN_MARKS:
            self._seen_marks.popitem(last=False)
        self._marks.setdefault(mark.fingerprint, {})[mark.name] = mark
        if len(self._marks) > _MAX_MARKED_REQUESTS:
            del self._marks[next(iter(self._marks))]
        return True

    def _live_marks(self, fingerprint: Fingerprint, now: float) -> list[Mark]:
        """Return the marks of a request that have not expired, and remove the others."""
        marks = self._marks.get(fingerprint)
        if marks is None:
            return []
        for name in [n for n, mark in marks.items() if mark.expires_at <= now]:
            del marks[name]
        if not marks:
            del self._marks[fingerprint]
        return list(marks.values())
