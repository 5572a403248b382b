"""Sends requests straight to backend servers, and finds out which paths to them work.

The requests of this instance's clients and those that it relays for other instances take this
way, so the failures of both count for its paths.
"""

import random
import typing
from collections.abc import Awaitable, Callable, Coroutine, Sequence

import attrs
from twisted.internet import defer

from carobhook.coordination import server_paths
from carobhook.protocol import http1, path_messages
from carobhook.state import ids
from carobhook.transport import (
    exchange_results,
    server_connection,
    server_connections,
    shared_calls,
)

Fault = exchange_results.Fault
Reach = path_messages.Reach

# Servers are checked if requests run and no server was heard for this long.
_SILENCE_S = 0.6
_CHECK_INTERVAL_S = 0.5
# A server that answers no probe within this time is not reached.
_PROBE_TIMEOUT_S = 0.5
# Other servers that are tried to find out whether new connections of this instance work.
_MAX_SAMPLED = 2


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
        on_silence: Called if the path broke after the request was sent, and the request has to
            wait, as it must not run twice. A response may still come, but no server needs the
            slot for it any more.
        is_repeat: Whether the request was sent before.
        fingerprint: Returns the fingerprint of the request as its marks have it, or nothing.
        on_loss: Called if the request was sent and lost, before it is sent once more.
        on_sending: Called right before the request is sent on a connection of this instance,
            with a monotonic time in seconds at or after which the server ran.
    """

    server: ids.Server
    address: str
    homes: frozenset[ids.Region]
    request_id: str | None
    build_head: Callable[[], http1.RequestHead]
    body: bytes
    require_fresh: bool
    match: server_connection.ResponseMatcher
    may_send: Callable[[], bool]
    on_silence: Callable[[], object] = lambda: None
    is_repeat: bool = False
    fingerprint: Callable[[], bytes] = bytes
    on_loss: Callable[[], object] = lambda: None
    on_sending: Callable[[float], object] = server_connection.ignore_sending


@attrs.define(eq=False)
class _RunningExchange:
    """An exchange in progress.

    Attributes:
        attempt: The request.
        started_at: Monotonic time in seconds.
        response: Result of the exchange; cancelling it closes the connection.
        is_silent: Whether it was found that the path broke.
        is_given_up: Whether this class cancelled it for that.
    """

    attempt: Attempt
    started_at: float
    response: defer.Deferred
    is_silent: bool = False
    is_given_up: bool = False


@attrs.frozen
class KnownServers:
    """What the exchange asks about the servers that this instance knows.

    Attributes:
        count: Returns how many there are.
        usable_addresses: Returns the addresses of those that may get requests.
        build_probe: Returns the head of a probe of the server at an address, which no server
            runs; None if the server may not get requests.
    """

    count: Callable[[], int]
    usable_addresses: Callable[[], Sequence[str]]
    build_probe: Callable[[str], http1.RequestHead | None]


class DirectExchange:
    """Exchanges with servers over connections of this instance.

    Args:
        reactor: Source of time.
        rng: Chooses servers that are tried.
        connections: Connections to servers.
        known_servers: Answers questions about the servers.
        reach_of_others: Returns whether other instances reach a server.
        on_failure: Called with the failure of a check.
        on_response: Called with a server and each response on a connection to it.
    """

    def __init__(
        self,
        reactor: typing.Any,
        rng: random.Random,
        connections: server_connections.ServerConnections,
        known_servers: KnownServers,
        reach_of_others: Callable[[str], Awaitable[Reach]],
        on_failure: Callable[[typing.Any], object],
        on_response: Callable[
            [ids.Server, exchange_results.ReceivedResponse], object
        ] = lambda server, received: None,
    ) -> None:
        self._reactor = reactor
        self._rng = rng
        self._connections = connections
        self._known_servers = known_servers
        self._reach_of_others = reach_of_others
        self._on_failure = on_failure
        self._on_response = on_response
        self._paths = server_paths.ServerPaths(known_servers.count)
        self._running: set[_RunningExchange] = set()
        self._checked_at = 0.0
        self._checking: set[str] = set()
        self._probes = shared_calls.SharedCalls(self._send_probe)

    @property
    def paths(self) -> server_paths.ServerPaths:
        """Return what is known of the paths to the servers."""
        return self._paths

    @property
    def is_cut(self) -> bool:
        """Return whether this instance seems to be cut from all servers."""
        return self._paths.is_cut(self._reactor.seconds())

    def is_usable(self, attempt: Attempt) -> bool:
        """Return whether to try the direct path: a connection works, or a new one may."""
        if not self._paths.is_blocked(attempt.address, self._reactor.seconds()):
            return True
        return self._connections.has_fresh(attempt.address, attempt.request_id)

    async def exchange(
        self, attempt: Attempt, verify_path: bool
    ) -> exchange_results.ReceivedResponse:
        """Send a request to its server and return the complete response.

        Args:
            attempt: The request.
            verify_path: Whether the request is sent only where a server was heard lately, or
                answers a probe first.

        Raises:
            exchange_results.ExchangeError: The exchange failed without a complete response.
            twisted.internet.defer.CancelledError: The exchange was cancelled.
        """
        if verify_path:
            await self._verify(attempt)
        received = await self._send(attempt)
        now = self._reactor.seconds()
        self._paths.record_response(attempt.address, not received.reused, now)
        self._on_response(attempt.server, received)
        return received

    async def _send(self, attempt: Attempt) -> exchange_results.ReceivedResponse:
        sending = self._connections.exchange(
            attempt.address,
            attempt.build_head(),
            attempt.body,
            attempt.require_fresh,
            server_connection.Identification(attempt.request_id, attempt.match),
            attempt.may_send,
            on_sending=attempt.on_sending,
        )
        run = _RunningExchange(attempt, self._reactor.seconds(), defer.ensureDeferred(sending))
        self._running.add(run)
        try:
            return typing.cast(exchange_results.ReceivedResponse, await run.response)
        except exchange_results.ExchangeError as error:
            self._record_failure(attempt.address, error)
            raise
        except defer.CancelledError:
            if not run.is_given_up:
                # The request was cancelled by whoever sent it, perhaps long after its silence.
                raise
            text = "the connection carries nothing any more"
            raise exchange_results.ExchangeError(Fault.SILENT, text, True, False) from None
        finally:
            self._running.discard(run)

    async def exchange_for_other(self, attempt: Attempt) -> exchange_results.ReceivedResponse:
        """Send a request that another instance relays through this one.

        Raises:
            exchange_results.ExchangeError: The exchange failed without a complete response.
                The fault NO_PATH says that it was not sent, and nothing about the server.
            twisted.internet.defer.CancelledError: The exchange was cancelled.
        """
        try:
            return await self.exchange(attempt, verify_path=True)
        except exchange_results.ExchangeError as error:
            is_unreached = error.fault is Fault.CONNECT
            if is_unreached and not await self.opens_connections(attempt.address):
                text = "this instance reaches no other server either"
                raise exchange_results.ExchangeError(
                    Fault.NO_PATH, text, False, False
                ) from error
            raise

    async def opens_connections(self, other_than: str) -> bool:
        """Return whether new connections to servers work here.

        Only then does a failure to reach a server say anything about that server.

        Args:
            other_than: Address of that server, ``host:port``.
        """
        if self._paths.opened_lately(self._reactor.seconds()):
            return True
        others = [
            address
            for address in self._known_servers.usable_addresses()
            if address != other_than and not self._paths.has_failed(address)
        ]
        for address in self._rng.sample(others, min(_MAX_SAMPLED, len(others))):
            if await self._probes.call(address) is Reach.REACHED:
                return True
        return False

    def check_others(self, address: str) -> None:
        """Find out in the background whether a server or the path to it is at fault."""
        self._start_check(address, self._ask_others(address))

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        self._connections.discard_idle(address)

    def stop(self) -> None:
        """End the probes in progress."""
        self._probes.cancel()

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
            running = [(run.attempt.address, run.started_at) for run in self._running]
            heard_at = self._paths.heard_at
            for address in server_paths.silent_addresses(running, heard_at, now, _SILENCE_S):
                self._start_check(address, self._probe(address))
            self._give_up_silent(now)

    def _give_up_silent(self, now: float) -> None:
        """Give up the requests whose paths broke under them, or the slots that they hold.

        Load pattern: an instance is cut from all servers, and its open connections carry
        nothing any more. Its requests would hold their slots until their deadlines, for which
        the clients of all instances would wait.

        Args:
            now: Monotonic time in seconds.
        """
        if now - self._paths.heard_at < _SILENCE_S:
            return
        for run in list(self._running):
            is_old = now - run.started_at >= _SILENCE_S
            is_broken = is_old and self._paths.is_blocked(run.attempt.address, now)
            if not is_broken or run.is_silent:
                continue
            run.is_silent = True
            if run.attempt.require_fresh:
                run.attempt.on_silence()
            else:
                run.is_given_up = True
                run.response.cancel()

    def _record_failure(self, address: str, error: exchange_results.ExchangeError) -> None:
        """Record what a failed exchange says of the path to its server."""
        is_new_reset = error.fault is Fault.RESET and not error.reused
        if not is_new_reset and error.fault is not Fault.CONNECT:
            return
        self._paths.record_failure(address, self._reactor.seconds())
        if is_new_reset:
            # The request may have run, so no other instance finds out by sending it.
            self.check_others(address)

    async def _verify(self, attempt: Attempt) -> None:
        """Make sure that a request will reach its server, as far as can be known.

        Raises:
            exchange_results.ExchangeError: It would not; the fault is CONNECT.
        """
        now = self._reactor.seconds()
        address = attempt.address
        if self._paths.is_proven(address, now):
            return
        if self._connections.has_fresh(address, attempt.request_id):
            return
        is_failing = self._paths.failed_lately(address, now)
        if is_failing or await self._probes.call(address) is Reach.UNREACHED:
            text = "the path to the server does not work"
            raise exchange_results.ExchangeError(Fault.CONNECT, text, False, False)

    async def _ask_others(self, address: str) -> None:
        """Find out whether a server or the path to it is at fault."""
        reach = await self._reach_of_others(address)
        if reach is Reach.REACHED:
            self._paths.record_reached_by_other(address, self._reactor.seconds())
        elif reach is Reach.UNREACHED:
            self._paths.record_server_fault(address)

    async def _probe(self, address: str) -> None:
        """Probe a server; if it does not answer, find out why."""
        is_unreached = await self._probes.call(address) is Reach.UNREACHED
        if is_unreached and not self._paths.is_confirmed(address):
            await self._ask_others(address)

    async def _send_probe(self, address: str) -> Reach:
        """Find out whether a server answers on a new connection."""
        reach = await self._connections.probe_response(
            address, lambda: self._known_servers.build_probe(address), _PROBE_TIMEOUT_S
        )
        now = self._reactor.seconds()
        if reach is Reach.REACHED:
            self._paths.record_response(address, True, now)
        elif reach is Reach.UNREACHED:
            self._paths.record_failure(address, now)
        return reach

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
        running.addErrback(self._report)

    def _report(self, reason: typing.Any) -> None:
        if not reason.check(defer.CancelledError):
            self._on_failure(reason)

    def _end_check(self, result: typing.Any, address: str) -> typing.Any:
        self._checking.discard(address)
        return result
