"""Sends requests of other instances, which have no path to a server, to that server."""

import typing
from collections.abc import Callable

from twisted.internet import defer

from carobhook import logs
from carobhook.protocol import http1, relay_messages
from carobhook.state import allocation, ids, servers
from carobhook.transport import direct_exchange, exchange_results

Outcome = relay_messages.RelayOutcome

# Requests of others that are relayed at the same time.
_MAX_RELAYED = 256
_OUTCOME_BY_FAULT = {
    exchange_results.Fault.CONNECT: Outcome.UNREACHED,
    exchange_results.Fault.NO_PATH: Outcome.BUSY,
    exchange_results.Fault.WITHDRAWN: Outcome.WITHDRAWN,
    exchange_results.Fault.SILENT: Outcome.RESET,
    exchange_results.Fault.RESET: Outcome.RESET,
    exchange_results.Fault.GARBLED: Outcome.GARBLED,
    exchange_results.Fault.CUT_SHORT: Outcome.CUT_SHORT,
}

Respond = Callable[[relay_messages.RelayResponse], None]


class RelayService:
    """Relays requests of other instances, within bounds, and only to servers themselves.

    Args:
        direct: Exchanges with backend servers over connections of this instance.
        may_use: Returns whether a server at an address may get requests from this instance.
        can_relay: Returns whether this instance serves and reaches servers.
        match: Returns whether a response belongs to a client's attempt.
        run_of: Returns the present run of a server, or None if it is not known.
        on_response: Called with each response and the run that its request was sent to.
        max_body_bytes: Largest size of the bodies of all relayed requests.
        on_failure: Called with an unexpected error.
        is_quarantined: Returns whether a request of an instance, by its fingerprint, must not
            be sent to any server.
    """

    def __init__(
        self,
        direct: direct_exchange.DirectExchange,
        may_use: Callable[[ids.Server, str], bool],
        can_relay: Callable[[], bool],
        match: Callable[[http1.Response, str | None], allocation.ResponseMatch],
        run_of: Callable[[ids.Server], servers.ServerRun | None],
        on_response: Callable[[servers.ServerRun, http1.Response], object],
        max_body_bytes: int,
        on_failure: Callable[[typing.Any], object],
        is_quarantined: Callable[[ids.InstanceId, bytes], bool],
    ) -> None:
        self._direct = direct
        self._may_use = may_use
        self._can_relay = can_relay
        self._match = match
        self._run_of = run_of
        self._on_response = on_response
        self._max_body_bytes = max_body_bytes
        self._on_failure = on_failure
        self._is_quarantined = is_quarantined
        self._body_bytes = 0
        self._count = 0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being relayed."""
        return self._count

    def handle(
        self, sender: ids.InstanceId, request: relay_messages.RelayRequest, respond: Respond
    ) -> defer.Deferred | None:
        """Relay a request; cancelling the result cancels it.

        Args:
            sender: Instance that the request comes from.
            request: The request.
            respond: Sends the answer; called at most once.
        """
        size = len(request.body)
        is_full = self._count >= _MAX_RELAYED or self._body_bytes + size > self._max_body_bytes
        if is_full or not self._can_relay():
            respond(relay_messages.RelayResponse(Outcome.BUSY, f"{self._count} in flight"))
            return None
        self._count += 1
        self._body_bytes += size
        running = defer.ensureDeferred(self._relay(sender, request))
        running.addBoth(self._finish, size)
        running.addErrback(self._answer_failure)
        running.addCallback(_respond_if_any, respond)
        return running

    def _finish(self, result: typing.Any, size: int) -> typing.Any:
        self._count -= 1
        self._body_bytes -= size
        return result

    def _answer_failure(self, reason: typing.Any) -> relay_messages.RelayResponse | None:
        """Return the answer after an unexpected error, or None if the request was cancelled."""
        if reason.check(defer.CancelledError):
            return None
        self._on_failure(reason)
        return relay_messages.RelayResponse(Outcome.RESET, reason.getErrorMessage())

    async def _relay(
        self, sender: ids.InstanceId, request: relay_messages.RelayRequest
    ) -> relay_messages.RelayResponse:
        use = exchange_results.ConnectionUse()
        run = self._run_of(request.server)
        try:
            received = await self._direct.exchange_for_other(self._attempt(sender, request))
            use = received.use
            if run is not None:
                self._on_response(run, received.response)
            answer = _answer(received.response)
        except exchange_results.ExchangeError as error:
            answer = relay_messages.RelayResponse(_OUTCOME_BY_FAULT[error.fault], str(error))
        logs.event(
            "request-relayed",
            request=request.request_id,
            origin=sender,
            server=request.server,
            outcome=answer.outcome,
            status=answer.status,
            connection=use.connection,
            exchanges=use.exchange_count,
            wait_ms=use.wait_ms,
        )
        return answer

    def _attempt(
        self, sender: ids.InstanceId, request: relay_messages.RelayRequest
    ) -> direct_exchange.Attempt:
        """Return the attempt to send a request of another instance to its server."""
        head = http1.RequestHead(request.method, request.target, request.headers)
        return direct_exchange.Attempt(
            server=request.server,
            address=request.address,
            homes=frozenset(),
            request_id=request.request_id,
            build_head=lambda: head,
            body=request.body,
            require_fresh=request.require_fresh,
            match=lambda response: self._match(response, request.request_id),
            may_send=lambda: self._may_send(sender, request),
        )

    def _may_send(self, sender: ids.InstanceId, request: relay_messages.RelayRequest) -> bool:
        """Return whether a request may be sent now; an older build names no fingerprint."""
        if not self._may_use(request.server, request.address):
            return False
        fingerprint = request.fingerprint
        return not fingerprint or not self._is_quarantined(sender, fingerprint)


def _answer(response: http1.Response) -> relay_messages.RelayResponse:
    if len(response.body) > relay_messages.MAX_BODY_BYTES:
        return relay_messages.RelayResponse(Outcome.GARBLED, "response is too large to relay")
    return relay_messages.RelayResponse(
        Outcome.RESPONDED,
        "",
        response.status,
        response.reason,
        response.headers,
        response.body,
        is_identified=True,
    )


def _respond_if_any(answer: relay_messages.RelayResponse | None, respond: Respond) -> None:
    if answer is not None:
        respond(answer)
