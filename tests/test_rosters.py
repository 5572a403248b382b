"""Tests of carobhook.coordination.rosters: fleets whose instances learn of each other."""

import collections

import pytest

from carobhook.coordination import membership, rosters
from carobhook.protocol import membership_messages, peer_codec
from carobhook.state import ids, members

BEAT_S = 0.4
REGIONS = ("north", "south", "west")


def member(name, region, weight=1.0, phase=members.Phase.READY, run="0"):
    """Return a member."""
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
    """Rosters of many instances, whose streams are those that they want.

    A message takes its effect at once; an instance that is down, or cut off, neither sends nor
    gets any. Each instance begins with a few seeds.
    """

    def __init__(self, count, weights=(1.0,), seeds=3):
        self.now = 0.0
        self.members = {
            f"i{n:03}": member(f"i{n:03}", REGIONS[n % 3], weights[n % len(weights)])
            for n in range(count)
        }
        self.by_address = {m.peers: name for name, m in self.members.items()}
        self.seeds = list(self.members)[:seeds]
        self.down, self.cut = set(), set()
        self.octets = collections.Counter()
        self.messages = collections.Counter()
        self.rosters = {name: self.roster(name) for name in self.members}

    def roster(self, name):
        """Return the roster of a new run."""
        own = self.members[name]
        table = membership.Membership(own.name)
        table.heard(own, self.now)
        return rosters.Roster(own.name, own.region, table)

    def reaches(self, sender, receiver):
        """Tell whether a message arrives."""
        if {sender, receiver} & self.down:
            return False
        return (sender in self.cut) == (receiver in self.cut)

    def send(self, sender, receiver, message):
        """Deliver a message."""
        size = len(peer_codec.CODEC.encode(message))
        self.octets[sender] += size
        self.messages[sender] += 1
        if not self.reaches(sender, receiver):
            return
        one = self.rosters[receiver]
        if isinstance(message, membership_messages.Heartbeat):
            if one.table.get(message.member.name) is None:
                one.used(message.member.name, self.now)
                live = tuple(m for m in one.table.live(self.now) if m.name != receiver)
                known = membership_messages.RosterUpdate(live, (), True)
                one.heard(message.member, self.now)
                self.send(receiver, sender, known)
            one.heard(message.member, self.now)
        else:
            one.told(sender, message, self.now)

    def beat(self):
        """Let every instance beat once."""
        self.now += BEAT_S
        for name, one in self.rosters.items():
            if name in self.down:
                continue
            own = self.members[name]
            one.table.heard(own, self.now)
            live = {m.name for m in one.table.live(self.now)}
            for known in [n for n in one.table._members if n not in live]:
                one.lost(known, self.now)
            wanted = {self.by_address[address] for address in one.wanted(self.now)}
            if len(live) == 1 or self.now < 4.0:
                wanted |= set(self.seeds) - {name}
            for other in sorted(wanted):
                self.send(name, other, membership_messages.Heartbeat(own))
            for other, message in one.reports(self.now).items():
                self.send(name, other, message)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / BEAT_S)):
            self.beat()

    def strangers(self):
        """Return pairs of running instances of which the first does not know the second."""
        up = [name for name in self.members if name not in self.down]
        return [
            (name, other)
            for name in up
            for other in up
            if (name in self.cut) == (other in self.cut)
            and other not in {m.name for m in self.rosters[name].table.live(self.now)}
        ]

    def ghosts(self):
        """Return pairs of which the first still counts the second, which is down, as live."""
        return [
            (name, m.name)
            for name, one in self.rosters.items()
            if name not in self.down
            for m in one.table.live(self.now)
            if m.name in self.down
        ]


class TestFleet:
    """Who knows whom, and how soon."""

    @pytest.mark.parametrize("count", [2, 9, 30, 85])
    def test_all_know_all_soon_after_the_start(self, count):
        """With three seeds, two of them down, everyone is found in seconds."""
        fleet = Fleet(count)
        fleet.down = set(fleet.seeds[: min(2, count - 2)])
        fleet.run(3.2)
        assert fleet.strangers() == []

    @pytest.mark.parametrize("count", [9, 85])
    def test_dead_are_forgotten_also_when_they_were_relays(self, count):
        """Every instance forgets them within three seconds, and knows the others then."""
        fleet = Fleet(count)
        fleet.run(4.0)
        relays = [
            m.name
            for region in REGIONS
            for m in membership.relays(fleet.members.values(), region)
        ]
        fleet.down = set(relays[::2])
        fleet.run(2.8)
        assert fleet.ghosts() == []
        assert fleet.strangers() == []

    def test_cut_region_is_found_again(self):
        """After minutes apart, the regions know each other again in seconds."""
        fleet = Fleet(85)
        fleet.run(4.0)
        fleet.cut = {name for name, m in fleet.members.items() if m.region == "south"}
        fleet.run(60.0)
        assert fleet.strangers() == []
        known = fleet.rosters["i000"].table.live(fleet.now)
        assert not [m for m in known if m.region == "south"]
        fleet.cut = set()
        fleet.run(3.2)
        assert fleet.strangers() == []

    def test_new_run_is_heard_of_everywhere(self):
        """A restart shows as another incarnation within two seconds."""
        fleet = Fleet(85)
        fleet.run(4.0)
        name = "i050"
        fleet.members[name] = member(name, fleet.members[name].region, run="1")
        fleet.rosters[name] = fleet.roster(name)
        fleet.now += BEAT_S
        fleet.run(2.0)
        seen = {r.table.get(name).incarnation for r in fleet.rosters.values()}
        assert seen == {"1" * 16}

    def test_everyone_is_kept_while_nothing_fails(self):
        """No instance is taken for dead in minutes of calm."""
        fleet = Fleet(30)
        fleet.run(4.0)
        for _ in range(300):
            fleet.beat()
            assert fleet.strangers() == []


class TestCost:
    """What an instance sends, by the size of the fleet."""

    def test_small_machines_send_little_in_any_fleet(self):
        """Instances that are no relays send to four others, however many there are."""
        fleet = Fleet(85, weights=(100.0, 5.0))
        fleet.run(12.0)
        fleet.octets.clear()
        fleet.run(20.0)
        small = [n for n, m in fleet.members.items() if m.weight == 5.0]
        assert max(fleet.octets[name] for name in small) / 20.0 < 4_000
        assert max(fleet.octets.values()) / 20.0 < 150_000
        strong = [
            m.weight
            for region in REGIONS
            for m in membership.relays(fleet.members.values(), region)
        ]
        assert set(strong) == {100.0}

    def test_octets_grow_slower_than_the_square_of_the_fleet(self):
        """Four times the instances send less than eight times as much in all."""
        totals = []
        for count in (75, 300):
            fleet = Fleet(count)
            fleet.run(12.0)
            fleet.octets.clear()
            fleet.run(4.0)
            totals.append(sum(fleet.octets.values()))
        assert totals[1] < 8 * totals[0]
