"""Injects the faults of a soak's series into a deployment, and records when they lasted."""

import itertools
import signal
import typing
from collections.abc import Awaitable, Callable

import attrs
from twisted.internet import defer, task

from carobhook.protocol import http1
from carobhook.soak import checks, deployment, fatal_requests, faults, proxy
from carobhook.standins import platform_server

_RESTART_S = 0.3
# Longest wait for another instance to be ready before one stops.
_READY_WAIT_S = 10.0
_READY_POLL_S = 0.1
# Outage before the store comes back from an older copy, and the time after which servers and
# operators write again what it has lost.
_RESTORE_OUTAGE_S = 0.5
_REWRITE_S = 0.5
_STALE_S = 5.0
# A request that ends its servers is sent for some time longer than the fault lasts; a cut from
# servers lasts longer as well, so that its effects settle.
_FATAL_EXTRA_S = 7.0
_CUT_EXTRA_S = checks.CUT_SETTLE_S + 1.0
# Twice as many come near to the largest object that the store takes.
_ADDED_ROUTES = 2000
# Time for which an id of a server and the next one are registered before, and after, the server
# takes the next one; and how many ids it has until it refuses all requests under one.
_ID_OVERLAP_S = 0.25
_SHED_INTERVAL = 4
# Time after which the requests that were sent right before a stop are in progress at servers.
_IN_PROGRESS_S = 0.02

_PROXY_MODES = {
    faults.Fault.STORE_REFUSES: proxy.Mode.REFUSE,
    faults.Fault.STORE_SILENT: proxy.Mode.SILENT,
    faults.Fault.STORE_DELAYED: proxy.Mode.DELAY,
    faults.Fault.STORE_LOSES_ANSWERS: proxy.Mode.NO_ANSWERS,
    faults.Fault.SERVER_SILENT: proxy.Mode.SILENT,
    faults.Fault.SERVER_DELAYED: proxy.Mode.DELAY,
}
_INSTANCE_FAULTS = frozenset(
    {
        faults.Fault.TERM,
        faults.Fault.TERM_SERIES,
        faults.Fault.KILL,
        faults.Fault.KILL_ALL,
        faults.Fault.PAUSE,
        faults.Fault.RELOAD,
    }
)
_BEHAVIOURS: dict[faults.Fault, dict[str, typing.Any]] = {
    faults.Fault.SERVER_SHEDS: {"shed": True},
    faults.Fault.SERVER_FAILS: {"status": 500},
    faults.Fault.SERVER_GARBLES: {"raw": b"HTTP/1.1 2oo ?\r\n\r\n"},
}


class FaultInjector:
    """Injects faults into a deployment.

    Args:
        reactor: Source of time and connections.
        system: The deployment.
        instance_count: Number of its instances.
        headers: Further headers of the requests that end servers.
        before_stop: Called with the index of an instance that is about to stop gracefully.

    Attributes:
        draining_periods: Server, start and end of each period in which it reported draining.
        limited_periods: The same of each period in which it named a limit.
        cut_periods: Start and end of each cut between an instance and all servers.
        store_faults: Start and end of each fault of the store.
        config_writes: Version and monotonic time in seconds of each configuration written.
        pauses: Start and end of each pause of an instance.
        fatal: Sends the requests that end their servers.
    """

    def __init__(
        self,
        reactor: typing.Any,
        system: deployment.Deployment,
        instance_count: int,
        headers: http1.Headers = (),
        before_stop: Callable[[int], Awaitable[object]] | None = None,
    ) -> None:
        self._reactor = reactor
        self._deployment = system
        self._before_stop = before_stop
        self._instance_count = instance_count
        self._injections: list[defer.Deferred] = []
        self._stopping: set[int] = set()
        self._has_series = False
        self.draining_periods: list[tuple[str, float, float]] = []
        self.limited_periods: list[tuple[str, float, float]] = []
        self.cut_periods: list[tuple[float, float]] = []
        self.store_faults: list[tuple[float, float]] = []
        self.config_writes: list[tuple[int, float]] = []
        self.pauses: list[tuple[float, float]] = []
        self.fatal = fatal_requests.FatalRequests(reactor, system, instance_count, headers)

    def settle(self) -> defer.Deferred:
        """Wait until all faults that have begun are over."""
        return defer.gatherResults(self._injections)

    def stop(self) -> None:
        """Close the connections of the requests that end servers."""
        self.fatal.stop()

    async def inject(self, steps: list[faults.Step]) -> None:
        """Begin each step at its time; `settle` waits for their ends."""
        started_at = self._reactor.seconds()
        self._has_series = any(step.fault is faults.Fault.TERM_SERIES for step in steps)
        for step in steps:
            wait_s = started_at + step.at_s - self._reactor.seconds()
            await task.deferLater(self._reactor, max(0.0, wait_s))
            self._injections.append(defer.ensureDeferred(self._inject(step)))

    async def _inject(self, step: faults.Step) -> None:
        fault, system = step.fault, self._deployment
        instance_index = step.target % self._instance_count
        server_index = step.target % len(system.servers)
        if fault in faults.PATH_CUTS:
            await self._cut_paths(instance_index, fault, step.duration_s + _CUT_EXTRA_S)
        elif fault in _INSTANCE_FAULTS:
            await self._disturb_instance(instance_index, step)
        elif fault in faults.CONFIG_WRITES:
            count = _ADDED_ROUTES if fault is faults.Fault.CONFIG_GROWS else 0
            self.config_writes.append((system.change_config(count), self._reactor.seconds()))
        elif fault is faults.Fault.SERVER_ENDS_UNTOLD:
            await self.fatal.send_untold(step.target, step.duration_s)
        elif fault.value.startswith("store"):
            started_at = self._reactor.seconds()
            await self._disturb_store(fault, step.duration_s)
            self.store_faults.append((started_at, self._reactor.seconds()))
        else:
            await self._disturb_server(server_index, fault, step.duration_s)

    async def _disturb_instance(self, instance_index: int, step: faults.Step) -> None:
        """Stop, kill, pause or reload an instance, or kill all of them."""
        fault, system = step.fault, self._deployment
        if fault in (faults.Fault.TERM, faults.Fault.KILL):
            signal_number = signal.SIGTERM if fault is faults.Fault.TERM else signal.SIGKILL
            await self._restart(instance_index, signal_number)
        elif fault is faults.Fault.TERM_SERIES:
            await self._stop_in_turn(instance_index, step.duration_s)
        elif fault is faults.Fault.KILL_ALL:
            await self._kill_all()
        elif fault is faults.Fault.PAUSE:
            system.send_signal(instance_index, signal.SIGSTOP)
            await task.deferLater(self._reactor, step.duration_s)
            system.send_signal(instance_index, signal.SIGCONT)
            self.pauses.append(
                (self._reactor.seconds() - step.duration_s, self._reactor.seconds())
            )
        else:
            system.write_settings(instance_index, ttl_max_s=3 + step.target % 3)
            system.send_signal(instance_index, signal.SIGHUP)

    async def _stop_in_turn(self, first: int, duration_s: float) -> None:
        """Stop all instances but one, spread over a time that is shorter than a stop."""
        restarts = []
        for offset in range(self._instance_count - 1):
            index = (first + offset) % self._instance_count
            restarting = self._restart(index, signal.SIGTERM)
            restarts.append(defer.ensureDeferred(restarting))
            await task.deferLater(self._reactor, duration_s / self._instance_count)
        await defer.gatherResults(restarts)

    async def _kill_all(self) -> None:
        """Kill and restart all instances.

        If what they knew can be read late, the request that ends servers comes again when they
        must know it, so that none of its copies can be excused by the start.
        """
        self.fatal.is_paused = bool(self._deployment.store.mode.stale_s)
        restarts = [
            defer.ensureDeferred(self._restart(index, signal.SIGKILL))
            for index in range(self._instance_count)
        ]
        await defer.gatherResults(restarts)
        if self.fatal.is_paused:
            for index in range(self._instance_count):
                await self._deployment.wait_until_ready(index)
            await task.deferLater(self._reactor, checks.ENDS_SETTLE_S)
            self.fatal.is_paused = False

    async def _disturb_server(
        self, server_index: int, fault: faults.Fault, duration_s: float
    ) -> None:
        """Let a server drain, limit its rate, fail or end, or disturb its connections."""
        system = self._deployment
        if fault is faults.Fault.SERVER_DRAINS:
            await self._drain(server_index, duration_s)
        elif fault is faults.Fault.SERVER_LIMITS:
            await self._limit(system.servers[server_index], duration_s)
        elif fault is faults.Fault.SERVER_COPIES:
            await self._send_copies(duration_s)
        elif fault is faults.Fault.SERVER_RESETS:
            system.server_proxies[server_index].reset()
        elif fault is faults.Fault.SERVER_ENDS:
            await self.fatal.send_copies(duration_s + _FATAL_EXTRA_S)
        elif fault in _BEHAVIOURS:
            await self._change_behaviour(system.servers[server_index], fault, duration_s)
        else:
            changed_proxy = system.server_proxies[server_index]
            await self._change_proxy_mode(changed_proxy, _PROXY_MODES[fault], duration_s)

    async def _disturb_store(self, fault: faults.Fault, duration_s: float) -> None:
        """Let the store forget its history, come back from a copy, or fail for a while."""
        system = self._deployment
        if fault is faults.Fault.STORE_FORGETS:
            system.store.compact()
        elif fault is faults.Fault.STORE_STALE:
            system.store.mode.stale_s = _STALE_S
        elif fault is faults.Fault.STORE_RESTORED:
            await self._restore_store(duration_s)
        else:
            mode = _PROXY_MODES[fault]
            await self._change_proxy_mode(system.store_proxy, mode, duration_s)

    async def _wait_for_another(self, index: int) -> None:
        """Wait until an instance other than one is ready and does not stop, for some time."""
        others = [other for other in range(self._instance_count) if other != index]
        end_at = self._reactor.seconds() + _READY_WAIT_S
        while self._reactor.seconds() < end_at:
            if any(o not in self._stopping and self._deployment.is_ready(o) for o in others):
                return
            await task.deferLater(self._reactor, _READY_POLL_S)

    async def _restart(self, index: int, signal_number: signal.Signals) -> None:
        if signal_number is signal.SIGTERM and self._has_series:
            # Nobody stops the last instance that serves; series of stops would by chance.
            await self._wait_for_another(index)
            self._stopping.add(index)
        if signal_number is signal.SIGTERM and self._before_stop is not None:
            await self._before_stop(index)
            await task.deferLater(self._reactor, _IN_PROGRESS_S)
        self._deployment.send_signal(index, signal_number)
        if signal_number is signal.SIGKILL:
            # A process that another fault has paused must exit as well.
            self._deployment.send_signal(index, signal.SIGCONT)
        await self._deployment.wait_for_exit(index)
        await task.deferLater(self._reactor, _RESTART_S)
        self._deployment.start_instance(index)
        self._stopping.discard(index)

    async def _restore_store(self, duration_s: float) -> None:
        """Restore the store to a copy as old as the step lasts, after a short outage."""
        system = self._deployment
        saved = system.store.save()
        await task.deferLater(self._reactor, duration_s)
        await self._change_proxy_mode(system.store_proxy, proxy.Mode.REFUSE, _RESTORE_OUTAGE_S)
        system.store.restore(saved)
        await task.deferLater(self._reactor, _REWRITE_S)
        system.write_again()

    async def _drain(self, server_index: int, duration_s: float) -> None:
        plan = self._deployment.server_plans[server_index]
        if plan.name in self._deployment.draining_since:
            return
        started_at = self._reactor.seconds()
        self._deployment.set_state(server_index, "draining")
        await task.deferLater(self._reactor, duration_s + checks.DRAIN_LIMIT_S)
        self.draining_periods.append((plan.name, started_at, self._reactor.seconds()))
        self._deployment.set_state(server_index, "ready")

    async def _limit(self, server: platform_server.PlatformBackend, duration_s: float) -> None:
        """Let a server name a limit until its rate has settled, and for a while after that."""
        if server.behaviour.limit is not None:
            return
        started_at = self._reactor.seconds()
        server.behaviour = attrs.evolve(server.behaviour, limit=str(checks.LIMIT_PER_S))
        await task.deferLater(self._reactor, checks.LIMIT_SETTLE_S + duration_s)
        self.limited_periods.append((server.name, started_at, self._reactor.seconds()))
        server.behaviour = attrs.evolve(server.behaviour, limit=None)

    async def _send_copies(self, duration_s: float) -> None:
        """Let all servers send copies, refuse requests, and change their ids."""
        end_at = self._reactor.seconds() + duration_s
        sending = [
            self._send_copies_of(n, end_at) for n in range(len(self._deployment.servers))
        ]
        await defer.gatherResults([defer.ensureDeferred(each) for each in sending])

    async def _send_copies_of(self, server_index: int, end_at: float) -> None:
        """Let a server send copies; each of its ids overlaps with the next one in the store."""
        system = self._deployment
        server, plan = system.servers[server_index], system.server_plans[server_index]
        timings = itertools.cycle(platform_server.CopyTiming)
        for number in itertools.count(1):
            if self._reactor.seconds() > end_at:
                break
            timing = next(timings)
            former, name = server.name, f"{plan.name}-{number}"
            system.add_entry(server_index, name)
            await task.deferLater(self._reactor, _ID_OVERLAP_S)
            server.name = name
            server.behaviour = attrs.evolve(
                server.behaviour,
                refusal_copies=timing,
                answer_copies=timing,
                shed=number % _SHED_INTERVAL == 0,
            )
            await task.deferLater(self._reactor, _ID_OVERLAP_S)
            system.remove_entry(former)
        server.behaviour = attrs.evolve(
            server.behaviour, refusal_copies=None, answer_copies=None, shed=False
        )
        system.add_entry(server_index, plan.name)
        await task.deferLater(self._reactor, _ID_OVERLAP_S)
        former, server.name = server.name, plan.name
        await task.deferLater(self._reactor, _ID_OVERLAP_S)
        system.remove_entry(former)

    async def _cut_paths(
        self, instance_index: int, fault: faults.Fault, duration_s: float
    ) -> None:
        """Cut an instance from all servers for a while; its open connections die.

        New ones are accepted and reset: on loopback, a proxy cannot do otherwise.
        """
        host = self._deployment.outgoing_host(instance_index)
        is_reset = fault is faults.Fault.PATHS_RESET
        started_at = self._reactor.seconds()
        for each_proxy in self._deployment.server_proxies:
            each_proxy.caller_modes[host] = proxy.Mode.REFUSE
            if is_reset:
                each_proxy.reset_caller(host)
            else:
                each_proxy.silence_caller(host)
        await task.deferLater(self._reactor, duration_s)
        self.cut_periods.append((started_at, self._reactor.seconds()))
        for each_proxy in self._deployment.server_proxies:
            each_proxy.caller_modes.pop(host, None)

    async def _change_behaviour(
        self, server: platform_server.PlatformBackend, fault: faults.Fault, duration_s: float
    ) -> None:
        changes = _BEHAVIOURS[fault]
        # Only these are restored, as other faults may have changed more in between.
        previous = {name: getattr(server.behaviour, name) for name in changes}
        server.behaviour = attrs.evolve(server.behaviour, **changes)
        await task.deferLater(self._reactor, duration_s)
        server.behaviour = attrs.evolve(server.behaviour, **previous)

    async def _change_proxy_mode(
        self, changed_proxy: proxy.Proxy, mode: proxy.Mode, duration_s: float
    ) -> None:
        changed_proxy.mode = mode
        if mode is proxy.Mode.REFUSE:
            changed_proxy.reset()
        await task.deferLater(self._reactor, duration_s)
        changed_proxy.mode = proxy.Mode.PASS
        if mode in (proxy.Mode.SILENT, proxy.Mode.NO_ANSWERS):
            # These connections lost data and cannot work again. They are removed from the
            # set, but not closed.
            for connection in list(changed_proxy.connections):
                changed_proxy.connections.discard(connection)
