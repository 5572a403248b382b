"""Tests of carobhook.protocol.http1."""

import pytest

from carobhook.protocol import http1

_VALID_HEAD = b"GET /a/b?c HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: 1\r\n\r\n"


def head(*lines, request_line=b"POST / HTTP/1.1"):
    """Return a request head with a Host header and further header lines."""
    return b"\r\n".join([request_line, b"Host: x", *lines]) + b"\r\n\r\n"


class TestCheckHead:
    """Validation of request heads."""

    def test_valid_head_is_accepted(self):
        """A valid head raises no error."""
        http1.check_head(_VALID_HEAD)

    @pytest.mark.parametrize(
        "invalid_head",
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
            head(request_line=b"GET  / HTTP/1.1"),
            head(request_line=b"GET / HTTP/2.0"),
            head(request_line=b"GET /"),
        ],
    )
    def test_invalid_head_is_rejected(self, invalid_head):
        """Malformed heads and heads that parsers may read differently get status 400."""
        with pytest.raises(http1.HeadError) as caught:
            http1.check_head(invalid_head)
        assert caught.value.status == 400


class TestEndToEndHeaders:
    """Removal of hop-by-hop headers."""

    def test_hop_by_hop_headers_are_removed(self):
        """Hop-by-hop headers and those that the Connection header names are removed."""
        headers = (
            (b"Connection", b"close, X-Mine"),
            (b"X-Mine", b"1"),
            (b"X-Other", b"2"),
            (b"Transfer-Encoding", b"chunked"),
        )
        assert http1.end_to_end_headers(headers) == ((b"X-Other", b"2"),)


class TestEncodeResponse:
    """Serialization of responses."""

    def test_headers_are_unchanged_except_for_the_length(self):
        """Headers keep their spelling and order; only Content-Length is added."""
        response = http1.Response(200, b"Fine", ((b"X-a", b"1"), (b"server", b"s")), b"body")
        encoded = http1.encode_response(response, with_body=True, closing=False)
        assert encoded == (
            b"HTTP/1.1 200 Fine\r\nX-a: 1\r\nserver: s\r\nContent-Length: 4\r\n\r\nbody"
        )

    def test_response_to_head_request_keeps_its_content_length(self):
        """No body is sent, and Content-Length stays that of the response to a GET request."""
        response = http1.Response(200, b"OK", ((b"Content-Length", b"99"),), b"")
        encoded = http1.encode_response(response, with_body=False, closing=True)
        assert b"Content-Length: 99\r\n" in encoded
        assert encoded.endswith(b"Connection: close\r\n\r\n")
