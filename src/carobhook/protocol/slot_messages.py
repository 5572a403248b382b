"""Messages between instances about slots of backend servers.

A shard is the set of a service's servers in one region; one instance at a time is its
dispatcher, which grants slots of these servers. Times are sent as milliseconds from now,
because the monotonic clocks of instances differ.
"""

import attrs

from carobhook.state import allocation, ids, versions


@attrs.frozen
class SlotRequested:
    """Asks the dispatcher of a shard for a slot.

    Attributes:
        id: Id of the slot request, assigned by the sender.
        region: Region of the shard.
        service: Service of the shard.
        route: Name of the request's route.
        object_key: Key of the request's object on a route with object affinity, else None.
        priority: Rank of the request; 0 is the most urgent.
        target_ms: Milliseconds from now after which a response is late, but still useful.
        deadline_ms: Milliseconds from now after which a response is useless.
        repeat: Whether this is a retry: the request was already sent to a server that could
            be reached.
        avoided: Servers that must not run the request, such as those on which it failed.
        homes: Regions whose servers may run the request; empty for all regions.
        domain: Failure domain of the sender, None if unknown.
        account: Client account of the request, or None.
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
    account: ids.Account | None = versions.added_field(None, since=6)


@attrs.frozen
class SlotRequestWithdrawn:
    """Withdraws a slot request, or returns its slot if the grant is already on its way.

    Attributes:
        id: Id of the slot request.
        region: Region of the shard.
        service: Service of the shard.
    """

    id: ids.RequestId
    region: ids.Region
    service: ids.Service


@attrs.frozen
class SlotGranted:
    """Answers a slot request with a slot.

    Attributes:
        grant: The granted slot.
    """

    grant: allocation.SlotGrant


@attrs.frozen
class SlotRefused:
    """Answers a slot request with a refusal.

    Attributes:
        ask_id: Id of the slot request.
        code: Number of the result code that names the reason.
        retry_after_s: Seconds after which a slot is expected to be free.
        detail: Values that the decision was based on, for the log.
    """

    ask_id: ids.RequestId
    code: int
    retry_after_s: float
    detail: str


@attrs.frozen
class NotDispatcher:
    """Answers a slot request if the sender is not, or no longer, the dispatcher of the shard.

    Attributes:
        ask_id: Id of the slot request.
    """

    ask_id: ids.RequestId


@attrs.frozen
class SlotReleased:
    """Returns a slot to the dispatcher and reports the outcome of the attempt.

    Attributes:
        id: Id of the slot request.
        region: Region of the shard.
        service: Service of the shard.
        server: Server of the slot.
        end: Outcome of the attempt.
        rate: What the server's answer says about the rate of requests that it takes, or None if
            there is no answer or it says nothing.
        pace: Time that work takes on the server by its answer, as a multiple of what it usually
            takes, or None if there is no answer or it says nothing.
    """

    id: ids.RequestId
    region: ids.Region
    service: ids.Service
    server: ids.Server
    end: allocation.AttemptOutcome
    rate: allocation.RateStatement | None = versions.added_field(None)
    pace: float | None = versions.added_field(None, since=2)


@attrs.frozen
class ServerLimit:
    """Limit that a server named in its answers.

    Attributes:
        server: The server.
        max_per_s: Requests a second that it takes from all instances together.
    """

    server: ids.Server
    max_per_s: float


@attrs.frozen
class ServerLimitReport:
    """Tells the dispatcher of a server's own region of a limit that another region has seen.

    Attributes:
        region: Region of the server.
        service: Service of the server.
        limit: The limit.
    """

    region: ids.Region
    service: ids.Service
    limit: ServerLimit


@attrs.frozen
class HeldSlotsQuery:
    """Asks an instance which slots of a shard it uses; answered by `HeldSlotsReport`.

    A new dispatcher of the shard sends it to all instances, so that it grants no slot that a
    request still holds.

    Attributes:
        region: Region of the shard.
        service: Service of the shard.
    """

    region: ids.Region
    service: ids.Service


@attrs.frozen
class HeldSlot:
    """Slot that a request currently holds.

    Attributes:
        id: Id of the slot request.
        route: Name of the request's route.
        object_key: Key of the request's object on a route with object affinity, else None.
        server: Server of the slot.
    """

    id: ids.RequestId
    route: str
    object_key: str | None
    server: ids.Server


@attrs.frozen
class ObjectUse:
    """Use of an object by a request of the sender that ran on a server.

    Attributes:
        server: The server.
        object_hash: Hash of the object, see `coordination.object_digests`.
        age_ms: Milliseconds since then.
    """

    server: ids.Server
    object_hash: int
    age_ms: int


@attrs.frozen
class HeldSlotsReport:
    """Tells a new dispatcher of a shard which slots the sender's requests hold.

    Attributes:
        region: Region of the shard.
        service: Service of the shard.
        held: Slots that the sender's requests hold.
        limits: Limits that servers of the service named in answers to the sender.
        objects: Latest objects of the sender's requests on servers of the shard.
    """

    region: ids.Region
    service: ids.Service
    held: tuple[HeldSlot, ...]
    limits: tuple[ServerLimit, ...] = versions.added_field(())
    objects: tuple[ObjectUse, ...] = versions.added_field((), since=6)


@attrs.frozen
class RegionReport:
    """Load and loans that a region's dispatcher reports to another region's dispatcher.

    Attributes:
        service: Service of both dispatchers.
        region: Region of the sending dispatcher.
        receiver: Region of the receiving dispatcher.
        slots: Number of slots of the sending region's servers, except those that drains
            withhold, and except servers that are cold or failed to answer most recently.
        demand: Average number of slots that the requests of the sending region need, None
            before the first request.
        lent: Pairs of a server of the sending region and the number of its slots that the
            receiver may use.
        used: Pairs of a server of the receiving region and the number of its slots that the
            sender's requests hold.
        objects: Pairs of a lent server and the hashes of the objects that it handled latest,
            see `coordination.object_digests`; only of some servers.
        borrowed: Pairs of a server of the receiving region and the number of its slots that
            the sender may use, by the receiving region's latest report.
        is_lent_known: Whether `lent` holds. A new dispatcher does not know yet what the
            receiver has borrowed from the one before.
    """

    service: ids.Service
    region: ids.Region
    receiver: ids.Region
    slots: float
    demand: float | None
    lent: tuple[tuple[ids.Server, int], ...]
    used: tuple[tuple[ids.Server, int], ...]
    objects: tuple[tuple[ids.Server, tuple[int, ...]], ...] = versions.added_field((), since=2)
    borrowed: tuple[tuple[ids.Server, int], ...] = versions.added_field((), since=2)
    is_lent_known: bool = versions.added_field(True, since=2)


@attrs.frozen
class ShardLoad:
    """Load of one shard, for operators.

    Attributes:
        region: Region of the shard.
        service: Service of the shard.
        slots: Number of slots of the region's own servers.
        usable: Number of slots that the dispatcher may grant, whether free or in use; includes
            borrowed slots, but not lent or withheld ones.
        running: Number of requests that hold a slot.
        waiting: Number of requests that wait for a slot.
        demand: Average number of slots that the requests need, None before the first request.
        lent: Pairs of another region and the number of slots lent to it.
        withheld: Number of slots of the region's own servers that are unused because of drains.
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
class LoadQuery:
    """Asks an instance for the load of the shards of which it is the dispatcher.

    Attributes:
        id: Id of the query, which the answer repeats.
    """

    id: str


@attrs.frozen
class LoadReport:
    """Answers `LoadQuery`.

    Attributes:
        id: Id of the query.
        loads: Load of each shard of which the sender is the dispatcher.
    """

    id: str
    loads: tuple[ShardLoad, ...]


@attrs.frozen
class RequestMarked:
    """Marks a request as suspect, because a server ended while it ran the request.

    Attributes:
        fingerprint: Hash that identifies the request.
        name: Name of the run of the server that ended.
        source: Instance that learned of the end.
        remaining_ms: Milliseconds from now until the mark expires.
    """

    fingerprint: bytes
    name: str
    source: ids.InstanceId
    remaining_ms: int


@attrs.frozen
class RequestCleared:
    """Removes marks of a request, because a server ran it without a failure.

    Attributes:
        fingerprint: Hash that identifies the request.
        names: Names of the marks. Builds that name none also clear marks after responses that
            report a failure, so their messages remove nothing.
    """

    fingerprint: bytes
    names: tuple[str, ...] = versions.added_field(())
