"""First messages of a stream between instances, and those that show that it lives."""

import attrs

from carobhook.state import ids, members


@attrs.frozen
class Challenge:
    """First frame from the accepting side: the nonce that the hello must prove."""

    nonce: bytes


@attrs.frozen
class Hello:
    """First frame from the connecting side.

    Attributes:
        name: Name of the sender.
        incarnation: Incarnation of the sender.
        proof: HMAC-SHA256 of nonce, name and incarnation under the shared key.
    """

    name: ids.InstanceId
    incarnation: ids.Incarnation
    proof: bytes


@attrs.frozen
class Heartbeat:
    """The sender's own state."""

    member: members.Member


@attrs.frozen
class StreamUnneeded:
    """Says that the sender closes this stream, and lives on."""


@attrs.frozen
class RosterTold:
    """What a relay knows of other instances, as changes to what it told before.

    All that it told of and did not take back are live.

    Attributes:
        members: Instances that are new to the receiver, or have changed.
        lost: Names of those that have gone.
        is_whole: Whether nothing that was told before counts any more.
    """

    members: tuple[members.Member, ...]
    lost: tuple[ids.InstanceId, ...]
    is_whole: bool


@attrs.frozen
class Alive:
    """Answers each heartbeat on its own connection, so that a silent stream shows."""
