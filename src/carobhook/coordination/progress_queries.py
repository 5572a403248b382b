"""Queries that ask other instances how far they have forwarded the store's changes.

Load pattern: a link or an event loop is overloaded, so that messages arrive seconds after they
were sent. The receiver cannot tell how long a message was on its way, as no two instances share
a clock. So it asks, and counts the age of an answer from the time at which it asked.
"""

import math
from collections.abc import Iterable

import attrs

from carobhook.state import ids


@attrs.frozen
class _Query:
    """A query without an answer yet.

    Attributes:
        receiver: Instance that was asked.
        asked_at: Monotonic time in seconds.
    """

    receiver: ids.InstanceId
    asked_at: float


@attrs.define
class ProgressQueries:
    """Decides when to ask, and remembers when each query was sent.

    Attributes:
        interval_s: Seconds between two queries to one instance.
        lifetime_s: Seconds after which an answer confirms nothing any more.
    """

    interval_s: float
    lifetime_s: float
    _last_number: int = attrs.field(default=0, init=False)
    _asked_at: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)
    _unanswered: dict[int, _Query] = attrs.field(factory=dict, init=False)
    _gap_told_at: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)

    def due(
        self, receivers: Iterable[ids.InstanceId], now: float
    ) -> list[tuple[ids.InstanceId, int]]:
        """Return the instances to ask now, each with the number of the query.

        The caller must send the queries, as the next ones are due only after an interval.

        Args:
            receivers: Instances whose progress matters at present.
            now: Monotonic time in seconds.
        """
        wanted = set(receivers)
        self._forget_old(wanted, now)
        queries = []
        for name in sorted(wanted):
            if now - self._asked_at.get(name, -math.inf) < self.interval_s:
                continue
            self._last_number += 1
            self._asked_at[name] = now
            self._unanswered[self._last_number] = _Query(name, now)
            queries.append((name, self._last_number))
        return queries

    def take_asked_at(self, sender: ids.InstanceId, number: int) -> float | None:
        """Return when an answered query was sent, None if it is unknown or too old.

        Args:
            sender: Instance that answered.
            number: Number of the query.
        """
        query = self._unanswered.get(number)
        if query is None or query.receiver != sender:
            return None
        del self._unanswered[number]
        return query.asked_at

    def record_gap(self, sender: ids.InstanceId, asked_at: float, now: float) -> bool:
        """Record that an answer names changes that are missing; return whether this is news.

        The caller must ask for them then.

        Messages arrive in order, so what was sent before the answer and is not here was lost.
        What is sent once more comes before the answers to later queries.

        Args:
            sender: Instance that answered.
            asked_at: Monotonic time in seconds at which it was asked.
            now: Monotonic time in seconds.
        """
        if asked_at < self._gap_told_at.get(sender, -math.inf):
            return False
        self._gap_told_at[sender] = now
        return True

    def _forget_old(self, wanted: set[ids.InstanceId], now: float) -> None:
        for name in list(self._asked_at):
            if name not in wanted:
                del self._asked_at[name]
                self._gap_told_at.pop(name, None)
        for number, query in list(self._unanswered.items()):
            if now - query.asked_at <= self.lifetime_s:
                # They are in the order in which they were sent.
                break
            del self._unanswered[number]
