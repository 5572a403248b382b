"""TLS of the daemon's ports, by settings; plain TCP without."""

import pathlib
import typing

import attrs
from OpenSSL import crypto
from twisted.internet import ssl

from carobhook import settings


@attrs.frozen
class Contexts:
    """How connections are secured.

    Attributes:
        server: For callers and operators, who check the certificate of the instance.
        peers: For instances, both of which need a certificate of the deployment's
            authority. The name in it is not compared, as instances are known by IP address
            and prove themselves by the shared key besides.
    """

    server: typing.Any
    peers: typing.Any


def load(tls: settings.TlsSettings) -> Contexts | None:
    """Return the contexts of the settings, None when they set no certificate.

    Raises:
        settings.TlsFilesError: A file cannot be read or does not hold what it should.
    """
    if not tls.cert:
        return None
    chain = _read("cert", tls.cert, _certificates)
    key = _read("key", tls.key, _private_key)
    authorities = _read("ca", tls.ca, _certificates)
    own = {
        "privateKey": key.original,
        "certificate": chain[0].original,
        "extraCertChain": [link.original for link in chain[1:]],
    }
    try:
        server = ssl.CertificateOptions(**own)
        peers = ssl.CertificateOptions(
            **own, trustRoot=ssl.trustRootFromCertificates(authorities)
        )
        for context in (server, peers):
            context.getContext().check_privatekey()
    except Exception as problem:
        raise settings.TlsFilesError(f"tls.cert and tls.key: {_cause(problem)}") from problem
    return Contexts(server, peers)


def _read(key: str, name: str, parse: typing.Callable[[bytes], typing.Any]) -> typing.Any:
    try:
        return parse(pathlib.Path(name).read_bytes())
    except OSError as problem:
        raise settings.TlsFilesError(f"tls.{key}: {name}: {problem.strerror}") from problem
    except Exception as problem:
        raise settings.TlsFilesError(
            f"tls.{key}: {name}: not in PEM: {_cause(problem)}"
        ) from problem


def _certificates(data: bytes) -> list[typing.Any]:
    """Return the certificates of a PEM text, at least one."""
    end = b"-----END CERTIFICATE-----"
    blocks = [
        block + end for block in data.split(end) if b"-----BEGIN CERTIFICATE-----" in block
    ]
    if not blocks:
        raise ValueError("no certificate")
    return [ssl.Certificate.loadPEM(block) for block in blocks]


def _private_key(data: bytes) -> typing.Any:
    return ssl.KeyPair.load(data, crypto.FILETYPE_PEM)


def _cause(problem: Exception) -> str:
    return str(problem) or type(problem).__name__
