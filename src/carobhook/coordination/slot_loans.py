"""Decides how many slots each region lends to the others.

Load pattern: regions have unequal servers and unequal, changing demand. A region whose own
servers are not enough borrows slots from regions that can spare some. If all regions together
have too few slots, each gets the same share of what it needs.
"""

from collections.abc import Mapping

import attrs

from carobhook.state import ids

# A region needs enough slots that its demand keeps only this share of them busy; with fewer,
# requests begin to queue.
_TARGET_UTILIZATION = 0.55
# Slots that a region needs in addition. Small demand varies more, relative to its mean, than
# large demand, so a share alone would give too few slots.
_EXTRA_SLOTS = 1.5
# A loan stays as it is while it is within this many slots of its target. Otherwise small
# changes of demand would move slots back and forth.
_HYSTERESIS_SLOTS = 0.7
# The lender does not grant recalled slots for this long. Within this time the borrower has
# received the recall, and has reported which of the slots are still running requests.
_RECALL_S = 0.7


@attrs.frozen
class RegionLoad:
    """One region's servers and demand for one service.

    Attributes:
        slots: Usable slots of its own servers.
        demand: Moving average of the slots that its clients' requests need, or None before the
            first request.
    """

    slots: float
    demand: float | None


def target_loans(
    lender: ids.Region, loads: Mapping[ids.Region, RegionLoad]
) -> dict[ids.Region, float]:
    """Return how many slots a region should lend to each other region.

    Args:
        lender: The lending region.
        loads: Loads of all regions with a recent report, including the lender.
    """
    total_slots = sum(load.slots for load in loads.values())
    needs = {
        region: _needed_slots(load, total_slots / len(loads)) for region, load in loads.items()
    }
    total_needed = sum(needs.values())
    if total_needed > total_slots > 0:
        needs = {region: need * total_slots / total_needed for region, need in needs.items()}
    spare = {region: max(0.0, loads[region].slots - needs[region]) for region in loads}
    shortfalls = {region: max(0.0, needs[region] - loads[region].slots) for region in loads}
    total_spare = sum(spare.values())
    if total_spare <= 0 or spare.get(lender, 0.0) <= 0:
        return {}
    covered_share = min(1.0, total_spare / max(1e-9, sum(shortfalls.values())))
    lender_share = spare[lender] / total_spare
    return {
        region: shortfall * covered_share * lender_share
        for region, shortfall in shortfalls.items()
        if shortfall > 0
    }


def _needed_slots(load: RegionLoad, equal_share: float) -> float:
    """Return the slots that a region needs.

    Before its first request that is not known. A region with slots of its own keeps up to an
    equal share of all and borrows nothing until then. One without needs slots for that request.
    """
    if load.demand is None:
        return min(load.slots, equal_share) if load.slots > 0 else equal_share
    return load.demand / _TARGET_UTILIZATION + _EXTRA_SLOTS


@attrs.define
class LoanController:
    """Moves the numbers of slots that a region lends toward their targets in limited steps.

    Targets may be fractions, but only whole slots are lent.

    Attributes:
        step: Largest change of the loan to one region per update, as a share of the borrower's
            demand. A change of one slot is always allowed, and slots that the borrower does not
            use are recalled at once, because no load shifts with them.
    """

    step: float
    _lent: dict[ids.Region, int] = attrs.field(factory=dict, init=False)

    @property
    def lent(self) -> Mapping[ids.Region, int]:
        """Return the slots lent to each region."""
        return self._lent

    def adopt(self, region: ids.Region, count: int) -> None:
        """Record a loan that a previous dispatcher of the lender decided on.

        Args:
            region: The borrowing region.
            count: Slots that it borrows.
        """
        self._lent[region] = count

    def update(
        self,
        targets: Mapping[ids.Region, float],
        loads: Mapping[ids.Region, RegionLoad],
        used: Mapping[ids.Region, int] | None = None,
    ) -> None:
        """Move each loan one step toward its target.

        While a borrower's demand is not known its loan stays as it is. A region without slots
        of its own gets its first loan at once, because no load shifts with it.

        Args:
            targets: Result of `target_loans`.
            loads: Loads of the regions with a recent report. A loan to any other region ends.
            used: Slots of its loan that each region uses; all of them if it is not given.
        """
        used = used or {}
        updated: dict[ids.Region, int] = {}
        for region in {*targets, *self._lent} & set(loads):
            current = self._lent.get(region, 0)
            target = targets.get(region, 0.0)
            demand = loads[region].demand
            if demand is None:
                updated[region] = current if loads[region].slots > 0 else round(target)
                continue
            if abs(target - current) <= _HYSTERESIS_SLOTS:
                updated[region] = current
                continue
            max_step = max(1, round(self.step * demand))
            lowest = min(current - max_step, used.get(region, current))
            updated[region] = max(lowest, min(current + max_step, round(target)))
        self._lent = {region: count for region, count in updated.items() if count > 0}


@attrs.define
class RecalledSlots:
    """Recalled slots that the borrower may still be using.

    Load pattern: loans change while every slot is busy. If two dispatchers grant the same slot,
    one of the two requests queues inside the server, where it can't be refused or moved.
    """

    # Monotonic time from which the slots may be granted again, their server, and their number.
    _pending: list[tuple[float, ids.Server, int]] = attrs.field(factory=list, init=False)

    @property
    def counts(self) -> dict[ids.Server, int]:
        """Return the slots of each server that must not be granted yet."""
        counts: dict[ids.Server, int] = {}
        for _, server, count in self._pending:
            counts[server] = counts.get(server, 0) + count
        return counts

    def count(self, server: ids.Server) -> int:
        """Return the number of slots of one server that must not be granted yet."""
        return self.counts.get(server, 0)

    def recall(
        self,
        before: Mapping[ids.Region, Mapping[ids.Server, int]],
        after: Mapping[ids.Region, Mapping[ids.Server, int]],
        now: float,
    ) -> None:
        """Add the slots that a change of the loans recalls.

        Args:
            before: The loans before the change.
            after: The loans after the change.
            now: Monotonic time in seconds.
        """
        for region, loaned in before.items():
            for server, count in loaned.items():
                recalled = count - after.get(region, {}).get(server, 0)
                if recalled > 0:
                    self._pending.append((now + _RECALL_S, server, recalled))

    def expire(self, now: float) -> None:
        """Remove the slots whose recall is so long ago that they may be granted again.

        Args:
            now: Monotonic time in seconds.
        """
        self._pending = [entry for entry in self._pending if entry[0] > now]


def place_loans(
    lent: Mapping[ids.Region, int],
    slots: Mapping[ids.Server, int],
    before: Mapping[ids.Region, Mapping[ids.Server, int]],
) -> dict[ids.Region, dict[ids.Server, int]]:
    """Return how many slots of each server are lent to each region.

    Slots that are lent already are lent to the same region again first, and each loan uses many
    servers: a server works faster on objects that it handled recently, and many servers have
    more of these. A slot that is taken back from one region is lent to no other at the same
    time, as it may be in use.

    Args:
        lent: Slots lent to each region.
        slots: Slots of each server that can be lent, in order of preference.
        before: The current loans.
    """
    available = dict(slots)
    placed: dict[ids.Region, dict[ids.Server, int]] = {region: {} for region in sorted(lent)}
    missing = dict(lent)
    for region, loaned in placed.items():
        _lend(available, missing, region, loaned, before.get(region, {}))
    for server in slots:
        was_lent = sum(loaned.get(server, 0) for loaned in before.values())
        is_lent = sum(loaned.get(server, 0) for loaned in placed.values())
        available[server] -= max(0, was_lent - is_lent)
    one_of_each = dict.fromkeys(slots, 1)
    while True:
        missing_before = dict(missing)
        for region, loaned in placed.items():
            _lend(available, missing, region, loaned, one_of_each)
        if missing == missing_before:
            return placed


def _lend(
    available: dict[ids.Server, int],
    missing: dict[ids.Region, int],
    region: ids.Region,
    loaned: dict[ids.Server, int],
    limits: Mapping[ids.Server, int],
) -> None:
    """Move available slots into a region's loan.

    Args:
        available: Slots of each server that are not lent yet; reduced.
        missing: Slots that each region's loan still lacks; reduced.
        region: The borrowing region.
        loaned: Its loan, by server; extended.
        limits: Largest number of slots to add from each server.
    """
    for server, limit in limits.items():
        added = min(available.get(server, 0), missing[region], limit)
        if added > 0:
            loaned[server] = loaned.get(server, 0) + added
            available[server] -= added
            missing[region] -= added
