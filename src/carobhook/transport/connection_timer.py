"""Timer of a client's connection, for what the client must do next."""

import enum
import typing
from collections.abc import Callable


class Awaited(enum.Enum):
    """What a connection waits for."""

    NOTHING = "nothing"
    REQUEST = "request"
    HEAD = "head"
    BODY = "body"


class ConnectionTimer:
    """Calls a function if what a connection waits for does not come in time.

    Args:
        reactor: Source of timers.
        on_timeout: Called once the time is over.
    """

    def __init__(self, reactor: typing.Any, on_timeout: Callable[[], object]) -> None:
        self._reactor = reactor
        self._on_timeout = on_timeout
        self._awaited = Awaited.NOTHING
        self._call: typing.Any = None

    def wait_for(self, awaited: Awaited, timeout_s: float) -> None:
        """Start the timer, unless it runs for the same already.

        Args:
            awaited: What the connection waits for.
            timeout_s: Seconds in which it must come.
        """
        if self._awaited is not awaited:
            self.stop()
            self._awaited = awaited
            self._call = self._reactor.callLater(timeout_s, self._end)

    def stop(self) -> None:
        """Stop the timer."""
        self._awaited = Awaited.NOTHING
        call, self._call = self._call, None
        if call is not None:
            call.cancel()

    def _end(self) -> None:
        self._awaited = Awaited.NOTHING
        self._call = None
        self._on_timeout()
