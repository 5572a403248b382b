"""Choice of the instances whose addresses a client gets from the directory."""

import math
from collections.abc import Sequence

import xxhash

from carobhook.state import ids, members

# With a single address, a client could not switch to another instance when that one fails.
_MIN_INSTANCES = 2
# Clients of a region are led to others too if less than this share of its instances' weight is
# on machines that work at their usual pace.
_MIN_USUAL_SHARE = 0.5
# Clients choose among their addresses at random, without regard to weights. The fewer addresses
# each gets, the closer the load follows the weights by which the addresses are drawn.
_CHOICE_SIZE = 3
# The addresses for a client are drawn again this often. Otherwise, a small number of clients
# would load the same few instances all the time.
_CHOICE_LIFETIME_S = 20.0
_HASH_COUNT = float(2**64)


def nearest(
    serving: Sequence[members.Member], region: ids.Region, domain: ids.FailureDomain
) -> list[members.Member]:
    """Return the instances that are nearest to clients of a failure domain.

    They are those of the domain if there are two or more, else those of the region, or all
    instances if the region has none. Instances on slow machines are left out; if that leaves a
    region with too little, its clients are led to all others.

    Args:
        serving: Instances that accept clients.
        region: Region of the clients.
        domain: Failure domain of the clients.
    """
    usual = [member for member in serving if not member.is_slow]
    in_domain = [member for member in usual if member.failure_domain == domain]
    in_region = [member for member in usual if member.region == region]
    if usual and _usual_share(serving, region) < _MIN_USUAL_SHARE:
        return usual
    if len(in_domain) >= _MIN_INSTANCES:
        return in_domain
    return in_region or usual or list(serving)


def _usual_share(serving: Sequence[members.Member], region: ids.Region) -> float:
    """Return the share of a region's weight that is on machines of usual pace."""
    in_region = [member for member in serving if member.region == region]
    weight = sum(_usual_weight(member) for member in in_region)
    usual_weight = sum(member.weight for member in in_region if not member.is_slow)
    return usual_weight / weight if weight > 0 else 1.0


def _usual_weight(member: members.Member) -> float:
    """Return the weight that an instance has while its machine works at its usual pace."""
    return member.weight / members.SLOW_WEIGHT_SHARE if member.is_slow else member.weight


def choose_weighted(
    nearby: Sequence[members.Member], client: str, now: float
) -> list[members.Member]:
    """Return the instances for one client: a random draw in proportion to their weights.

    The draw for a client changes every 20 seconds. If all weights are equal, all instances are
    returned.

    Load pattern: the links of machines in one failure domain differ in bandwidth by a factor of
    twenty, and clients choose among their addresses without regard to that.

    Args:
        nearby: Instances that can accept the client.
        client: Address of the client's host.
        now: Time of day in seconds, so that all directories draw alike.
    """
    if len({member.weight for member in nearby}) <= 1:
        return list(nearby)
    salt = f"{client}/{now // _CHOICE_LIFETIME_S:.0f}"
    ordered = sorted(nearby, key=lambda member: _weighted_key(salt, member), reverse=True)
    return ordered[:_CHOICE_SIZE]


def _weighted_key(salt: str, member: members.Member) -> float:
    """Return a sort key whose chance of being the highest is proportional to the weight."""
    uniform = (xxhash.xxh64_intdigest(f"{salt}\0{member.name}".encode()) + 1) / (
        _HASH_COUNT + 2
    )
    return math.log(uniform) / member.weight
