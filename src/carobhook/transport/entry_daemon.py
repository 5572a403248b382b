"""One entry instance on the platform: its sockets, and the tasks behind them."""

import json
import random
import secrets
import typing

import attrs
from twisted.internet import defer, task

from carobhook import entry_metrics, entry_settings, logs
from carobhook.coordination import (
    catalog,
    directory,
    intake,
    membership,
    poison,
    refusals,
)
from carobhook.platform import names, requests, store
from carobhook.protocol import (
    feed_messages,
    greetings,
    http1,
    peer_codec,
    slot_messages,
)
from carobhook.state import codes, ids, members, routing
from carobhook.transport import (
    client_connections,
    peers,
    request_flow,
    server_connections,
    slot_desk,
    store_follow,
)

METRICS_PATH = b"/metrics"
_HEARTBEAT_S = 0.4
_DEAD_AFTER_S = 1.4
_CONNECT_TIMEOUT_S = 0.5
_DIRECTORY_TTL_S = 2.0
_MOST_ADDRESSES = 64
_TICK_S = 0.1
_CLOSE_IDLE_S = 1.0
# New connections are taken this long after a stop began, for clients that know nothing else.
_ACCEPT_WHILE_LEAVING_S = 1.5
_STOP_POLL_S = 0.05
# The last answers are out this long before the forced end.
_GRACE_MARGIN_S = 0.4
_DESCRIPTORS_KEPT = 600
_BODY_SHARE_OF_MEMORY = 0.25
# Loans between regions move once in half a second, and a bound holds for two seconds.
_LOAN_STEPS_IN_BOUND = 4
# Share of an agreed bound that is used, as what is on its way is not counted yet.
_BOUND_MARGIN = 0.8
_SEED_KEY = b""
# A request that broke this many servers and was never answered is refused.
_MARKS_OF_POISON = 3
_POISON_RETRY_S = 10.0


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class _MemberStreams:
    """Sends to instances by name."""

    def __init__(self, roster: membership.Membership) -> None:
        self._roster = roster
        self.hub: peers.PeerHub | None = None

    def send(self, name: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance; return False if there is no stream to it."""
        member = self._roster.get(name)
        if member is None or self.hub is None:
            return False
        return self.hub.send(member.peers, message)


class EntryDaemon:
    """One entry instance.

    Args:
        settings: Its settings.
        reactor: The reactor.
        rng: Source of jitter.
        omitted: Returns the number of log lines left out so far.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        reactor: typing.Any,
        rng: random.Random | None = None,
        omitted: typing.Callable[[], int] = lambda: 0,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._rng = rng or random.Random()
        place = settings.place
        self._incarnation = ids.Incarnation(secrets.token_hex(ids.INCARNATION_LENGTH // 2))
        self._phase = members.Phase.STARTING
        self._known = catalog.Catalog()
        self._roster = membership.Membership(place.name, _DEAD_AFTER_S)
        self._intake = intake.Intake(place.region)
        self._store = store.PlatformStore(
            reactor, settings.store.address, settings.store.timeout_s, (names.SERVERS_KIND,)
        )
        self._streams = _MemberStreams(self._roster)
        self._follow = store_follow.StoreFollow(
            reactor,
            self._store,
            self._known,
            self._rng,
            self._catalog_changed,
            store_follow.FeedPort(place.name, self._feed_candidates, self._streams.send),
        )
        self._hub = peers.PeerHub(
            reactor,
            peers.Identity(place.name, self._incarnation, _SEED_KEY),
            self._received,
            peer_codec.CODEC,
            self._greet,
            on_lost=self._stream_lost,
        )
        self._live: set[ids.InstanceId] = set()
        self._streams.hub = self._hub
        self._desk = slot_desk.SlotDesk(
            reactor,
            place.name,
            place.region,
            settings.regions,
            self._roster,
            self._known,
            self._streams,
            self._slot_bounds(),
        )
        self._servers = server_connections.ServerConnections(reactor, _CONNECT_TIMEOUT_S)
        self._wire = requests.ServerWire()
        self._front = self._listener(self._take_request)
        self._readiness = self._listener(self._take_readiness)
        self._directory = self._listener(self._take_directory)
        self._metrics_listener = self._listener(self._take_metrics)
        self._ports: list[typing.Any] = []
        self._flows: set[request_flow.RequestFlow] = set()
        self._loops: list[task.LoopingCall] = []
        self._requests = 0
        self._quarantine = poison.Quarantine(place.name, _MARKS_OF_POISON)
        self._metrics = entry_metrics.EntryMetrics(self._gauges(omitted))

    def _slot_bounds(self) -> slot_desk.SlotBounds:
        bounds = self._settings.bounds
        return slot_desk.SlotBounds(
            bounds.budget_ratio * _BOUND_MARGIN,
            bounds.budget_slack * _BOUND_MARGIN,
            bounds.budget_window_s,
            bounds.cold_over,
            bounds.cold_slack,
            bounds.shift_most / _LOAN_STEPS_IN_BOUND,
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
        self, omitted: typing.Callable[[], int]
    ) -> dict[entry_metrics.EntryMetric, typing.Callable[[], float]]:
        known, seconds = self._known, self._reactor.seconds
        metric = entry_metrics.EntryMetric
        return {
            metric.IN_FLIGHT: lambda: len(self._flows),
            metric.CLIENT_CONNECTIONS: lambda: self._front.open_connections,
            metric.SERVER_CONNECTIONS: lambda: self._servers.opened,
            metric.STORE_CALLS: lambda: self._store.calls,
            metric.STORE_LOST: lambda: float(known.store_lost_at is not None),
            metric.SERVERS: lambda: len(known.servers(seconds())),
            metric.MEMBERS: lambda: len(self._roster.serving(seconds())),
            metric.CONFIG_VERSION: lambda: known.config.version if known.config else 0,
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
        self._hub.listen(*_host_port(place.peers))
        for address, listener in (
            (place.http, self._front),
            (place.readiness, self._readiness),
            (place.directory, self._directory),
            (place.metrics, self._metrics_listener),
        ):
            host, port = _host_port(address)
            self._ports.append(
                self._reactor.listenTCP(port, listener, backlog=512, interface=host)
            )
        self._roster.heard(self._member(), self._reactor.seconds())
        for seed in place.seeds:
            self._hub.connect(seed)
        self._follow.start()
        self._loop(self._beat, _HEARTBEAT_S)
        self._loop(self._tick, _TICK_S)
        self._loop(self._close_idle, _CLOSE_IDLE_S)
        logs.event("instance-started", region=place.region, zone=place.failure_domain)

    def reload(self, settings: entry_settings.EntrySettings) -> None:
        """Take changed settings into force; addresses and names need a restart.

        Args:
            settings: The changed settings.
        """
        kept = self._settings
        self._settings = attrs.evolve(kept, bounds=settings.bounds, regions=settings.regions)
        for seed in settings.place.seeds:
            self._hub.connect(seed)
        needs_restart = settings.place != kept.place or settings.capacity != kept.capacity
        logs.event("settings-reloaded", needs_restart=needs_restart)

    async def stop(self) -> None:
        """Leave without cutting a request, then close all sockets; once only."""
        if self._phase is members.Phase.LEAVING:
            return
        now = self._reactor.seconds()
        end_at = now + max(0.5, self._settings.bounds.grace_s - _GRACE_MARGIN_S)
        logs.event("instance-leaving", requests=len(self._flows))
        self._phase = members.Phase.LEAVING
        self._front.leaving = True
        self._beat()
        self._desk.members_changed()
        self._front.close_idle()
        accept_until = now + _ACCEPT_WHILE_LEAVING_S
        while self._reactor.seconds() < end_at:
            now = self._reactor.seconds()
            if now >= accept_until and not self._flows and not self._front.open_connections:
                break
            if now >= accept_until:
                self._front.close_idle()
            await task.deferLater(self._reactor, _STOP_POLL_S)
        await self._shut_down()

    async def _shut_down(self) -> None:
        self._follow.stop()
        for loop in self._loops:
            loop.stop()
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        await self._hub.stop()
        for listener in (
            self._front,
            self._readiness,
            self._directory,
            self._metrics_listener,
        ):
            listener.abort()
        self._servers.stop()
        self._store.stop()
        logs.event("instance-stopped", requests=len(self._flows))

    def _loop(self, call: typing.Callable[[], object], interval_s: float) -> None:
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
            self._known.store_lost_at is None,
        )

    def _beat(self) -> None:
        now = self._reactor.seconds()
        if (
            self._phase is members.Phase.STARTING
            and self._known.config is not None
            and self._follow.complete
        ):
            self._phase = members.Phase.READY
            logs.event("instance-ready", version=self._known.config.version)
        member = self._member()
        self._roster.heard(member, now)
        self._forget_dead(now)
        self._hub.broadcast(greetings.Heartbeat(member, (self._settings.place.peers,)))

    def _forget_dead(self, now: float) -> None:
        """Give up what instances held that fell silent."""
        live = {member.name for member in self._roster.live(now)}
        for name in self._live - live:
            logs.warning("member-lost", member=name, reason="silent")
            self._desk.lost(name)
            self._follow.lost(name)
        if live != self._live:
            self._live = live
            self._desk.members_changed()

    def _stream_lost(self, name: ids.InstanceId) -> None:
        """Take an instance whose stream ended for gone until it is heard again."""
        if self._roster.get(name) is None or name == self._settings.place.name:
            return
        self._roster.lost(name)
        self._forget_dead(self._reactor.seconds())

    def _greet(self, address: str) -> None:
        beat = greetings.Heartbeat(self._member(), self._hub.known)
        self._hub.send(address, beat)

    def _received(self, sender: ids.InstanceId, message: typing.Any) -> None:
        if isinstance(message, greetings.Heartbeat):
            self._heard(message)
        elif isinstance(message, feed_messages.Message):
            self._follow.received(sender, message)
        elif isinstance(message, slot_messages.RequestMarked):
            expires_at = self._reactor.seconds() + message.remaining_ms / 1000
            self._quarantine.add(
                poison.Mark(message.fingerprint, message.name, message.source, expires_at)
            )
        elif isinstance(message, slot_messages.RequestCleared):
            self._quarantine.clear(message.fingerprint)
        else:
            self._desk.received(sender, message)

    def _heard(self, beat: greetings.Heartbeat) -> None:
        now = self._reactor.seconds()
        member = beat.member
        before = self._roster.get(member.name)
        self._roster.heard(member, now)
        self._hub.connect(member.peers)
        for address in beat.known_peers:
            self._hub.connect(address)
        if before is None or before.incarnation != member.incarnation:
            logs.event("member-seen", member=member.name, phase=member.phase)
            if before is not None:
                self._desk.lost(member.name)
                self._follow.lost(member.name)
        self._live.add(member.name)
        if before is None or before.phase is not member.phase:
            self._desk.members_changed()

    # The store's view.

    def _catalog_changed(self) -> None:
        self._desk.servers_changed()
        if self._phase is members.Phase.STARTING:
            self._beat()

    def _tick(self) -> None:
        self._follow.tick()
        self._desk.tick()

    def _feed_candidates(self) -> list[ids.InstanceId]:
        """Return who could follow the store for this region, in order of preference."""
        region = self._settings.place.region
        serving = self._roster.serving(self._reactor.seconds())
        able = [m.name for m in serving if m.region == region and m.reaches_store]
        ordered = membership.rendezvous(f"feed/{region}", able)
        return [ids.InstanceId(name) for name in ordered]

    def _close_idle(self) -> None:
        now = self._reactor.seconds()
        self._servers.close_idle(now)
        self._store.close_idle(now)

    # Clients.

    def _take_request(
        self,
        inbound: client_connections.Inbound,
        answer: typing.Callable[[http1.Answer], None],
    ) -> client_connections.Exchange | None:
        head = inbound.head
        host = head.get("host") or ""
        path = head.target.partition(b"?")[0].decode("latin-1")
        try:
            left_s = requests.time_left_s(head)
        except ValueError:
            answer(request_flow.refusal_answer(refusals.Refusal(codes.Code.BAD_REQUEST)))
            return None
        placed = self._intake.place(self._known.config, host, path, left_s, inbound.began_at)
        if isinstance(placed, refusals.Refusal):
            logs.event(
                "request-refused",
                request=requests.request_id(head),
                code=placed.code.number,
                detail=placed.detail,
            )
            answer(request_flow.refusal_answer(placed))
            return None
        if self._is_poison(inbound):
            logs.event("request-refused", request=requests.request_id(head), code=1030)
            answer(
                request_flow.refusal_answer(
                    refusals.Refusal(codes.Code.POISONED, retry_after_s=_POISON_RETRY_S)
                )
            )
            return None
        self._requests += 1
        accepted = request_flow.Accepted(
            inbound=inbound,
            id=ids.RequestId(f"{self._incarnation[:8]}-{self._requests:x}"),
            client_id=requests.request_id(head),
            route=placed.route,
            service=placed.service,
            region=placed.region,
            object_key=requests.object_key(head),
            target_at=placed.target_at,
            deadline_at=placed.deadline_at,
            config_version=self._known.config.version if self._known.config else 0,
            domain=self._settings.place.failure_domain,
        )
        flow = request_flow.RequestFlow(
            self._reactor,
            accepted,
            self._desk,
            self._servers,
            self._wire,
            answer,
            lambda outcome: self._ended(flow, outcome),
            self._broke,
            self._known.usable,
        )
        self._flows.add(flow)
        flow.start()
        return flow

    def _ended(self, flow: request_flow.RequestFlow, outcome: request_flow.Outcome) -> None:
        self._flows.discard(flow)
        if outcome.refusal is None:
            self._clear_marks(outcome.accepted)
        accepted = outcome.accepted
        refusal = outcome.refusal
        self._count(outcome)
        logs.event(
            "request-ended",
            request=accepted.client_id,
            route=accepted.route.name,
            service=accepted.service,
            status=outcome.status,
            code=refusal.code.number if refusal is not None else codes.Code.OK.number,
            server=outcome.server,
            detail=refusal.detail if refusal is not None else "",
            sends=outcome.sends,
            config=f"{accepted.config_version:08x}",
            waited_ms=round(outcome.waited_s * 1000, 1),
            total_ms=round(outcome.total_s * 1000, 1),
        )

    def _count(self, outcome: request_flow.Outcome) -> None:
        metric, service = entry_metrics.EntryMetric, outcome.accepted.service
        code = outcome.refusal.code if outcome.refusal is not None else codes.Code.OK
        self._metrics.count(metric.REQUESTS, service, str(code.number))
        self._metrics.observe(metric.REQUEST_TIME, outcome.total_s, service)
        self._metrics.observe(metric.SLOT_WAIT, outcome.waited_s, service)
        for _ in range(1, outcome.sends):
            self._metrics.count(metric.REPEATS, service)

    def _take_metrics(
        self,
        inbound: client_connections.Inbound,
        answer: typing.Callable[[http1.Answer], None],
    ) -> None:
        if inbound.head.target.partition(b"?")[0] != METRICS_PATH:
            answer(client_connections.own_answer(404))
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8"),)
        answer(http1.Answer(200, b"OK", headers, self._metrics.text()))

    def _is_poison(self, inbound: client_connections.Inbound) -> bool:
        if self._quarantine.empty:
            return False
        verdict = self._quarantine.judge(_fingerprint(inbound), self._reactor.seconds())
        return verdict is poison.Verdict.REFUSE

    def _broke(self, accepted: request_flow.Accepted) -> None:
        """Mark a request that a server broke under, here and at the other instances."""
        now = self._reactor.seconds()
        print_ = _fingerprint(accepted.inbound)
        mark = self._quarantine.broke(print_, secrets.token_hex(8), now)
        logs.warning("request-marked", request=accepted.client_id, fingerprint=print_.hex())
        left_ms = round((mark.expires_at - now) * 1000)
        self._hub.broadcast(
            slot_messages.RequestMarked(print_, mark.name, mark.source, left_ms)
        )

    def _clear_marks(self, accepted: request_flow.Accepted) -> None:
        """Forget the marks of a request that was answered."""
        if self._quarantine.empty:
            return
        print_ = _fingerprint(accepted.inbound)
        if self._quarantine.clear(print_):
            self._hub.broadcast(slot_messages.RequestCleared(print_))

    def _take_readiness(
        self,
        inbound: client_connections.Inbound,
        answer: typing.Callable[[http1.Answer], None],
    ) -> None:
        is_ready = self._phase is members.Phase.READY
        answer(client_connections.own_answer(200 if is_ready else 503))

    def _take_directory(
        self,
        inbound: client_connections.Inbound,
        answer: typing.Callable[[http1.Answer], None],
    ) -> None:
        query = requests.directory_query(inbound.head.target)
        if query is None:
            answer(client_connections.own_answer(404))
            return
        addresses = self._addresses(ids.Region(query[1]), ids.FailureDomain(query[2]))
        status = "200" if addresses else "503"
        self._metrics.count(entry_metrics.EntryMetric.LOOKUPS, status)
        if not addresses:
            answer(client_connections.own_answer(503))
            return
        ttl_s = min(self._settings.bounds.ttl_max_s, _DIRECTORY_TTL_S)
        body = json.dumps(requests.directory_answer(addresses, ttl_s)).encode()
        headers = ((b"Content-Type", b"application/json"),)
        answer(http1.Answer(200, b"OK", headers, body))

    def _addresses(self, region: ids.Region, domain: ids.FailureDomain) -> list[str]:
        """Return where clients of a failure domain connect to."""
        serving = self._roster.serving(self._reactor.seconds())
        near = directory.nearest(serving, region, domain)
        return [member.http for member in near[:_MOST_ADDRESSES]]


def _fingerprint(inbound: client_connections.Inbound) -> poison.Fingerprint:
    """Return what stays the same when a client sends a request again."""
    head = inbound.head
    host = head.get("host") or ""
    parts = (inbound.client, host, head.method.decode("latin-1"), head.target.decode("latin-1"))
    return poison.fingerprint_of(parts, inbound.body)
