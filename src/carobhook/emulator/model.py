"""Model of the simulated system: request kinds, servers that cache objects, and the load."""

import collections
import random
from collections.abc import Iterator

import attrs
from attrs import validators

# A server's pace is drawn anew at this interval.
_PACE_INTERVAL_S = 0.6
# Range of the random factor by which each work time is multiplied.
_WORK_TIME_JITTER = (0.8, 1.2)


@attrs.frozen
class RequestKind:
    """Requests that have the same work time, target and deadline.

    Attributes:
        name: Its name.
        weight: Weight of the kind in the mix of all requests.
        work_s: Mean work time in seconds on an object that the server has not cached.
        target_s: Longest response time in seconds of an answer that is in time.
        deadline_s: Seconds after arrival at which the client stops waiting for an answer.
        priority: Rank of the requests; 0 is the most urgent.
        objects: Number of distinct objects that the requests refer to.
    """

    name: str
    weight: float
    work_s: float
    target_s: float
    deadline_s: float
    priority: int
    objects: int


DEFAULT_KINDS = (
    # Name, weight, work_s, target_s, deadline_s, priority, objects.
    RequestKind("browse", 0.6, 0.64, 0.5, 3.0, 1, 110),
    RequestKind("post", 0.3, 0.84, 1.2, 4.0, 0, 90),
    RequestKind("download", 0.1, 0.52, 0.4, 2.5, 2, 30),
)


@attrs.frozen
class Scenario:
    """Servers and the load on them.

    Attributes:
        load: Arriving work as a multiple of what the slots can process if every object is
            cached.
        seed: Seed of arrivals, objects and work times.
        servers: Number of servers.
        slots: Number of requests that each server runs concurrently.
        instances: Number of entry instances that receive the requests.
        duration_s: Seconds during which requests arrive.
        kinds: Request kinds of the load.
        slow_share: Share of the time in which other programs slow each server down.
        slow_factor: Factor by which work takes longer in that time.
        cache_size: Number of objects that each server caches.
        cached_share: Work time on an object that the server has in its cache, as a share of the
            full work time.
    """

    load: float = attrs.field(validator=validators.gt(0))
    seed: int = 1
    servers: int = attrs.field(default=12, validator=validators.ge(1))
    slots: int = attrs.field(default=4, validator=validators.ge(1))
    instances: int = attrs.field(default=9, validator=validators.ge(1))
    duration_s: float = 30.0
    kinds: tuple[RequestKind, ...] = DEFAULT_KINDS
    slow_share: float = 0.0
    slow_factor: float = 2.5
    cache_size: int = attrs.field(default=24, validator=validators.ge(1))
    cached_share: float = attrs.field(default=0.3, validator=validators.gt(0))

    @property
    def arrival_rate(self) -> float:
        """Return the mean number of requests that arrive per second."""
        weights = sum(kind.weight for kind in self.kinds)
        mean_work_s = (
            sum(kind.weight * kind.work_s for kind in self.kinds) / weights * self.cached_share
        )
        return self.load * self.servers * self.slots / mean_work_s


@attrs.frozen
class Request:
    """One request.

    Attributes:
        number: Position in the order of arrival, from 0.
        kind: Its kind.
        object_key: Object that it refers to.
        instance: Index of the entry instance that receives it.
        arrived_at: Time of arrival in seconds.
    """

    number: int
    kind: RequestKind
    object_key: str
    instance: int
    arrived_at: float

    @property
    def target_at(self) -> float:
        """Return the latest time in seconds at which an answer is in time."""
        return self.arrived_at + self.kind.target_s


def generate_requests(scenario: Scenario) -> Iterator[Request]:
    """Yield the requests of a scenario in order of arrival, which is a Poisson process."""
    rng = random.Random(scenario.seed)
    weights = [kind.weight for kind in scenario.kinds]
    now, number = 0.0, 0
    while True:
        now += rng.expovariate(scenario.arrival_rate)
        if now >= scenario.duration_s:
            return
        kind = rng.choices(scenario.kinds, weights)[0]
        key = f"{kind.name}-{rng.randrange(kind.objects)}"
        yield Request(number, kind, key, rng.randrange(scenario.instances), now)
        number += 1


@attrs.define
class Server:
    """A server with a fixed number of slots, a request queue and an LRU cache of objects.

    Attributes:
        name: Its name.
        scenario: The scenario, which tells its slots and how it works.
        rng: Random source of its work times.
        running: Number of requests that it runs now.
        queue: Requests that it received while all slots were in use.
    """

    name: str
    scenario: Scenario
    rng: random.Random
    running: int = attrs.field(default=0, init=False)
    queue: collections.deque[Request] = attrs.field(factory=collections.deque, init=False)
    _cache: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    @property
    def slots(self) -> int:
        """Return the number of requests that it runs concurrently."""
        return self.scenario.slots

    def has_cached(self, request: Request) -> bool:
        """Return whether the object of a request is in the cache."""
        return request.object_key in self._cache

    def pace(self, now: float) -> float:
        """Return how long work takes now, as a multiple of the usual time."""
        draw = random.Random(f"{self.name}/{int(now / _PACE_INTERVAL_S)}").random()
        return self.scenario.slow_factor if draw < self.scenario.slow_share else 1.0

    def start_request(self, request: Request, now: float) -> float:
        """Start a request in a free slot and return its work time in seconds.

        Args:
            request: The request.
            now: Time in seconds.
        """
        self.running += 1
        share = self.scenario.cached_share if self.has_cached(request) else 1.0
        self.cache_object(request)
        usual_s = request.kind.work_s * share * self.rng.uniform(*_WORK_TIME_JITTER)
        return self._elapsed_s(usual_s, now)

    def _elapsed_s(self, usual_s: float, now: float) -> float:
        """Return the time that work takes as the pace changes."""
        at = now
        while True:
            pace = self.pace(at)
            interval_end = (int(at / _PACE_INTERVAL_S) + 1) * _PACE_INTERVAL_S + 1e-9
            if at + usual_s * pace <= interval_end:
                return at + usual_s * pace - now
            usual_s -= (interval_end - at) / pace
            at = interval_end

    def cache_object(self, request: Request) -> None:
        """Cache a request's object; evict the least recently used one if the cache is full."""
        self._cache[request.object_key] = None
        self._cache.move_to_end(request.object_key)
        if len(self._cache) > self.scenario.cache_size:
            self._cache.popitem(last=False)


def max_cached_work_s(scenario: Scenario, kind: RequestKind) -> float:
    """Return the longest possible work time in seconds on a cached object."""
    return kind.work_s * scenario.cached_share * _WORK_TIME_JITTER[1]
