"""Quarantine of requests that break the backend servers that run them."""

import collections
import enum
from collections.abc import Iterable

import attrs
import xxhash

from carobhook.state import ids, requests

MARK_LIFETIME_S = 600.0
MARKS_OF_POISON = 2
_MAX_MARKED = 10_000
_MAX_PROVEN = 20_000

Fingerprint = bytes


class Verdict(enum.Enum):
    """What may happen to a request."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


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


def fingerprint(request: requests.Request) -> Fingerprint:
    """Return what identifies a request over its repeats."""
    parts = (request.service, request.method, request.path, request.key or "")
    return fingerprint_of(parts, request.body)


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
    """Marks of this instance and its peers, and what runs here of each fingerprint.

    A fingerprint that no server has answered yet, or that has a mark, runs once at a time, so
    that repeats sent at the same moment cannot break one server each. Breaks of a fingerprint
    that was answered before count once for all runs that were under way, so that the loss of a
    whole failure domain does not quarantine the requests that happened to run there.

    Attributes:
        own: Name of this instance.
        marks_of_poison: Marks with which a request is refused.
    """

    own: ids.InstanceId
    marks_of_poison: int = MARKS_OF_POISON
    _marks: dict[Fingerprint, dict[str, Mark]] = attrs.field(factory=dict, init=False)
    _active: dict[Fingerprint, int] = attrs.field(factory=dict, init=False)
    _proven: collections.OrderedDict[Fingerprint, None] = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    _under_way: dict[Fingerprint, str] = attrs.field(factory=dict, init=False)

    def holder(self, print_: Fingerprint, now: float) -> ids.InstanceId | None:
        """Return the one instance that may run a marked request, or None if it has no mark.

        Args:
            print_: Its fingerprint.
            now: Monotonic time in seconds.
        """
        marks = self._live(print_, now)
        return min(mark.source for mark in marks) if marks else None

    @property
    def empty(self) -> bool:
        """Return whether nothing is marked."""
        return not self._marks

    def judge(self, print_: Fingerprint, now: float) -> Verdict:
        """Return what may happen to a request now.

        Args:
            print_: Its fingerprint.
            now: Monotonic time in seconds.
        """
        marks = self._live(print_, now)
        if len(marks) >= self.marks_of_poison:
            return Verdict.REFUSE
        alone = bool(marks) or print_ not in self._proven
        return Verdict.WAIT if alone and self._active.get(print_) else Verdict.RUN

    def marked(self, print_: Fingerprint, now: float) -> bool:
        """Tell whether a fingerprint has a mark."""
        return bool(self._live(print_, now))

    def started(self, print_: Fingerprint) -> None:
        """Count a request that will be sent to a server."""
        self._active[print_] = self._active.get(print_, 0) + 1

    def ended(self, print_: Fingerprint) -> None:
        """Count the end of a request counted by `started`."""
        self._active[print_] -= 1
        if not self._active[print_]:
            del self._active[print_]
            self._under_way.pop(print_, None)

    def proven(self, print_: Fingerprint) -> None:
        """Take note that a server lived to begin an answer."""
        self._proven[print_] = None
        self._proven.move_to_end(print_)
        if len(self._proven) > _MAX_PROVEN:
            self._proven.popitem(last=False)

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
        if print_ in self._proven:
            name = self._under_way.setdefault(print_, name)
        mark = Mark(print_, name, self.own, now + MARK_LIFETIME_S)
        self.add(mark)
        return mark

    def add(self, mark: Mark) -> None:
        """Take in a mark of this instance or of a peer."""
        self._marks.setdefault(mark.fingerprint, {})[mark.name] = mark
        if len(self._marks) > _MAX_MARKED:
            del self._marks[next(iter(self._marks))]

    def _live(self, print_: Fingerprint, now: float) -> list[Mark]:
        marks = self._marks.get(print_)
        if marks is None:
            return []
        for name in [n for n, mark in marks.items() if mark.expires_at <= now]:
            del marks[name]
        if not marks:
            del self._marks[print_]
        return list(marks.values())
