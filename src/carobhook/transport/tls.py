"""TLS contexts of an instance's ports, loaded from the files that the settings name."""

import pathlib
import typing

import attrs
from OpenSSL import crypto
from twisted.internet import ssl

from carobhook import settings


@attrs.frozen
class Contexts:
    """TLS contexts by kind of connection, as `twisted.internet.ssl.CertificateOptions`.

    Attributes:
        server: Context of the operators' port. Clients verify the certificate of the instance,
            which needs none from them.
        peers: Context of streams between instances. Both ends need a certificate issued by the
            deployment's authority. The name in the certificate is not checked, because
            instances connect by IP address and also authenticate each other by the shared key.
    """

    server: typing.Any
    peers: typing.Any


def load(tls: settings.TlsSettings) -> Contexts | None:
    """Return the contexts for the settings, or None if they name no certificate.

    Raises:
        settings.TlsFilesError: A file cannot be read, is not in PEM, or the key does not
            belong to the certificate.
    """
    if not tls.cert:
        return None
    chain = _load_file("cert", tls.cert, _parse_certificates)
    private_key = _load_file("key", tls.key, _parse_private_key)
    authorities = _load_file("ca", tls.ca, _parse_certificates)
    credentials = {
        "privateKey": private_key.original,
        "certificate": chain[0].original,
        "extraCertChain": [certificate.original for certificate in chain[1:]],
    }
    try:
        server = ssl.CertificateOptions(**credentials)
        peers = ssl.CertificateOptions(
            **credentials, trustRoot=ssl.trustRootFromCertificates(authorities)
        )
        for context in (server, peers):
            context.getContext().check_privatekey()
    except Exception as error:
        raise settings.TlsFilesError(f"tls.cert and tls.key: {_error_text(error)}") from error
    return Contexts(server, peers)


def _load_file(
    setting: str, path: str, parse: typing.Callable[[bytes], typing.Any]
) -> typing.Any:
    try:
        return parse(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise settings.TlsFilesError(f"tls.{setting}: {path}: {error.strerror}") from error
    except Exception as error:
        raise settings.TlsFilesError(
            f"tls.{setting}: {path}: not in PEM: {_error_text(error)}"
        ) from error


def _parse_certificates(data: bytes) -> list[typing.Any]:
    """Return the certificates of a PEM text.

    Raises:
        ValueError: The text has no certificate.
    """
    end = b"-----END CERTIFICATE-----"
    blocks = [
        block + end for block in data.split(end) if b"-----BEGIN CERTIFICATE-----" in block
    ]
    if not blocks:
        raise ValueError("no certificate")
    return [ssl.Certificate.loadPEM(block) for block in blocks]


def _parse_private_key(data: bytes) -> typing.Any:
    return ssl.KeyPair.load(data, crypto.FILETYPE_PEM)


def _error_text(error: Exception) -> str:
    return str(error) or type(error).__name__
