"""Quarantine of requests that end the backend servers that run them."""

import collections
from collections.abc import Iterable

import attrs
import xxhash

from carobhook.state import ids

MARK_LIFETIME_S = 600.0
# A request is refused after this many servers have ended while they ran it.
MARK_LIMIT = 3
# Limits of memory use; beyond them, the oldest entries are dropped.
_MAX_MARKED_REQUESTS = 10_000
_MAX_SEEN_MARKS = 20_000

Fingerprint = bytes


@attrs.frozen
class Mark:
    """Record that a server ended while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        name: Name of the run of the server that ended, so that all instances which learn of the
            same end record the same mark.
        source: Instance that learned of it.
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

    Load pattern: clients repeat a request that ends every server that runs it, and send it to
    any instance. It is refused once it has enough marks. A response of a server that does not
    report a failure clears them, because it shows that the request does not end every server.

    Attributes:
        own: Name of this instance.
        mark_limit: Number of marks from which a request is refused.
    """

    own: ids.InstanceId
    mark_limit: int = MARK_LIMIT
    _marks: dict[Fingerprint, dict[str, Mark]] = attrs.field(factory=dict, init=False)
    # Every mark that was seen, and whether it was cleared.
    _seen_marks: collections.OrderedDict[tuple[Fingerprint, str], bool] = attrs.field(
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

    def marks(self, now: float) -> list[Mark]:
        """Return all marks that have not expired, for an instance that may not know them.

        Args:
            now: Monotonic time in seconds.
        """
        return [
            mark
            for fingerprint in list(self._marks)
            for mark in self._live_marks(fingerprint, now)
        ]

    def clear(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        """Remove a request's marks and return their names."""
        names = tuple(self._marks.pop(fingerprint, ()))
        for name in names:
            self._record_seen(fingerprint, name, is_cleared=True)
        return names

    def is_cleared(self, fingerprint: Fingerprint, name: str) -> bool:
        """Return whether a mark is known to be cleared.

        Args:
            fingerprint: Fingerprint of the request.
            name: Name of the mark.
        """
        return self._seen_marks.get((fingerprint, name), False)

    def remove(self, fingerprint: Fingerprint, names: Iterable[str]) -> bool:
        """Remove marks that another instance has cleared; return whether any of them is news.

        Those that have not arrived yet are not added any more.

        Args:
            fingerprint: Fingerprint of the request.
            names: Names of the cleared marks.
        """
        marks = self._marks.get(fingerprint, {})
        is_news = False
        for name in names:
            was_unseen = self._record_seen(fingerprint, name, is_cleared=True)
            is_news |= marks.pop(name, None) is not None or was_unseen
        if not marks:
            self._marks.pop(fingerprint, None)
        return is_news

    def record_end(self, fingerprint: Fingerprint, name: str, now: float) -> Mark | None:
        """Add and return a mark for a server that ended; None if the mark was seen before.

        Args:
            fingerprint: Fingerprint of the request that the server ran.
            name: Name of the run of the server that ended.
            now: Monotonic time in seconds.
        """
        mark = Mark(fingerprint, name, self.own, now + MARK_LIFETIME_S)
        return mark if self.add(mark) else None

    def add(self, mark: Mark) -> bool:
        """Add a mark of this instance or of a peer; return whether it is new.

        A mark that was seen before is not added again, even if it was cleared since. Instances
        forward marks and clearings to each other, and without this rule a mark could be added
        and cleared in turn without end.
        """
        if not self._record_seen(mark.fingerprint, mark.name):
            return False
        self._marks.setdefault(mark.fingerprint, {})[mark.name] = mark
        if len(self._marks) > _MAX_MARKED_REQUESTS:
            del self._marks[next(iter(self._marks))]
        return True

    def _record_seen(
        self, fingerprint: Fingerprint, name: str, is_cleared: bool = False
    ) -> bool:
        """Record that a mark was seen, or cleared; return whether it was not seen before."""
        if (fingerprint, name) in self._seen_marks:
            self._seen_marks[fingerprint, name] |= is_cleared
            return False
        self._seen_marks[fingerprint, name] = is_cleared
        if len(self._seen_marks) > _MAX_SEEN_MARKS:
            self._seen_marks.popitem(last=False)
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
