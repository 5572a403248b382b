"""Backend servers as their own entries in the store describe them."""

import enum

import attrs

from carobhook.state import ids


class ServerState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class ServerEntry:
    """One backend server's entry.

    Attributes:
        name: Id of the server, which names one start of it unless it kept its id.
        service: Service that it runs.
        zone: Its failure domain.
        address: ``host:port``.
        slots: Requests that it runs at once.
        state: What it says of itself.
        cold_s: Seconds for which it was still cold when it wrote the entry.
        started_at_ms: Unix time of its start in milliseconds, or None if it does not say.
    """

    name: ids.Server
    service: ids.Service
    zone: ids.FailureDomain
    address: str
    slots: int
    state: ServerState
    cold_s: float
    started_at_ms: int | None = None
