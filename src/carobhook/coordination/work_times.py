"""Learns how long servers work on a kind of request, by how lately they had its object."""

import bisect
import collections
from collections.abc import Iterator

import attrs

# Upper ends of the classes of "so many other objects since the server had this one".
_DEPTHS = (4, 8, 12, 16, 20, 24, 28, 32, 40, 48, 56, 64, 80, 96, 128)
_NEVER = len(_DEPTHS)
_WEIGHT = 0.1
# Share of the usual time that a server is taken to need for an object that it had lately.
_WARM_GUESS = 0.5
_HIGH_DEVIATIONS = 1.5
MAX_OBJECTS = _DEPTHS[-1]


@attrs.define
class RecentObjects:
    """Objects that a server handled, the latest last."""

    _order: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    def __contains__(self, key: str) -> bool:
        return key in self._order

    def __len__(self) -> int:
        return len(self._order)

    def touch(self, key: str) -> str | None:
        """Make an object the latest; return an object that is forgotten for it."""
        self._order[key] = None
        self._order.move_to_end(key)
        if len(self._order) <= MAX_OBJECTS:
            return None
        return self._order.popitem(last=False)[0]

    def depth(self, key: str) -> int | None:
        """Return how many other objects came later, or None if the object is not known."""
        if key not in self._order:
            return None
        for depth, held in enumerate(reversed(self._order)):
            if held == key:
                return depth
        return None

    def __iter__(self) -> Iterator[str]:
        return iter(self._order)

    def clear(self) -> None:
        """Forget everything, as a restarted server has."""
        self._order.clear()


@attrs.define
class _Mean:
    """Moving mean and mean deviation."""

    value: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    def add(self, value: float) -> None:
        self.samples += 1
        weight = max(_WEIGHT, 1 / self.samples)
        error = value - self.value
        self.value += weight * error
        self.deviation += weight * (abs(error) * (1 - weight) - self.deviation)

    @property
    def high(self) -> float:
        """Return a value that few exceed."""
        return self.value + _HIGH_DEVIATIONS * self.deviation


@attrs.define
class WorkTimes:
    """Mean work times of each route, in seconds, by the depth of the object at the server.

    Load pattern: a server works three times as fast on an object that it had lately, and how
    many objects it keeps is told nowhere. Times are kept for classes of depth, so that the
    edge shows by itself. A class without samples takes the nearest one that has some.
    """

    _means: dict[str, list[_Mean]] = attrs.field(factory=dict, init=False)

    def expected(self, route: str, depth: int | None, guess_s: float) -> float:
        """Return the expected work time in seconds.

        Args:
            route: Name of the route.
            depth: Other objects that the server had since, None if it never had this one.
            guess_s: Answer while nothing is known of the route.
        """
        means = self._means.get(route)
        if means is None:
            return guess_s if depth is None else guess_s * _WARM_GUESS
        wanted = _class_of(depth)
        if wanted == _NEVER:
            return means[_NEVER].value if means[_NEVER].samples else guess_s
        for distance in range(_NEVER):
            for near in (wanted - distance, wanted + distance):
                if 0 <= near < _NEVER and means[near].samples:
                    return means[near].value
        return means[_NEVER].value * _WARM_GUESS

    def spread(self, route: str) -> float:
        """Return by how many times few answers of a route exceed their expected time."""
        means = self._means.get(route, ())
        known = [mean for mean in means if mean.samples and mean.value > 0]
        if not known:
            return 1.0
        samples = sum(mean.samples for mean in known)
        return sum(mean.high / mean.value * mean.samples for mean in known) / samples

    def seen(self, route: str, depth: int | None) -> bool:
        """Tell whether a time was observed for just this route and class of depth."""
        means = self._means.get(route)
        return means is not None and means[_class_of(depth)].samples > 0

    def observe(self, route: str, depth: int | None, elapsed_s: float) -> None:
        """Take in how long a server worked.

        Args:
            route: Name of the route.
            depth: Depth of the object when the request was sent.
            elapsed_s: Seconds from the send to the whole answer.
        """
        means = self._means.setdefault(route, [_Mean() for _ in range(_NEVER + 1)])
        means[_class_of(depth)].add(elapsed_s)


def _class_of(depth: int | None) -> int:
    return _NEVER if depth is None else bisect.bisect_left(_DEPTHS, depth + 1, hi=_NEVER - 1)


def object_key(route: str, key: str | None) -> str | None:
    """Return what identifies an object at a server, None without one."""
    return None if key is None else f"{route}\0{key}"
