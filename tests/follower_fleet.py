"""Simulated instances of one region that follow a store, which may stop to answer."""

import collections
import json
import math
import random

from twisted.internet import task

import store_access
import test_restored_store
import test_store_feed
from carobhook.coordination import catalog, objects, steering, store_feed
from carobhook.platform import names
from carobhook.protocol import peer_codec
from carobhook.state import ids, members
from carobhook.transport import follow_options, store_sync, supervision

REGION = ids.Region("r")
OTHER_REGION = ids.Region("other")
TICK_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 0.4
# Time until the heartbeat of an instance is known to another one, through a relay.
MAX_HEARTBEAT_DELAY_S = 0.8
MESSAGE_DELAY_S = 0.002
# Time from a call to its answer, on a connection of its own.
ANSWER_DELAY_S = 0.09
CALL_TIMEOUT_S = 1.5
STRONG_LINK_RATIO = 10.0
STRONG_COUNT = 4
STEP_S = 0.01
CONFIG_PROPAGATION_S = test_store_feed.CONFIG_PROPAGATION_S


class Link:
    """Way of messages in one direction, which arrive in the order in which they were sent.

    Attributes:
        bytes_per_s: Bytes that it carries in a second.
        delay_s: Seconds for which each message is on its way besides.
    """

    def __init__(self, clock, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.delay_s = 0.0
        self._clock = clock
        self._free_at = 0.0
        self._arrived_at = 0.0

    def transfer_s(self, size):
        """Return after how many seconds a number of bytes that are sent now have arrived."""
        now = self._clock.seconds()
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        self._arrived_at = max(self._arrived_at, self._free_at + self.delay_s)
        return self._arrived_at - now

    def become_late(self, delay_s, within_s):
        """Let the delay grow steadily to some seconds."""
        steps = round(within_s / STEP_S)
        for step in range(1, steps + 1):
            self._clock.callLater(
                step * STEP_S, setattr, self, "delay_s", delay_s * step / steps
            )


class Store(store_access.StoreAccess):
    """Access of one instance to the store.

    A call that is made while the store is silent gets no answer, also if the store is back
    before the call's time is over.

    Attributes:
        is_silent: Whether the store does not answer calls of this instance.
        is_mute: Whether the store answers probes of this instance, but no other call.
        link: Way of its answers.
        answered_at: Monotonic time in seconds of the last answer.
        watch_answered_at: The same, of the last answer of a watch.
        listed: Number of listings asked for, by kind.
    """

    def __init__(self, engine, clock, link):
        super().__init__(engine, clock)
        self.link = link
        self.is_silent = False
        self.is_mute = False
        self.listed = collections.Counter()
        self.answered_at = self.watch_answered_at = clock.seconds()

    def go_silent(self):
        """Stop to answer; the watches that wait get no answer either."""
        self.is_silent = True
        self.silence_watches()

    async def _await_answer(self, timeout_s, is_probe=False):
        if self.is_silent or (self.is_mute and not is_probe):
            await task.deferLater(self.clock, timeout_s)
            raise objects.UnavailableError(f"no answer in {timeout_s:g} s")
        await task.deferLater(self.clock, ANSWER_DELAY_S)

    async def _receive(self, values, timeout_s):
        """Wait until an answer has arrived."""
        size = sum(len(json.dumps(value)) for value in values)
        transfer_s = self.link.transfer_s(size)
        if transfer_s > timeout_s:
            await task.deferLater(self.clock, timeout_s)
            raise objects.UnavailableError(f"no answer in {timeout_s:g} s")
        if transfer_s > 0:
            await task.deferLater(self.clock, transfer_s)
        self.answered_at = self.clock.seconds()

    async def probe(self, timeout_s):
        """Make the cheapest call."""
        await self._await_answer(timeout_s, is_probe=True)
        await self._receive((), timeout_s)

    async def list(self, kind):
        """Return all objects of one kind."""
        self.listed[kind] += 1
        await self._await_answer(CALL_TIMEOUT_S)
        listing = await super().list(kind)
        await self._receive((item.value for item in listing.items), CALL_TIMEOUT_S)
        return listing

    async def watch(self, kinds, since, wait_s, margin_s):
        """Return the events after ``since`` once there are some, or none after ``wait_s``."""
        await self._await_answer(wait_s + margin_s)
        called_at = self.clock.seconds()
        batch = await super().watch(kinds, since, wait_s, margin_s)
        left_s = called_at + wait_s + margin_s - self.clock.seconds()
        await self._receive((event.value for event in batch.events), left_s)
        self.watch_answered_at = self.clock.seconds()
        return batch


class Instance:
    """One instance: what it knows, and how it follows the store.

    Args:
        fleet: Its fleet.
        name: Its name.
        region: Its region.
    """

    def __init__(self, fleet, name, region=REGION):
        self.fleet = fleet
        self.name = name
        self.region = region
        # Only instances with strong links follow the store for others.
        self.weight = STRONG_LINK_RATIO if name in fleet.names[:STRONG_COUNT] else 1.0
        link_bytes_per_s = self.weight * fleet.link_bytes_per_s
        self.incoming = Link(fleet.clock, link_bytes_per_s)
        self.outgoing = Link(fleet.clock, link_bytes_per_s)
        self.store = Store(fleet.engine, fleet.clock, self.incoming)
        self.known = catalog.Catalog()
        self.members = {}
        # Whether what it sends is lost, as on streams that break.
        self.loses_messages = False
        self.marks = store_access.Marks()
        self.sync = store_sync.StoreSync(
            fleet.clock,
            self.store,
            self.known,
            steering.Steering({}),
            random.Random(fleet.rng.random()),
            lambda: None,
            follow_options.FeedPeers(
                name,
                lambda: store_feed.candidates(self.members.values(), self.region),
                lambda: [m.name for m in self.members.values() if m.region == region],
                lambda: list(self.members.values()),
                self.send,
            ),
            supervision.Supervisor(fleet.clock),
            test_store_feed.FOLLOW_TIMES,
            lambda: self.marks,
        )
        self.ticks = task.LoopingCall(self.sync.tick)
        self.heartbeats = task.LoopingCall(self.announce)
        for loop, interval_s in (
            (self.ticks, TICK_INTERVAL_S),
            (self.heartbeats, HEARTBEAT_INTERVAL_S),
        ):
            loop.clock = fleet.clock
            fleet.clock.callLater(fleet.rng.uniform(0, interval_s), loop.start, interval_s)

    @property
    def version(self):
        """Return the version of the configuration in force, 0 before the first."""
        return self.known.config.version if self.known.config is not None else 0

    def member(self):
        """Return the state that it announces."""
        return members.Member(
            self.name,
            ids.Incarnation("1"),
            self.region,
            ids.FailureDomain("d"),
            "",
            "",
            members.Phase.READY if self.sync.is_complete else members.Phase.STARTING,
            ids.Version(self.version),
            reaches_store=self.known.store_lost_at is None,
            weight=self.weight,
        )

    def stop(self):
        """End this instance; the others forget it at once."""
        self.ticks.stop()
        self.heartbeats.stop()
        self.sync.stop()
        del self.fleet.instances[self.name]
        for other in self.fleet.instances.values():
            other.members.pop(self.name, None)
            other.sync.remove_subscriber(self.name)

    def announce(self):
        """Send its state to all instances, which get it some time later."""
        member = self.member()
        self.members[self.name] = member
        for other in self.fleet.instances.values():
            if other is not self:
                delay_s = self.fleet.rng.uniform(0, MAX_HEARTBEAT_DELAY_S)
                self.fleet.clock.callLater(delay_s, other.hear, member)

    def hear(self, member):
        """Receive the state of another instance."""
        if member.phase is members.Phase.READY and member.name in self.fleet.instances:
            self.members[member.name] = member

    def send(self, to, message):
        """Send a message of the feed to another instance."""
        receiver = self.fleet.instances.get(to)
        if receiver is None:
            return False
        if self.loses_messages:
            return True
        size = len(peer_codec.CODEC.encode(message))
        sent_s = self.outgoing.transfer_s(size) + MESSAGE_DELAY_S
        self.fleet.clock.callLater(sent_s, receiver.receive, self.name, message, size)
        return True

    def receive(self, sender, message, size):
        """Handle a message once it has come in on the link of this instance."""
        transfer_s = self.incoming.transfer_s(size)
        if transfer_s > 0:
            self.fleet.clock.callLater(transfer_s, self.sync.handle_message, sender, message)
        else:
            self.sync.handle_message(sender, message)


class Fleet:
    """Instances of a region and their store, on a simulated clock.

    Args:
        size: Number of instances.
        seed: Seed of all random times.
        has_other_region: Whether the last of them stands in another region.
        link_bytes_per_s: Bytes that the weakest links carry in a second.
    """

    def __init__(self, size, seed, has_other_region=False, link_bytes_per_s=math.inf):
        self.rng = random.Random(seed)
        self.link_bytes_per_s = link_bytes_per_s
        self.clock = task.Clock()
        self.engine = store_access.create_access(self.clock).engine
        self.names = [ids.InstanceId(f"i{number}") for number in range(size)]
        self.version = 1
        self.engine.create(
            names.CONFIG_KIND, names.CONFIG_NAME, test_restored_store.config(1), 0.0
        )
        self.instances = {}
        for name in self.names:
            is_other = has_other_region and name == self.names[-1]
            region = OTHER_REGION if is_other else REGION
            self.instances[name] = Instance(self, name, region)
        self.run(8.0)
        assert self.versions == {1}

    @property
    def versions(self):
        """Return the versions of the configuration that are in force at any instance."""
        return {instance.version for instance in self.instances.values()}

    @property
    def source(self):
        """Return the instance that follows the store for the others."""
        return next(i for i in self.instances.values() if i.sync.is_direct)

    @property
    def lost_count(self):
        """Return the number of instances that take the store for unavailable."""
        return sum(i.known.store_lost_at is not None for i in self.instances.values())

    def run(self, seconds):
        """Simulate some seconds."""
        end_at = self.clock.seconds() + seconds
        while self.clock.seconds() < end_at:
            self.clock.advance(STEP_S)

    def play_outage(self, seconds):
        """Let the store answer nobody for some seconds, and all calls made from then on."""
        for instance in self.instances.values():
            instance.store.go_silent()
        self.run(seconds)
        for instance in self.instances.values():
            instance.store.is_silent = False

    def change_config(self, routes=()):
        """Write the next version of the configuration.

        Args:
            routes: Its routes.
        """
        self.version += 1
        now = self.clock.seconds()
        stored = self.engine.get(names.CONFIG_KIND, names.CONFIG_NAME, now)
        self.engine.update(
            names.CONFIG_KIND,
            names.CONFIG_NAME,
            {**test_restored_store.config(self.version), "Routes": list(routes)},
            stored.version,
            now,
        )

    def seconds_until_in_force(self, limit_s=20.0):
        """Return after how many seconds the last version is in force at each instance.

        Args:
            limit_s: Seconds after which it is given up; instances without the version are
                left out.
        """
        began_at = self.clock.seconds()
        delays = {}
        while len(delays) < len(self.instances) and self.clock.seconds() - began_at < limit_s:
            for name, instance in self.instances.items():
                if name not in delays and instance.version == self.version:
                    delays[name] = self.clock.seconds() - began_at
            self.clock.advance(STEP_S)
        return delays
