"""Slots and health of the backend servers that one dispatcher gives work to."""

import math
from collections.abc import Iterable, Mapping

import attrs

from carobhook.coordination import catalog, token_bucket, work_times
from carobhook.state import allocation, ids

# A server that broke connections is tried again after this, doubled with each further failure.
_FIRST_PAUSE_S = 0.4
_LONGEST_PAUSE_S = 3.0
_FAILURE_WEIGHT = 0.15
_SLOWNESS_WEIGHT = 0.25
# Slowness that was observed is believed half as much after this time without new answers.
_SLOWNESS_HALF_LIFE_S = 3.0
_SLOWNESS_RANGE = (0.5, 8.0)
_SHED_PAUSE_S = 0.15
_COLD_BURST = 2.0


def shared_cold_rate(told_per_s: float, most_per_s: float, visible: float) -> float:
    """Return the rate at which one dispatcher may send to a cold server.

    Load pattern: a server is cold while instances lose sight of each other, and each part of
    them has a dispatcher. Two dispatchers may overlap for a moment, so each keeps to half of
    the most that the server may get; parts that last share the rate by the instances they see.

    Args:
        told_per_s: Requests a second that a cold server bears.
        most_per_s: Requests in one second that it may get from all instances.
        visible: Part of the region's instances that this one sees.
    """
    return max(1.0, min(told_per_s, most_per_s / 2 - _COLD_BURST)) * visible


@attrs.frozen
class ServerOffer:
    """A server that a pool may use.

    Attributes:
        view: What the store says of it.
        region: Its region.
        slots: Slots that the pool may use.
        cold_rate: Requests a second that it may get while it is cold, None without a bound.
    """

    view: catalog.ServerView
    region: ids.Region
    slots: int
    cold_rate: float | None = None


@attrs.frozen
class Running:
    """A request that holds a slot.

    Attributes:
        route: Its route.
        depth: Depth of its object at the server when it was granted.
        started_at: Monotonic time in seconds of the grant.
        expected_s: Seconds that the server was expected to work.
        slowness: How many times slower than others the server was expected to be.
    """

    route: str
    depth: int | None
    started_at: float
    expected_s: float
    slowness: float


@attrs.define(eq=False)
class PooledServer:
    """One server of a pool, with as many slots as the pool may use.

    Attributes:
        view: What the store says of it.
        region: Its region.
        slots: Slots that this pool may use.
    """

    view: catalog.ServerView
    region: ids.Region
    slots: int
    cold_bucket: token_bucket.TokenBucket | None = None
    running: dict[ids.RequestId, Running] = attrs.field(factory=dict, init=False)
    objects: work_times.RecentObjects = attrs.field(
        factory=work_times.RecentObjects, init=False
    )
    lent: int = attrs.field(default=0, init=False)
    _failures: int = attrs.field(default=0, init=False)
    _paused_until: float = attrs.field(default=-math.inf, init=False)
    _failure_share: float = attrs.field(default=0.0, init=False)
    _slowness: float = attrs.field(default=1.0, init=False)
    _slowness_at: float = attrs.field(default=0.0, init=False)

    @property
    def name(self) -> ids.Server:
        """Return the server's name."""
        return self.view.entry.name

    @property
    def failure_share(self) -> float:
        """Return the share of its recent answers that were failures."""
        return self._failure_share

    @property
    def doubtful(self) -> bool:
        """Return whether the last thing known of it is that it does not answer."""
        return self._failures > 0

    def take(self, offer: ServerOffer, now: float) -> None:
        """Take in what is newly known of the server."""
        self.view = offer.view
        self.slots = offer.slots
        if offer.cold_rate is None:
            return
        if self.cold_bucket is None:
            self.cold_bucket = token_bucket.TokenBucket(offer.cold_rate, _COLD_BURST)
            # Another dispatcher may have used its burst a moment ago.
            self.cold_bucket.empty(now)
        self.cold_bucket.rate = offer.cold_rate

    def free(self, now: float) -> int:
        """Return how many slots are free.

        Args:
            now: Monotonic time in seconds.
        """
        if now < self._paused_until:
            return 0
        slots = 1 if self._failures else self.slots - self.lent
        return max(0, slots - len(self.running))

    def admits(self, now: float) -> bool:
        """Tell whether a cold server's rate allows one more request; peeks only."""
        if self.cold_bucket is None or now >= self.view.cold_until:
            return True
        return self.cold_bucket.wait_s(now) <= 0

    def slowness(self, now: float) -> float:
        """Return how many times longer than expected its answers take."""
        age_s = max(0.0, now - self._slowness_at)
        trust = 0.5 ** (age_s / _SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * trust

    def next_free_s(self, now: float) -> float:
        """Return the seconds until a slot is expected to be free."""
        if now < self._paused_until:
            return self._paused_until - now
        ends = [run.started_at + run.expected_s - now for run in self.running.values()]
        return max(0.005, min(ends)) if ends else 0.0

    def start(self, ask: allocation.SlotRequest, expected_s: float, now: float) -> int | None:
        """Give a slot to a request; return the depth that its object had."""
        key = work_times.object_key(ask.route, ask.object_key)
        depth = None
        if key is not None:
            depth = self.objects.depth(key)
            self.objects.touch(key)
        self.running[ask.id] = Running(ask.route, depth, now, expected_s, self.slowness(now))
        if self.cold_bucket is not None and now < self.view.cold_until:
            self.cold_bucket.take(now)
        return depth

    def ended(
        self, run: Running, end: allocation.AttemptOutcome, now: float, foreseen: bool = True
    ) -> None:
        """Learn from the end of a request.

        Args:
            run: What held the slot.
            end: How it ended.
            now: Monotonic time in seconds.
            foreseen: Whether its expected time rests on times that were observed.
        """
        if end is allocation.AttemptOutcome.CANCELLED:
            return
        if end in (allocation.AttemptOutcome.UNREACHABLE, allocation.AttemptOutcome.BROKEN):
            # Failures of requests that ran side by side count as one.
            if run.started_at >= self._paused_until or self._failures == 0:
                self._failures += 1
                pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2.0 ** (self._failures - 1))
                self._paused_until = now + pause_s
            if end is allocation.AttemptOutcome.UNREACHABLE:
                self.objects.clear()
            return
        self._failures = 0
        if end is allocation.AttemptOutcome.MISDIRECTED:
            self._paused_until = now + _LONGEST_PAUSE_S
            return
        if end is allocation.AttemptOutcome.SHED:
            self._paused_until = now + _SHED_PAUSE_S
            self._blame(1.0)
            return
        self._blame(1.0 if end is allocation.AttemptOutcome.FAILED else 0.0)
        if end is allocation.AttemptOutcome.ANSWERED and foreseen and run.expected_s > 0:
            elapsed_s = now - run.started_at
            ratio = elapsed_s * run.slowness / run.expected_s
            low, high = _SLOWNESS_RANGE
            present = self.slowness(now)
            self._slowness = present + _SLOWNESS_WEIGHT * (min(high, max(low, ratio)) - present)
            self._slowness_at = now

    def _blame(self, failed: float) -> None:
        self._failure_share += _FAILURE_WEIGHT * (failed - self._failure_share)


@attrs.define
class ServerPool:
    """The servers that one dispatcher gives work to."""

    _servers: dict[ids.Server, PooledServer] = attrs.field(factory=dict, init=False)
    _holders: dict[str, set[ids.Server]] = attrs.field(factory=dict, init=False)

    @property
    def servers(self) -> list[PooledServer]:
        """Return the servers."""
        return list(self._servers.values())

    def get(self, name: ids.Server) -> PooledServer | None:
        """Return a server by name, or None."""
        return self._servers.get(name)

    @property
    def slots(self) -> int:
        """Return how many slots this pool may use."""
        return sum(max(0, server.slots - server.lent) for server in self._servers.values())

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return sum(len(server.running) for server in self._servers.values())

    def holders(self, key: str) -> list[PooledServer]:
        """Return the servers that had an object lately."""
        names = self._holders.get(key, ())
        return [self._servers[name] for name in names if name in self._servers]

    def touched(self, server: PooledServer, key: str) -> None:
        """Take note that a server has an object now."""
        self._holders.setdefault(key, set()).add(server.name)
        if len(self._holders) > 4 * work_times.MAX_OBJECTS * max(1, len(self._servers)):
            self._rebuild_holders()

    def _rebuild_holders(self) -> None:
        self._holders.clear()
        for server in self._servers.values():
            for key in server.objects:
                self._holders.setdefault(key, set()).add(server.name)

    def replace(self, offers: Iterable[ServerOffer], now: float) -> None:
        """Replace the list of servers; what is known of those that stay is kept.

        Args:
            offers: Servers with their slots.
            now: Monotonic time in seconds.
        """
        found: dict[ids.Server, PooledServer] = {}
        for offer in offers:
            pooled = self._servers.get(offer.view.entry.name)
            if pooled is None or _restarted(pooled.view, offer.view):
                pooled = PooledServer(offer.view, offer.region, offer.slots)
            pooled.take(offer, now)
            found[pooled.name] = pooled
        self._servers = found

    def lend(self, counts: Mapping[ids.Server, int]) -> None:
        """Set how many slots of each server others use."""
        for server in self._servers.values():
            server.lent = counts.get(server.name, 0)


def _restarted(old: catalog.ServerView, new: catalog.ServerView) -> bool:
    return old.entry.started_at_ms != new.entry.started_at_ms
