"""Limits the memory that is held for clients: request bodies, and responses not yet sent."""

import enum
import typing

# Responses cannot be refused as request bodies can: the work for them is done. They may exceed
# the limits by this factor before connections are closed for them, so that a limit that is used
# up by request bodies does not end connections.
_RESPONSE_HEADROOM = 1.25


class Bound(enum.Enum):
    """Limit on the bytes held for clients.

    PROCESS: That for all clients.
    CLIENT: That for one client address.
    """

    PROCESS = "process"
    CLIENT = "client"


class Holder(typing.Protocol):
    """A connection that holds responses for its client."""

    def drop_responses(self, bound: Bound) -> None:
        """Close the connection, as its responses exceed a limit; they count no more."""


class ClientMemory:
    """Limits the bytes held for all clients and for each client address.

    Args:
        max_bytes: Largest number of bytes for all clients.
        max_client_bytes: Largest number of bytes for one address.
    """

    def __init__(self, max_bytes: int, max_client_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._max_client_bytes = max_client_bytes
        self._held_bytes = 0
        self._by_client: dict[str, int] = {}
        self._responses: dict[Holder, int] = {}
        self._clients: dict[Holder, str] = {}

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes held for all clients."""
        return self._held_bytes

    def held_for(self, client: str) -> int:
        """Return the number of bytes held for one address."""
        return self._by_client.get(client, 0)

    def reserve(self, client: str, size: int) -> Bound | None:
        """Reserve bytes for a request body; return the limit that forbids it, or None.

        A request without a body is never refused, whatever responses hold.

        Args:
            client: Address of the client.
            size: Number of bytes.
        """
        if not size:
            return None
        if self._held_bytes + size > self._max_bytes:
            return Bound.PROCESS
        if self.held_for(client) + size > self._max_client_bytes:
            return Bound.CLIENT
        self._add(client, size)
        return None

    def release(self, client: str, size: int) -> None:
        """Release bytes that were reserved for a request body."""
        self._add(client, -size)

    def hold_response(self, holder: Holder, client: str, size: int) -> None:
        """Count bytes of a response that is not sent yet.

        If a limit is exceeded, the connections with the most such bytes are closed, which may
        include the holder. A single response is held for a client whatever the limit for one
        address is: otherwise a large one could never be delivered.

        Args:
            holder: Connection of the response.
            client: Address of its client.
            size: Number of bytes.
        """
        if not size:
            return
        self._responses[holder] = self._responses.get(holder, 0) + size
        self._clients[holder] = client
        self._add(client, size)
        while self._responses and self._held_bytes > self._max_bytes * _RESPONSE_HEADROOM:
            self._drop_largest(self._responses, Bound.PROCESS)
        max_client_bytes = max(self._max_client_bytes * _RESPONSE_HEADROOM, size)
        while self.held_for(client) > max_client_bytes:
            own = [other for other in self._responses if self._clients[other] == client]
            if not own:
                return
            self._drop_largest(own, Bound.CLIENT)

    def release_response(self, holder: Holder, size: int) -> None:
        """Release bytes of a response that were sent, or that are not sent any more.

        Nothing is released for a connection that was closed for them, as they count no more.

        Args:
            holder: Connection of the response.
            size: Number of bytes.
        """
        if not size or holder not in self._responses:
            return
        client = self._clients[holder]
        self._responses[holder] -= size
        if not self._responses[holder]:
            del self._responses[holder], self._clients[holder]
        self._add(client, -size)

    def _drop_largest(self, holders: typing.Iterable[Holder], bound: Bound) -> None:
        largest = max(holders, key=lambda holder: self._responses[holder])
        self._add(self._clients.pop(largest), -self._responses.pop(largest))
        largest.drop_responses(bound)

    def _add(self, client: str, size: int) -> None:
        if not size:
            return
        self._held_bytes += size
        held = self._by_client.get(client, 0) + size
        if held:
            self._by_client[client] = held
        else:
            self._by_client.pop(client, None)
