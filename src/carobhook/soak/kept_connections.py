"""Clients of the soak that keep their connections until the instance has stopped.

Each of them sends a single whole request at some time during the stop, on a connection that was
quiet until then, and notes when the connection ends.
"""

import random
import typing
from collections.abc import Sequence

import attrs
from twisted.internet import defer, protocol, task

from carobhook.protocol import http1
from carobhook.soak import raw_connections
from carobhook.standins import platform_client

# Connections to an instance that stops: those that have pipelined before, and those that never
# did.
_PIPELINING_COUNT = 12
_PLAIN_COUNT = 4
_WARM_UP_S = 1.0
_POLL_S = 0.01
# Time from the signal over which the requests are spread: the grace period of the instances.
_SPREAD_S = 6.0


@attrs.define
class KeptRequest:
    """A request on a connection that its client keeps.

    Attributes:
        id: Its id.
        plan: Its kind.
        sent_at: Monotonic time in seconds at which it was sent.
        response: Its response, or None.
        answered_at: Time of the response, or None.
        ended_at: Time at which the connection ended, or None if it is open.
    """

    id: str
    plan: platform_client.RequestPlan
    sent_at: float
    response: raw_connections.Response | None = None
    answered_at: float | None = None
    ended_at: float | None = None

    @property
    def attempt(self) -> platform_client.Attempt:
        """Return the request as an attempt, as other clients record them."""
        ended_at = self.answered_at or self.ended_at or self.sent_at
        return platform_client.Attempt(
            self.id,
            self.response.status if self.response else 0,
            ended_at - self.sent_at,
            body=self.response.body if self.response else b"",
            sent_at=self.sent_at,
        )


class _KeptConnection(raw_connections.RawConnection):
    """A connection that notes what becomes of its requests."""

    def __init__(self, reactor: typing.Any) -> None:
        super().__init__()
        self._reactor = reactor
        self._is_closing = False
        self._is_lost = False
        self._requests: list[KeptRequest] = []

    @property
    def is_quiet(self) -> bool:
        """Return whether no response is awaited any more."""
        return self._is_lost or all(r.response for r in self._requests)

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent: no response has announced the end."""
        return not self._is_lost and not self._is_closing

    def send(self, requests: Sequence[KeptRequest], data: bytes) -> None:
        """Send requests at once."""
        self._requests += requests
        self.transport.write(data)

    def response_received(self, response: raw_connections.Response) -> None:
        """Note the response to the first request that waits for one."""
        self._is_closing = self._is_closing or response.closes
        for request in self._requests:
            if request.response is None:
                request.response, request.answered_at = response, self._reactor.seconds()
                return

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        """Note the end of the connection."""
        self._is_lost = True
        for request in self._requests:
            request.ended_at = self._reactor.seconds()


class KeptConnections:
    """Keeps connections to instances that stop, until they end.

    Args:
        reactor: Source of time and connections.
        plans: Kinds of requests.
        rng: Random number generator.
        headers: Further headers of each request.

    Attributes:
        requests: All requests.
    """

    def __init__(
        self,
        reactor: typing.Any,
        plans: Sequence[platform_client.RequestPlan],
        rng: random.Random,
        headers: http1.Headers = (),
    ) -> None:
        self._reactor = reactor
        self._plans = plans
        self._rng = rng
        self._headers = headers
        self._connections: list[_KeptConnection] = []
        self._calls: list[typing.Any] = []
        self.requests: list[KeptRequest] = []

    async def use_during_stop(self, address: str) -> None:
        """Open connections to an instance right before its stop, and use them during the stop.

        Args:
            address: Address of the instance, ``host:port``.
        """
        counts = [2] * _PIPELINING_COUNT + [1] * _PLAIN_COUNT
        opening = [defer.ensureDeferred(self._open(address, count)) for count in counts]
        opened = [each for each in await defer.gatherResults(opening) if each is not None]
        end_at = self._reactor.seconds() + _WARM_UP_S
        while self._reactor.seconds() < end_at and not all(c.is_quiet for c in opened):
            await task.deferLater(self._reactor, _POLL_S)
        self._spread(opened[:_PIPELINING_COUNT])
        self._spread(opened[_PIPELINING_COUNT:])

    def stop(self) -> None:
        """Send no more, and close all connections."""
        for call in self._calls:
            if call.active():
                call.cancel()
        for connection in self._connections:
            connection.transport.abortConnection()

    async def _open(self, address: str, count: int) -> _KeptConnection | None:
        """Open a connection and send its first requests, which are repeatable, at once."""
        connection = await raw_connections.connect(
            self._reactor, address, _KeptConnection(self._reactor)
        )
        if connection is not None:
            self._connections.append(connection)
            self._send(connection, [plan for plan in self._plans if plan.repeatable], count)
        return connection

    def _spread(self, connections: Sequence[_KeptConnection]) -> None:
        """Let each connection send once, each at a random time in its part of the stop."""
        for number, connection in enumerate(connections):
            delay_s = (number + self._rng.random()) * _SPREAD_S / len(connections)
            call = self._reactor.callLater(delay_s, self._send_single, connection)
            self._calls.append(call)

    def _send_single(self, connection: _KeptConnection) -> None:
        if connection.is_usable:
            self._send(connection, self._plans, 1)

    def _send(
        self,
        connection: _KeptConnection,
        plans: Sequence[platform_client.RequestPlan],
        count: int,
    ) -> None:
        requests, data = [], b""
        for _ in range(count):
            plan = self._rng.choice(plans)
            request = KeptRequest(
                f"kept-{self._rng.getrandbits(64):x}", plan, self._reactor.seconds()
            )
            requests.append(request)
            data += raw_connections.encode_request(plan, request.id, self._rng, self._headers)
        self.requests += requests
        connection.send(requests, data)
