"""Estimates work times by route and by how recently the server handled the object."""

import bisect
import collections
import itertools
from collections.abc import Iterator

import attrs

# Exclusive upper ends of the depth classes. An object's depth at a server is the number of
# other objects that the server has handled since it last handled this one.
_DEPTH_CLASS_ENDS = (4, 8, 12, 16, 20, 24, 28, 32, 40, 48, 56, 64, 80, 96, 128)
# Class of objects that are not recorded for the server: it has not handled them, or so long ago
# that they were removed.
_UNKNOWN_DEPTH = len(_DEPTH_CLASS_ENDS)
# Least weight of the latest sample in a moving mean. The n-th sample has a weight of 1/n while
# that is larger, so that the first samples are averaged equally.
_MEAN_WEIGHT = 0.1
# Assumed work time for an object that the server handled recently, as a share of the time for
# one that it did not.
_DEFAULT_WARM_SHARE = 0.5
# A value that few samples exceed is this many mean absolute deviations above the mean.
_HIGH_DEVIATIONS = 1.5
# Number of recent objects recorded for each server.
MAX_OBJECTS = _DEPTH_CLASS_ENDS[-1]


@attrs.define
class RecentObjects:
    """The objects that a server handled most recently, in LRU order with the latest last."""

    # Number of the latest touch of each object, and all these numbers in ascending order.
    _touches: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    _order: list[int] = attrs.field(factory=list, init=False)
    _touch_count: int = attrs.field(default=0, init=False)

    def __contains__(self, key: str) -> bool:
        return key in self._touches

    def __len__(self) -> int:
        return len(self._touches)

    def touch(self, key: str) -> str | None:
        """Make an object the latest; return the object evicted for it, if any."""
        previous = self._touches.get(key)
        if previous is not None:
            del self._order[bisect.bisect_left(self._order, previous)]
        self._touch_count += 1
        self._touches[key] = self._touch_count
        self._touches.move_to_end(key)
        self._order.append(self._touch_count)
        if len(self._touches) <= MAX_OBJECTS:
            return None
        del self._order[0]
        return self._touches.popitem(last=False)[0]

    def latest(self, count: int) -> list[str]:
        """Return the latest objects, at most as many as given, the latest first."""
        return list(itertools.islice(reversed(self._touches), count))

    def depth(self, key: str) -> int | None:
        """Return how many other objects were handled since, or None if it is not recorded."""
        touch = self._touches.get(key)
        if touch is None:
            return None
        return len(self._order) - 1 - bisect.bisect_left(self._order, touch)

    def __iter__(self) -> Iterator[str]:
        return iter(self._touches)

    def clear(self) -> None:
        """Remove all objects, as a restarted server has none in memory."""
        self._touches.clear()
        self._order.clear()


@attrs.define
class _MovingMean:
    """Exponential moving mean and mean absolute deviation."""

    value: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    def add(self, value: float) -> None:
        self.samples += 1
        weight = max(_MEAN_WEIGHT, 1 / self.samples)
        error = value - self.value
        self.value += weight * error
        self.deviation += weight * (abs(error) * (1 - weight) - self.deviation)

    @property
    def high(self) -> float:
        """Return a value that few samples exceed."""
        return self.value + _HIGH_DEVIATIONS * self.deviation


@attrs.define
class WorkTimes:
    """Mean work times of each route, in seconds, by the depth of the object at the server.

    Load pattern: a server works three times as fast on an object that it handled recently, but
    it doesn't report how many objects it keeps in memory. Each class of depths has its own
    mean, so this number need not be known: the means rise at the depth beyond which objects are
    no longer in memory. If the class of a known depth has no samples, the nearest class of
    known depths that has some is used.
    """

    _means: dict[str, list[_MovingMean]] = attrs.field(factory=dict, init=False)
    # Results of `high_ratio` that are still valid.
    _high_ratios: dict[str, float] = attrs.field(factory=dict, init=False)

    def estimate_s(self, route: str, depth: int | None, default_s: float) -> float:
        """Return the expected work time in seconds.

        Args:
            route: Name of the route.
            depth: Depth of the object at the server, or None if it is not recorded there.
            default_s: Work time to assume for an object of unknown depth while there are no
                samples. Before the route's first sample, a share of it is assumed for an object
                of known depth.
        """
        means = self._means.get(route)
        if means is None:
            return default_s if depth is None else default_s * _DEFAULT_WARM_SHARE
        wanted = _depth_class(depth)
        if wanted == _UNKNOWN_DEPTH:
            return means[_UNKNOWN_DEPTH].value if means[_UNKNOWN_DEPTH].samples else default_s
        for distance in range(_UNKNOWN_DEPTH):
            for near in (wanted - distance, wanted + distance):
                if 0 <= near < _UNKNOWN_DEPTH and means[near].samples:
                    return means[near].value
        return means[_UNKNOWN_DEPTH].value * _DEFAULT_WARM_SHARE

    def high_ratio(self, route: str) -> float:
        """Return the ratio of a high work time, which few requests exceed, to the mean."""
        ratio = self._high_ratios.get(route)
        if ratio is None:
            ratio = self._high_ratios[route] = self._compute_high_ratio(route)
        return ratio

    def _compute_high_ratio(self, route: str) -> float:
        means = self._means.get(route, ())
        known = [mean for mean in means if mean.samples and mean.value > 0]
        if not known:
            return 1.0
        samples = sum(mean.samples for mean in known)
        return sum(mean.high / mean.value * mean.samples for mean in known) / samples

    def has_samples(self, route: str, depth: int | None) -> bool:
        """Return whether there are samples for exactly this route and depth class."""
        means = self._means.get(route)
        return means is not None and means[_depth_class(depth)].samples > 0

    def observe(self, route: str, depth: int | None, elapsed_s: float) -> None:
        """Add a measured work time.

        Args:
            route: Name of the route.
            depth: Depth of the object when the request was sent.
            elapsed_s: Seconds from the grant of the slot to its release, divided by the
                slowness of the server.
        """
        means = self._means.setdefault(
            route, [_MovingMean() for _ in range(_UNKNOWN_DEPTH + 1)]
        )
        means[_depth_class(depth)].add(elapsed_s)
        self._high_ratios.pop(route, None)


def _depth_class(depth: int | None) -> int:
    return (
        _UNKNOWN_DEPTH
        if depth is None
        else bisect.bisect_left(_DEPTH_CLASS_ENDS, depth + 1, hi=_UNKNOWN_DEPTH - 1)
    )


def qualified_key(route: str, key: str | None) -> str | None:
    """Return a key that is unique among the objects of all routes, or None without an object.

    Args:
        route: Name of the route.
        key: Key of the object within the route, or None.
    """
    return None if key is None else f"{route}\0{key}"
