"""Table of known instances, and the choice of relays and shard owners among the live ones.

An instance is live while its heartbeats arrive. The choices depend only on the instances given,
so all instances that know the same live instances choose the same relays and owners.
"""

import operator
from collections.abc import Iterable, Iterator, Sequence

import attrs
import xxhash

from carobhook.state import ids, members

DEAD_AFTER_S = 1.4
RELAYS_PER_REGION = 4
# Least weight of a relay, as a fraction of the highest weight in its region. Without it,
# instances on small machines would have to forward the membership of others. Weaker instances
# become relays only if the region has too few others.
_MIN_RELAY_WEIGHT_FRACTION = 0.5


@attrs.define
class Membership:
    """Table of the known instances, including this one.

    Attributes:
        own: Name of this instance.
        dead_after_s: Seconds without a heartbeat after which an instance counts as dead.
    """

    own: ids.InstanceId
    dead_after_s: float = DEAD_AFTER_S
    _members: dict[ids.InstanceId, members.Member] = attrs.field(factory=dict, init=False)
    _last_seen_at: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)

    def record_heartbeat(self, member: members.Member, now: float) -> None:
        """Record a heartbeat.

        Args:
            member: State of the instance, as in its heartbeat.
            now: Monotonic time in seconds.
        """
        # An equal state does not replace the stored object, so that a caller may reuse an
        # earlier result while the members are the same objects.
        if self._members.get(member.name) != member:
            self._members[member.name] = member
        self._last_seen_at[member.name] = now

    def refresh(self, name: ids.InstanceId, now: float) -> None:
        """Record that an instance is live; an unknown instance is ignored."""
        if name in self._members:
            self._last_seen_at[name] = now

    def remove(self, name: ids.InstanceId) -> None:
        """Remove an instance."""
        self._members.pop(name, None)
        self._last_seen_at.pop(name, None)

    def get(self, name: ids.InstanceId) -> members.Member | None:
        """Return the last recorded state of an instance, or None if it is unknown."""
        return self._members.get(name)

    def live(self, now: float) -> list[members.Member]:
        """Return the live instances, sorted by name.

        Args:
            now: Monotonic time in seconds.
        """
        return sorted(self.iter_live(now), key=operator.attrgetter("name"))

    def iter_live(self, now: float) -> Iterator[members.Member]:
        """Yield the live instances in no particular order.

        Args:
            now: Monotonic time in seconds.
        """
        for name, member in self._members.items():
            if now - self._last_seen_at[name] <= self.dead_after_s:
                yield member

    def serving(self, now: float) -> list[members.Member]:
        """Return the live instances that accept new work, sorted by name."""
        return [m for m in self.live(now) if m.phase is members.Phase.READY]


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of preference by rendezvous hashing of a key.

    Args:
        key: Key to place on one or more of the names.
        names: Candidates, in any order.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )


def relays(known: Iterable[members.Member], region: ids.Region) -> list[members.Member]:
    """Return the relays of a region, in order of preference.

    Relays exchange membership with other regions on behalf of their region, and one of them may
    follow the store for it. A region has at most `RELAYS_PER_REGION` relays. They are chosen
    among its stronger instances, so that small machines send only their own messages; if the
    region has no more instances than that, all are relays. Instances that are leaving are
    relays only if the region has no others.

    Args:
        known: Instances to choose from; those of other regions are ignored.
        region: The region.
    """
    by_name = {m.name: m for m in known if m.region == region}
    not_leaving = [m for m in by_name.values() if m.phase is not members.Phase.LEAVING]
    candidates = not_leaving or list(by_name.values())
    if not candidates:
        return []
    highest = max(member.weight for member in candidates)
    eligible = [m.name for m in candidates if m.weight >= _MIN_RELAY_WEIGHT_FRACTION * highest]
    if len(eligible) < RELAYS_PER_REGION:
        by_weight = sorted(candidates, key=lambda m: (-m.weight, m.name))
        eligible = [m.name for m in by_weight[:RELAYS_PER_REGION]]
    order = rendezvous_order(f"relay/{region}", eligible)
    return [by_name[ids.InstanceId(name)] for name in order[:RELAYS_PER_REGION]]


def shard_owner(
    region: ids.Region, service: ids.Service, serving: Sequence[members.Member]
) -> ids.InstanceId | None:
    """Return the instance that owns a shard: the backend servers of a service in a region.

    The owner dispatches requests to these servers. It is one of the relays that the region has
    among the given instances, or an instance of any region if none of this region is given.
    Every request of the region waits for its dispatcher, so that one on a slow machine is the
    owner only if all machines are slow. None is returned if no instance accepts new work.

    Args:
        region: Region of the backend servers.
        service: Service of the backend servers.
        serving: Instances that accept new work.
    """
    in_region = relays(serving, region)
    # Builds that announce no work time choose by weight only; all have to choose alike.
    if all(member.work_time_us for member in serving):
        usual = [member for member in in_region if not member.is_slow]
        in_region = usual or [m for m in serving if not m.is_slow] or in_region
    names = [m.name for m in in_region] or [m.name for m in serving]
    order = rendezvous_order(f"{region}/{service}", names)
    return ids.InstanceId(order[0]) if order else None
