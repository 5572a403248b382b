"""Responses that a client's connection owes, and the memory held for its client."""

import enum
import typing
from collections.abc import Callable

from carobhook import logs
from carobhook.protocol import http1
from carobhook.transport import client_memory, paced_writer, response_order, sockets

# Seconds in which a client must read one piece of its responses (64 KB), so at least 3 kB/s.
STALL_TIMEOUT_S = 20.0


class EndReason(enum.Enum):
    """Why a connection ends.

    CLIENT_LEFT: Its other end closed it, or it broke.
    CLIENT_STALLED: The client did not read its responses in time.
    MEMORY_BOUND: The responses that wait for the client exceed a limit on memory.
    RESPONSE_CLOSES: A response that closes the connection was written.
    INSTANCE_ENDS: The instance ends.
    """

    CLIENT_LEFT = "client-left"
    CLIENT_STALLED = "client-stalled"
    MEMORY_BOUND = "memory-bound"
    RESPONSE_CLOSES = "response-closes"
    INSTANCE_ENDS = "instance-ends"


class ClientResponses:
    """Writes responses in order, and counts what is held for the client until then.

    Implements `client_memory.Holder`.

    Args:
        reactor: Source of timers.
        memory: Memory that all connections share.
        max_started: Largest number of requests that are handled at a time.
        on_drained: Called when the client has read what had to wait.
        on_failed: Called with the reason when the connection must be closed at once.
    """

    def __init__(
        self,
        reactor: typing.Any,
        memory: client_memory.ClientMemory,
        max_started: int,
        on_drained: Callable[[], object],
        on_failed: Callable[[EndReason], object],
    ) -> None:
        self._reactor = reactor
        self._memory = memory
        self._client = ""
        self._on_drained = on_drained
        self._on_failed = on_failed
        self._order = response_order.ResponseOrder(max_started)
        self._writer = paced_writer.PacedWriter(
            self._queue_bytes, self._record_progress, self._on_all_sent
        )
        self._transport: typing.Any = None
        self._is_closing = False
        self._sent_at = reactor.seconds()
        self._linger_s = 0.0
        self._close_call: typing.Any = None
        self._stall_call: typing.Any = None

    @property
    def is_empty(self) -> bool:
        """Return whether no response is owed."""
        return self._order.is_empty

    @property
    def is_blocked(self) -> bool:
        """Return whether responses wait for the client to read."""
        return self._writer.is_blocked

    @property
    def is_end_announced(self) -> bool:
        """Return whether the client was told that no more responses follow."""
        return self._close_call is not None

    @property
    def sent_at(self) -> float:
        """Return the monotonic time in seconds of the last bytes sent, or of the opening."""
        return self._sent_at

    @property
    def client(self) -> str:
        """Return the address of the client."""
        return self._client

    def connect(self, transport: typing.Any, client: str) -> None:
        """Set the transport to write to, and the address of its client."""
        self._transport = transport
        self._client = client
        self._writer.connect(transport)

    def reserve_body(self, size: int) -> client_memory.Bound | None:
        """Reserve bytes for a request body; return the limit that forbids it, or None."""
        return self._memory.reserve(self._client, size)

    def release_body(self, size: int) -> None:
        """Release bytes that were reserved for a request body."""
        self._memory.release(self._client, size)

    def may_start(self, is_repeatable: bool) -> bool:
        """Return whether a further request may start; see `response_order.ResponseOrder`."""
        return self._order.may_start(is_repeatable)

    def add(self, pending: response_order.PendingResponse) -> None:
        """Add a response that is owed after all others."""
        self._order.add(pending)

    def accept(self, pending: response_order.PendingResponse, response: http1.Response) -> bool:
        """Take the response to a request; return whether it may be written now.

        A second response, and one that is not wanted any more, is ignored.
        """
        if pending.is_ended or pending.response is not None:
            return False
        pending.response = response
        self._end_request(pending)
        if self._order.is_next(pending):
            return True
        pending.held_bytes = http1.response_size(response)
        self._hold(pending.held_bytes)
        return False

    def write_next(self, closes_last: bool) -> response_order.PendingResponse | None:
        """Write the first response that is owed; return None if it is not there yet.

        Args:
            closes_last: Whether the last one that is owed closes the connection, whatever its
                request says.
        """
        pending = self._order.pop_ready(closes_last)
        if pending is not None:
            self._sent_at = self._reactor.seconds()
            response = typing.cast(http1.Response, pending.response)
            held, pending.held_bytes = pending.held_bytes, 0
            self._release(held)
            self._writer.write(
                http1.encode_response(response, pending.has_body, pending.is_last)
            )
        return pending

    def write_interim(self, data: bytes) -> None:
        """Write an interim response."""
        self._sent_at = self._reactor.seconds()
        self._writer.write(data)

    def close(self, linger_s: float = 0.0) -> None:
        """Close the connection when the client has read what was written.

        Args:
            linger_s: Seconds for which what the client sends is read after that. The client
                learns at their beginning that no more responses follow.
        """
        if self._is_closing:
            return
        self._is_closing = True
        self._linger_s = linger_s
        if not self._writer.is_blocked:
            self._lose_connection()

    def abandon(self, reason: EndReason) -> None:
        """End all requests whose responses are owed, as if the client had left.

        Args:
            reason: Why the connection ends.
        """
        abandoned = self._order.abandon()
        if abandoned:
            logs.event(
                "requests-abandoned",
                client=self._client,
                reason=reason,
                requests=len(abandoned),
                ready=sum(pending.response is not None for pending in abandoned),
            )
        for pending in abandoned:
            held, pending.held_bytes = pending.held_bytes, 0
            self._release(held)
            active = pending.active
            self._end_request(pending)
            if active is not None:
                active.client_disconnected()

    def stop(self) -> None:
        """Drop what the client has not read, as the connection ends."""
        self._writer.stop()
        self._stop_stall_timer()
        call, self._close_call = self._close_call, None
        if call is not None:
            call.cancel()

    def drop_responses(self, bound: client_memory.Bound) -> None:
        """Close the connection, as its responses exceed a limit on memory."""
        logs.event("responses-dropped", client=self._client, bound=bound.value)
        self._on_failed(EndReason.MEMORY_BOUND)

    def _end_request(self, pending: response_order.PendingResponse) -> None:
        """Release the memory of a body, at once or when the work for the request ends."""
        active, pending.active = pending.active, None
        size, pending.body_size = pending.body_size, 0
        if active is None:
            self.release_body(size)
        elif size:
            active.call_at_end(lambda: self.release_body(size))

    def _queue_bytes(self, size: int) -> None:
        """Count bytes that wait for the client to read."""
        if self._stall_call is None:
            self._start_stall_timer()
        self._hold(size)

    def _record_progress(self, size: int) -> None:
        """Release bytes that the client has read, or that are dropped."""
        self._release(size)
        self._start_stall_timer()

    def _on_all_sent(self) -> None:
        self._stop_stall_timer()
        self._sent_at = self._reactor.seconds()
        if self._is_closing:
            self._lose_connection()
        else:
            self._on_drained()

    def _lose_connection(self) -> None:
        """Close the connection; at once, if the client does not read the rest in time."""
        self._start_stall_timer()
        if self._linger_s:
            self._close_call = self._reactor.callLater(self._linger_s, self._close_now)
            sockets.announce_end(self._transport)
        else:
            self._transport.loseConnection()

    def _close_now(self) -> None:
        self._close_call = None
        self._transport.loseConnection()

    def _start_stall_timer(self) -> None:
        self._stop_stall_timer()
        self._stall_call = self._reactor.callLater(STALL_TIMEOUT_S, self._on_stalled)

    def _stop_stall_timer(self) -> None:
        call, self._stall_call = self._stall_call, None
        if call is not None:
            call.cancel()

    def _on_stalled(self) -> None:
        self._stall_call = None
        logs.event("client-stalled", client=self._client)
        self._on_failed(EndReason.CLIENT_STALLED)

    def _hold(self, size: int) -> None:
        """Count bytes of responses as held."""
        self._memory.hold_response(self, self._client, size)

    def _release(self, size: int) -> None:
        """Count bytes of responses as held no more."""
        self._memory.release_response(self, size)
