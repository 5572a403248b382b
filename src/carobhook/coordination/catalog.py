"""Backend servers, evacuated failure domains and configuration as this instance knows them."""

from collections.abc import Callable

import attrs

from carobhook.state import ids, routing, servers

# Servers whose entries expired during an outage of the store register again within about two
# seconds after it; until then they stay in use.
GRACE_PERIOD_S = 2.0
# The entry of a server that has ended expires within this time after the store came back from
# an older copy. Until then, an entry of the copy does not tell that the server runs. One that
# leaves reports so, or removes its entry, within it.
_COPY_EXPIRY_S = 8.0
# Removed servers are remembered for this long, in case that the store comes back from a copy
# which has them still.
_REMOVED_MEMORY_S = 120.0
# No entry expires during an outage shorter than this. An entry that is missing after such an
# outage was therefore removed on purpose, and gets no grace period.
_MIN_OUTAGE_S = 1.0


@attrs.define
class _KnownServer:
    """A server's entry and the times that depend on it.

    Attributes:
        entry: Entry of the server in the store.
        cold_until: Monotonic time in seconds until which the server is cold.
        grace_until: Monotonic time in seconds until which the server stays in use although its
            entry is missing from the store, or None if the entry is not missing.
    """

    entry: servers.ServerEntry
    cold_until: float
    grace_until: float | None = None


@attrs.frozen
class _RemovedServer:
    """Latest entry of a removed server, and the monotonic time in seconds of the removal."""

    entry: servers.ServerEntry
    removed_at: float


@attrs.frozen
class _DoubtfulServer:
    """Entry of an older copy of the store for a server that was removed since.

    Attributes:
        entry: The entry.
        doubted_until: Monotonic time in seconds from which the server counts as running, if
            its entry is still there.
    """

    entry: servers.ServerEntry
    doubted_until: float


@attrs.frozen
class ServerView:
    """A backend server that may get requests.

    Attributes:
        entry: Entry of the server in the store.
        cold_until: Monotonic time in seconds until which the server is cold, so that the rate
            of requests to it may be limited.
    """

    entry: servers.ServerEntry
    cold_until: float


@attrs.define
class Catalog:
    """Servers and evacuations as the store has them, and the newest configuration.

    Load pattern: the store is unavailable for seconds while servers keep running, and their
    entries expire meanwhile. Entries that are missing after an outage stay in use for a short
    time, so that the first listing after it does not remove all servers of every service.

    The store may also come back from a copy that is some seconds old. What servers wrote since
    is missing until they write it again; until then, what is known here is newer.

    Attributes:
        is_fully_drained: Returns whether operators drain all slots of a server, so that it must
            get no new work.
    """

    is_fully_drained: Callable[[servers.ServerEntry], bool] = attrs.field(
        default=lambda entry: False, init=False
    )
    _servers: dict[ids.Server, _KnownServer] = attrs.field(factory=dict, init=False)
    _removed: dict[ids.Server, _RemovedServer] = attrs.field(factory=dict, init=False)
    _doubtful: dict[ids.Server, _DoubtfulServer] = attrs.field(factory=dict, init=False)
    # Runs of servers that said that they leave, by server.
    _leaving: dict[ids.Server, servers.ServerRun] = attrs.field(factory=dict, init=False)
    # Those of which another run may have said so, as the listing was old.
    _leaving_unsure: set[ids.Server] = attrs.field(factory=set, init=False)
    # Monotonic times in seconds until which servers get no requests, whatever their run is.
    _held_back: dict[ids.Server, float] = attrs.field(factory=dict, init=False)
    _evacuated: frozenset[ids.FailureDomain] = attrs.field(default=frozenset(), init=False)
    _config: routing.RoutingConfig | None = attrs.field(default=None, init=False)
    _store_lost_at: float | None = attrs.field(default=None, init=False)
    _grace_until: float = attrs.field(default=0.0, init=False)

    @property
    def config(self) -> routing.RoutingConfig | None:
        """Return the configuration in force, or None if there is none yet."""
        return self._config

    @property
    def evacuated(self) -> frozenset[ids.FailureDomain]:
        """Return the evacuated failure domains, whose servers must get no requests."""
        return self._evacuated

    @property
    def server_count(self) -> int:
        """Return the number of known servers."""
        return len(self._servers)

    @property
    def store_lost_at(self) -> float | None:
        """Return the monotonic time since which the store has not answered, or None."""
        return self._store_lost_at

    def replace_config_if_newer(self, config: routing.RoutingConfig) -> bool:
        """Replace the configuration if a newer one is given; return whether it was newer."""
        if self._config is not None and config.version <= self._config.version:
            return False
        self._config = config
        return True

    def set_evacuated(self, domains: frozenset[ids.FailureDomain]) -> None:
        """Replace the evacuated failure domains."""
        self._evacuated = domains

    def record_outage(self, now: float) -> None:
        """Record that the store does not answer.

        Args:
            now: Monotonic time in seconds.
        """
        if self._store_lost_at is None:
            self._store_lost_at = now

    def record_answer(self, now: float) -> None:
        """Record that the store answers, and begin the grace period after an outage.

        Args:
            now: Monotonic time in seconds.
        """
        if self._store_lost_at is None:
            return
        if now - self._store_lost_at >= _MIN_OUTAGE_S:
            self._grace_until = now + GRACE_PERIOD_S
        self._store_lost_at = None

    def is_listing_old(self, now: float) -> bool:
        """Return whether a server may run anew while its entry of the former run is known.

        Args:
            now: Monotonic time in seconds.
        """
        return self._store_lost_at is not None or now < self._grace_until

    def record_older_copy(self, now: float) -> None:
        """Record that the store came back from an older copy, and begin the grace period.

        Args:
            now: Monotonic time in seconds.
        """
        self._grace_until = max(self._grace_until, now + GRACE_PERIOD_S)

    def put_from_copy(self, entry: servers.ServerEntry, now: float) -> None:
        """Add or replace a server's entry from an older copy of the store, unless it is older.

        The entry of a server that was removed here is not used until it must have expired.

        Args:
            entry: The entry.
            now: Monotonic time in seconds.
        """
        known = self._servers.get(entry.name)
        removed = self._removed.get(entry.name)
        if known is not None and entry.is_older_than(known.entry):
            known.grace_until = None
        elif known is None and removed is not None and not removed.entry.is_older_than(entry):
            self._doubtful[entry.name] = _DoubtfulServer(entry, now + _COPY_EXPIRY_S)
        else:
            self.put(entry, now)

    def put(self, entry: servers.ServerEntry, now: float) -> None:
        """Add or replace a server's entry.

        Args:
            entry: The entry.
            now: Monotonic time in seconds.
        """
        known = self._servers.get(entry.name)
        cold_until = now + entry.cold_s if entry.cold_s > 0 else 0.0
        if known is not None and known.entry.cold_s == entry.cold_s:
            # The server wrote another field. Unless it was restarted, its cold time counts from
            # its first entry; otherwise, a change of its slots would make it cold for longer.
            is_same_start = known.entry.started_at_ms == entry.started_at_ms
            cold_until = known.cold_until if is_same_start else cold_until
        if entry.name in self._leaving_unsure and self._leaving.get(entry.name) != entry.run:
            self.hold_back(entry.name, now)
        self._servers[entry.name] = _KnownServer(entry, cold_until)
        self._doubtful.pop(entry.name, None)
        self._removed.pop(entry.name, None)

    def remove(self, name: ids.Server, now: float) -> None:
        """Remove a server whose entry is missing from the store.

        During the grace period after an outage the server stays in use until the period ends,
        unless it was draining: a draining server removes its entry on purpose.

        Args:
            name: The server.
            now: Monotonic time in seconds.
        """
        self._doubtful.pop(name, None)
        known = self._servers.get(name)
        if known is None:
            return
        is_draining = known.entry.state is servers.ServerState.DRAINING
        if now < self._grace_until and not is_draining:
            if known.grace_until is None:
                known.grace_until = self._grace_until
            return
        self._forget(name, now)

    def _forget(self, name: ids.Server, now: float) -> None:
        """Remove a server, and remember its latest entry for a while."""
        for other, removed in list(self._removed.items()):
            if now - removed.removed_at <= _REMOVED_MEMORY_S:
                # They are in the order of their removal.
                break
            del self._removed[other]
        self._removed[name] = _RemovedServer(self._servers.pop(name).entry, now)
        self._forget_left()

    def _forget_left(self) -> None:
        """Forget that servers leave which are gone for so long that they cannot come back."""
        for name in list(self._leaving):
            if name not in self._servers and name not in self._removed:
                del self._leaving[name]
                self._leaving_unsure.discard(name)

    @property
    def leaving(self) -> list[servers.ServerRun]:
        """Return the runs of servers that leave, as they said."""
        return list(self._leaving.values())

    def record_leaving(self, run: servers.ServerRun, now: float) -> bool:
        """Record that a server leaves; return whether this is news.

        It gets no further requests, whatever its entry says, until it runs anew. If the listing
        is old, the next run that it names may be the one that leaves.

        Args:
            run: Run of the server; any other run than the present one is ignored.
            now: Monotonic time in seconds.
        """
        if self.run_of(run.server) != run or self._leaving.get(run.server) == run:
            return False
        self._leaving[run.server] = run
        if self.is_listing_old(now):
            self._leaving_unsure.add(run.server)
        else:
            self._leaving_unsure.discard(run.server)
        return True

    def hold_back(self, server: ids.Server, now: float) -> None:
        """Let a server get no requests until its entry must tell whether it leaves.

        Args:
            server: The server.
            now: Monotonic time in seconds.
        """
        self._leaving_unsure.discard(server)
        self._held_back[server] = now + _COPY_EXPIRY_S

    def end_holds(self, now: float) -> None:
        """Let the servers get requests again that were held back for long enough.

        Args:
            now: Monotonic time in seconds.
        """
        for name in [name for name, until in self._held_back.items() if now >= until]:
            del self._held_back[name]

    def run_of(self, name: ids.Server) -> servers.ServerRun | None:
        """Return the present run of a server, or None if it is not known."""
        known = self._servers.get(name)
        return known.entry.run if known is not None else None

    def retain(self, names: frozenset[ids.Server], now: float) -> None:
        """Remove the servers whose entries the store does not list.

        Args:
            names: Servers whose entries the store lists.
            now: Monotonic time in seconds.
        """
        for name in [name for name in (*self._servers, *self._doubtful) if name not in names]:
            self.remove(name, now)

    def entry(self, name: ids.Server) -> servers.ServerEntry | None:
        """Return the entry of a server, or None if it is not known."""
        known = self._servers.get(name)
        return known.entry if known is not None else None

    def has_address(self, address: str) -> bool:
        """Return whether a known server has an address."""
        return any(known.entry.address == address for known in self._servers.values())

    def usable_addresses(self) -> list[str]:
        """Return the addresses of the servers that may get requests."""
        usable = (name for name in self._servers if self.is_usable(name))
        return [self._servers[name].entry.address for name in usable]

    def usable_entry_at(self, address: str) -> servers.ServerEntry | None:
        """Return the entry of a server at an address that may get requests, or None."""
        for name, known in self._servers.items():
            if known.entry.address == address and self.is_usable(name):
                return known.entry
        return None

    def is_usable(self, name: ids.Server) -> bool:
        """Return whether a server is known and may get requests."""
        known = self._servers.get(name)
        if known is None:
            return False
        return (
            known.entry.state is servers.ServerState.READY
            and self._leaving.get(name) != known.entry.run
            and name not in self._held_back
            and known.entry.failure_domain not in self._evacuated
            and not self.is_fully_drained(known.entry)
        )

    def servers(self, now: float) -> list[ServerView]:
        """Return the servers that may get requests, and remove those past their grace period.

        Args:
            now: Monotonic time in seconds.
        """
        for name, known in list(self._servers.items()):
            if known.grace_until is not None and now >= known.grace_until:
                self._forget(name, now)
        for doubtful in list(self._doubtful.values()):
            if now >= doubtful.doubted_until:
                self.put(doubtful.entry, now)
        self.end_holds(now)
        return [
            ServerView(known.entry, known.cold_until)
            for name, known in self._servers.items()
            if self.is_usable(name)
        ]

    def servers_of(self, service: ids.Service, now: float) -> list[ServerView]:
        """Return the servers of a service that may get requests.

        Args:
            service: The service.
            now: Monotonic time in seconds.
        """
        return [view for view in self.servers(now) if view.entry.service == service]
