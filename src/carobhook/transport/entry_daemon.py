"""One entry instance on the platform: its sockets, and the tasks behind them."""

import random
import secrets
import time
import typing
from collections.abc import Callable

import attrs
from twisted.internet import defer, task

from carobhook import entry_metrics, entry_settings, logs
from carobhook.coordination import catalog, membership, steering, store_feed
from carobhook.platform import names, store
from carobhook.protocol import feed_messages, slot_messages
from carobhook.state import ids, members, routing
from carobhook.transport import (
    client_connections,
    entry_endpoints,
    entry_requests,
    member_streams,
    peers,
    server_connections,
    shard_dispatchers,
    slot_allocator,
    sockets,
    store_follow,
)

_HEARTBEAT_S = 0.4
_CONNECT_TIMEOUT_S = 0.5
_TICK_S = 0.1
_CLOSE_IDLE_S = 1.0
# New connections are taken this long after a stop began: clients that asked the directory just
# before go by its answer for that time.
_ACCEPT_WHILE_LEAVING_S = entry_endpoints.DIRECTORY_TTL_S + 0.3
_STOP_POLL_S = 0.05
# Share of the grace before whose end the last answers are out and the process has ended.
_GRACE_MARGIN_SHARE = 0.15
_DESCRIPTORS_KEPT = 600
_BODY_SHARE_OF_MEMORY = 0.25
# Loans between regions move once in half a second, and a bound holds for two seconds.
_LOAN_STEPS_IN_BOUND = 4
# Traffic that one core can carry.
_MBPS_OF_CORE = 100.0


@attrs.frozen
class Clocks:
    """Clocks besides the reactor's.

    Attributes:
        wall: Returns the time of day in seconds.
        boot: Returns a steady time in seconds that also counts while the machine is suspended.
    """

    wall: Callable[[], float] = time.time
    boot: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)


class EntryDaemon:
    """One entry instance.

    Args:
        settings: Its settings.
        reactor: The reactor.
        rng: Source of jitter.
        omitted: Returns the number of log lines left out so far.
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
        self._known = catalog.Catalog()
        self._orders = steering.Steering(settings.regions)
        self._known.is_fully_drained = self._orders.is_fully_drained
        self._store = store.PlatformStore(
            reactor, settings.store.address, settings.store.timeout_s, (names.SERVERS_KIND,)
        )
        self._tls = _tls_contexts(settings)
        self._streams = self._member_streams()
        self._follow = self._store_follow(rng or random.Random())
        self._allocator = self._slot_allocator()
        self._servers = server_connections.ServerConnections(reactor, _CONNECT_TIMEOUT_S)
        self._metrics = entry_metrics.EntryMetrics(self._gauges(omitted))
        self._requests = self._entry_requests()
        self._front = self._listener(self._requests.handle)
        endpoints = entry_endpoints.EntryEndpoints(
            reactor,
            self._streams.membership,
            self._metrics,
            lambda: self._phase is members.Phase.READY,
            lambda: self._settings.bounds.ttl_max_s,
        )
        self._readiness = self._listener(endpoints.handle_readiness)
        self._directory = self._listener(endpoints.handle_directory)
        self._metrics_listener = self._listener(endpoints.handle_metrics)
        self._operators: typing.Any = None
        self._ports: list[typing.Any] = []
        self._loops: list[task.LoopingCall] = []

    def _member_streams(self) -> member_streams.MemberStreams:
        place = self._settings.place
        key = self._settings.security.peer_key.encode()
        return member_streams.MemberStreams(
            self._reactor,
            peers.Identity(place.name, self._incarnation, key),
            self._member,
            member_streams.MembershipCallbacks(
                self._received, self._member_lost, self._members_changed
            ),
            self._tls.peers if self._tls is not None else None,
        )

    def _store_follow(self, rng: random.Random) -> store_follow.StoreFollow:
        return store_follow.StoreFollow(
            self._reactor,
            self._store,
            self._known,
            self._orders,
            rng,
            self._catalog_changed,
            store_follow.FeedPort(
                self._settings.place.name,
                self._feed_candidates,
                self._region_relays,
                self._streams.send,
            ),
        )

    def _slot_allocator(self) -> slot_allocator.SlotAllocator:
        return slot_allocator.SlotAllocator(
            self._reactor,
            self._settings.place.name,
            self._settings.regions,
            self._streams.membership,
            self._known,
            self._orders,
            self._streams,
            self._slot_limits(),
            self._streams.visible_share,
        )

    def _slot_limits(self) -> shard_dispatchers.SlotLimits:
        bounds = self._settings.bounds
        return shard_dispatchers.SlotLimits(
            bounds.budget_ratio * shard_dispatchers.APPLIED_LIMIT_SHARE,
            bounds.budget_slack * shard_dispatchers.APPLIED_LIMIT_SHARE,
            bounds.budget_window_s,
            bounds.cold_over,
            bounds.cold_slack,
            bounds.shift_most / _LOAN_STEPS_IN_BOUND,
        )

    def _entry_requests(self) -> entry_requests.EntryRequests:
        place = self._settings.place
        return entry_requests.EntryRequests(
            self._reactor,
            place.name,
            place.region,
            place.failure_domain,
            self._incarnation,
            entry_requests.RequestContext(
                self._known,
                self._orders,
                self._allocator,
                self._servers,
                self._metrics,
                self._streams.broadcast,
            ),
        )

    def _listener(
        self, handler: client_connections.Handler
    ) -> client_connections.ClientListener:
        capacity = self._settings.capacity
        return client_connections.ClientListener(
            self._reactor,
            handler,
            self._client_limits,
            max(64, int(capacity.file_descriptors) - _DESCRIPTORS_KEPT),
            int(capacity.memory_mb * _BODY_SHARE_OF_MEMORY * 1024 * 1024),
        )

    def _gauges(
        self, omitted: Callable[[], int]
    ) -> dict[entry_metrics.EntryMetric, Callable[[], float]]:
        known, seconds = self._known, self._reactor.seconds
        metric = entry_metrics.EntryMetric
        return {
            metric.IN_FLIGHT: lambda: self._requests.in_flight,
            metric.CLIENT_CONNECTIONS: lambda: self._front.open_connections,
            metric.SERVER_CONNECTIONS: lambda: self._servers.opened_count,
            metric.STORE_CALLS: lambda: self._store.calls,
            metric.STORE_LOST: lambda: float(known.store_lost_at is not None),
            metric.SERVERS: lambda: len(known.servers(seconds())),
            metric.MEMBERS: lambda: len(self._streams.membership.serving(seconds())),
            metric.CONFIG_VERSION: lambda: known.config.version if known.config else 0,
            metric.ORDERS_VERSION: lambda: self._orders.in_force.version,
            metric.READY: lambda: float(self._phase is members.Phase.READY),
            metric.LINES_OMITTED: omitted,
        }

    def _client_limits(self) -> routing.ClientLimits:
        config = self._known.config
        return config.limits if config is not None else routing.ClientLimits()

    @property
    def phase(self) -> members.Phase:
        """Return the phase of this instance."""
        return self._phase

    async def start(self) -> None:
        """Listen, and begin to follow the store and the other instances.

        Raises:
            twisted.internet.error.CannotListenError: An address is in use.
        """
        place = self._settings.place
        for address, listener in (
            (place.http, self._front),
            (place.readiness, self._readiness),
            (place.directory, self._directory),
            (place.metrics, self._metrics_listener),
        ):
            self._listen(address, listener)
        if place.operators and self._settings.security.operators:
            context = self._tls.server if self._tls is not None else None
            self._listen(place.operators, self._operator_listener(), context)
        self._streams.start(place.peers, place.seeds)
        self._follow.start()
        self._loop(self._beat, _HEARTBEAT_S)
        self._loop(self._tick, _TICK_S)
        self._loop(self._close_idle, _CLOSE_IDLE_S)
        logs.event("instance-started", region=place.region, zone=place.failure_domain)

    def _listen(self, address: str, listener: typing.Any, context: typing.Any = None) -> None:
        host, _, port = address.rpartition(":")
        self._ports.append(sockets.listen(self._reactor, host, int(port), listener, context))

    def _operator_listener(self) -> client_connections.ClientListener:
        # Imported late, as the language of orders costs memory where nobody orders.
        from carobhook.transport import operator_api, operator_view

        security = self._settings.security
        view = operator_view.OperatorView(
            self._known, self._orders, self._streams, self._allocator, self._settings.regions
        )
        self._operators = operator_api.OperatorApi(
            self._reactor,
            operator_api.Roles(security.operators, security.readers),
            view.ports(self._store, self._reactor.seconds),
            self._clocks.wall,
        )
        return client_connections.ClientListener(
            self._reactor,
            self._operators.take,
            lambda: operator_api.LIMITS,
            operator_api.MAX_CONNECTIONS,
            operator_api.MAX_HELD_OCTETS,
        )

    def reload(self, settings: entry_settings.EntrySettings) -> None:
        """Take changed settings into force; addresses and names need a restart.

        Args:
            settings: The changed settings.
        """
        kept = self._settings
        self._settings = attrs.evolve(kept, bounds=settings.bounds, regions=settings.regions)
        self._streams.connect_seeds(settings.place.seeds)
        needs_restart = settings.place != kept.place or settings.capacity != kept.capacity
        logs.event("settings-reloaded", needs_restart=needs_restart)

    async def stop(self) -> None:
        """Leave without cutting a request, then close all sockets; once only."""
        if self._phase is members.Phase.LEAVING:
            return
        begun_at = self._clocks.boot()
        end_at = begun_at + self._settings.bounds.grace_s * (1 - _GRACE_MARGIN_SHARE)
        accept_until = begun_at + _ACCEPT_WHILE_LEAVING_S
        logs.event("instance-leaving", requests=self._requests.in_flight)
        self._phase = members.Phase.LEAVING
        self._front.closes_after_response = True
        self._beat()
        self._allocator.update_owners()
        self._front.close_idle()
        # The grace goes on while the machine is suspended, so that time counts too.
        while (now := self._clocks.boot()) < end_at:
            if now >= accept_until:
                if not self._requests.in_flight and not self._front.open_connections:
                    break
                self._front.close_idle()
            await task.deferLater(self._reactor, _STOP_POLL_S)
        await self._shut_down()

    async def _shut_down(self) -> None:
        self._follow.stop()
        for loop in self._loops:
            loop.stop()
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        await self._streams.stop()
        for listener in (
            self._front,
            self._readiness,
            self._directory,
            self._metrics_listener,
        ):
            listener.abort()
        self._servers.stop()
        self._store.stop()
        logs.event("instance-stopped", requests=self._requests.in_flight)

    def _loop(self, call: Callable[[], object], interval_s: float) -> None:
        loop = task.LoopingCall(call)
        loop.clock = self._reactor
        loop.start(interval_s).addErrback(
            lambda reason: logs.error("unhandled-error", trace=reason.getTraceback())
        )
        self._loops.append(loop)

    # Other instances.

    def _member(self) -> members.Member:
        place = self._settings.place
        config = self._known.config
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
            self._known.store_lost_at is None,
            self._weight(),
        )

    def _weight(self) -> float:
        """Return how much this instance can carry, in Mbit/s of its link or processor."""
        capacity = self._settings.capacity
        return min(capacity.link_mbps, capacity.cores * _MBPS_OF_CORE)

    def _beat(self) -> None:
        if (
            self._phase is members.Phase.STARTING
            and self._known.config is not None
            and self._follow.complete
        ):
            self._phase = members.Phase.READY
            logs.event("instance-ready", version=self._known.config.version)
        self._streams.send_heartbeats()

    def _members_changed(self) -> None:
        self._allocator.update_owners()

    def _member_lost(self, name: ids.InstanceId) -> None:
        self._allocator.remove_instance(name)
        self._follow.lost(name)

    def _received(self, sender: ids.InstanceId, message: typing.Any) -> None:
        if isinstance(message, feed_messages.Message):
            self._follow.received(sender, message)
        elif isinstance(message, slot_messages.RequestMarked):
            self._requests.apply_mark(message)
        elif isinstance(message, slot_messages.RequestCleared):
            self._requests.apply_clearing(message)
        elif isinstance(message, slot_messages.LoadQuery):
            loads = tuple(self._allocator.loads())
            self._streams.send(sender, slot_messages.LoadReport(message.id, loads))
        elif isinstance(message, slot_messages.LoadReport):
            if self._operators is not None:
                self._operators.told_loads(message)
        else:
            self._allocator.handle_message(sender, message)

    # The store's view.

    def _catalog_changed(self) -> None:
        self._allocator.update_servers()
        if self._phase is members.Phase.STARTING:
            self._beat()

    def _tick(self) -> None:
        self._follow.tick()
        config = self._known.config
        services = tuple(config.services) if config is not None else ()
        if self._orders.advance(services, self._reactor.seconds(), self._clocks.wall()):
            self._allocator.update_servers()
        self._allocator.tick()

    def _feed_candidates(self) -> list[ids.InstanceId]:
        serving = self._streams.membership.serving(self._reactor.seconds())
        return store_feed.candidates(serving, self._settings.place.region)

    def _region_relays(self) -> list[ids.InstanceId]:
        live = self._streams.membership.live(self._reactor.seconds())
        found = membership.relays(live, self._settings.place.region)
        return [member.name for member in found]

    def _close_idle(self) -> None:
        now = self._reactor.seconds()
        self._servers.close_idle(now)
        self._store.close_idle(now)


def _tls_contexts(settings: entry_settings.EntrySettings) -> typing.Any:
    """Return how connections are secured, None without certificates."""
    if not settings.tls.cert:
        return None
    # Imported late, as the library costs memory and time at the start.
    from carobhook.transport import tls

    return tls.load(settings.tls)
