"""Messages between instances."""

import attrs

from carobhook.protocol import greetings
from carobhook.state import configuration, ids, load

Challenge = greetings.Challenge
Hello = greetings.Hello
Heartbeat = greetings.Heartbeat
Alive = greetings.Alive


@attrs.frozen
class Changes:
    """Changes in rising order of version."""

    changes: tuple[configuration.Change, ...]


@attrs.frozen
class ChangesWanted:
    """Asks for the changes after a version."""

    after: ids.Version


@attrs.frozen
class Snapshot:
    """A whole configuration, for a receiver that lacks more changes than are kept.

    Attributes:
        text: JSON text.
        digest: SHA-256 of the text.
    """

    text: str
    digest: str


@attrs.frozen
class ForwardedRequest:
    """A request that the receiver is to run for the sender.

    Attributes are those of `state.requests.Request`, with the remaining time in milliseconds
    in place of the deadline, because monotonic clocks differ between instances.

    Attributes:
        keyed_region: Region whose backend servers are to run it when the receiver takes it as
            the owner of its key; None when the receiver is to run it itself.
    """

    id: ids.RequestId
    service: ids.Service
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    client: str
    rank: ids.Rank
    remaining_ms: int
    key: str | None
    idempotent: bool
    keyed_region: ids.Region | None = None


@attrs.frozen
class ForwardedHead:
    """Start of the answer to a forwarded request."""

    id: ids.RequestId
    status: int
    headers: tuple[tuple[str, str], ...]
    server: ids.Server
    length: int | None


@attrs.frozen
class ForwardedChunk:
    """A piece of the answer's body."""

    id: ids.RequestId
    data: bytes


@attrs.frozen
class ForwardedEnd:
    """End of the answer; ``code`` is the result code's number.

    When no head came before, it is a refusal.
    """

    id: ids.RequestId
    code: int
    detail: str
    retry_after_s: float | None


@attrs.frozen
class ForwardedCredit:
    """Lets the receiver send so many more bytes of the answer's body."""

    id: ids.RequestId
    octets: int


@attrs.frozen
class ForwardedCancel:
    """The caller no longer waits for the answer."""

    id: ids.RequestId


@attrs.frozen
class Load:
    """What the sender measured; the planner needs it, and whoever explains its decisions."""

    report: load.LoadReport


@attrs.frozen
class PoisonMark:
    """A backend server's connection broke while it ran a request of this fingerprint."""

    fingerprint: bytes
    name: str
    source: ids.InstanceId
    remaining_ms: int


@attrs.frozen
class PoisonCleared:
    """A marked request was answered whole, so its marks no longer hold."""

    fingerprint: bytes


Message = (
    Challenge
    | Hello
    | Heartbeat
    | Alive
    | Changes
    | ChangesWanted
    | Snapshot
    | ForwardedRequest
    | ForwardedHead
    | ForwardedChunk
    | ForwardedEnd
    | ForwardedCredit
    | ForwardedCancel
    | Load
    | PoisonMark
    | PoisonCleared
)
