"""Backend servers that turned a request away and want a rest from the instance that sent it."""

from collections.abc import Callable

import attrs

from carobhook.state import ids, servers

# No rest is longer than this, whatever a server names.
_MAX_REST_S = 300.0


@attrs.frozen
class _Rest:
    """A run of a server, and the monotonic time in seconds until which it rests.

    The run is None if it is not sure which one of the server asked for the rest.
    """

    run: servers.ServerRun | None
    ends_at: float


@attrs.define
class Rests:
    """Servers that want no requests from this instance for a while."""

    _rests: dict[ids.Server, _Rest] = attrs.field(factory=dict, init=False)

    def add(
        self, run: servers.ServerRun, rest_s: float, now: float, *, is_sure: bool = True
    ) -> None:
        """Add a server, or prolong its rest.

        Args:
            run: Run of the server.
            rest_s: Seconds for which it wants no requests.
            now: Monotonic time in seconds.
            is_sure: Whether it was this run that asked for it, rather than the next one.
        """
        ends_at = now + min(rest_s, _MAX_REST_S)
        known = self._rests.get(run.server)
        if known is None or known.run not in (None, run) or known.ends_at < ends_at:
            self._rests[run.server] = _Rest(run if is_sure else None, ends_at)

    def is_resting(self, server: ids.Server, now: float) -> bool:
        """Return whether a server wants no requests from this instance now."""
        rest = self._rests.get(server)
        return rest is not None and now < rest.ends_at

    def resting(self, now: float) -> frozenset[ids.Server]:
        """Return the servers that want no requests now, and forget the others."""
        for server in [s for s, rest in self._rests.items() if now >= rest.ends_at]:
            del self._rests[server]
        return frozenset(self._rests)

    def retain(self, current_run: Callable[[ids.Server], servers.ServerRun | None]) -> None:
        """Forget the servers that are gone or run anew.

        Args:
            current_run: Returns the present run of a server, or None if it is gone.
        """
        for server, rest in list(self._rests.items()):
            present = current_run(server)
            if present is None or rest.run not in (None, present):
                del self._rests[server]
