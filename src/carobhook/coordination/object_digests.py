"""Tells regions which objects the servers that they borrow from each other have in memory.

Load pattern: a region with few servers borrows slots in others as its load rises. Its objects
are in the memory of servers there too, as the clients of all regions ask for the same. Without
knowing at which servers, each of its requests would do the whole work anew there, late, and
drive out what the lender's own clients need.
"""

import math
from collections.abc import Iterable, Mapping

import attrs
import xxhash

from carobhook.coordination import work_times
from carobhook.state import ids

# Latest objects of each server that are told.
_OBJECTS_PER_SERVER = 16
# Servers whose objects one report tells. Other reports tell those of the others.
_SERVERS_PER_REPORT = 48
# Unchanged objects are told again after this time, as the receiver may be a new dispatcher.
_RESEND_S = 4.0

ObjectHashes = tuple[int, ...]


def object_hash(key: str) -> int:
    """Return the 32-bit hash by which an object is told.

    Args:
        key: Key of the object that is unique among those of all routes.
    """
    return xxhash.xxh32_intdigest(key.encode())


def latest_hashes(objects: work_times.RecentObjects) -> ObjectHashes:
    """Return the hashes of a server's latest objects, the latest first."""
    return tuple(object_hash(key) for key in objects.latest(_OBJECTS_PER_SERVER))


@attrs.define
class DigestSender:
    """Selects what to tell another region of the objects of the servers lent to it."""

    _sent: dict[ids.Server, frozenset[int]] = attrs.field(factory=dict, init=False)
    _sent_at: dict[ids.Server, float] = attrs.field(factory=dict, init=False)

    def next_digests(
        self, lent: Iterable[tuple[ids.Server, work_times.RecentObjects]], now: float
    ) -> tuple[tuple[ids.Server, ObjectHashes], ...]:
        """Return servers with the hashes of their latest objects, to send them now.

        They are those that changed or were not sent lately, those sent longest ago first.

        Args:
            lent: Servers with lent slots, and their objects.
            now: Monotonic time in seconds.
        """
        hashes = {server: latest_hashes(objects) for server, objects in lent}
        self._sent = {server: sent for server, sent in self._sent.items() if server in hashes}
        self._sent_at = {server: at for server, at in self._sent_at.items() if server in hashes}
        due = [server for server, found in hashes.items() if self._is_due(server, found, now)]
        due.sort(key=lambda server: (self._sent_at.get(server, -math.inf), server))
        chosen = due[:_SERVERS_PER_REPORT]
        for server in chosen:
            self._sent[server] = frozenset(hashes[server])
            self._sent_at[server] = now
        return tuple((server, hashes[server]) for server in chosen)

    def _is_due(self, server: ids.Server, found: ObjectHashes, now: float) -> bool:
        if self._sent.get(server) != frozenset(found):
            return True
        return now - self._sent_at[server] >= _RESEND_S


@attrs.define
class ToldObjects:
    """Objects that borrowed servers have in memory, as their region's dispatcher told."""

    _depths: dict[ids.Server, dict[int, int]] = attrs.field(factory=dict, init=False)
    _servers: dict[int, set[ids.Server]] = attrs.field(factory=dict, init=False)

    def record(self, server: ids.Server, hashes: ObjectHashes) -> None:
        """Replace what is known of a server.

        Args:
            server: The server.
            hashes: Hashes of its latest objects, the latest first.
        """
        self.remove(server)
        self._depths[server] = {found: depth for depth, found in enumerate(hashes)}
        for found in hashes:
            self._servers.setdefault(found, set()).add(server)

    def remove(self, server: ids.Server) -> None:
        """Forget a server."""
        for found in self._depths.pop(server, ()):
            servers = self._servers[found]
            servers.discard(server)
            if not servers:
                del self._servers[found]

    def retain(self, servers: Mapping[ids.Server, object]) -> None:
        """Forget all other servers than these."""
        for server in [server for server in self._depths if server not in servers]:
            self.remove(server)

    def holders(self, key: str) -> Iterable[ids.Server]:
        """Return the servers that have an object."""
        return self._servers.get(object_hash(key), ()) if self._servers else ()

    def depth(self, server: ids.Server, key: str) -> int | None:
        """Return how many other objects a server handled since, or None if it is not told."""
        depths = self._depths.get(server)
        return depths.get(object_hash(key)) if depths else None
