"""Slots of the backend servers that one dispatcher grants, and where their objects are."""

import types
from collections.abc import Iterable, Iterator, Mapping

import attrs

from carobhook.coordination import catalog, object_digests, pooled_server, work_times
from carobhook.state import allocation, ids

_Servers = dict[ids.Server, pooled_server.PooledServer]


@attrs.define
class ServerPool:
    """The servers whose slots one dispatcher grants.

    A server that the pool may not use any more is kept while it runs requests of the pool. A
    lender that gets such a server back learns from the borrower which slots are still in use.
    """

    _servers: _Servers = attrs.field(factory=dict, init=False)
    _ended: _Servers = attrs.field(factory=dict, init=False)
    # Requests that were taken over on servers which have not been offered yet, with their
    # expected work times in seconds.
    _taken_over: dict[ids.Server, dict[ids.RequestId, tuple[allocation.SlotRequest, float]]] = (
        attrs.field(factory=dict, init=False)
    )
    _holders: dict[str, set[ids.Server]] = attrs.field(factory=dict, init=False)
    _slots: int = attrs.field(default=0, init=False)
    _limited: _Servers = attrs.field(factory=dict, init=False)
    _regions: frozenset[ids.Region] = attrs.field(default=frozenset(), init=False)
    _returning_slots: int = attrs.field(default=0, init=False)
    _told: object_digests.ToldObjects = attrs.field(
        factory=object_digests.ToldObjects, init=False
    )

    @property
    def regions(self) -> frozenset[ids.Region]:
        """Return the regions that have servers in the pool."""
        return self._regions

    @property
    def servers(self) -> list[pooled_server.PooledServer]:
        """Return the servers."""
        return list(self._servers.values())

    def free_servers(self, now: float) -> list[pooled_server.PooledServer]:
        """Return the servers that can start a request now."""
        return list(self.iterate_free(now))

    def iterate_free(self, now: float) -> Iterator[pooled_server.PooledServer]:
        """Yield the servers that can start a request now."""
        return (server for server in self._servers.values() if server.is_free(now))

    def get(self, name: ids.Server) -> pooled_server.PooledServer | None:
        """Return a server that the pool may use or that still runs its requests, or None."""
        return self._servers.get(name) or self._ended.get(name)

    @property
    def slots(self) -> int:
        """Return the number of slots that may be granted, including those in use."""
        return self._slots

    def throughput_slots(self, work_s: float) -> float:
        """Return how many slots requests of a length can keep busy within all servers' limits.

        Args:
            work_s: Work time of each request in seconds.
        """
        unused = sum(
            max(0.0, server.slots - server.unavailable_slots - server.throughput_slots(work_s))
            for server in self._limited.values()
        )
        return max(0.0, self._slots - unused)

    def take_over(
        self,
        request: allocation.SlotRequest,
        server: ids.Server,
        expected_s: float,
        now: float,
    ) -> None:
        """Occupy a slot that a previous dispatcher granted; the server may be offered later.

        Args:
            request: The request that holds the slot.
            server: The server.
            expected_s: Expected work time in seconds, without the slowness of the server.
            now: Monotonic time in seconds.
        """
        pooled = self.get(server)
        if pooled is None:
            self._taken_over.setdefault(server, {})[request.id] = (request, expected_s)
        elif request.id not in pooled.running:
            expected_s *= pooled.slowness(now)
            pooled.start(request, expected_s, now, is_taken_over=True)

    def forget_taken_over(self, request_id: ids.RequestId, server: ids.Server) -> None:
        """Remove a request that was taken over and has ended before its server was offered."""
        requests = self._taken_over.get(server)
        if requests is not None:
            requests.pop(request_id, None)

    @property
    def busy_servers(self) -> list[pooled_server.PooledServer]:
        """Return the servers that run requests, also those not offered any more."""
        known = (*self._servers.values(), *self._ended.values())
        return [server for server in known if server.running]

    @property
    def running(self) -> int:
        """Return the number of requests that occupy a slot."""
        return sum(len(server.running) for server in self.busy_servers)

    def holders(self, key: str) -> list[pooled_server.PooledServer]:
        """Return the servers that got requests for an object, here or by their own region.

        Some may have got so many other objects since that the object is no longer one of their
        recent ones.
        """
        names = {*self._holders.get(key, ()), *self._told.holders(key)}
        return [self._servers[name] for name in sorted(names) if name in self._servers]

    def depth(self, server: pooled_server.PooledServer, key: str) -> int | None:
        """Return how many other objects a server handled since an object.

        None is returned if it is not recorded for the server.

        Args:
            server: The server.
            key: Key of the object.
        """
        depth = server.recent_objects.depth(key)
        return depth if depth is not None else self._told.depth(server.name, key)

    def record_told_objects(
        self, server: ids.Server, hashes: object_digests.ObjectHashes
    ) -> None:
        """Record which objects a borrowed server has, as its own region's dispatcher told.

        Args:
            server: The server; one that is not in the pool is ignored.
            hashes: Hashes of its latest objects, the latest first.
        """
        if server in self._servers:
            self._told.record(server, hashes)

    def record_object(self, server: pooled_server.PooledServer, key: str) -> None:
        """Record that a server got a request for an object."""
        self._holders.setdefault(key, set()).add(server.name)
        # The index keeps objects that are no longer among the recent ones of any server. It is
        # rebuilt when it becomes too long; otherwise it would grow without limit.
        if len(self._holders) > 4 * work_times.MAX_OBJECTS * max(1, len(self._servers)):
            self._rebuild_holders()

    def _rebuild_holders(self) -> None:
        self._holders.clear()
        for server in self._servers.values():
            for key in server.recent_objects:
                self._holders.setdefault(key, set()).add(server.name)

    def replace(self, offers: Iterable[pooled_server.ServerOffer], now: float) -> None:
        """Replace the servers of the pool.

        Servers that remain, or that come back while they still run requests, keep their state
        unless they were restarted.

        Args:
            offers: Servers with their slots.
            now: Monotonic time in seconds.
        """
        servers: _Servers = {}
        for offer in offers:
            pooled = self.get(offer.view.entry.name)
            if pooled is None or _restarted(pooled.view, offer.view):
                pooled = pooled_server.PooledServer(offer.view, offer.region, offer.slots)
            pooled.update(offer, now)
            servers[pooled.name] = pooled
            for request, expected_s in self._taken_over.pop(pooled.name, {}).values():
                pooled.start(request, expected_s, now, is_taken_over=True)
        self._ended = {
            server.name: server for server in self.busy_servers if server.name not in servers
        }
        for server in self._ended.values():
            server.slots = 0
        self._servers = servers
        self._told.retain(servers)
        self._regions = frozenset(server.region for server in servers.values())
        self._limited = {
            name: server for name, server in servers.items() if server.limit_bucket is not None
        }
        self._count_slots()

    def limit_rate(self, name: ids.Server, max_per_s: float | None, now: float) -> None:
        """Limit the requests that a server gets, or end its limit.

        Args:
            name: The server; one that is not in the pool is ignored.
            max_per_s: Requests a second that the pool may send it, or None for no limit.
            now: Monotonic time in seconds.
        """
        server = self._servers.get(name)
        if server is None:
            return
        server.limit_rate(max_per_s, now)
        if max_per_s is None:
            self._limited.pop(name, None)
        else:
            self._limited[name] = server

    @property
    def returning_slots(self) -> int:
        """Return the number of slots that may not be granted now, but can be taken back."""
        return self._returning_slots

    def set_unavailable_slots(
        self,
        counts: Mapping[ids.Server, int],
        withheld: Mapping[ids.Server, int] = types.MappingProxyType({}),
    ) -> None:
        """Set how many slots of each server must not be granted.

        Args:
            counts: Number of slots by server; a server that is missing has none.
            withheld: Those of them that orders withhold. Others are lent, or were a moment ago.
        """
        self._returning_slots = 0
        for server in self._servers.values():
            server.unavailable_slots = counts.get(server.name, 0)
            withheld_slots = min(server.slots, withheld.get(server.name, 0))
            returning = min(server.slots, server.unavailable_slots) - withheld_slots
            self._returning_slots += max(0, returning)
        self._count_slots()

    def _count_slots(self) -> None:
        self._slots = sum(
            max(0, server.slots - server.unavailable_slots) for server in self._servers.values()
        )


def _restarted(old: catalog.ServerView, new: catalog.ServerView) -> bool:
    return old.entry.started_at_ms != new.entry.started_at_ms
