"""Messages that authenticate streams between instances and report which instances are live."""

import attrs

from carobhook.state import ids, members


@attrs.frozen
class Challenge:
    """First message of the accepting side, which asks the connecting side to authenticate.

    Attributes:
        nonce: Random bytes that the proof in `Hello` must cover.
    """

    nonce: bytes


@attrs.frozen
class Hello:
    """First message of the connecting side, which authenticates it.

    Attributes:
        name: Name of the sender.
        incarnation: Id of the current run of the sender's daemon.
        proof: HMAC-SHA256 of the nonce, name and incarnation under the shared key.
    """

    name: ids.InstanceId
    incarnation: ids.Incarnation
    proof: bytes


@attrs.frozen
class Heartbeat:
    """Announces the current state of the sender.

    Attributes:
        member: State of the sender.
    """

    member: members.Member


@attrs.frozen
class StreamClosing:
    """Announces that the sender closes a stream it no longer needs, and is still live."""


@attrs.frozen
class RosterUpdate:
    """Updates the receiver's roster, which is the set of live instances that the sender knows.

    A relay sends only changes since its previous update. An instance that an update listed
    counts as live until a later update of the same sender lists it as lost.

    Attributes:
        members: Instances that were added or whose state changed.
        lost: Names of the instances that are no longer live.
        is_whole: Whether `members` is the complete roster and replaces all earlier updates.
    """

    members: tuple[members.Member, ...]
    lost: tuple[ids.InstanceId, ...]
    is_whole: bool


@attrs.frozen
class HeartbeatAck:
    """Acknowledges a heartbeat on its connection, so that its sender detects a dead stream."""
