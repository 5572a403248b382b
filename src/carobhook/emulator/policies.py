"""Ways to place requests: the product's dispatcher, a baseline, and an ideal scheduler."""

import typing
from collections.abc import Sequence

import attrs

from carobhook.coordination import catalog, dispatcher, retry_budget, server_pool
from carobhook.emulator import model
from carobhook.state import allocation, ids, servers

_SERVICE = ids.Service("svc")
_REGION = ids.Region("here")
_ZONE = ids.FailureDomain("here-a")


@attrs.frozen
class Placed:
    """A request goes to a server, which runs it at once or queues it."""

    request: model.Request
    server: model.Server


@attrs.frozen
class Refused:
    """A request is refused."""

    request: model.Request


Decision = Placed | Refused


class Policy(typing.Protocol):
    """Places requests."""

    def arrive(self, request: model.Request, now: float) -> list[Decision]:
        """Take a request in; return what is decided now."""

    def ended(self, request: model.Request, server: model.Server, now: float) -> list[Decision]:
        """Take in that a server has answered; return what is decided now."""

    def tick(self, now: float) -> list[Decision]:
        """Return what is decided as time passes."""


class OneDispatcher:
    """The product's dispatcher of one service in one region.

    Args:
        pool: The servers.
    """

    def __init__(self, pool: Sequence[model.Server]) -> None:
        self._servers = {ids.Server(server.name): server for server in pool}
        self._requests: dict[ids.RequestId, model.Request] = {}
        budget = retry_budget.RetryBudget(0.2, 50.0, 10.0)
        self._one = dispatcher.Dispatcher(budget)
        self._one.pool.replace((_offer(server) for server in pool), 0.0)

    def arrive(self, request: model.Request, now: float) -> list[Decision]:
        """Ask the dispatcher for a slot."""
        ask = allocation.SlotRequest(
            ids.RequestId(str(request.number)),
            _SERVICE,
            request.kind.name,
            request.object_key,
            request.kind.priority,
            request.target_at,
            request.at + request.kind.deadline_s,
        )
        self._requests[ask.id] = request
        return self._decisions(self._one.submit(ask, now))

    def ended(self, request: model.Request, server: model.Server, now: float) -> list[Decision]:
        """Give the slot back."""
        ask_id = ids.RequestId(str(request.number))
        end = allocation.AttemptOutcome.ANSWERED
        return self._decisions(
            self._one.release_slot(ask_id, ids.Server(server.name), end, now)
        )

    def tick(self, now: float) -> list[Decision]:
        """Look at what waits."""
        return self._decisions(self._one.decide(now))

    def _decisions(self, decided: list[dispatcher.Decision]) -> list[Decision]:
        found: list[Decision] = []
        for one in decided:
            request = self._requests.pop(one.ask_id)
            if isinstance(one, allocation.SlotGrant):
                found.append(Placed(request, self._servers[one.server]))
            else:
                found.append(Refused(request))
        return found


def _offer(server: model.Server) -> server_pool.ServerOffer:
    entry = servers.ServerEntry(
        ids.Server(server.name),
        _SERVICE,
        _ZONE,
        f"{server.name}:1",
        server.slots,
        servers.ServerState.READY,
        0.0,
    )
    return server_pool.ServerOffer(catalog.ServerView(entry, 0.0), _REGION, server.slots)


class LeastBusy:
    """Each instance sends to the server that is least busy by its own counts.

    Args:
        pool: The servers.
        instances: How many instances guess.
    """

    def __init__(self, pool: Sequence[model.Server], instances: int) -> None:
        self._pool = list(pool)
        self._sent = [dict.fromkeys((s.name for s in pool), 0) for _ in range(instances)]

    def arrive(self, request: model.Request, now: float) -> list[Decision]:
        """Send it on at once."""
        sent = self._sent[request.instance]
        # Instances begin at different servers, so that equal counts do not all lead to one.
        offset = request.instance % len(self._pool)
        turned = self._pool[offset:] + self._pool[:offset]
        server = min(turned, key=lambda one: sent[one.name])
        sent[server.name] += 1
        return [Placed(request, server)]

    def ended(self, request: model.Request, server: model.Server, now: float) -> list[Decision]:
        """Count it as gone."""
        self._sent[request.instance][server.name] -= 1
        return []

    def tick(self, now: float) -> list[Decision]:
        """Decide nothing."""
        return []


class Ideal:
    """Knows the future: each object is warm at one server, and only what will be timely runs.

    No scheduler of the product can reach it, as somebody has to work on an object first. It
    bounds what the slots can bear.

    Args:
        pool: The servers.
    """

    def __init__(self, pool: Sequence[model.Server]) -> None:
        self._pool = list(pool)
        self._homes: dict[str, model.Server] = {}
        self._waiting: dict[str, list[model.Request]] = {server.name: [] for server in pool}

    def arrive(self, request: model.Request, now: float) -> list[Decision]:
        """Let it wait at its object's server."""
        home = self._home(request)
        self._waiting[home.name].append(request)
        return self._fill(home, now)

    def ended(self, request: model.Request, server: model.Server, now: float) -> list[Decision]:
        """Use the slot again."""
        return self._fill(server, now)

    def tick(self, now: float) -> list[Decision]:
        """Decide nothing beyond what arrivals and ends lead to."""
        return []

    def _home(self, request: model.Request) -> model.Server:
        """Return the server of an object; new ones go round, and are warm there at once."""
        home = self._homes.get(request.object_key)
        if home is None:
            home = self._pool[len(self._homes) % len(self._pool)]
            home.warm(request)
            self._homes[request.object_key] = home
        return home

    def _fill(self, server: model.Server, now: float) -> list[Decision]:
        """Give free slots to what is timely, by rank and target; refuse what no longer is."""
        waiting = self._waiting[server.name]
        found: list[Decision] = [
            Refused(request) for request in waiting if not _is_timely(request, now)
        ]
        waiting[:] = [request for request in waiting if _is_timely(request, now)]
        waiting.sort(key=lambda request: (request.kind.priority, request.target_at))
        free = server.slots - server.running
        found += [Placed(request, server) for request in waiting[:free]]
        del waiting[:free]
        return found


def _is_timely(request: model.Request, now: float) -> bool:
    return now + model.longest_warm_s(request.kind) <= request.target_at
