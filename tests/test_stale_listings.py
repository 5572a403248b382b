"""What servers say of themselves while the listing still names their former run."""

import pytest
from twisted.internet import task

from carobhook.coordination import catalog
from carobhook.platform import requests
from carobhook.protocol import http1
from carobhook.state import ids, servers
from carobhook.transport import notice_board

SERVER = ids.Server("s1")


def entry(started_at_ms, sequence):
    """Return an entry of the server."""
    return servers.ServerEntry(
        SERVER,
        ids.Service("svc"),
        ids.FailureDomain("north-a"),
        "s1:1",
        4,
        servers.ServerState.READY,
        0.0,
        started_at_ms,
        sequence,
    )


FORMER, PRESENT = entry(1000, 90), entry(2000, 9)
LEAVES = http1.Response(200, b"OK", ((b"Server-Leaving", b"1"),), b"")
RESTS = http1.Response(503, b"Busy", ((b"Retry-After", b"5"),), b"")
NOTICES = pytest.mark.parametrize("notice", [LEAVES, RESTS], ids=["leaves", "rests"])


class Board:
    """Notices at an instance whose listing names the former run of a server."""

    def __init__(self):
        self.clock = task.Clock()
        self.catalog = catalog.Catalog()
        self.board = notice_board.NoticeBoard(
            self.clock,
            requests.ServerCodec(),
            self.catalog,
            lambda: None,
            lambda message: None,
        )
        self.list(FORMER)

    def list(self, listed):
        """Let the listing name a run."""
        self.catalog.put(listed, self.clock.seconds())
        self.board.tick()

    def lose_store(self):
        """Let the store be away for some seconds, in which the listing becomes old."""
        self.catalog.record_outage(self.clock.seconds())
        self.clock.advance(5.0)

    def find_store(self):
        """Let the store be back."""
        self.catalog.record_answer(self.clock.seconds())

    @property
    def gets_requests(self):
        """Return whether the server gets requests."""
        self.board.tick()
        return self.catalog.is_usable(SERVER) and not self.board.is_resting(SERVER)


class TestPresentRunSpeaks:
    """The server has started anew, and the listing does not tell so yet.

    A server keeps its id, and its responses do not name their run.
    """

    @NOTICES
    def test_while_the_listing_is_old(self, notice):
        """Whatever run it is booked on, the server gets no requests."""
        board = Board()
        board.board.record_response(FORMER.run, notice)
        assert not board.gets_requests


class TestListingThatIsKnownToBeOld:
    """The store was away while the server spoke, so that either run may have."""

    @NOTICES
    def test_listing_changes_after_the_response(self, notice):
        """The present run was used although it had asked for no more."""
        board = Board()
        board.lose_store()
        board.board.record_response(FORMER.run, notice)
        board.find_store()
        board.list(PRESENT)
        assert not board.gets_requests

    @NOTICES
    def test_listing_changes_before_the_response(self, notice):
        """What the present run says was dropped as the word of the former one."""
        board = Board()
        board.lose_store()
        board.find_store()
        board.list(PRESENT)
        board.board.record_response(FORMER.run, notice)
        assert not board.gets_requests

    @NOTICES
    def test_entry_was_gone_meanwhile(self, notice):
        """It expired while the store was away, and the server registered again."""
        board = Board()
        board.lose_store()
        board.board.record_response(FORMER.run, notice)
        board.find_store()
        board.clock.advance(catalog.GRACE_PERIOD_S)
        board.catalog.remove(SERVER, board.clock.seconds())
        board.catalog.put(PRESENT, board.clock.seconds())
        board.board.tick()
        assert not board.gets_requests

    @NOTICES
    def test_server_that_stays_ready_is_used_again(self, notice):
        """One that leaves reports so, or removes its entry, once the store is back."""
        board = Board()
        board.lose_store()
        board.board.record_response(FORMER.run, notice)
        board.find_store()
        board.list(PRESENT)
        board.clock.advance(9.0)
        assert board.gets_requests

    def test_rest_of_a_server_that_is_gone_is_forgotten(self):
        """It would never be."""
        board = Board()
        board.lose_store()
        board.board.record_response(FORMER.run, RESTS)
        board.catalog.remove(SERVER, board.clock.seconds())
        board.board.tick()
        assert not board.board.is_resting(SERVER)


class TestListingThatIsCurrent:
    """The store answers all the time, so the listing tells which run has spoken."""

    @NOTICES
    def test_next_run_is_used_at_once(self, notice):
        """What the former run said does not bind it."""
        board = Board()
        board.board.record_response(FORMER.run, notice)
        board.list(PRESENT)
        assert board.gets_requests

    @NOTICES
    def test_late_word_of_the_former_run(self, notice):
        """It comes after the listing has changed."""
        board = Board()
        board.list(PRESENT)
        board.board.record_response(FORMER.run, notice)
        assert board.gets_requests


class TestAnotherServerAnswers:
    """A server of another id at the address answers 421."""

    @pytest.mark.parametrize(
        "header",
        [(b"Server-Leaving", b"1"), (b"Retry-After", b"5"), (b"X-Server-Load", b"9,9")],
    )
    def test_its_words_are_not_booked_on_the_expected_server(self, header):
        """Neither its leaving, nor its rest, nor its load."""
        board = Board()
        found = http1.Response(421, b"Misdirected", (header,), b"")
        board.board.record_response(FORMER.run, found)
        assert board.gets_requests
        assert board.board.pace_of(SERVER, found) is None

    def test_its_limit_is_not_booked_either(self):
        """Nor does it end the limit of the expected server."""
        headers = ((b"Server-Limit", b"2"),)
        found = http1.Response(421, b"Misdirected", headers, b"")
        assert requests.ServerCodec().rate_statement(found) is None
        assert requests.ServerCodec().rate_statement(http1.Response(421, b"", (), b"")) is None


class TestOlderCopy:
    """The store comes back from a copy that names the former run."""

    def test_present_run_stays(self):
        """Its leaving does too, and the former run does not come back."""
        board = Board()
        board.list(PRESENT)
        board.board.record_response(PRESENT.run, LEAVES)
        board.catalog.put_from_copy(FORMER, 1.0)
        assert board.catalog.run_of(SERVER) == PRESENT.run
        assert not board.gets_requests

    def test_leaving_run_that_was_removed_does_not_come_back(self):
        """The copy has its entry until it must have expired."""
        board = Board()
        board.board.record_response(FORMER.run, LEAVES)
        board.catalog.remove(SERVER, 1.0)
        board.catalog.put_from_copy(FORMER, 2.0)
        assert board.catalog.servers(2.0) == []
        assert board.catalog.servers(60.0) == []
