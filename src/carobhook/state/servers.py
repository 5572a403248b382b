"""Entries in which backend servers register themselves in the store."""

import enum
import typing

import attrs

from carobhook.state import ids


class ServerState(enum.Enum):
    """State that a backend server reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class ServerRun:
    """One run of a backend server, from its start to its end.

    Attributes:
        server: Id of the server, which it may keep across restarts.
        started_at_ms: Unix time of the start in milliseconds, None if not known.
    """

    server: ids.Server
    started_at_ms: int | None = None

    def __str__(self) -> str:
        """Return a text that names this run and no other."""
        return f"{self.server}/{self.started_at_ms}"


@attrs.frozen
class ServerEntry:
    """Registration of one backend server.

    Attributes:
        name: Id of the server; some servers keep it across restarts, others get a new one.
        service: Service that the server runs.
        failure_domain: Failure domain that the server runs in.
        address: Address at which the server accepts requests, ``host:port``.
        slots: Number of requests that the server can run concurrently.
        state: State that the server reports.
        cold_s: Seconds for which the server stays cold, counted from when it wrote the entry.
        started_at_ms: Unix time of the server's start in milliseconds, None if not given.
        sequence: Number of the report, which rises while the server runs; None if not given.
    """

    name: ids.Server
    service: ids.Service
    failure_domain: ids.FailureDomain
    address: str
    slots: int
    state: ServerState
    cold_s: float
    started_at_ms: int | None = None
    sequence: int | None = None

    @property
    def run(self) -> ServerRun:
        """Return the run of the server that wrote this entry."""
        return ServerRun(self.name, self.started_at_ms)

    def is_older_than(self, other: "ServerEntry") -> bool:
        """Return whether the server wrote this entry before another one of the same name.

        Entries that do not tell are not older.
        """
        if None not in (self.started_at_ms, other.started_at_ms):
            mine = typing.cast(int, self.started_at_ms)
            others = typing.cast(int, other.started_at_ms)
            if mine != others:
                return mine < others
        if self.sequence is None or other.sequence is None:
            return False
        return self.sequence < other.sequence
