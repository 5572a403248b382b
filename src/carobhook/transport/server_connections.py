"""Connections to servers: each carries one exchange at a time and is reused for the next."""

import collections
import typing
from collections.abc import Callable, Sequence

import attrs
from twisted.internet import defer, error, protocol

from carobhook import logs
from carobhook.protocol import http1, path_messages
from carobhook.transport import exchange_results, response_memory, server_connection

Connection = server_connection.ServerConnection
Fault = exchange_results.Fault
_Listener = exchange_results.Listener

# A middlebox can drop the state of an idle connection, which is noticed only when a request on
# that connection is lost. A request that must not run twice could not be retried then, so it
# uses only connections that were idle for at most this long.
_MAX_FRESH_IDLE_S = 1.0
# Memory that the bodies of all responses which are being received may use together, unless
# stated otherwise. A single body may use all of it.
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024


@attrs.frozen
class Question:
    """How a server is asked whether it is the expected one.

    Attributes:
        build_head: Returns the head of the request, or None if the server may not get any;
            called right before it is sent, as opening a connection takes time.
        is_other: Returns whether the response is that of another server, None if it does not
            tell.
    """

    build_head: Callable[[], http1.RequestHead | None]
    is_other: Callable[[http1.Response], bool | None]


def _may_always_send() -> bool:
    return True


class ServerConnections:
    """Pool of connections to servers.

    Args:
        reactor: Source of time, timers and connections.
        connect_timeout_s: Seconds after which opening a connection fails.
        max_response_bytes: Largest size of all response bodies that are being received.
        local_host: Local IP address of the connections; empty for any.
    """

    def __init__(
        self,
        reactor: typing.Any,
        connect_timeout_s: float,
        max_response_bytes: int = _MAX_RESPONSE_BYTES,
        local_host: str = "",
    ) -> None:
        self._reactor = reactor
        self._local_address = (local_host, 0) if local_host else None
        self._memory = response_memory.ResponseMemory(max_response_bytes)
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, collections.deque[Connection]] = {}
        self._opened_count = 0
        self._surplus = server_connection.SurplusCount()

    @property
    def opened_count(self) -> int:
        """Return the number of connections opened since the start."""
        return self._opened_count

    @property
    def surplus_count(self) -> int:
        """Return the number of responses since the start that belonged to no request."""
        return self._surplus.count

    async def exchange(
        self,
        address: str,
        head: http1.RequestHead,
        body: bytes,
        require_fresh: bool,
        identification: server_connection.Identification | None = None,
        may_send: Callable[[], bool] = _may_always_send,
        on_data: Callable[[], object] = server_connection.ignore_data,
        on_sending: Callable[[float], object] = server_connection.ignore_sending,
    ) -> exchange_results.ReceivedResponse:
        """Send a request to a server and return its complete response.

        Args:
            address: ``host:port`` of the server.
            head: Request line and headers, without Content-Length.
            body: Request body.
            require_fresh: Whether to use only a new connection or one that was idle only
                briefly, as for a request that must not run twice.
            identification: How its response is told from copies of others, which decides on
                what connections it may be sent; None if the server sends each response once.
            may_send: Returns whether the request may still be sent; called right before that,
                as opening a connection takes time.
            on_data: Called when a part of the response arrives.
            on_sending: Called right before the request is sent, with a monotonic time in
                seconds at or after which the server ran by what its connection tells.

        Raises:
            exchange_results.ExchangeError: The exchange failed without a complete response.
            twisted.internet.defer.CancelledError: The exchange was cancelled; the connection
                is closed.
        """
        connection = self._pop_idle(address, require_fresh, identification)
        if connection is None:
            connection = await self._connect(address)
        if not may_send():
            self._keep_idle(address, connection)
            raise exchange_results.ExchangeError(Fault.WITHDRAWN, "not sent", False, False)
        on_sending(connection.alive_at)
        received = await connection.exchange(head, body, identification, on_data)
        self._keep_idle(address, connection)
        return received

    def has_fresh(self, address: str, request_id: str | None) -> bool:
        """Return whether a request would get an idle connection that worked a moment ago.

        One that was opened and carried nothing says nothing of the path.

        Args:
            address: Address of the server, ``host:port``.
            request_id: Id of the request, or None.
        """
        now = self._reactor.seconds()
        used = [c for c in self._idle.get(address, ()) if c.exchange_count]
        return any(
            _is_within_idle_limit(c, now, _MAX_FRESH_IDLE_S) and c.may_carry(request_id)
            for c in used
        )

    async def probe(self, address: str) -> bool:
        """Return whether a server accepts a connection, which is then kept for requests.

        Args:
            address: ``host:port`` of the server.
        """
        try:
            connection = await self._connect(address)
        except exchange_results.ExchangeError:
            return False
        self._keep_idle(address, connection)
        return connection.is_reusable

    async def find_listener(
        self, address: str, questions: Sequence[Question], timeout_s: float
    ) -> exchange_results.Listener:
        """Return who listens at the address of a server.

        Args:
            address: ``host:port`` of the server.
            questions: How to ask whoever accepts a connection, each if the one before it told
                nothing.
            timeout_s: Seconds in which each answer must arrive.
        """
        for question in questions:
            try:
                connection = await self._connect(address)
            except exchange_results.ExchangeError as failure:
                return _Listener.REFUSED if failure.is_refused else _Listener.UNREACHED
            head = question.build_head()
            if head is None:
                self._keep_idle(address, connection)
                return _Listener.SILENT
            try:
                response = await self._ask(address, connection, head, timeout_s)
            except (exchange_results.ExchangeError, defer.TimeoutError):
                return _Listener.SILENT
            is_other = question.is_other(response)
            if is_other is not None:
                return _Listener.OTHER if is_other else _Listener.PRESENT
        return _Listener.SILENT

    async def _ask(
        self, address: str, connection: Connection, head: http1.RequestHead, timeout_s: float
    ) -> http1.Response:
        """Return the response to a request on a connection, which carries nothing else.

        Raises:
            exchange_results.ExchangeError: The exchange failed.
            twisted.internet.defer.TimeoutError: It took too long.
        """
        asking = connection.exchange(head, b"", server_connection.UNIDENTIFIED)
        asking.addTimeout(timeout_s, self._reactor)
        try:
            received = await asking
        finally:
            connection.abort()
        status = received.response.status
        logs.event(
            "server-probed", address=address, status=status, connection=connection.number
        )
        return typing.cast(http1.Response, received.response)

    async def probe_response(
        self,
        address: str,
        build_head: Callable[[], http1.RequestHead | None],
        timeout_s: float,
    ) -> path_messages.Reach:
        """Return whether a server responds on a new connection, which carries nothing else.

        Args:
            address: ``host:port`` of the server.
            build_head: Returns the head of the request, or None if the server may not get any;
                called right before it is sent, as opening a connection takes time.
            timeout_s: Seconds in which the connection must open and the response arrive.
        """
        probing = defer.ensureDeferred(self._probe_response(address, build_head))
        probing.addTimeout(timeout_s, self._reactor)
        try:
            return typing.cast(path_messages.Reach, await probing)
        except (exchange_results.ExchangeError, defer.TimeoutError):
            return path_messages.Reach.UNREACHED

    async def _probe_response(
        self, address: str, build_head: Callable[[], http1.RequestHead | None]
    ) -> path_messages.Reach:
        connection = await self._connect(address)
        head = build_head()
        if head is None:
            self._keep_idle(address, connection)
            return path_messages.Reach.UNKNOWN
        received = await connection.exchange(head, b"", server_connection.UNIDENTIFIED)
        logs.event(
            "server-probed",
            address=address,
            status=received.response.status,
            connection=connection.number,
        )
        return path_messages.Reach.REACHED

    def _keep_idle(self, address: str, connection: Connection) -> None:
        if connection.is_reusable:
            self._idle.setdefault(address, collections.deque()).append(connection)

    def close_idle(self, now: float) -> None:
        """Close the connections that were idle for too long to be reused.

        Args:
            now: Monotonic time in seconds.
        """
        for address, idle in list(self._idle.items()):
            kept = collections.deque(
                c for c in idle if _is_within_idle_limit(c, now, c.idle_limit_s)
            )
            for connection in set(idle) - set(kept):
                connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def stop(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.discard_idle(address)

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def _pop_idle(
        self,
        address: str,
        require_fresh: bool,
        identification: server_connection.Identification | None,
    ) -> Connection | None:
        """Return the idle connection used last that may carry a request, or None."""
        now = self._reactor.seconds()
        idle = self._idle.get(address)
        passed_over = []
        found: Connection | None = None
        while idle and found is None:
            connection = idle.pop()
            max_idle_s = connection.idle_limit_s
            if require_fresh:
                max_idle_s = min(max_idle_s, _MAX_FRESH_IDLE_S)
            if not _is_within_idle_limit(connection, now, max_idle_s):
                connection.abort()
            elif identification is None or connection.may_carry(identification.request_id):
                found = connection
            else:
                passed_over.append(connection)
        if idle is not None:
            idle.extend(reversed(passed_over))
        return found

    async def _connect(self, address: str) -> Connection:
        started_at = self._reactor.seconds()
        host, _, port = address.rpartition(":")
        creator = protocol.ClientCreator(
            self._reactor,
            Connection,
            self._reactor.seconds,
            self._memory,
            self._surplus,
        )
        try:
            connection = await creator.connectTCP(
                host, int(port), self._connect_timeout_s, self._local_address
            )
        except (error.ConnectError, OSError) as failure:
            raise exchange_results.ExchangeError(
                Fault.CONNECT,
                str(failure),
                False,
                False,
                is_refused=isinstance(failure, error.ConnectionRefusedError),
            ) from failure
        self._opened_count += 1
        connection.number = self._opened_count
        connection.alive_at = started_at
        return connection


def _is_within_idle_limit(connection: Connection, now: float, max_idle_s: float) -> bool:
    return connection.is_reusable and now - connection.idle_since <= max_idle_s
