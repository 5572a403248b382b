"""Finds ports for processes that are started later."""

import collections
import random
import socket

# The kernel takes the ports of outgoing connections from above this range, so no connection can
# take one of these before the process listens on it.
_PORTS = range(20_000, 32_000)
# A port is reserved by a socket with the same number at this address, on which nothing listens,
# so that no other process finds it before it is used.
_RESERVATION_HOST = "127.255.255.254"
# Ports found longest ago are released first; beyond this number, they are in use or not needed.
_MAX_RESERVED = 256

_reserved: collections.deque[socket.socket] = collections.deque()


def find(host: str, count: int) -> list[int]:
    """Return different ports on which nothing listens now, and reserve them for this process.

    Args:
        host: Address on which the ports are to be used.
        count: Number of ports.
    """
    rng = random.SystemRandom()
    found: set[int] = set()
    while len(found) < count:
        port = rng.choice(_PORTS)
        if port not in found and _reserve(port) and _is_unused(host, port):
            found.add(port)
    return sorted(found)


def _reserve(port: int) -> bool:
    """Reserve a port; return False if a process has reserved it already."""
    reservation = socket.socket()
    try:
        reservation.bind((_RESERVATION_HOST, port))
    except OSError:
        reservation.close()
        return False
    _reserved.append(reservation)
    if len(_reserved) > _MAX_RESERVED:
        _reserved.popleft().close()
    return True


def _is_unused(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
