"""What servers state of how long work takes on them at the moment."""

import pytest

from carobhook import logs
from carobhook.coordination import catalog, server_pace
from carobhook.emulator import model, simulation
from carobhook.platform import requests
from carobhook.protocol import http1
from carobhook.state import ids, servers
from carobhook.transport import notice_board

CODEC = requests.ServerCodec()
SERVER = ids.Server("s1")
SEEDS = (1, 2)


def response(load, status=200):
    """Return a response with a statement of load, or without one."""
    headers = () if load is None else ((b"X-Server-Load", load),)
    return http1.Response(status, b"OK", headers, b"")


class TestStatedPace:
    """The factor that is expected after a statement."""

    def test_without_a_statement(self):
        """Work takes its usual time."""
        assert server_pace.StatedPace().factor(5.0) == 1.0

    def test_statement_ages_within_fractions_of_a_second(self):
        """It holds at once, and says little half a second later."""
        pace = server_pace.StatedPace()
        pace.record(3.0, 10.0)
        assert pace.factor(10.0) == 3.0
        assert 1.0 < pace.factor(10.5) < 1.3

    def test_later_statement_replaces_it(self):
        """A server that is fast again is taken for fast at once."""
        pace = server_pace.StatedPace()
        pace.record(3.0, 10.0)
        pace.record(1.0, 10.01)
        assert pace.factor(10.01) == 1.0

    @pytest.mark.parametrize(("factor", "limit"), [(1e9, 20.0), (1e-9, 0.1)])
    def test_bounds(self, factor, limit):
        """An absurd statement neither bars a server nor draws all requests to it."""
        pace = server_pace.StatedPace()
        pace.record(factor, 10.0)
        assert pace.factor(10.0) == pytest.approx(limit)


class TestCodec:
    """The header of the platform's servers."""

    @pytest.mark.parametrize(
        ("load", "pace"),
        [(None, None), (b"3,0,8", None), (b"3,0,8,100", 1.0), (b"3, 0, 8, 250", 2.5)],
    )
    def test_pace(self, load, pace):
        """The fourth figure is in percent; it may be missing, and so may the header."""
        assert CODEC.pace(response(load)) == pace

    @pytest.mark.parametrize(
        "load", [b"", b"3", b"3,0,8,100,7", b"3,0,8,0", b"3,0,8,-1", b"3,0,8,nan", b"x,y,z"]
    )
    def test_malformed(self, load):
        """Any other value is an error."""
        with pytest.raises(ValueError, match="load"):
            CODEC.pace(response(load))

    def test_other_server(self):
        """A server that was asked by mistake says nothing of the one that was meant."""
        assert CODEC.pace(response(b"3,0,8,400", status=421)) is None


class TestMalformedLoad:
    """A load that cannot be read."""

    def test_logged_once(self, monkeypatch):
        """It changes nothing else, and does not fill the log."""
        warnings = []
        monkeypatch.setattr(logs, "warning", lambda name, **values: warnings.append(name))
        server_catalog = catalog.Catalog()
        entry = servers.ServerEntry(
            SERVER,
            ids.Service("svc"),
            ids.FailureDomain("here-a"),
            "10.0.0.1:1",
            4,
            servers.ServerState.READY,
            0.0,
        )
        server_catalog.put(entry, 0.0)
        board = notice_board.NoticeBoard(
            None, CODEC, server_catalog, lambda: None, lambda message: None
        )
        assert board.pace_of(SERVER, response(b"nonsense")) is None
        assert board.pace_of(SERVER, response(b"nonsense")) is None
        assert board.pace_of(SERVER, response(b"1,0,4,300")) == 3.0
        assert warnings == ["server-load-malformed"]


class TestReplay:
    """Servers that other programs slow down for fractions of a second, on virtual time."""

    @pytest.mark.parametrize("load", [0.4, 0.6, 0.9, 1.2])
    def test_more_is_answered_in_time_than_without_statements(self, load):
        """Observed work times alone blame servers, and routes, for what is over."""
        shares = {
            policy: sum(
                simulation.simulate(
                    model.Scenario(
                        load=load, seed=seed, duration_s=12.0, slow_share=0.3, slow_factor=4.0
                    ),
                    policy,
                )[""].share_in_time
                for seed in SEEDS
            )
            / len(SEEDS)
            for policy in ("dispatcher", "dispatcher-without-pace")
        }
        assert shares["dispatcher"] > shares["dispatcher-without-pace"] + 0.01
