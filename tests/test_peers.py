"""Streams between instances: authentication of the sender, and invalid data."""

import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport

from carobhook import logs
from carobhook.protocol import membership_messages, peer_codec, slot_messages
from carobhook.state import ids
from carobhook.transport import peers

KEY = b"shared"
NAME = ids.InstanceId("a")
RUN = ids.Incarnation("0" * 16)


class Acceptor:
    """The accepting side of one connection; records handled messages and log lines."""

    def __init__(self, monkeypatch):
        self.lines = []
        monkeypatch.setattr(logs, "warning", lambda name, **values: self.lines.append(name))
        self.handled = []
        self.lost = []
        self.clock = task.Clock()
        self.stream = peers._IncomingStream(
            self.clock,
            peer_codec.CODEC,
            KEY,
            lambda sender, message: self.handled.append((sender, message)),
            self.lost.append,
        )
        self.transport = StringTransport()
        self.transport.setTcpNoDelay = lambda on: None
        self.transport.abortConnection = self.abort
        self.aborted = 0
        self.stream.makeConnection(self.transport)

    def abort(self):
        """Count an abort, and report the connection lost as a reactor does."""
        self.aborted += 1
        self.stream.connectionLost()

    @property
    def nonce(self):
        """Return the nonce of the challenge."""
        unpacker = peer_codec.CODEC.unpacker()
        unpacker.feed(self.transport.value())
        return peer_codec.CODEC.decode(next(unpacker)).nonce

    def hello(self, nonce, key=KEY):
        """Return the frame of a hello that is signed with a key."""
        proof = peers.hello_proof(key, nonce, NAME, RUN)
        return peer_codec.CODEC.encode(membership_messages.Hello(NAME, RUN, proof))


@pytest.fixture
def acceptor(monkeypatch):
    """Return an accepted connection."""
    return Acceptor(monkeypatch)


class TestIncoming:
    """The accepting side of a connection."""

    def test_messages_right_after_the_hello(self, acceptor):
        """Frames that arrive in one read with the hello are handled after it."""
        message = slot_messages.NotDispatcher(ids.RequestId("3"))
        data = acceptor.hello(acceptor.nonce) + peer_codec.CODEC.encode(message) * 2
        acceptor.stream.dataReceived(data[:-5])
        acceptor.stream.dataReceived(data[-5:])
        assert acceptor.handled == [(NAME, message)] * 2
        assert acceptor.lines == []

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            b"\xff" * 100,
            b"\xc6\x7f\xff\xff\xff",
            peer_codec.CODEC.encode(slot_messages.NotDispatcher(ids.RequestId("0"))),
            b"\xdb\x00\xff\xff\xff" + b"x" * 100_000,
        ],
    )
    def test_invalid_first_data(self, acceptor, data):
        """The connection is aborted with one log line, and no message is handled."""
        acceptor.stream.dataReceived(data)
        acceptor.clock.advance(10.0)
        assert acceptor.aborted == 1
        assert len(acceptor.lines) == 1
        assert acceptor.handled == []

    def test_missing_hello(self, acceptor):
        """A connection without a hello is aborted after a timeout, with one log line."""
        acceptor.clock.advance(10.0)
        assert (acceptor.aborted, len(acceptor.lines)) == (1, 1)

    def test_wrong_key(self, acceptor):
        """A hello that is signed with another key is rejected."""
        acceptor.stream.dataReceived(acceptor.hello(acceptor.nonce, b"other"))
        assert (acceptor.aborted, len(acceptor.lines)) == (1, 1)

    def test_replayed_hello(self, acceptor, monkeypatch):
        """A hello recorded on one connection is rejected on another."""
        recorded = acceptor.hello(acceptor.nonce)
        other = Acceptor(monkeypatch)
        other.stream.dataReceived(recorded)
        assert (other.aborted, len(other.lines)) == (1, 1)

    def test_invalid_data_after_the_hello(self, acceptor):
        """Invalid data on an authenticated stream aborts its connection."""
        acceptor.stream.dataReceived(acceptor.hello(acceptor.nonce))
        acceptor.stream.dataReceived(b"\xc1\xc1\xc1")
        assert (acceptor.aborted, len(acceptor.lines)) == (1, 1)
