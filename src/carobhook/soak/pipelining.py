"""Clients of the soak that send several requests at once, and may read the responses late."""

import collections
import random
import typing
from collections.abc import Sequence

from twisted.internet import protocol, task

from carobhook.protocol import http1
from carobhook.soak import raw_connections
from carobhook.standins import platform_client

ID_PREFIX = "pipelined-"
_BATCH_SIZE = 3
# Requests that are sent at once to an instance that is about to stop; as many as it starts.
_STOP_BATCH_SIZE = 8
_INTERVAL_S = 0.5
_READ_DELAY_S = 1.0


class _Connection(raw_connections.RawConnection):
    """A connection that checks to which requests the responses belong."""

    def __init__(self, client: "PipeliningClient") -> None:
        super().__init__()
        self._client = client
        self._expected: collections.deque[str] = collections.deque()

    @property
    def unanswered(self) -> list[str]:
        """Return the ids of the requests without a response, in the order of sending."""
        return list(self._expected)

    def send(self, requests: Sequence[tuple[str, bytes]]) -> None:
        """Send requests, each with its id."""
        self._expected.extend(request_id for request_id, _ in requests)
        self.transport.write(b"".join(data for _, data in requests))

    def response_received(self, response: raw_connections.Response) -> None:
        """Check a response against the request whose turn it is."""
        expected = self._expected.popleft() if self._expected else None
        self._client.check(expected, response.status, response.body)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        self._client.connection_lost(self)


class PipeliningClient:
    """Sends batches of repeatable requests on one connection at a time.

    Args:
        reactor: Source of time and connections.
        addresses: Addresses of instances, ``host:port``; each connection is to one of them.
        plans: Kinds of requests, of which the repeatable ones are sent.
        rng: Random number generator.
        reads_late: Whether the responses to a batch are read after a second.
        headers: Further headers of each request.

    Attributes:
        prefixes: Path prefix of each request sent, by its id.
        answered: Number of responses with status 200.
        unanswered: Ids of the requests whose connection was closed before their response.
        violations: Responses that belong to another request, one line each.
    """

    def __init__(
        self,
        reactor: typing.Any,
        addresses: Sequence[str],
        plans: Sequence[platform_client.RequestPlan],
        rng: random.Random,
        reads_late: bool,
        headers: http1.Headers = (),
    ) -> None:
        self._reactor = reactor
        self._addresses = addresses
        self._plans = [plan for plan in plans if plan.repeatable]
        self._rng = rng
        self._reads_late = reads_late
        self._headers = headers
        self._connection: _Connection | None = None
        self._stop_connections: list[_Connection] = []
        self._call = task.LoopingCall(self._send_batch)
        self._call.clock = reactor
        self._read_call: typing.Any = None
        self._is_stopped = False
        self.prefixes: dict[str, str] = {}
        self.answered = 0
        self.unanswered: list[str] = []
        self.violations: list[str] = []

    def start(self) -> None:
        """Send batches until `stop`."""
        self._call.start(_INTERVAL_S * (3 if self._reads_late else 1))

    def stop(self) -> None:
        """Send no more, and close the connection."""
        self._is_stopped = True
        if self._call.running:
            self._call.stop()
        if self._read_call is not None and self._read_call.active():
            self._read_call.cancel()
        for connection in (self._connection, *self._stop_connections):
            if connection is not None:
                connection.transport.abortConnection()

    async def send_before_stop(self, address: str) -> None:
        """Send a batch to an instance that is about to stop, on a connection of its own.

        Args:
            address: Address of the instance, ``host:port``.
        """
        connection = await self._connect(address)
        if connection is not None:
            self._stop_connections.append(connection)
            connection.send([self._request() for _ in range(_STOP_BATCH_SIZE)])

    def check(self, request_id: str | None, status: int, body: bytes) -> None:
        """Check a response against the id of the request whose turn it is."""
        if status != 200:
            return
        self.answered += 1
        if request_id is None or body != request_id.encode():
            self.violations.append(f"{request_id} got the response {body!r:.40} in its turn")

    def connection_lost(self, connection: _Connection) -> None:
        """Record what was not answered, and use a new connection for the next batch."""
        if not self._is_stopped:
            self.unanswered += connection.unanswered
        if connection in self._stop_connections:
            self._stop_connections.remove(connection)
        if self._connection is connection:
            self._connection = None

    async def _connect(self, address: str) -> _Connection | None:
        """Return a new connection to an instance, or None if it accepts none."""
        return await raw_connections.connect(self._reactor, address, _Connection(self))

    async def _send_batch(self) -> None:
        if self._connection is None:
            self._connection = await self._connect(self._rng.choice(self._addresses))
        connection = self._connection
        if connection is None:
            return
        if self._is_stopped:
            connection.transport.abortConnection()
            return
        if self._reads_late:
            connection.transport.pauseProducing()
            self._read_call = self._reactor.callLater(
                _READ_DELAY_S, connection.transport.resumeProducing
            )
        connection.send([self._request() for _ in range(_BATCH_SIZE)])

    def _request(self) -> tuple[str, bytes]:
        plan = self._rng.choice(self._plans)
        request_id = f"{ID_PREFIX}{self._rng.getrandbits(64):x}"
        self.prefixes[request_id] = plan.prefix
        data = raw_connections.encode_request(plan, request_id, self._rng, self._headers)
        return request_id, data
