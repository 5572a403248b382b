"""Which instances are live, judged by heartbeats."""

from collections.abc import Iterable, Sequence

import attrs
import xxhash

from carobhook.state import ids, members

DEAD_AFTER_S = 1.4
RELAYS = 4
# An instance is a relay only if it can carry this part of what the strongest one can.
_RELAY_WEIGHT_SHARE = 0.5


@attrs.define
class Membership:
    """Table of the instances heard from, this one included.

    Attributes:
        own: Name of this instance.
        dead_after_s: Seconds of silence after which an instance counts as dead.
    """

    own: ids.InstanceId
    dead_after_s: float = DEAD_AFTER_S
    _members: dict[ids.InstanceId, members.Member] = attrs.field(factory=dict, init=False)
    _heard_at: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)

    def heard(self, member: members.Member, now: float) -> None:
        """Take in a heartbeat.

        Args:
            member: What the instance says of itself.
            now: Monotonic time in seconds.
        """
        # The value kept is the same object as long as it is equal, which look-ups rely on to
        # find their last answer fast.
        if self._members.get(member.name) != member:
            self._members[member.name] = member
        self._heard_at[member.name] = now

    def touched(self, name: ids.InstanceId, now: float) -> None:
        """Take in that an instance that is known is live still."""
        if name in self._members:
            self._heard_at[name] = now

    def lost(self, name: ids.InstanceId) -> None:
        """Forget an instance that said it has left."""
        self._members.pop(name, None)
        self._heard_at.pop(name, None)

    def get(self, name: ids.InstanceId) -> members.Member | None:
        """Return what an instance last said of itself, or None if it is not known."""
        return self._members.get(name)

    def live(self, now: float) -> list[members.Member]:
        """Return the instances heard from lately, by name.

        Args:
            now: Monotonic time in seconds.
        """
        return [
            member
            for name, member in sorted(self._members.items())
            if now - self._heard_at[name] <= self.dead_after_s
        ]

    def serving(self, now: float) -> list[members.Member]:
        """Return the live instances that take new work."""
        return [m for m in self.live(now) if m.phase is members.Phase.READY]


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of preference that rendezvous hashing gives for a key.

    Args:
        key: What is placed.
        names: Candidates; their order does not matter.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )


def relays(known: Iterable[members.Member], region: ids.Region) -> list[members.Member]:
    """Return the instances of a region that speak for it, best first.

    They are few and among its strongest, so that small machines carry no messages but their
    own. In a region of few instances, all are relays.

    Args:
        known: Instances, of which only those of the region count.
        region: The region.
    """
    own = {m.name: m for m in known if m.region == region}
    staying = [m for m in own.values() if m.phase is not members.Phase.LEAVING]
    pool = staying or list(own.values())
    if not pool:
        return []
    strongest = max(member.weight for member in pool)
    able = [m.name for m in pool if m.weight >= _RELAY_WEIGHT_SHARE * strongest]
    if len(able) < RELAYS:
        by_weight = sorted(pool, key=lambda m: (-m.weight, m.name))
        able = [m.name for m in by_weight[:RELAYS]]
    order = rendezvous(f"relay/{region}", able)
    return [own[ids.InstanceId(name)] for name in order[:RELAYS]]


def shard_owner(
    region: ids.Region, service: ids.Service, serving: Sequence[members.Member]
) -> ids.InstanceId | None:
    """Return the instance that dispatches to a service's backend servers in a region.

    A relay of the region is preferred; without any, an instance of another region takes over.

    Args:
        region: Region of the backend servers.
        service: Their service.
        serving: Instances that take new work.
    """
    names = [m.name for m in relays(serving, region)] or [m.name for m in serving]
    order = rendezvous(f"{region}/{service}", names)
    return ids.InstanceId(order[0]) if order else None
