"""Graceful stop of an instance: finishes the requests of clients, then closes their sockets.

Load pattern: operators stop instances one after the other while clients go on using the
connections that they have. Until they have learned that an instance leaves, a request may be on
its way on any of them, and it is served or refused, but never dropped.
"""

import typing
from collections.abc import Callable, Sequence

import attrs
from twisted.internet import defer, task

from carobhook import logs
from carobhook.transport import client_connections, entry_endpoints, entry_requests

# A stopping instance accepts new connections for this long, or until its grace period ends.
# Clients cache the response to a directory lookup for its time to live, so those that looked up
# this instance just before still connect to it. Those that cache it for longer are refused a
# connection and use another instance, and this one ends, and is started again, sooner.
_ACCEPT_S = entry_endpoints.DIRECTORY_TTL_S + 0.3
# After this share of the grace period at the latest, it refuses requests that might not end
# before it does; other instances can serve them.
_ACCEPT_RATIO = 0.45
_STOP_POLL_INTERVAL_S = 0.05
_CLOSE_POLL_INTERVAL_S = 0.01
# Requests that no server runs are refused this long before all others are aborted, so that the
# responses are sent before the connections are closed.
_REFUSE_WAITING_S = 0.2
# A stop waits at most this long until clients have read the last responses, and at most this
# long, in all, until their connections are closed.
_MAX_SEND_S = 0.2
_MAX_CLOSE_S = 0.3
# Share of the grace period, at its end, that is kept for the exit. Requests are aborted when it
# begins, so that the last responses can be sent and the process exits before it is killed.
_GRACE_MARGIN_RATIO = 0.15


@attrs.frozen
class StopTimes:
    """When the steps of a stop begin, as monotonic times in seconds.

    Attributes:
        limit_at: From then on, requests that might not end in time are refused.
        close_at: New connections are refused, and idle ones closed.
        refuse_at: Requests that wait for a slot are refused.
        abort_at: Requests that run are aborted, and all sockets closed.
    """

    limit_at: float
    close_at: float
    refuse_at: float
    abort_at: float

    @classmethod
    def within(cls, started_at: float, grace_s: float) -> "StopTimes":
        """Return the times of a stop.

        Args:
            started_at: Monotonic time in seconds at which the stop begins.
            grace_s: Seconds after which the process is killed.
        """
        abort_at = started_at + grace_s * (1 - _GRACE_MARGIN_RATIO)
        refuse_at = abort_at - _REFUSE_WAITING_S
        return cls(
            started_at + min(_ACCEPT_S, grace_s * _ACCEPT_RATIO),
            min(started_at + _ACCEPT_S, refuse_at),
            refuse_at,
            abort_at,
        )


@attrs.frozen
class ClientSide:
    """What an instance has open for its clients.

    Attributes:
        requests: Requests in progress.
        requests_listener: Listener of their connections.
        other_listeners: Listeners of the other ports that clients use.
        relays_in_flight: Returns the number of requests that are relayed for other instances.
        queued: Returns the number of requests that wait for a slot.
    """

    requests: entry_requests.EntryRequests
    requests_listener: client_connections.ClientListener
    other_listeners: Sequence[client_connections.ClientListener]
    relays_in_flight: Callable[[], int]
    queued: Callable[[], int]


class GracefulStop:
    """Stops the client side of an instance.

    Args:
        reactor: Source of time and timers.
        clients: What is open for clients.
    """

    def __init__(self, reactor: typing.Any, clients: ClientSide) -> None:
        self._reactor = reactor
        self._clients = clients
        self._requests = clients.requests
        self._listener = clients.requests_listener

    async def finish_requests(self, request_port: typing.Any, times: StopTimes) -> None:
        """Serve requests until none is in progress and no connection open, or time is up.

        Connections are accepted, and idle ones kept open, for some time even if no request is
        in progress: until clients have learned that this instance leaves, a request may be on
        its way on any of them. From then on, requests that might not end in time are refused.
        Shortly before the end of the grace period, requests that wait are refused.

        Args:
            request_port: Listening port of the requests.
            times: When the steps begin.
        """
        self._listener.closes_when_answered = True
        await self._wait_until(times.limit_at)
        self._requests.limit_to(times.abort_at)
        await self._wait_until(times.close_at)
        await self._accept_opened()
        await defer.maybeDeferred(request_port.stopListening)
        await self._wait_until(times.refuse_at, until_idle=True)
        self._requests.refuse_waiting()
        await self._wait_until(times.abort_at, until_idle=True)
        logs.event(
            "instance-closing",
            requests=self._requests.in_flight,
            queued=self._clients.queued(),
            connections=self._listener.open_connections,
            late_ms=round((self._reactor.seconds() - times.abort_at) * 1000, 1),
        )

    async def close_connections(self, ports: Sequence[typing.Any]) -> None:
        """Abort what is in progress, as requests that may have run, and close all connections.

        Args:
            ports: Listening ports to stop.
        """
        began_at = self._reactor.seconds()
        listeners = (self._listener, *self._clients.other_listeners)
        for listener in listeners:
            listener.stop_reading()
        self._requests.refuse_waiting()
        self._requests.abort()
        await self._send_responses(began_at + _MAX_SEND_S)
        for port in ports:
            await defer.maybeDeferred(port.stopListening)
        for listener in listeners:
            listener.end()
        await self._wait_for_closes(listeners, began_at + _MAX_CLOSE_S)
        for listener in listeners:
            listener.abort()
        # The reactor closes what was aborted in its next turn.
        await task.deferLater(self._reactor, 0)

    async def _accept_opened(self) -> None:
        """Let the reactor accept the connections that the system has opened by now.

        They would be reset as the port closes. A reactor that runs its timers may come to its
        sockets in the turn after next.
        """
        for _ in range(2):
            await task.deferLater(self._reactor, 0)

    async def _wait_until(self, end_at: float, until_idle: bool = False) -> None:
        """Wait until a time.

        Args:
            end_at: Monotonic time in seconds.
            until_idle: Whether to close idle connections meanwhile, and to wait no longer once
                there are no requests and no connections.
        """
        while self._reactor.seconds() < end_at:
            if until_idle:
                in_flight = self._requests.in_flight + self._clients.relays_in_flight()
                if not in_flight and not self._listener.open_connections:
                    return
                self._listener.close_idle()
            await task.deferLater(self._reactor, _STOP_POLL_INTERVAL_S)

    async def _send_responses(self, end_at: float) -> None:
        """Wait until clients have read the last responses, or until a time.

        Args:
            end_at: Monotonic time in seconds.
        """
        await task.deferLater(self._reactor, _STOP_POLL_INTERVAL_S)
        while self._listener.blocked_connections and self._reactor.seconds() < end_at:
            await task.deferLater(self._reactor, _STOP_POLL_INTERVAL_S)

    async def _wait_for_closes(
        self, listeners: Sequence[client_connections.ClientListener], end_at: float
    ) -> None:
        """Wait until all connections of clients are closed, or until a time.

        The reactor ends with the stop. Connections that it has not closed by then stay open
        until the process ends.

        Args:
            listeners: Listeners of the connections.
            end_at: Monotonic time in seconds.
        """
        while self._reactor.seconds() < end_at:
            if not any(listener.open_connections for listener in listeners):
                return
            await task.deferLater(self._reactor, _CLOSE_POLL_INTERVAL_S)
