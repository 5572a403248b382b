"""Results of exchanges with servers: a complete response, or the way in which there is none."""

import enum

import attrs

from carobhook.protocol import http1


class Fault(enum.Enum):
    """How an exchange with a server failed.

    CONNECT: No connection could be opened, so the request was not sent.
    NO_PATH: The same, at an instance that seems to be cut from all servers, so that it says
        nothing about this server.
    NO_RELAY: The same, where other instances could not tell whether they reach the server, so
        that it says nothing about this server either.
    WITHDRAWN: When the connection was open, the request might not be sent to this server any
        more, so it was not. After any other fault, the request may have run.
    SILENT: The request was sent, and then the path to the server broke.
    RESET: The connection was closed before the head of a response arrived.
    GARBLED: The response is invalid or too large, or belongs to another request.
    CUT_SHORT: The connection was closed before the response was complete.
    """

    CONNECT = "connect"
    NO_PATH = "no-path"
    NO_RELAY = "no-relay"
    WITHDRAWN = "withdrawn"
    SILENT = "silent"
    RESET = "reset"
    GARBLED = "garbled"
    CUT_SHORT = "cut-short"


class Listener(enum.Enum):
    """What a connection to the address of a server found there.

    PRESENT: The server accepted it, or another run of it.
    OTHER: Another server accepted it.
    SILENT: It was accepted, and whoever did so was not asked, or did not say who it is.
    REFUSED: It was refused actively, as by a machine on which nobody listens at the address.
    UNREACHED: It could not be opened otherwise, as where the path is broken.
    """

    PRESENT = "present"
    OTHER = "other"
    SILENT = "silent"
    REFUSED = "refused"
    UNREACHED = "unreached"


class ExchangeError(Exception):
    """An exchange with a server failed without a complete response.

    Attributes:
        fault: Kind of the failure.
        reused: Whether the connection had carried an exchange before.
        response_started: Whether the head of a response had arrived.
        is_relayed: Whether the request went through another instance, whose path to the server
            may be at fault.
        is_refused: Whether the connection was refused actively.
    """

    def __init__(
        self,
        fault: Fault,
        text: str,
        reused: bool,
        response_started: bool,
        is_relayed: bool = False,
        is_refused: bool = False,
    ) -> None:
        super().__init__(f"{fault.value}: {text}")
        self.fault = fault
        self.reused = reused
        self.response_started = response_started
        self.is_relayed = is_relayed
        self.is_refused = is_refused


@attrs.frozen
class ConnectionUse:
    """How a connection had been used when a response came on it.

    All is None if the connection is another instance's, or there is no response.

    Attributes:
        connection: Number of the connection, counted from the start of the process.
        exchange_count: Number of exchanges that it had carried, with that of the response.
        wait_ms: Milliseconds from the request to the response.
        opened_at: Monotonic time in seconds by which it was open.
    """

    connection: int | None = None
    exchange_count: int | None = None
    wait_ms: float | None = None
    opened_at: float | None = None


@attrs.frozen
class ReceivedResponse:
    """A complete response.

    Attributes:
        response: Response with its end-to-end headers.
        raw_headers: All headers, including hop-by-hop ones.
        closing: Whether the connection is closed after this response.
        reused: Whether the connection had carried an exchange before.
        is_relayed: Whether it came through another instance.
        use: The use of its connection.
    """

    response: http1.Response
    raw_headers: http1.Headers
    closing: bool
    reused: bool = False
    is_relayed: bool = False
    use: ConnectionUse = ConnectionUse()
