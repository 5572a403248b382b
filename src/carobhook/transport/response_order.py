"""Order of the responses on a client's connection, and which request may start when."""

import collections
import typing

import attrs

from carobhook.protocol import http1


@attrs.define(eq=False)
class PendingResponse:
    """Response to a request that was started, or to one that could not be read.

    Attributes:
        is_repeatable: Whether the request may run more than once.
        body_size: Bytes reserved for the request's body.
        has_body: Whether the response is sent with its body; it is not for HEAD.
        closes: Whether its request, or the lack of one, asks to close the connection after it.
        is_last: Whether the connection is closed after it, as is known once it is written.
        lingers: Whether the connection stays open for a while after it, as data is unread.
        active: The request as its handler knows it; None if there is nothing to tell it.
        response: The response, or None as long as there is none.
        held_bytes: Bytes of the response that count as held while it waits for others.
        is_ended: Whether the response was passed on, or is not wanted any more.
    """

    is_repeatable: bool = False
    body_size: int = 0
    has_body: bool = True
    closes: bool = False
    is_last: bool = False
    lingers: bool = False
    active: typing.Any = None
    response: http1.Response | None = None
    held_bytes: int = 0
    is_ended: bool = False


class ResponseOrder:
    """Responses that a client's connection owes, in the order of the requests.

    Args:
        max_started: Largest number of requests that are handled at a time.
    """

    def __init__(self, max_started: int) -> None:
        self._max_started = max_started
        self._pending: collections.deque[PendingResponse] = collections.deque()

    @property
    def is_empty(self) -> bool:
        """Return whether no response is owed."""
        return not self._pending

    def is_next(self, pending: PendingResponse) -> bool:
        """Return whether a response waits for no other."""
        return bool(self._pending) and self._pending[0] is pending

    def may_start(self, is_repeatable: bool) -> bool:
        """Return whether a further request may start now.

        An earlier response may close the connection. The client then takes later requests for
        unread and sends them again, so only requests that may be repeated start while others
        are in progress. One that must run once starts when no response is owed.

        Args:
            is_repeatable: Whether the further request may run more than once.
        """
        if not self._pending:
            return True
        return (
            is_repeatable
            and len(self._pending) < self._max_started
            and all(p.is_repeatable and not p.closes for p in self._pending)
        )

    def add(self, pending: PendingResponse) -> None:
        """Add a response that is owed after all others."""
        self._pending.append(pending)

    def pop_ready(self, closes_last: bool) -> PendingResponse | None:
        """Remove and return the first response, None if it is not there yet.

        A response closes the connection only if no other is owed: the requests of those were
        passed on, and their clients would have to send them again.

        Args:
            closes_last: Whether the last response that is owed closes the connection.
        """
        if not self._pending or self._pending[0].response is None:
            return None
        first = self._pending.popleft()
        first.is_ended = True
        first.is_last = not self._pending and (first.closes or closes_last)
        return first

    def abandon(self) -> list[PendingResponse]:
        """Remove and return all responses, which are not wanted any more."""
        abandoned = list(self._pending)
        self._pending.clear()
        for pending in abandoned:
            pending.is_ended = True
        return abandoned
