"""Tests of carobhook.protocol.http1."""

import pytest

from carobhook.protocol import http1

_GOOD = b"GET /a/b?c HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: 1\r\n\r\n"


def head(*lines, start=b"POST / HTTP/1.1"):
    """Return a request head with a host."""
    return b"\r\n".join([start, b"Host: x", *lines]) + b"\r\n\r\n"


class TestCheckHead:
    """Heads that two parsers may read differently."""

    def test_proper_head_passes(self):
        """A usual request is accepted."""
        http1.check_head(_GOOD)

    @pytest.mark.parametrize(
        "bad",
        [
            head(b"Content-Length: 3", b"Content-Length: 4"),
            head(b"Content-Length: 3", b"Content-Length: 3"),
            head(b"Content-Length: 3", b"Transfer-Encoding: chunked"),
            head(b"Transfer-Encoding: gzip, chunked"),
            head(b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"),
            head(b"Content-Length: +3"),
            head(b"Content-Length: 0x3"),
            head(b"X-A: 1", b" folded"),
            head(b"X-A: 1\nX-B: 2"),
            head(b"X-A: 1\rX-B: 2"),
            head(b"X A: 1"),
            head(b"X-A : 1"),
            head(b": empty"),
            head(b"X-A: \x00"),
            head(b"Host: y"),
            b"GET / HTTP/1.1\r\nX-A: 1\r\n\r\n",
            head(start=b"GET  / HTTP/1.1"),
            head(start=b"GET / HTTP/2.0"),
            head(start=b"GET /"),
        ],
    )
    def test_ambiguous_heads_are_refused(self, bad):
        """Two lengths, odd line ends and folded lines get 400."""
        with pytest.raises(http1.HeadError) as caught:
            http1.check_head(bad)
        assert caught.value.status == 400


class TestEndToEnd:
    """Headers that go on."""

    def test_connection_headers_stay_behind(self):
        """What the connection header names concerns one connection only."""
        headers = (
            (b"Connection", b"close, X-Mine"),
            (b"X-Mine", b"1"),
            (b"X-Other", b"2"),
            (b"Transfer-Encoding", b"chunked"),
        )
        assert http1.end_to_end(headers) == ((b"X-Other", b"2"),)


class TestEncodeAnswer:
    """Answers as they are written."""

    def test_headers_pass_unchanged_and_none_is_added(self):
        """Spelling and order stay; only the length is told anew."""
        answer = http1.Answer(200, b"Fine", ((b"X-a", b"1"), (b"server", b"s")), b"body")
        octets = http1.encode_answer(answer, with_body=True, closing=False)
        assert octets == (
            b"HTTP/1.1 200 Fine\r\nX-a: 1\r\nserver: s\r\nContent-Length: 4\r\n\r\nbody"
        )

    def test_answer_to_head_keeps_the_length_it_tells(self):
        """No body follows, and the length is that of the body that GET would bring."""
        answer = http1.Answer(200, b"OK", ((b"Content-Length", b"99"),), b"")
        octets = http1.encode_answer(answer, with_body=False, closing=True)
        assert b"Content-Length: 99\r\n" in octets
        assert octets.endswith(b"Connection: close\r\n\r\n")
