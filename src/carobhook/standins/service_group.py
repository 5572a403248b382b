"""Group of stand-in backend servers that register themselves in the platform's store."""

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
    """Configuration of one server.

    Attributes:
        name: Id of the server.
        service: Service that the server runs.
        zone: Failure domain of the server.
        address: ``host:port`` to listen on.
        slots: Number of requests that the server registers to run at once; not enforced.
        work_s: Seconds for which a request runs.
    """

    name: str
    service: str
    zone: str
    address: str
    slots: int = 4
    work_s: float = 0.02


def read_plans(path: pathlib.Path) -> list[ServerPlan]:
    """Read a JSON file with a list of servers, each with the fields of `ServerPlan`.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file does not hold a list of servers.
    """
    items = json.loads(path.read_text("utf-8"))
    try:
        return [ServerPlan(**item) for item in items]
    except TypeError as error:
        raise ValueError(f"{path} must list servers: {error}") from error


def server_spec(
    plan: ServerPlan, state: str = "ready", started_at_ms: int = 1, sequence: int = 1
) -> dict[str, typing.Any]:
    """Return the ``Spec`` of the object by which a server registers in the store.

    Args:
        plan: The server.
        state: State of the server, ``ready`` or ``draining``.
        started_at_ms: Time of the server's start in milliseconds.
        sequence: Number of the report, which rises while the server runs.
    """
    info = {
        "Service": plan.service,
        "Zone": plan.zone,
        "ConfigVersion": "v1",
        "Slots": plan.slots,
    }
    status = {"State": state, "SeqNo": sequence, "ColdRemaining": "0ms"}
    return {"Address": plan.address, "Info": info, "Status": status, "born": started_at_ms}


class ServiceGroup:
    """Runs servers and registers them in the store.

    Args:
        reactor: The reactor.
        store: Store in which the servers are registered.

    Attributes:
        servers: Running servers by their ids.
    """

    def __init__(self, reactor: typing.Any, store: objects.ObjectStore) -> None:
        self._reactor = reactor
        self._store = store
        self._ports: list[typing.Any] = []
        self.servers: dict[str, platform_server.PlatformBackend] = {}

    async def start(self, plans: Iterable[ServerPlan]) -> None:
        """Start each server, then register it in the store."""
        for plan in plans:
            server = platform_server.PlatformBackend(self._reactor, plan.name)
            server.behaviour = platform_server.Behaviour(slots=plan.slots, work_s=plan.work_s)
            host, _, port = plan.address.rpartition(":")
            self._ports.append(server.listen(host, int(port)))
            self.servers[plan.name] = server
            await self._register(plan)

    async def _register(self, plan: ServerPlan) -> None:
        """Write a server's entry, and retry until the store accepts it."""
        while True:
            try:
                existing = await self._store.get(names.SERVERS_KIND, plan.name)
                if existing is None:
                    await self._store.create(names.SERVERS_KIND, plan.name, server_spec(plan))
                else:
                    # Not a time, but a number that increases with every registration.
                    value = server_spec(plan, started_at_ms=existing.version + 1)
                    await self._store.update(
                        names.SERVERS_KIND, plan.name, value, existing.version
                    )
                return
            except objects.StoreError:
                # The stand-in of the store may start later, or refuse calls on purpose.
                await task.deferLater(self._reactor, _RETRY_S)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for port in self._ports:
            await port.stopListening()
        for server in self.servers.values():
            server.abort()
