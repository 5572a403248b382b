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


class TestWantedLoans:
    """What regions lend."""

    def test_region_without_room_gets_slots_of_one_with_room(self):
        """Demand above the own servers is covered by others."""
        loads = {A: load(8, 16), B: load(60, 8), C: load(60, 8)}
        lent = slot_loans.wanted_loans(B, loads)[A] + slot_loans.wanted_loans(C, loads)[A]
        assert lent + 8 >= 16

    def test_nothing_moves_while_all_have_room(self):
        """Regions that can do their own work lend nothing."""
        loads = {A: load(40, 4), B: load(40, 4), C: load(40, 4)}
        assert slot_loans.wanted_loans(A, loads) == {}

    def test_all_get_the_same_share_when_there_is_not_enough(self):
        """Under overload no region is served better for standing beside more servers."""
        loads = {A: load(10, 100), B: load(50, 100), C: load(60, 100)}
        got = {region: loads[region].slots for region in loads}
        for lender in loads:
            for borrower, count in slot_loans.wanted_loans(lender, loads).items():
                got[lender] -= count
                got[borrower] += count
        assert max(got.values()) - min(got.values()) < 1.0

    @hypothesis.given(LOADS)
    def test_no_region_lends_what_it_needs(self, loads):
        """Loans never exceed the lender's slots, nor the borrowers' lack."""
        for lender in loads:
            lent = slot_loans.wanted_loans(lender, loads)
            assert sum(lent.values()) <= loads[lender].slots + 1e-6
            assert lender not in lent


class TestLoanBook:
    """Loans move in steps."""

    def test_demand_that_jumps_moves_loans_by_the_step(self):
        """One update moves a bounded share of the borrower's demand."""
        book = slot_loans.LoanBook(0.05)
        loads = {A: load(0, 100), B: load(200, 10)}
        book.update({A: 120.0}, loads)
        assert book.lent == {A: 5}
        book.update({A: 120.0}, loads)
        assert book.lent == {A: 10}

    def test_before_any_request_loans_are_there_at_once(self):
        """Nothing moves that has not come yet, so equal parts are lent at the start."""
        book = slot_loans.LoanBook(0.05)
        book.update({A: 20.0}, {A: load(0, None), B: load(60, None)})
        assert book.lent == {A: 20}

    def test_loans_to_a_silent_region_end(self):
        """A region that is not heard any more keeps nothing."""
        book = slot_loans.LoanBook(0.05)
        book.update({A: 20.0}, {A: load(0, None), B: load(60, None)})
        book.update({}, {B: load(60, None)})
        assert book.lent == {}


class TestPlaceLoans:
    """Which servers' slots are lent."""

    def test_a_slot_is_lent_once(self):
        """Two regions never get the same slot, and loans stay where they were."""
        slots = {ids.Server("x"): 3, ids.Server("y"): 3}
        first = slot_loans.place_loans({A: 2, C: 3}, slots, {})
        for name in slots:
            assert sum(held.get(name, 0) for held in first.values()) <= 3
        again = slot_loans.place_loans({A: 2, C: 3}, slots, first)
        assert again == first


class TestRecalledSlots:
    """Slots on their way back."""

    def test_recalled_slot_is_given_out_by_nobody_for_a_moment(self):
        """The borrower may still use it until it has heard of the change."""
        x = ids.Server("x")
        recalled = slot_loans.RecalledSlots()
        recalled.recall({A: {x: 3}}, {A: {x: 1}, C: {x: 1}}, 10.0)
        assert recalled.of(x) == 2
        recalled.forget(10.2)
        assert recalled.of(x) == 2
        recalled.forget(11.0)
        assert recalled.counts == {}

    def test_loan_that_grows_recalls_nothing(self):
        """Only what is taken back is held."""
        x = ids.Server("x")
        recalled = slot_loans.RecalledSlots()
        recalled.recall({A: {x: 1}}, {A: {x: 3}}, 0.0)
        assert recalled.counts == {}
