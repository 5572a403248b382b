"""Entries in which backend servers register themselves in the store."""

import enum

import attrs

from carobhook.state import ids


class ServerState(enum.Enum):
    """State that a backend server reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


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
    """

    name: ids.Server
    service: ids.Service
    failure_domain: ids.FailureDomain
    address: str
    slots: int
    state: ServerState
    cold_s: float
    started_at_ms: int | None = None
