"""A connection that carries msgpack frames, the messages between instances."""

import typing

import msgpack
from twisted.internet import protocol

from carobhook import logs
from carobhook.protocol import framing, membership_messages
from carobhook.state import versions

# Types of skipped messages that are logged for each connection.
_MAX_LOGGED_TYPES = 16


class Codec(typing.Protocol):
    """Encodes and decodes the messages on a stream."""

    version: int

    def is_known(self, message: typing.Any, version: int) -> bool:
        """Return whether a receiver that speaks a version knows the type of a message."""

    def encode(self, message: typing.Any, version: int | None = None) -> bytes:
        """Return the frame of a message for a receiver that speaks a version."""

    def decode(self, frame: object, limit: int = framing.MAX_FRAME_BYTES) -> typing.Any:
        """Return the message of an unpacked frame, or of one of up to `limit` bytes in it.

        Raises:
            framing.UnknownTypeError: The type of the message is unknown.
            framing.CodecError: The frame is invalid, or the fields of the message are.
        """

    def unpacker(self, limit: int = framing.MAX_FRAME_BYTES) -> msgpack.Unpacker:
        """Return a stream unpacker that buffers at most `limit` bytes."""


class Authenticator(typing.Protocol):
    """Authenticates this instance to others."""

    def answer(self, nonce: bytes, version: int) -> membership_messages.Hello:
        """Return the answer to a challenge, with the version that this instance speaks."""


class FramedProtocol(protocol.Protocol):
    """A connection that carries msgpack frames.

    It is aborted on invalid data, and if the handling of a message raises an exception.
    Messages of a type that this build does not know are skipped: the other side may be newer.

    Attributes:
        peer_version: Version of the protocol that the other side speaks, as far as it is known.
    """

    def __init__(self, reactor: typing.Any, codec: Codec) -> None:
        self._reactor = reactor
        self._codec = codec
        self._unpacker = codec.unpacker()
        self._frame_limit = framing.MAX_FRAME_BYTES
        self._skipped_types: set[str] = set()
        self.peer_version = versions.FIRST_VERSION

    def send(self, message: typing.Any) -> None:
        """Write one message, unless the other side does not know its type."""
        if self._codec.is_known(message, self.peer_version):
            self.transport.write(self._codec.encode(message, self.peer_version))

    def answer_challenge(
        self, identity: Authenticator, challenge: membership_messages.Challenge
    ) -> None:
        """Authenticate this instance, in the version that the other side speaks."""
        stated = membership_messages.protocol_version(challenge.nonce)
        self.peer_version = min(stated, self._codec.version)
        self.send(identity.answer(challenge.nonce, self._codec.version))

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes; abort the connection if they are invalid."""
        try:
            self._handle_data(data)
        except Exception as problem:
            logs.warning("peer-stream-invalid", peer=self.transport.getPeer(), error=problem)
            self.transport.abortConnection()

    def _handle_data(self, data: bytes) -> None:
        self._unpacker.feed(data)
        while True:
            try:
                frame = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            try:
                message = self._codec.decode(frame, self._frame_limit)
            except framing.UnknownTypeError as problem:
                self.skip_message(problem)
            else:
                self.handle_message(message)

    def skip_message(self, problem: framing.UnknownTypeError) -> None:
        """Skip a message of an unknown type; the first of each type is logged."""
        if problem.tag in self._skipped_types or len(self._skipped_types) >= _MAX_LOGGED_TYPES:
            return
        self._skipped_types.add(problem.tag)
        peer = self.transport.getPeer()
        logs.warning("peer-message-unknown", peer=peer, type=problem.tag[:80])

    def handle_message(self, message: typing.Any) -> None:
        """Handle one message."""
        raise NotImplementedError
