"""Codec of all messages between the entry instances of a deployment.

A type tag is the name under which a message is sent. Tags are part of the protocol and must not
change, so a class whose name differs from its tag was renamed later.

Builds of different versions run side by side while instances are replaced. The side that
accepts a connection states its version in its challenge, and the connecting side sends it only
what that version knows. What each version introduced:

2: `Hello.version`, `SlotReleased.pace`, `Member.is_slow`, `RegionReport.objects`,
   `RegionReport.borrowed`, `RegionReport.is_lent_known`.
3: `FeedProgress.ages_ms`, `ObjectRequest`, `ObjectReport`.
4: `ProgressQuery`, the fields of `FeedRequest`, `FeedProgress.answers`, compressed frames.
5: `RelayResponse.is_identified`.
6: `SlotRequested.account`, `HeldSlotsReport.objects`, `QuotaRequest`, `QuotaGrant`,
   `Member.quota_counters`.
7: `FeedProgress.has_marks`.
8: `Member.work_time_us`, `Member.moved_share`.
9: `Member.changed_ms`, `RelayRequest.fingerprint`.
"""

from carobhook.protocol import (
    feed_messages,
    framing,
    membership_messages,
    path_messages,
    quota_messages,
    relay_messages,
    slot_messages,
)

# Version of the protocol that this build speaks. It rises with each release that adds a message
# type or a field.
PROTOCOL_VERSION = 9

MESSAGE_TYPES: dict[str, type] = {
    "Challenge": membership_messages.Challenge,
    "Hello": membership_messages.Hello,
    "Heartbeat": membership_messages.Heartbeat,
    "Alive": membership_messages.HeartbeatAck,
    "RosterTold": membership_messages.RosterUpdate,
    "StreamUnneeded": membership_messages.StreamClosing,
    "SlotAsked": slot_messages.SlotRequested,
    "SlotAskWithdrawn": slot_messages.SlotRequestWithdrawn,
    "SlotGranted": slot_messages.SlotGranted,
    "SlotRefused": slot_messages.SlotRefused,
    "SlotMoved": slot_messages.NotDispatcher,
    "SlotEnded": slot_messages.SlotReleased,
    "ServerLimited": slot_messages.ServerLimitReport,
    "SlotsWanted": slot_messages.HeldSlotsQuery,
    "SlotsHeld": slot_messages.HeldSlotsReport,
    "RegionReport": slot_messages.RegionReport,
    "LoadsWanted": slot_messages.LoadQuery,
    "LoadsTold": slot_messages.LoadReport,
    "RequestMarked": slot_messages.RequestMarked,
    "RequestCleared": slot_messages.RequestCleared,
    "ReachQuery": path_messages.ReachQuery,
    "ReachReport": path_messages.ReachReport,
    "ServerLeaving": path_messages.ServerLeaving,
    "QuotaRequest": quota_messages.QuotaRequest,
    "QuotaGrant": quota_messages.QuotaGrant,
    "RelayRequest": relay_messages.RelayRequest,
    "RelayResponse": relay_messages.RelayResponse,
    "FeedWanted": feed_messages.FeedRequest,
    "ProgressQuery": feed_messages.ProgressQuery,
    "FeedSnapshot": feed_messages.FeedSnapshot,
    "FeedEvents": feed_messages.FeedEvents,
    "FeedFresh": feed_messages.FeedProgress,
    "ObjectRequest": feed_messages.ObjectRequest,
    "ObjectReport": feed_messages.ObjectReport,
}

# Versions that introduced types after the first, by tag.
_ADDED_TYPES: dict[str, int] = {
    "ObjectRequest": 3,
    "ObjectReport": 3,
    "ProgressQuery": 4,
    "QuotaRequest": 6,
    "QuotaGrant": 6,
}

# They carry objects of the store, of up to 1 MiB each.
_COMPRESSED_TYPES = framing.CompressedTypes(
    frozenset({"FeedSnapshot", "FeedEvents", "ObjectReport"}), since=4
)

CODEC = framing.MessageCodec(MESSAGE_TYPES, PROTOCOL_VERSION, _ADDED_TYPES, _COMPRESSED_TYPES)
