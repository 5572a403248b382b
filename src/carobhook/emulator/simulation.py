"""Runs a scenario under a scheduling policy on virtual time and counts the outcomes."""

import collections
import heapq
import itertools
import random
import typing
from collections.abc import Collection, Iterable, Iterator

import attrs

from carobhook.coordination import fair_share
from carobhook.emulator import model, policies

_TICK_INTERVAL_S = 0.1


@attrs.define
class RequestStats:
    """Outcomes and response times of the requests of one group, such as a kind.

    A request that was answered after its deadline is neither in time nor late. Response times
    count from the first arrival of a request.

    Attributes:
        total: Number of requests that arrived.
        in_time: Number of requests that were answered by their target.
        late: Number of requests that were answered after their target, by their deadline.
        refused: Number of requests whose clients gave up after the policy refused them.
        refusals: Number of refusals, also of requests that came back.
        value: Value of the requests that were answered in time.
        response_times_s: Response time in seconds of each answered request, including those
            that were answered after their deadline.
    """

    total: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refusals: int = 0
    value: float = 0.0
    response_times_s: list[float] = attrs.field(factory=list)

    @property
    def share_in_time(self) -> float:
        """Return the share of the requests that were answered in time."""
        return self.in_time / self.total if self.total else 0.0

    def p99_s(self) -> float:
        """Return the 99th percentile of the response times in seconds."""
        ordered = sorted(self.response_times_s)
        return ordered[int(len(ordered) * 0.99)] if ordered else 0.0


# Least share of the routes and accounts under the policy `fair-order`.
_MIN_SHARE = 0.5


def _fair_shares(scenario: model.Scenario) -> fair_share.FairShares:
    weights = {account.name: account.weight for account in scenario.accounts}
    return fair_share.FairShares(weights.get if weights else None, _MIN_SHARE)


POLICIES: dict[str, typing.Callable[[list[model.Server], model.Scenario], policies.Policy]] = {
    "dispatcher": lambda pool, scenario: policies.DispatcherPolicy(pool),
    "dispatcher-without-pace": lambda pool, scenario: policies.DispatcherPolicy(pool, False),
    "fair-order": lambda pool, scenario: policies.DispatcherPolicy(
        pool, fairness=_fair_shares(scenario)
    ),
    "least-busy": lambda pool, scenario: policies.LeastBusyPolicy(pool, scenario.instances),
    "ideal": lambda pool, scenario: policies.IdealPolicy(pool),
    "ideal-by-value": lambda pool, scenario: policies.IdealPolicy(pool, by_value=True),
}


@attrs.define
class Outcomes:
    """Statistics of one simulation.

    Attributes:
        overall: Those of all requests.
        by_kind: Those of each request kind.
        by_account: Those of each client account.
        by_client: Those of the clients that do not come back after a refusal (`leaving`), that
            wait before they do (`patient`), and that do so at once (`hasty`).
    """

    overall: RequestStats = attrs.field(factory=RequestStats)
    by_kind: dict[str, RequestStats] = attrs.field(
        factory=lambda: collections.defaultdict(RequestStats)
    )
    by_account: dict[str, RequestStats] = attrs.field(
        factory=lambda: collections.defaultdict(RequestStats)
    )
    by_client: dict[str, RequestStats] = attrs.field(
        factory=lambda: collections.defaultdict(RequestStats)
    )

    def worst_kind_ratio(self) -> float:
        """Return the least share in time of a kind, as a multiple of that of all requests."""
        return self._worst_ratio(self.by_kind.values(), self.overall)

    def worst_account_ratio(self, flooding: Collection[str]) -> float:
        """Return the least share in time of an account, as a multiple of that of all.

        Accounts that flood are left out.

        Args:
            flooding: Their names.
        """
        others = [s for name, s in self.by_account.items() if name not in flooding]
        total = sum(stats.total for stats in others)
        in_time = sum(stats.in_time for stats in others)
        return self._worst_ratio(others, RequestStats(total, in_time))

    def _worst_ratio(self, groups: Iterable[RequestStats], overall: RequestStats) -> float:
        shares = [stats.share_in_time for stats in groups]
        if not shares or not overall.in_time:
            return 0.0
        return min(shares) / overall.share_in_time

    def groups_of(self, request: model.Request) -> Iterator[RequestStats]:
        """Yield the statistics that a request counts for."""
        yield self.overall
        yield self.by_kind[request.kind.name]
        if request.account is not None:
            yield self.by_account[request.account]
        client = "hasty" if request.is_hasty else "patient" if request.returns else "leaving"
        yield self.by_client[client]


def simulate(scenario: model.Scenario, policy: str) -> dict[str, RequestStats]:
    """Simulate a scenario and return its statistics by request kind.

    The key "" has the statistics of all kinds together.

    Args:
        scenario: Servers and load.
        policy: A key of `POLICIES`.
    """
    outcomes = simulate_groups(scenario, policy)
    return {**outcomes.by_kind, "": outcomes.overall}


def simulate_groups(scenario: model.Scenario, policy: str) -> Outcomes:
    """Simulate a scenario and return its statistics by kind, account and client.

    Args:
        scenario: Servers and load.
        policy: A key of `POLICIES`.
    """
    return _Simulation(scenario, policy).run()


class _Simulation:
    """Discrete-event simulation of one scenario under one policy."""

    def __init__(self, scenario: model.Scenario, policy: str) -> None:
        rng = random.Random(scenario.seed + 1)
        pool = [
            model.Server(f"s{number}", scenario, random.Random(rng.getrandbits(64)))
            for number in range(scenario.servers)
        ]
        self._policy = POLICIES[policy](pool, scenario)
        self._scenario = scenario
        # The sequence number orders events of the same time as they were scheduled.
        self._events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self._sequence_numbers = itertools.count()
        self._outcomes = Outcomes()
        self._attempts: collections.Counter[int] = collections.Counter()

    def run(self) -> Outcomes:
        """Process events until none is left, and return the statistics."""
        for request in model.generate_requests(self._scenario):
            self._schedule(request.arrived_at, self._arrival_callback(request))
        for tick in range(int(self._scenario.duration_s / _TICK_INTERVAL_S)):
            self._schedule(tick * _TICK_INTERVAL_S, self._tick)
        while self._events:
            now, _, callback = heapq.heappop(self._events)
            callback(now)
        return self._outcomes

    def _schedule(self, when: float, callback: typing.Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence_numbers), callback))

    def _arrival_callback(self, request: model.Request) -> typing.Callable[[float], None]:
        def arrive(now: float) -> None:
            self._attempts[request.number] += 1
            if self._attempts[request.number] == 1:
                for stats in self._outcomes.groups_of(request):
                    stats.total += 1
            self._apply(self._policy.submit(request, now), now)

        return arrive

    def _tick(self, now: float) -> None:
        self._apply(self._policy.tick(now), now)

    def _apply(self, decisions: list[policies.Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, policies.Refusal):
                self._record_refusal(decision, now)
            elif decision.server.running < decision.server.slots:
                self._start_request(decision.server, decision.request, now)
            else:
                decision.server.queue.append(decision.request)

    def _record_refusal(self, refusal: policies.Refusal, now: float) -> None:
        request = refusal.request
        attempts = self._attempts[request.number]
        return_at = model.return_time(request, attempts, refusal.retry_after_s, now)
        if return_at is not None:
            self._schedule(return_at, self._arrival_callback(request))
        for stats in self._outcomes.groups_of(request):
            stats.refusals += 1
            stats.refused += return_at is None

    def _start_request(self, server: model.Server, request: model.Request, now: float) -> None:
        def complete(completed_at: float) -> None:
            server.running -= 1
            if server.queue:
                self._start_request(server, server.queue.popleft(), completed_at)
            self._record_answer(request, completed_at)
            self._apply(
                self._policy.record_completion(request, server, completed_at), completed_at
            )

        self._schedule(now + server.start_request(request, now), complete)

    def _record_answer(self, request: model.Request, now: float) -> None:
        for stats in self._outcomes.groups_of(request):
            stats.response_times_s.append(now - request.arrived_at)
            if now <= request.target_at:
                stats.in_time += 1
                stats.value += request.kind.value
            elif now <= request.arrived_at + request.kind.deadline_s:
                stats.late += 1
