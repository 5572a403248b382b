"""Limits how quickly the requests of a region move between the regions that run them.

Load pattern: a region's own servers are full for a moment, or free again after a burst, while
slots of other regions' servers are free. If each request took the best free server, most
requests would change their region within a second, and find cold caches there.
"""

from collections.abc import Collection

import attrs

from carobhook.state import ids

# The shares of two windows of this length, one right after the other, are compared.
_WINDOW_S = 2.0
_BUCKETS_PER_WINDOW = 8
_BUCKET_S = _WINDOW_S / _BUCKETS_PER_WINDOW
# The shares of fewer requests than this in a window vary too much to limit anything by them.
_MIN_REQUESTS = 20
# Requests in a window by which those of a region may grow in any case. The arrivals of few
# requests vary so much that a share alone would refuse some while other regions are free.
_MIN_GROWTH = 5


@attrs.define
class RegionShares:
    """Counts in which regions requests run, and limits the change of their shares.

    Attributes:
        home: Region of the clients.
        max_change: Largest change of one region's share from a window to the next, from 0 to 1.
    """

    home: ids.Region
    max_change: float
    # Requests by region and bucket, for the buckets of two windows.
    _counts: dict[int, dict[ids.Region, int]] = attrs.field(factory=dict, init=False)
    _bucket: int = attrs.field(default=0, init=False)
    _previous: dict[ids.Region, int] = attrs.field(factory=dict, init=False)
    _current: dict[ids.Region, int] = attrs.field(factory=dict, init=False)

    def record(self, region: ids.Region, now: float) -> None:
        """Record that a request runs in a region.

        Args:
            region: Region of its server.
            now: Monotonic time in seconds.
        """
        self._advance(now)
        bucket = self._counts.setdefault(self._bucket, {})
        bucket[region] = bucket.get(region, 0) + 1
        self._current[region] = self._current.get(region, 0) + 1

    def allowed(self, free: Collection[ids.Region], now: float) -> frozenset[ids.Region]:
        """Return the regions in which the next request may run.

        Other regions than home are left out while their share grows too quickly. Home is left
        out only while its own share grows too quickly and another region could take the request
        at once.

        Args:
            free: Regions that can start the request now.
            now: Monotonic time in seconds.
        """
        self._advance(now)
        others = frozenset(r for r in free if r != self.home and self._may_grow(r))
        if others and not self._may_grow(self.home):
            return others
        return others | {self.home}

    def may_stay(self, now: float) -> bool:
        """Return whether the next request may run at home, whichever other region is free."""
        self._advance(now)
        return self._may_grow(self.home)

    def _may_grow(self, region: ids.Region) -> bool:
        """Return whether one more request in a region leaves its share within the limit."""
        previous_total = sum(self._previous.values())
        if previous_total < _MIN_REQUESTS:
            return True
        previous_share = self._previous.get(region, 0) / previous_total
        total = max(_MIN_REQUESTS, sum(self._current.values()) + 1)
        limit = previous_share * total + max(self.max_change * total, _MIN_GROWTH)
        return self._current.get(region, 0) + 1 <= limit

    def _advance(self, now: float) -> None:
        """Drop the buckets that are too old, and count the others anew in a new bucket."""
        bucket = int(now / _BUCKET_S)
        if bucket == self._bucket:
            return
        self._bucket = bucket
        self._previous.clear()
        self._current.clear()
        for index in list(self._counts):
            age = bucket - index
            if age >= 2 * _BUCKETS_PER_WINDOW:
                del self._counts[index]
                continue
            counts = self._current if age < _BUCKETS_PER_WINDOW else self._previous
            for region, count in self._counts[index].items():
                counts[region] = counts.get(region, 0) + count
