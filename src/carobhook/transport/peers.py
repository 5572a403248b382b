"""Streams between instances: one connection in each direction, msgpack frames."""

import hmac
import secrets
import typing
from collections.abc import Callable, Collection

import attrs
import msgpack
from twisted.internet import protocol
from twisted.python import failure

from carobhook import logs
from carobhook.protocol import framing, membership_messages
from carobhook.state import ids
from carobhook.transport import sockets

_RECONNECT_S = 0.5
_MAX_RECONNECT_S = 2.0
_HELLO_TIMEOUT_S = 2.0
_SILENT_AFTER_S = 2.0
_NONCE_OCTETS = 16
_HELLO_OCTETS = 64 * 1024

Handler = Callable[[ids.InstanceId, typing.Any], None]


class Wire(typing.Protocol):
    """Codec of the messages on a stream."""

    def encode(self, message: typing.Any) -> bytes:
        """Return the frame of a message."""

    def decode(self, frame: object) -> typing.Any:
        """Return the message of an unpacked frame.

        Raises:
            framing.CodecError: The frame is of no known type or its fields are wrong.
        """

    def unpacker(self, limit: int = framing.MAX_FRAME_BYTES) -> msgpack.Unpacker:
        """Return a stream unpacker that holds at most so many octets."""


def hello_proof(
    key: bytes, nonce: bytes, name: ids.InstanceId, incarnation: ids.Incarnation
) -> bytes:
    """Return the proof that a hello's sender knows the shared key."""
    text = b"\0".join([nonce, name.encode(), incarnation.encode()])
    return hmac.digest(key, text, "sha256")


@attrs.frozen
class Identity:
    """What this instance shows to its peers."""

    name: ids.InstanceId
    incarnation: ids.Incarnation
    key: bytes = attrs.field(repr=False)


class _Framed(protocol.Protocol):
    """A connection that carries msgpack frames; garbage closes it."""

    def __init__(self, reactor: typing.Any, wire: Wire) -> None:
        self._reactor = reactor
        self._wire = wire
        self._unpacker = wire.unpacker()

    def send(self, message: typing.Any) -> None:
        """Write one message."""
        self.transport.write(self._wire.encode(message))

    def dataReceived(self, data: bytes) -> None:
        try:
            self._feed(data)
        except Exception as problem:
            logs.warning("peer-stream-invalid", peer=self.transport.getPeer(), error=problem)
            self.transport.abortConnection()

    def _feed(self, data: bytes) -> None:
        self._unpacker.feed(data)
        while True:
            try:
                frame = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            self.received(self._wire.decode(frame))

    def received(self, message: typing.Any) -> None:
        """Handle one message."""
        raise NotImplementedError


class _Incoming(_Framed):
    """Accepting side: challenges the sender, then takes in its messages."""

    def __init__(
        self,
        reactor: typing.Any,
        wire: Wire,
        key: bytes,
        handler: Handler,
        on_lost: Callable[[ids.InstanceId], None],
    ) -> None:
        super().__init__(reactor, wire)
        self._key = key
        self._handler = handler
        self._on_lost = on_lost
        self._nonce = secrets.token_bytes(_NONCE_OCTETS)
        self._sender: ids.InstanceId | None = None
        # A stranger must not make this instance hold more than a hello.
        self._unpacker = self._wire.unpacker(_HELLO_OCTETS)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.send(membership_messages.Challenge(self._nonce))
        self._timer = self._reactor.callLater(_HELLO_TIMEOUT_S, self._silent)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        if self._timer.active():
            self._timer.cancel()
        if self._sender is not None:
            self._on_lost(self._sender)

    def received(self, message: typing.Any) -> None:
        self._timer.reset(_SILENT_AFTER_S)
        if self._sender is None:
            self._sender = self._check(message)
            # The connector waits for no answer to its hello: keep what came behind it.
            behind = self._unpacker.read_bytes(_HELLO_OCTETS)
            self._unpacker = self._wire.unpacker()
            self._unpacker.feed(behind)
            return
        if isinstance(message, membership_messages.Heartbeat):
            self.send(membership_messages.HeartbeatAck())
        self._handler(self._sender, message)

    def _check(self, message: typing.Any) -> ids.InstanceId:
        if not isinstance(message, membership_messages.Hello):
            raise framing.CodecError(f"first message must be Hello, got {message!r:.80}")
        proof = hello_proof(self._key, self._nonce, message.name, message.incarnation)
        if not hmac.compare_digest(proof, message.proof):
            raise framing.CodecError(f"proof of {message.name!r} does not match the shared key")
        return message.name

    def _silent(self) -> None:
        logs.warning("peer-stream-silent", peer=self.transport.getPeer(), sender=self._sender)
        self.transport.abortConnection()


class _Outgoing(_Framed):
    """Connecting side: proves itself, then carries this instance's messages."""

    def __init__(self, reactor: typing.Any, wire: Wire, identity: Identity) -> None:
        super().__init__(reactor, wire)
        self._identity = identity
        self.ready = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._timer = self._reactor.callLater(_SILENT_AFTER_S, self._silent)

    def close(self) -> None:
        """Close the connection after all that waits was written."""
        self.transport.loseConnection()

    def received(self, message: typing.Any) -> None:
        self._timer.reset(_SILENT_AFTER_S)
        if isinstance(message, membership_messages.Challenge) and not self.ready:
            me = self._identity
            proof = hello_proof(me.key, message.nonce, me.name, me.incarnation)
            self.send(membership_messages.Hello(me.name, me.incarnation, proof))
            self.ready = True
            self.factory.on_ready(self.factory.address)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        self.ready = False
        if self._timer.active():
            self._timer.cancel()

    def _silent(self) -> None:
        logs.warning("peer-stream-silent", peer=self.factory.address)
        self.transport.abortConnection()


class _Connector(protocol.ReconnectingClientFactory):
    """Keeps one outgoing stream to an address open."""

    noisy = False

    def __init__(
        self,
        reactor: typing.Any,
        wire: Wire,
        identity: Identity,
        address: str,
        on_ready: Callable[[str], None],
    ) -> None:
        self.clock = reactor
        self._wire = wire
        self.initialDelay = self.delay = _RECONNECT_S
        self.maxDelay = _MAX_RECONNECT_S
        self._identity = identity
        self.address = address
        self.on_ready = on_ready
        self.stream: _Outgoing | None = None

    def buildProtocol(self, addr: typing.Any) -> _Outgoing:
        self.resetDelay()
        self.stream = _Outgoing(self.clock, self._wire, self._identity)
        self.stream.factory = self
        return self.stream


class _Acceptor(protocol.Factory):
    noisy = False

    def __init__(
        self,
        reactor: typing.Any,
        wire: Wire,
        key: bytes,
        handler: Handler,
        on_lost: Callable[[ids.InstanceId], None],
    ) -> None:
        self._reactor = reactor
        self._wire = wire
        self._key = key
        self._handler = handler
        self._on_lost = on_lost

    def buildProtocol(self, addr: typing.Any) -> _Incoming:
        stream = _Incoming(self._reactor, self._wire, self._key, self._handler, self._on_lost)
        stream.factory = self
        return stream


class PeerHub:
    """Owns all streams to and from other instances.

    Args:
        reactor: The reactor.
        identity: What this instance shows to its peers.
        handler: Called with the sender's name and each message.
        wire: Codec of the messages.
        on_ready: Called with the address when a stream to it is ready.
        on_lost: Called with the sender's name when its stream ended.
        context: TLS context of both ends; plain TCP without.
    """

    def __init__(
        self,
        reactor: typing.Any,
        identity: Identity,
        handler: Handler,
        wire: Wire,
        on_ready: Callable[[str], None] = lambda address: None,
        context: typing.Any = None,
        on_lost: Callable[[ids.InstanceId], None] = lambda name: None,
    ) -> None:
        self._context = context
        self._wire = wire
        self._reactor = reactor
        self._identity = identity
        self._handler = handler
        self._on_ready = on_ready
        self._on_lost = on_lost
        self._connectors: dict[str, _Connector] = {}
        self._port: typing.Any = None
        self._own_address = ""

    def listen(self, host: str, port: int) -> int:
        """Accept streams; return the port number."""
        acceptor = _Acceptor(
            self._reactor, self._wire, self._identity.key, self._handler, self._on_lost
        )
        self._port = sockets.listen(self._reactor, host, port, acceptor, self._context)
        number = self._port.getHost().port
        self._own_address = f"{host}:{number}"
        return number

    def connect(self, address: str) -> None:
        """Keep a stream to an address, unless there is one or it is this instance's own."""
        if address in self._connectors or address == self._own_address:
            return
        connector = _Connector(
            self._reactor, self._wire, self._identity, address, self._on_ready
        )
        self._connectors[address] = connector
        host, _, port = address.rpartition(":")
        sockets.connect(
            self._reactor, host, int(port), connector, self._context, _SILENT_AFTER_S
        )

    def send(self, address: str, message: typing.Any) -> bool:
        """Send a message on the stream to an address; return False if it is not ready."""
        connector = self._connectors.get(address)
        if connector is None or connector.stream is None or not connector.stream.ready:
            return False
        connector.stream.send(message)
        return True

    def broadcast(self, message: typing.Any) -> None:
        """Send a message on every ready stream."""
        frame = self._wire.encode(message)
        for connector in self._connectors.values():
            if connector.stream is not None and connector.stream.ready:
                connector.stream.transport.write(frame)

    def keep(self, addresses: Collection[str]) -> None:
        """Keep streams to some addresses, and close those to all others."""
        for address in [held for held in self._connectors if held not in addresses]:
            connector = self._connectors.pop(address)
            connector.stopTrying()
            if connector.stream is not None and connector.stream.transport is not None:
                if connector.stream.ready:
                    connector.stream.send(membership_messages.StreamClosing())
                connector.stream.close()
        for address in addresses:
            self.connect(address)

    async def stop(self) -> None:
        """Close every stream and stop accepting."""
        for connector in self._connectors.values():
            connector.stopTrying()
            if connector.stream is not None and connector.stream.transport is not None:
                connector.stream.close()
        if self._port is not None:
            await self._port.stopListening()
