"""Checks whether the backend server that had a request has ended."""

import enum
from collections.abc import Awaitable, Callable

import attrs

from carobhook.protocol import path_messages
from carobhook.state import ids
from carobhook.transport import exchange_results

Listener = exchange_results.Listener


class Finding(enum.Enum):
    """What a check found out about the server that had a request.

    ALIVE: It has not ended, as far as can be told.
    UNREACHABLE: It has ended, as nobody gets a connection.
    REPLACED: It has ended, as another server is at its address.
    RUNS_ANEW: It has ended, as the store tells of a later run.
    UNKNOWN: The check told nothing.
    """

    ALIVE = "alive"
    UNREACHABLE = "unreachable"
    REPLACED = "replaced"
    RUNS_ANEW = "runs-anew"
    UNKNOWN = "unknown"


ENDS = frozenset({Finding.UNREACHABLE, Finding.REPLACED, Finding.RUNS_ANEW})
# What the answer of a listener says by itself.
_FINDINGS = {
    Listener.PRESENT: Finding.ALIVE,
    Listener.OTHER: Finding.REPLACED,
    Listener.SILENT: Finding.UNKNOWN,
}


@attrs.frozen
class Evidence:
    """Result of a check.

    Attributes:
        finding: What it found out.
        at: Monotonic time in seconds of the finding; an end happened before it.
        is_certain: Whether an end cannot be a path that is broken for a while.
    """

    finding: Finding
    at: float
    is_certain: bool = True


class EndChecks:
    """Checks of the servers of lost attempts.

    Args:
        seconds: Returns the monotonic time in seconds.
        find_listener: Returns who listens at the address of a server.
        reach_of_others: Returns whether other instances reach an address.
        is_trusted: Returns whether a refused connection to an address says anything of the
            server, as this instance reaches others.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        find_listener: Callable[[ids.Server, str], Awaitable[Listener]],
        reach_of_others: Callable[[str], Awaitable[path_messages.Reach]],
        is_trusted: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._seconds = seconds
        self._find_listener = find_listener
        self._reach_of_others = reach_of_others
        self._is_trusted = is_trusted

    async def check(self, server: ids.Server, address: str) -> Evidence:
        """Return what can be found out about a server that had a request.

        Args:
            server: Id of the server.
            address: Address of the server, ``host:port``.
        """
        listener = await self._find_listener(server, address)
        found_at = self._seconds()
        if listener in _FINDINGS:
            return Evidence(_FINDINGS[listener], found_at)
        reach = await self._reach_of_others(address)
        if reach is path_messages.Reach.REACHED:
            return Evidence(Finding.UNKNOWN, found_at)
        is_certain = listener is Listener.REFUSED and (
            reach is path_messages.Reach.UNREACHED or await self._is_trusted(address)
        )
        return Evidence(Finding.UNREACHABLE, found_at, is_certain)
