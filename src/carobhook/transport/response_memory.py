"""Limits the memory of response bodies that are being received."""

import typing


class Receiver(typing.Protocol):
    """A connection that receives the body of a response."""

    def fail_too_large(self) -> None:
        """Fail the exchange, because its response needs too much memory."""


class ResponseMemory:
    """Limits the memory of the response bodies that are being received.

    If they exceed it, the exchange with the largest body fails, because a body without end
    outgrows all others.

    Args:
        max_bytes: Largest size of all bodies together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._receiving: dict[Receiver, int] = {}

    @property
    def used_bytes(self) -> int:
        """Return the size of all bodies that are being received."""
        return self._used_bytes

    def reserve(self, connection: Receiver, size: int) -> None:
        """Add bytes to the body of a connection's response; fail the largest if needed."""
        self._receiving[connection] = self._receiving.get(connection, 0) + size
        self._used_bytes += size
        if self._used_bytes > self._max_bytes:
            largest = max(self._receiving, key=lambda other: self._receiving[other])
            largest.fail_too_large()

    def release(self, connection: Receiver) -> None:
        """Remove the body of a connection's response."""
        self._used_bytes -= self._receiving.pop(connection, 0)
