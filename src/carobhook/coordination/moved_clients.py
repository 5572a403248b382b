"""Share of a region's clients that directories lead to other regions, and its steps.

Load pattern: the machines of a region turn slow at one moment, and usual again at another. If
all its clients followed at once, other regions would get a load that they did not expect, and
would find cold caches.

All directories have to come to the same share without asking each other, also one that has just
started. Each instance therefore changes its own part in small steps and announces it; the
region's share is the mean of these parts.
"""

from collections.abc import Sequence

import attrs

from carobhook.state import ids, members

# A region needs others while less than this share of its weight is on machines of usual pace.
_MIN_USUAL_SHARE = 0.5
# An instance that was suspended goes on as if no more time than this had passed, in seconds.
_MAX_STEP_S = 1.0


@attrs.define
class MovedClients:
    """The part of one instance's clients that is led to other regions.

    It is announced, so that it outlasts directories. It changes at a bounded rate, whatever the
    state of the machine.
    """

    _share: float = attrs.field(default=0.0, init=False)
    _changed_at: float | None = attrs.field(default=None, init=False)

    @property
    def share(self) -> float:
        """Return the part, from 0 to 1."""
        return self._share

    def adopt(self, share: float, now: float) -> None:
        """Begin with the share of the region, so that a start does not change it.

        Args:
            share: The region's share.
            now: Monotonic time in seconds.
        """
        self._share, self._changed_at = share, now

    def advance(self, is_needed: bool, change_per_s: float, now: float) -> None:
        """Move one step towards all or none.

        Args:
            is_needed: Whether clients of this instance are to be led to other regions.
            change_per_s: Largest change of the share in a second.
            now: Monotonic time in seconds.
        """
        elapsed_s = now - self._changed_at if self._changed_at is not None else 0.0
        step = change_per_s * min(_MAX_STEP_S, max(0.0, elapsed_s))
        self._changed_at = now
        self._share = (
            min(1.0, self._share + step) if is_needed else max(0.0, self._share - step)
        )


def region_share(serving: Sequence[members.Member], region: ids.Region) -> float:
    """Return the share of a region's clients that is led to other regions.

    Args:
        serving: Instances that accept clients.
        region: The region.
    """
    in_region = [member for member in serving if member.region == region]
    moved = sum(_usual_weight(member) * member.moved_share for member in in_region)
    return moved / _total_weight(in_region) if moved > 0 else 0.0


def needs_others(serving: Sequence[members.Member], region: ids.Region) -> bool:
    """Return whether too little of a region is on machines that work at their usual pace.

    Args:
        serving: Instances that accept clients.
        region: The region.
    """
    in_region = [member for member in serving if member.region == region]
    usual_weight = sum(member.weight for member in in_region if not member.is_slow)
    return usual_weight < _MIN_USUAL_SHARE * _total_weight(in_region)


def _total_weight(in_region: Sequence[members.Member]) -> float:
    """Return the weight that instances have while all machines work at their usual pace."""
    return sum(_usual_weight(member) for member in in_region)


def _usual_weight(member: members.Member) -> float:
    """Return the weight that an instance has while its machine works at its usual pace."""
    return member.weight / members.SLOW_WEIGHT_SHARE if member.is_slow else member.weight


@attrs.define
class LookupSplit:
    """Decides which look-ups of a region are led to other regions, so that a share of them is.

    The decision does not depend on the client's address, which many clients may have in common.
    """

    _due: dict[ids.Region, float] = attrs.field(factory=dict, init=False)

    def leads_elsewhere(self, region: ids.Region, share: float) -> bool:
        """Return whether the next look-up of a region is led to other regions.

        Args:
            region: Region of the client.
            share: Share of the region's clients that is, from 0 to 1.
        """
        if share <= 0:
            self._due.pop(region, None)
            return False
        due = self._due.get(region, 0.0) + share
        is_elsewhere = due >= 1.0
        self._due[region] = due - 1.0 if is_elsewhere else due
        return is_elsewhere
