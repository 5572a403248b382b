"""Runs one seed of the soak: load with faults, recovery, then the checks."""

import pathlib
import random
import typing
from collections.abc import Sequence

import attrs
from twisted.internet import defer, task

from carobhook import demo
from carobhook.protocol import http1
from carobhook.soak import (
    accounts,
    checks,
    deployment,
    fatal_checks,
    faults,
    injections,
    kept_connections,
    loop_delay,
    pipelining,
)
from carobhook.standins import platform_client

_REQUESTS_PER_S = 40.0
_RECOVERY_LOAD_S = 3.0
_CLIENT_ZONES = (("addis", "addis-a"), ("kigali", "kigali-a"))


@attrs.frozen
class SoakOptions:
    """Size and duration of a run.

    Attributes:
        instances: Number of instance processes.
        servers: Number of servers of each service.
        duration_s: Length in seconds of the period in which faults begin.
        other_source: Folder that has the package of another build, with which some instances
            run; None to run all with this build.
    """

    instances: int = 4
    servers: int = 3
    duration_s: float = 8.0
    other_source: pathlib.Path | None = None


@attrs.frozen
class Verdict:
    """Result of one seed.

    Attributes:
        seed: The seed.
        steps: Injected faults.
        sent: Number of requests that clients sent.
        served: Number of requests that were served.
        violations: Violated invariants, one line each.
    """

    seed: int
    steps: tuple[faults.Step, ...]
    sent: int
    served: int
    violations: tuple[str, ...]


class Soak:
    """One run of a seed.

    Args:
        reactor: The reactor.
        seed: The seed.
        directory: Directory for settings and logs.
        options: Size and duration of the run.
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
        # A build without accounts would pass the keys on.
        self._accounts = () if options.other_source else accounts.accounts_of(seed)
        self._deployment = deployment.Deployment(
            reactor,
            directory,
            options.instances,
            options.servers,
            options.other_source,
            self._accounts,
        )
        self._rng = random.Random(seed)
        self._injector = injections.FaultInjector(
            reactor, self._deployment, options.instances, self._headers(0), self._send_to
        )
        self._clients: list[platform_client.PlatformClient] = []
        self._pipelining: list[pipelining.PipeliningClient] = []
        self._kept = kept_connections.KeptConnections(
            reactor, demo.request_plans(), random.Random(seed), self._headers(0)
        )
        self._loop_delay = loop_delay.LoopDelay(reactor)

    async def run(self) -> Verdict:
        """Start the deployment, inject the faults under load, and check the result."""
        steps = faults.draw_series(self._seed, self._options.duration_s)
        try:
            await self._deployment.start()
            for server in self._deployment.servers:
                server.behaviour = attrs.evolve(server.behaviour, echo_id=True)
            self._loop_delay.start()
            self._start_pipelining()
            load = self._load(self._options.duration_s + 2.0)
            await self._injector.inject(steps)
            await load
            await self._injector.settle()
            attempts_before_recovery = list(self._attempts())
            await task.deferLater(self._reactor, checks.RECOVERY_S)
            sent, served = self._totals()
            await self._load(_RECOVERY_LOAD_S)
            return self._check(steps, attempts_before_recovery, sent, served)
        finally:
            for client in self._clients:
                client.stop()
            for pipelining_client in self._pipelining:
                pipelining_client.stop()
            self._kept.stop()
            self._loop_delay.stop()
            self._injector.stop()
            await self._deployment.stop()

    def _start_pipelining(self) -> None:
        """Start clients that send requests in batches, one of which reads late."""
        addresses = [
            self._deployment.entry_address(index) for index in range(self._options.instances)
        ]
        for reads_late in (False, True):
            client = pipelining.PipeliningClient(
                self._reactor,
                addresses,
                demo.request_plans(),
                random.Random(self._seed + reads_late),
                reads_late,
                self._headers(0),
            )
            self._pipelining.append(client)
            client.start()

    async def _send_to(self, index: int) -> None:
        """Use connections to an instance that is about to stop, and send it a batch."""
        address = self._deployment.entry_address(index)
        await self._kept.use_during_stop(address)
        await self._pipelining[0].send_before_stop(address)

    def _load(self, duration_s: float) -> defer.Deferred:
        """Send requests from clients of two regions; the result fires when all have ended."""
        plans = demo.request_plans()
        running = []
        for index, (region, zone) in enumerate(_CLIENT_ZONES):
            client = platform_client.PlatformClient(
                self._reactor,
                self._deployment.directories,
                region,
                zone,
                random.Random(self._rng.getrandbits(64)),
                self._headers(index),
            )
            self._clients.append(client)
            running.append(
                defer.ensureDeferred(client.run(plans, _REQUESTS_PER_S / 2, duration_s))
            )
        return defer.gatherResults(running)

    def _headers(self, index: int) -> http1.Headers:
        """Return the headers by which the clients of a region name their account."""
        return self._accounts[index].headers if self._accounts else ()

    def _find_wrong_accounts(self) -> list[str]:
        """Return what servers and logs learned of accounts that they must not, a line each."""
        expected: dict[str, str | None] = dict.fromkeys(
            self._injector.fatal.request_ids, self._accounts[0].name
        )
        # Each load has one client for each region, in the same order.
        for index, client in enumerate(self._clients):
            name = self._accounts[index % len(_CLIENT_ZONES)].name
            for plan, attempt in client.attempts:
                expected[attempt.id] = None if accounts.is_exempt(plan.prefix) else name
        for pipelining_client in self._pipelining:
            for request_id, prefix in pipelining_client.prefixes.items():
                is_exempt = accounts.is_exempt(prefix)
                expected[request_id] = None if is_exempt else self._accounts[0].name
        for request in self._kept.requests:
            is_exempt = accounts.is_exempt(request.plan.prefix)
            expected[request.id] = None if is_exempt else self._accounts[0].name
        heads = [head for server in self._deployment.servers for head in server.heads]
        return accounts.find_wrong_accounts(heads, expected) + accounts.find_logged_keys(
            self._deployment.logs(), self._accounts
        )

    def _find_wrong_order(self) -> list[str]:
        """Return what clients that pipeline got out of order, or that they got nothing."""
        violations = [line for client in self._pipelining for line in client.violations]
        if not any(client.answered for client in self._pipelining):
            violations.append("no pipelined request was answered")
        return violations

    def _find_lost_in_stops(self, runs: Sequence[checks.Run]) -> list[str]:
        """Return what became of requests on kept connections that must not, a line each."""
        requests, delay = self._kept.requests, self._loop_delay.between
        run_ids = [run.attempt_id for run in runs]
        return checks.find_late_closes(
            requests, run_ids, delay
        ) + checks.find_late_ends_of_connections(requests, delay)

    def _find_late_ends(self, kinds: set[faults.Fault]) -> list[str]:
        """Return what requests did to servers that they must not, a line each."""
        servers = self._deployment.servers
        ends = [at for server in servers for at in server.ends]
        if faults.Fault.SERVER_ENDS_UNTOLD not in kinds:
            return checks.find_late_ends(ends)
        injector, fatal = self._injector, self._injector.fatal
        ids = set(fatal.fatal_ids)
        starts = [at for server in servers for name, at in server.starts if name in ids]
        disturbances = injector.store_faults + injector.cut_periods + injector.pauses
        return (
            fatal_checks.find_late_retries(starts, ends, disturbances) + fatal.refused_innocents
        )

    def _attempts(
        self,
    ) -> typing.Iterator[tuple[platform_client.RequestPlan, platform_client.Attempt]]:
        for client in self._clients:
            yield from client.attempts

    def _totals(self) -> tuple[int, int]:
        reports = [client.report for client in self._clients]
        return sum(r.sent for r in reports), sum(r.served for r in reports)

    def _check(
        self,
        steps: list[faults.Step],
        attempts_before_recovery: list[
            tuple[platform_client.RequestPlan, platform_client.Attempt]
        ],
        sent_before: int,
        served_before: int,
    ) -> Verdict:
        runs = [
            checks.Run(attempt_id, server.name, started_at)
            for server in self._deployment.servers
            for attempt_id, started_at in server.starts
            if attempt_id not in self._injector.fatal.request_ids
            and not attempt_id.startswith(pipelining.ID_PREFIX)
        ]
        sent, served = self._totals()
        kept = [(request.plan, request.attempt) for request in self._kept.requests]
        violations = checks.find_violations(runs, [*self._attempts(), *kept])
        if {step.fault for step in steps} <= faults.PLANNED:
            answered = [(plan, attempt) for plan, attempt in kept if attempt.status]
            violations += checks.find_interrupted(runs, [*attempts_before_recovery, *answered])
            violations += self._find_lost_in_stops(runs)
            violations += checks.find_unanswered(
                (
                    attempt_id
                    for server in self._deployment.servers
                    for attempt_id, _ in server.starts
                ),
                (name for client in self._pipelining for name in client.unanswered),
            )
        store_faults = any(step.fault.value.startswith("store") for step in steps)
        # During a fault of the store, instances may learn too late that a server drains.
        if not store_faults:
            violations += checks.find_late_sends(runs, self._injector.draining_periods)
        if not {step.fault for step in steps} & faults.EXCUSES_FROM_LIMITS:
            violations += checks.find_over_limit(runs, self._injector.limited_periods)
        kinds = {step.fault for step in steps}
        if kinds <= faults.HARMLESS_IN_CUTS:
            violations += checks.find_unserved_in_cuts(
                self._attempts(), self._injector.cut_periods
            )
        if kinds <= faults.STORE_ONLY and self._options.other_source is None:
            violations += checks.find_late_configs(
                self._injector.config_writes,
                self._deployment.configs_in_force(),
                self._injector.store_faults,
                self._reactor.seconds(),
            )
        if self._accounts:
            violations += self._find_wrong_accounts()
        violations += self._find_late_ends(kinds)
        violations += self._find_wrong_order()
        violations += checks.check_recovery(served - served_before, sent - sent_before)
        return Verdict(self._seed, tuple(steps), sent, served, tuple(violations))
