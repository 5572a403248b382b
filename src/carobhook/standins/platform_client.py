"""Stand-in of the platform's clients: asks where to connect, sends requests, checks answers."""

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
from carobhook.transport import server_connections

_CONNECT_TIMEOUT_S = 1.0
_LOOKUP_TIMEOUT_S = 1.0
_LOOKUP_LIFETIME_S = 2.0
_ANSWER_MARGIN_S = 1.0


@attrs.frozen
class RequestPlan:
    """One kind of request.

    Attributes:
        host: Host that it is for.
        prefix: Path prefix of its route.
        repeatable: Whether it may be sent again after any failure.
        time_left_s: Seconds that the client waits.
        objects: How many objects its requests are about.
        weight: Part of all requests.
    """

    host: str
    prefix: str
    repeatable: bool = True
    time_left_s: float = 2.5
    objects: int = 20
    weight: float = 1.0


@attrs.frozen
class Attempt:
    """What came of one attempt.

    Attributes:
        id: Its id.
        status: Status of the answer, 0 without one.
        seconds: How long it took.
        not_run: Whether the answer promises that it was not run.
        retry_after_s: Seconds after which it may be sent again, or None.
        body: Body of the answer.
    """

    id: str
    status: int
    seconds: float
    not_run: bool = False
    retry_after_s: float | None = None
    body: bytes = b""


@attrs.define
class Report:
    """Counts of what clients got.

    Attributes:
        sent: Requests, each counted once whatever it was repeated.
        served: Requests answered with success.
        statuses: Attempts by the status of their answer; 0 stands for none.
        seconds: Time until the success of each request that was served.
        unanswered: Ids of the attempts that got no answer.
    """

    sent: int = 0
    served: int = 0
    statuses: collections.Counter[int] = attrs.field(factory=collections.Counter)
    seconds: list[float] = attrs.field(factory=list)
    unanswered: list[str] = attrs.field(factory=list)

    def text(self) -> str:
        """Return the report as one JSON object."""
        ordered = sorted(self.seconds)
        middle = ordered[len(ordered) // 2] if ordered else None
        plain = {
            "sent": self.sent,
            "served": self.served,
            "statuses": {str(status): count for status, count in sorted(self.statuses.items())},
            "unanswered": self.unanswered,
            "p50_ms": None if middle is None else round(middle * 1000, 1),
        }
        return json.dumps(plain)


class PlatformClient:
    """Clients of one failure domain.

    Args:
        reactor: Source of time and connections.
        directories: Addresses that answer where to connect, nearest first.
        region: Region of the clients.
        domain: Their failure domain.
        rng: Source of their choices.
    """

    def __init__(
        self,
        reactor: typing.Any,
        directories: Sequence[str],
        region: str,
        domain: str,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._directories = tuple(directories)
        self._region = region
        self._domain = domain
        self._rng = rng
        self._connections = server_connections.ServerConnections(reactor, _CONNECT_TIMEOUT_S)
        self._addresses: list[str] = []
        self._asked_at = -_LOOKUP_LIFETIME_S
        self._failed: set[str] = set()
        self.report = Report()
        self.attempts: list[tuple[RequestPlan, Attempt]] = []

    async def run(self, plans: Sequence[RequestPlan], rate: float, duration_s: float) -> None:
        """Send requests at an open rate, and wait for all of them.

        Args:
            plans: Kinds of requests.
            rate: Requests a second.
            duration_s: Seconds for which new ones are sent.
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
        """Send one request, again where its kind and its answer allow it."""
        began_at = self._reactor.seconds()
        end_at = began_at + plan.time_left_s
        self.report.sent += 1
        key = str(self._rng.randrange(plan.objects))
        while True:
            attempt = await self._attempt(plan, key, end_at - self._reactor.seconds())
            self.attempts.append((plan, attempt))
            self.report.statuses[attempt.status] += 1
            if attempt.status == 0:
                self.report.unanswered.append(attempt.id)
            if attempt.status == 200:
                self.report.served += 1
                self.report.seconds.append(self._reactor.seconds() - began_at)
                return attempt
            left_s = end_at - self._reactor.seconds()
            wait_s = attempt.retry_after_s or 0.05
            may_repeat = attempt.not_run or (plan.repeatable and attempt.status != 404)
            if not may_repeat or wait_s > left_s / 3:
                return attempt
            await task.deferLater(self._reactor, wait_s)

    async def _attempt(self, plan: RequestPlan, key: str, left_s: float) -> Attempt:
        name = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]
        began_at = self._reactor.seconds()
        address = await self._address(plan.host)
        if address is None:
            return Attempt(name, 0, self._reactor.seconds() - began_at)
        head = http1.RequestHead(
            b"GET" if plan.repeatable else b"POST",
            f"{plan.prefix}{key}".encode(),
            (
                (b"Host", plan.host.encode()),
                (names.REQUEST_ID.encode(), name.encode()),
                (names.OBJECT_KEY.encode(), key.encode()),
                (names.TIME_LEFT_MS.encode(), str(max(1, int(left_s * 1000))).encode()),
            ),
        )
        try:
            answer = await self._exchange(address, head, left_s + _ANSWER_MARGIN_S)
        except server_connections.ExchangeError as problem:
            if problem.fault is server_connections.Fault.CONNECT:
                # Nothing was sent, so another address is tried.
                self._failed.add(address)
                spent_s = self._reactor.seconds() - began_at
                return await self._attempt(plan, key, left_s - spent_s)
            return Attempt(name, 0, self._reactor.seconds() - began_at)
        except defer.TimeoutError:
            return Attempt(name, 0, self._reactor.seconds() - began_at)
        told = answer.get("retry-after")
        return Attempt(
            name,
            answer.status,
            self._reactor.seconds() - began_at,
            answer.status in (408, 421, 429, 503),
            float(told) if told is not None else None,
            answer.body,
        )

    async def _exchange(
        self, address: str, head: http1.RequestHead, timeout_s: float
    ) -> http1.Response:
        """Return the answer to a request.

        Raises:
            server_connections.ExchangeError: There is none.
            defer.TimeoutError: There is none in time.
        """
        exchange = defer.ensureDeferred(
            self._connections.exchange(address, head, b"", careful=True)
        )
        received = await exchange.addTimeout(timeout_s, self._reactor)
        return received.answer

    async def _address(self, host: str) -> str | None:
        """Return where to connect, from an answer of the directory that is still fresh.

        Addresses that could not be connected to are passed over until the next answer.
        """
        if self._reactor.seconds() - self._asked_at >= _LOOKUP_LIFETIME_S:
            self._asked_at = self._reactor.seconds()
            found = await self._look_up(host)
            self._addresses = found or self._addresses
            self._failed.clear()
        left = [address for address in self._addresses if address not in self._failed]
        return self._rng.choice(left) if left else None

    async def _look_up(self, host: str) -> list[str]:
        target = f"{names.RESOLVE_PATH}?Name={host}&Region={self._region}&Zone={self._domain}"
        for address in self._directories:
            head = http1.RequestHead(b"GET", target.encode(), ((b"Host", address.encode()),))
            try:
                answer = await self._exchange(address, head, _LOOKUP_TIMEOUT_S)
            except (server_connections.ExchangeError, defer.TimeoutError):
                continue
            if answer.status == 200:
                return list(json.loads(answer.body)["Addresses"])
        return []

    def stop(self) -> None:
        """Close all idle connections."""
        self._connections.stop()
