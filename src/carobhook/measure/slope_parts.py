"""Slopes of single parts: memory, processor time and octets of messages."""

from collections.abc import Callable

from twisted.internet import testing

from carobhook.coordination import atmostonce, blocks, lookup, membership
from carobhook.measure import slopes
from carobhook.protocol import codec, messages
from carobhook.state import configuration, fold, ids, keys, ledger, members, plan
from carobhook.transport import peers

_BLOCK_SIZES = (20_000, 40_000, 80_000, 160_000)
_LOOKUPS = (2_000, 4_000, 8_000, 16_000)
_SERVICE = ids.Service("licences")
_REGIONS = tuple(ids.Region(f"region-{number}") for number in range(23))


def member(number: int) -> members.Member:
    """Return a member as its heartbeats describe it."""
    region = _REGIONS[number % len(_REGIONS)]
    return members.Member(
        ids.InstanceId(f"instance-{number}"),
        ids.Incarnation(f"{number:016x}"),
        region,
        ids.FailureDomain(f"{region}-{number % 3}"),
        f"10.0.{number // 256}.{number % 256}:80",
        f"10.0.{number // 256}.{number % 256}:7000",
        members.Phase.READY,
        ids.Version(number),
    )


def _table(count: int) -> membership.Membership:
    table = membership.Membership(ids.InstanceId("instance-0"))
    for number in range(count):
        table.heard(member(number), 0.0)
    return table


def _prefix(number: int) -> str:
    return f"{10 + number // 65_536}.{number // 256 % 256}.{number % 256}."


def _block_texts(count: int) -> dict[str, ids.Region]:
    return {_prefix(number): _REGIONS[number % len(_REGIONS)] for number in range(count)}


def _block_table(count: int) -> blocks.BlockTable:
    pairs = ((blocks.parse(text), region) for text, region in _block_texts(count).items())
    return blocks.build(pairs)


def _key_records(count: int) -> atmostonce.KeyRecords:
    records = atmostonce.KeyRecords()
    for number in range(count):
        key = keys.digest_of(_SERVICE, f"key-{number}")
        records.begin(key, keys.Fingerprint(f"{number:010d}"), 0.0)
        records.unknown(key, 0.0)
    return records


def _config() -> configuration.Configuration:
    return configuration.Configuration(
        services={_SERVICE: configuration.ServicePolicy(_SERVICE)},
        blocks={"10.": _REGIONS[0]},
    )


def _look_ups(count: int, instances: int) -> Callable[[], object]:
    config = _config()
    serving = [member(number) for number in range(instances)]

    def work() -> None:
        for number in range(count):
            client = f"10.{number // 256 % 256}.{number % 256}.7"
            lookup.answer(config, _SERVICE, client, serving, _REGIONS[0], 5.0)

    work()
    return work


def _heartbeats(count: int) -> Callable[[], object]:
    table = _table(count)
    frames = [codec.encode(messages.Heartbeat(member(number), ())) for number in range(count)]

    def work() -> None:
        unpacker = codec.unpacker()
        for frame in frames:
            unpacker.feed(frame)
            for unpacked in unpacker:
                message = codec.decode(unpacked)
                if isinstance(message, messages.Heartbeat):
                    table.heard(message.member, 1.0)

    return work


def change(version: int) -> configuration.Change:
    """Return a change as a planner makes it: one step of one service's traffic."""
    region = _REGIONS[version % len(_REGIONS)]
    other = _REGIONS[(version + 1) % len(_REGIONS)]
    assignment = plan.move(plan.whole(region), region, other, 1 + version % 5_000)
    return configuration.Change(
        ids.Version(version),
        ids.OrderId(f"{version:032x}"),
        "planner",
        1.7e9 + version,
        f"shift licences from {region} to {other}",
        (configuration.Step(_SERVICE, region, assignment),),
    )


def _deltas(count: int) -> Callable[[], object]:
    frames = [codec.encode(messages.Changes((change(n + 1),))) for n in range(count)]

    def work() -> None:
        config = configuration.Configuration()
        unpacker = codec.unpacker()
        for frame in frames:
            unpacker.feed(frame)
            for unpacked in unpacker:
                message = codec.decode(unpacked)
                if isinstance(message, messages.Changes):
                    for item in message.changes:
                        config = fold.follow(config, item)

    return work


def _octets(message: Callable[[int], messages.Message]) -> list[tuple[float, float]]:
    return [(float(n), float(len(codec.encode(message(n))))) for n in (1, 2, 4, 8, 16)]


def _routes(count: int) -> configuration.Configuration:
    routes = {
        ledger.RouteKey(ids.Service(f"s{n // 23}"), _REGIONS[n % 23], ids.Rank("normal")): (
            plan.move(plan.whole(_REGIONS[0]), _REGIONS[0], _REGIONS[1], 1 + n % 9_000)
        )
        for n in range(count)
    }
    return configuration.Configuration(routes=routes)


class _Transport(testing.StringTransport):
    """A transport without a socket."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 - Name of the interface.
        """Take note of nothing."""


def _streams(count: int) -> list[object]:
    """Return accepted streams, without sockets and the kernel's buffers."""
    reactor = testing.MemoryReactorClock()
    identity = peers.Identity(ids.InstanceId("i"), ids.Incarnation("0"), b"key")
    hub = peers.PeerHub(reactor, identity, lambda sender, message: None, codec)
    hub.listen("127.0.0.1", 1)
    factory = reactor.tcpServers[0][1]
    made: list[object] = [hub]
    for _ in range(count):
        stream = factory.buildProtocol(None)
        stream.makeConnection(_Transport())
        made.append(stream)
    return made


def memory_slopes() -> list[slopes.Slope]:
    """Return the slopes of memory."""
    return [
        slopes.memory("member-memory", "member", slopes.SIZES, _table),
        slopes.memory("block-table-memory", "client block", _BLOCK_SIZES, _block_table),
        slopes.memory("block-text-memory", "client block", _BLOCK_SIZES, _block_texts),
        slopes.memory("route-memory", "route", slopes.SIZES, _routes),
        slopes.memory("stream-memory", "stream", slopes.SIZES, _streams),
        slopes.memory("key-memory", "key record", slopes.SIZES, _key_records),
    ]


def processor_slopes() -> list[slopes.Slope]:
    """Return the slopes of processor time."""
    return [
        slopes.processor("lookup-time", "look-up", _LOOKUPS, lambda n: _look_ups(n, 9)),
        slopes.processor(
            "lookup-member-time",
            "instance known, for 200 look-ups",
            slopes.SIZES,
            lambda n: _look_ups(200, n),
        ),
        slopes.processor("heartbeat-time", "heartbeat", slopes.SIZES, _heartbeats),
        slopes.processor("delta-time", "change", slopes.SIZES, _deltas),
    ]


def octet_slopes() -> list[slopes.Slope]:
    """Return the octets of messages."""
    heartbeat = _octets(
        lambda n: messages.Heartbeat(member(1), tuple(member(i).peers for i in range(n)))
    )
    delta = _octets(lambda n: messages.Changes(tuple(change(i + 1) for i in range(n))))
    return [
        slopes.fit("heartbeat-octets", "octets", "peer address in a heartbeat", heartbeat),
        slopes.fit("delta-octets", "octets", "change", delta),
    ]
