"""Scheduling policies: the product's dispatcher, a baseline, and an ideal scheduler."""

import typing
from collections.abc import Sequence

import attrs

from carobhook.coordination import catalog, dispatcher, pooled_server, retry_budget
from carobhook.emulator import model
from carobhook.state import allocation, ids, servers

_SERVICE = ids.Service("svc")
_REGION = ids.Region("here")
_DOMAIN = ids.FailureDomain("here-a")


@attrs.frozen
class Placement:
    """Decision to send a request to a server, which queues it while it has no free slot."""

    request: model.Request
    server: model.Server


@attrs.frozen
class Refusal:
    """Decision to refuse a request.

    Attributes:
        request: The request.
        retry_after_s: Seconds after which its client may send it again.
    """

    request: model.Request
    retry_after_s: float = 0.2


Decision = Placement | Refusal


class Policy(typing.Protocol):
    """Decides which server runs each request, and when."""

    def submit(self, request: model.Request, now: float) -> list[Decision]:
        """Accept a new request and return the decisions that are due now."""

    def record_completion(
        self, request: model.Request, server: model.Server, now: float
    ) -> list[Decision]:
        """Record that a server answered a request and return the decisions that are due now."""

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions that are due without an arrival or a completion."""


class DispatcherPolicy:
    """Runs the product's dispatcher of one service in one region.

    Args:
        pool: The servers.
        reads_pace: Whether answers state the pace of their servers.
        options: Further arguments of the dispatcher.
    """

    def __init__(
        self, pool: Sequence[model.Server], reads_pace: bool = True, **options: typing.Any
    ) -> None:
        self._reads_pace = reads_pace
        self._servers = {ids.Server(server.name): server for server in pool}
        self._requests: dict[ids.RequestId, model.Request] = {}
        # The simulated clients send no retries, so the budget's limits have no effect.
        budget = retry_budget.RetryBudget(0.2, 50.0, 10.0)
        self._dispatcher = dispatcher.Dispatcher(budget, **options)
        self._dispatcher.pool.replace((_server_offer(server) for server in pool), 0.0)

    def submit(self, request: model.Request, now: float) -> list[Decision]:
        """Submit a slot request to the dispatcher."""
        slot_request = allocation.SlotRequest(
            ids.RequestId(str(request.number)),
            _SERVICE,
            request.kind.name,
            request.object_key,
            request.kind.priority,
            request.target_at,
            request.arrived_at + request.kind.deadline_s,
            account=ids.Account(request.account) if request.account is not None else None,
        )
        self._requests[slot_request.id] = request
        return self._convert(self._dispatcher.submit(slot_request, now))

    def record_completion(
        self, request: model.Request, server: model.Server, now: float
    ) -> list[Decision]:
        """Release the request's slot."""
        request_id = ids.RequestId(str(request.number))
        outcome = allocation.AttemptOutcome.ANSWERED
        pace = server.pace(now) if self._reads_pace else None
        return self._convert(
            self._dispatcher.release_slot(
                request_id, ids.Server(server.name), outcome, now, pace
            )
        )

    def tick(self, now: float) -> list[Decision]:
        """Let the dispatcher decide on its queued requests."""
        return self._convert(self._dispatcher.decide(now))

    def _convert(self, decided: list[dispatcher.Decision]) -> list[Decision]:
        """Return the dispatcher's grants and refusals as decisions of a policy."""
        decisions: list[Decision] = []
        for decision in decided:
            request = self._requests.pop(decision.ask_id)
            if isinstance(decision, allocation.SlotGrant):
                decisions.append(Placement(request, self._servers[decision.server]))
            else:
                decisions.append(Refusal(request, decision.retry_after_s))
        return decisions


def _server_offer(server: model.Server) -> pooled_server.ServerOffer:
    entry = servers.ServerEntry(
        ids.Server(server.name),
        _SERVICE,
        _DOMAIN,
        f"{server.name}:1",
        server.slots,
        servers.ServerState.READY,
        0.0,
    )
    return pooled_server.ServerOffer(catalog.ServerView(entry, 0.0), _REGION, server.slots)


class LeastBusyPolicy:
    """Baseline that sends each request to the server with the fewest open requests.

    An instance counts only the open requests that it sent itself, so it does not know how busy
    a server is with the requests of other instances.

    Args:
        pool: The servers.
        instances: Number of entry instances, each with its own counts.
    """

    def __init__(self, pool: Sequence[model.Server], instances: int) -> None:
        self._pool = list(pool)
        self._open_request_counts = [
            dict.fromkeys((s.name for s in pool), 0) for _ in range(instances)
        ]

    def submit(self, request: model.Request, now: float) -> list[Decision]:
        """Place the request at once."""
        counts = self._open_request_counts[request.instance]
        # Each instance starts its search at another server. Otherwise all instances would
        # choose the same server whenever their counts are equal.
        offset = request.instance % len(self._pool)
        rotated = self._pool[offset:] + self._pool[:offset]
        server = min(rotated, key=lambda candidate: counts[candidate.name])
        counts[server.name] += 1
        return [Placement(request, server)]

    def record_completion(
        self, request: model.Request, server: model.Server, now: float
    ) -> list[Decision]:
        """Remove the request from its instance's count of the server."""
        self._open_request_counts[request.instance][server.name] -= 1
        return []

    def tick(self, now: float) -> list[Decision]:
        """Return no decisions, because every request is placed when it arrives."""
        return []


class IdealPolicy:
    """Assigns each object to one server and runs only requests that can be answered in time.

    A server caches its objects before the first requests for them. A real scheduler cannot do
    that, because the first request for an object always finds it uncached. The result serves
    as an estimate of how many requests the slots can serve in time. It is not a strict upper
    bound: with few servers, each has more objects than its cache holds and evicts some.

    Args:
        pool: The servers.
        by_value: Whether requests start by value for their work time, not by rank.
    """

    def __init__(self, pool: Sequence[model.Server], by_value: bool = False) -> None:
        self._pool = list(pool)
        self._by_value = by_value
        self._server_by_object: dict[str, model.Server] = {}
        self._queues: dict[str, list[model.Request]] = {server.name: [] for server in pool}

    def submit(self, request: model.Request, now: float) -> list[Decision]:
        """Queue the request for its object's server."""
        server = self._assigned_server(request)
        self._queues[server.name].append(request)
        return self._fill_slots(server, now)

    def record_completion(
        self, request: model.Request, server: model.Server, now: float
    ) -> list[Decision]:
        """Fill the slot that became free."""
        return self._fill_slots(server, now)

    def tick(self, now: float) -> list[Decision]:
        """Return no decisions, because slots are filled only at arrivals and completions."""
        return []

    def _assigned_server(self, request: model.Request) -> model.Server:
        """Return the server of a request's object.

        A new object is assigned to the next server in turn, and cached there at once.
        """
        server = self._server_by_object.get(request.object_key)
        if server is None:
            server = self._pool[len(self._server_by_object) % len(self._pool)]
            server.cache_object(request)
            self._server_by_object[request.object_key] = server
        return server

    def _fill_slots(self, server: model.Server, now: float) -> list[Decision]:
        """Fill free slots from the server's queue.

        Requests that would be late are refused; the others start by rank or value, then by
        target.
        """
        queue = self._queues[server.name]
        decisions: list[Decision] = [
            Refusal(request) for request in queue if not _will_be_in_time(server, request, now)
        ]
        queue[:] = [request for request in queue if _will_be_in_time(server, request, now)]
        queue.sort(key=lambda request: (self._rank(request.kind), request.target_at))
        free = server.slots - server.running
        decisions += [Placement(request, server) for request in queue[:free]]
        del queue[:free]
        return decisions

    def _rank(self, kind: model.RequestKind) -> float:
        return -kind.value / kind.work_s if self._by_value else kind.priority


def _will_be_in_time(server: model.Server, request: model.Request, now: float) -> bool:
    """Return whether a request that starts now is surely in time if its object is cached."""
    work_s = model.max_cached_work_s(server.scenario, request.kind)
    return now + work_s <= request.target_at
