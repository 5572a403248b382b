"""Finds ports for processes that are started later."""

import random
import socket

# The kernel takes the ports of outgoing connections from above this range, so no connection can
# take one of these before the process listens on it.
_PORTS = range(20_000, 32_000)


def find(host: str, count: int) -> list[int]:
    """Return different ports on which nothing listens now.

    Args:
        host: Address on which the ports are to be used.
        count: Number of ports.
    """
    rng = random.SystemRandom()
    found: set[int] = set()
    while len(found) < count:
        port = rng.choice(_PORTS)
        if port not in found and _is_unused(host, port):
            found.add(port)
    return sorted(found)


def _is_unused(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
