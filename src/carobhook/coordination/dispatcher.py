"""Gives the requests of one service in one region to servers with free slots.

Load pattern: requests come in faster than servers work, from several instances at once. One
dispatcher counts every slot, so a request waits here, where it can still be refused or go to
the server that is free first, and not in a server's own queue.
"""

import math
from collections.abc import Iterable

import attrs

from carobhook.coordination import retry_allowance, server_pool, work_times
from carobhook.state import allocation, codes, ids

Decision = allocation.SlotGrant | allocation.SlotRefusal

# Share of the time between an answer's work and its target that may be spent waiting. A shorter
# queue serves as many in time, and leaves room for errors of the expectation.
_WAIT_SHARE = 0.45
# Weight of a slot's time against a caller's wait, with an empty and with a long queue.
_SLOT_TIME_WEIGHT = 0.3
_CROWDED_SLOT_TIME_WEIGHT = 0.5
_SHORTEST_RETRY_AFTER_S = 0.2
_LONGEST_RETRY_AFTER_S = 5.0
# Work time of a route of which nothing is known yet.
_UNKNOWN_WORK_S = 0.2
_FAILURE_PENALTY = 4.0
# Seconds that a caller may wait longer for a server in its own failure domain, as answers that
# cross domains are paid for.
_OTHER_DOMAIN_S = 0.015
# Share of the slots that requests past their target may wait for.
_LATE_SHARE = 0.25


@attrs.frozen
class _Option:
    """A server that could run a request."""

    server: server_pool.PooledServer
    wait_s: float
    work_s: float
    cost: float


@attrs.define(eq=False)
class _Waiting:
    """An ask that waits for a slot."""

    ask: allocation.SlotRequest
    since: float
    guess_s: float
    late: bool

    @property
    def order(self) -> tuple[bool, int, float]:
        """Return the place in the queue: what can be in time first, then by rank and target."""
        return (self.late, self.ask.priority, self.ask.target_at)


@attrs.define(eq=False)
class Dispatcher:
    """Queue and servers of one service in one region.

    Args:
        allowance: Bounds repeats.

    Attributes:
        paused: Whether asks wait whatever is free, because not all slots in use are known yet.
    """

    allowance: retry_allowance.RetryAllowance
    paused: bool = attrs.field(default=False, init=False)
    pool: server_pool.ServerPool = attrs.field(factory=server_pool.ServerPool, init=False)
    _times: work_times.WorkTimes = attrs.field(factory=work_times.WorkTimes, init=False)
    _waiting: list[_Waiting] = attrs.field(factory=list, init=False)
    _demand_s: float = attrs.field(default=0.0, init=False)
    _claimed_s: dict[ids.Server, float] = attrs.field(factory=dict, init=False)

    @property
    def waiting(self) -> int:
        """Return how many asks wait."""
        return len(self._waiting)

    def take_demand(self) -> float:
        """Return the slot-seconds asked for since the last call."""
        demand, self._demand_s = self._demand_s, 0.0
        return demand

    def ask(self, ask: allocation.SlotRequest, now: float) -> list[Decision]:
        """Take in an ask; return what is decided now.

        Args:
            ask: The ask.
            now: Monotonic time in seconds.
        """
        guess_s = self._guess(ask)
        if ask.repeat:
            if not self.allowance.take(now):
                return [self._refusal(ask, codes.Code.RETRIES_USED_UP, now)]
        else:
            self.allowance.count_request(now)
            self._demand_s += guess_s
        waiting = _Waiting(ask, now, guess_s, late=False)
        waiting.late = self._misses_target(waiting, now)
        refusal = None if self.paused else self._refuse_on_arrival(waiting, now)
        if refusal is not None:
            return [refusal]
        self._waiting.append(waiting)
        return self.decide(now)

    def withdraw(self, ask_id: ids.RequestId) -> bool:
        """Forget an ask that waits; return False if it does not wait."""
        for waiting in self._waiting:
            if waiting.ask.id == ask_id:
                self._waiting.remove(waiting)
                return True
        return False

    def take_waiting(self) -> list[allocation.SlotRequest]:
        """Give up all asks that wait."""
        given_up = [waiting.ask for waiting in self._waiting]
        self._waiting.clear()
        return given_up

    def hold(self, ask: allocation.SlotRequest, server: ids.Server, now: float) -> None:
        """Count a request that another dispatcher granted before this one took over."""
        pooled = self.pool.get(server)
        if pooled is not None and ask.id not in pooled.running:
            pooled.start(ask, self._guess(ask) * pooled.slowness(now), now)

    def ended(
        self,
        ask_id: ids.RequestId,
        server: ids.Server,
        end: allocation.AttemptOutcome,
        now: float,
    ) -> list[Decision]:
        """Take back a slot; return what is decided now.

        Args:
            ask_id: Id of the ask that was granted.
            server: The server.
            end: How its work ended.
            now: Monotonic time in seconds.
        """
        pooled = self.pool.get(server)
        run = pooled.running.pop(ask_id, None) if pooled is not None else None
        if pooled is not None and run is not None:
            foreseen = self._times.seen(run.route, run.depth)
            if end is allocation.AttemptOutcome.ANSWERED:
                elapsed_s = now - run.started_at
                self._times.observe(run.route, run.depth, elapsed_s / pooled.slowness(now))
            pooled.ended(run, end, now, foreseen)
        return self.decide(now)

    def decide(self, now: float) -> list[Decision]:
        """Return what happens to waiting asks now.

        Args:
            now: Monotonic time in seconds.
        """
        decisions: list[Decision] = []
        if not self._waiting or self.paused:
            return decisions
        for waiting in self._waiting:
            if not waiting.late and self._misses_target(waiting, now):
                waiting.late = True
        self._waiting.sort(key=lambda waiting: waiting.order)
        self._claimed_s.clear()
        kept: list[_Waiting] = []
        free = [
            server
            for server in self.pool.servers
            if server.free(now) > 0 and server.admits(now)
        ]
        for waiting in self._waiting:
            option = self._best(waiting, free, now) if free else None
            if option is None:
                crowded = bool(kept) and not kept[0].late
                if waiting.late and self._gives_way(waiting, crowded, now):
                    decisions.append(
                        self._refusal(waiting.ask, codes.Code.DEADLINE_UNMEETABLE, now)
                    )
                else:
                    kept.append(waiting)
                continue
            decisions.append(self._grant(waiting, option, now))
            if option.server.free(now) <= 0 or not option.server.admits(now):
                free.remove(option.server)
        self._waiting = kept
        return decisions

    def _guess(self, ask: allocation.SlotRequest) -> float:
        """Return the work time to expect at the server that knows the object best."""
        key = work_times.object_key(ask.route, ask.object_key)
        depth: int | None = None
        if key is not None:
            depths = [server.objects.depth(key) for server in self.pool.holders(key)]
            known = [found for found in depths if found is not None]
            depth = min(known) if known else None
        return self._times.expected(ask.route, depth, _UNKNOWN_WORK_S)

    def _refuse_on_arrival(
        self, waiting: _Waiting, now: float
    ) -> allocation.SlotRefusal | None:
        """Refuse what the queue ahead lets have no chance."""
        ask = waiting.ask
        usable = [s for s in self.pool.servers if _allowed(s, ask)]
        if not usable:
            return self._refusal(ask, codes.Code.NO_BACKEND, now)
        if any(server.free(now) and server.admits(now) for server in usable):
            return None
        ahead = [other for other in self._waiting if other.order <= waiting.order]
        wait_s = self._wait_for(ahead, usable, now)
        if waiting.late:
            late = sum(1 for other in self._waiting if other.late)
            room = late < max(1, _LATE_SHARE * self.pool.slots)
            fits = room and now + wait_s + waiting.guess_s <= ask.deadline_at
        else:
            fits = wait_s <= _WAIT_SHARE * (ask.target_at - now - self._high(waiting))
        return None if fits else self._refusal(ask, codes.Code.DEADLINE_UNMEETABLE, now)

    def _wait_for(
        self,
        ahead: Iterable[_Waiting],
        usable: list[server_pool.PooledServer],
        now: float,
    ) -> float:
        """Return the seconds until a slot is free behind the asks ahead."""
        slots = sum(max(0, server.slots - server.lent) for server in usable)
        if slots <= 0:
            return math.inf
        first_s = min(server.next_free_s(now) for server in usable)
        return first_s + sum(other.guess_s for other in ahead) / slots

    def _high(self, waiting: _Waiting) -> float:
        """Return a work time in seconds that few requests like this exceed."""
        return waiting.guess_s * self._times.spread(waiting.ask.route)

    def _misses_target(self, waiting: _Waiting, now: float) -> bool:
        return now + self._high(waiting) > waiting.ask.target_at

    def _gives_way(self, waiting: _Waiting, crowded: bool, now: float) -> bool:
        """Tell whether a request past its target leaves the queue."""
        return crowded or now + waiting.guess_s > waiting.ask.deadline_at

    def _best(
        self, waiting: _Waiting, free: list[server_pool.PooledServer], now: float
    ) -> _Option | None:
        """Return the server to send an ask to now, or None to let it wait."""
        ask = waiting.ask
        allowed = [server for server in free if _allowed(server, ask)]
        if not allowed:
            return None
        key = work_times.object_key(ask.route, ask.object_key)
        holders = self.pool.holders(key) if key is not None else []
        holders = [server for server in holders if _allowed(server, ask)]
        options = [self._option(ask, server, key, now) for server in holders]
        strangers = [server for server in allowed if server not in holders]
        if strangers:
            emptiest = min(
                strangers,
                key=lambda s: (
                    self._trouble(s, now),
                    s.view.entry.zone != ask.domain,
                    len(s.running) / max(1, s.slots),
                    len(s.objects),
                    s.name,
                ),
            )
            options.append(self._option(ask, emptiest, key, now))
        if not options:
            return None
        best = min(options, key=lambda option: option.cost)
        if best.wait_s <= 0:
            return best
        # Waiting is an option only while the answer still comes in time, and working for an
        # answer that comes late only while nobody else needs the slot.
        spread = self._times.spread(ask.route)
        if now + best.wait_s + best.work_s * spread <= ask.target_at:
            self._claim(best)
            return None
        ready = [option for option in options if option.wait_s <= 0]
        if len(free) <= len(self._waiting):
            ready = [o for o in ready if now + o.work_s * spread <= ask.target_at]
        if not ready:
            self._claim(best)
            return None
        return min(ready, key=lambda option: option.cost)

    def _claim(self, option: _Option) -> None:
        """Take note that a waiting request counts on a server."""
        claimed_s = self._claimed_s.get(option.server.name, 0.0)
        self._claimed_s[option.server.name] = claimed_s + option.work_s

    def _option(
        self,
        ask: allocation.SlotRequest,
        server: server_pool.PooledServer,
        key: str | None,
        now: float,
    ) -> _Option:
        depth = server.objects.depth(key) if key is not None else None
        work_s = self._times.expected(ask.route, depth, _UNKNOWN_WORK_S)
        work_s *= server.slowness(now)
        is_free = server.free(now) > 0 and server.admits(now)
        claimed_s = self._claimed_s.get(server.name, 0.0) / max(1, server.slots)
        wait_s = 0.0 if is_free else max(0.005, server.next_free_s(now)) + claimed_s
        crowd = min(1.0, len(self._waiting) / max(1, self.pool.slots))
        weight = _SLOT_TIME_WEIGHT + crowd * _CROWDED_SLOT_TIME_WEIGHT
        penalty = server.failure_share * _FAILURE_PENALTY * work_s
        if ask.domain is not None and server.view.entry.zone != ask.domain:
            penalty += _OTHER_DOMAIN_S
        cost = wait_s + work_s * (1 + weight) + penalty
        return _Option(server, wait_s, work_s, cost)

    def _trouble(self, server: server_pool.PooledServer, now: float) -> float:
        """Return how much worse than a healthy one a server is, in seconds, roughly."""
        return (server.slowness(now) - 1.0) + server.failure_share * _FAILURE_PENALTY

    def _grant(self, waiting: _Waiting, option: _Option, now: float) -> allocation.SlotGrant:
        ask = waiting.ask
        server = option.server
        server.start(ask, option.work_s, now)
        key = work_times.object_key(ask.route, ask.object_key)
        if key is not None:
            self.pool.touched(server, key)
        return allocation.SlotGrant(
            ask.id, server.name, server.view.entry.address, option.work_s
        )

    def _refusal(
        self, ask: allocation.SlotRequest, code: codes.Code, now: float
    ) -> allocation.SlotRefusal:
        slots = max(1, self.pool.slots)
        backlog_s = sum(waiting.guess_s for waiting in self._waiting) / slots
        retry_after_s = min(_LONGEST_RETRY_AFTER_S, max(_SHORTEST_RETRY_AFTER_S, backlog_s))
        return allocation.SlotRefusal(ask.id, code, retry_after_s, self._describe(ask, now))

    def _describe(self, ask: allocation.SlotRequest, now: float) -> str:
        """Return what a refusal was decided from."""
        return (
            f"running={self.pool.running}/{self.pool.slots} waiting={len(self._waiting)} "
            f"servers={len(self.pool.servers)} target_ms={(ask.target_at - now) * 1000:.0f} "
            f"work_ms={self._guess(ask) * 1000:.0f}"
        )


def _allowed(server: server_pool.PooledServer, ask: allocation.SlotRequest) -> bool:
    if server.name in ask.avoided:
        return False
    return not ask.homes or server.region in ask.homes
