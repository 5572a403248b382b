"""Messages between instances about slots of backend servers.

Times are told as milliseconds from now, because monotonic clocks differ between instances.
"""

import attrs

from carobhook.state import asks, ids


@attrs.frozen
class SlotAsked:
    """Asks the dispatcher of a service's servers in a region for a slot.

    Attributes:
        region: Region of the dispatcher.
        target_ms: Milliseconds until an answer is late.
        deadline_ms: Milliseconds until no answer is wanted.

    The other attributes are those of `state.asks.Ask`.
    """

    id: ids.RequestId
    region: ids.Region
    service: ids.Service
    route: str
    object_key: str | None
    priority: int
    target_ms: float
    deadline_ms: float
    repeat: bool
    avoided: frozenset[ids.Server]
    homes: frozenset[ids.Region]
    domain: ids.FailureDomain | None


@attrs.frozen
class SlotAskWithdrawn:
    """Takes an ask back."""

    id: ids.RequestId
    region: ids.Region
    service: ids.Service


@attrs.frozen
class SlotGranted:
    """Answers an ask with a slot."""

    grant: asks.SlotGrant


@attrs.frozen
class SlotRefused:
    """Answers an ask without a slot.

    Attributes:
        ask_id: Id of the ask.
        code: Number of the result code.
        retry_after_s: Seconds after which room is expected.
        detail: What it was decided from, for the log.
    """

    ask_id: ids.RequestId
    code: int
    retry_after_s: float
    detail: str


@attrs.frozen
class SlotMoved:
    """Answers an ask that another instance must decide."""

    ask_id: ids.RequestId


@attrs.frozen
class SlotEnded:
    """Gives a slot back."""

    id: ids.RequestId
    region: ids.Region
    service: ids.Service
    server: ids.Server
    end: asks.WorkEnd


@attrs.frozen
class SlotsWanted:
    """Asks an instance which slots of a shard its requests hold; answered by `SlotsHeld`."""

    region: ids.Region
    service: ids.Service


@attrs.frozen
class HeldSlot:
    """A slot that a request holds at present.

    Attributes:
        id: Id of the ask.
        route: Route of the request.
        object_key: Its object.
        server: The server.
    """

    id: ids.RequestId
    route: str
    object_key: str | None
    server: ids.Server


@attrs.frozen
class SlotsHeld:
    """Tells a new dispatcher which of its slots are in use."""

    region: ids.Region
    service: ids.Service
    held: tuple[HeldSlot, ...]


@attrs.frozen
class RegionReport:
    """What the dispatcher of one region tells that of another.

    Attributes:
        service: The service.
        region: Region of the sender.
        receiver: Region of the dispatcher that it is for.
        slots: Slots of its own servers that can be used.
        demand: Slots that its clients' requests keep busy, None before the first request.
        lent: Servers whose slots the receiver may use, with their numbers.
        used: Servers of the receiver's region that the sender uses, with their busy slots.
    """

    service: ids.Service
    region: ids.Region
    receiver: ids.Region
    slots: float
    demand: float | None
    lent: tuple[tuple[ids.Server, int], ...]
    used: tuple[tuple[ids.Server, int], ...]


@attrs.frozen
class ShardLoad:
    """How busy the servers of one service in one region are, for operators.

    Attributes:
        region: The region.
        service: The service.
        slots: Slots of the region's own servers.
        usable: Slots that the region's dispatcher may give out, borrowed ones included.
        running: Requests that hold one.
        waiting: Requests that wait for one.
        demand: Slots that the requests keep busy, None before the first request.
        lent: Slots lent to other regions.
        withheld: Slots of its own servers that drains leave unused.
    """

    region: ids.Region
    service: ids.Service
    slots: int
    usable: int
    running: int
    waiting: int
    demand: float | None
    lent: tuple[tuple[ids.Region, int], ...]
    withheld: int


@attrs.frozen
class LoadsWanted:
    """Asks an instance how busy the shards are that it gives out."""

    id: str


@attrs.frozen
class LoadsTold:
    """Answers `LoadsWanted`."""

    id: str
    loads: tuple[ShardLoad, ...]


@attrs.frozen
class RequestMarked:
    """Servers broke while they ran a request of this fingerprint."""

    fingerprint: bytes
    name: str
    source: ids.InstanceId
    remaining_ms: int


@attrs.frozen
class RequestCleared:
    """A marked request was answered whole, so its marks no longer hold."""

    fingerprint: bytes
