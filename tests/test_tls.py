"""Tests of carobhook.transport.tls, with certificates that the tests issue."""

import datetime
import ipaddress
import pathlib

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
from twisted.internet import defer, endpoints, protocol, reactor, ssl, task, tcp
from twisted.trial import unittest

import test_entry
from carobhook import settings
from carobhook.cli import operator
from carobhook.protocol import http1, peer_codec, slot_messages
from carobhook.state import ids, routing
from carobhook.transport import client_connections, peers, sockets, tls

_DAY = datetime.timedelta(days=1)
_WAIT_S = 10


def issue(name, issuer=None):
    """Return a new private key and its certificate for 127.0.0.1.

    Args:
        name: Common name of the certificate.
        issuer: Key and certificate of the authority that signs it. Without an issuer, the
            certificate is self-signed and belongs to an authority itself.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    issuer_key, issuer_name = (issuer[0], issuer[1].subject) if issuer else (key, subject)
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    builder = x509.CertificateBuilder(
        issuer_name,
        subject,
        key.public_key(),
        x509.random_serial_number(),
        now - _DAY,
        now + _DAY,
    )
    builder = builder.add_extension(x509.BasicConstraints(issuer is None, None), critical=True)
    builder = builder.add_extension(x509.SubjectAlternativeName([address]), critical=False)
    return key, builder.sign(issuer_key, hashes.SHA256())


def write_files(directory, authority, certificate):
    """Write a certificate, its key and its authority as PEM files; return their settings."""
    directory = pathlib.Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    pem = serialization.Encoding.PEM
    (directory / "ca").write_bytes(authority[1].public_bytes(pem))
    (directory / "cert").write_bytes(certificate[1].public_bytes(pem))
    plain = serialization.NoEncryption()
    form = serialization.PrivateFormat.PKCS8
    (directory / "key").write_bytes(certificate[0].private_bytes(pem, form, plain))
    return settings.TlsSettings(*(str(directory / part) for part in ("cert", "key", "ca")))


class TestLoad:
    """Loading the files that the settings name."""

    def test_no_certificate_means_plain_tcp(self):
        """Without files there are no contexts, so that ports use plain TCP."""
        assert tls.load(settings.TlsSettings()) is None

    @pytest.mark.parametrize("part", ["cert", "key", "ca"])
    @pytest.mark.parametrize("content", [None, b"no PEM"])
    def test_unusable_file_is_named(self, tmp_path, part, content):
        """A missing or malformed file is reported with its key and name."""
        authority = issue("authority")
        files = write_files(tmp_path, authority, issue("one", authority))
        (tmp_path / part).unlink()
        if content:
            (tmp_path / part).write_bytes(content)

        with pytest.raises(settings.TlsFilesError, match=f"^tls.{part}: {tmp_path / part}: "):
            tls.load(files)

    def test_key_of_other_certificate_is_rejected(self, tmp_path):
        """A private key that does not belong to the certificate is reported."""
        authority = issue("authority")
        files = write_files(tmp_path, authority, (issue("x")[0], issue("one", authority)[1]))

        with pytest.raises(settings.TlsFilesError, match=r"tls\.cert and tls\.key"):
            tls.load(files)


async def wait_until_disconnected():
    """Wait until every connection of the reactor has closed."""
    while any(isinstance(reader, tcp.Connection) for reader in reactor.getReaders()):
        await task.deferLater(reactor, 0.01)


class TestPeers(unittest.TestCase):
    """Streams between instances."""

    def setUp(self):
        """Register the cleanup that waits until all connections have closed.

        Cleanups run in reverse order, so it runs after those that stop the streams.
        """
        self.addCleanup(lambda: defer.ensureDeferred(wait_until_disconnected()))

    def listen(self, name, context, on_message=lambda sender, message: None):
        """Return the streams of a new instance that listens on a free port."""
        identity = peers.Identity(ids.InstanceId(name), ids.Incarnation("0" * 16), b"k" * 16)
        streams = peers.PeerStreams(
            reactor, identity, on_message, peer_codec.CODEC, context=context
        )
        self.addCleanup(lambda: defer.ensureDeferred(streams.stop()))
        streams.listen("127.0.0.1", 0)
        return streams

    async def exchange(self, sender_context, receiver_context, wait_s=_WAIT_S):
        """Return the sender and the message that a new instance gets from another one.

        Returns None if the message cannot be sent in time.
        """
        arrived = defer.Deferred()

        def on_message(sender, message):
            if not arrived.called:
                arrived.callback((sender, message))

        receiver = self.listen("receiver", receiver_context, on_message)
        sender = self.listen("sender", sender_context)
        address = receiver._own_address
        sender.connect(address)
        message = slot_messages.NotDispatcher(ids.RequestId("3"))
        for _ in range(int(wait_s / 0.05)):
            if sender.send(address, message) or arrived.called:
                break
            await task.deferLater(reactor, 0.05)
        else:
            return None
        return await arrived

    def peer_context(self, authority):
        """Return the peer context of a new certificate that an authority issues."""
        return tls.load(write_files(self.mktemp(), authority, issue("one", authority))).peers

    async def test_instances_of_one_authority_exchange_messages(self):
        """Two instances with certificates of the deployment's authority exchange messages."""
        authority = issue("authority")

        arrived = await self.exchange(
            self.peer_context(authority), self.peer_context(authority)
        )

        assert arrived == ("sender", slot_messages.NotDispatcher(ids.RequestId("3")))

    async def test_peer_without_certificate_of_authority_is_rejected(self):
        """No stream opens with a certificate of another authority or with plain TCP."""
        own = self.peer_context(issue("authority"))

        assert await self.exchange(self.peer_context(issue("other")), own, wait_s=1) is None
        assert await self.exchange(None, own, wait_s=1) is None
        self.flushLoggedErrors()


class TestOperators(unittest.TestCase):
    """The operator port."""

    async def test_client_verifies_certificate_of_instance(self):
        """Only a client that trusts the authority of the instance gets a response."""
        authority = issue("authority")
        files = write_files(self.mktemp(), authority, issue("one", authority))
        other = write_files(self.mktemp(), issue("other"), issue("x"))
        context = tls.load(files).server
        response = http1.Response(200, b"OK", (), b'{"code": 2002, "text": "fine"}')
        listener = client_connections.ClientListener(
            reactor, lambda request, respond: respond(response), routing.ClientLimits, 8, 1024
        )
        port = sockets.listen(reactor, "127.0.0.1", 0, listener, context)
        self.addCleanup(port.stopListening)
        address = f"127.0.0.1:{port.getHost().port}"
        trusting = operator.HttpOperatorClient(reactor, address, "t", pathlib.Path(files.ca))
        distrusting = operator.HttpOperatorClient(reactor, address, "t", pathlib.Path(other.ca))

        answer = await trusting.send(operator.Order("show regions"))
        with self.assertRaises(operator.UnreachableError):
            await distrusting.send(operator.Order("show regions"))

        assert answer.text == "fine"

    async def test_large_response_is_complete(self):
        """The transport asks for its pieces in another way than that of plain TCP."""
        authority = issue("authority")
        files = write_files(self.mktemp(), authority, issue("one", authority))
        text = "x" * 300_000
        response = http1.Response(
            200, b"OK", (), b'{"code": 2002, "text": "%s"}' % text.encode()
        )
        listener = client_connections.ClientListener(
            reactor,
            lambda request, respond: respond(response),
            routing.ClientLimits,
            8,
            1024 * 1024,
        )
        port = sockets.listen(reactor, "127.0.0.1", 0, listener, tls.load(files).server)
        self.addCleanup(port.stopListening)
        address = f"127.0.0.1:{port.getHost().port}"
        client = operator.HttpOperatorClient(reactor, address, "t", pathlib.Path(files.ca))

        for _ in range(2):
            assert (await client.send(operator.Order("show regions"))).text == text
        assert listener.memory.held_bytes == 0

    async def test_client_is_told_of_the_end_at_once(self):
        """It was told a second after the refusal of a request that was not read whole."""
        authority = issue("authority")
        files = write_files(self.mktemp(), authority, issue("one", authority))
        listener = client_connections.ClientListener(
            reactor, lambda request, respond: None, routing.ClientLimits, 8, 1024
        )
        port = sockets.listen(reactor, "127.0.0.1", 0, listener, tls.load(files).server)
        self.addCleanup(port.stopListening)
        client = test_entry.RawClient()
        factory = protocol.Factory.forProtocol(lambda: client)
        factory.noisy = False
        options = ssl.optionsForClientTLS(
            "127.0.0.1", ssl.Certificate.loadPEM(pathlib.Path(files.ca).read_bytes())
        )
        endpoint = endpoints.SSL4ClientEndpoint(
            reactor, "127.0.0.1", port.getHost().port, options
        )
        await endpoint.connect(factory)
        client.transport.write(b"BAD\r\n\r\n" + b"x" * 1000)
        began_at = reactor.seconds()
        await client.closed

        assert client.data.startswith(b"HTTP/1.1 400 ")
        assert reactor.seconds() - began_at < 0.5
