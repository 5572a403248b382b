"""Listens and connects over TCP, with TLS if a context is given."""

import typing

_BACKLOG = 512


def listen(
    reactor: typing.Any, host: str, port: int, factory: typing.Any, context: typing.Any
) -> typing.Any:
    """Listen on an address, with TLS if a context is given; return the listening port.

    Raises:
        twisted.internet.error.CannotListenError: The address is in use.
    """
    if context is None:
        return reactor.listenTCP(port, factory, backlog=_BACKLOG, interface=host)
    return reactor.listenSSL(port, factory, context, backlog=_BACKLOG, interface=host)


def connect(
    reactor: typing.Any,
    host: str,
    port: int,
    factory: typing.Any,
    context: typing.Any,
    timeout_s: float,
) -> None:
    """Connect a client factory to an address, with TLS if a context is given."""
    if context is None:
        reactor.connectTCP(host, port, factory, timeout=timeout_s)
    else:
        reactor.connectSSL(host, port, factory, context, timeout=timeout_s)
