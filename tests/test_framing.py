"""Tests of carobhook.protocol.framing and carobhook.protocol.peer_codec."""

import zlib

import attrs
import hypothesis
import msgpack
import pytest
from hypothesis import strategies as st

from carobhook.protocol import (
    feed_messages,
    framing,
    membership_messages,
    path_messages,
    peer_codec,
    quota_messages,
    relay_messages,
    slot_messages,
)
from carobhook.state import allocation, ids, versions

# Type tag, class and number of fields of each message.
MESSAGES = [
    ("Challenge", membership_messages.Challenge, 1),
    ("Hello", membership_messages.Hello, 3),
    ("Heartbeat", membership_messages.Heartbeat, 1),
    ("Alive", membership_messages.HeartbeatAck, 0),
    ("RosterTold", membership_messages.RosterUpdate, 3),
    ("StreamUnneeded", membership_messages.StreamClosing, 0),
    ("SlotAsked", slot_messages.SlotRequested, 12),
    ("SlotAskWithdrawn", slot_messages.SlotRequestWithdrawn, 3),
    ("SlotGranted", slot_messages.SlotGranted, 1),
    ("SlotRefused", slot_messages.SlotRefused, 4),
    ("SlotMoved", slot_messages.NotDispatcher, 1),
    ("SlotEnded", slot_messages.SlotReleased, 5),
    ("ServerLimited", slot_messages.ServerLimitReport, 3),
    ("SlotsWanted", slot_messages.HeldSlotsQuery, 2),
    ("SlotsHeld", slot_messages.HeldSlotsReport, 3),
    ("RegionReport", slot_messages.RegionReport, 7),
    ("LoadsWanted", slot_messages.LoadQuery, 1),
    ("LoadsTold", slot_messages.LoadReport, 2),
    ("RequestMarked", slot_messages.RequestMarked, 4),
    ("RequestCleared", slot_messages.RequestCleared, 2),
    ("QuotaRequest", quota_messages.QuotaRequest, 6),
    ("QuotaGrant", quota_messages.QuotaGrant, 4),
    ("ReachQuery", path_messages.ReachQuery, 2),
    ("ReachReport", path_messages.ReachReport, 2),
    ("ServerLeaving", path_messages.ServerLeaving, 2),
    ("RelayRequest", relay_messages.RelayRequest, 8),
    ("RelayResponse", relay_messages.RelayResponse, 6),
    ("FeedWanted", feed_messages.FeedRequest, 0),
    ("ProgressQuery", feed_messages.ProgressQuery, 1),
    ("FeedSnapshot", feed_messages.FeedSnapshot, 3),
    ("FeedEvents", feed_messages.FeedEvents, 4),
    ("FeedFresh", feed_messages.FeedProgress, 1),
    ("ObjectRequest", feed_messages.ObjectRequest, 2),
    ("ObjectReport", feed_messages.ObjectReport, 2),
]


@attrs.frozen
class AddedFields:
    """Message with two fields that were added later."""

    first: int
    second: int | None = versions.added_field(None)
    third: str = versions.added_field("")


def round_trip(message):
    """Return a message after encoding and decoding it."""
    unpacker = peer_codec.CODEC.unpacker()
    unpacker.feed(peer_codec.CODEC.encode(message))
    return peer_codec.CODEC.decode(next(unpacker))


class TestMessageCodec:
    """Encoding and decoding of messages."""

    def test_message_with_nested_values(self):
        """Enums and nested values survive encoding and decoding."""
        message = slot_messages.SlotReleased(
            ids.RequestId("1"),
            ids.Region("r"),
            ids.Service("s"),
            ids.Server("x"),
            allocation.AttemptOutcome.BROKEN,
        )
        assert round_trip(message) == message

    def test_added_fields_are_left_out_while_they_are_default(self):
        """Builds that do not know an added field can decode the frame, and be decoded."""
        codec = framing.MessageCodec({"Added": AddedFields})
        assert msgpack.unpackb(codec.encode(AddedFields(1))) == ["Added", [1]]
        assert msgpack.unpackb(codec.encode(AddedFields(1, 2))) == ["Added", [1, 2]]
        assert msgpack.unpackb(codec.encode(AddedFields(1, None, "x"))) == [
            "Added",
            [1, None, "x"],
        ]
        assert codec.decode(["Added", [1]]) == AddedFields(1)
        assert codec.decode(["Added", [1, 2, "x", 4]]) == AddedFields(1, 2, "x")
        with pytest.raises(framing.CodecError):
            codec.decode(["Added", []])

    @pytest.mark.parametrize(
        "frame", [None, [], ["Nothing", []], ["SlotMoved", []], ["SlotMoved", [7]], ["Alive"]]
    )
    def test_invalid_frame_raises_codec_error(self, frame):
        """A frame with an unknown tag or with invalid fields raises CodecError."""
        with pytest.raises(framing.CodecError):
            peer_codec.CODEC.decode(frame)

    @hypothesis.given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_codec_error(self, data):
        """Arbitrary data from a peer raises no error other than CodecError."""
        try:
            frame = msgpack.unpackb(data, strict_map_key=False)
        except Exception:
            return
        try:
            peer_codec.CODEC.decode(frame)
        except framing.CodecError:
            return


class TestCompressedFrames:
    """Large messages of the feed, which cross slow links."""

    def setup_method(self):
        """Create a large object that repeats itself."""
        item = feed_messages.FeedObject("main", 7, b'{"Name":"r","Kind":"safe"}' * 4_000)
        self.message = feed_messages.ObjectReport("config", item)
        self.size = len(item.value)

    def test_message_survives(self):
        """It is decoded as it was, from a frame of a tenth of its size."""
        assert round_trip(self.message) == self.message
        assert len(peer_codec.CODEC.encode(self.message)) < self.size / 10

    def test_frame_is_made_once_for_all_receivers(self):
        """Compression takes longer than all else, and a region has dozens of instances."""
        first = peer_codec.CODEC.encode(self.message)
        assert peer_codec.CODEC.encode(self.message) is first

    def test_older_builds_get_whole_frames(self):
        """They do not know compressed ones."""
        assert len(peer_codec.CODEC.encode(self.message, 3)) > self.size

    def test_small_messages_are_not_compressed(self):
        """They would not become smaller by much."""
        item = feed_messages.FeedObject("main", 7, b"{}")
        frame = peer_codec.CODEC.encode(feed_messages.ObjectReport("config", item))
        assert msgpack.unpackb(frame)[0] == "ObjectReport"

    @pytest.mark.parametrize(
        "fields",
        [
            None,
            [],
            ["text"],
            [b"not zlib"],
            [zlib.compress(b"")],
            [zlib.compress(msgpack.packb(["ObjectReport", []]))],
            [zlib.compress(msgpack.packb([0] * 100))[:-6]],
            [zlib.compress(b"\0" * (framing.MAX_FRAME_BYTES + 1))],
            [zlib.compress(msgpack.packb(["Compressed", [zlib.compress(b"")]]))],
        ],
    )
    def test_invalid_compressed_frame_raises_codec_error(self, fields):
        """So does one that would fill the memory."""
        with pytest.raises(framing.CodecError):
            peer_codec.CODEC.decode(["Compressed", fields])


class TestTypeTags:
    """Type tags and field counts, on which instances of different versions must agree."""

    def test_every_type_is_listed(self):
        """The codec knows exactly the listed types under the listed tags."""
        assert {tag: type_ for tag, type_, _ in MESSAGES} == peer_codec.MESSAGE_TYPES

    @pytest.mark.parametrize(("tag", "type_", "field_count"), MESSAGES)
    def test_frame_has_tag_and_fields(self, tag, type_, field_count):
        """A frame consists of the type tag and one value for each field."""
        values = [None] * field_count
        frame = msgpack.unpackb(peer_codec.CODEC.encode(type_(*values)))
        assert frame == [tag, values]
