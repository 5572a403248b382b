"""Sends requests to backend servers: directly, or through another instance.

Load pattern: this instance is cut from some or all servers while clients, the store and other
instances reach it. It keeps its clients, and holds the slots of their requests as ever; only
the bytes take the way through an instance that reaches the server.
"""

import contextlib
import typing
from collections.abc import Awaitable, Callable, Sequence

from carobhook import logs
from carobhook.coordination import relay_choice
from carobhook.protocol import http1, relay_messages
from carobhook.state import allocation, ids, members, servers
from carobhook.transport import (
    direct_exchange,
    exchange_results,
    relay_connections,
)

Fault = exchange_results.Fault
Outcome = relay_messages.RelayOutcome

# Instances that are asked to relay one request before it is given up.
_MAX_RELAYS = 3
# A server is at fault if this many instances that reach others do not reach it.
_MIN_UNREACHED = 2
# A connection that takes this long to fail has timed out. Another instance would need as long
# to find the same, so the request does not wait for its finding.
_SLOW_FAILURE_S = 0.3
_FAULT_BY_OUTCOME = {
    Outcome.UNREACHED: Fault.CONNECT,
    Outcome.WITHDRAWN: Fault.WITHDRAWN,
    Outcome.RESET: Fault.RESET,
    Outcome.GARBLED: Fault.GARBLED,
    Outcome.CUT_SHORT: Fault.CUT_SHORT,
}


class ServerExchange:
    """Exchanges with servers, by whatever path there is.

    Args:
        reactor: Source of time.
        direct: Exchanges over connections of this instance.
        relays: Connections to instances that relay.
        choice: Chooses among the instances that can relay.
        peers: Returns the other instances that accept new work.
        run_of: Returns the present run of a server, or None if it is not known.
        on_response: Called with each response and the run that its request was sent to.
    """

    def __init__(
        self,
        reactor: typing.Any,
        direct: direct_exchange.DirectExchange,
        relays: relay_connections.RelayConnections,
        choice: relay_choice.RelayChoice,
        peers: Callable[[], Sequence[members.Member]],
        run_of: Callable[[ids.Server], servers.ServerRun | None],
        on_response: Callable[[servers.ServerRun, http1.Response], object],
    ) -> None:
        self._reactor = reactor
        self._direct = direct
        self._relays = relays
        self._choice = choice
        self._peers = peers
        self._run_of = run_of
        self._on_response = on_response
        self._was_cut = False
        self._relayed_count = 0

    @property
    def is_cut(self) -> bool:
        """Return whether this instance seems to be cut from all servers."""
        return self._direct.is_cut

    @property
    def broken_paths(self) -> int:
        """Return the number of servers that other instances reach and this one does not."""
        return self._direct.paths.broken_count

    @property
    def relayed_count(self) -> int:
        """Return the number of requests sent through other instances since the start."""
        return self._relayed_count

    async def exchange(
        self, attempt: direct_exchange.Attempt
    ) -> exchange_results.ReceivedResponse:
        """Send a request to its server and return the complete response.

        Raises:
            exchange_results.ExchangeError: The exchange failed without a complete response.
            twisted.internet.defer.CancelledError: The exchange was cancelled.
        """
        if self._direct.is_usable(attempt):
            started_at = self._reactor.seconds()
            try:
                # A request that may run again finds out itself whether the path works.
                sending = self._direct.exchange(attempt, verify_path=attempt.require_fresh)
                return await self._receive(attempt, sending)
            except exchange_results.ExchangeError as error:
                if error.fault is Fault.SILENT and not attempt.require_fresh:
                    attempt.on_loss()
                    # The request may have run, so a failure of the relay does not say more.
                    with contextlib.suppress(exchange_results.ExchangeError):
                        return await self._receive(attempt, self._relay(attempt))
                if error.fault is not Fault.CONNECT:
                    raise
                if self._is_server_suspect(started_at):
                    self._direct.check_others(attempt.address)
                    raise
        return await self._receive(attempt, self._relay(attempt))

    async def _receive(
        self,
        attempt: direct_exchange.Attempt,
        sending: Awaitable[exchange_results.ReceivedResponse],
    ) -> exchange_results.ReceivedResponse:
        """Return the response to a request that is being sent, for the run it is sent to."""
        run = self._run_of(attempt.server)
        received = await sending
        if run is not None:
            self._on_response(run, received.response)
        return received

    def _is_server_suspect(self, started_at: float) -> bool:
        """Return whether a connection timed out while other servers were heard.

        It is more likely the server then than the path, and the request tries another one at
        once.
        """
        is_slow = self._reactor.seconds() - started_at >= _SLOW_FAILURE_S
        return is_slow and self._direct.paths.heard_at >= started_at

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        self._direct.discard_idle(address)

    def tick(self, is_known: Callable[[str], bool]) -> None:
        """Try broken paths again, and check servers that have fallen silent.

        Args:
            is_known: Returns whether a server has an address.
        """
        self._direct.tick(is_known)
        self._log_change()

    async def _relay(
        self, attempt: direct_exchange.Attempt
    ) -> exchange_results.ReceivedResponse:
        """Send a request through another instance.

        Raises:
            exchange_results.ExchangeError: The exchange failed without a complete response.
        """
        peers = self._candidates(attempt)
        now = self._reactor.seconds()
        unreached = 0
        for peer in [p for p in peers if self._choice.may_ask(p.name, now)][:_MAX_RELAYS]:
            answer = await self._relay_through(peer, attempt)
            if answer is None:
                self._choice.record_refusal(peer.name, self._reactor.seconds())
            elif answer.outcome is Outcome.UNREACHED:
                unreached += 1
                if unreached >= _MIN_UNREACHED:
                    break
            else:
                return self._evaluate(answer, peer, attempt)
        raise self._unreached_error(attempt, unreached > 0, bool(peers))

    def _candidates(self, attempt: direct_exchange.Attempt) -> list[members.Member]:
        """Return the instances that may relay a request, the best one first."""
        if len(attempt.body) > relay_messages.MAX_BODY_BYTES:
            return []
        return self._choice.order(self._peers(), attempt.homes, self._reactor.seconds())

    def _unreached_error(
        self, attempt: direct_exchange.Attempt, is_server_fault: bool, has_peers: bool
    ) -> exchange_results.ExchangeError:
        """Return the error of a request that was not sent, with who seems to be at fault.

        Args:
            attempt: The request.
            is_server_fault: Whether instances that reach other servers do not reach this one.
            has_peers: Whether there are other instances that could have relayed it.
        """
        if is_server_fault:
            self._direct.paths.record_server_fault(attempt.address)
        fault = Fault.CONNECT
        if self.is_cut:
            fault = Fault.NO_PATH
        elif has_peers and not is_server_fault:
            fault = Fault.NO_RELAY
        return exchange_results.ExchangeError(fault, "no path to the server", False, False)

    async def _relay_through(
        self, peer: members.Member, attempt: direct_exchange.Attempt
    ) -> relay_messages.RelayResponse | None:
        """Return the answer of an instance, or None if it did not take the request.

        Raises:
            exchange_results.ExchangeError: The instance was lost, or the request may not be
                sent any more.
        """
        try:
            connection = await self._relays.open(peer)
        except relay_connections.RelayNotSentError:
            return None
        if not attempt.may_send():
            self._relays.keep(peer.name, connection)
            raise exchange_results.ExchangeError(Fault.WITHDRAWN, "not sent", False, False)
        head = attempt.build_head()
        request = relay_messages.RelayRequest(
            attempt.server,
            attempt.address,
            attempt.request_id,
            attempt.require_fresh,
            head.method,
            head.target,
            head.headers,
            attempt.body,
            attempt.fingerprint(),
        )
        try:
            answer = await self._relays.exchange(peer.name, connection, request)
        except relay_connections.RelayLostError as error:
            self._choice.record_loss(peer.name, self._reactor.seconds())
            text = f"{peer.name} was lost: {error}"
            raise exchange_results.ExchangeError(
                Fault.RESET, text, False, False, is_relayed=True
            ) from error
        return None if answer.outcome is Outcome.BUSY else answer

    def _evaluate(
        self,
        answer: relay_messages.RelayResponse,
        peer: members.Member,
        attempt: direct_exchange.Attempt,
    ) -> exchange_results.ReceivedResponse:
        """Return the response of a relayed request, and record what it says of the path.

        Raises:
            exchange_results.ExchangeError: There is none.
        """
        self._relayed_count += 1
        now = self._reactor.seconds()
        fault = _FAULT_BY_OUTCOME.get(answer.outcome)
        text = f"through {peer.name}: {answer.detail}"
        if fault is not None:
            if fault is not Fault.WITHDRAWN:
                # The other instance, its path or the server may be at fault.
                self._choice.record_loss(peer.name, now)
            raise exchange_results.ExchangeError(fault, text, False, False, is_relayed=True)
        self._choice.record_response(peer.name)
        self._direct.paths.record_reached_by_other(attempt.address, now)
        response = http1.Response(answer.status, answer.reason, answer.headers, answer.body)
        # Builds before version 6 relay any status.
        is_valid = http1.is_final_status(answer.status)
        if not is_valid or not _is_own(answer, attempt.match(response), attempt.is_repeat):
            raise exchange_results.ExchangeError(
                Fault.GARBLED, text, False, False, is_relayed=True
            )
        return exchange_results.ReceivedResponse(
            response, answer.headers, False, is_relayed=True
        )

    def _log_change(self) -> None:
        if self.is_cut == self._was_cut:
            return
        self._was_cut = not self._was_cut
        if self._was_cut:
            logs.warning("paths-lost", relayed=self._relayed_count)
        else:
            logs.event("paths-found", relayed=self._relayed_count, broken=self.broken_paths)


def _is_own(
    answer: relay_messages.RelayResponse, match: allocation.ResponseMatch, is_repeat: bool
) -> bool:
    """Return whether a relayed response is that of the request, and no copy of another.

    An older build may take a copy for the response: of one that bears no id, or of that to the
    same request when it was sent before.
    """
    if match is allocation.ResponseMatch.OTHER:
        return False
    if answer.is_identified:
        return True
    return match is allocation.ResponseMatch.NAMED and not is_repeat
