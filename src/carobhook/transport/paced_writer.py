"""Writes to a connection no faster than its other end reads."""

import collections
import typing
from collections.abc import Callable

import zope.interface
from twisted.internet import interfaces

# Bytes that are handed to the transport at a time. It reports when it has sent them, which is
# the progress of the other end.
PIECE_BYTES = 64 * 1024


def _ignore(size: int) -> None:
    """Do nothing as the number of waiting bytes changes."""


def _do_nothing() -> None:
    """Do nothing when all has been sent."""


@zope.interface.implementer(interfaces.IPullProducer)
class PacedWriter:
    """Writes to a transport, and reports how much the other end has yet to read.

    Small writes go to the transport at once. When what it may hold would exceed a piece, the
    writer registers as a pull producer: the transport then asks for each next piece when it has
    sent all before it. It thus holds at most two pieces.

    Args:
        on_queued: Called with the number of bytes that have to wait.
        on_sent: Called with the number of such bytes that were sent.
        on_drained: Called when all has been sent, after something had to wait.
    """

    def __init__(
        self,
        on_queued: Callable[[int], object] = _ignore,
        on_sent: Callable[[int], object] = _ignore,
        on_drained: Callable[[], object] = _do_nothing,
    ) -> None:
        self._on_queued = on_queued
        self._on_sent = on_sent
        self._on_drained = on_drained
        self._transport: typing.Any = None
        self._pieces: collections.deque[memoryview] = collections.deque()
        self._handed_bytes = 0
        self._direct_bytes = 0
        self._is_registered = False

    @property
    def is_blocked(self) -> bool:
        """Return whether data waits for the other end to read."""
        return self._is_registered

    def connect(self, transport: typing.Any) -> None:
        """Set the transport to write to."""
        self._transport = transport

    def write(self, data: bytes) -> None:
        """Write data, now or when the other end has read what is before it."""
        if not self._is_registered and self._direct_bytes + len(data) <= PIECE_BYTES:
            self._direct_bytes += len(data)
            self._transport.write(data)
            return
        view = memoryview(data)
        for start in range(0, len(data), PIECE_BYTES):
            self._pieces.append(view[start : start + PIECE_BYTES])
        # May end the connection, and drop the pieces.
        self._on_queued(len(data))
        if self._pieces and not self._is_registered:
            self._is_registered = True
            self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Hand the next piece to the transport, which has sent the one before."""
        if not self._is_registered:
            return
        handed, self._handed_bytes = self._handed_bytes, 0
        if self._pieces:
            piece = self._pieces.popleft()
            self._handed_bytes = len(piece)
            self._on_sent(handed)
            self._transport.write(bytes(piece))
            return
        self._direct_bytes = 0
        self._is_registered = False
        self._transport.unregisterProducer()
        self._on_sent(handed)
        self._on_drained()

    def stopProducing(self) -> None:
        """Do nothing, as the protocol is told of the connection's end as well."""

    def stop(self) -> None:
        """Drop what has not been sent, as the connection ends."""
        unsent = self._handed_bytes + sum(len(piece) for piece in self._pieces)
        self._handed_bytes = 0
        self._pieces.clear()
        self._on_sent(unsent)
        if self._is_registered:
            self._is_registered = False
            self._transport.unregisterProducer()
