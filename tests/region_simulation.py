"""Simulation of dispatchers in unequal regions, with the loans between them."""

import collections
import random
import typing

import attrs
from twisted.internet import task

from carobhook.coordination import catalog, membership, steering
from carobhook.state import allocation, ids, members, routing, servers
from carobhook.transport import shard_limits, slot_allocator

SERVICE = ids.Service("svc")
SMALL, MIDDLE, LARGE = ids.Region("small"), ids.Region("middle"), ids.Region("large")
SERVERS = {SMALL: 6, MIDDLE: 24, LARGE: 30}
SLOTS = 6
DOMAINS = {
    ids.FailureDomain(f"{region}-{letter}"): region for region in SERVERS for letter in "abc"
}
SHIFT_MOST = 0.15
LIMITS = shard_limits.SlotLimits(0.2, 58, 10.0, 1.5, 5.0, SHIFT_MOST / 4)
WINDOW_S = 2.0
TICK_S = 0.05


@attrs.define
class Traffic:
    """The traffic of one region.

    Attributes:
        per_s: Requests a second.
        work_s: Mean work time of a request, in seconds.
        warm_s: Mean work time at a server that handled the object before.
        objects: Number of different objects, or 0 for requests without an object.
        target_s: Time from the arrival after which a response is late.
    """

    WORK_S: typing.ClassVar = 2.2

    per_s: float
    work_s: float = WORK_S
    warm_s: float = WORK_S
    objects: int = 0
    target_s: float = 8.0


@attrs.frozen
class Run:
    """A request that got a slot.

    Attributes:
        at: Simulated time in seconds of the grant.
        home: Region of the client.
        region: Region of the server.
        free_at_home: Slots of the home region that were free at the grant, less those lent.
        in_time: Whether its response is in time.
    """

    at: float
    home: ids.Region
    region: ids.Region
    free_at_home: int
    in_time: bool


class Regions:
    """One instance in each region, with servers that run the requests in simulated time.

    Args:
        seed: Seed of arrivals, objects and work times.
        idle_s: Seconds from the start of the instances to the first request.
        server_counts: Number of servers of each region.
        slots: Slots of each server.
        memory: Number of objects that each server keeps, or None for no limit.
        limits: Limits of the dispatchers.
    """

    def __init__(
        self,
        seed=1,
        idle_s=2.0,
        server_counts=None,
        slots=SLOTS,
        memory=None,
        limits=LIMITS,
    ):
        self.limits = limits
        self.server_counts = server_counts or SERVERS
        self.slots = slots
        self.memory = memory
        self.clock = task.Clock()
        self.rng = random.Random(seed)
        self.region_of = {}
        self.busy = collections.Counter()
        self.warm = collections.defaultdict(collections.OrderedDict)
        self.runs, self.overfilled = [], []
        self.refused = collections.Counter()
        self.cut = set()
        self.memberships, self.allocators = {}, {}
        self._count = 0
        known = [self._member(region) for region in self.server_counts]
        for region in self.server_counts:
            self._add(region)
        for table in self.memberships.values():
            for member in known:
                table.record_heartbeat(member, 0.0)
        self.play({}, idle_s)

    def _member(self, region):
        return members.Member(
            ids.InstanceId(region),
            ids.Incarnation(f"{region:0<16}"),
            region,
            ids.FailureDomain(f"{region}-a"),
            f"{region}:1",
            f"{region}:2",
            members.Phase.READY,
            ids.Version(1),
        )

    def _add(self, region):
        name = ids.InstanceId(region)
        server_catalog = catalog.Catalog()
        policy = routing.ServicePolicy(SERVICE, "/health", 100, 3.0, 5.0)
        server_catalog.replace_config_if_newer(routing.RoutingConfig(1, (), {SERVICE: policy}))
        for home, count in self.server_counts.items():
            for number in range(count):
                server = ids.Server(f"{home}-{number:02}")
                self.region_of[server] = home
                server_catalog.put(
                    servers.ServerEntry(
                        server,
                        SERVICE,
                        ids.FailureDomain(f"{home}-{'abc'[number % 3]}"),
                        f"{server}:80",
                        self.slots,
                        servers.ServerState.READY,
                        0.0,
                    ),
                    -60.0,
                )
        table = self.memberships[name] = membership.Membership(name, 1e9)
        self.allocators[name] = slot_allocator.SlotAllocator(
            self.clock,
            name,
            DOMAINS,
            table,
            server_catalog,
            steering.Steering(DOMAINS),
            Streams(self, name),
            self.limits,
            lambda region: 1.0,
        )

    def shard(self, region):
        """Return the state of a region's dispatcher."""
        return self.allocators[ids.InstanceId(region)]._dispatchers._shards[(region, SERVICE)]

    def lent_to(self, region):
        """Return the slots that the other regions lend to a region."""
        return sum(
            sum(self.shard(other).lent.get(region, {}).values())
            for other in self.server_counts
            if other != region
        )

    def play(self, traffic, length_s):
        """Let traffic come for some seconds.

        Args:
            traffic: Traffic by region.
            length_s: Seconds.
        """
        start = self.clock.seconds()
        arrivals = []
        for region, load in traffic.items():
            at = start
            while (at := at + self.rng.expovariate(load.per_s)) < start + length_s:
                arrivals.append((at, region, load))
        arrivals.sort(key=lambda arrival: arrival[:2])
        ticks = round(length_s / TICK_S)
        for number in range(1, ticks + 1):
            until = start + number * TICK_S
            while arrivals and arrivals[0][0] < until:
                at, region, load = arrivals.pop(0)
                self.clock.advance(max(0.0, at - self.clock.seconds()))
                self._arrive(region, load)
            self.clock.advance(max(0.0, until - self.clock.seconds()))
            for allocator in self.allocators.values():
                allocator.tick()

    def _arrive(self, region, load):
        self._count += 1
        now = self.clock.seconds()
        key = f"o{self.rng.randrange(load.objects)}" if load.objects else None
        request = allocation.SlotRequest(
            ids.RequestId(f"r{self._count}"),
            SERVICE,
            "route",
            key,
            1,
            now + load.target_s,
            now + 15.0,
            domain=ids.FailureDomain(f"{region}-{self.rng.choice('abc')}"),
        )
        noise = self.rng.uniform(0.8, 1.2)
        decided = self.allocators[ids.InstanceId(region)].request_slot(request, region)
        decided.addCallback(self._decide, region, request, load, noise)

    def _decide(self, decision, home, request, load, noise):
        if isinstance(decision, allocation.SlotRefusal):
            self.refused[home] += 1
            return
        server, now = decision.server, self.clock.seconds()
        pool = self.shard(home).dispatcher.pool
        free = sum(s.free_slots(now) for s in pool.servers if s.region == home)
        is_warm = self._touch(server, request.object_key)
        work_s = (load.warm_s if is_warm else load.work_s) * noise
        in_time = now + work_s <= request.target_at
        self.runs.append(Run(now, home, self.region_of[server], free, in_time))
        self.busy[server] += 1
        if self.busy[server] > self.slots:
            self.overfilled.append((now, server))
        self.clock.callLater(work_s, self._end, home, request.id, server)

    def _touch(self, server, key):
        """Keep an object in a server's memory; return whether it was there already."""
        if key is None:
            return False
        kept = self.warm[server]
        was_kept = key in kept
        kept[key] = None
        kept.move_to_end(key)
        if self.memory is not None and len(kept) > self.memory:
            kept.popitem(last=False)
        return was_kept

    def _end(self, home, request_id, server):
        self.busy[server] -= 1
        self.allocators[ids.InstanceId(home)].release_slot(
            request_id, allocation.AttemptOutcome.ANSWERED
        )

    def restart_dispatcher(self, region):
        """Replace a region's dispatcher by a new one, as when its shard moves."""
        dispatchers = self.allocators[ids.InstanceId(region)]._dispatchers
        dispatchers.hand_over((region, SERVICE))
        dispatchers.get_or_create((region, SERVICE))

    def shifts(self, start):
        """Return the largest share of each region's requests that changed their region.

        Args:
            start: Simulated time in seconds at which the first window begins.
        """
        windows = collections.defaultdict(collections.Counter)
        for run in self.runs:
            if run.at >= start:
                windows[run.home, int((run.at - start) / WINDOW_S)][run.region] += 1
        shifts = dict.fromkeys(self.server_counts, 0.0)
        for (home, number), now in windows.items():
            before = windows.get((home, number - 1))
            if before is not None:
                moved = sum(
                    abs(before[region] / before.total() - now[region] / now.total())
                    for region in self.server_counts
                )
                shifts[home] = max(shifts[home], moved / 2)
        return shifts

    def away_with_slots_at_home(self, start=0.0):
        """Return the runs in other regions while slots at home were free."""
        return [
            run
            for run in self.runs
            if run.at >= start and run.region != run.home and run.free_at_home > 0
        ]


class Streams:
    """Streams of one region's instance to the others."""

    def __init__(self, regions, own):
        self.regions = regions
        self.own = own

    def send(self, name, message):
        """Deliver a message at once, unless the stream is cut."""
        if (self.own, name) in self.regions.cut:
            return False
        self.regions.allocators[name].handle_message(self.own, message)
        return True
