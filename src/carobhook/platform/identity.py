"""Asks a backend server whether it is the one that an instance takes it for."""

from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.state import ids

_OTHER_SERVER_STATUS = 421


def server_of(response: http1.Response) -> ids.Server | None:
    """Return the server that a response names as its sender, or None if it names none."""
    name = response.get(names.SERVER_ID)
    return ids.Server(name) if name is not None else None


def build_head(server: ids.Server, address: str, health_path: str) -> http1.RequestHead:
    """Return the head of a health check that only one server answers.

    Args:
        server: Id of the server.
        address: Address to which the check is sent, ``host:port``.
        health_path: Path of the health check on the server.
    """
    headers = (
        (b"Host", address.encode()),
        (names.EXPECTED_SERVER.encode(), server.encode()),
    )
    return http1.RequestHead(b"GET", health_path.encode(), headers)


def is_other_server(response: http1.Response) -> bool:
    """Return whether a response says that another server is at the address."""
    return response.status == _OTHER_SERVER_STATUS
