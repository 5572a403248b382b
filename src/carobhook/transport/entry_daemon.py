"""Entry instance: creates and connects its parts, starts them and stops them."""

import random
import secrets
import time
import typing
from collections.abc import Callable

import attrs
from twisted.internet import defer

from carobhook import entry_metrics, entry_settings, logs
from carobhook.coordination import (
    catalog,
    membership,
    quota_counter,
    repeatable_requests,
    steering,
    store_feed,
)
from carobhook.platform import names, store
from carobhook.protocol import feed_messages, peer_codec, slot_messages
from carobhook.state import ids, members, routing
from carobhook.transport import (
    client_connections,
    client_memory,
    entry_endpoints,
    entry_requests,
    event_loop,
    follow_options,
    graceful_stop,
    instance_gauges,
    member_streams,
    own_machine,
    peers,
    quota_service,
    server_access,
    shard_limits,
    slot_allocator,
    sockets,
    store_sync,
    supervision,
)

_HEARTBEAT_INTERVAL_S = 0.4
_TICK_INTERVAL_S = 0.1
_CLOSE_IDLE_INTERVAL_S = 1.0
# File descriptors that the connections of clients leave for all other uses, such as connections
# to backend servers and to other instances.
_RESERVED_DESCRIPTORS = 600
# Share of the instance's memory that request bodies and unsent responses may use.
_CLIENT_MEMORY_RATIO = 0.25
# Share of that which one client address may use. Many callers can share an address.
_ONE_CLIENT_RATIO = 0.5
# The setting ``shift_most`` limits how much traffic changes region within two seconds. Loans of
# slots between regions are updated every half second. Four updates fit into this time, so
# each may use a quarter of the limit; with larger steps, they could exceed it together.
_LOAN_STEPS_PER_BOUND = 4
# Share of that limit by which one region may grow. Two regions may grow while the third one
# shrinks, and requests reach their servers some time after the choice.
_REGION_CHANGE_SHARE = 0.4


@attrs.frozen
class Clocks:
    """Clocks that an instance needs besides the reactor's.

    Attributes:
        wall: Returns the time of day in seconds.
    """

    wall: Callable[[], float] = time.time


class EntryDaemon:
    """Runs one entry instance: its listeners, its connections and its periodic tasks.

    Args:
        settings: Settings of the instance.
        reactor: Source of time, timers and sockets.
        rng: Source of the jitter of delays.
        omitted: Returns the number of log lines omitted so far.
        clocks: Clocks besides the reactor's.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        reactor: typing.Any,
        rng: random.Random | None = None,
        omitted: Callable[[], int] = lambda: 0,
        clocks: Clocks | None = None,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clocks = clocks or Clocks()
        self._incarnation = ids.Incarnation(secrets.token_hex(ids.INCARNATION_LENGTH // 2))
        self._phase = members.Phase.STARTING
        self._catalog = catalog.Catalog()
        self._orders = steering.Steering(settings.regions)
        self._catalog.is_fully_drained = self._orders.is_fully_drained
        self._store = store.PlatformStore(
            reactor, settings.store.address, settings.store.timeout_s, (names.SERVERS_KIND,)
        )
        self._tls = _load_tls_contexts(settings)
        max_client_bytes = settings.capacity.memory_mb * _CLIENT_MEMORY_RATIO * 1024 * 1024
        self._client_memory = client_memory.ClientMemory(
            int(max_client_bytes), int(max_client_bytes * _ONE_CLIENT_RATIO)
        )
        self._supervisor = supervision.Supervisor(reactor, self._count_failure)
        self._machine = own_machine.OwnMachine(
            lambda: self._settings,
            lambda: self._streams.membership,
            reactor.seconds,
            self._supervisor.isolate("heartbeat", self._heartbeat),
        )
        # The first heartbeat is made before there is a slot allocator.
        self._quota_counters: Callable[[], tuple[ids.InstanceId, ...]] = tuple
        self._streams = self._create_member_streams()
        rng = rng or random.Random()
        self._store_sync = self._create_store_sync(rng)
        self._allocator = self._create_slot_allocator()
        self._quota_counters = lambda: self._allocator.quota_counters
        self._servers = self._create_server_access(rng)
        self._metrics = entry_metrics.EntryMetrics(
            instance_gauges.gauges(self._gauge_sources(omitted))
        )
        self._requests = self._create_entry_requests()
        self._loop_monitor = event_loop.EventLoopMonitor(
            _TICK_INTERVAL_S, self._metrics, self._loop_load
        )
        self._request_listener = self._create_request_listener()
        endpoints = entry_endpoints.EntryEndpoints(
            reactor,
            self._streams.membership,
            self._metrics,
            lambda: self._phase,
            lambda: self._settings.bounds.ttl_max_s,
            self._clocks.wall,
        )
        self._readiness_listener = self._create_listener(endpoints.handle_readiness)
        self._directory_listener = self._create_listener(endpoints.handle_directory)
        self._metrics_listener = self._create_listener(endpoints.handle_metrics)
        self._stopping = self._create_stop()
        self._operator_api: typing.Any = None
        self._ports: list[typing.Any] = []
        self._request_port: typing.Any = None

    def _create_member_streams(self) -> member_streams.MemberStreams:
        return member_streams.MemberStreams(
            self._reactor,
            self._identity(),
            self._own_member,
            member_streams.MembershipCallbacks(
                self._supervisor.isolate("message", self._handle_message),
                self._supervisor.isolate("member-lost", self._on_member_lost),
                self._supervisor.isolate("members", self._on_members_change),
                self._supervisor.isolate("new-stream", self._on_new_stream),
                self._supervisor.isolate("new-stream", self._on_stream_replaced),
            ),
            self._tls.peers if self._tls is not None else None,
            self._relay,
        )

    def _relay(self, *relayed: typing.Any) -> defer.Deferred | None:
        """Relay a request of another instance, as `ServerAccess.relay` does."""
        return self._servers.relay(*relayed)

    def _identity(self) -> peers.Identity:
        key = self._settings.security.peer_key.encode()
        return peers.Identity(self._settings.place.name, self._incarnation, key)

    def _create_server_access(self, rng: random.Random) -> server_access.ServerAccess:
        return server_access.ServerAccess(
            self._reactor,
            self._settings,
            rng,
            server_access.InstanceParts(
                self._catalog,
                self._streams,
                self._store,
                self._supervisor,
                self._identity(),
                self._tls.peers if self._tls is not None else None,
                lambda: self._phase is members.Phase.READY,
                self._allocator.update_servers,
                self._clocks.wall,
            ),
        )

    def _create_store_sync(self, rng: random.Random) -> store_sync.StoreSync:
        return store_sync.StoreSync(
            self._reactor,
            self._store,
            self._catalog,
            self._orders,
            rng,
            self._on_catalog_change,
            follow_options.FeedPeers(
                self._settings.place.name,
                self._feed_candidates,
                self._region_relays,
                lambda: self._streams.membership.iter_live(self._reactor.seconds()),
                self._streams.send,
                lambda: self._streams.expects_others,
            ),
            self._supervisor,
            self._follow_times(),
            lambda: self._servers.quarantine.stored,
        )

    def _follow_times(self) -> follow_options.FollowTimes:
        bounds = self._settings.bounds
        return follow_options.FollowTimes.within(
            bounds.config_propagation_s, bounds.drain_s, bounds.evacuation_s
        )

    def _create_slot_allocator(self) -> slot_allocator.SlotAllocator:
        return slot_allocator.SlotAllocator(
            self._reactor,
            self._settings.place.name,
            self._settings.regions,
            self._streams.membership,
            self._catalog,
            self._orders,
            self._streams,
            self._slot_limits(),
            self._streams.limit_share,
            self._quota_terms(),
        )

    def _quota_terms(self) -> quota_service.QuotaTerms:
        bounds = self._settings.bounds
        return quota_service.QuotaTerms(
            quota_counter.QuotaBounds(
                bounds.quota_window_s, bounds.quota_over, bounds.quota_slack
            ),
            self._streams.quota_share,
            int(self._clocks.wall() * 1000),
        )

    def _slot_limits(self) -> shard_limits.SlotLimits:
        bounds = self._settings.bounds
        return shard_limits.SlotLimits(
            bounds.budget_ratio * shard_limits.APPLIED_LIMIT_SHARE,
            bounds.budget_slack * shard_limits.APPLIED_LIMIT_SHARE,
            bounds.budget_window_s,
            bounds.cold_over,
            bounds.cold_slack,
            bounds.shift_most / _LOAN_STEPS_PER_BOUND,
            bounds.shift_most * _REGION_CHANGE_SHARE,
            self._settings.overload.min_route_share,
        )

    def _create_entry_requests(self) -> entry_requests.EntryRequests:
        place = self._settings.place
        return entry_requests.EntryRequests(
            self._reactor,
            place.region,
            place.failure_domain,
            self._incarnation,
            entry_requests.RequestContext(
                self._catalog,
                self._orders,
                self._allocator,
                self._servers.exchange,
                self._metrics,
                self._servers.quarantine,
                self._servers.notices,
                lambda: self._machine.is_slow,
                lambda: self._store_sync.is_config_recent,
                lambda: self._store_sync.config_evidence,
            ),
        )

    def _create_listener(
        self, handler: client_connections.Handler
    ) -> client_connections.ClientListener:
        capacity = self._settings.capacity
        return client_connections.ClientListener(
            self._reactor,
            handler,
            self._client_limits,
            max(64, int(capacity.file_descriptors) - _RESERVED_DESCRIPTORS),
            self._client_memory,
        )

    def _create_request_listener(self) -> client_connections.ClientListener:
        listener = self._create_listener(self._requests.handle)
        listener.is_repeatable = lambda head: repeatable_requests.is_repeatable(
            self._catalog.config, head
        )
        listener.on_body_refused = lambda bound: self._metrics.count(
            entry_metrics.EntryMetric.BODIES_REFUSED, bound.value
        )
        listener.on_dropped = lambda: self._metrics.count(
            entry_metrics.EntryMetric.CONNECTIONS_DROPPED
        )
        return listener

    def _create_stop(self) -> graceful_stop.GracefulStop:
        clients = graceful_stop.ClientSide(
            self._requests,
            self._request_listener,
            (self._readiness_listener, self._directory_listener, self._metrics_listener),
            lambda: self._servers.relays_in_flight,
            lambda: self._allocator.pending_count,
        )
        return graceful_stop.GracefulStop(self._reactor, clients)

    def _gauge_sources(self, omitted: Callable[[], int]) -> instance_gauges.GaugeSources:
        return instance_gauges.GaugeSources(
            self._reactor.seconds,
            self._catalog,
            self._orders,
            self._streams,
            self._store,
            self._store_sync,
            self._allocator,
            self._servers,
            self._client_memory,
            self._machine,
            lambda: self._requests,
            lambda: self._request_listener,
            lambda: self._phase,
            omitted,
        )

    def _loop_load(self) -> event_loop.LoopLoad:
        return event_loop.LoopLoad(
            self._allocator.dispatch_s, self._allocator.queued_count, self._requests.in_flight
        )

    def _client_limits(self) -> routing.ClientLimits:
        config = self._catalog.config
        return config.limits if config is not None else routing.ClientLimits()

    @property
    def phase(self) -> members.Phase:
        """Return the phase of this instance."""
        return self._phase

    async def start(self) -> None:
        """Listen on all addresses, connect to the seeds, and start to follow the store.

        Raises:
            twisted.internet.error.CannotListenError: An address is in use.
        """
        place = self._settings.place
        self._request_port = self._listen(place.http, self._request_listener)
        for address, listener in (
            (place.readiness, self._readiness_listener),
            (place.directory, self._directory_listener),
            (place.metrics, self._metrics_listener),
        ):
            self._listen(address, listener)
        if place.operators and self._settings.security.operators:
            context = self._tls.server if self._tls is not None else None
            self._listen(place.operators, self._create_operator_listener(), context)
        self._streams.start(place.peers, place.seeds)
        self._store_sync.start()
        self._supervisor.start_loop("heartbeat", self._heartbeat, _HEARTBEAT_INTERVAL_S)
        self._supervisor.start_loop("tick", self._tick, _TICK_INTERVAL_S)
        self._supervisor.start_loop("close-idle", self._close_idle, _CLOSE_IDLE_INTERVAL_S)
        logs.event(
            "instance-started",
            region=place.region,
            zone=place.failure_domain,
            protocol=peer_codec.PROTOCOL_VERSION,
        )

    def _listen(
        self, address: str, listener: typing.Any, context: typing.Any = None
    ) -> typing.Any:
        """Listen on an address until the instance stops; return the listening port."""
        host, _, number = address.rpartition(":")
        port = sockets.listen(self._reactor, host, int(number), listener, context)
        self._ports.append(port)
        return port

    def _create_operator_listener(self) -> client_connections.ClientListener:
        # Imported here, as the parser of orders costs memory and only instances with an address
        # for operators need it.
        from carobhook.transport import operator_api, operator_view

        security = self._settings.security
        view = operator_view.OperatorView(
            self._catalog, self._orders, self._streams, self._allocator, self._settings.regions
        )
        self._operator_api = operator_api.OperatorApi(
            self._reactor,
            operator_api.Roles(security.operators, security.readers),
            view.instance_access(self._store, self._reactor.seconds),
            self._clocks.wall,
        )
        return client_connections.ClientListener(
            self._reactor,
            self._operator_api.handle_request,
            lambda: operator_api.CLIENT_LIMITS,
            operator_api.MAX_CONNECTIONS,
            operator_api.MAX_BUFFERED_BYTES,
        )

    def reload(self, settings: entry_settings.EntrySettings) -> None:
        """Apply the changed settings that need no restart.

        These are the seeds, the grace period and the maximum time for which clients may cache
        the response to a directory lookup. All others take effect at the next start.

        Args:
            settings: The changed settings.
        """
        previous = self._settings
        self._settings = attrs.evolve(
            previous, bounds=settings.bounds, regions=settings.regions
        )
        self._streams.connect_seeds(settings.place.seeds)
        needs_restart = (
            settings.place != previous.place or settings.capacity != previous.capacity
        )
        logs.event("settings-reloaded", needs_restart=needs_restart)

    async def stop(self) -> None:
        """Leave the deployment: finish the requests in progress, then close all sockets.

        Calls after the first return at once.
        """
        if self._phase is members.Phase.LEAVING:
            return
        times = graceful_stop.StopTimes.within(
            self._reactor.seconds(), self._settings.bounds.grace_s
        )
        logs.event("instance-leaving", requests=self._requests.in_flight)
        self._phase = members.Phase.LEAVING
        self._supervisor.run("heartbeat", self._heartbeat)
        self._supervisor.run("members", self._allocator.update_owners)
        await self._stopping.finish_requests(self._request_port, times)
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Close all sockets: first the clients', so that no request starts any more."""
        began_at = self._reactor.seconds()
        await self._stopping.close_connections(self._ports)
        self._store_sync.stop()
        self._supervisor.stop()
        await self._streams.stop()
        self._servers.stop()
        self._store.stop()
        took_ms = round((self._reactor.seconds() - began_at) * 1000, 1)
        logs.event("instance-stopped", requests=self._requests.in_flight, took_ms=took_ms)

    def _count_failure(self, part: str) -> None:
        self._metrics.count(entry_metrics.EntryMetric.TASK_FAILURES, part)

    # Messages to and from other instances.

    def _own_member(self) -> members.Member:
        place = self._settings.place
        config = self._catalog.config
        return members.Member(
            place.name,
            self._incarnation,
            place.region,
            place.failure_domain,
            place.http,
            place.peers,
            self._phase,
            ids.Version(config.version if config is not None else 0),
            self._orders.in_force.version,
            self._catalog.store_lost_at is None,
            self._machine.weight,
            self._machine.is_slow,
            self._quota_counters(),
            self._machine.work_time_us,
            self._machine.moved_share,
        )

    def _heartbeat(self) -> None:
        """Send heartbeats; a starting instance that has all objects is ready first."""
        self._machine.move_clients(self._phase, self._reactor.seconds())
        if (
            self._phase is members.Phase.STARTING
            and self._catalog.config is not None
            and self._store_sync.is_complete
        ):
            self._phase = members.Phase.READY
            logs.event("instance-ready", version=self._catalog.config.version)
        self._streams.send_heartbeats()

    def _on_members_change(self) -> None:
        self._allocator.update_owners()

    def _on_new_stream(self, send: Callable[[typing.Any], object]) -> None:
        self._servers.send_initial(send)

    def _on_stream_replaced(self, name: ids.InstanceId) -> None:
        self._store_sync.remove_subscriber(name)
        self._allocator.renew_stream(name)

    def _on_member_lost(self, name: ids.InstanceId) -> None:
        self._allocator.remove_instance(name)
        self._servers.remove_instance(name)
        self._store_sync.remove_subscriber(name)

    def _handle_message(self, sender: ids.InstanceId, message: typing.Any) -> None:
        if isinstance(message, feed_messages.Message):
            self._store_sync.handle_message(sender, message)
        elif isinstance(message, slot_messages.LoadReport):
            if self._operator_api is not None:
                self._operator_api.record_load_report(message)
        elif not self._servers.handle_message(sender, message):
            self._allocator.handle_message(sender, message)

    # Handlers of store changes, and periodic tasks.

    def _on_catalog_change(self) -> None:
        self._allocator.update_servers()
        if self._phase is members.Phase.STARTING:
            self._heartbeat()

    def _tick(self) -> None:
        self._loop_monitor.record_call(self._reactor.seconds())
        self._supervisor.run("machine", self._machine.probe)
        self._supervisor.run("store-sync", self._store_sync.tick)
        self._servers.tick()
        self._supervisor.run("orders", self._advance_orders)
        self._supervisor.run("slots", self._allocator.tick)

    def _advance_orders(self) -> None:
        config = self._catalog.config
        services = tuple(config.services) if config is not None else ()
        if self._orders.advance(services, self._reactor.seconds(), self._clocks.wall()):
            self._allocator.update_servers()

    def _feed_candidates(self) -> list[ids.InstanceId]:
        serving = self._streams.membership.serving(self._reactor.seconds())
        return store_feed.candidates(serving, self._settings.place.region)

    def _region_relays(self) -> list[ids.InstanceId]:
        live = self._streams.membership.live(self._reactor.seconds())
        relays = membership.relays(live, self._settings.place.region)
        return [member.name for member in relays]

    def _close_idle(self) -> None:
        now = self._reactor.seconds()
        self._servers.close_idle(now)
        self._store.close_idle(now)


def _load_tls_contexts(settings: entry_settings.EntrySettings) -> typing.Any:
    """Return the TLS contexts of the settings, or None without a certificate."""
    if not settings.tls.cert:
        return None
    # Imported here, as the TLS library costs memory and start-up time.
    from carobhook.transport import tls

    return tls.load(settings.tls)
