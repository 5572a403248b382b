"""Stand-ins of backend servers that enter themselves into the platform's store."""

import json
import pathlib
import typing
from collections.abc import Iterable

import attrs
from twisted.internet import task

from carobhook.coordination import objects
from carobhook.platform import names
from carobhook.standins import platform_server

_RETRY_S = 0.5


@attrs.frozen
class ServerPlan:
    """One server to run.

    Attributes:
        name: Its id.
        service: Service that it runs.
        zone: Failure domain that it stands in.
        address: ``host:port`` on which it listens.
        slots: Requests that it runs at once.
        work_s: Seconds that a request takes.
    """

    name: str
    service: str
    zone: str
    address: str
    slots: int = 4
    work_s: float = 0.02


def read_plans(path: pathlib.Path) -> list[ServerPlan]:
    """Return the servers that a JSON file lists, each with the fields of `ServerPlan`.

    Raises:
        OSError: The file cannot be read.
        ValueError: It does not hold a list of servers.
    """
    plain = json.loads(path.read_text("utf-8"))
    try:
        return [ServerPlan(**item) for item in plain]
    except TypeError as problem:
        raise ValueError(f"{path} must list servers: {problem}") from problem


def entry(plan: ServerPlan, state: str = "ready", born_ms: int = 1) -> dict[str, typing.Any]:
    """Return what a server writes of itself into the store.

    Args:
        plan: The server.
        state: Its state.
        born_ms: Time of its start.
    """
    info = {
        "Service": plan.service,
        "Zone": plan.zone,
        "ConfigVersion": "v1",
        "Slots": plan.slots,
    }
    status = {"State": state, "SeqNo": 1, "ColdRemaining": "0ms"}
    return {"Address": plan.address, "Info": info, "Status": status, "born": born_ms}


class ServiceGroup:
    """Runs servers and keeps their entries in the store.

    Args:
        reactor: The reactor.
        store: The store.
    """

    def __init__(self, reactor: typing.Any, store: objects.ObjectStore) -> None:
        self._reactor = reactor
        self._store = store
        self._ports: list[typing.Any] = []
        self.servers: dict[str, platform_server.PlatformBackend] = {}

    async def start(self, plans: Iterable[ServerPlan]) -> None:
        """Listen with each server, then enter it into the store."""
        for plan in plans:
            server = platform_server.PlatformBackend(self._reactor, plan.name)
            server.behaviour = platform_server.Behaviour(slots=plan.slots, work_s=plan.work_s)
            host, _, port = plan.address.rpartition(":")
            self._ports.append(server.listen(host, int(port)))
            self.servers[plan.name] = server
            await self._enter(plan)

    async def _enter(self, plan: ServerPlan) -> None:
        """Write a server's entry, trying again until the store takes it."""
        while True:
            try:
                held = await self._store.get(names.SERVERS_KIND, plan.name)
                if held is None:
                    await self._store.create(names.SERVERS_KIND, plan.name, entry(plan))
                else:
                    value = entry(plan, born_ms=held.version + 1)
                    await self._store.update(names.SERVERS_KIND, plan.name, value, held.version)
                return
            except objects.StoreError:
                # The stand-in of the store may start later, or misbehave on purpose.
                await task.deferLater(self._reactor, _RETRY_S)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for port in self._ports:
            await port.stopListening()
        for server in self.servers.values():
            server.abort()
