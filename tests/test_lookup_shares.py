"""Tests of carobhook.coordination.lookup_shares."""

import attrs

import test_directory
from carobhook.coordination import lookup_shares
from carobhook.state import ids

NORTH = ids.Region("north")
HOME, ELSEWHERE = test_directory.NA1, test_directory.SA1


def play(shares, began_at, seconds, chosen):
    """Record ten look-ups a second; return the reports."""
    reports = [
        shares.record(NORTH, chosen, began_at + number / 10) for number in range(seconds * 10)
    ]
    return [attrs.astuple(report)[1:3] for report in reports if report is not None]


class TestLookupShares:
    """What is reported of the answers of a directory."""

    def test_clients_that_stay_are_not_reported(self):
        """A calm day writes no line."""
        assert play(lookup_shares.LookupShares(), 0.0, 30, [HOME]) == []

    def test_change_is_reported_within_a_second_and_repeated(self):
        """Both ways; the last line says what is in force."""
        shares = lookup_shares.LookupShares()
        assert play(shares, 0.0, 5, [HOME]) == []
        assert play(shares, 5.0, 15, [HOME, ELSEWHERE]) == [(0.5, 0.0), (0.5, 0.5)]
        assert play(shares, 20.0, 15, [HOME]) == [(0.0, 0.5)]
