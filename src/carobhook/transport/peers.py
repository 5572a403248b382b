"""Streams of msgpack frames between instances, with one connection for each direction."""

import hmac
import secrets
import typing
from collections.abc import Callable, Collection

import attrs
from twisted.internet import protocol
from twisted.python import failure

from carobhook import logs
from carobhook.protocol import framing, membership_messages, relay_messages
from carobhook.state import ids
from carobhook.transport import framed_protocol, paced_writer, sockets

_FIRST_RECONNECT_DELAY_S = 0.5
_MAX_RECONNECT_DELAY_S = 2.0
_HELLO_TIMEOUT_S = 2.0
# A side of a connection that receives nothing for this long aborts it. On a working connection
# both sides receive data: one gets heartbeats, the other gets their acknowledgements. This is
# also the timeout of attempts to connect.
_SILENCE_TIMEOUT_S = 2.0
_MAX_HELLO_BYTES = 64 * 1024

# A connection for relayed requests is aborted after this time without a request, or without
# progress of an answer.
_RELAY_IDLE_TIMEOUT_S = 10.0

Handler = Callable[[ids.InstanceId, typing.Any], None]
# Called with the sender of a relayed request, the request and a function that answers it once.
# Returns a deferred whose cancellation cancels the request, or None if it was answered.
RelayHandler = Callable[
    [
        ids.InstanceId,
        relay_messages.RelayRequest,
        Callable[[relay_messages.RelayResponse], None],
    ],
    typing.Any,
]


def hello_proof(
    key: bytes, nonce: bytes, name: ids.InstanceId, incarnation: ids.Incarnation
) -> bytes:
    """Return the HMAC which proves that the sender of a hello knows the shared key."""
    signed = b"\0".join([nonce, name.encode(), incarnation.encode()])
    return hmac.digest(key, signed, "sha256")


@attrs.frozen
class Identity:
    """Name, current run and shared key with which this instance authenticates to its peers."""

    name: ids.InstanceId
    incarnation: ids.Incarnation
    key: bytes = attrs.field(repr=False)

    def answer(self, nonce: bytes, version: int) -> membership_messages.Hello:
        """Return the answer to a challenge.

        Args:
            nonce: Nonce of the challenge.
            version: Version of the protocol that this instance speaks.
        """
        proof = hello_proof(self.key, nonce, self.name, self.incarnation)
        return membership_messages.Hello(self.name, self.incarnation, proof, version)


@attrs.define
class _AcceptedStreams:
    """What the accepted connections have in common.

    Attributes:
        latest: Latest stream from each sender.
        answering: Connections on which the answer to a relayed request is being sent.
    """

    latest: dict[ids.InstanceId, "_IncomingStream"] = attrs.field(factory=dict)
    answering: set["_IncomingStream"] = attrs.field(factory=set)


class _IncomingStream(framed_protocol.FramedProtocol):
    """Accepting side: authenticates the sender, then receives its messages.

    A connection whose sender relays requests on it carries nothing else. Its end is not the end
    of the sender, and cancels the request that it carries. Nor is the end of a stream that the
    sender has replaced by a later one.

    Args:
        reactor: Source of timers.
        codec: Encodes and decodes the messages.
        key: Shared key of the instances.
        handler: Called with the sender's name and each message.
        on_lost: Called with the sender's name when its latest stream ends.
        relay_handler: Relays requests; None to relay none.
        accepted: What it shares with all accepted connections.
    """

    def __init__(
        self,
        reactor: typing.Any,
        codec: framed_protocol.Codec,
        key: bytes,
        handler: Handler,
        on_lost: Callable[[ids.InstanceId], None],
        relay_handler: RelayHandler | None = None,
        accepted: _AcceptedStreams | None = None,
    ) -> None:
        super().__init__(reactor, codec)
        self._accepted = accepted or _AcceptedStreams()
        self._answers = paced_writer.PacedWriter(
            lambda size: self._accepted.answering.add(self),
            lambda size: self._record_progress(),
            lambda: self._accepted.answering.discard(self),
        )
        self._key = key
        self._handler = handler
        self._on_lost = on_lost
        self._relay_handler = relay_handler
        self._has_messages = False
        self._relayed: typing.Any = None
        self._nonce = membership_messages.versioned_nonce(
            secrets.token_bytes(membership_messages.NONCE_BYTES), codec.version
        )
        self._sender: ids.InstanceId | None = None
        # An unauthenticated client must not make this instance buffer more than a hello.
        self._unpacker = self._codec.unpacker(_MAX_HELLO_BYTES)
        self._frame_limit = _MAX_HELLO_BYTES

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._answers.connect(self.transport)
        self.send(membership_messages.Challenge(self._nonce))
        self._timer = self._reactor.callLater(_HELLO_TIMEOUT_S, self._abort_silent)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        if self._timer.active():
            self._timer.cancel()
        relayed, self._relayed = self._relayed, None
        if relayed is not None:
            relayed.cancel()
        self._answers.stop()
        self._accepted.answering.discard(self)
        if self._sender is not None and self._accepted.latest.get(self._sender) is self:
            del self._accepted.latest[self._sender]
            self._on_lost(self._sender)

    def handle_message(self, message: typing.Any) -> None:
        if isinstance(message, relay_messages.RelayRequest) and self._sender is not None:
            self._relay(self._sender, message)
            return
        self._timer.reset(_SILENCE_TIMEOUT_S)
        if self._sender is None:
            self._sender = self._authenticate(message)
            # The connecting side gets no answer to its hello and sends messages right after it.
            # Those that the old unpacker has buffered already go to the new one, whose limit is
            # that of any message.
            remaining = self._unpacker.read_bytes(_MAX_HELLO_BYTES)
            self._unpacker = self._codec.unpacker()
            self._frame_limit = framing.MAX_FRAME_BYTES
            self._unpacker.feed(remaining)
            return
        if not self._has_messages:
            self._has_messages = True
            self._accepted.latest[self._sender] = self
        if isinstance(message, membership_messages.Heartbeat):
            self.send(membership_messages.HeartbeatAck())
        self._handler(self._sender, message)

    def skip_message(self, problem: framing.UnknownTypeError) -> None:
        if self._sender is None:
            raise problem
        self._timer.reset(_SILENCE_TIMEOUT_S)
        super().skip_message(problem)

    def _relay(self, sender: ids.InstanceId, request: relay_messages.RelayRequest) -> None:
        """Relay a request; the connection may be silent until it is answered."""
        if self._relay_handler is None or self._relayed is not None:
            raise framing.CodecError("one request at a time can be relayed on a connection")
        if self._timer.active():
            self._timer.cancel()
        relayed = self._relay_handler(sender, request, self._answer_relayed)
        if relayed is not None and not relayed.called:
            self._relayed = relayed

    def _answer_relayed(self, response: relay_messages.RelayResponse) -> None:
        self._relayed = None
        if self.connected:
            self._answers.write(self._codec.encode(response, self.peer_version))
            self._timer = self._reactor.callLater(_RELAY_IDLE_TIMEOUT_S, self._abort_idle)

    def _record_progress(self) -> None:
        """Wait anew for the other side, which has read a part of the answer."""
        if self._timer.active():
            self._timer.reset(_RELAY_IDLE_TIMEOUT_S)

    def _abort_idle(self) -> None:
        self.transport.abortConnection()

    def _authenticate(self, message: typing.Any) -> ids.InstanceId:
        if not isinstance(message, membership_messages.Hello):
            raise framing.CodecError(f"first message must be Hello, got {message!r:.80}")
        proof = hello_proof(self._key, self._nonce, message.name, message.incarnation)
        if not hmac.compare_digest(proof, message.proof):
            raise framing.CodecError(f"proof of {message.name!r} does not match the shared key")
        self.peer_version = min(message.version, self._codec.version)
        return message.name

    def _abort_silent(self) -> None:
        logs.warning("peer-stream-silent", peer=self.transport.getPeer(), sender=self._sender)
        self.transport.abortConnection()


class _OutgoingStream(framed_protocol.FramedProtocol):
    """Connecting side: authenticates itself, then sends this instance's messages.

    Attributes:
        ready: Whether the hello was sent and the connection is open, so that messages may be
            sent.
    """

    def __init__(
        self, reactor: typing.Any, codec: framed_protocol.Codec, identity: Identity
    ) -> None:
        super().__init__(reactor, codec)
        self._identity = identity
        self.ready = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._timer = self._reactor.callLater(_SILENCE_TIMEOUT_S, self._abort_silent)

    def close(self) -> None:
        """Close the connection once all buffered data is written."""
        self.transport.loseConnection()

    def handle_message(self, message: typing.Any) -> None:
        self._timer.reset(_SILENCE_TIMEOUT_S)
        if isinstance(message, membership_messages.Challenge) and not self.ready:
            self.answer_challenge(self._identity, message)
            if self.peer_version < self._codec.version:
                logs.event("peer-older", peer=self.factory.address, version=self.peer_version)
            self.ready = True
            self.factory.on_ready(self.factory.address)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        self.ready = False
        if self._timer.active():
            self._timer.cancel()

    def _abort_silent(self) -> None:
        logs.warning("peer-stream-silent", peer=self.factory.address)
        self.transport.abortConnection()


class _Connector(protocol.ReconnectingClientFactory):
    """Keeps an outgoing stream to one address open, and reconnects when it is lost."""

    noisy = False

    def __init__(
        self,
        reactor: typing.Any,
        codec: framed_protocol.Codec,
        identity: Identity,
        address: str,
        on_ready: Callable[[str], None],
    ) -> None:
        self.clock = reactor
        self._codec = codec
        self.initialDelay = self.delay = _FIRST_RECONNECT_DELAY_S
        self.maxDelay = _MAX_RECONNECT_DELAY_S
        self._identity = identity
        self.address = address
        self.on_ready = on_ready
        self.stream: _OutgoingStream | None = None
        self._closed = False

    def startedConnecting(self, connector: typing.Any) -> None:
        # The base class learns of the connector only when an attempt fails, and could not stop
        # the first attempt.
        self.connector = connector

    def close(self) -> None:
        """Close the stream, and stop the attempts to open it."""
        self._closed = True
        self.stopTrying()
        if self.stream is not None and self.stream.transport is not None:
            self.stream.close()

    def buildProtocol(self, addr: typing.Any) -> _OutgoingStream | None:
        if self._closed:
            # The attempt succeeded before it could be stopped. Resetting the delay would start
            # the attempts again, for a stream on which nothing is ever sent.
            return None
        self.resetDelay()
        self.stream = _OutgoingStream(self.clock, self._codec, self._identity)
        self.stream.factory = self
        return self.stream


class _Acceptor(protocol.Factory):
    """Creates the streams of accepted connections.

    Attributes:
        accepted: What these connections have in common.
    """

    noisy = False

    def __init__(
        self,
        reactor: typing.Any,
        codec: framed_protocol.Codec,
        key: bytes,
        handler: Handler,
        on_lost: Callable[[ids.InstanceId], None],
        relay_handler: RelayHandler | None,
    ) -> None:
        self._reactor = reactor
        self._codec = codec
        self._key = key
        self._handler = handler
        self._on_lost = on_lost
        self._relay_handler = relay_handler
        self.accepted = _AcceptedStreams()

    def buildProtocol(self, addr: typing.Any) -> _IncomingStream:
        stream = _IncomingStream(
            self._reactor,
            self._codec,
            self._key,
            self._handler,
            self._on_lost,
            self._relay_handler,
            self.accepted,
        )
        stream.factory = self
        return stream


class PeerStreams:
    """All streams to and from other instances.

    Args:
        reactor: The reactor.
        identity: Authenticates this instance to its peers.
        handler: Called with the sender's name and each message.
        codec: Encodes and decodes the messages.
        on_ready: Called with the address when messages may be sent on the stream to it.
        context: TLS context of both sides, None for plain TCP.
        on_lost: Called with the sender's name when an authenticated stream from it ends.
        relay_handler: Relays the requests of other instances; None to relay none.
    """

    def __init__(
        self,
        reactor: typing.Any,
        identity: Identity,
        handler: Handler,
        codec: framed_protocol.Codec,
        on_ready: Callable[[str], None] = lambda address: None,
        context: typing.Any = None,
        on_lost: Callable[[ids.InstanceId], None] = lambda name: None,
        relay_handler: RelayHandler | None = None,
    ) -> None:
        self._relay_handler = relay_handler
        self._context = context
        self._codec = codec
        self._reactor = reactor
        self._identity = identity
        self._handler = handler
        self._on_ready = on_ready
        self._on_lost = on_lost
        self._connectors: dict[str, _Connector] = {}
        self._port: typing.Any = None
        self._acceptor: _Acceptor | None = None
        self._own_address = ""

    def listen(self, host: str, port: int) -> int:
        """Accept streams from other instances; return the port number."""
        acceptor = self._acceptor = _Acceptor(
            self._reactor,
            self._codec,
            self._identity.key,
            self._handler,
            self._on_lost,
            self._relay_handler,
        )
        self._port = sockets.listen(self._reactor, host, port, acceptor, self._context)
        number = self._port.getHost().port
        self._own_address = f"{host}:{number}"
        return number

    def connect(self, address: str) -> None:
        """Open a stream to an address and keep it open; ignore this instance's own address."""
        if address in self._connectors or address == self._own_address:
            return
        connector = _Connector(
            self._reactor, self._codec, self._identity, address, self._on_ready
        )
        self._connectors[address] = connector
        host, _, port = address.rpartition(":")
        sockets.connect(
            self._reactor, host, int(port), connector, self._context, _SILENCE_TIMEOUT_S
        )

    def send(self, address: str, message: typing.Any) -> bool:
        """Send a message on the stream to an address; return False if it is not ready."""
        connector = self._connectors.get(address)
        if connector is None or connector.stream is None or not connector.stream.ready:
            return False
        connector.stream.send(message)
        return True

    def broadcast(self, message: typing.Any) -> None:
        """Send a message on every ready stream whose other side knows its type."""
        frames: dict[int, bytes] = {}
        for stream in self._ready_streams():
            version = stream.peer_version
            if not self._codec.is_known(message, version):
                continue
            if version not in frames:
                frames[version] = self._codec.encode(message, version)
            stream.transport.write(frames[version])

    @property
    def older_count(self) -> int:
        """Return the number of streams to builds that speak an earlier version."""
        streams = self._ready_streams()
        return sum(stream.peer_version < self._codec.version for stream in streams)

    @property
    def unsent_answers(self) -> int:
        """Return the number of answers to relayed requests that are being sent."""
        return len(self._acceptor.accepted.answering) if self._acceptor is not None else 0

    def _ready_streams(self) -> list[_OutgoingStream]:
        streams = (connector.stream for connector in self._connectors.values())
        return [stream for stream in streams if stream is not None and stream.ready]

    def set_addresses(self, addresses: Collection[str]) -> None:
        """Open the missing streams to these addresses, and close streams to all others."""
        for address in [a for a in self._connectors if a not in addresses]:
            connector = self._connectors.pop(address)
            if connector.stream is not None and connector.stream.ready:
                connector.stream.send(membership_messages.StreamClosing())
            connector.close()
        for address in addresses:
            self.connect(address)

    async def stop(self) -> None:
        """Close all outgoing streams, and stop accepting."""
        for connector in self._connectors.values():
            connector.close()
        if self._port is not None:
            await self._port.stopListening()
