"""Tests of carobhook.coordination.slot_loans."""

import hypothesis
from hypothesis import strategies as st

from carobhook.coordination import slot_loans
from carobhook.state import ids

A, B, C = ids.Region("a"), ids.Region("b"), ids.Region("c")
LOADS = st.fixed_dictionaries(
    {
        region: st.builds(
            slot_loans.RegionLoad,
            st.integers(0, 200).map(float),
            st.one_of(st.none(), st.floats(0, 300)),
        )
        for region in (A, B, C)
    }
)


def load(slots, demand):
    """Return a region's load."""
    return slot_loans.RegionLoad(slots, demand)


class TestTargetLoans:
    """Target loans between regions."""

    def test_overloaded_region_borrows_from_regions_with_spare_slots(self):
        """Demand that exceeds a region's own slots is covered by the other regions."""
        loads = {A: load(8, 16), B: load(60, 8), C: load(60, 8)}
        lent = slot_loans.target_loans(B, loads)[A] + slot_loans.target_loans(C, loads)[A]
        assert lent + 8 >= 16

    def test_no_loans_while_every_region_has_enough_slots(self):
        """Regions whose own slots are enough for their demand lend nothing."""
        loads = {A: load(40, 4), B: load(40, 4), C: load(40, 4)}
        assert slot_loans.target_loans(A, loads) == {}

    def test_overloaded_regions_get_equal_shares(self):
        """Under overload, a region with more servers of its own gets no more slots."""
        loads = {A: load(10, 100), B: load(50, 100), C: load(60, 100)}
        slots_after_loans = {region: loads[region].slots for region in loads}
        for lender in loads:
            for borrower, count in slot_loans.target_loans(lender, loads).items():
                slots_after_loans[lender] -= count
                slots_after_loans[borrower] += count
        assert max(slots_after_loans.values()) - min(slots_after_loans.values()) < 1.0

    def test_region_without_demand_borrows_nothing(self):
        """A region that has slots needs no more of them before its first request."""
        loads = {A: load(20, None), B: load(80, None), C: load(100, None)}
        assert [slot_loans.target_loans(lender, loads) for lender in loads] == [{}, {}, {}]

    @hypothesis.given(LOADS)
    def test_loans_do_not_exceed_the_lenders_slots(self, loads):
        """A region never lends more slots than it has, nor to itself."""
        for lender in loads:
            lent = slot_loans.target_loans(lender, loads)
            assert sum(lent.values()) <= loads[lender].slots + 1e-6
            assert lender not in lent


class TestLoanController:
    """Loans change in limited steps."""

    def test_loan_changes_by_one_step_per_update(self):
        """One update changes a loan by no more than a share of the borrower's demand."""
        controller = slot_loans.LoanController(0.05)
        loads = {A: load(0, 100), B: load(200, 10)}
        controller.update({A: 120.0}, loads)
        assert controller.lent == {A: 5}
        controller.update({A: 120.0}, loads)
        assert controller.lent == {A: 10}

    def test_initial_loans_are_not_limited(self):
        """Before any request there is no load to shift, so equal shares are lent at once."""
        controller = slot_loans.LoanController(0.05)
        controller.update({A: 20.0}, {A: load(0, None), B: load(60, None)})
        assert controller.lent == {A: 20}

    def test_loan_to_a_region_without_reports_ends(self):
        """A region that no longer reports its load keeps no loan."""
        controller = slot_loans.LoanController(0.05)
        controller.update({A: 20.0}, {A: load(0, None), B: load(60, None)})
        controller.update({}, {B: load(60, None)})
        assert controller.lent == {}


class TestPlaceLoans:
    """Choice of the servers whose slots are lent."""

    def test_slot_is_lent_once_and_stays_lent(self):
        """Two regions never get the same slot, and existing loans keep their servers."""
        slots = {ids.Server("x"): 3, ids.Server("y"): 3}
        first = slot_loans.place_loans({A: 2, C: 3}, slots, {})
        for name in slots:
            assert sum(loaned.get(name, 0) for loaned in first.values()) <= 3
        again = slot_loans.place_loans({A: 2, C: 3}, slots, first)
        assert again == first


class TestRecalledSlots:
    """Slots that were taken back from a borrower."""

    def test_recalled_slot_is_not_granted_yet(self):
        """A recalled slot is not granted until the borrower has received the recall."""
        x = ids.Server("x")
        recalled = slot_loans.RecalledSlots()
        recalled.recall({A: {x: 3}}, {A: {x: 1}, C: {x: 1}}, 10.0)
        assert recalled.count(x) == 2
        recalled.expire(10.2)
        assert recalled.count(x) == 2
        recalled.expire(11.0)
        assert recalled.counts == {}

    def test_larger_loan_recalls_nothing(self):
        """A change that takes no slots back leaves all of them to be granted."""
        x = ids.Server("x")
        recalled = slot_loans.RecalledSlots()
        recalled.recall({A: {x: 1}}, {A: {x: 3}}, 0.0)
        assert recalled.counts == {}
