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
        self.catalog = catalog.Catalog()
        self.board = notice_board.NoticeBoard(
            task.Clock(),
            requests.ServerCodec(),
            self.catalog,
            lambda: None,
            lambda message: None,
        )
        self.list(FORMER)

    def list(self, listed):
        """Let the listing name a run."""
        self.catalog.put(listed, 0.0)
        self.board.tick()

    @property
    def gets_requests(self):
        """Return whether the server gets requests."""
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
