"""Sends requests to backend servers: directly, or through another instance.

Load pattern: this instance is cut from some or all servers while clients, the store and other
instances reach it. It keeps its clients, and holds the slots of their requests as ever; only
the bytes take the way through an instance that reaches the server.
"""

import random
import typing
from collections.abc import Awaitable, Callable, Coroutine, Sequence

import attrs
from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import server_paths
from carobhook.protocol import http1, relay_messages
from carobhook.state import ids, members
from carobhook.transport import relay_connections, relay_service, server_connections

Fault = server_connections.Fault
Outcome = relay_messages.RelayOutcome

# Instances that are asked to relay one request before it is given up.
_MAX_RELAYS = 3
# An instance that did not take a request is not asked again for this long.
_AVOID_S = 1.0
# Servers are checked if requests run and no server was heard for this long.
_SILENCE_S = 0.6
_CHECK_INTERVAL_S = 0.5
# A connection that takes this long to fail has timed out. Another instance would need as long
# to find the same, so the request does not wait for its finding.
_SLOW_FAILURE_S = 0.3
# A path works if a connection on it stays open for this long.
_PROBE_HOLD_S = 0.1
_FAULT_BY_OUTCOME = {
    outcome: fault for fault, outcome in relay_service.OUTCOME_BY_FAULT.items()
}


@attrs.frozen
class Attempt:
    """A request that is to be sent to a server whose slot it holds.

    Attributes:
        server: Id of the server.
        address: Address of the server, ``host:port``.
        homes: Regions whose instances may relay the request; empty for all.
        request_id: Id that the client gave the request, or None.
        build_head: Returns the head with the time that is left when it is called.
        body: Body of the request.
        require_fresh: Whether to use only connections that worked a moment ago, or new ones, as
            for a request that must not run twice.
        match: Returns whether a response belongs to this request.
        may_send: Returns whether the request may still be sent; called right before that.
    """

    server: ids.Server
    address: str
    homes: frozenset[ids.Region]
    request_id: str | None
    build_head: Callable[[], http1.RequestHead]
    body: bytes
    require_fresh: bool
    match: server_connections.ResponseMatcher
    may_send: Callable[[], bool]


class ServerExchange:
    """Exchanges with servers, by whatever path there is.

    Args:
        reactor: Source of time.
        rng: Chooses among the instances that can relay.
        region: Region of this instance.
        connections: Connections to servers.
        relays: Connections to instances that relay.
        peers: Returns the other instances that accept new work.
        is_reached_by_others: Returns whether other instances reach a server.
        on_response: Called with the server and each response.
        on_failure: Called with the failure of a check.
    """

    def __init__(
        self,
        reactor: typing.Any,
        rng: random.Random,
        region: ids.Region,
        connections: server_connections.ServerConnections,
        relays: relay_connections.RelayConnections,
        peers: Callable[[], Sequence[members.Member]],
        is_reached_by_others: Callable[[str], Awaitable[bool]],
        on_response: Callable[[ids.Server, http1.Response], object],
        on_failure: Callable[[typing.Any], object],
    ) -> None:
        self._reactor = reactor
        self._rng = rng
        self._region = region
        self._connections = connections
        self._relays = relays
        self._peers = peers
        self._is_reached_by_others = is_reached_by_others
        self._on_response = on_response
        self._on_failure = on_failure
        self._paths = server_paths.ServerPaths()
        self._was_cut = False
        self._running: dict[object, tuple[str, float]] = {}
        self._avoided_until: dict[ids.InstanceId, float] = {}
        self._checked_at = 0.0
        self._checking: set[str] = set()
        self._relayed_count = 0
        connections.on_opened = self._paths.record_opened

    @property
    def is_cut(self) -> bool:
        """Return whether this instance seems to be cut from all servers."""
        return self._paths.is_cut(self._reactor.seconds())

    @property
    def broken_paths(self) -> int:
        """Return the number of servers that other instances reach and this one does not."""
        return self._paths.broken_count

    @property
    def relayed_count(self) -> int:
        """Return the number of requests sent through other instances since the start."""
        return self._relayed_count

    async def exchange(self, attempt: Attempt) -> server_connections.ReceivedResponse:
        """Send a request to its server and return the complete response.

        Raises:
            server_connections.ExchangeError: The exchange failed without a complete response.
            twisted.internet.defer.CancelledError: The exchange was cancelled.
        """
        received = await self._exchange(attempt)
        self._on_response(attempt.server, received.response)
        return received

    async def _exchange(self, attempt: Attempt) -> server_connections.ReceivedResponse:
        if self._is_direct(attempt):
            started_at = self._reactor.seconds()
            try:
                return await self._exchange_directly(attempt)
            except server_connections.ExchangeError as error:
                is_new_reset = error.fault is Fault.RESET and not error.reused
                if is_new_reset or error.fault is Fault.CONNECT:
                    self._paths.record_failure(attempt.address, self._reactor.seconds())
                if error.fault is not Fault.CONNECT:
                    raise
                if self._is_server_suspect(started_at):
                    self._start_check(attempt.address, self._ask_others(attempt.address))
                    raise
        return await self._relay(attempt)

    def _is_server_suspect(self, started_at: float) -> bool:
        """Return whether a connection timed out while other servers were heard.

        It is more likely the server then than the path, and the request tries another one at
        once.
        """
        is_slow = self._reactor.seconds() - started_at >= _SLOW_FAILURE_S
        return is_slow and self._paths.heard_at >= started_at

    async def _ask_others(self, address: str) -> None:
        """Find out whether a server or the path to it is at fault."""
        if await self._is_reached_by_others(address):
            self._paths.record_reached_by_other(address, self._reactor.seconds())
        else:
            self._paths.record_server_fault(address)

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        self._connections.discard_idle(address)

    def tick(self, is_known: Callable[[str], bool]) -> None:
        """Try broken paths again, and check servers that have fallen silent.

        Args:
            is_known: Returns whether a server has an address.
        """
        now = self._reactor.seconds()
        self._paths.retain(is_known, now)
        for address in self._paths.due_probes(now):
            self._start_check(address, self._probe(address))
        if now - self._checked_at >= _CHECK_INTERVAL_S:
            self._checked_at = now
            running = self._running.values()
            heard_at = self._paths.heard_at
            for address in server_paths.silent_addresses(running, heard_at, now, _SILENCE_S):
                self._start_check(address, self._probe(address))
        self._log_change()

    def _is_direct(self, attempt: Attempt) -> bool:
        """Return whether to try the direct path: a connection works, or a new one may."""
        if not self._paths.is_blocked(attempt.address, self._reactor.seconds()):
            return True
        return self._connections.has_fresh(attempt.address)

    async def _exchange_directly(self, attempt: Attempt) -> server_connections.ReceivedResponse:
        run = object()
        self._running[run] = (attempt.address, self._reactor.seconds())
        try:
            received = await self._connections.exchange(
                attempt.address,
                attempt.build_head(),
                attempt.body,
                attempt.require_fresh,
                attempt.match,
                attempt.may_send,
            )
        finally:
            del self._running[run]
        self._paths.record_response(self._reactor.seconds())
        return received

    async def _relay(self, attempt: Attempt) -> server_connections.ReceivedResponse:
        """Send a request through another instance.

        Raises:
            server_connections.ExchangeError: The exchange failed without a complete response.
        """
        if len(attempt.body) <= relay_messages.MAX_BODY_BYTES:
            for peer in self._candidates(attempt.homes)[:_MAX_RELAYS]:
                answer = await self._relay_through(peer, attempt)
                if answer is not None:
                    return self._evaluate(answer, peer, attempt)
                self._avoided_until[peer.name] = self._reactor.seconds() + _AVOID_S
        fault = Fault.NO_PATH if self.is_cut else Fault.CONNECT
        raise server_connections.ExchangeError(fault, "no path to the server", False, False)

    async def _relay_through(
        self, peer: members.Member, attempt: Attempt
    ) -> relay_messages.RelayResponse | None:
        """Return the answer of an instance, or None if it did not take the request.

        Raises:
            server_connections.ExchangeError: The instance was lost, or the request may not be
                sent any more.
        """
        try:
            connection = await self._relays.open(peer)
        except relay_connections.RelayNotSentError:
            return None
        if not attempt.may_send():
            self._relays.keep(peer.name, connection)
            raise server_connections.ExchangeError(Fault.WITHDRAWN, "not sent", False, False)
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
        )
        try:
            answer = await self._relays.exchange(peer.name, connection, request)
        except relay_connections.RelayLostError as error:
            text = f"{peer.name} was lost: {error}"
            raise server_connections.ExchangeError(Fault.RESET, text, False, False) from error
        return None if answer.outcome is Outcome.BUSY else answer

    def _evaluate(
        self, answer: relay_messages.RelayResponse, peer: members.Member, attempt: Attempt
    ) -> server_connections.ReceivedResponse:
        """Return the response of a relayed request, and record what it says of the path.

        Raises:
            server_connections.ExchangeError: There is none.
        """
        self._relayed_count += 1
        if answer.outcome is Outcome.UNREACHED:
            self._paths.record_server_fault(attempt.address)
        elif answer.outcome is not Outcome.WITHDRAWN:
            self._paths.record_reached_by_other(attempt.address, self._reactor.seconds())
        fault = _FAULT_BY_OUTCOME.get(answer.outcome)
        text = f"through {peer.name}: {answer.detail}"
        if fault is not None:
            raise server_connections.ExchangeError(fault, text, False, False)
        response = http1.Response(answer.status, answer.reason, answer.headers, answer.body)
        if not attempt.match(response):
            raise server_connections.ExchangeError(Fault.GARBLED, text, False, False)
        return server_connections.ReceivedResponse(
            response, answer.headers, False, is_relayed=True
        )

    def _candidates(self, homes: frozenset[ids.Region]) -> list[members.Member]:
        """Return the instances that may relay, in the order in which they are asked.

        Those of this region come first. Among equals, the order is random, in proportion to
        their weights, so that the requests spread over them.
        """
        now = self._reactor.seconds()
        suitable = [
            peer
            for peer in self._peers()
            if (not homes or peer.region in homes)
            and self._avoided_until.get(peer.name, 0.0) <= now
        ]
        keys = {
            peer.name: (peer.region != self._region, self._rng.expovariate(peer.weight))
            for peer in suitable
        }
        return sorted(suitable, key=lambda peer: keys[peer.name])

    def _start_check(
        self, address: str, check: Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Start a check of a server, unless one is in progress."""
        if address in self._checking:
            check.close()
            return
        self._checking.add(address)
        running = defer.ensureDeferred(check)
        running.addBoth(self._end_check, address)
        running.addErrback(self._on_failure)

    def _end_check(self, result: typing.Any, address: str) -> typing.Any:
        self._checking.discard(address)
        return result

    async def _probe(self, address: str) -> None:
        """Try to connect to a server; the connection is kept for requests."""
        if await self._connections.probe(address, _PROBE_HOLD_S):
            self._paths.record_reached(address, self._reactor.seconds())
        else:
            self._paths.record_failure(address, self._reactor.seconds())

    def _log_change(self) -> None:
        if self.is_cut == self._was_cut:
            return
        self._was_cut = not self._was_cut
        if self._was_cut:
            logs.warning("paths-lost", relayed=self._relayed_count)
        else:
            logs.event("paths-found", relayed=self._relayed_count, broken=self.broken_paths)
