"""Carries one client's request: slot, send, answer, and another try where one is allowed."""

import enum
import typing
from collections.abc import Callable

import attrs
from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import refusals
from carobhook.protocol import client_api, http1
from carobhook.state import allocation, codes, ids, routing
from carobhook.transport import client_connections, server_connections

# An answer on the way to the client needs about this long; a server that is given less time
# than the client has can still answer with its own timeout.
_ANSWER_MARGIN_S = 0.02
# A request with less time than this is not sent, as no server works that fast.
_SHORTEST_WORK_S = 0.005
# Servers that may prove unreachable before a request is refused.
_MOST_UNREACHABLE = 4


class Stage(enum.Enum):
    """How far a request has come."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class Wire(typing.Protocol):
    """How requests are written for servers and their answers read."""

    def build_request_head(
        self, head: http1.RequestHead, server: ids.Server, time_left_s: float
    ) -> http1.RequestHead:
        """Return the head of a request as a server gets it."""

    def attempt_outcome(self, answer: http1.Response) -> allocation.AttemptOutcome:
        """Return what an answer says of its server."""

    def matches_attempt(self, answer: http1.Response, client_id: str | None) -> bool:
        """Tell whether an answer is one to a client's attempt."""


class SlotAllocator(typing.Protocol):
    """Where slots are asked for."""

    def request_slot(self, ask: allocation.SlotRequest, region: ids.Region) -> defer.Deferred:
        """Ask for a slot; fires with `SlotGrant` or `SlotRefusal`; cancelling withdraws."""

    def release_slot(self, ask_id: ids.RequestId, end: allocation.AttemptOutcome) -> None:
        """Give a granted slot back."""


@attrs.frozen
class Accepted:
    """A request with all that was decided when it came in.

    Attributes:
        inbound: The request.
        id: Id in this instance's asks.
        client_id: Id that the client gave to this attempt, or None.
        route: Its route.
        service: The service that is to run it.
        region: Region whose dispatcher is asked.
        fallback: Region that is asked if that one refuses, None for none.
        priority: Rank of the request; 0 is the most urgent.
        object_key: Object that it concerns, or None.
        target_at: Monotonic time in seconds until which an answer earns its full worth.
        deadline_at: Monotonic time in seconds of the final answer.
        config_version: Version of the configuration by which it was placed.
        domain: Failure domain of this instance.
    """

    inbound: client_connections.Inbound
    id: ids.RequestId
    client_id: str | None
    route: routing.Route
    service: ids.Service
    region: ids.Region
    fallback: ids.Region | None
    priority: int
    object_key: str | None
    target_at: float
    deadline_at: float
    config_version: int
    domain: ids.FailureDomain | None = None


@attrs.frozen
class Outcome:
    """How a request ended.

    Attributes:
        accepted: The request.
        status: Status of the answer; 0 when the client had left.
        refusal: What was answered in place of a server, or None.
        server: The server that answered or had it last.
        sends: Servers that it was sent to.
        waited_s: Seconds until its first slot.
        total_s: Seconds from its arrival.
    """

    accepted: Accepted
    status: int
    refusal: refusals.Refusal | None
    server: ids.Server | None
    sends: int
    waited_s: float
    total_s: float


class RequestFlow:
    """One request on its way; implements `client_connections.Exchange`.

    Args:
        reactor: Source of time and timers.
        accepted: The request.
        allocator: Where slots are asked for.
        servers: Connections to servers.
        wire: How requests are written for servers.
        answer: Answers the client; called once at most.
        outcome: Called once with what the client got.
        ended: Called once when nothing of the request goes on.
        broke: Called each time that a server's connection broke under the request.
        usable: Tells whether a server may get requests, as far as this instance knows.
    """

    def __init__(
        self,
        reactor: typing.Any,
        accepted: Accepted,
        allocator: SlotAllocator,
        servers: server_connections.ServerConnections,
        wire: Wire,
        answer: Callable[[http1.Response], None],
        outcome: Callable[[Outcome], None],
        ended: Callable[[], None],
        broke: Callable[[Accepted], None] = lambda accepted: None,
        usable: Callable[[ids.Server], bool] = lambda server: True,
    ) -> None:
        self._reactor = reactor
        self._accepted = accepted
        self._allocator = allocator
        self._servers = servers
        self._wire = wire
        self._answer = answer
        self._on_outcome = outcome
        self._on_ended = ended
        self._broke = broke
        self._usable = usable
        self._stage = Stage.WAITING
        self._region = accepted.region
        self._running: defer.Deferred | None = None
        self._avoided: frozenset[ids.Server] = frozenset()
        self._sends = 0
        self._unreachable = 0
        self._may_have_run = False
        self._server: ids.Server | None = None
        self._first_slot_at: float | None = None
        self._timer: typing.Any = None
        self._answered = False
        self._reported = False
        self._failure: server_connections.Received | None = None

    @property
    def stage(self) -> Stage:
        """Return how far the request has come."""
        return self._stage

    def start(self) -> None:
        """Begin to carry the request."""
        delay_s = max(0.0, self._accepted.deadline_at - self._reactor.seconds())
        self._timer = self._reactor.callLater(delay_s, self._overdue)
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._stopped)

    def client_gone(self) -> None:
        """Stop what nobody waits for; work that may run only once goes on."""
        self._answered = True
        if self._stage is Stage.WAITING:
            self._finish(0, refusals.Refusal(codes.Code.CALLER_GONE, self._may_have_run))
            self._cancel()
        elif self._stage is Stage.RUNNING:
            self._report(0, refusals.Refusal(codes.Code.CALLER_GONE, True))
            if self._accepted.route.repeatable:
                self._end()
                self._cancel()

    def _overdue(self) -> None:
        """Answer at the end of the request's time."""
        if self._answered:
            return
        if self._stage is Stage.WAITING:
            code = codes.Code.DEADLINE_PASSED_QUEUED
            self._refuse(refusals.Refusal(code, self._may_have_run, 1.0))
            self._cancel()
        elif self._stage is Stage.RUNNING:
            self._refuse(refusals.Refusal(codes.Code.DEADLINE_PASSED_RUNNING, True))
            if self._accepted.route.repeatable:
                self._cancel()

    def _cancel(self) -> None:
        if self._running is not None:
            self._running.cancel()

    def _stopped(self, reason: typing.Any) -> None:
        if reason.check(defer.CancelledError):
            return
        logs.error(
            "exchange-failed",
            request=self._accepted.client_id,
            error=reason.getErrorMessage(),
            trace=reason.getTraceback(),
        )
        self._refuse(refusals.Refusal(codes.Code.BACKEND_LOST, True))

    async def _run(self) -> None:
        while True:
            decision = await self._allocator.request_slot(self._ask(), self._region)
            if isinstance(decision, allocation.SlotRefusal):
                if self._falls_back():
                    continue
                self._refuse(
                    refusals.Refusal(
                        decision.code,
                        self._may_have_run,
                        decision.retry_after_s,
                        decision.detail,
                    )
                )
                return
            if self._first_slot_at is None:
                self._first_slot_at = self._reactor.seconds()
            if not self._usable(decision.server):
                # The dispatcher does not know yet what this instance knows.
                self._allocator.release_slot(
                    self._accepted.id, allocation.AttemptOutcome.CANCELLED
                )
                self._avoided |= {decision.server}
                continue
            if not await self._send(decision):
                return

    def _falls_back(self) -> bool:
        """Turn to the region that served this before an order moved it, if there is one."""
        fallback = self._accepted.fallback
        if fallback is None or self._region == fallback:
            return False
        self._region = fallback
        return True

    def _ask(self) -> allocation.SlotRequest:
        accepted = self._accepted
        return allocation.SlotRequest(
            id=accepted.id,
            service=accepted.service,
            route=accepted.route.name,
            object_key=accepted.object_key if accepted.route.object_affinity else None,
            priority=accepted.priority,
            target_at=accepted.target_at,
            deadline_at=accepted.deadline_at,
            repeat=self._sends > 0,
            avoided=self._avoided,
            homes=accepted.route.homes,
            domain=accepted.domain,
        )

    async def _send(self, grant: allocation.SlotGrant) -> bool:
        """Send the request to a server; tell whether to try another one."""
        accepted = self._accepted
        left_s = accepted.deadline_at - self._reactor.seconds() - _ANSWER_MARGIN_S
        if left_s < _SHORTEST_WORK_S:
            self._allocator.release_slot(accepted.id, allocation.AttemptOutcome.CANCELLED)
            self._refuse(
                refusals.Refusal(codes.Code.DEADLINE_UNMEETABLE, self._may_have_run, 1.0)
            )
            return False
        head = self._wire.build_request_head(accepted.inbound.head, grant.server, left_s)
        self._server = grant.server
        self._sends += 1
        self._stage = Stage.RUNNING
        careful = not accepted.route.repeatable
        end = allocation.AttemptOutcome.CANCELLED
        try:
            received = await self._servers.exchange(
                grant.address, head, accepted.inbound.body, careful, self._belongs
            )
            end = self._wire.attempt_outcome(received.answer)
        except server_connections.ExchangeError as problem:
            end = self._failed(problem, grant)
            received = None
        finally:
            self._allocator.release_slot(accepted.id, end)
        if self._stage is Stage.ENDED:
            return False
        return self._conclude(end, received, grant)

    def _belongs(self, answer: http1.Response) -> bool:
        return self._wire.matches_attempt(answer, self._accepted.client_id)

    def _failed(
        self, problem: server_connections.ExchangeError, grant: allocation.SlotGrant
    ) -> allocation.AttemptOutcome:
        """Return what a failed exchange says of the server."""
        logs.event(
            "exchange-broken",
            request=self._accepted.client_id,
            server=grant.server,
            fault=problem.fault.value,
            reused=problem.reused,
            error=problem,
        )
        if problem.fault is server_connections.Fault.CONNECT:
            # Nothing arrived, so neither a bound of attempts nor the budget counts it.
            self._sends -= 1
            self._unreachable += 1
            return allocation.AttemptOutcome.UNREACHABLE
        self._may_have_run = True
        if problem.reused and problem.fault is server_connections.Fault.RESET:
            # The server may have closed the connection before the request reached it.
            self._servers.distrust(grant.address)
        return allocation.AttemptOutcome.BROKEN

    def _conclude(
        self,
        end: allocation.AttemptOutcome,
        received: server_connections.Received | None,
        grant: allocation.SlotGrant,
    ) -> bool:
        """Answer the client, or tell that another server may be tried."""
        if end is allocation.AttemptOutcome.ANSWERED:
            self._pass_on(received)
            return False
        if end is allocation.AttemptOutcome.FAILED:
            self._may_have_run = True
            self._failure = received
        elif end is allocation.AttemptOutcome.BROKEN:
            self._broke(self._accepted)
        self._avoided |= {grant.server}
        if self._may_try_again(end):
            self._stage = Stage.WAITING
            logs.event(
                "request-retried",
                request=self._accepted.client_id,
                server=grant.server,
                end=end,
                sends=self._sends,
            )
            return True
        if end is allocation.AttemptOutcome.BROKEN:
            self._refuse(refusals.Refusal(codes.Code.BACKEND_LOST, True))
        else:
            code = (
                codes.Code.BACKEND_SHED
                if end is allocation.AttemptOutcome.SHED
                else codes.Code.NO_BACKEND
            )
            self._refuse(refusals.Refusal(code, self._may_have_run, 0.5))
        return False

    def _may_try_again(self, end: allocation.AttemptOutcome) -> bool:
        route = self._accepted.route
        if self._answered:
            return False
        if self._sends >= route.max_attempts or self._unreachable > _MOST_UNREACHABLE:
            return False
        ran = end in (allocation.AttemptOutcome.FAILED, allocation.AttemptOutcome.BROKEN)
        if ran and not route.repeatable:
            return False
        return self._accepted.deadline_at - self._reactor.seconds() > _SHORTEST_WORK_S

    def _pass_on(self, received: server_connections.Received | None) -> None:
        answer = typing.cast(server_connections.Received, received).answer
        if not self._answered:
            self._answered = True
            self._answer(answer)
        self._finish(answer.status, None)

    def _refuse(self, refusal: refusals.Refusal) -> None:
        if self._failure is not None and not self._answered:
            # A server's own failure tells the client more than one of this instance.
            self._pass_on(self._failure)
            return
        if not self._answered:
            self._answered = True
            self._answer(refusal_answer(refusal))
        self._report(refusal.status, refusal)
        keeps_running = (
            self._stage is Stage.RUNNING
            and refusal.code is codes.Code.DEADLINE_PASSED_RUNNING
            and not self._accepted.route.repeatable
        )
        if not keeps_running:
            self._end()

    def _finish(self, status: int, refusal: refusals.Refusal | None) -> None:
        self._report(status, refusal)
        self._end()

    def _end(self) -> None:
        """Give the request up, once what it started is over."""
        if self._stage is Stage.ENDED:
            return
        self._stage = Stage.ENDED
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._on_ended()

    def _report(self, status: int, refusal: refusals.Refusal | None) -> None:
        """Tell what the client got, or what came of the work after it had got an answer."""
        now = self._reactor.seconds()
        began_at = self._accepted.inbound.began_at
        if self._reported:
            logs.event(
                "work-ended-late",
                request=self._accepted.client_id,
                server=self._server,
                status=status,
                total_ms=round((now - began_at) * 1000, 1),
            )
            return
        self._reported = True
        slot_at = self._first_slot_at if self._first_slot_at is not None else now
        self._on_outcome(
            Outcome(
                self._accepted,
                status,
                refusal,
                self._server,
                self._sends,
                slot_at - began_at,
                now - began_at,
            )
        )


def refusal_answer(refusal: refusals.Refusal) -> http1.Response:
    """Return the answer that tells a client of a refusal."""
    info = refusal.code.value
    headers = [
        (b"Content-Type", b"text/plain; charset=utf-8"),
        *client_api.result_headers(refusal.code, refusal.may_have_run),
    ]
    if refusal.status == 503 and refusal.retry_after_s is not None:
        headers.append((b"Retry-After", f"{refusal.retry_after_s:.3f}".encode()))
    return client_connections.own_answer(refusal.status, info.text, tuple(headers))
