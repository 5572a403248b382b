"""Codec of all messages between the entry instances of a deployment.

A type tag is the name under which a message is sent. Tags are part of the protocol and must not
change, so a class whose name differs from its tag was renamed later.
"""

from carobhook.protocol import feed_messages, framing, greetings, slot_messages

MESSAGE_TYPES: dict[str, type] = {
    "Challenge": greetings.Challenge,
    "Hello": greetings.Hello,
    "Heartbeat": greetings.Heartbeat,
    "Alive": greetings.Alive,
    "RosterTold": greetings.RosterTold,
    "StreamUnneeded": greetings.StreamUnneeded,
    "SlotAsked": slot_messages.SlotAsked,
    "SlotAskWithdrawn": slot_messages.SlotAskWithdrawn,
    "SlotGranted": slot_messages.SlotGranted,
    "SlotRefused": slot_messages.SlotRefused,
    "SlotMoved": slot_messages.SlotMoved,
    "SlotEnded": slot_messages.SlotEnded,
    "SlotsWanted": slot_messages.SlotsWanted,
    "SlotsHeld": slot_messages.SlotsHeld,
    "RegionReport": slot_messages.RegionReport,
    "LoadsWanted": slot_messages.LoadsWanted,
    "LoadsTold": slot_messages.LoadsTold,
    "RequestMarked": slot_messages.RequestMarked,
    "RequestCleared": slot_messages.RequestCleared,
    "FeedWanted": feed_messages.FeedWanted,
    "FeedSnapshot": feed_messages.FeedSnapshot,
    "FeedEvents": feed_messages.FeedEvents,
    "FeedFresh": feed_messages.FeedFresh,
}

CODEC = framing.MessageCodec(MESSAGE_TYPES)
