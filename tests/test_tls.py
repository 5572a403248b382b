"""Tests of carobhook.transport.tls, with certificates made here."""

import datetime
import ipaddress
import pathlib

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
from twisted.internet import defer, reactor, task, tcp
from twisted.trial import unittest

from carobhook import settings
from carobhook.cli import operator
from carobhook.protocol import http1, peer_codec, slot_messages
from carobhook.state import ids, routing
from carobhook.transport import client_connections, peers, sockets, tls

_DAY = datetime.timedelta(days=1)
_WAIT_S = 10


def issue(name, issuer=None):
    """Return a new key and a certificate for 127.0.0.1; an authority without an issuer."""
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


def write(directory, authority, own):
    """Write the PEM files of a certificate and return the settings that name them."""
    directory = pathlib.Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    pem = serialization.Encoding.PEM
    (directory / "ca").write_bytes(authority[1].public_bytes(pem))
    (directory / "cert").write_bytes(own[1].public_bytes(pem))
    plain = serialization.NoEncryption()
    form = serialization.PrivateFormat.PKCS8
    (directory / "key").write_bytes(own[0].private_bytes(pem, form, plain))
    return settings.TlsSettings(*(str(directory / part) for part in ("cert", "key", "ca")))


class TestLoad:
    """Files of the settings."""

    def test_no_certificate_is_no_tls(self):
        """Without files, ports speak plain TCP."""
        assert tls.load(settings.TlsSettings()) is None

    @pytest.mark.parametrize("part", ["cert", "key", "ca"])
    @pytest.mark.parametrize("content", [None, b"no PEM"])
    def test_unusable_file_is_named(self, tmp_path, part, content):
        """A missing or malformed file is reported with its key and name."""
        authority = issue("authority")
        files = write(tmp_path, authority, issue("one", authority))
        (tmp_path / part).unlink()
        if content:
            (tmp_path / part).write_bytes(content)

        with pytest.raises(settings.TlsFilesError, match=f"^tls.{part}: {tmp_path / part}: "):
            tls.load(files)

    def test_key_of_another_certificate_is_refused(self, tmp_path):
        """A private key that does not fit the certificate is reported."""
        authority = issue("authority")
        files = write(tmp_path, authority, (issue("x")[0], issue("one", authority)[1]))

        with pytest.raises(settings.TlsFilesError, match=r"tls\.cert and tls\.key"):
            tls.load(files)


async def no_connection_left():
    """Wait until every connection of the reactor has closed."""
    while any(isinstance(reader, tcp.Connection) for reader in reactor.getReaders()):
        await task.deferLater(reactor, 0.01)


class TestPeers(unittest.TestCase):
    """Streams between instances."""

    def setUp(self):
        """Wait for closed streams after the hubs are stopped."""
        self.addCleanup(lambda: defer.ensureDeferred(no_connection_left()))

    def hub(self, name, context, received=lambda sender, message: None):
        """Return a hub that listens."""
        identity = peers.Identity(ids.InstanceId(name), ids.Incarnation("0" * 16), b"k" * 16)
        hub = peers.PeerHub(reactor, identity, received, peer_codec.CODEC, context=context)
        self.addCleanup(lambda: defer.ensureDeferred(hub.stop()))
        hub.listen("127.0.0.1", 0)
        return hub

    async def exchange(self, sending, receiving, wait_s=_WAIT_S):
        """Return what arrives of a message within the wait, or None."""
        arrived = defer.Deferred()

        def received(sender, message):
            if not arrived.called:
                arrived.callback((sender, message))

        receiver = self.hub("receiver", receiving, received)
        sender = self.hub("sender", sending)
        address = receiver._own_address
        sender.connect(address)
        wanted = slot_messages.NotDispatcher(ids.RequestId("3"))
        for _ in range(int(wait_s / 0.05)):
            if sender.send(address, wanted) or arrived.called:
                break
            await task.deferLater(reactor, 0.05)
        else:
            return None
        return await arrived

    def contexts(self, authority):
        """Return the peers' context of a new certificate."""
        return tls.load(write(self.mktemp(), authority, issue("one", authority))).peers

    async def test_instances_of_one_authority_talk(self):
        """Two instances with certificates of the deployment's authority exchange messages."""
        authority = issue("authority")

        arrived = await self.exchange(self.contexts(authority), self.contexts(authority))

        assert arrived == ("sender", slot_messages.NotDispatcher(ids.RequestId("3")))

    async def test_strangers_are_refused(self):
        """Neither another authority's certificate nor plain TCP gets a stream."""
        own = self.contexts(issue("authority"))

        assert await self.exchange(self.contexts(issue("other")), own, wait_s=1) is None
        assert await self.exchange(None, own, wait_s=1) is None
        self.flushLoggedErrors()


class TestOperators(unittest.TestCase):
    """The operator port."""

    async def test_client_checks_the_instance(self):
        """A client that trusts the authority gets its answer; one of another does not."""
        authority = issue("authority")
        files = write(self.mktemp(), authority, issue("one", authority))
        other = write(self.mktemp(), issue("other"), issue("x"))
        context = tls.load(files).server
        table = http1.Response(200, b"OK", (), b'{"code": 2002, "text": "fine"}')
        listener = client_connections.ClientListener(
            reactor, lambda request, answer: answer(table), routing.ClientLimits, 8, 1024
        )
        port = sockets.listen(reactor, "127.0.0.1", 0, listener, context)
        self.addCleanup(port.stopListening)
        address = f"127.0.0.1:{port.getHost().port}"
        trusting = operator.HttpOperatorClient(reactor, address, "t", pathlib.Path(files.ca))
        doubting = operator.HttpOperatorClient(reactor, address, "t", pathlib.Path(other.ca))

        answer = await trusting.send(operator.Order("show regions"))
        with self.assertRaises(operator.UnreachableError):
            await doubting.send(operator.Order("show regions"))

        assert answer.text == "fine"
