"""Plays a scene with a policy on virtual time, and counts what came of its requests."""

import collections
import heapq
import itertools
import random
import typing

import attrs

from carobhook.emulator import model, policies

_TICK_S = 0.1


@attrs.define
class Tally:
    """What came of the requests of one kind, or of all.

    Attributes:
        asked: Requests.
        in_time: Answered within their target.
        late: Answered after it, but before their deadline.
        refused: Refused.
        seconds: Time until each answer.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    seconds: list[float] = attrs.field(factory=list)

    @property
    def share_in_time(self) -> float:
        """Return the share of the requests that were answered in time."""
        return self.in_time / self.asked if self.asked else 0.0

    def p99_s(self) -> float:
        """Return the time in seconds that one answer in a hundred exceeds."""
        ordered = sorted(self.seconds)
        return ordered[int(len(ordered) * 0.99)] if ordered else 0.0


POLICIES: dict[str, typing.Callable[[list[model.Server], model.Scene], policies.Policy]] = {
    "dispatcher": lambda pool, scene: policies.OneDispatcher(pool),
    "least-busy": lambda pool, scene: policies.LeastBusy(pool, scene.instances),
    "ideal": lambda pool, scene: policies.Ideal(pool),
}


def play(scene: model.Scene, policy: str) -> dict[str, Tally]:
    """Return what came of a scene's requests, by kind and in all under an empty name.

    Args:
        scene: Servers and load.
        policy: A name of `POLICIES`.
    """
    return _Play(scene, policy).run()


class _Play:
    """One run of a scene."""

    def __init__(self, scene: model.Scene, policy: str) -> None:
        rng = random.Random(scene.seed + 1)
        pool = [
            model.Server(f"s{number}", scene.slots, random.Random(rng.getrandbits(64)))
            for number in range(scene.servers)
        ]
        self._policy = POLICIES[policy](pool, scene)
        self._scene = scene
        self._events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._tallies: dict[str, Tally] = collections.defaultdict(Tally)

    def run(self) -> dict[str, Tally]:
        """Play until nothing is left to happen."""
        for request in model.arrivals(self._scene):
            self._at(request.at, self._arrival(request))
        for tick in range(int(self._scene.length_s / _TICK_S)):
            self._at(tick * _TICK_S, self._tick)
        while self._events:
            now, _, happen = heapq.heappop(self._events)
            happen(now)
        return dict(self._tallies)

    def _at(self, when: float, happen: typing.Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), happen))

    def _arrival(self, request: model.Request) -> typing.Callable[[float], None]:
        def happen(now: float) -> None:
            for tally in self._tallies_of(request):
                tally.asked += 1
            self._carry_out(self._policy.arrive(request, now), now)

        return happen

    def _tick(self, now: float) -> None:
        self._carry_out(self._policy.tick(now), now)

    def _carry_out(self, decisions: list[policies.Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, policies.Refused):
                for tally in self._tallies_of(decision.request):
                    tally.refused += 1
            elif decision.server.running < decision.server.slots:
                self._begin(decision.server, decision.request, now)
            else:
                decision.server.queue.append(decision.request)

    def _begin(self, server: model.Server, request: model.Request, now: float) -> None:
        def happen(then: float) -> None:
            server.running -= 1
            if server.queue:
                self._begin(server, server.queue.popleft(), then)
            self._answered(request, then)
            self._carry_out(self._policy.ended(request, server, then), then)

        self._at(now + server.begin(request), happen)

    def _answered(self, request: model.Request, now: float) -> None:
        for tally in self._tallies_of(request):
            tally.seconds.append(now - request.at)
            if now <= request.target_at:
                tally.in_time += 1
            elif now <= request.at + request.kind.deadline_s:
                tally.late += 1

    def _tallies_of(self, request: model.Request) -> tuple[Tally, Tally]:
        return self._tallies[request.kind.name], self._tallies[""]
