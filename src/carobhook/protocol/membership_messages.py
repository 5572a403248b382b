"""Messages that authenticate streams between instances and report which instances are live."""

import attrs

from carobhook.state import ids, members, versions

# Random bytes at the beginning of each nonce.
NONCE_BYTES = 16
_VERSION_MARK = b"/version="
_MAX_VERSION_DIGITS = 6


def versioned_nonce(random_bytes: bytes, version: int) -> bytes:
    """Return the nonce of a challenge that states a version of the protocol.

    Builds of the first version accept no further field in `Challenge`, but a nonce of any
    length.

    Args:
        random_bytes: 16 random bytes.
        version: Version that the accepting side speaks.
    """
    return random_bytes[:NONCE_BYTES] + _VERSION_MARK + str(version).encode()


def protocol_version(nonce: bytes) -> int:
    """Return the version that a nonce states, the first one if it states none."""
    mark, digits = nonce[NONCE_BYTES:].partition(_VERSION_MARK)[1:]
    if not mark or not digits.isdigit() or len(digits) > _MAX_VERSION_DIGITS:
        return versions.FIRST_VERSION
    return max(versions.FIRST_VERSION, int(digits))


@attrs.frozen
class Challenge:
    """First message of the accepting side, which asks the connecting side to authenticate.

    Attributes:
        nonce: Random bytes that the proof in `Hello` must cover, and the version of the
            protocol that the accepting side speaks, see `protocol_version`.
    """

    nonce: bytes


@attrs.frozen
class Hello:
    """First message of the connecting side, which authenticates it.

    Attributes:
        name: Name of the sender.
        incarnation: Id of the current run of the sender's daemon.
        proof: HMAC-SHA256 of the nonce, name and incarnation under the shared key.
        version: Version of the protocol that the sender speaks.
    """

    name: ids.InstanceId
    incarnation: ids.Incarnation
    proof: bytes
    version: int = versions.added_field(versions.FIRST_VERSION, since=2)


@attrs.frozen
class Heartbeat:
    """Announces the current state of the sender.

    Attributes:
        member: State of the sender.
    """

    member: members.Member


@attrs.frozen
class StreamClosing:
    """Announces that the sender closes a stream that it no longer needs, and is still live.

    Without this message, the receiver takes the end of the stream for the end of the sender.
    """


@attrs.frozen
class RosterUpdate:
    """Reports which instances the sender knows to be live.

    The first update on a stream is complete, and later ones contain only changes. Each update,
    even without changes, confirms that the instances that its sender reported before are still
    live, except for those that it lists as lost.

    Attributes:
        members: Instances that were added or whose state changed.
        lost: Names of the instances that are no longer live.
        is_whole: Whether `members` is complete and replaces all earlier updates of the sender.
    """

    members: tuple[members.Member, ...]
    lost: tuple[ids.InstanceId, ...]
    is_whole: bool


@attrs.frozen
class HeartbeatAck:
    """Acknowledges a heartbeat on the stream that carried it.

    An instance closes a stream that it opened if it receives nothing on it for too long. This
    is how it detects a dead stream.
    """
