"""What is emulated: kinds of requests, servers with objects that they had lately, a load."""

import collections
import random
from collections.abc import Iterator

import attrs
from attrs import validators

# A server works this much of the usual time on an object that it had lately.
_WARM_SHARE = 0.3
_KEPT_OBJECTS = 24
_JITTER = (0.8, 1.2)


@attrs.frozen
class Kind:
    """A kind of requests.

    Attributes:
        name: Its name.
        weight: Its part of all requests.
        work_s: Seconds of work on an object that the server did not have lately.
        target_s: Seconds in which an answer is timely.
        deadline_s: Seconds that a client waits.
        priority: Rank; 0 is the most urgent.
        objects: How many objects its requests are about.
    """

    name: str
    weight: float
    work_s: float
    target_s: float
    deadline_s: float
    priority: int
    objects: int


DEFAULT_KINDS = (
    Kind("browse", 0.6, 0.64, 0.5, 3.0, 1, 110),
    Kind("post", 0.3, 0.84, 1.2, 4.0, 0, 90),
    Kind("download", 0.1, 0.52, 0.4, 2.5, 2, 30),
)


@attrs.frozen
class Scene:
    """Servers and a load.

    Attributes:
        load: Arrivals, as a share of what the slots bear if all work is warm.
        seed: Seed of arrivals, objects and work times.
        servers: How many servers.
        slots: Requests that each runs at once.
        instances: Entry instances that the requests come through.
        length_s: Seconds in which requests arrive.
        kinds: Kinds of requests.
    """

    load: float = attrs.field(validator=validators.gt(0))
    seed: int = 1
    servers: int = attrs.field(default=12, validator=validators.ge(1))
    slots: int = attrs.field(default=4, validator=validators.ge(1))
    instances: int = attrs.field(default=9, validator=validators.ge(1))
    length_s: float = 30.0
    kinds: tuple[Kind, ...] = DEFAULT_KINDS

    @property
    def rate(self) -> float:
        """Return the arrivals a second."""
        weights = sum(kind.weight for kind in self.kinds)
        mean_s = sum(kind.weight * kind.work_s for kind in self.kinds) / weights * _WARM_SHARE
        return self.load * self.servers * self.slots / mean_s


@attrs.frozen
class Request:
    """One request.

    Attributes:
        number: Its number, in the order of arrival.
        kind: Its kind.
        object_key: Object that it is about.
        instance: Entry instance that it comes through.
        at: Time in seconds of its arrival.
    """

    number: int
    kind: Kind
    object_key: str
    instance: int
    at: float

    @property
    def target_at(self) -> float:
        """Return the time in seconds until which its answer is timely."""
        return self.at + self.kind.target_s


def arrivals(scene: Scene) -> Iterator[Request]:
    """Yield the requests of a scene in the order of arrival."""
    rng = random.Random(scene.seed)
    weights = [kind.weight for kind in scene.kinds]
    now, number = 0.0, 0
    while True:
        now += rng.expovariate(scene.rate)
        if now >= scene.length_s:
            return
        kind = rng.choices(scene.kinds, weights)[0]
        key = f"{kind.name}-{rng.randrange(kind.objects)}"
        yield Request(number, kind, key, rng.randrange(scene.instances), now)
        number += 1


@attrs.define
class Server:
    """A server, with a queue of what was sent beyond its slots.

    Attributes:
        name: Its name.
        slots: Requests that it runs at once.
        rng: Source of its work times.
    """

    name: str
    slots: int
    rng: random.Random
    running: int = attrs.field(default=0, init=False)
    queue: collections.deque[Request] = attrs.field(factory=collections.deque, init=False)
    _kept: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    def knows(self, request: Request) -> bool:
        """Tell whether it had a request's object lately."""
        return request.object_key in self._kept

    def begin(self, request: Request) -> float:
        """Take a slot for a request; return how long it works on it, in seconds."""
        self.running += 1
        share = _WARM_SHARE if self.knows(request) else 1.0
        self.warm(request)
        return request.kind.work_s * share * self.rng.uniform(*_JITTER)

    def warm(self, request: Request) -> None:
        """Have a request's object from now on."""
        self._kept[request.object_key] = None
        self._kept.move_to_end(request.object_key)
        if len(self._kept) > _KEPT_OBJECTS:
            self._kept.popitem(last=False)


def longest_warm_s(kind: Kind) -> float:
    """Return the longest time in seconds of work on an object that a server had lately."""
    return kind.work_s * _WARM_SHARE * _JITTER[1]
