"""Streams between instances: who may speak, and what garbage costs."""

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
    """The accepting side of one connection, with what it handed on and logged."""

    def __init__(self, monkeypatch):
        self.lines = []
        monkeypatch.setattr(logs, "warning", lambda name, **values: self.lines.append(name))
        self.handled = []
        self.lost = []
        self.clock = task.Clock()
        self.stream = peers._Incoming(
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
        """Return the frame of a hello."""
        proof = peers.hello_proof(key, nonce, NAME, RUN)
        return peer_codec.CODEC.encode(membership_messages.Hello(NAME, RUN, proof))


@pytest.fixture
def acceptor(monkeypatch):
    """Return an accepted connection."""
    return Acceptor(monkeypatch)


class TestIncoming:
    """One accepted connection."""

    def test_hello_and_messages_in_one_piece(self, acceptor):
        """Frames that come together with the hello are handled after it."""
        wanted = slot_messages.NotDispatcher(ids.RequestId("3"))
        data = acceptor.hello(acceptor.nonce) + peer_codec.CODEC.encode(wanted) * 2
        acceptor.stream.dataReceived(data[:-5])
        acceptor.stream.dataReceived(data[-5:])
        assert acceptor.handled == [(NAME, wanted)] * 2
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
    def test_stranger(self, acceptor, data):
        """Garbage costs one line and one connection, and nothing is handed on."""
        acceptor.stream.dataReceived(data)
        acceptor.clock.advance(10.0)
        assert acceptor.aborted == 1
        assert len(acceptor.lines) == 1
        assert acceptor.handled == []

    def test_silent_stranger(self, acceptor):
        """A connection without a hello is closed in time, with one line."""
        acceptor.clock.advance(10.0)
        assert (acceptor.aborted, len(acceptor.lines)) == (1, 1)

    def test_wrong_key(self, acceptor):
        """A hello under another key is refused."""
        acceptor.stream.dataReceived(acceptor.hello(acceptor.nonce, b"other"))
        assert (acceptor.aborted, len(acceptor.lines)) == (1, 1)

    def test_replayed_hello(self, acceptor, monkeypatch):
        """A hello recorded on one connection is worthless on another."""
        recorded = acceptor.hello(acceptor.nonce)
        other = Acceptor(monkeypatch)
        other.stream.dataReceived(recorded)
        assert (other.aborted, len(other.lines)) == (1, 1)

    def test_garbage_after_the_hello(self, acceptor):
        """Garbage on a proven stream costs that stream."""
        acceptor.stream.dataReceived(acceptor.hello(acceptor.nonce))
        acceptor.stream.dataReceived(b"\xc1\xc1\xc1")
        assert (acceptor.aborted, len(acceptor.lines)) == (1, 1)
