"""Streams between instances: authentication of the sender, and invalid data."""

from unittest import mock

import attrs
import msgpack
import pytest
from twisted.internet import defer, error, task, testing
from twisted.python import failure

import protocol_samples
import test_mixed_builds
from carobhook import logs
from carobhook.protocol import (
    compression,
    framing,
    membership_messages,
    peer_codec,
    slot_messages,
)
from carobhook.state import ids
from carobhook.transport import peers

KEY = b"shared"
NAME = ids.InstanceId("a")
HEARTBEAT = protocol_samples.sample_message("Heartbeat")
INCARNATION = ids.Incarnation("0" * 16)


class AcceptedConnection:
    """The accepting side of one connection; records handled messages and warnings."""

    def __init__(self, monkeypatch):
        self.warnings = []
        monkeypatch.setattr(logs, "warning", lambda name, **values: self.warnings.append(name))
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
        self.transport = testing.StringTransport()
        self.transport.setTcpNoDelay = lambda on: None
        self.transport.abortConnection = self.abort
        self.abort_count = 0
        self.stream.makeConnection(self.transport)

    def abort(self):
        """Count an abort, and call connectionLost as a reactor does."""
        self.abort_count += 1
        self.stream.connectionLost()

    @property
    def nonce(self):
        """Return the nonce of the challenge."""
        unpacker = peer_codec.CODEC.unpacker()
        unpacker.feed(self.transport.value())
        return peer_codec.CODEC.decode(next(unpacker)).nonce

    def hello(self, nonce, key=KEY):
        """Return the frame of a hello that is signed with a key."""
        proof = peers.hello_proof(key, nonce, NAME, INCARNATION)
        return peer_codec.CODEC.encode(membership_messages.Hello(NAME, INCARNATION, proof))


@pytest.fixture
def accepted(monkeypatch):
    """Return an accepted connection that has sent its challenge."""
    return AcceptedConnection(monkeypatch)


class TestIncoming:
    """The accepting side of a connection."""

    def test_messages_right_after_the_hello(self, accepted):
        """Frames that arrive in one read with the hello are handled after it."""
        message = slot_messages.NotDispatcher(ids.RequestId("3"))
        data = accepted.hello(accepted.nonce) + peer_codec.CODEC.encode(message) * 2
        accepted.stream.dataReceived(data[:-5])
        accepted.stream.dataReceived(data[-5:])
        assert accepted.handled == [(NAME, message)] * 2
        assert accepted.warnings == []

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            b"\xff" * 100,  # integers instead of arrays
            b"\xc6\x7f\xff\xff\xff",  # header of almost 2 GiB of binary data
            # A valid message, but not a hello.
            peer_codec.CODEC.encode(slot_messages.NotDispatcher(ids.RequestId("0"))),
            # Part of a string of almost 16 MiB, longer than a hello may be.
            b"\xdb\x00\xff\xff\xff" + b"x" * 100_000,
        ],
    )
    def test_invalid_first_data(self, accepted, data):
        """The connection is aborted with one warning, and no message is handled."""
        accepted.stream.dataReceived(data)
        accepted.clock.advance(10.0)
        assert accepted.abort_count == 1
        assert len(accepted.warnings) == 1
        assert accepted.handled == []

    def test_compressed_data_before_the_hello_is_bounded(self, accepted, monkeypatch):
        """It may hold no more than a hello may, as its sender is not known yet."""
        limits = []

        def decompress(data, limit):
            limits.append(limit)
            raise compression.DecompressionError("too large")

        monkeypatch.setattr(compression, "decompress", decompress)
        frame = msgpack.packb(["Compressed", [b"x"]])
        accepted.stream.dataReceived(frame)
        assert accepted.abort_count == 1
        other = AcceptedConnection(monkeypatch)
        other.stream.dataReceived(other.hello(other.nonce))
        other.stream.dataReceived(frame)
        assert limits == [64 * 1024, framing.MAX_FRAME_BYTES]

    def test_missing_hello(self, accepted):
        """A connection without a hello is aborted after a timeout, with one warning."""
        accepted.clock.advance(10.0)
        assert (accepted.abort_count, len(accepted.warnings)) == (1, 1)

    def test_wrong_key(self, accepted):
        """A hello that is signed with another key is rejected."""
        accepted.stream.dataReceived(accepted.hello(accepted.nonce, b"other"))
        assert (accepted.abort_count, len(accepted.warnings)) == (1, 1)

    def test_replayed_hello(self, accepted, monkeypatch):
        """A hello recorded on one connection is rejected on another."""
        recorded = accepted.hello(accepted.nonce)
        other = AcceptedConnection(monkeypatch)
        other.stream.dataReceived(recorded)
        assert (other.abort_count, len(other.warnings)) == (1, 1)

    def test_invalid_data_after_the_hello(self, accepted):
        """Invalid data on an authenticated stream aborts its connection."""
        accepted.stream.dataReceived(accepted.hello(accepted.nonce))
        accepted.stream.dataReceived(b"\xc1\xc1\xc1")
        assert (accepted.abort_count, len(accepted.warnings)) == (1, 1)


class TestClosedWhileConnecting:
    """A stream that is no longer needed before it is open."""

    def test_stream_nobody_wants_is_not_opened_again_and_again(self):
        """Its connection is closed and never opened anew, or its end would count as a loss."""
        reactor = testing.MemoryReactorClock()
        identity = peers.Identity(NAME, INCARNATION, KEY)
        streams = peers.PeerStreams(reactor, identity, lambda *_: None, peer_codec.CODEC)
        streams.connect("10.0.0.1:5")
        factory = reactor.tcpClients[0][2]
        attempt = mock.Mock()
        # The attempt has just succeeded when it is to be stopped.
        attempt.stopConnecting.side_effect = error.NotConnectingError
        factory.startedConnecting(attempt)
        streams.set_addresses(())
        stream = factory.buildProtocol(None)
        factory.clientConnectionLost(attempt, failure.Failure(error.ConnectionDone()))
        reactor.advance(60.0)
        assert attempt.connect.call_count == 0
        assert stream is None


class TestEndOfStream:
    """The end of a connection is taken for the end of its sender only if it says so.

    A sender that counts as lost loses its slots and its queued slot requests.
    """

    def setup_method(self):
        """Listen for streams."""
        self.reactor = testing.MemoryReactorClock()
        self.lost = []
        self.streams = peers.PeerStreams(
            self.reactor,
            peers.Identity(ids.InstanceId("own"), INCARNATION, KEY),
            lambda sender, message: None,
            peer_codec.CODEC,
            on_lost=self.lost.append,
        )
        self.streams.listen("127.0.0.1", 5)

    def accept(self, *messages):
        """Return an accepted connection whose sender has authenticated and sent messages."""
        stream = self.reactor.tcpServers[0][1].buildProtocol(None)
        transport = test_mixed_builds.Transport()
        stream.makeConnection(transport)
        nonce = transport.read_frames()[0][1][0]
        hello = peers.Identity(NAME, INCARNATION, KEY).answer(nonce, 1)
        for message in (hello, *messages):
            stream.dataReceived(peer_codec.CODEC.encode(message, 1))
        return stream

    def test_only_stream(self):
        """Its end is that of the sender."""
        self.accept(HEARTBEAT).connectionLost()
        assert self.lost == [NAME]

    def test_stream_that_was_replaced(self):
        """The end of a dead one is found late, when the sender has long opened another."""
        former, present = self.accept(HEARTBEAT), self.accept(HEARTBEAT)
        former.connectionLost()
        assert self.lost == []
        present.connectionLost()
        assert self.lost == [NAME]

    def test_relay_connection_that_carried_no_request(self):
        """The request was withdrawn, and its sender is still there."""
        stream = self.accept(HEARTBEAT)
        self.accept().connectionLost()
        assert self.lost == []
        stream.connectionLost()
        assert self.lost == [NAME]


class TestRelayedAnswers:
    """An instance stops while the answer to a relayed request is being sent.

    What it has not handed to the kernel is lost with it, and its origin has to say that the
    request may have run.
    """

    def setup_method(self):
        """Accept a connection, and relay a request on it."""
        self.reactor = testing.MemoryReactorClock()
        self.answers = []
        self.streams = peers.PeerStreams(
            self.reactor,
            peers.Identity(ids.InstanceId("own"), INCARNATION, KEY),
            lambda sender, message: None,
            peer_codec.CODEC,
            relay_handler=self.relay,
        )
        self.streams.listen("127.0.0.1", 5)
        self.stream = self.reactor.tcpServers[0][1].buildProtocol(None)
        self.transport = test_mixed_builds.Transport()
        self.stream.makeConnection(self.transport)
        nonce = self.transport.read_frames()[0][1][0]
        version = peer_codec.PROTOCOL_VERSION
        hello = peers.Identity(NAME, INCARNATION, KEY).answer(nonce, version)
        self.stream.dataReceived(peer_codec.CODEC.encode(hello))
        self.send_request()

    def relay(self, sender, request, respond):
        """Keep the function that answers."""
        self.answers.append(respond)
        return defer.Deferred(lambda _: None)

    def send_request(self):
        """Send a request to relay."""
        request = protocol_samples.sample_message("RelayRequest")
        self.stream.dataReceived(peer_codec.CODEC.encode(request))

    def answer(self, size):
        """Answer the request with a body of some bytes; return the answer."""
        answer = attrs.evolve(
            protocol_samples.sample_message("RelayResponse"), body=b"x" * size
        )
        self.transport.clear()
        self.answers.pop()(answer)
        return answer

    def read(self):
        """Let the other side read all that is sent."""
        while self.transport.producer is not None:
            self.transport.producer.resumeProducing()
        return peer_codec.CODEC.decode(self.transport.read_frames()[0])

    def test_large_answer_counts_until_it_is_sent(self):
        """The instance waits for it."""
        answer = self.answer(1_000_000)
        assert self.streams.unsent_answers == 1
        assert self.read() == answer
        assert self.streams.unsent_answers == 0

    def test_small_answer_is_sent_at_once(self):
        """It fits into the buffer of the kernel."""
        answer = self.answer(1000)
        assert self.streams.unsent_answers == 0
        assert self.read() == answer

    def test_next_request_on_the_connection(self):
        """It is relayed, and answered, as the first one."""
        self.answer(1_000_000)
        self.read()
        self.send_request()
        answer = self.answer(1_000_000)
        assert self.streams.unsent_answers == 1
        assert self.read() == answer

    def test_origin_that_leaves(self):
        """Nothing is left to wait for."""
        self.answer(1_000_000)
        self.stream.connectionLost()
        assert self.streams.unsent_answers == 0
        assert self.transport.producer is None

    def test_answer_over_a_slow_link(self):
        """The connection is not idle while the other side reads."""
        answer = self.answer(1_000_000)
        frames = framing.unpacker()
        for _ in range(5):
            self.reactor.advance(6.0)
            assert self.transport.abort_count == 0
            frames.feed(self.transport.value())
            self.transport.clear()
            self.transport.producer.resumeProducing()
        frames.feed(self.transport.value())
        self.transport.clear()
        while self.transport.producer is not None:
            self.transport.producer.resumeProducing()
        frames.feed(self.transport.value())
        assert peer_codec.CODEC.decode(next(frames)) == answer
        self.reactor.advance(11.0)
        assert self.transport.abort_count == 1

    def test_origin_that_does_not_read(self):
        """Its connection is aborted, as the answer takes memory."""
        self.answer(1_000_000)
        self.reactor.advance(11.0)
        assert self.transport.abort_count == 1
