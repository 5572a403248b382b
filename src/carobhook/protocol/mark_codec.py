"""Converts marks of requests to and from the JSON values that the store holds."""

import typing

import attrs

# Kind of the store's objects that hold a mark each.
STORE_KIND = "quarantine"


class MalformedMarkError(ValueError):
    """A stored value does not encode a mark."""


@attrs.frozen
class StoredMark:
    """Mark of a request as the store holds it.

    Attributes:
        fingerprint: Fingerprint of the request.
        name: Name of the run of the server that ended.
        source: Instance that learned of the end.
        expires_at: Unix time in seconds.
    """

    fingerprint: bytes
    name: str
    source: str
    expires_at: float


def encode(mark: StoredMark) -> typing.Any:
    """Return the JSON value of a mark."""
    return {
        "fingerprint": mark.fingerprint.hex(),
        "run": mark.name,
        "source": mark.source,
        "expires_at": mark.expires_at,
    }


def decode(value: typing.Any) -> StoredMark:
    """Return the mark that a stored JSON value encodes.

    Args:
        value: Value that `encode` returned.

    Raises:
        MalformedMarkError: The value does not encode a mark.
    """
    try:
        return StoredMark(
            bytes.fromhex(value["fingerprint"]),
            str(value["run"]),
            str(value["source"]),
            float(value["expires_at"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMarkError(f"mark cannot be read: {error!r}") from error
