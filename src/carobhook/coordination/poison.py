"""Quarantine of requests that break the backend servers that run them."""

import collections
from collections.abc import Iterable

import attrs
import xxhash

from carobhook.state import ids

MARK_LIFETIME_S = 600.0
# A request that broke this many servers and was never answered is refused.
MARKS_OF_POISON = 3
_MAX_MARKED = 10_000
_MAX_SEEN = 20_000

Fingerprint = bytes


@attrs.frozen
class Mark:
    """A server's connection broke while it ran a request of this fingerprint.

    Attributes:
        fingerprint: Of the request.
        name: Unique name of the event.
        source: Instance that saw it.
        expires_at: Monotonic time in seconds, by this instance's clock.
    """

    fingerprint: Fingerprint
    name: str
    source: ids.InstanceId
    expires_at: float


def fingerprint_of(parts: Iterable[str], body: bytes) -> Fingerprint:
    """Return what identifies a request by its texts and its body."""
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()


@attrs.define
class Quarantine:
    """Marks of this instance and its peers.

    Load pattern: a request that breaks each server that runs it is sent again and again, at any
    instance. It is refused once it has enough marks that no whole answer has cleared.

    Attributes:
        own: Name of this instance.
        marks_of_poison: Marks with which a request is refused.
    """

    own: ids.InstanceId
    marks_of_poison: int = MARKS_OF_POISON
    _marks: dict[Fingerprint, dict[str, Mark]] = attrs.field(factory=dict, init=False)
    _seen: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    @property
    def empty(self) -> bool:
        """Return whether nothing is marked."""
        return not self._marks

    def refuses(self, print_: Fingerprint, now: float) -> bool:
        """Tell whether a request has too many marks to be sent.

        Args:
            print_: Its fingerprint.
            now: Monotonic time in seconds.
        """
        return len(self._live(print_, now)) >= self.marks_of_poison

    def clear(self, print_: Fingerprint) -> bool:
        """Forget the marks of a fingerprint answered whole; return whether there were any."""
        return self._marks.pop(print_, None) is not None

    def broke(self, print_: Fingerprint, name: str, now: float) -> Mark:
        """Mark a fingerprint whose run here broke a server's connection.

        Args:
            print_: Its fingerprint.
            name: Unique name of the event.
            now: Monotonic time in seconds.
        """
        mark = Mark(print_, name, self.own, now + MARK_LIFETIME_S)
        self.add(mark)
        return mark

    def add(self, mark: Mark) -> bool:
        """Take in a mark of this instance or of a peer; tell whether it is new.

        Each mark counts once, also after it was cleared, so that news of a mark and of its
        clearing, which instances pass on to each other, cannot follow each other for ever.
        """
        if mark.name in self._seen:
            return False
        self._seen[mark.name] = None
        if len(self._seen) > _MAX_SEEN:
            self._seen.popitem(last=False)
        self._marks.setdefault(mark.fingerprint, {})[mark.name] = mark
        if len(self._marks) > _MAX_MARKED:
            del self._marks[next(iter(self._marks))]
        return True

    def _live(self, print_: Fingerprint, now: float) -> list[Mark]:
        marks = self._marks.get(print_)
        if marks is None:
            return []
        for name in [n for n, mark in marks.items() if mark.expires_at <= now]:
            del marks[name]
        if not marks:
            del self._marks[print_]
        return list(marks.values())
