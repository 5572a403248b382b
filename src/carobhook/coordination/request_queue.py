"""Queue of slot requests, in the order in which they are served.

Load pattern: under overload the queue holds hundreds of requests, and every arrival and every
free slot looks at it. Apart from `RequestQueue.__iter__` and `RequestQueue.work_ahead_s`, no
operation takes time in proportion to its length.
"""

import bisect
import operator
from collections.abc import Iterator

import attrs

from carobhook.coordination import fair_share
from carobhook.state import allocation, ids

sort_key = operator.attrgetter("sort_key")
_expected_work_s = operator.attrgetter("expected_work_s")


@attrs.define(eq=False)
class QueuedRequest:
    """A slot request in the queue.

    Attributes:
        request: The slot request.
        expected_work_s: Expected work time in seconds.
        late: Whether it may miss its target even if it starts at once. Once true, stays true.
        awaited: Busy server that it waits for although another one was free, or None.
        gave_way_until: Monotonic time in seconds until which it waits for a busy server,
            although it could have started on a free one while slots were plenty, or None. It is
            not refused in favour of others then.
        standing: Place before the priority, by the fair shares of accounts and routes.
        sort_key: Queue order: requests still in time first, then by standing, priority and
            target.
    """

    request: allocation.SlotRequest
    expected_work_s: float
    late: bool = attrs.field(default=False, init=False)
    awaited: ids.Server | None = attrs.field(default=None, init=False)
    gave_way_until: float | None = attrs.field(default=None, init=False)
    standing: fair_share.Standing = fair_share.Standing.USUAL
    sort_key: tuple[bool, int, int, float] = attrs.field(init=False)

    @sort_key.default
    def _initial_sort_key(self) -> tuple[bool, int, int, float]:
        return (False, self.standing, self.request.priority, self.request.target_at)

    @property
    def refusal_reason(self) -> str:
        """Return why it is refused if the queue has no room for it, for the log."""
        if self.late:
            return "late"
        return "share" if self.standing is fair_share.Standing.BEYOND else "queue"

    def mark_late(self) -> None:
        """Mark the request as late; it must not be in a queue meanwhile."""
        self.late = True
        self.sort_key = (True, *self.sort_key[1:])


@attrs.define
class RequestQueue:
    """Queued requests, sorted by `QueuedRequest.sort_key`."""

    _sorted: list[QueuedRequest] = attrs.field(factory=list, init=False)
    _by_id: dict[ids.RequestId, QueuedRequest] = attrs.field(factory=dict, init=False)
    _work_s: float = attrs.field(default=0.0, init=False)

    @property
    def work_s(self) -> float:
        """Return the expected work, in slot-seconds, of all queued requests."""
        return self._work_s

    @property
    def late_count(self) -> int:
        """Return the number of late requests."""
        first_late = bisect.bisect_left(self._sorted, (True,), key=sort_key)
        return len(self._sorted) - first_late

    @property
    def has_request_in_time(self) -> bool:
        """Return whether any queued request is not late."""
        return bool(self._sorted) and not self._sorted[0].late

    def __len__(self) -> int:
        return len(self._sorted)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Yield the queued requests; they may be removed or marked as late meanwhile."""
        return iter(list(self._sorted))

    def head(self, count: int) -> list[QueuedRequest]:
        """Return the first requests, at most as many as given."""
        return self._sorted[:count]

    def work_ahead_s(self, queued: QueuedRequest) -> float:
        """Return the expected work, in slot-seconds, that is served before a request."""
        end = bisect.bisect_right(self._sorted, queued.sort_key, key=sort_key)
        return sum(map(_expected_work_s, self._sorted[:end]))

    def add(self, queued: QueuedRequest) -> None:
        """Add a request; it replaces a queued one with the same id, which was sent again."""
        self.remove(queued.request.id)
        bisect.insort_right(self._sorted, queued, key=sort_key)
        self._by_id[queued.request.id] = queued
        self._work_s += queued.expected_work_s

    def remove(self, request_id: ids.RequestId) -> bool:
        """Remove a request; return False if it is not queued."""
        queued = self._by_id.pop(request_id, None)
        if queued is None:
            return False
        index = bisect.bisect_left(self._sorted, queued.sort_key, key=sort_key)
        while self._sorted[index] is not queued:
            index += 1
        del self._sorted[index]
        # Sums of fractions drift; an empty queue has no work.
        self._work_s = self._work_s - queued.expected_work_s if self._sorted else 0.0
        return True

    def mark_late(self, queued: QueuedRequest) -> None:
        """Mark a queued request as late, which moves it behind all that are in time."""
        self.remove(queued.request.id)
        queued.mark_late()
        self.add(queued)

    def clear(self) -> list[allocation.SlotRequest]:
        """Remove all requests and return them."""
        removed = [queued.request for queued in self._sorted]
        self._sorted.clear()
        self._by_id.clear()
        self._work_s = 0.0
        return removed
