"""Decides which instances a client is told to connect to."""

from collections.abc import Sequence

from carobhook.state import ids, members

# A client needs another address at once when one fails.
_FEWEST = 2


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
