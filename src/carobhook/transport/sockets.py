"""Listens and connects over TCP, with TLS if a context is given, and ends connections."""

import typing

from twisted.internet import interfaces

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


def announce_end(transport: typing.Any) -> None:
    """Tell the other end that nothing follows what was written, and go on reading from it.

    A TCP connection is closed for writing. A TLS connection cannot be closed for writing alone:
    its closing alert is sent, and what arrives until the other end answers it is still read.
    """
    if interfaces.INegotiated.providedBy(transport):
        transport.loseConnection()
    else:
        transport.loseWriteConnection()
