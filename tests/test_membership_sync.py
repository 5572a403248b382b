"""Tests of carobhook.coordination.membership_sync with simulated fleets."""

import collections

import attrs
import pytest

from carobhook.coordination import membership, membership_sync
from carobhook.protocol import membership_messages, peer_codec
from carobhook.state import ids, members

HEARTBEAT_INTERVAL_S = 0.4
REGIONS = ("north", "south", "west")


def member(name, region, weight=1.0, phase=members.Phase.READY, run="0"):
    """Return a member whose addresses and failure domain follow from its name and region."""
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation(run * 16),
        ids.Region(region),
        ids.FailureDomain(f"{region}-a"),
        f"{name}:1",
        f"{name}:2",
        phase,
        ids.Version(1),
        weight=weight,
    )


class Fleet:
    """Simulated instances, which send messages to the addresses that they keep streams to.

    Messages arrive at once. Instances that are down send and receive none, and messages between
    the two sides of a partition are lost. Each instance starts with a few seeds.
    """

    def __init__(self, count, weights=(1.0,), seeds=3):
        self.now = 0.0
        self.members = {
            f"i{n:03}": member(f"i{n:03}", REGIONS[n % 3], weights[n % len(weights)])
            for n in range(count)
        }
        self.by_address = {m.peers: name for name, m in self.members.items()}
        self.seeds = list(self.members)[:seeds]
        self.down, self.partition = set(), set()
        self.bytes_sent = collections.Counter()
        self.messages = collections.Counter()
        self.instances = {name: self.create(name) for name in self.members}

    def create(self, name):
        """Return the membership of an instance that has just started."""
        own = self.members[name]
        table = membership.Membership(own.name)
        table.record_heartbeat(own, self.now)
        return membership_sync.MembershipSync(own.name, own.region, table)

    def is_reachable(self, sender, receiver):
        """Return whether a message between two instances arrives."""
        if {sender, receiver} & self.down:
            return False
        return (sender in self.partition) == (receiver in self.partition)

    def send(self, sender, receiver, message):
        """Deliver a message."""
        size = len(peer_codec.CODEC.encode(message))
        self.bytes_sent[sender] += size
        self.messages[sender] += 1
        if not self.is_reachable(sender, receiver):
            return
        instance = self.instances[receiver]
        if isinstance(message, membership_messages.Heartbeat):
            if instance.table.get(message.member.name) is None:
                instance.record_stream_use(message.member.name, self.now)
                live = tuple(m for m in instance.table.live(self.now) if m.name != receiver)
                roster = membership_messages.RosterUpdate(live, (), True)
                instance.record_heartbeat(message.member, self.now)
                self.send(receiver, sender, roster)
            instance.record_heartbeat(message.member, self.now)
        else:
            instance.apply_update(sender, message, self.now)

    def send_heartbeats(self):
        """Let every instance send its heartbeats and updates once."""
        self.now += HEARTBEAT_INTERVAL_S
        for name, instance in self.instances.items():
            if name in self.down:
                continue
            own = self.members[name]
            instance.table.record_heartbeat(own, self.now)
            live = {m.name for m in instance.table.live(self.now)}
            for dead in [n for n in instance.table._members if n not in live]:
                instance.remove(dead, self.now)
            targets = {
                self.by_address[address] for address in instance.stream_addresses(self.now)
            }
            if len(live) == 1 or self.now < 4.0:
                targets |= set(self.seeds) - {name}
            for other in sorted(targets):
                self.send(name, other, membership_messages.Heartbeat(own))
            for other, message in instance.next_updates(self.now).items():
                self.send(name, other, message)

    def run(self, seconds):
        """Simulate some seconds."""
        for _ in range(round(seconds / HEARTBEAT_INTERVAL_S)):
            self.send_heartbeats()

    def unknown_pairs(self):
        """Return pairs of connected instances of which the first does not know the second."""
        up = [name for name in self.members if name not in self.down]
        return [
            (name, other)
            for name in up
            for other in up
            if (name in self.partition) == (other in self.partition)
            and other not in {m.name for m in self.instances[name].table.live(self.now)}
        ]

    def dead_pairs(self):
        """Return pairs of a running and a stopped instance that the first counts as live."""
        return [
            (name, m.name)
            for name, instance in self.instances.items()
            if name not in self.down
            for m in instance.table.live(self.now)
            if m.name in self.down
        ]


class TestFleet:
    """Which instances know each other, and how soon."""

    @pytest.mark.parametrize("count", [2, 9, 30, 85])
    def test_all_instances_know_each_other_after_the_start(self, count):
        """With up to two of three seeds down, all know each other within 3.2 seconds."""
        fleet = Fleet(count)
        fleet.down = set(fleet.seeds[: min(2, count - 2)])
        fleet.run(3.2)
        assert fleet.unknown_pairs() == []

    @pytest.mark.parametrize("count", [9, 85])
    def test_dead_relays_are_removed(self, count):
        """Within three seconds every instance removes them and knows all others."""
        fleet = Fleet(count)
        fleet.run(4.0)
        relays = [
            m.name
            for region in REGIONS
            for m in membership.relays(fleet.members.values(), region)
        ]
        fleet.down = set(relays[::2])
        fleet.run(2.8)
        assert fleet.dead_pairs() == []
        assert fleet.unknown_pairs() == []

    def test_regions_reconnect_after_a_partition(self):
        """Regions know each other again 3.2 seconds after a partition of a minute."""
        fleet = Fleet(85)
        fleet.run(4.0)
        fleet.partition = {name for name, m in fleet.members.items() if m.region == "south"}
        fleet.run(60.0)
        assert fleet.unknown_pairs() == []
        known = fleet.instances["i000"].table.live(fleet.now)
        assert not [m for m in known if m.region == "south"]
        fleet.partition = set()
        fleet.run(3.2)
        assert fleet.unknown_pairs() == []

    def test_restart_reaches_all_instances(self):
        """The new incarnation of a restarted instance is known within two seconds."""
        fleet = Fleet(85)
        fleet.run(4.0)
        name = "i050"
        fleet.members[name] = member(name, fleet.members[name].region, run="1")
        fleet.instances[name] = fleet.create(name)
        fleet.now += HEARTBEAT_INTERVAL_S
        fleet.run(2.0)
        known = {i.table.get(name).incarnation for i in fleet.instances.values()}
        assert known == {"1" * 16}

    def test_no_instance_is_removed_without_a_failure(self):
        """No instance counts as dead during two minutes without failures."""
        fleet = Fleet(30)
        fleet.run(4.0)
        for _ in range(300):
            fleet.send_heartbeats()
            assert fleet.unknown_pairs() == []


class TestCost:
    """How many bytes instances send, by the size of the fleet."""

    def test_small_machines_send_few_bytes_in_any_fleet(self):
        """Weak instances are no relays, and send under 4 kB/s to the four of their region."""
        fleet = Fleet(85, weights=(100.0, 5.0))
        fleet.run(12.0)
        fleet.bytes_sent.clear()
        fleet.run(20.0)
        small = [n for n, m in fleet.members.items() if m.weight == 5.0]
        assert max(fleet.bytes_sent[name] for name in small) / 20.0 < 4_000
        assert max(fleet.bytes_sent.values()) / 20.0 < 150_000
        relay_weights = [
            m.weight
            for region in REGIONS
            for m in membership.relays(fleet.members.values(), region)
        ]
        assert set(relay_weights) == {100.0}

    def test_traffic_grows_slower_than_the_square_of_the_fleet(self):
        """Four times as many instances send less than eight times as many bytes."""
        totals = []
        for count in (75, 300):
            fleet = Fleet(count)
            fleet.run(12.0)
            fleet.bytes_sent.clear()
            fleet.run(4.0)
            totals.append(sum(fleet.bytes_sent.values()))
        assert totals[1] < 8 * totals[0]


class RollingFleet(Fleet):
    """A fleet whose instances are restarted, and which records the runs that each one knows.

    Attributes:
        runs: Runs of each instance in the order in which each other one took them for the
            present one, by observer and instance.
    """

    STOP_STEPS = 8
    START_STEPS = 2

    def __init__(self, count):
        self.runs = collections.defaultdict(list)
        super().__init__(count)
        # Times of 0 would be unknown ones.
        self.now = 1.0

    def send(self, sender, receiver, message):
        """Deliver a message, and record changes of run."""
        super().send(sender, receiver, message)
        for name in self.members:
            known = self.instances[receiver].table.get(name)
            runs = self.runs[receiver, name]
            if known is not None and known.incarnation not in runs[-1:]:
                runs.append(known.incarnation)

    def enter(self, name, phase, run):
        """Let an instance announce a state."""
        state = member(name, self.members[name].region, phase=phase, run=run)
        self.members[name] = attrs.evolve(state, changed_ms=round(self.now * 1000))

    def restart_in_turn(self):
        """Stop an instance with each round of heartbeats; each starts again once it is down."""
        names = list(self.members)
        for step in range(len(names) + self.STOP_STEPS + self.START_STEPS + 1):
            if step < len(names):
                self.enter(names[step], members.Phase.LEAVING, "0")
            if 0 <= step - self.STOP_STEPS < len(names):
                self.down.add(names[step - self.STOP_STEPS])
            if 0 <= step - self.STOP_STEPS - 1 < len(names):
                self.start_again(names[step - self.STOP_STEPS - 1])
            if 0 <= step - self.STOP_STEPS - self.START_STEPS - 1 < len(names):
                ready = names[step - self.STOP_STEPS - self.START_STEPS - 1]
                self.enter(ready, members.Phase.READY, "1")
            self.send_heartbeats()

    def start_again(self, name):
        """Start an instance that is down; the streams to it are new ones."""
        self.down.discard(name)
        for instance in self.instances.values():
            instance.reset_updates(name)
        self.enter(name, members.Phase.STARTING, "1")
        self.instances[name] = self.create(name)
        for pair in [pair for pair in self.runs if pair[0] == name]:
            del self.runs[pair]


class TestRoll:
    """All instances are restarted one after the other."""

    def test_no_former_run_is_taken_for_the_present_one(self):
        """Whatever lists of others arrive, no instance returns to a former run."""
        fleet = RollingFleet(31)
        for name in fleet.members:
            fleet.enter(name, members.Phase.READY, "0")
        fleet.run(5.2)
        fleet.restart_in_turn()
        fleet.run(3.2)
        returned = {pair: runs for pair, runs in fleet.runs.items() if len(runs) > 2}
        assert returned == {}
        assert fleet.unknown_pairs() == []
        states = {
            (m.incarnation, m.phase)
            for instance in fleet.instances.values()
            for m in instance.table.live(fleet.now)
        }
        assert states == {("1" * 16, members.Phase.READY)}
