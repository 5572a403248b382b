"""Tests of carobhook.coordination.lost_attempts."""

import math

from carobhook.coordination import lost_attempts
from carobhook.state import ids, servers

FIRST = servers.ServerRun(ids.Server("a"), 1)
SECOND = servers.ServerRun(ids.Server("a"), 2)
OTHER = servers.ServerRun(ids.Server("b"), 1)


def add(attempts, run=FIRST, fingerprint=b"f", is_broken=True, now=0.0):
    """Add an attempt on a run of a server."""
    attempts.add(fingerprint, run, f"{run.server}:1", "r", is_broken, now)


class TestLostAttempts:
    """Which servers are checked, and whose requests are marked."""

    def test_each_server_is_checked_once(self):
        """Two requests on one server need one check, and none after that."""
        attempts = lost_attempts.LostAttempts()
        add(attempts)
        add(attempts, fingerprint=b"g")
        add(attempts, OTHER)
        assert attempts.due(0.0) == []
        assert {attempt.run for attempt in attempts.due(0.2)} == {FIRST, OTHER}
        assert attempts.due(0.3) == []

    def test_given_up_attempt_is_checked_later(self):
        """The server may still be running the request."""
        attempts = lost_attempts.LostAttempts()
        add(attempts, is_broken=False)
        assert attempts.due(0.5) == []
        assert [attempt.run for attempt in attempts.due(1.1)] == [FIRST]

    def test_server_that_is_heard_later_is_not_checked(self):
        """Most clients that leave cost no connection."""
        attempts = lost_attempts.LostAttempts()
        add(attempts, is_broken=False)
        add(attempts, OTHER, is_broken=False)
        attempts.record_response(OTHER.server, 0.1)
        attempts.record_response(FIRST.server, 0.5)
        assert [attempt.run for attempt in attempts.due(1.1)] == [OTHER]
        assert attempts.due(1.2) == []

    def test_end_is_held_against_all_requests_of_the_run(self):
        """The requests of other servers stay as they are."""
        attempts = lost_attempts.LostAttempts()
        add(attempts)
        add(attempts, fingerprint=b"g")
        add(attempts, OTHER)
        assert {attempt.fingerprint for attempt in attempts.take(FIRST)} == {b"f", b"g"}
        assert attempts.take(FIRST) == []
        assert len(attempts.take(OTHER)) == 1
        assert attempts.is_empty

    def test_next_run_of_a_server_shows_that_the_run_ended(self):
        """A server that is unknown now may go on running."""
        attempts = lost_attempts.LostAttempts()
        add(attempts)
        add(attempts, OTHER)
        current = {"a": SECOND}
        assert attempts.ended_runs(current.get) == [FIRST]

    def test_old_attempts_are_dropped(self):
        """The end of a server long after an attempt has nothing to do with it."""
        attempts = lost_attempts.LostAttempts()
        add(attempts)
        attempts.due(10.0)
        assert attempts.is_empty

    def test_number_of_attempts_is_bounded(self):
        """The oldest are dropped, so that a flood does not use up memory."""
        attempts = lost_attempts.LostAttempts()
        for number in range(2_500):
            add(attempts, servers.ServerRun(ids.Server(f"s{number}"), 1))
        assert len(attempts.due(1.0)) == 2_000
        assert attempts.take(servers.ServerRun(ids.Server("s0"), 1)) == []


class TestSignsOfLife:
    """A response of the next run cleared the doubt about the former one."""

    def check(self, opened_at, heard_at, sent_at=0.0):
        """Return whether a server is checked after a response on a connection."""
        attempts = lost_attempts.LostAttempts()
        attempts.add(b"f", FIRST, "a:1", "r", False, 1.0, -9.0, sent_at)
        attempts.record_response(FIRST.server, heard_at, opened_at)
        return attempts.due(2.0) != []

    def test_connection_that_was_open_before_the_attempt(self):
        """Whoever listened when the attempt was sent went on running."""
        assert not self.check(opened_at=-0.1, heard_at=1.4)

    def test_connection_that_was_opened_later(self):
        """The server may have ended, and started again, before it was opened."""
        assert self.check(opened_at=0.1, heard_at=1.4)

    def test_response_that_may_have_been_under_way(self):
        """The server may end at the request a moment after it is given up."""
        assert self.check(opened_at=-0.1, heard_at=1.2)

    def test_attempt_of_which_the_sending_is_unknown(self):
        """Any connection may have been opened later."""
        assert self.check(opened_at=-0.1, heard_at=1.4, sent_at=-math.inf)

    def test_connections_are_told_apart(self):
        """A later response on a newer connection does not hide the one that counts."""
        attempts = lost_attempts.LostAttempts()
        attempts.add(b"f", FIRST, "a:1", "r", False, 1.0, -9.0, 0.0)
        attempts.record_response(FIRST.server, 1.4, -0.1)
        for number in range(31):
            attempts.record_response(FIRST.server, 1.5, 0.5 + number)
        assert attempts.due(2.0) == []
        attempts.add(b"f", FIRST, "a:1", "r", False, 2.0, -9.0, 0.0)
        for number in range(2_000):
            attempts.record_response(FIRST.server, 2.5, 0.5 + number)
        assert len(attempts.due(3.0)) == 1

    def test_server_is_not_checked_too_often(self):
        """Many clients that leave in turn cost two checks in a second."""
        attempts = lost_attempts.LostAttempts()
        checks = 0
        for number in range(20):
            add(attempts, now=number / 20)
            checks += len(attempts.due(number / 20))
        assert checks == 2


class TestSettlements:
    """An attempt that led to no mark left no line that said why."""

    def test_each_attempt_that_is_forgotten_is_reported(self):
        """Heard, checked, not checked yet."""
        dropped = []
        attempts = lost_attempts.LostAttempts(dropped.append)
        add(attempts)
        add(attempts, OTHER)
        attempts.record_response(OTHER.server, 0.5)
        attempts.due(1.0)
        attempts.settle(FIRST, lost_attempts.Settlement.ALIVE)
        add(attempts, SECOND, now=1.0)
        attempts.due(20.0)
        attempts.due(40.0)
        assert {(a.run, a.settlement) for a in dropped} == {
            (FIRST, lost_attempts.Settlement.ALIVE),
            (OTHER, lost_attempts.Settlement.HEARD),
            (SECOND, lost_attempts.Settlement.UNCHECKED),
        }

    def test_evicted_attempts_are_reported(self):
        """They make room for others."""
        dropped = []
        attempts = lost_attempts.LostAttempts(dropped.append)
        for number in range(2_001):
            add(attempts, servers.ServerRun(ids.Server(f"s{number}"), 1))
        assert [a.settlement for a in dropped] == [lost_attempts.Settlement.EVICTED]
