"""Tests of limits that servers name: reading them from responses, and remembering them."""

import pytest

from carobhook.coordination import server_limits
from carobhook.platform import requests
from carobhook.protocol import http1
from carobhook.state import allocation, ids

SERVER = ids.Server("s1")


def response(status=200, **headers):
    """Return a response of a server."""
    raw = tuple((k.replace("_", "-").encode(), v.encode()) for k, v in headers.items())
    return http1.Response(status, b"Status", raw, b"")


def statement(max_per_s):
    """Return what an answer says."""
    return allocation.RateStatement(max_per_s)


class TestRateStatement:
    """Limits in the responses of servers."""

    @pytest.mark.parametrize(
        ("text", "max_per_s"), [("14.7", 14.7), ("0", 0.0), (" 3 ", 3.0), ("0.25", 0.25)]
    )
    def test_decimal_number(self, text, max_per_s):
        """A decimal number of at least 0 is the limit, whatever the status of the response."""
        codec = requests.ServerCodec()
        for status in (200, 500, 503):
            found = codec.rate_statement(response(status, Server_Limit=text))
            assert found == statement(max_per_s)

    @pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e3", "five", "9" * 400, "1,5"])
    def test_malformed_number(self, text):
        """Anything else raises ValueError and sets no limit."""
        with pytest.raises(ValueError, match="limit must be"):
            requests.ServerCodec().rate_statement(response(Server_Limit=text))

    def test_response_without_the_header(self):
        """An answer without a limit ends it; a rejection or a foreign answer does not."""
        codec = requests.ServerCodec()
        assert codec.rate_statement(response()) == statement(None)
        assert codec.rate_statement(response(503, X_Not_Executed="1")) is None
        assert codec.rate_statement(response(421, Server_Limit="5")) is None


class TestServerLimits:
    """Limits that one instance remembers."""

    def test_limit_holds_until_an_answer_names_none(self):
        """Answers that say nothing leave it in force."""
        limits = server_limits.ServerLimits()
        assert limits.record(SERVER, statement(5.0), 0.0)
        assert not limits.record(SERVER, statement(5.0), 1.0)
        assert not limits.record(SERVER, None, 2.0)
        assert limits.max_per_s(SERVER, 3.0) == 5.0
        assert limits.record(SERVER, statement(None), 3.0)
        assert limits.max_per_s(SERVER, 3.0) is None

    def test_limit_that_no_answer_repeats_is_forgotten(self):
        """A server that gets nothing says nothing, so a limit ends after a while."""
        limits = server_limits.ServerLimits()
        limits.record(SERVER, statement(5.0), 0.0)
        assert limits.in_force(server_limits.LIFETIME_S) == {SERVER: 5.0}
        assert limits.in_force(server_limits.LIFETIME_S + 0.1) == {}
        assert limits.record(SERVER, statement(5.0), 20.0)
