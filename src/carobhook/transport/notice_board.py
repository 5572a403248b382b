"""Applies what backend servers say of themselves, here and at the other instances."""

import typing
from collections.abc import Callable

from carobhook import logs
from carobhook.coordination import catalog, server_notices
from carobhook.protocol import http1, path_messages
from carobhook.state import allocation, ids, servers


class NoticeCodec(typing.Protocol):
    """Reads notices from responses; `platform.requests.ServerCodec` implements this."""

    def notice(self, response: http1.Response) -> allocation.ServerNotice | None:
        """Return what a response says of its server, or None.

        Raises:
            ValueError: It cannot be read.
        """

    def pace(self, response: http1.Response) -> float | None:
        """Return how long work takes on the server of a response, or None if it is not said.

        Raises:
            ValueError: What the response says cannot be read.
        """


class NoticeBoard:
    """Notices of servers in force at this instance.

    Args:
        reactor: Source of time.
        codec: Reads notices from responses.
        server_catalog: Learns of servers that leave.
        on_change: Called when a server may not be used any more.
        broadcast: Sends a message to all other instances.
    """

    def __init__(
        self,
        reactor: typing.Any,
        codec: NoticeCodec,
        server_catalog: catalog.Catalog,
        on_change: Callable[[], object],
        broadcast: Callable[[typing.Any], object],
    ) -> None:
        self._reactor = reactor
        self._codec = codec
        self._catalog = server_catalog
        self._on_change = on_change
        self._broadcast = broadcast
        self._rests = server_notices.Rests()
        self._odd_loads: set[servers.ServerRun] = set()

    def record_response(self, run: servers.ServerRun, response: http1.Response) -> None:
        """Apply what a response says of its server.

        Args:
            run: Run of the server that the request was sent to, as the listing had it. It may
                have ended since then, or before if the listing is old.
            response: The response.
        """
        try:
            notice = self._codec.notice(response)
        except ValueError as error:
            logs.warning("server-notice-malformed", server=run.server, error=error)
            return
        now = self._reactor.seconds()
        is_sure = not self._catalog.is_listing_old(now)
        present = self._catalog.run_of(run.server)
        if notice is None or present is None or (is_sure and present != run):
            return
        if notice.rest_s is not None:
            self._rests.add(present, notice.rest_s, now, is_sure=is_sure)
        if notice.is_leaving and present == run:
            self.apply_leaving(path_messages.ServerLeaving(run.server, run.started_at_ms))
        elif notice.is_leaving:
            self._catalog.hold_back(run.server, now)
            self._on_change()

    def apply_leaving(self, message: path_messages.ServerLeaving) -> None:
        """Stop the use of a server that leaves, and tell the other instances if it is news."""
        run = servers.ServerRun(message.server, message.started_at_ms)
        if self._catalog.record_leaving(run, self._reactor.seconds()):
            logs.event("server-leaving", server=run.server)
            self._broadcast(message)
            self._on_change()

    def pace_of(self, server: ids.Server, response: http1.Response) -> float | None:
        """Return how long work takes on a server at the moment by its response.

        The result is a multiple of the time that work usually takes, or None if the response
        says nothing or cannot be read. The latter is logged once for each run of a server.
        """
        try:
            return self._codec.pace(response)
        except ValueError as error:
            run = self._catalog.run_of(server)
            if run is not None and run not in self._odd_loads:
                self._odd_loads.add(run)
                logs.warning("server-load-malformed", server=server, error=error)
            return None

    def messages(self) -> list[path_messages.ServerLeaving]:
        """Return messages on all servers that leave, for an instance that may not know them."""
        return [
            path_messages.ServerLeaving(run.server, run.started_at_ms)
            for run in self._catalog.leaving
        ]

    def is_resting(self, server: ids.Server) -> bool:
        """Return whether a server wants no requests from this instance now."""
        return self._rests.is_resting(server, self._reactor.seconds())

    def resting(self) -> frozenset[ids.Server]:
        """Return the servers that want no requests from this instance now."""
        return self._rests.resting(self._reactor.seconds())

    def tick(self) -> None:
        """Forget what servers said that are gone or run anew."""
        self._rests.retain(self._catalog.run_of)
        self._catalog.end_holds(self._reactor.seconds())
        self._odd_loads = {
            run for run in self._odd_loads if self._catalog.run_of(run.server) == run
        }
