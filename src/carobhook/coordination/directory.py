"""Choice of the instances whose addresses a client gets from the directory."""

import math
from collections.abc import Sequence

import xxhash

from carobhook.state import ids, members

# With a single address, a client could not switch to another instance when that one fails.
_MIN_INSTANCES = 2
# Clients choose among their addresses at random, without regard to weights. The fewer addresses
# each gets, the closer the load follows the weights by which the addresses are drawn.
_CHOICE_SIZE = 3
# The addresses for a client are drawn again this often. Otherwise, a small number of clients
# would load the same few instances all the time.
_CHOICE_LIFETIME_S = 20.0
_HASH_COUNT = float(2**64)


def nearest(
    serving: Sequence[members.Member],
    region: ids.Region,
    domain: ids.FailureDomain,
    is_elsewhere: bool = False,
) -> list[members.Member]:
    """Return the instances that are nearest to clients of a failure domain.

    They are those of the domain if there are two or more, else those of the region, or all
    instances if the region has none. Instances on slow machines are left out unless the region
    has no others.

    Args:
        serving: Instances that accept clients.
        region: Region of the clients.
        domain: Failure domain of the clients.
        is_elsewhere: Whether the client is to be led to another region if one can take it.
    """
    usual = [member for member in serving if not member.is_slow]
    if is_elsewhere:
        others = [member for member in usual if member.region != region]
        if others:
            return others
    in_domain = [member for member in usual if member.failure_domain == domain]
    if len(in_domain) >= _MIN_INSTANCES:
        return in_domain
    in_region = [member for member in usual if member.region == region]
    slow_in_region = [member for member in serving if member.region == region]
    return in_region or slow_in_region or usual or list(serving)


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
