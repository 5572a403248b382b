"""Model of the simulated system: request kinds, servers that cache objects, and the load."""

import collections
import heapq
import operator
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
        value: Value of an answer in time.
    """

    name: str
    weight: float
    work_s: float
    target_s: float
    deadline_s: float
    priority: int
    objects: int
    value: float = 1.0


@attrs.frozen
class Account:
    """The load of one client account.

    Attributes:
        name: Its name.
        weight: Weight of the account in the usual load.
        flood_factor: Its load during the flood, as a multiple of its usual load.
        flood_s: Start and end of the flood in seconds.
    """

    name: str
    weight: float
    flood_factor: float = 1.0
    flood_s: tuple[float, float] = (0.0, 0.0)


DEFAULT_KINDS = (
    # Name, weight, work_s, target_s, deadline_s, priority, objects.
    RequestKind("browse", 0.6, 0.64, 0.5, 3.0, 1, 110),
    RequestKind("post", 0.3, 0.84, 1.2, 4.0, 0, 90),
    RequestKind("download", 0.1, 0.52, 0.4, 2.5, 2, 30),
)

# The mix of the two customers of docs/ACCOUNTS-AND-LOAD.md. That page gives no weights and no
# deadlines; these were chosen so that each route has a fair part of the work.
CUSTOMER_KINDS = (
    RequestKind("catalog", 0.35, 0.88, 0.6, 3.0, 1, 200, 0.98),
    RequestKind("report", 0.2, 1.16, 1.5, 5.0, 2, 79, 0.98),
    RequestKind("order", 0.25, 0.6, 0.5, 2.5, 1, 44, 2.9),
    RequestKind("payment", 0.2, 0.352, 0.25, 2.0, 0, 51, 3.7),
)

CUSTOMER_ACCOUNTS = (
    *(Account(f"large-{number}", 8.0) for number in range(3)),
    Account("flooding", 4.0, 7.0, (8.0, 14.0)),
    *(Account(f"small-{number}", 1.0) for number in range(16)),
)

# A client that repeats at once needs this long for a refusal and the next attempt.
HASTY_RETURN_S = 0.05
# Numbers of attempts after which a client that waits, and one that repeats at once, give up.
_MAX_ATTEMPTS = 4
_MAX_HASTY_ATTEMPTS = 12
# A client waits at most this share of the time that it has left.
_MAX_WAIT_SHARE = 1 / 3


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
        accounts: Client accounts of the requests; empty for requests without an account.
        return_share: Share of the clients that send a refused request again.
        hasty_share: Share of these that do so at once, whatever `Retry-After` says.
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
    accounts: tuple[Account, ...] = ()
    return_share: float = 0.0
    hasty_share: float = 0.0

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
        arrived_at: Time of its first arrival in seconds.
        account: Name of its client account, or None.
        returns: Whether the client sends it again after a refusal.
        is_hasty: Whether the client does so at once.
    """

    number: int
    kind: RequestKind
    object_key: str
    instance: int
    arrived_at: float
    account: str | None = None
    returns: bool = False
    is_hasty: bool = False

    @property
    def target_at(self) -> float:
        """Return the latest time in seconds at which an answer is in time."""
        return self.arrived_at + self.kind.target_s


def customer_scenario(load: float, seed: int = 1, duration_s: float = 20.0) -> Scenario:
    """Return the load of the two customers, whose clients come back after refusals."""
    return Scenario(
        load,
        seed,
        servers=30,
        slots=2,
        duration_s=duration_s,
        kinds=CUSTOMER_KINDS,
        cache_size=13,
        accounts=CUSTOMER_ACCOUNTS,
        return_share=0.8,
        hasty_share=0.25,
    )


def generate_requests(scenario: Scenario) -> Iterator[Request]:
    """Yield the requests of a scenario in order of arrival.

    The usual load is a Poisson process, and so is the additional load of a flooding account.
    """
    streams = [_generate_usual(scenario)]
    for account in scenario.accounts:
        if account.flood_factor > 1:
            streams.append(_generate_flood(scenario, account))
    merged = heapq.merge(*streams, key=operator.attrgetter("arrived_at"))
    for number, request in enumerate(merged):
        yield attrs.evolve(request, number=number)


def _generate_usual(scenario: Scenario) -> Iterator[Request]:
    rng = random.Random(scenario.seed)
    # Accounts and clients have a source of their own, so that they change nothing else.
    client_rng = random.Random(f"clients {scenario.seed}")
    account_weights = [account.weight for account in scenario.accounts]
    now = 0.0
    while (now := now + rng.expovariate(scenario.arrival_rate)) < scenario.duration_s:
        request = _draw_request(scenario, rng, now)
        account = None
        if scenario.accounts:
            account = client_rng.choices(scenario.accounts, account_weights)[0]
        yield _add_client(scenario, client_rng, request, account)


def _generate_flood(scenario: Scenario, account: Account) -> Iterator[Request]:
    rng = random.Random(f"flood {account.name} {scenario.seed}")
    usual = account.weight / sum(other.weight for other in scenario.accounts)
    rate = scenario.arrival_rate * usual * (account.flood_factor - 1)
    now, end = account.flood_s[0], min(account.flood_s[1], scenario.duration_s)
    while (now := now + rng.expovariate(rate)) < end:
        yield _add_client(scenario, rng, _draw_request(scenario, rng, now), account)


def _draw_request(scenario: Scenario, rng: random.Random, now: float) -> Request:
    weights = [kind.weight for kind in scenario.kinds]
    kind = rng.choices(scenario.kinds, weights)[0]
    key = f"{kind.name}-{rng.randrange(kind.objects)}"
    return Request(0, kind, key, rng.randrange(scenario.instances), now)


def _add_client(
    scenario: Scenario, rng: random.Random, request: Request, account: Account | None
) -> Request:
    returns = rng.random() < scenario.return_share
    return attrs.evolve(
        request,
        account=account.name if account is not None else None,
        returns=returns,
        is_hasty=returns and rng.random() < scenario.hasty_share,
    )


def return_time(
    request: Request, attempts: int, retry_after_s: float, now: float
) -> float | None:
    """Return when the client of a refused request sends it again, or None if it gives up.

    Args:
        request: The request.
        attempts: Number of attempts so far.
        retry_after_s: `Retry-After` of the refusal in seconds.
        now: Time in seconds.
    """
    max_attempts = _MAX_HASTY_ATTEMPTS if request.is_hasty else _MAX_ATTEMPTS
    if not request.returns or attempts >= max_attempts:
        return None
    left_s = request.arrived_at + request.kind.deadline_s - now
    if left_s <= HASTY_RETURN_S:
        return None
    if request.is_hasty:
        return now + HASTY_RETURN_S
    return now + min(retry_after_s, left_s * _MAX_WAIT_SHARE)


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
