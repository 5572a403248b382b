"""Decides which instances a client is told to connect to."""

import math
from collections.abc import Sequence

import xxhash

from carobhook.state import ids, members

# A client needs another address at once when one fails.
_FEWEST = 2
# Clients choose among the addresses at random, so few addresses follow the weights closely.
_CHOSEN = 3
# A client's choice changes this often, so that few clients do not load few instances for long.
_CHOICE_LIFETIME_S = 20.0
_HASHES = float(2**64)


def nearest(
    serving: Sequence[members.Member], region: ids.Region, domain: ids.FailureDomain
) -> list[members.Member]:
    """Return the instances for clients of a failure domain.

    Those of the domain if there are enough, else those of its region, else all.

    Args:
        serving: Instances that take clients.
        region: The clients' region.
        domain: Their failure domain.
    """
    here = [member for member in serving if member.failure_domain == domain]
    if len(here) >= _FEWEST:
        return here
    near = [member for member in serving if member.region == region]
    return near or list(serving)


def chosen(near: Sequence[members.Member], client: str, now: float) -> list[members.Member]:
    """Return the instances that one client is told of, in proportion to what each can carry.

    Load pattern: machines of one failure domain have links that differ by a factor of twenty,
    and clients choose blindly among the addresses that they get.

    Args:
        near: Instances that could take the client.
        client: Address of the client's host.
        now: Monotonic time in seconds.
    """
    if len({member.weight for member in near}) <= 1:
        return list(near)
    salt = f"{client}/{now // _CHOICE_LIFETIME_S:.0f}"
    ordered = sorted(near, key=lambda member: _draw(salt, member), reverse=True)
    return ordered[:_CHOSEN]


def _draw(salt: str, member: members.Member) -> float:
    """Return a number whose chance of being the highest grows with the weight."""
    drawn = (xxhash.xxh64_intdigest(f"{salt}\0{member.name}".encode()) + 1) / (_HASHES + 2)
    return math.log(drawn) / member.weight
