"""Tests of carobhook.protocol.framing and the messages that it carries."""

import hypothesis
import msgpack
import pytest
from hypothesis import strategies as st

from carobhook.protocol import framing, peer_codec, slot_messages
from carobhook.state import asks, ids


def round_trip(message):
    """Return a message after its way over a stream."""
    unpacker = peer_codec.CODEC.unpacker()
    unpacker.feed(peer_codec.CODEC.encode(message))
    return peer_codec.CODEC.decode(next(unpacker))


class TestMessageCodec:
    """Frames of typed messages."""

    def test_message_with_nested_values(self):
        """Enums, sets and values inside values come back as they were."""
        message = slot_messages.SlotEnded(
            ids.RequestId("1"),
            ids.Region("r"),
            ids.Service("s"),
            ids.Server("x"),
            asks.WorkEnd.BROKEN,
        )
        assert round_trip(message) == message

    @pytest.mark.parametrize(
        "frame", [None, [], ["Nothing", []], ["SlotMoved", []], ["SlotMoved", [7]], ["Alive"]]
    )
    def test_what_is_no_message_is_refused(self, frame):
        """A frame of another shape raises the codec's own error."""
        with pytest.raises(framing.CodecError):
            peer_codec.CODEC.decode(frame)

    @hypothesis.given(st.binary(max_size=200))
    def test_any_octets(self, octets):
        """Garbage never raises anything else."""
        try:
            frame = msgpack.unpackb(octets, strict_map_key=False)
        except Exception:
            return
        try:
            peer_codec.CODEC.decode(frame)
        except framing.CodecError:
            return
