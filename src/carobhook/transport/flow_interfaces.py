"""What the processing of a request needs of the other parts of an instance."""

import typing

from twisted.internet import defer

from carobhook.coordination import lost_attempts
from carobhook.protocol import http1
from carobhook.state import allocation, ids, servers
from carobhook.transport import (
    client_connections,
    direct_exchange,
    exchange_results,
)


class RequestCodec(typing.Protocol):
    """Encodes requests for backend servers and interprets the responses."""

    def build_request_head(
        self,
        head: http1.RequestHead,
        server: ids.Server,
        time_left_s: float,
        account: ids.Account | None = None,
    ) -> http1.RequestHead:
        """Return the head of a request as it is sent to a server."""

    def attempt_outcome(self, response: http1.Response) -> allocation.AttemptOutcome:
        """Return the outcome of an attempt that a server responded to."""

    def shows_run(self, response: http1.Response) -> bool:
        """Return whether a response shows that its server ran the request without a failure."""

    def rate_statement(self, response: http1.Response) -> allocation.RateStatement | None:
        """Return what a response says about the rate of requests that its server takes.

        Raises:
            ValueError: The limit that it names cannot be read.
        """

    def match_attempt(
        self, response: http1.Response, client_request_id: str | None
    ) -> allocation.ResponseMatch:
        """Return whether a response belongs to a client's attempt."""


class AttemptObserver(typing.Protocol):
    """Learns which requests end their servers; `request_quarantine.RequestQuarantine`."""

    def is_quarantined(self, request: client_connections.ClientRequest) -> bool:
        """Return whether a request must not be sent to any server."""

    def run_of(self, server: ids.Server) -> servers.ServerRun:
        """Return the present run of a server."""

    def attempt_lost(
        self,
        request: client_connections.ClientRequest,
        run: servers.ServerRun,
        address: str,
        is_broken: bool,
        sending: lost_attempts.Sending | None = None,
    ) -> None:
        """Record an attempt that ended without a response; see `lost_attempts`."""

    def request_answered(self, request: client_connections.ClientRequest) -> None:
        """Record that a server ran a request without a failure."""


class ServerExchange(typing.Protocol):
    """Sends requests to servers; `server_exchange.ServerExchange` implements this."""

    @property
    def is_cut(self) -> bool:
        """Return whether this instance seems to be cut from all servers."""

    async def exchange(
        self, attempt: direct_exchange.Attempt
    ) -> exchange_results.ReceivedResponse:
        """Send a request to its server and return the complete response."""

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to a server."""


class SlotAllocator(typing.Protocol):
    """Requests slots from dispatchers and releases them.

    `slot_allocator.SlotAllocator` implements this.
    """

    def request_slot(
        self, request: allocation.SlotRequest, region: ids.Region
    ) -> defer.Deferred:
        """Request a slot from the dispatcher of a region.

        The result fires with `SlotGrant` or `SlotRefusal`; cancelling it withdraws the request.
        """

    def release_slot(
        self,
        request_id: ids.RequestId,
        outcome: allocation.AttemptOutcome,
        rate: allocation.RateStatement | None = None,
        pace: float | None = None,
    ) -> None:
        """Release a granted slot with the outcome of the attempt, and what the server said."""
