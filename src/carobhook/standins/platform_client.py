"""Stand-in of the platform's clients: looks up instances, sends requests, counts outcomes."""

import collections
import json
import random
import typing
import uuid
from collections.abc import Sequence

import attrs
from twisted.internet import defer, task

from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.transport import exchange_results, server_connections

_CONNECT_TIMEOUT_S = 1.0
_LOOKUP_TIMEOUT_S = 1.0
_LOOKUP_TTL_S = 2.0
# Seconds for which a response is awaited beyond the deadline that the request states.
_RESPONSE_MARGIN_S = 1.0


@attrs.frozen
class RequestPlan:
    """One kind of request.

    Attributes:
        host: Value of the Host header.
        prefix: Path prefix of the route.
        repeatable: Whether a request may run more than once.
        time_left_s: Seconds for which the client waits, all attempts together.
        object_count: Number of objects; each request concerns one of them, chosen at random.
        weight: Relative frequency among the kinds.
    """

    host: str
    prefix: str
    repeatable: bool = True
    time_left_s: float = 2.5
    object_count: int = 20
    weight: float = 1.0


@attrs.frozen
class Attempt:
    """Outcome of one attempt of a request.

    Attributes:
        id: Id of the attempt.
        status: HTTP status of the response, or 0 without a response.
        duration_s: Seconds until the response or the failure.
        not_run: Whether the status guarantees that the request was not run.
        retry_after_s: Value of the Retry-After header, or None.
        body: Body of the response.
        sent_at: Monotonic time in seconds at which it began.
    """

    id: str
    status: int
    duration_s: float
    not_run: bool = False
    retry_after_s: float | None = None
    body: bytes = b""
    sent_at: float = 0.0


@attrs.define
class Report:
    """Counts of requests and attempts, and latencies.

    Attributes:
        sent: Number of requests, each counted once however many attempts it took.
        served: Number of requests that got a response with status 200.
        statuses: Number of attempts by response status; 0 means no response.
        latencies_s: Seconds from the first attempt of each served request to its response.
        unanswered: Ids of the attempts without a response.
    """

    sent: int = 0
    served: int = 0
    statuses: collections.Counter[int] = attrs.field(factory=collections.Counter)
    latencies_s: list[float] = attrs.field(factory=list)
    unanswered: list[str] = attrs.field(factory=list)

    def to_json(self) -> str:
        """Return the report as one JSON object."""
        latencies_s = sorted(self.latencies_s)
        median_s = latencies_s[len(latencies_s) // 2] if latencies_s else None
        counts = {
            "sent": self.sent,
            "served": self.served,
            "statuses": {str(status): count for status, count in sorted(self.statuses.items())},
            "unanswered": self.unanswered,
            "p50_ms": None if median_s is None else round(median_s * 1000, 1),
        }
        return json.dumps(counts)


class PlatformClient:
    """Simulates the clients of one failure domain.

    Args:
        reactor: Source of time and connections.
        directories: Directory addresses of instances, in the order in which they are tried.
        region: Region of the clients.
        domain: Failure domain of the clients.
        rng: Random number generator.
        headers: Further headers of each request, such as the key of a client account.

    Attributes:
        report: Counts of all requests so far.
        attempts: All attempts so far, each with its kind of request.
    """

    def __init__(
        self,
        reactor: typing.Any,
        directories: Sequence[str],
        region: str,
        domain: str,
        rng: random.Random,
        headers: http1.Headers = (),
    ) -> None:
        self._reactor = reactor
        self._directories = tuple(directories)
        self._region = region
        self._domain = domain
        self._rng = rng
        self._headers = headers
        self._connections = server_connections.ServerConnections(reactor, _CONNECT_TIMEOUT_S)
        self._addresses: list[str] = []
        self._looked_up_at = -_LOOKUP_TTL_S
        self._unreachable: set[str] = set()
        self.report = Report()
        self.attempts: list[tuple[RequestPlan, Attempt]] = []

    async def run(self, plans: Sequence[RequestPlan], rate: float, duration_s: float) -> None:
        """Send requests at a rate that does not depend on responses, and wait for all of them.

        Args:
            plans: Kinds of requests.
            rate: Mean number of requests a second; they arrive as a Poisson process.
            duration_s: Seconds for which new requests are sent.
        """
        weights = [plan.weight for plan in plans]
        end_at = self._reactor.seconds() + duration_s
        running = []
        while self._reactor.seconds() < end_at:
            await task.deferLater(self._reactor, self._rng.expovariate(rate))
            plan = self._rng.choices(plans, weights)[0]
            running.append(defer.ensureDeferred(self.request(plan)))
        await defer.gatherResults(running)

    async def request(self, plan: RequestPlan) -> Attempt:
        """Send one request, with retries, and return its last attempt.

        An attempt is retried if the response says that it was not run, or if the request is
        repeatable and the status is neither 401 nor 404. There is no retry if the wait before
        it would take more than a third of the remaining time.
        """
        started_at = self._reactor.seconds()
        deadline_at = started_at + plan.time_left_s
        self.report.sent += 1
        key = str(self._rng.randrange(plan.object_count))
        while True:
            sent_at = self._reactor.seconds()
            attempt = await self._attempt(plan, key, deadline_at - sent_at)
            attempt = attrs.evolve(attempt, sent_at=sent_at)
            self.attempts.append((plan, attempt))
            self.report.statuses[attempt.status] += 1
            if attempt.status == 0:
                self.report.unanswered.append(attempt.id)
            if attempt.status == 200:
                self.report.served += 1
                self.report.latencies_s.append(self._reactor.seconds() - started_at)
                return attempt
            remaining_s = deadline_at - self._reactor.seconds()
            wait_s = attempt.retry_after_s or 0.05
            retryable = attempt.not_run or (
                plan.repeatable and attempt.status not in (401, 404)
            )
            if not retryable or wait_s > remaining_s / 3:
                return attempt
            await task.deferLater(self._reactor, wait_s)

    async def _attempt(self, plan: RequestPlan, key: str, remaining_s: float) -> Attempt:
        attempt_id = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]
        started_at = self._reactor.seconds()
        address = await self._choose_address(plan.host)
        if address is None:
            return Attempt(attempt_id, 0, self._reactor.seconds() - started_at)
        head = http1.RequestHead(
            b"GET" if plan.repeatable else b"POST",
            f"{plan.prefix}{key}".encode(),
            (
                (b"Host", plan.host.encode()),
                (names.REQUEST_ID.encode(), attempt_id.encode()),
                (names.OBJECT_KEY.encode(), key.encode()),
                (names.TIME_LEFT_MS.encode(), str(max(1, int(remaining_s * 1000))).encode()),
                *self._headers,
            ),
        )
        try:
            response = await self._exchange(address, head, remaining_s + _RESPONSE_MARGIN_S)
        except exchange_results.ExchangeError as error:
            if error.fault is exchange_results.Fault.CONNECT:
                # Nothing was sent, so the request is safe to send to another address.
                self._unreachable.add(address)
                elapsed_s = self._reactor.seconds() - started_at
                return await self._attempt(plan, key, remaining_s - elapsed_s)
            return Attempt(attempt_id, 0, self._reactor.seconds() - started_at)
        except defer.TimeoutError:
            return Attempt(attempt_id, 0, self._reactor.seconds() - started_at)
        retry_after = response.get("retry-after")
        return Attempt(
            attempt_id,
            response.status,
            self._reactor.seconds() - started_at,
            response.status in (408, 421, 429, 503),
            float(retry_after) if retry_after is not None else None,
            response.body,
        )

    async def _exchange(
        self, address: str, head: http1.RequestHead, timeout_s: float
    ) -> http1.Response:
        """Send a request and return its response.

        Raises:
            exchange_results.ExchangeError: The exchange failed without a whole response.
            defer.TimeoutError: No response came in time.
        """
        exchange = defer.ensureDeferred(
            self._connections.exchange(address, head, b"", require_fresh=True)
        )
        received = await exchange.addTimeout(timeout_s, self._reactor)
        return received.response

    async def _choose_address(self, host: str) -> str | None:
        """Return the address to connect to, or None if no address is usable.

        Addresses are looked up again every `_LOOKUP_TTL_S` seconds; a failed look-up keeps the
        old ones. Addresses that refused a connection are skipped until the next look-up.
        """
        if self._reactor.seconds() - self._looked_up_at >= _LOOKUP_TTL_S:
            self._looked_up_at = self._reactor.seconds()
            addresses = await self._look_up(host)
            self._addresses = addresses or self._addresses
            self._unreachable.clear()
        usable = [address for address in self._addresses if address not in self._unreachable]
        return self._rng.choice(usable) if usable else None

    async def _look_up(self, host: str) -> list[str]:
        """Return the addresses from the first directory that answers with status 200."""
        target = f"{names.RESOLVE_PATH}?Name={host}&Region={self._region}&Zone={self._domain}"
        for address in self._directories:
            head = http1.RequestHead(b"GET", target.encode(), ((b"Host", address.encode()),))
            try:
                response = await self._exchange(address, head, _LOOKUP_TIMEOUT_S)
            except (exchange_results.ExchangeError, defer.TimeoutError):
                continue
            if response.status == 200:
                return list(json.loads(response.body)["Addresses"])
        return []

    def stop(self) -> None:
        """Close all idle connections."""
        self._connections.stop()
