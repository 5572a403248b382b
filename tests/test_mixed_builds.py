"""Instances of different builds side by side, as during a rolling upgrade."""

import json
import pathlib

import attrs
import msgpack
import pytest
from twisted.internet import task, testing

import protocol_samples
from carobhook import logs
from carobhook.protocol import (
    framing,
    membership_messages,
    peer_codec,
    relay_messages,
    slot_messages,
)
from carobhook.state import ids, versions
from carobhook.transport import peers

KEY = b"shared"
NAME = ids.InstanceId("a")
INCARNATION = ids.Incarnation("0" * 16)
# Frames of the first version as its build encoded them, by type tag.
RELEASED = {
    tag: bytes.fromhex(frame)
    for tag, frame in json.loads(
        (pathlib.Path(__file__).parent / "released_frames_1.json").read_text("utf-8")
    ).items()
}
MALFORMED_VERSIONS = (b"", b"-1", b"9" * 100, b"\xff")
RELEASE = slot_messages.NotDispatcher(ids.RequestId("3"))


class Transport(testing.StringTransport):
    """A transport that records aborts, and what was written since it was last read."""

    def __init__(self):
        super().__init__()
        self.abort_count = 0

    def setTcpNoDelay(self, on):  # noqa: N802
        """Accept the option."""

    def setTcpKeepAlive(self, on):  # noqa: N802
        """Accept the option."""

    def abortConnection(self):  # noqa: N802
        """Count an abort."""
        self.abort_count += 1

    def read_frames(self):
        """Return the unpacked frames that were written since the last call."""
        unpacker = framing.unpacker()
        unpacker.feed(self.value())
        self.clear()
        return list(unpacker)


class Factory:
    """What a stream needs of its factory."""

    address = "10.0.0.1:5"

    def __init__(self):
        self.ready = []
        self.on_ready = self.ready.append


def accept():
    """Return a new incoming stream, its transport and the messages that it handled."""
    handled = []
    stream = peers._IncomingStream(
        task.Clock(),
        peer_codec.CODEC,
        KEY,
        lambda sender, message: handled.append(message),
        lambda name: None,
    )
    transport = Transport()
    stream.makeConnection(transport)
    return stream, transport, handled


def connect():
    """Return a new outgoing stream and its transport."""
    identity = peers.Identity(NAME, INCARNATION, KEY)
    stream = peers._OutgoingStream(task.Clock(), peer_codec.CODEC, identity)
    stream.factory = Factory()
    transport = Transport()
    stream.makeConnection(transport)
    return stream, transport


def hello_of_version_1(nonce):
    """Return the frame of a hello as builds of the first version send it."""
    proof = peers.hello_proof(KEY, nonce, NAME, INCARNATION)
    return msgpack.packb(["Hello", [NAME, INCARNATION, proof]])


class TestReleasedFrames:
    """Encodings of the first version, which never change."""

    @pytest.mark.parametrize("tag", RELEASED)
    def test_frames_for_older_builds_are_as_they_were(self, tag):
        """A message for a build of the first version has the bytes that it had then."""
        message = protocol_samples.sample_message(tag)
        assert peer_codec.CODEC.encode(message, versions.FIRST_VERSION) == RELEASED[tag]

    @pytest.mark.parametrize("tag", RELEASED)
    def test_frames_of_older_builds_are_understood(self, tag):
        """A message of a build of the first version is decoded."""
        frame = msgpack.unpackb(RELEASED[tag])
        message = peer_codec.CODEC.decode(frame)
        assert peer_codec.CODEC.encode(message, versions.FIRST_VERSION) == RELEASED[tag]


class TestNewerPeer:
    """Messages of a build that is newer than this one."""

    def test_unknown_type_does_not_end_the_stream(self, monkeypatch):
        """It is skipped and logged once, and later messages are handled."""
        warnings = []
        monkeypatch.setattr(logs, "warning", lambda name, **values: warnings.append(name))
        stream, transport, handled = accept()
        nonce = transport.read_frames()[0][1][0]
        stream.dataReceived(hello_of_version_1(nonce))
        unknown = msgpack.packb(["NotKnownYet", [1, {"a": [2]}]])
        stream.dataReceived(unknown + unknown + peer_codec.CODEC.encode(RELEASE))
        assert (handled, transport.abort_count) == ([RELEASE], 0)
        assert warnings == ["peer-message-unknown"]

    def test_unknown_type_before_the_hello_ends_the_connection(self):
        """An unauthenticated sender gets no further."""
        stream, transport, _ = accept()
        stream.dataReceived(msgpack.packb(["NotKnownYet", []]))
        assert transport.abort_count == 1

    def test_more_fields_than_known(self):
        """They are ignored, in nested values too."""
        frame = msgpack.unpackb(
            peer_codec.CODEC.encode(protocol_samples.sample_message("Heartbeat"))
        )
        frame[1].append("new")
        frame[1][0].append("new")
        assert peer_codec.CODEC.decode(frame) == protocol_samples.sample_message("Heartbeat")

    def test_too_few_fields(self):
        """A message without a field that it must have is invalid."""
        with pytest.raises(framing.CodecError, match="at least 3 fields"):
            peer_codec.CODEC.decode(["Hello", ["a", "b"]])


class TestOlderPeer:
    """Connections to and from a build of the first version."""

    def test_older_accepting_side_gets_its_own_hello(self):
        """It would refuse a hello with more fields than it knows."""
        stream, transport = connect()
        stream.dataReceived(msgpack.packb(["Challenge", [b"n" * 16]]))
        assert transport.value() == hello_of_version_1(b"n" * 16)
        assert stream.factory.ready

    def test_older_connecting_side_is_authenticated(self):
        """It signs the nonce, whatever its length."""
        stream, transport, handled = accept()
        nonce = transport.read_frames()[0][1][0]
        stream.dataReceived(hello_of_version_1(nonce) + peer_codec.CODEC.encode(RELEASE))
        assert (handled, transport.abort_count) == ([RELEASE], 0)
        assert stream.peer_version == versions.FIRST_VERSION

    def test_challenge_fits_the_older_build(self):
        """It has one field of bytes, as before."""
        _, transport, _ = accept()
        tag, fields = transport.read_frames()[0]
        assert (tag, len(fields), type(fields[0])) == ("Challenge", 1, bytes)

    def test_messages_that_it_does_not_know_are_not_sent(self, monkeypatch):
        """A type that a later version introduced is left out."""
        monkeypatch.setitem(peer_codec.CODEC._added_types, "SlotMoved", 2)
        stream, transport = connect()
        stream.dataReceived(msgpack.packb(["Challenge", [b"n" * 16]]))
        transport.clear()
        stream.send(RELEASE)
        assert transport.value() == b""


class TestSameVersion:
    """Two instances of this build."""

    def test_both_sides_know_the_version(self):
        """It is stated in the nonce, and answered in the hello."""
        incoming, accepting, _ = accept()
        outgoing, connecting = connect()
        outgoing.dataReceived(accepting.value())
        incoming.dataReceived(connecting.value())
        assert outgoing.peer_version == peer_codec.PROTOCOL_VERSION
        assert incoming.peer_version == peer_codec.PROTOCOL_VERSION

    @pytest.mark.parametrize(
        "nonce",
        [b"", b"n" * 16, *(b"n" * 16 + b"/version=" + text for text in MALFORMED_VERSIONS)],
    )
    def test_nonce_that_states_nothing(self, nonce):
        """The first version is assumed."""
        assert membership_messages.protocol_version(nonce) == versions.FIRST_VERSION

    def test_later_version_is_spoken_in_ours(self):
        """A newer build is sent what this one knows."""
        stream, _ = connect()
        nonce = membership_messages.versioned_nonce(b"n" * 16, 999)
        stream.dataReceived(peer_codec.CODEC.encode(membership_messages.Challenge(nonce)))
        assert stream.peer_version == peer_codec.PROTOCOL_VERSION


def test_relayed_response_has_the_fields_that_the_peer_knows():
    """The accepting side answers a relayed request in the version of the hello."""
    incoming, accepting, _ = accept()
    nonce = accepting.read_frames()[0][1][0]
    incoming.dataReceived(hello_of_version_1(nonce))
    response = protocol_samples.sample_message("RelayResponse")
    assert isinstance(response, relay_messages.RelayResponse)
    incoming.send(response)
    assert accepting.value().endswith(RELEASED["RelayResponse"])


def test_relayed_request_has_the_fields_that_the_peer_knows():
    """Version 8 has no fingerprint; what lacks one is decoded without."""
    request = protocol_samples.sample_message("RelayRequest")
    older = msgpack.unpackb(peer_codec.CODEC.encode(request, 8))
    newer = msgpack.unpackb(peer_codec.CODEC.encode(request, 9))
    assert newer[1] == [*older[1], b"fingerprint"]
    assert peer_codec.CODEC.decode(newer) == request
    assert peer_codec.CODEC.decode(older) == attrs.evolve(request, fingerprint=b"")
