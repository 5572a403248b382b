"""A deployment to soak: real instance processes, with the platform's stand-ins in this one."""

import os
import pathlib
import signal
import subprocess
import sys
import typing

from twisted.internet import defer, protocol, task

from carobhook import demo
from carobhook.platform import names
from carobhook.soak import proxy
from carobhook.standins import (
    memory_store,
    platform_server,
    platform_store,
    service_group,
)

_ZONES = ("addis-a", "addis-b", "kigali-a")
_SLOTS = 4
_WORK_S = 0.03
_START_WAIT_S = 20.0
_POLL_S = 0.1
_GRACE_S = 6.0


class Deployment:
    """Instances as processes; store and servers behind proxies in this process.

    Args:
        reactor: The reactor.
        directory: Where settings and logs go.
        instances: How many instances.
        servers: How many servers of each service.
    """

    def __init__(
        self, reactor: typing.Any, directory: pathlib.Path, instances: int, servers: int
    ) -> None:
        self._reactor = reactor
        self._directory = directory
        self._count = instances
        self._servers_wanted = servers
        self._processes: dict[int, subprocess.Popen] = {}
        self._ports: list[typing.Any] = []
        self._numbers: list[dict[str, int]] = []
        self._config_version = 1
        self.store = platform_store.PlatformStoreServer(reactor, memory_store.MemoryStore())
        self.servers: list[platform_server.PlatformBackend] = []
        self.plans: list[service_group.ServerPlan] = []
        self.server_proxies: list[proxy.Proxy] = []
        self.store_proxy: proxy.Proxy
        self.drained: dict[str, float] = {}

    @property
    def directories(self) -> list[str]:
        """Return the addresses that answer where to connect."""
        return [f"{demo.HOST}:{numbers['directory']}" for numbers in self._numbers]

    async def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        port = self.store.listen(demo.HOST, 0)
        self._ports.append(port)
        self.store_proxy = proxy.Proxy(self._reactor, port.getHost().port)
        for service in demo.SERVICES:
            for number in range(self._servers_wanted):
                self._start_server(service.name, number)
        self.change_config()
        for index in range(self._count):
            self._numbers.append(await self._free_ports())
            self.write_settings(index)
        for index in range(self._count):
            self.start_instance(index)
        for index in range(self._count):
            await self.until_ready(index)

    def _start_server(self, service: str, number: int) -> None:
        name = f"{service}-{number}"
        server = platform_server.PlatformBackend(self._reactor, name)
        server.behaviour = platform_server.Behaviour(slots=_SLOTS, work_s=_WORK_S)
        port = server.listen(demo.HOST, 0)
        self._ports.append(port)
        between = proxy.Proxy(self._reactor, port.getHost().port)
        zone = _ZONES[number % len(_ZONES)]
        plan = service_group.ServerPlan(name, service, zone, between.address, _SLOTS, _WORK_S)
        self.servers.append(server)
        self.plans.append(plan)
        self.server_proxies.append(between)
        self.store.put(names.SERVERS_KIND, name, service_group.entry(plan))

    def set_state(self, index: int, state: str) -> None:
        """Let a server say that it is ready or draining."""
        plan = self.plans[index]
        self.store.put(names.SERVERS_KIND, plan.name, service_group.entry(plan, state))
        if state == "draining":
            self.drained[plan.name] = self._reactor.seconds()
        else:
            self.drained.pop(plan.name, None)

    def change_config(self) -> None:
        """Write a newer configuration."""
        self._config_version += 1
        spec = demo.config(self._config_version)
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, spec)

    async def _free_ports(self) -> dict[str, int]:
        keys = ("http", "readiness", "directory", "peers", "metrics")
        probes = [
            self._reactor.listenTCP(0, protocol.Factory(), interface=demo.HOST) for _ in keys
        ]
        numbers = [probe.getHost().port for probe in probes]
        await defer.gatherResults([defer.maybeDeferred(p.stopListening) for p in probes])
        return dict(zip(keys, numbers, strict=True))

    def write_settings(self, index: int, ttl_max_s: int = 5) -> None:
        """Write the settings of an instance."""
        zone = _ZONES[index % len(_ZONES)]
        seeds = [f"{demo.HOST}:{numbers['peers']}" for numbers in self._numbers[:2]]
        place = {"name": f"i{index}", "region": demo.REGIONS[zone], "failure_domain": zone}
        place |= {key: f"{demo.HOST}:{port}" for key, port in self._numbers[index].items()}
        sections: dict[str, typing.Any] = {
            "place": place | {"seeds": seeds},
            "store": {"address": self.store_proxy.address},
            "capacity": demo.CAPACITY,
            "bounds": demo.BOUNDS | {"ttl_max": f"{ttl_max_s}s"},
            "log": {"form": "json"},
            "regions": demo.REGIONS,
        }
        (self._directory / f"i{index}.toml").write_text(demo.settings_file(sections), "utf-8")

    def start_instance(self, index: int) -> None:
        """Start the process of an instance, unless it runs."""
        held = self._processes.get(index)
        if held is not None and held.poll() is None:
            return
        with (self._directory / f"i{index}.log").open("ab") as log:
            self._processes[index] = subprocess.Popen(
                [sys.executable, "-m", "carobhook.entry"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join(sys.path),
                    "CAROBHOOK_SETTINGS": str(self._directory / f"i{index}.toml"),
                },
            )

    async def until_ready(self, index: int) -> None:
        """Wait until an instance takes clients.

        Raises:
            TimeoutError: It is not ready in time.
        """
        log = self._directory / f"i{index}.log"
        give_up_at = self._reactor.seconds() + _START_WAIT_S
        while b"instance-ready" not in log.read_bytes():
            if self._reactor.seconds() > give_up_at:
                raise TimeoutError(f"instance {index} is not ready: see {log}")
            await task.deferLater(self._reactor, _POLL_S)

    def signal(self, index: int, number: signal.Signals) -> None:
        """Send a signal to the process of an instance, if it runs."""
        process = self._processes.get(index)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    async def ended(self, index: int) -> None:
        """Wait until a process that was told to stop has ended; kill it past its grace."""
        process = self._processes[index]
        give_up_at = self._reactor.seconds() + _GRACE_S
        while process.poll() is None and self._reactor.seconds() < give_up_at:
            await task.deferLater(self._reactor, _POLL_S)
        if process.poll() is None:
            process.kill()
        process.wait()

    async def stop(self) -> None:
        """End every process that was started here, and close all sockets."""
        for index, process in self._processes.items():
            self.signal(index, signal.SIGCONT)
            process.kill()
            process.wait()
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        for one in [self.store_proxy, *self.server_proxies]:
            await one.stop()
        self.store.abort()
        for server in self.servers:
            server.abort()
