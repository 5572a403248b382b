"""What one instance knows of its network paths to the backend servers.

A server that this instance cannot connect to may have ended, or the path to it may be broken.
If another instance reaches the server, it is the path. A path is a fact about this instance and
the server only, so no other instance acts on it.

Only a response is evidence of a path: a connection may open and be reset, or carry nothing, and
one that was opened before may live on while new ones fail.
"""

import math
from collections.abc import Callable, Iterable

import attrs

# The instance is cut from the servers once its requests failed on the paths to this many of
# them, or to all if there are fewer, since it last heard from any.
_MIN_FAILED_PATHS = 3
# A connection that could not be used counts for this long, if nobody else was asked about it.
_DOUBT_S = 5.0
# A response shows for this long that this instance reaches servers.
_EVIDENCE_S = 1.0
# For this long after a failure, a path is not tried again for the sake of one request.
_RETRY_S = 0.5
# A broken path is tried again after this time, doubled with each further failure.
_FIRST_PROBE_DELAY_S = 0.5
_MAX_PROBE_DELAY_S = 4.0
# Paths that are tried at the same time. Fewer than all, as each may take a descriptor for as
# long as a connection takes to time out.
_MAX_PROBES = 3


@attrs.define(eq=False)
class _FailedPath:
    """A server that no new connection of this instance reached.

    Attributes:
        failed_at: Monotonic time in seconds of the latest failure.
        is_confirmed: Whether another instance reaches the server.
        probe_delay_s: Seconds from one attempt to the next.
        probe_at: Monotonic time in seconds of the next attempt.
    """

    failed_at: float
    is_confirmed: bool
    probe_delay_s: float
    probe_at: float


@attrs.define
class ServerPaths:
    """Paths of this instance to the servers, by address.

    Load pattern: an instance that is cut from all servers gets requests of clients, or of other
    instances that want them relayed. A request that must not run twice is lost if it is sent on
    a broken path. So the instance says whether it has heard a server lately, and an instance
    that has sent nothing for a while counts as not knowing.

    Args:
        count_servers: Returns the number of known servers.
    """

    _count_servers: Callable[[], int] = lambda: _MIN_FAILED_PATHS
    _failed: dict[str, _FailedPath] = attrs.field(factory=dict, init=False)
    _heard_at: float = attrs.field(default=-math.inf, init=False)
    _opened_at: float = attrs.field(default=-math.inf, init=False)

    @property
    def heard_at(self) -> float:
        """Return the monotonic time in seconds at which a server was last heard, or -inf."""
        return self._heard_at

    @property
    def broken_count(self) -> int:
        """Return the number of servers that others reach and this instance does not."""
        return sum(path.is_confirmed for path in self._failed.values())

    def record_response(self, address: str, is_new: bool, now: float) -> None:
        """Record a response that came from a server directly.

        Args:
            address: Address of the server, ``host:port``.
            is_new: Whether it is the first one on its connection.
            now: Monotonic time in seconds.
        """
        self._heard_at = now
        if is_new:
            self._opened_at = now
            self._failed.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Record that no connection to a server could be opened, or a new one carried nothing.

        Args:
            address: Address of the server, ``host:port``.
            now: Monotonic time in seconds.
        """
        path = self._failed.get(address)
        if path is None:
            delay_s = _FIRST_PROBE_DELAY_S
            self._failed[address] = _FailedPath(now, False, delay_s, now + delay_s)
        else:
            path.failed_at = now

    def record_reached_by_other(self, address: str, now: float) -> None:
        """Record that another instance reaches a server that this one does not.

        Args:
            address: Address of the server, ``host:port``.
            now: Monotonic time in seconds.
        """
        self._failed.setdefault(
            address, _FailedPath(now, True, _FIRST_PROBE_DELAY_S, now + _FIRST_PROBE_DELAY_S)
        ).is_confirmed = True

    def record_server_fault(self, address: str) -> None:
        """Record that others do not reach a server either, so the path is not at fault."""
        self._failed.pop(address, None)

    def is_cut(self, now: float) -> bool:
        """Return whether this instance seems to be cut from all servers.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._failed:
            return False
        silent = [
            path
            for path in self._failed.values()
            if path.failed_at > self._heard_at and _counts(path, now)
        ]
        return len(silent) >= max(1, min(_MIN_FAILED_PATHS, self._count_servers()))

    def is_proven(self, address: str, now: float) -> bool:
        """Return whether a server was heard lately and nothing speaks against this path.

        Args:
            address: Address of the server, ``host:port``.
            now: Monotonic time in seconds.
        """
        return now - self._heard_at <= _EVIDENCE_S and address not in self._failed

    def opened_lately(self, now: float) -> bool:
        """Return whether a new connection to any server worked lately.

        Args:
            now: Monotonic time in seconds.
        """
        return now - self._opened_at <= _EVIDENCE_S

    def has_failed(self, address: str) -> bool:
        """Return whether the last new connection to a server failed, as far as is known."""
        return address in self._failed

    def is_confirmed(self, address: str) -> bool:
        """Return whether another instance reaches a server that this one does not."""
        path = self._failed.get(address)
        return path is not None and path.is_confirmed

    def failed_lately(self, address: str, now: float) -> bool:
        """Return whether a path failed a moment ago, so that it is not worth another attempt.

        Args:
            address: Address of the server, ``host:port``.
            now: Monotonic time in seconds.
        """
        path = self._failed.get(address)
        return path is not None and now - path.failed_at <= _RETRY_S

    def is_blocked(self, address: str, now: float) -> bool:
        """Return whether a new connection to a server is not worth an attempt.

        Args:
            address: Address of the server, ``host:port``.
            now: Monotonic time in seconds.
        """
        return self.is_confirmed(address) or self.is_cut(now)

    def due_probes(self, now: float) -> list[str]:
        """Return the addresses to which a connection should be attempted now.

        Args:
            now: Monotonic time in seconds.
        """
        due = [address for address, path in self._failed.items() if path.probe_at <= now]
        due.sort(key=lambda address: self._failed[address].probe_at)
        for address in due[:_MAX_PROBES]:
            path = self._failed[address]
            path.probe_delay_s = min(_MAX_PROBE_DELAY_S, 2 * path.probe_delay_s)
            delay_s = _FIRST_PROBE_DELAY_S if self.is_cut(now) else path.probe_delay_s
            path.probe_at = now + delay_s
        return due[:_MAX_PROBES]

    def retain(self, is_known: Callable[[str], bool], now: float) -> None:
        """Forget the servers that are gone, and failures that nobody has looked into.

        Args:
            is_known: Returns whether a server has an address.
            now: Monotonic time in seconds.
        """
        for address, path in list(self._failed.items()):
            if not is_known(address) or not _counts(path, now):
                del self._failed[address]


def _counts(path: _FailedPath, now: float) -> bool:
    return path.is_confirmed or now - path.failed_at <= _DOUBT_S


def silent_addresses(
    started: Iterable[tuple[str, float]], heard_at: float, now: float, silence_s: float
) -> list[str]:
    """Return servers to check, if requests run and no server is heard.

    Args:
        started: Address and monotonic start in seconds of each request that runs.
        heard_at: Monotonic time in seconds at which any server was last heard.
        now: Monotonic time in seconds.
        silence_s: Seconds without a sound after which servers are checked.
    """
    if now - heard_at < silence_s:
        return []
    waiting = {address for address, started_at in started if now - started_at >= silence_s}
    return sorted(waiting)[:_MAX_PROBES]
