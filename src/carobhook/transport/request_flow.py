"""Runs one client's request: slot request, attempts with safe retries, and response."""

import enum
import typing
from collections.abc import Callable

import attrs
from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import lost_attempts, refusals
from carobhook.protocol import http1
from carobhook.state import allocation, codes, ids, servers
from carobhook.transport import (
    accepted_requests,
    direct_exchange,
    exchange_results,
    flow_interfaces,
    refusal_responses,
    request_quarantine,
)

# Time for a response to travel from the server to the client. It is subtracted from the time
# left that is sent to a server; otherwise the server's own timeout response would reach the
# client after the deadline.
_RESPONSE_MARGIN_S = 0.02
# A request with less time left than this is not sent to a server, because no server responds
# that fast and the attempt would use a slot in vain.
_MIN_WORK_S = 0.005
# A request is refused when more than this many attempts could not connect to a server. Such
# attempts do not count toward the route's limit on attempts, so without a limit of their own a
# request would be sent to one unreachable server after another until its deadline.
_MAX_UNREACHABLE = 4
# A server stops its work at the deadline that it was sent. After the deadline of work that must
# not run twice, its result is awaited for this long, for the log and the use of the slot only.
_LATE_RESULT_WAIT_S = 5.0
# Largest body in bytes of a server's failure response that is kept while the request is sent
# again. No limit on memory counts it meanwhile.
_MAX_KEPT_FAILURE_BYTES = 64 * 1024
# After these, no server has got the request.
_NOT_SENT_FAULTS = frozenset(
    {
        exchange_results.Fault.WITHDRAWN,
        exchange_results.Fault.NO_PATH,
        exchange_results.Fault.NO_RELAY,
    }
)
# By these, a server says that it did not run a request.
_NOT_RUN_OUTCOMES = frozenset(
    {allocation.AttemptOutcome.SHED, allocation.AttemptOutcome.MISDIRECTED}
)


class Stage(enum.Enum):
    """Stage of a request.

    WAITING: It waits for a slot, for its first attempt or for a retry.
    RUNNING: An attempt is in progress: a server may be running the request.
    ENDED: Its processing has ended. No further attempt is made.
    """

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


def _do_nothing() -> None:
    return None


class RequestFlow:
    """Processing of one request; implements `client_connections.ActiveRequest`.

    Args:
        reactor: Source of time and timers.
        accepted: The request.
        allocator: Requests and releases slots.
        servers: Exchanges with backend servers.
        codec: Encodes requests for backend servers and interprets their responses.
        respond: Sends the response to the client; called at most once.
        on_outcome: Called once with the outcome for the client.
        on_finished: Called once when nothing more is done for the request.
        observer: Learns of lost attempts, and tells which requests are quarantined.
        may_use: Returns whether a request may be sent to a server, by what is in force at the
            time of the call.
        reroute: Returns a request as the configuration in force routes it, or the reason to
            refuse it.
        resting: Returns the servers that want no requests from this instance for now.
        pace_of: Returns what a server's response says about how long work takes on it at the
            moment, or None.
        is_slow: Returns whether this machine is so slow that the times that it observes say
            nothing about servers.
    """

    # Run of the server that the request was sent to last.
    _server_run: servers.ServerRun

    def __init__(
        self,
        reactor: typing.Any,
        accepted: accepted_requests.AcceptedRequest,
        allocator: flow_interfaces.SlotAllocator,
        servers: flow_interfaces.ServerExchange,
        codec: flow_interfaces.RequestCodec,
        respond: Callable[[http1.Response], None],
        on_outcome: Callable[[accepted_requests.RequestOutcome], None],
        on_finished: Callable[[], None],
        observer: flow_interfaces.AttemptObserver,
        may_use: Callable[
            [accepted_requests.AcceptedRequest, ids.Server], bool
        ] = lambda accepted, server: True,
        reroute: Callable[
            [accepted_requests.AcceptedRequest],
            accepted_requests.AcceptedRequest | refusals.Refusal,
        ] = lambda accepted: accepted,
        resting: Callable[[], frozenset[ids.Server]] = frozenset,
        pace_of: Callable[
            [ids.Server, http1.Response], float | None
        ] = lambda server, response: None,
        is_slow: Callable[[], bool] = lambda: False,
    ) -> None:
        self._reactor = reactor
        self._accepted = accepted
        self._allocator = allocator
        self._servers = servers
        self._codec = codec
        self._respond = respond
        self._on_outcome = on_outcome
        self._on_finished = on_finished
        self._observer = observer
        self._may_use = may_use
        self._reroute = reroute
        self._resting = resting
        self._pace_of = pace_of
        self._is_slow = is_slow
        self._stage = Stage.WAITING
        self._region = accepted.region
        self._task: defer.Deferred | None = None
        self._avoided_servers: frozenset[ids.Server] = frozenset()
        self._slot_request_count = 0
        self._attempts = 0
        self._unreachable_count = 0
        self._may_have_run = False
        self._sending: lost_attempts.Sending | None = None
        self._last_server: ids.Server | None = None
        self._first_slot_at: float | None = None
        self._timer: typing.Any = None
        self._responded = False
        self._outcome_reported = False
        self._failure_response: exchange_results.ReceivedResponse | None = None
        self._at_end: list[Callable[[], object]] = []

    @property
    def stage(self) -> Stage:
        """Return the stage of the request."""
        return self._stage

    def start(self) -> None:
        """Start to process the request and start its deadline timer."""
        delay_s = max(0.0, self._accepted.deadline_at - self._reactor.seconds())
        self._timer = self._reactor.callLater(delay_s, self._on_deadline)
        self._task = defer.ensureDeferred(self._run())
        self._task.addErrback(self._on_error)

    def client_disconnected(self) -> None:
        """Report that the client disconnected, and cancel the request where that is safe.

        A request that must not run twice is not cancelled while a server may be running it;
        its slot is released when the attempt ends.
        """
        self._responded = True
        if self._stage is Stage.WAITING:
            self._finish(0, refusals.Refusal(codes.Code.CALLER_GONE, self._may_have_run))
            self._cancel()
        elif self._stage is Stage.RUNNING:
            self._report_outcome(0, refusals.Refusal(codes.Code.CALLER_GONE, True))
            if self._accepted.route.repeatable:
                self._end()
                self._cancel()

    def call_at_end(self, function: Callable[[], object]) -> None:
        """Call a function when nothing more is done for the request, which may be now."""
        if self._stage is Stage.ENDED:
            function()
        else:
            self._at_end.append(function)

    def refuse_if_waiting(self, refusal: refusals.Refusal) -> None:
        """Refuse the request if it waits for a slot, as this instance stops.

        Args:
            refusal: The refusal, unless an earlier attempt may have run the request.
        """
        if self._stage is not Stage.WAITING or self._responded:
            return
        self._refuse(attrs.evolve(refusal, may_have_run=self._may_have_run))
        self._cancel()

    def abort(self) -> None:
        """Refuse the request as one that may have run, as this instance ends.

        Its server is told. Without a response, those behind it on its connection, which may be
        whole, could not be sent either.
        """
        self._refuse(refusals.Refusal(codes.Code.INSTANCE_LEAVING, may_have_run=True))
        self._end()
        self._cancel()

    def _on_deadline(self) -> None:
        """Refuse the request at its deadline, and cancel it where that is safe.

        A request that must not run twice is not cancelled while a server may be running it;
        its slot is released when the attempt ends, or a while after the deadline.
        """
        if self._stage is Stage.RUNNING:
            self._timer = self._reactor.callLater(_LATE_RESULT_WAIT_S, self._abandon)
        if self._responded:
            return
        if self._stage is Stage.WAITING:
            code = codes.Code.DEADLINE_PASSED_QUEUED
            self._refuse(refusals.Refusal(code, self._may_have_run, 1.0))
            self._cancel()
        elif self._stage is Stage.RUNNING:
            self._refuse(refusals.Refusal(codes.Code.DEADLINE_PASSED_RUNNING, True))
            if self._accepted.route.repeatable:
                self._cancel()

    def _abandon(self) -> None:
        """Stop waiting for the result of an attempt whose deadline has long passed."""
        logs.warning(
            "work-abandoned",
            request=self._accepted.client_request_id,
            server=self._last_server,
        )
        self._end()
        self._cancel()

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _on_error(self, reason: typing.Any) -> None:
        """Log an unexpected error and refuse the request as one that may have run."""
        if reason.check(defer.CancelledError):
            # Its traceback refers to the request, and to itself.
            reason.cleanFailure()
            return
        logs.error(
            "exchange-failed",
            request=self._accepted.client_request_id,
            error=reason.getErrorMessage(),
            trace=reason.getTraceback(),
        )
        self._refuse(refusals.Refusal(codes.Code.BACKEND_LOST, True))

    async def _run(self) -> None:
        """Request slots and make attempts until the request has a response or a refusal."""
        while True:
            if not self._apply_configuration():
                return
            decision = await self._allocator.request_slot(self._slot_request(), self._region)
            if isinstance(decision, allocation.SlotRefusal):
                # A quota holds in all regions, so another one would not admit the request.
                is_over_quota = decision.code is codes.Code.QUOTA_EXCEEDED
                if not is_over_quota and self._switch_to_fallback():
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
            if not self._may_use(self._accepted, decision.server):
                # The dispatcher's information on the server can be older than this instance's,
                # and a configuration may have come into force since the request was routed.
                self._allocator.release_slot(
                    decision.ask_id, allocation.AttemptOutcome.CANCELLED
                )
                self._avoided_servers |= {decision.server}
                continue
            if not await self._attempt(decision):
                return

    def _apply_configuration(self) -> bool:
        """Route the request anew if another configuration is in force than on its arrival.

        Returns:
            Whether it may still be served; if not, it is refused.
        """
        before = self._accepted
        routed = self._reroute(before)
        if isinstance(routed, refusals.Refusal):
            self._refuse(attrs.evolve(routed, may_have_run=self._may_have_run))
            return False
        # What is pipelined was started as a request that may be repeated: its client may have
        # to send it again although it ran.
        must_repeat = self._may_have_run or before.request.is_pipelined
        if must_repeat and not routed.route.repeatable:
            return True
        self._accepted = routed
        if (self._accepted.service, self._accepted.region) != (before.service, before.region):
            self._region = self._accepted.region
        return True

    def _switch_to_fallback(self) -> bool:
        """Switch to the fallback region; return whether there is one that was not asked yet.

        The fallback is the region that an order moved this request away from.
        """
        fallback = self._accepted.fallback
        if fallback is None or self._region == fallback:
            return False
        self._region = fallback
        return True

    def _slot_request(self) -> allocation.SlotRequest:
        accepted = self._accepted
        self._slot_request_count += 1
        return allocation.SlotRequest(
            id=_slot_request_id(accepted.id, self._slot_request_count),
            service=accepted.service,
            route=accepted.route.name,
            object_key=accepted.object_key if accepted.route.object_affinity else None,
            priority=accepted.priority,
            target_at=accepted.target_at,
            deadline_at=accepted.deadline_at,
            repeat=self._attempts > 0,
            avoided=self._avoided_servers | self._resting(),
            homes=accepted.route.homes,
            domain=accepted.domain,
            account=accepted.account,
        )

    async def _attempt(self, grant: allocation.SlotGrant) -> bool:
        """Make one attempt on the granted slot; return whether to request another slot."""
        accepted = self._accepted
        if self._observer.is_quarantined(accepted.request):
            self._allocator.release_slot(grant.ask_id, allocation.AttemptOutcome.CANCELLED)
            self._refuse(refusal_responses.quarantine_refusal(self._may_have_run))
            return False
        time_left_s = accepted.deadline_at - self._reactor.seconds() - _RESPONSE_MARGIN_S
        if time_left_s < _MIN_WORK_S:
            self._allocator.release_slot(grant.ask_id, allocation.AttemptOutcome.CANCELLED)
            self._refuse(
                refusals.Refusal(codes.Code.DEADLINE_UNMEETABLE, self._may_have_run, 1.0)
            )
            return False
        self._last_server = grant.server
        self._attempts += 1
        self._stage = Stage.RUNNING
        outcome = allocation.AttemptOutcome.CANCELLED
        rate: allocation.RateStatement | None = None
        pace: float | None = None
        self._sending = None
        received: exchange_results.ReceivedResponse | None = None
        is_path_suspect = False
        try:
            received = await self._servers.exchange(self._build_attempt(accepted, grant))
            outcome = self._codec.attempt_outcome(received.response)
            rate = self._rate_statement(received.response, grant.server)
            pace = self._pace_of(grant.server, received.response)
            if outcome in _NOT_RUN_OUTCOMES:
                self._log_refusal(received, grant)
        except exchange_results.ExchangeError as error:
            # Its traceback refers to the request, and to itself.
            error.__traceback__ = None
            outcome = self._failed_outcome(error, grant)
            is_path_suspect = error.is_relayed or self._servers.is_cut
        finally:
            is_delayed = self._is_slow() or (received is not None and received.is_relayed)
            reported = _reported_outcome(outcome, is_delayed, is_path_suspect)
            self._allocator.release_slot(grant.ask_id, reported, rate, pace)
            self._observe(outcome, grant, received)
        if self._stage is Stage.ENDED:
            return False
        return self._handle_outcome(outcome, received, grant)

    def _build_attempt(
        self, accepted: accepted_requests.AcceptedRequest, grant: allocation.SlotGrant
    ) -> direct_exchange.Attempt:
        """Return the attempt to send a request to the server of its slot."""

        def build_head() -> http1.RequestHead:
            left_s = accepted.deadline_at - self._reactor.seconds() - _RESPONSE_MARGIN_S
            account = accepted.account if accepted.route.needs_key else None
            head = accepted.request.head
            return self._codec.build_request_head(head, grant.server, left_s, account)

        return direct_exchange.Attempt(
            server=grant.server,
            address=grant.address,
            homes=accepted.route.homes,
            request_id=accepted.client_request_id,
            build_head=build_head,
            body=accepted.request.body,
            require_fresh=not accepted.route.repeatable,
            match=self._match_attempt,
            may_send=lambda: self._may_send(accepted, grant.server),
            on_silence=lambda: self._allocator.release_slot(
                grant.ask_id, allocation.AttemptOutcome.CANCELLED
            ),
            is_repeat=self._attempts > 1,
            fingerprint=lambda: request_quarantine.fingerprint(accepted.request),
            on_loss=lambda: self._report_loss(grant, is_broken=False),
            on_sending=self._record_connection,
        )

    def _may_send(
        self, accepted: accepted_requests.AcceptedRequest, server: ids.Server
    ) -> bool:
        """Return whether the request may be sent now, in which case it is.

        One that was answered, or whose client has left, is not sent any more.
        """
        may_send = (
            not self._responded
            and self._may_use(accepted, server)
            and not self._observer.is_quarantined(accepted.request)
        )
        if may_send:
            # It may be another one than at an earlier send.
            self._server_run = self._observer.run_of(server)
        now = self._reactor.seconds()
        self._sending = lost_attempts.Sending(now) if may_send else None
        return may_send

    def _record_connection(self, alive_at: float) -> None:
        """Record when the server ran by what the connection of the request tells."""
        if self._sending is not None:
            self._sending = attrs.evolve(self._sending, alive_at=alive_at)

    def _observe(
        self,
        outcome: allocation.AttemptOutcome,
        grant: allocation.SlotGrant,
        received: exchange_results.ReceivedResponse | None,
    ) -> None:
        """Report an attempt whose outcome tells whether the request ends its servers."""
        if received is not None and self._codec.shows_run(received.response):
            self._observer.request_answered(self._accepted.request)
        elif outcome is allocation.AttemptOutcome.BROKEN:
            self._report_loss(grant, is_broken=True)
        elif outcome is allocation.AttemptOutcome.CANCELLED:
            self._report_loss(grant, is_broken=False)

    def _report_loss(self, grant: allocation.SlotGrant, *, is_broken: bool) -> None:
        """Report that the request was sent and lost, unless that was reported before."""
        sending, self._sending = self._sending, None
        if sending is not None:
            request = self._accepted.request
            self._observer.attempt_lost(
                request, self._server_run, grant.address, is_broken, sending
            )

    def _rate_statement(
        self, response: http1.Response, server: ids.Server
    ) -> allocation.RateStatement | None:
        """Return what a response says about its server's limit, or None if it is unreadable."""
        try:
            return self._codec.rate_statement(response)
        except ValueError as error:
            logs.warning("server-limit-malformed", server=server, error=error)
            return None

    def _match_attempt(self, response: http1.Response) -> allocation.ResponseMatch:
        return self._codec.match_attempt(response, self._accepted.client_request_id)

    def _log_refusal(
        self, received: exchange_results.ReceivedResponse, grant: allocation.SlotGrant
    ) -> None:
        """Log that a server did not run the request, and on which connection it said so."""
        use = received.use
        logs.event(
            "server-refused",
            request=self._accepted.client_request_id,
            server=grant.server,
            address=grant.address,
            status=received.response.status,
            relayed=received.is_relayed,
            connection=use.connection,
            exchanges=use.exchange_count,
            wait_ms=use.wait_ms,
        )

    def _failed_outcome(
        self, error: exchange_results.ExchangeError, grant: allocation.SlotGrant
    ) -> allocation.AttemptOutcome:
        """Log a failed exchange and return the outcome of its attempt."""
        logs.event(
            "exchange-broken",
            request=self._accepted.client_request_id,
            server=grant.server,
            fault=error.fault.value,
            reused=error.reused,
            error=error,
        )
        if error.fault in _NOT_SENT_FAULTS:
            # It was given to an instance that did not send it.
            self._sending = None
        if error.fault is exchange_results.Fault.WITHDRAWN:
            self._attempts -= 1
            return allocation.AttemptOutcome.CANCELLED
        if error.fault is exchange_results.Fault.NO_PATH:
            # There is no other path either, so further attempts would fail as well.
            self._attempts -= 1
            self._unreachable_count = _MAX_UNREACHABLE + 1
            return allocation.AttemptOutcome.CANCELLED
        if error.fault is exchange_results.Fault.NO_RELAY:
            self._attempts -= 1
            self._unreachable_count += 1
            return allocation.AttemptOutcome.CANCELLED
        if error.fault is exchange_results.Fault.CONNECT:
            # The request reached no server, so this attempt counts neither toward the limit
            # on attempts nor toward the retry budget.
            self._attempts -= 1
            self._unreachable_count += 1
            return allocation.AttemptOutcome.UNREACHABLE
        self._may_have_run = True
        if error.reused and error.fault is exchange_results.Fault.RESET:
            # The server may have closed the idle connection before the request reached it. It
            # may have closed its other idle connections too, so they are not reused.
            self._servers.discard_idle(grant.address)
        return allocation.AttemptOutcome.BROKEN

    def _handle_outcome(
        self,
        outcome: allocation.AttemptOutcome,
        received: exchange_results.ReceivedResponse | None,
        grant: allocation.SlotGrant,
    ) -> bool:
        """Respond to the client or prepare a retry; return whether to request another slot."""
        if outcome is allocation.AttemptOutcome.ANSWERED:
            self._forward_response(received)
            return False
        if outcome is allocation.AttemptOutcome.FAILED:
            self._may_have_run = True
            self._failure_response = received
        self._avoided_servers |= {grant.server}
        if self._may_retry(outcome):
            self._stage = Stage.WAITING
            self._drop_large_failure()
            logs.event(
                "request-retried",
                request=self._accepted.client_request_id,
                server=grant.server,
                end=outcome,
                sends=self._attempts,
            )
            return True
        if outcome is allocation.AttemptOutcome.BROKEN:
            self._refuse(refusals.Refusal(codes.Code.BACKEND_LOST, True))
        else:
            code = (
                codes.Code.BACKEND_SHED
                if outcome is allocation.AttemptOutcome.SHED
                else codes.Code.NO_BACKEND
            )
            self._refuse(refusals.Refusal(code, self._may_have_run, 0.5))
        return False

    def _drop_large_failure(self) -> None:
        """Drop a failure response that is too large to be kept during further attempts."""
        kept = self._failure_response
        if kept is not None and len(kept.response.body) > _MAX_KEPT_FAILURE_BYTES:
            self._failure_response = None

    def _may_retry(self, outcome: allocation.AttemptOutcome) -> bool:
        route = self._accepted.route
        if self._responded:
            return False
        if self._attempts >= route.max_attempts or self._unreachable_count > _MAX_UNREACHABLE:
            return False
        may_have_run = outcome in (
            allocation.AttemptOutcome.FAILED,
            allocation.AttemptOutcome.BROKEN,
        )
        if may_have_run and not route.repeatable:
            return False
        return self._accepted.deadline_at - self._reactor.seconds() > _MIN_WORK_S

    def _forward_response(self, received: exchange_results.ReceivedResponse | None) -> None:
        response = typing.cast(exchange_results.ReceivedResponse, received).response
        if response.status in refusals.NOT_RUN_STATUSES and not self._accepted.route.repeatable:
            # Its status would promise the client what the server did not say.
            self._failure_response = None
            detail = f"status {response.status} without a word that it was not run"
            self._refuse(refusals.Refusal(codes.Code.BACKEND_LOST, True, detail=detail))
            return
        if not self._responded:
            self._responded = True
            self._respond(response)
        self._finish(response.status, None)

    def _refuse(self, refusal: refusals.Refusal) -> None:
        """Send a refusal, or a server's failure response if there is one, to the client.

        The request ends with it, except after its deadline while a server may still be running
        a request that must not run twice.
        """
        if self._failure_response is not None and not self._responded:
            # A server's own failure response tells the client more than this refusal.
            self._forward_response(self._failure_response)
            return
        if not self._responded:
            self._responded = True
            self._respond(refusal_responses.refusal_response(refusal))
        self._report_outcome(refusal.status, refusal)
        still_running = (
            self._stage is Stage.RUNNING
            and refusal.code is codes.Code.DEADLINE_PASSED_RUNNING
            and not self._accepted.route.repeatable
        )
        if not still_running:
            self._end()

    def _finish(self, status: int, refusal: refusals.Refusal | None) -> None:
        self._report_outcome(status, refusal)
        self._end()

    def _end(self) -> None:
        """Mark the request as ended, stop its timer and call `on_finished`; only once."""
        if self._stage is Stage.ENDED:
            return
        self._stage = Stage.ENDED
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        # What refers to this object is dropped, so that its body does not stay in memory until
        # the next run of the cycle collector.
        self._timer = None
        on_finished, self._on_finished = self._on_finished, _do_nothing
        on_finished()
        at_end, self._at_end = self._at_end, []
        for function in at_end:
            function()

    def _report_outcome(self, status: int, refusal: refusals.Refusal | None) -> None:
        """Report the outcome, or log the end of a request whose outcome was reported before."""
        now = self._reactor.seconds()
        received_at = self._accepted.request.received_at
        if self._outcome_reported:
            logs.event(
                "work-ended-late",
                request=self._accepted.client_request_id,
                server=self._last_server,
                status=status,
                total_ms=round((now - received_at) * 1000, 1),
            )
            return
        self._outcome_reported = True
        wait_ended_at = self._first_slot_at if self._first_slot_at is not None else now
        self._on_outcome(
            accepted_requests.RequestOutcome(
                self._accepted,
                status,
                refusal,
                self._last_server,
                self._attempts,
                wait_ended_at - received_at,
                now - received_at,
            )
        )


def _slot_request_id(request_id: ids.RequestId, number: int) -> ids.RequestId:
    """Return the id of one slot request of a request.

    Each has an id of its own: the late decision of a former dispatcher on one must not be taken
    for that on the next.

    Args:
        request_id: Id of the request.
        number: Number of the slot request, from 1.
    """
    return request_id if number == 1 else ids.RequestId(f"{request_id}-{number}")


def _reported_outcome(
    outcome: allocation.AttemptOutcome, is_delayed: bool, is_path_suspect: bool
) -> allocation.AttemptOutcome:
    """Return the outcome of an attempt as it is reported to the dispatcher.

    Args:
        outcome: The outcome.
        is_delayed: Whether the time of the response says nothing about the server, as it came
            through another instance or to a slow machine.
        is_path_suspect: Whether a connection that broke says nothing about the server: this
            instance seems to be cut from all servers, or another one had the connection, and
            may be cut.
    """
    if is_path_suspect and outcome is allocation.AttemptOutcome.BROKEN:
        return allocation.AttemptOutcome.CANCELLED
    if is_delayed and outcome is allocation.AttemptOutcome.ANSWERED:
        return allocation.AttemptOutcome.RELAYED
    return outcome
