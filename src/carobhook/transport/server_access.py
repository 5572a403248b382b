"""How an instance reaches backend servers, and what it learns of them on the way."""

import random
import typing
from collections.abc import Callable

import attrs
from twisted.internet import defer

from carobhook import entry_settings
from carobhook.coordination import catalog, objects, relay_choice
from carobhook.platform import identity, requests
from carobhook.protocol import http1, path_messages, relay_messages, slot_messages
from carobhook.state import ids, members, servers
from carobhook.transport import (
    direct_exchange,
    end_checks,
    exchange_results,
    member_streams,
    notice_board,
    peers,
    reach_checks,
    relay_connections,
    relay_service,
    request_quarantine,
    server_connections,
    server_exchange,
    supervision,
)

_CONNECT_TIMEOUT_S = 0.5
# A health check waits for a slot like a request; one that waits longer is made again.
_INQUIRY_TIMEOUT_S = 1.0
# Path of the health check of a service that the configuration does not name.
_DEFAULT_HEALTH_PATH = "/"
_BYTES_PER_MB = 1024 * 1024
# Share of the instance's memory that the bodies of responses may use while they are being
# received. A complete one is copied twice when it is forwarded.
_RESPONSE_MEMORY_RATIO = 0.15
# Share that the bodies of requests of other instances may use.
_RELAY_MEMORY_RATIO = 0.1


@attrs.frozen
class InstanceParts:
    """Parts of an instance that `ServerAccess` uses.

    Attributes:
        server_catalog: Servers and configuration.
        streams: Streams to other instances, and the table of live instances.
        store: The platform's store.
        supervisor: Gets the failures of checks.
        identity: Authenticates this instance to others.
        peer_context: TLS context of connections to other instances, None for plain TCP.
        is_serving: Returns whether this instance accepts new work.
        on_server_change: Called when a server may not be used any more.
        wall: Returns the time of day in seconds.
    """

    server_catalog: catalog.Catalog
    streams: member_streams.MemberStreams
    store: objects.ObjectStore
    supervisor: supervision.Supervisor
    identity: peers.Identity
    peer_context: typing.Any
    is_serving: Callable[[], bool]
    on_server_change: Callable[[], object]
    wall: Callable[[], float]


class ServerAccess:
    """Connections to servers, paths through other instances, and evidence on servers.

    Args:
        reactor: Source of time, timers and sockets.
        settings: Settings of the instance.
        rng: Chooses among other instances.
        parts: Parts of the instance that this class uses.

    Attributes:
        exchange: Exchanges with servers, by whatever path there is.
        quarantine: Requests that end the servers that run them.
        notices: What servers say of themselves in their responses.
    """

    def __init__(
        self,
        reactor: typing.Any,
        settings: entry_settings.EntrySettings,
        rng: random.Random,
        parts: InstanceParts,
    ) -> None:
        self._reactor = reactor
        self._place = settings.place
        self._memory_bytes = settings.capacity.memory_mb * _BYTES_PER_MB
        self._parts = parts
        self._codec = requests.ServerCodec()
        self._connections = server_connections.ServerConnections(
            reactor,
            _CONNECT_TIMEOUT_S,
            int(self._memory_bytes * _RESPONSE_MEMORY_RATIO),
            settings.place.outgoing,
        )
        self._relays = relay_connections.RelayConnections(
            reactor, parts.identity, parts.peer_context
        )
        self.notices = notice_board.NoticeBoard(
            reactor,
            self._codec,
            parts.server_catalog,
            parts.on_server_change,
            parts.streams.broadcast,
        )
        record_response = parts.supervisor.isolate("response", self._record_response)
        self._reach_checks = reach_checks.ReachChecks(
            reactor,
            rng,
            self._connections.probe,
            parts.server_catalog.has_address,
            self._is_trusted,
            lambda: [member.name for member in self._other_serving()],
            parts.streams.send,
        )
        self._direct = direct_exchange.DirectExchange(
            reactor,
            rng,
            self._connections,
            direct_exchange.KnownServers(
                lambda: parts.server_catalog.server_count,
                parts.server_catalog.usable_addresses,
                self._build_probe,
            ),
            self._reach_checks.reach_of_others,
            lambda reason: parts.supervisor.record("path-check", reason),
            parts.supervisor.isolate("response", self._record_sign_of_life),
        )
        self.exchange = server_exchange.ServerExchange(
            reactor,
            self._direct,
            self._relays,
            relay_choice.RelayChoice(rng, self._place.region),
            self._other_serving,
            parts.server_catalog.run_of,
            record_response,
        )
        self._relay_service = relay_service.RelayService(
            self._direct,
            self._may_relay_to,
            lambda: parts.is_serving() and not self._direct.is_cut,
            self._codec.match_attempt,
            parts.server_catalog.run_of,
            record_response,
            int(self._memory_bytes * _RELAY_MEMORY_RATIO),
            lambda reason: parts.supervisor.record("relay", reason),
            self._is_quarantined_for,
        )
        self.quarantine = request_quarantine.RequestQuarantine(
            reactor,
            self._place.name,
            parts.server_catalog,
            end_checks.EndChecks(
                reactor.seconds,
                self._find_listener,
                self._reach_checks.reach_of_others,
                self._is_trusted,
            ),
            request_quarantine.MarkStore(parts.store, parts.wall),
            parts.streams.broadcast,
            lambda reason: parts.supervisor.record("server-check", reason),
        )

    @property
    def opened_count(self) -> int:
        """Return the number of connections to servers opened since the start."""
        return self._connections.opened_count

    @property
    def surplus_count(self) -> int:
        """Return the number of responses since the start that belonged to no request."""
        return self._connections.surplus_count

    @property
    def relays_in_flight(self) -> int:
        """Return the number of requests of other instances that have no whole answer yet."""
        return self._relay_service.in_flight + self._parts.streams.unsent_answers

    def relay(
        self,
        sender: ids.InstanceId,
        request: relay_messages.RelayRequest,
        respond: relay_service.Respond,
    ) -> defer.Deferred | None:
        """Relay a request of another instance; cancelling the result cancels it."""
        return self._relay_service.handle(sender, request, respond)

    def handle_message(self, sender: ids.InstanceId, message: typing.Any) -> bool:
        """Handle a message about servers, paths or marks; return False for any other."""
        if isinstance(message, slot_messages.RequestMarked):
            self.quarantine.apply_mark(
                message, lambda clearing: self._parts.streams.send(sender, clearing)
            )
        elif isinstance(message, slot_messages.RequestCleared):
            self.quarantine.apply_clearing(message)
        elif isinstance(message, path_messages.ServerLeaving):
            self.notices.apply_leaving(message)
        elif isinstance(message, path_messages.ReachMessage):
            self._reach_checks.handle_message(sender, message)
        else:
            return False
        return True

    def send_initial(self, send: Callable[[typing.Any], object]) -> None:
        """Send what was only told once on a new stream, as its peer may not know it."""
        for message in (*self.quarantine.mark_messages(), *self.notices.messages()):
            send(message)

    def remove_instance(self, name: ids.InstanceId) -> None:
        """Close the relay connections to an instance that is dead or was restarted."""
        self._relays.remove_instance(name)

    def tick(self) -> None:
        """Follow up lost attempts, and try broken paths again."""
        run = self._parts.supervisor.run
        run("quarantine", self.quarantine.tick)
        run("notices", self.notices.tick)
        run("paths", self.exchange.tick, self._parts.server_catalog.has_address)

    def close_idle(self, now: float) -> None:
        """Close the connections that have been idle for too long.

        Args:
            now: Monotonic time in seconds.
        """
        self._connections.close_idle(now)
        self._relays.close_idle(now)

    def stop(self) -> None:
        """End all checks, and close all connections."""
        self._reach_checks.stop()
        self._direct.stop()
        self.quarantine.stop()
        self._relays.stop()
        self._connections.stop()

    async def _is_trusted(self, address: str) -> bool:
        """Return whether a server that this instance does not reach may be at fault."""
        return await self._direct.opens_connections(address)

    async def _find_listener(
        self, server: ids.Server, address: str
    ) -> exchange_results.Listener:
        """Return who listens at the address of a server that had a request."""

        def names_other(response: http1.Response) -> bool | None:
            named = identity.server_of(response)
            return None if named is None else named != server

        questions = (
            server_connections.Question(lambda: self._build_probe(address), names_other),
            server_connections.Question(
                lambda: self._build_inquiry(server, address), identity.is_other_server
            ),
        )
        return await self._connections.find_listener(address, questions, _INQUIRY_TIMEOUT_S)

    def _build_inquiry(self, server: ids.Server, address: str) -> http1.RequestHead | None:
        """Return the head that asks for a server; None if who is there may get no requests.

        A cold server is not asked either, as the health check would use up its rate.
        """
        health_path = self._health_path(address)
        if health_path is None or self._is_cold(address):
            return None
        return identity.build_head(server, address, health_path)

    def _record_response(self, run: servers.ServerRun, response: http1.Response) -> None:
        """Learn what a response says of its server."""
        self.notices.record_response(run, response)

    def _record_sign_of_life(
        self, server: ids.Server, received: exchange_results.ReceivedResponse
    ) -> None:
        """Learn from a response on a connection of this instance that a server runs.

        One of another server at the address says nothing of it.
        """
        if received.use.opened_at is None or identity.is_other_server(received.response):
            return
        self.quarantine.record_response(server, received.use.opened_at)

    def _build_probe(self, address: str) -> http1.RequestHead | None:
        """Return the head of a probe of a server, or None if it may not get requests."""
        health_path = self._health_path(address)
        if health_path is None:
            return None
        return self._codec.build_probe_head(address, health_path)

    def _is_cold(self, address: str) -> bool:
        """Return whether a server at an address is cold."""
        now = self._reactor.seconds()
        views = self._parts.server_catalog.servers(now)
        return any(view.entry.address == address and now < view.cold_until for view in views)

    def _health_path(self, address: str) -> str | None:
        """Return the path of a server's health check, or None if it may not get requests."""
        known = self._parts.server_catalog
        entry = known.usable_entry_at(address)
        if entry is None or known.config is None or self.notices.is_resting(entry.name):
            return None
        policy = known.config.services.get(entry.service)
        return policy.health_path if policy is not None else _DEFAULT_HEALTH_PATH

    def _may_relay_to(self, server: ids.Server, address: str) -> bool:
        entry = self._parts.server_catalog.entry(server)
        if entry is None or entry.address != address:
            return False
        is_usable = self._parts.server_catalog.is_usable(server)
        return is_usable and not self.notices.is_resting(server)

    def _is_quarantined_for(self, sender: ids.InstanceId, fingerprint: bytes) -> bool:
        """Return whether a request is refused; its sender, who does not know, is told why."""
        marks = self.quarantine.refusal_marks(fingerprint)
        for message in marks:
            self._parts.streams.send(sender, message)
        return bool(marks)

    def _other_serving(self) -> list[members.Member]:
        """Return the other instances that accept new work."""
        serving = self._parts.streams.membership.serving(self._reactor.seconds())
        return [member for member in serving if member.name != self._place.name]
