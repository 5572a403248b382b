"""Decides how many slots each region lends to the others.

Load pattern: regions have unequal servers and unequal, moving demand. A region whose own
servers do not suffice borrows slots from those that have room; when there is not enough
anywhere, all regions get the same share of what they need.
"""

from collections.abc import Mapping

import attrs

from carobhook.state import ids

# Share of its slots that a region wants to have busy; above it, requests begin to wait. Few
# slots need more room besides, as their load varies more.
_COMFORTABLE_SHARE = 0.55
_ROOM_SLOTS = 1.5
# A region keeps a loan until it needs this much less, so that loans don't come and go.
_HYSTERESIS_SLOTS = 0.7
# A borrower has heard of a change after this, and has told which recalled slots still work.
_RECALL_S = 0.7


@attrs.frozen
class RegionLoad:
    """One region's servers and demand of one service.

    Attributes:
        slots: Slots of its own servers that can be used.
        demand: Slots that its clients' requests keep busy at their present rate, or None while
            it has had no requests.
    """

    slots: float
    demand: float | None


def wanted_loans(
    own: ids.Region, loads: Mapping[ids.Region, RegionLoad]
) -> dict[ids.Region, float]:
    """Return how many slots a region should lend to each other region.

    Args:
        own: The lending region.
        loads: All regions that were heard lately, the lending one included.
    """
    total = sum(load.slots for load in loads.values())
    needs = {region: _need(load, total / len(loads)) for region, load in loads.items()}
    whole_need = sum(needs.values())
    if whole_need > total > 0:
        needs = {region: need * total / whole_need for region, need in needs.items()}
    spare = {region: max(0.0, loads[region].slots - needs[region]) for region in loads}
    lacking = {region: max(0.0, needs[region] - loads[region].slots) for region in loads}
    whole_spare = sum(spare.values())
    if whole_spare <= 0 or spare.get(own, 0.0) <= 0:
        return {}
    covered = min(1.0, whole_spare / max(1e-9, sum(lacking.values())))
    part = spare[own] / whole_spare
    return {region: lack * covered * part for region, lack in lacking.items() if lack > 0}


def _need(load: RegionLoad, equal_part: float) -> float:
    """Return the slots that a region wants to have; without requests, its equal part."""
    if load.demand is None:
        return equal_part
    return load.demand / _COMFORTABLE_SHARE + _ROOM_SLOTS


@attrs.define
class LoanBook:
    """Whole slots that a region lends, moved toward what is wanted in bounded steps.

    Attributes:
        step: Most slots by which the loan to one region changes at a time, as a share of the
            borrower's demand.
    """

    step: float
    _lent: dict[ids.Region, int] = attrs.field(factory=dict, init=False)

    @property
    def lent(self) -> Mapping[ids.Region, int]:
        """Return the slots lent to each region."""
        return self._lent

    def update(
        self, wanted: Mapping[ids.Region, float], loads: Mapping[ids.Region, RegionLoad]
    ) -> None:
        """Move the loans one step toward what is wanted.

        Args:
            wanted: Result of `wanted_loans`.
            loads: Regions that were heard lately; loans to others end.
        """
        moved: dict[ids.Region, int] = {}
        for region in {*wanted, *self._lent} & set(loads):
            present = self._lent.get(region, 0)
            goal = wanted.get(region, 0.0)
            demand = loads[region].demand
            if demand is None:
                moved[region] = round(goal)
                continue
            if abs(goal - present) <= _HYSTERESIS_SLOTS:
                moved[region] = present
                continue
            most = max(1, round(self.step * demand))
            change = round(goal) - present
            moved[region] = present + max(-most, min(most, change))
        self._lent = {region: count for region, count in moved.items() if count > 0}


@attrs.define
class RecalledSlots:
    """Slots that were lent until a moment ago, and may still be given out by the borrower.

    Load pattern: loans move while every slot is busy. A slot that two dispatchers give out at
    once lets one request wait inside the server, where nobody can refuse or move it.
    """

    _held: list[tuple[float, ids.Server, int]] = attrs.field(factory=list, init=False)

    @property
    def counts(self) -> dict[ids.Server, int]:
        """Return the slots of each server that must not be given out yet."""
        found: dict[ids.Server, int] = {}
        for _, server, count in self._held:
            found[server] = found.get(server, 0) + count
        return found

    def of(self, server: ids.Server) -> int:
        """Return the slots of one server that must not be given out yet."""
        return self.counts.get(server, 0)

    def recall(
        self,
        before: Mapping[ids.Region, Mapping[ids.Server, int]],
        after: Mapping[ids.Region, Mapping[ids.Server, int]],
        now: float,
    ) -> None:
        """Take note of the slots that a change of loans takes back.

        Args:
            before: The loans until now.
            after: The loans from now on.
            now: Monotonic time in seconds.
        """
        for region, held in before.items():
            for server, count in held.items():
                less = count - after.get(region, {}).get(server, 0)
                if less > 0:
                    self._held.append((now + _RECALL_S, server, less))

    def forget(self, now: float) -> None:
        """Give up the slots whose borrower has heard of the change by now.

        Args:
            now: Monotonic time in seconds.
        """
        self._held = [entry for entry in self._held if entry[0] > now]


def place_loans(
    lent: Mapping[ids.Region, int],
    slots: Mapping[ids.Server, int],
    before: Mapping[ids.Region, Mapping[ids.Server, int]],
) -> dict[ids.Region, dict[ids.Server, int]]:
    """Return which servers' slots make up the loans.

    Slots of few servers are lent, and those that were lent before, because a server works
    faster on objects that it had lately.

    Args:
        lent: Slots lent to each region.
        slots: Slots of each server that can be lent, in order of preference.
        before: The loans so far.
    """
    left = dict(slots)
    placed: dict[ids.Region, dict[ids.Server, int]] = {region: {} for region in sorted(lent)}
    wanted = dict(lent)
    for region, held in placed.items():
        _lend(left, wanted, region, held, before.get(region, {}))
    for region, held in placed.items():
        _lend(left, wanted, region, held, slots)
    return placed


def _lend(
    left: dict[ids.Server, int],
    wanted: dict[ids.Region, int],
    region: ids.Region,
    held: dict[ids.Server, int],
    most: Mapping[ids.Server, int],
) -> None:
    """Add slots that are left to a region's loan, at most so many of each server."""
    for server, count in most.items():
        taken = min(left.get(server, 0), wanted[region], count)
        if taken > 0:
            held[server] = held.get(server, 0) + taken
            left[server] -= taken
            wanted[region] -= taken
