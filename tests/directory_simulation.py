"""Simulation of instances that measure their machines, and of clients of the directory."""

import collections
import math
import random
import types

import attrs

from carobhook.coordination import directory, membership, moved_clients
from carobhook.state import ids, members
from carobhook.transport import entry_endpoints, own_machine

REGIONS = tuple(ids.Region(name) for name in ("north", "middle", "south"))
LEAD_S = 10.0
TICK_S = 0.1
HEARTBEAT_S = 0.4
# Time until the heartbeat of an instance is known to another one, through relays.
MESSAGE_DELAY_S = 0.4
USUAL_S = 0.00005
SHIFT_MOST = 0.15
WINDOW_S = 2.0
# Clients of a region, and requests a second of each.
CLIENTS = 90
RATE = 10.0
# Some clients keep an answer for several times its time to live.
LONG_KEPT_SHARE = 1 / 3
LONG_KEPT_FACTOR = 3


class Instance:
    """One instance: its measurements of its machine, and what it announces.

    Args:
        region: Region that it runs in.
        number: Number in its region; every third instance is in the second failure domain.
        pace: Returns how long work takes on its machine at a time, as a multiple of the usual.
        table: Instances that all know.
    """

    def __init__(self, region, number, pace, table):
        domain = ids.FailureDomain(f"{region}-{'b' if number % 3 == 2 else 'a'}")
        self.member = members.Member(
            ids.InstanceId(f"{region}-{number}"),
            ids.Incarnation("0" * 16),
            region,
            domain,
            f"{region}-{number}:1",
            f"{region}-{number}:2",
            members.Phase.READY,
            ids.Version(1),
        )
        self.slow_at = []
        self.is_changed = False
        self.split = moved_clients.LookupSplit()
        self._pace = pace
        self._now = -LEAD_S
        settings = types.SimpleNamespace(
            place=types.SimpleNamespace(name=self.member.name, region=region),
            capacity=types.SimpleNamespace(link_mbps=1000.0, cores=0.86),
            bounds=types.SimpleNamespace(shift_most=SHIFT_MOST),
        )
        self._machine = own_machine.OwnMachine(
            lambda: settings, lambda: table, self._seconds, self._change
        )

    def _seconds(self):
        """Return the time; each call takes half of the piece of work."""
        self._now += USUAL_S * self._pace(self._now) / 2
        return self._now

    def _change(self):
        self.is_changed = True

    def tick(self, now):
        """Measure the machine."""
        self._now = now
        self._machine.probe()
        if self._machine.is_slow:
            self.slow_at.append(now)

    def beat(self, now):
        """Return what the next heartbeat announces."""
        self.is_changed = False
        self._machine.move_clients(members.Phase.READY, now)
        return attrs.evolve(
            self.member,
            weight=self._machine.weight,
            is_slow=self._machine.is_slow,
            work_time_us=self._machine.work_time_us,
            moved_share=self._machine.moved_share,
        )


class Client:
    """One client, which connects to the addresses of its last look-up.

    Args:
        name: Address of its host.
        region: Its region.
        domain: Its failure domain.
        kept_s: Seconds for which it keeps an answer.
        first_at: Time of its first look-up.
    """

    def __init__(self, name, region, domain, kept_s, first_at):
        self.name, self.region, self.domain = name, region, domain
        self.kept_s = kept_s
        self.next_at = first_at
        self.chosen = []


class Fleet:
    """Instances in three regions, three in each by default, and the clients of each region.

    Args:
        paces: Returns the pace of an instance's machine, from its region and number.
        seed: Seed of the clients' choices.
        per_region: Instances of each region.
        first_lookups_s: Seconds over which clients' first look-ups are spread.
    """

    def __init__(self, paces, seed=1, per_region=3, first_lookups_s=WINDOW_S):
        self.rng = random.Random(seed)
        self._table = membership.Membership(ids.InstanceId("all"), math.inf)
        self.instances = [
            Instance(
                region, number, lambda now, r=region, n=number: paces(r, n, now), self._table
            )
            for region in REGIONS
            for number in range(per_region)
        ]
        self.clients = [
            self._client(region, number, first_lookups_s)
            for region in REGIONS
            for number in range(CLIENTS)
        ]
        self.runs = collections.defaultdict(collections.Counter)
        self._sent = []

    def _client(self, region, number, first_lookups_s):
        is_long = self.rng.random() < LONG_KEPT_SHARE
        return Client(
            f"10.{REGIONS.index(region)}.0.{number}",
            region,
            ids.FailureDomain(f"{region}-{'ab'[number % 2]}"),
            entry_endpoints.DIRECTORY_TTL_S * (LONG_KEPT_FACTOR if is_long else 1),
            self.rng.uniform(0.0, first_lookups_s),
        )

    def play(self, until):
        """Play from the start of the instances to a time after the start of traffic."""
        for tick in range(round((until + LEAD_S) / TICK_S)):
            now = tick * TICK_S - LEAD_S
            self._tick_instances(tick, now)
            for client in self.clients if now >= 0 else ():
                self._request(client, now)

    def _tick_instances(self, tick, now):
        while self._sent and self._sent[0][0] <= now:
            sent_at, member = self._sent.pop(0)
            self._table.record_heartbeat(member, sent_at)
        beat = round(HEARTBEAT_S / TICK_S)
        for number, instance in enumerate(self.instances):
            instance.tick(now)
            if (tick + number) % beat == 0 or instance.is_changed:
                self._sent.append((now + MESSAGE_DELAY_S, instance.beat(now)))

    def _look_up(self, client, now):
        """Return the instances that one of the directories of the region names."""
        in_region = [i for i in self.instances if i.member.region == client.region]
        asked = self.rng.choice(in_region)
        serving = self._table.serving(now)
        share = moved_clients.region_share(serving, client.region)
        is_elsewhere = asked.split.leads_elsewhere(client.region, share)
        nearby = directory.nearest(serving, client.region, client.domain, is_elsewhere)
        return directory.choose_weighted(nearby, client.name, now)

    def _request(self, client, now):
        if now >= client.next_at:
            client.chosen = self._look_up(client, now)
            client.next_at = now + client.kept_s
        if client.chosen and self.rng.random() < RATE * TICK_S:
            chosen = self.rng.choice(client.chosen)
            self.runs[client.region][round(now / TICK_S), chosen.region] += 1

    def largest_change(self, region):
        """Return the largest share of a region's requests that changes region.

        It is taken over all pairs of windows of two seconds, one right after the other.
        """
        ticks = round(WINDOW_S / TICK_S)
        last = max(tick for tick, _ in self.runs[region])
        return max(self._change(region, end, ticks) for end in range(2 * ticks, last + 2))

    def _change(self, region, end, ticks):
        before = self._shares(region, end - 2 * ticks, end - ticks)
        after = self._shares(region, end - ticks, end)
        return sum(max(0.0, after[r] - before[r]) for r in REGIONS)

    def _shares(self, region, begin, end):
        counts = collections.Counter()
        for tick in range(begin, end):
            for other in REGIONS:
                counts[other] += self.runs[region][tick, other]
        return {other: counts[other] / max(1, counts.total()) for other in REGIONS}

    def share_elsewhere(self, region, begin, end):
        """Return the share of a region's requests of some seconds that ran in other regions."""
        shares = self._shares(region, round(begin / TICK_S), round(end / TICK_S))
        return 1.0 - shares[region]
