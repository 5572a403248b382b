"""Codec of all messages between the entry instances of a deployment."""

from carobhook.protocol import feed_messages, framing, greetings, slot_messages

CODEC = framing.MessageCodec(
    (
        greetings.Challenge,
        greetings.Hello,
        greetings.Heartbeat,
        greetings.Alive,
        greetings.RosterTold,
        greetings.StreamUnneeded,
        slot_messages.SlotAsked,
        slot_messages.SlotAskWithdrawn,
        slot_messages.SlotGranted,
        slot_messages.SlotRefused,
        slot_messages.SlotMoved,
        slot_messages.SlotEnded,
        slot_messages.SlotsWanted,
        slot_messages.SlotsHeld,
        slot_messages.RegionReport,
        slot_messages.LoadsWanted,
        slot_messages.LoadsTold,
        slot_messages.RequestMarked,
        slot_messages.RequestCleared,
        feed_messages.FeedWanted,
        feed_messages.FeedSnapshot,
        feed_messages.FeedEvents,
        feed_messages.FeedFresh,
    )
)
