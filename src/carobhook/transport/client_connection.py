"""One connection of a client, on which requests are read and answered in the same order."""

import typing

from twisted.internet import protocol

from carobhook.protocol import http1
from carobhook.transport import (
    client_responses,
    connection_timer,
    request_reader,
    response_order,
)

if typing.TYPE_CHECKING:
    # The listener creates the connections, and is itself only a type here.
    from carobhook.transport import client_connections

# Reading from a client pauses when its buffered pipelined requests exceed this size. Otherwise,
# the buffer would grow as fast as the client sends.
_MAX_PIPELINED_BYTES = 64 * 1024
# Time that a client has to read what was sent last, before its connection is closed. Closing a
# connection that has unread data resets it, and a client that has not read the responses yet
# then never gets them.
_LINGER_S = 1.0


class ClientConnection(protocol.Protocol):
    """One connection of a client.

    `request_reader` reads requests, and `client_responses` decides which of them start, and
    writes the responses.
    """

    def __init__(self, listener: "client_connections.ClientListener") -> None:
        self._listener = listener
        self._reactor = listener.reactor
        self._responses = client_responses.ClientResponses(
            listener.reactor,
            listener.memory,
            listener.max_started,
            self._advance,
            self._end_at_once,
        )
        self._reader = request_reader.RequestReader(
            listener.limits, self._responses.reserve_body, self._responses.release_body
        )
        self._timer = connection_timer.ConnectionTimer(listener.reactor, self._on_timeout)
        self._is_reading_ended = False
        self._is_reading_paused = False
        self._is_reading_stopped = False
        self._is_pipelining = False
        self._later_call: typing.Any = None
        self._ended_at = 0.0
        self._dropped_bytes = 0
        self._lost_reason = client_responses.EndReason.CLIENT_LEFT

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or handled."""
        return self._responses.is_empty and self._reader.is_empty

    @property
    def is_blocked(self) -> bool:
        """Return whether responses wait for the client to read."""
        return self._responses.is_blocked

    def connectionMade(self) -> None:
        """Register the connection and start its idle timer."""
        self.transport.setTcpNoDelay(True)
        self._responses.connect(self.transport, getattr(self.transport.getPeer(), "host", ""))
        self._listener.add_connection(self)
        self._update_timer()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        """Remove the connection, and report the disconnect to its active requests."""
        self._listener.remove_connection(self)
        self._end_requests(self._lost_reason)
        self._responses.stop()
        if self._dropped_bytes:
            lasted_s = self._reactor.seconds() - self._ended_at
            self._listener.record_dropped(self._responses.client, self._dropped_bytes, lasted_s)

    def dataReceived(self, data: bytes) -> None:
        """Read the requests that the received bytes complete."""
        if self._is_reading_ended:
            self._dropped_bytes += len(data)
            return
        self._reader.receive(data)
        self._advance()

    def is_settled(self, now: float) -> bool:
        """Return whether the connection may be closed without a loss for its client.

        No request is being read or handled, and the last bytes were sent so long ago that the
        client has read them.

        Args:
            now: Monotonic time in seconds.
        """
        return (
            self.is_idle and not self.is_blocked and now - self._responses.sent_at >= _LINGER_S
        )

    def abort(self) -> None:
        """Close the connection at once, as the instance ends."""
        self._lost_reason = client_responses.EndReason.INSTANCE_ENDS
        self._end_reading()
        self._timer.stop()
        if self._responses.is_end_announced:
            # What was sent before the announcement still reaches the client.
            self.transport.loseConnection()
        self.transport.abortConnection()

    def close_if_settled(self, now: float) -> None:
        """Close the connection if `is_settled`.

        Args:
            now: Monotonic time in seconds.
        """
        if self.is_settled(now):
            self._close(lingers=False)

    def stop_reading(self) -> None:
        """Read no more, as the instance ends; requests in progress are still answered."""
        self._is_reading_stopped = True
        self.transport.pauseProducing()

    def end(self) -> None:
        """Close the connection as the instance ends; no request is read any more.

        What was sent reaches the client, unless it still has to read what is before that. A
        connection on which the client may have sent more stays open for now.
        """
        if self._responses.is_end_announced:
            return
        if self.is_blocked:
            self.abort()
            return
        self._lost_reason = client_responses.EndReason.INSTANCE_ENDS
        self._end_requests(self._lost_reason)
        self.transport.loseConnection()

    @property
    def _may_have_more(self) -> bool:
        """Return whether the client may have sent more than what was read."""
        return (
            self._is_pipelining
            or self._is_reading_paused
            or self._is_reading_stopped
            or self._responses.is_blocked
            or not self._reader.is_empty
        )

    def _advance(self) -> None:
        """Read and start the requests that may start now."""
        if self._is_reading_ended:
            return
        try:
            while self._read_request() and not self._is_reading_ended:
                pass
        except request_reader.ReadError as error:
            self._reject(error)
        self._update_timer()
        self._update_reading()

    def _read_request(self) -> bool:
        """Read the next request and start it; return whether the one behind it may follow."""
        if not self._reader.is_admitted:
            head = self._reader.read_head()
            if head is None or not self._may_start(head):
                return False
            expects_continue = self._reader.expects_continue
            if expects_continue and not self._responses.is_empty:
                # The interim response would go ahead of the responses to earlier requests.
                return False
            self._reader.admit(self._reactor.seconds())
            if expects_continue:
                self._responses.write_interim(b"HTTP/1.1 100 Continue\r\n\r\n")
        received = self._reader.read_body()
        # The configuration may have changed while the body was on its way.
        if received is None or not self._may_start(received.head):
            return False
        self._start(self._reader.take())
        return not self._responses.is_empty

    def _may_start(self, head: http1.RequestHead) -> bool:
        """Return whether a request may start, in view of the responses that are owed."""
        if self._responses.is_blocked:
            return False
        if self._responses.is_empty:
            return True
        return not self._listener.closes_when_answered and self._responses.may_start(
            self._listener.is_repeatable(head)
        )

    def _start(self, received: request_reader.ReceivedRequest) -> None:
        """Pass a complete request to the handler."""
        head = received.head
        is_pipelined = not self._responses.is_empty
        self._is_pipelining = self._is_pipelining or is_pipelined
        pending = response_order.PendingResponse(
            is_repeatable=self._listener.is_repeatable(head),
            body_size=received.reserved_bytes,
            has_body=head.method != b"HEAD",
            closes=received.closes,
        )
        self._responses.add(pending)
        self._timer.stop()
        active = self._listener.start(
            received,
            self._responses.client,
            is_pipelined,
            lambda response: self._respond(pending, response),
        )
        if active is None or pending.response is not None:
            return
        if pending.is_ended:
            active.client_disconnected()
        else:
            pending.active = active

    def _respond(
        self, pending: response_order.PendingResponse, response: http1.Response
    ) -> None:
        if self._responses.accept(pending, response):
            self._write_ready()

    def _write_ready(self) -> None:
        """Write the responses that wait for no others."""
        while True:
            written = self._responses.write_next(self._listener.closes_when_answered)
            if written is None:
                break
            if written.is_last:
                # A client that asks to close the connection sends no more.
                has_more = self._may_have_more and not written.closes
                self._close(written.lingers or has_more or not self._reader.is_empty)
                return
        self._update_timer()
        self._update_reading()
        if not self._reader.is_empty and self._later_call is None:
            self._later_call = self._reactor.callLater(0, self._advance_later)

    def _advance_later(self) -> None:
        self._later_call = None
        self._advance()

    def _reject(self, error: request_reader.ReadError) -> None:
        """Refuse a request that was not read completely, and close the connection."""
        self._end_reading()
        self._timer.stop()
        refused = response_order.PendingResponse(closes=True, lingers=True)
        self._responses.add(refused)
        self._respond(refused, self._listener.refuse(error, self._responses.client))

    def _close(self, lingers: bool) -> None:
        """Close the connection after what was written; no request is read any more.

        Args:
            lingers: Whether the client may have sent more, which is read and dropped for a
                while after it has been told of the end.
        """
        self._end_requests(client_responses.EndReason.RESPONSE_CLOSES)
        if lingers and (self._is_reading_paused or self._is_reading_stopped):
            self._is_reading_paused = self._is_reading_stopped = False
            self.transport.resumeProducing()
        self._responses.close(_LINGER_S if lingers else 0.0)

    def _end_requests(self, reason: client_responses.EndReason) -> None:
        """Read no more, and end the requests in progress as if the client had left.

        Args:
            reason: Why the connection ends.
        """
        self._end_reading()
        self._timer.stop()
        later_call, self._later_call = self._later_call, None
        if later_call is not None:
            later_call.cancel()
        self._responses.abandon(reason)

    def _end_reading(self) -> None:
        """Start no further request; what was received of one, and what arrives, is dropped."""
        if not self._is_reading_ended:
            self._is_reading_ended = True
            self._ended_at = self._reactor.seconds()
        self._dropped_bytes += self._reader.unstarted_bytes
        self._reader.discard()

    def _end_at_once(self, reason: client_responses.EndReason) -> None:
        self._end_requests(reason)
        self._responses.stop()
        self.transport.abortConnection()

    def _update_reading(self) -> None:
        """Pause or resume the transport, so that no more is read than may be kept."""
        if self._is_reading_ended or self._is_reading_stopped:
            return
        waits = self._responses.is_blocked or (
            not self._responses.is_empty and self._reader.buffered_bytes > _MAX_PIPELINED_BYTES
        )
        paused = waits and not self._reader.is_reading_body
        if paused is self._is_reading_paused:
            return
        self._is_reading_paused = paused
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def _update_timer(self) -> None:
        """Start the timer for what the client must do next, or stop it."""
        if self._is_reading_ended:
            return
        awaited, limits = connection_timer.Awaited, self._listener.limits()
        if self._reader.is_reading_body:
            self._timer.wait_for(awaited.BODY, self._listener.body_timeout_s)
        elif not self._responses.is_empty or self._responses.is_blocked:
            self._timer.stop()
        elif not self._reader.is_empty:
            self._timer.wait_for(awaited.HEAD, limits.header_timeout_s)
        else:
            self._timer.wait_for(awaited.REQUEST, limits.idle_timeout_s)

    def _on_timeout(self) -> None:
        if self.is_idle:
            self._close(lingers=False)
        else:
            self._reject(request_reader.ReadError(408, "the request did not arrive in time"))
