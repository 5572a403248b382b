"""Hands the knowledge of which servers have which objects to a shard's next dispatcher.

Load pattern: a dispatcher ends or moves, and its successor knows of no object in the memory of
any server. It would run each object anew on some server, late, and drive out others. The
instances that sent the requests know where they ran, so each tells the new dispatcher of its
latest ones.
"""

import collections
from collections.abc import Iterable

import attrs

from carobhook.coordination import object_digests
from carobhook.protocol import slot_messages
from carobhook.state import ids

# Latest objects that one instance tells of a shard. The instances of a region together tell
# several objects of each server, in reports of a few kilobytes each.
_MAX_TOLD = 96
# Latest objects of a server that a new dispatcher takes for those in its memory. A server may
# keep few, and a request that waits for one which no longer has its object is late.
_MAX_PER_SERVER = 8
# Latest objects that an instance remembers, of all shards.
_MAX_REMEMBERED = 512
# A server has probably replaced what was used longer ago.
_MAX_AGE_S = 20.0

Shard = tuple[ids.Region, ids.Service]


@attrs.define
class ObjectUses:
    """The latest uses of objects by requests of this instance."""

    _uses: collections.deque[tuple[float, Shard, ids.Server, str]] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_REMEMBERED), init=False
    )

    def record(self, shard: Shard, server: ids.Server, key: str, now: float) -> None:
        """Record that a request got a slot of a server.

        Args:
            shard: Shard whose dispatcher granted the slot.
            server: The server.
            key: Qualified key of the request's object.
            now: Monotonic time in seconds.
        """
        self._uses.append((now, shard, server, key))

    def latest(self, shard: Shard, now: float) -> tuple[slot_messages.ObjectUse, ...]:
        """Return the latest uses on servers that a shard's dispatcher chose.

        Args:
            shard: The shard.
            now: Monotonic time in seconds.
        """
        latest: dict[tuple[ids.Server, str], float] = {}
        for at, used_shard, server, key in reversed(self._uses):
            if now - at > _MAX_AGE_S or len(latest) >= _MAX_TOLD:
                break
            if used_shard == shard:
                latest.setdefault((server, key), at)
        return tuple(
            slot_messages.ObjectUse(
                server, object_digests.object_hash(key), round((now - at) * 1000)
            )
            for (server, key), at in latest.items()
        )


@attrs.define
class HandedOverObjects:
    """What the instances told a new dispatcher of the objects of its servers."""

    _used_at: dict[ids.Server, dict[int, float]] = attrs.field(factory=dict, init=False)

    def add(
        self, uses: Iterable[slot_messages.ObjectUse], now: float
    ) -> dict[ids.Server, object_digests.ObjectHashes]:
        """Add the uses that one instance told; return the objects of the servers concerned.

        The objects of a server are in the order of their latest use, the latest first.

        Args:
            uses: The uses.
            now: Monotonic time in seconds.
        """
        concerned = set()
        for use in uses:
            used_at = self._used_at.setdefault(use.server, {})
            at = now - use.age_ms / 1000
            used_at[use.object_hash] = max(at, used_at.get(use.object_hash, at))
            concerned.add(use.server)
        return {server: self._latest_first(server) for server in concerned}

    def _latest_first(self, server: ids.Server) -> object_digests.ObjectHashes:
        used_at = self._used_at[server]
        latest_first = sorted(used_at, key=lambda found: -used_at[found])
        return tuple(latest_first[:_MAX_PER_SERVER])
