"""Connections on which the soak's clients send encoded requests and read the responses."""

import random
import typing
from collections.abc import Sequence

import attrs
from twisted.internet import error, protocol

from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.standins import platform_client

_CONNECT_TIMEOUT_S = 1.0


@attrs.frozen
class Response:
    """A response on a connection.

    Attributes:
        status: Its status.
        body: Its body.
        closes: Whether it announces the end of the connection.
    """

    status: int
    body: bytes
    closes: bool


class RawConnection(protocol.Protocol):
    """A connection that passes on each whole response; these must state their length."""

    def __init__(self) -> None:
        self._buffer = b""

    def response_received(self, response: Response) -> None:
        """Handle a response."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:
        """Pass on the responses that the received bytes complete."""
        self._buffer += data
        while size := http1.head_length(self._buffer):
            head = self._buffer[:size].lower()
            length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
            if len(self._buffer) < size + length:
                return
            body = self._buffer[size : size + length]
            self._buffer = self._buffer[size + length :]
            closes = b"\r\nconnection: close\r\n" in head
            self.response_received(Response(int(head.split(b" ", 2)[1][:3]), body, closes))


ConnectionType = typing.TypeVar("ConnectionType", bound=RawConnection)


async def connect(
    reactor: typing.Any, address: str, connection: ConnectionType
) -> ConnectionType | None:
    """Return a connection once it is open, or None if its instance accepts none.

    Args:
        reactor: Source of time and connections.
        address: Address of the instance, ``host:port``.
        connection: The connection.
    """
    host, _, port = address.rpartition(":")
    creator = protocol.ClientCreator(reactor, lambda: connection)
    try:
        await creator.connectTCP(host, int(port), _CONNECT_TIMEOUT_S)
    except (error.ConnectError, OSError):
        return None
    return connection


def encode_request(
    plan: platform_client.RequestPlan,
    request_id: str,
    rng: random.Random,
    headers: Sequence[tuple[bytes, bytes]],
) -> bytes:
    """Return the bytes of a request.

    Args:
        plan: Its kind.
        request_id: Its id.
        rng: Random number generator, which chooses its object.
        headers: Further headers.
    """
    fields = (
        (b"Host", plan.host.encode()),
        (names.REQUEST_ID.encode(), request_id.encode()),
        (names.TIME_LEFT_MS.encode(), str(int(plan.time_left_s * 1000)).encode()),
        *headers,
    )
    key = rng.randrange(plan.object_count)
    method = b"GET" if plan.repeatable else b"POST"
    return http1.encode_request(
        http1.RequestHead(method, f"{plan.prefix}{key}".encode(), fields), b""
    )
