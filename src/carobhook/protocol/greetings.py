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
    """The sender's own state, and the peer addresses that it knows."""

    member: members.Member
    known_peers: tuple[str, ...]


@attrs.frozen
class Alive:
    """Answers each heartbeat on its own connection, so that a silent stream shows."""
