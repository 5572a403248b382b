"""Runs one seed of the soak: load, a series of faults, recovery, verdict."""

import pathlib
import random
import signal
import typing

import attrs
from twisted.internet import defer, task

from carobhook import demo
from carobhook.soak import checks, deployment, faults, proxy
from carobhook.standins import platform_client, platform_server

_RATE = 40.0
_RECOVERY_LOAD_S = 3.0
_RESTART_S = 0.3
_CLIENT_ZONES = (("addis", "addis-a"), ("kigali", "kigali-a"))

_PROXY_MODES = {
    faults.Fault.STORE_REFUSES: proxy.Mode.REFUSE,
    faults.Fault.STORE_SILENT: proxy.Mode.SILENT,
    faults.Fault.STORE_DELAYED: proxy.Mode.DELAY,
    faults.Fault.STORE_LOSES_ANSWERS: proxy.Mode.NO_ANSWERS,
    faults.Fault.SERVER_SILENT: proxy.Mode.SILENT,
    faults.Fault.SERVER_DELAYED: proxy.Mode.DELAY,
}
_BEHAVIOURS: dict[faults.Fault, dict[str, typing.Any]] = {
    faults.Fault.SERVER_SHEDS: {"shed": True},
    faults.Fault.SERVER_FAILS: {"status": 500},
    faults.Fault.SERVER_GARBLES: {"raw": b"HTTP/1.1 2oo ?\r\n\r\n"},
}


@attrs.frozen
class SoakOptions:
    """How a seed is run.

    Attributes:
        instances: Instance processes.
        servers: Servers of each service.
        duration_s: Seconds in which faults begin.
    """

    instances: int = 4
    servers: int = 3
    duration_s: float = 8.0


@attrs.frozen
class Verdict:
    """What came of one seed.

    Attributes:
        seed: The seed.
        steps: Its faults.
        sent: Requests that clients sent.
        served: Those that were served.
        broken: What was broken.
    """

    seed: int
    steps: tuple[faults.Step, ...]
    sent: int
    served: int
    broken: tuple[str, ...]


class Soak:
    """One run of a seed.

    Args:
        reactor: The reactor.
        seed: The seed.
        directory: Where settings and logs go.
        options: How it is run.
    """

    def __init__(
        self,
        reactor: typing.Any,
        seed: int,
        directory: pathlib.Path,
        options: SoakOptions,
    ) -> None:
        self._reactor = reactor
        self._seed = seed
        self._options = options
        self._deployment = deployment.Deployment(
            reactor, directory, options.instances, options.servers
        )
        self._rng = random.Random(seed)
        self._running: list[defer.Deferred] = []
        self._drains: list[tuple[str, float, float]] = []
        self._clients: list[platform_client.PlatformClient] = []

    async def run(self) -> Verdict:
        """Start the deployment, let the faults happen, and judge."""
        steps = faults.series(self._seed, self._options.duration_s)
        try:
            await self._deployment.start()
            for server in self._deployment.servers:
                server.behaviour = attrs.evolve(server.behaviour, echoes=True)
            load = self._load(self._options.duration_s + 2.0)
            await self._happen(steps)
            await load
            await defer.gatherResults(self._running)
            during = list(self._attempts())
            await task.deferLater(self._reactor, checks.RECOVERED_AFTER_S)
            sent, served = self._totals()
            await self._load(_RECOVERY_LOAD_S)
            return self._judge(steps, during, sent, served)
        finally:
            for client in self._clients:
                client.stop()
            await self._deployment.stop()

    def _load(self, duration_s: float) -> defer.Deferred:
        """Send requests from clients of two regions; fires when all are answered."""
        plans = demo.request_plans()
        running = []
        for region, zone in _CLIENT_ZONES:
            client = platform_client.PlatformClient(
                self._reactor,
                self._deployment.directories,
                region,
                zone,
                random.Random(self._rng.getrandbits(64)),
            )
            self._clients.append(client)
            running.append(defer.ensureDeferred(client.run(plans, _RATE / 2, duration_s)))
        return defer.gatherResults(running)

    async def _happen(self, steps: list[faults.Step]) -> None:
        began_at = self._reactor.seconds()
        for step in steps:
            wait_s = began_at + step.at - self._reactor.seconds()
            await task.deferLater(self._reactor, max(0.0, wait_s))
            self._running.append(defer.ensureDeferred(self._carry_out(step)))

    async def _carry_out(self, step: faults.Step) -> None:
        fault, one = step.fault, self._deployment
        instance = step.target % self._options.instances
        server = step.target % len(one.servers)
        if fault in (faults.Fault.TERM, faults.Fault.KILL):
            number = signal.SIGTERM if fault is faults.Fault.TERM else signal.SIGKILL
            await self._restart(instance, number)
        elif fault is faults.Fault.KILL_ALL:
            await defer.gatherResults(
                [
                    defer.ensureDeferred(self._restart(index, signal.SIGKILL))
                    for index in range(self._options.instances)
                ]
            )
        elif fault is faults.Fault.PAUSE:
            one.signal(instance, signal.SIGSTOP)
            await task.deferLater(self._reactor, step.for_s)
            one.signal(instance, signal.SIGCONT)
        elif fault is faults.Fault.RELOAD:
            one.write_settings(instance, ttl_max_s=3 + step.target % 3)
            one.signal(instance, signal.SIGHUP)
        elif fault is faults.Fault.CONFIG_CHANGES:
            one.change_config()
        elif fault is faults.Fault.STORE_FORGETS:
            one.store.forget()
        elif fault is faults.Fault.SERVER_DRAINS:
            await self._drain(server, step.for_s)
        elif fault is faults.Fault.SERVER_RESETS:
            one.server_proxies[server].reset()
        elif fault in _BEHAVIOURS:
            await self._misbehave(one.servers[server], fault, step.for_s)
        else:
            is_store = fault.value.startswith("store")
            target = one.store_proxy if is_store else one.server_proxies[server]
            await self._hold(target, _PROXY_MODES[fault], step.for_s)

    async def _restart(self, index: int, number: signal.Signals) -> None:
        self._deployment.signal(index, number)
        if number is signal.SIGKILL:
            # A process that is paused ends all the same.
            self._deployment.signal(index, signal.SIGCONT)
        await self._deployment.ended(index)
        await task.deferLater(self._reactor, _RESTART_S)
        self._deployment.start_instance(index)

    async def _drain(self, server: int, for_s: float) -> None:
        plan = self._deployment.plans[server]
        if plan.name in self._deployment.drained:
            return
        began_at = self._reactor.seconds()
        self._deployment.set_state(server, "draining")
        await task.deferLater(self._reactor, for_s + checks.DRAIN_S)
        self._drains.append((plan.name, began_at, self._reactor.seconds()))
        self._deployment.set_state(server, "ready")

    async def _misbehave(
        self, server: platform_server.PlatformBackend, fault: faults.Fault, for_s: float
    ) -> None:
        before = server.behaviour
        server.behaviour = attrs.evolve(before, **_BEHAVIOURS[fault])
        await task.deferLater(self._reactor, for_s)
        server.behaviour = before

    async def _hold(self, target: proxy.Proxy, mode: proxy.Mode, for_s: float) -> None:
        target.mode = mode
        if mode is proxy.Mode.REFUSE:
            target.reset()
        await task.deferLater(self._reactor, for_s)
        target.mode = proxy.Mode.PASS
        if mode in (proxy.Mode.SILENT, proxy.Mode.NO_ANSWERS):
            # What was held up is lost for good; such connections never work again.
            for connection in list(target.open):
                target.open.discard(connection)

    def _attempts(
        self,
    ) -> typing.Iterator[tuple[platform_client.RequestPlan, platform_client.Attempt]]:
        for client in self._clients:
            yield from client.attempts

    def _totals(self) -> tuple[int, int]:
        reports = [client.report for client in self._clients]
        return sum(r.sent for r in reports), sum(r.served for r in reports)

    def _judge(
        self,
        steps: list[faults.Step],
        during: list[tuple[platform_client.RequestPlan, platform_client.Attempt]],
        sent_before: int,
        served_before: int,
    ) -> Verdict:
        runs = [
            checks.Run(attempt, server.name, at)
            for server in self._deployment.servers
            for attempt, at in server.runs
        ]
        sent, served = self._totals()
        found = checks.broken(runs, list(self._attempts()))
        if {step.fault for step in steps} <= faults.PLANNED:
            found += checks.cut(runs, during)
        store_faults = any(step.fault.value.startswith("store") for step in steps)
        if not store_faults:
            found += checks.late_sends(runs, self._drains)
        found += checks.unrecovered(served - served_before, sent - sent_before)
        return Verdict(self._seed, tuple(steps), sent, served, tuple(found))
