"""Deployment under test: instance processes, with the platform's stand-ins in this process."""

import collections
import datetime
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing
from collections.abc import Sequence

import attrs
from twisted.internet import defer, task

from carobhook import demo
from carobhook.platform import names
from carobhook.soak import accounts, checks, proxy
from carobhook.standins import (
    memory_store,
    platform_server,
    platform_store,
    service_group,
    unused_ports,
)

_ZONES = ("addis-a", "addis-b", "kigali-a")
_SLOTS = 4
_WORK_S = 0.03
_START_WAIT_S = 20.0
_POLL_S = 0.1
_GRACE_S = 6.0


@attrs.frozen
class Restarts:
    """How servers come back that a request has ended.

    Attributes:
        takes_new_id: Whether a server has a new id then, at the same address.
        told_after_s: Seconds until the store tells of it.
    """

    takes_new_id: bool = False
    told_after_s: float = 0.0


class Deployment:
    """Runs instances as processes, and store and servers in this process behind proxies.

    Args:
        reactor: The reactor.
        directory: Directory for settings and logs.
        instances: Number of instances.
        servers: Number of servers of each service.
        other_source: Folder that has the package of another build, with which some instances
            run; None to run all with this build.
        client_accounts: Accounts in the configuration; without any, requests need no key.

    Attributes:
        store: Stand-in of the store.
        servers: Backend servers.
        server_plans: Configuration of each server, in the order of ``servers``.
        server_proxies: Proxy of each server, in the order of ``servers``.
        store_proxy: Proxy through which the instances use the store.
        draining_since: Monotonic time in seconds at which each draining server began to drain,
            by its id.
        restarts: How servers come back that a request has ended.
    """

    def __init__(
        self,
        reactor: typing.Any,
        directory: pathlib.Path,
        instances: int,
        servers: int,
        other_source: pathlib.Path | None = None,
        client_accounts: Sequence[accounts.SoakAccount] = (),
    ) -> None:
        self._reactor = reactor
        self._directory = directory
        self._instance_count = instances
        self._servers_per_service = servers
        self._other_source = other_source
        self._client_accounts = client_accounts
        self._start_counts: collections.Counter[int] = collections.Counter()
        self._processes: dict[int, subprocess.Popen] = {}
        self._ports: list[typing.Any] = []
        self._instance_ports: list[dict[str, int]] = []
        self._config_version = 1
        self._added_routes = 0
        self._reports = 0
        self.store = platform_store.PlatformStoreServer(reactor, memory_store.MemoryStore())
        self.servers: list[platform_server.PlatformBackend] = []
        self.server_plans: list[service_group.ServerPlan] = []
        self.server_proxies: list[proxy.Proxy] = []
        self.store_proxy: proxy.Proxy
        self.draining_since: dict[str, float] = {}
        self.restarts = Restarts()
        self._starts: dict[str, int] = {}
        # Ids under which servers are in the store, and the calls that change them, by index.
        self._told_ids: dict[int, str] = {}
        self._tell_calls: dict[int, typing.Any] = {}

    @property
    def directories(self) -> list[str]:
        """Return the directory addresses of the instances."""
        return [f"{demo.HOST}:{ports['directory']}" for ports in self._instance_ports]

    async def start(self) -> None:
        """Start all stand-ins and instances, and wait until the instances are ready."""
        port = self.store.listen(demo.HOST, 0)
        self._ports.append(port)
        self.store_proxy = proxy.Proxy(self._reactor, port.getHost().port)
        for service in demo.SERVICES:
            for number in range(self._servers_per_service):
                self._start_server(service.name, number)
        self.change_config()
        for index in range(self._instance_count):
            self._instance_ports.append(self._unused_ports())
            self.write_settings(index)
        for index in range(self._instance_count):
            self.start_instance(index)
        for index in range(self._instance_count):
            await self.wait_until_ready(index)

    def _start_server(self, service: str, number: int) -> None:
        name = f"{service}-{number}"
        server = platform_server.PlatformBackend(self._reactor, name)
        server.behaviour = platform_server.Behaviour(
            slots=_SLOTS, work_s=_WORK_S, health_target=demo.HEALTH_PATH.encode()
        )
        port = server.listen(demo.HOST, 0)
        self._ports.append(port)
        server_proxy = proxy.Proxy(self._reactor, port.getHost().port)
        zone = _ZONES[number % len(_ZONES)]
        plan = service_group.ServerPlan(
            name, service, zone, server_proxy.address, _SLOTS, _WORK_S
        )
        self.servers.append(server)
        self.server_plans.append(plan)
        self.server_proxies.append(server_proxy)
        index = len(self.servers) - 1
        server.on_end = lambda: self._end_server(index)
        server.on_restart = lambda: self._restart_server(index)
        self._told_ids[index] = name
        self._write_server(plan)

    def _end_server(self, index: int) -> None:
        """Make a server unreachable; a run that the store does not know yet stays unknown."""
        self.server_proxies[index].close()
        call = self._tell_calls.pop(index, None)
        if call is not None and call.active():
            call.cancel()

    def _restart_server(self, index: int) -> None:
        """Make a server reachable that was started again; the store tells of it when it may."""
        self.server_proxies[index].reopen()
        plan = self.server_plans[index]
        self._starts[plan.name] = self._starts.get(plan.name, 1) + 1
        if self.restarts.takes_new_id:
            name = f"{plan.service}-{index}-{self._reports}-{len(self.servers[index].ends)}"
            self.server_plans[index] = attrs.evolve(plan, name=name)
            self.servers[index].name = name
        if self.restarts.told_after_s:
            self._tell_calls[index] = self._reactor.callLater(
                self.restarts.told_after_s, self._tell, index
            )
        else:
            self._tell(index)

    def _tell(self, index: int) -> None:
        """Register the present run of a server, and remove the entry of its former id."""
        plan = self.server_plans[index]
        self._write_server(plan)
        former, self._told_ids[index] = self._told_ids[index], plan.name
        if former != plan.name:
            self.remove_entry(former)

    def servers_of(self, service: str) -> list[platform_server.PlatformBackend]:
        """Return the servers of a service."""
        return [
            server
            for server, plan in zip(self.servers, self.server_plans, strict=True)
            if plan.service == service
        ]

    def proxies_of(self, service: str) -> list[proxy.Proxy]:
        """Return the proxies of the servers of a service."""
        return [
            each_proxy
            for each_proxy, plan in zip(self.server_proxies, self.server_plans, strict=True)
            if plan.service == service
        ]

    @staticmethod
    def outgoing_host(index: int) -> str:
        """Return the local address from which an instance connects to servers."""
        return f"127.0.1.{index + 1}"

    def entry_address(self, index: int) -> str:
        """Return the address at which an instance accepts requests."""
        return f"{demo.HOST}:{self._instance_ports[index]['http']}"

    def set_state(self, index: int, state: str) -> None:
        """Write the state of a server, ``ready`` or ``draining``, into the store."""
        plan = self.server_plans[index]
        if state == "draining":
            self.draining_since[plan.name] = self._reactor.seconds()
        else:
            self.draining_since.pop(plan.name, None)
        self._write_server(plan)

    def change_config(self, added_routes: int = 0) -> int:
        """Write a newer configuration into the store, and return its version.

        Args:
            added_routes: Number of routes that it has more than the one before.
        """
        self._config_version += 1
        self._added_routes += added_routes
        self._write_config()
        return self._config_version

    def _write_config(self) -> None:
        spec = demo.config(self._config_version)
        spec["Routes"] += [
            {**spec["Routes"][0], "Name": f"added-{n}", "PathPrefix": f"/added-{n}/"}
            for n in range(self._added_routes)
        ]
        if self._client_accounts:
            accounts.add_to_config(spec, self._client_accounts)
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, spec)

    def add_entry(self, index: int, name: str) -> None:
        """Register a server under a further id, at the address that it has."""
        plan = attrs.evolve(self.server_plans[index], name=name)
        self.store.put(names.SERVERS_KIND, name, service_group.server_spec(plan))

    def remove_entry(self, name: str) -> None:
        """Remove the entry of an id that a server has left."""
        self.store.remove(names.SERVERS_KIND, name)

    def write_again(self) -> None:
        """Write the configuration and all servers again, after the store has lost writes."""
        self._write_config()
        for plan in self.server_plans:
            self._write_server(plan)

    def _write_server(self, plan: service_group.ServerPlan) -> None:
        """Write a server's entry with its present state, as a newer report than before."""
        self._reports += 1
        state = "draining" if plan.name in self.draining_since else "ready"
        spec = service_group.server_spec(
            plan, state, self._starts.get(plan.name, 1), self._reports
        )
        self.store.put(names.SERVERS_KIND, plan.name, spec)

    @staticmethod
    def _unused_ports() -> dict[str, int]:
        """Return one unused port number for each listener of an instance, by setting name."""
        keys = ("http", "readiness", "directory", "peers", "metrics")
        return dict(zip(keys, unused_ports.find(demo.HOST, len(keys)), strict=True))

    def write_settings(self, index: int, ttl_max_s: int = 5) -> None:
        """Write the settings file of an instance."""
        zone = _ZONES[index % len(_ZONES)]
        seeds = [f"{demo.HOST}:{ports['peers']}" for ports in self._instance_ports[:2]]
        place = {"name": f"i{index}", "region": demo.REGIONS[zone], "failure_domain": zone}
        place["outgoing"] = self.outgoing_host(index)
        place |= {
            key: f"{demo.HOST}:{port}" for key, port in self._instance_ports[index].items()
        }
        sections: dict[str, typing.Any] = {
            "place": place | {"seeds": seeds},
            "store": {"address": self.store_proxy.address},
            "capacity": demo.CAPACITY,
            "bounds": demo.BOUNDS | {"ttl_max": f"{ttl_max_s}s"},
            "log": {"form": "json"},
            "regions": demo.REGIONS,
        }
        (self._directory / f"i{index}.toml").write_text(demo.render_settings(sections), "utf-8")

    def start_instance(self, index: int) -> None:
        """Start the process of an instance, unless it is running already.

        With two builds, every other instance starts with the other build, and each start of an
        instance uses the build that its last start did not.
        """
        process = self._processes.get(index)
        if process is not None and process.poll() is None:
            return
        path = list(sys.path)
        if self._other_source is not None and (index + self._start_counts[index]) % 2 == 0:
            path.insert(0, str(self._other_source))
        self._start_counts[index] += 1
        with (self._directory / f"i{index}.log").open("ab") as log:
            self._processes[index] = subprocess.Popen(
                [sys.executable, "-m", "carobhook.entry"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join(path),
                    "CAROBHOOK_SETTINGS": str(self._directory / f"i{index}.toml"),
                },
            )

    async def wait_until_ready(self, index: int) -> None:
        """Wait until an instance has logged that it is ready.

        Raises:
            TimeoutError: The instance is not ready in time.
        """
        log = self._directory / f"i{index}.log"
        deadline_at = self._reactor.seconds() + _START_WAIT_S
        while b"instance-ready" not in log.read_bytes():
            if self._reactor.seconds() > deadline_at:
                lines = log.read_text("utf-8", "replace").splitlines()[-5:]
                raise TimeoutError(f"instance {index} is not ready: {lines}")
            await task.deferLater(self._reactor, _POLL_S)

    def is_ready(self, index: int) -> bool:
        """Return whether the present process of an instance has become ready and runs."""
        process = self._processes.get(index)
        if process is None or process.poll() is not None:
            return False
        log = (self._directory / f"i{index}.log").read_bytes()
        return log.count(b'"instance-ready"') >= self._start_counts[index]

    def configs_in_force(self) -> list[checks.ConfigInForce]:
        """Return the configurations that came into force, as the instances logged them."""
        monotonic_offset_s = self._reactor.seconds() - time.time()
        found = []
        for index, text in enumerate(self.logs().values()):
            for line in text.splitlines():
                if '"config-in-force"' not in line:
                    continue
                fields = json.loads(line)
                wall_s = datetime.datetime.fromisoformat(fields["time"]).timestamp()
                found.append(
                    checks.ConfigInForce(
                        index, int(fields["version"], 16), wall_s + monotonic_offset_s
                    )
                )
        return found

    def logs(self) -> dict[str, str]:
        """Return the text of the log of each instance, by the name of the file."""
        return {
            name: (self._directory / name).read_text("utf-8", "replace")
            for name in (f"i{index}.log" for index in range(self._instance_count))
        }

    def send_signal(self, index: int, signal_number: signal.Signals) -> None:
        """Send a signal to the process of an instance if it is running."""
        process = self._processes.get(index)
        if process is not None and process.poll() is None:
            process.send_signal(signal_number)

    async def wait_for_exit(self, index: int) -> None:
        """Wait until a stopping process has exited; kill it when its grace period is over."""
        process = self._processes[index]
        deadline_at = self._reactor.seconds() + _GRACE_S
        while process.poll() is None and self._reactor.seconds() < deadline_at:
            await task.deferLater(self._reactor, _POLL_S)
        if process.poll() is None:
            process.kill()
        process.wait()

    async def stop(self) -> None:
        """Kill all instance processes and close all sockets."""
        for index, process in self._processes.items():
            self.send_signal(index, signal.SIGCONT)
            process.kill()
            process.wait()
        for call in self._tell_calls.values():
            if call.active():
                call.cancel()
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        for each_proxy in [self.store_proxy, *self.server_proxies]:
            await each_proxy.stop()
        self.store.abort()
        for server in self.servers:
            server.abort()
