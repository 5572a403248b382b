"""Rate limits that backend servers name in their answers.

Load pattern: a server in need tells with each answer how many requests a second it takes from
all instances together, and stops to tell when it is well again. A server that gets no requests
tells nothing.
"""

import math
from collections.abc import Mapping

import attrs

from carobhook.state import allocation, ids

# A limit that no answer has repeated for this long is forgotten.
LIFETIME_S = 10.0


@attrs.define
class ServerLimits:
    """Limits that answers have named, until an answer without one, or no answer for a while."""

    _limits: dict[ids.Server, float] = attrs.field(factory=dict, init=False)
    _named_at: dict[ids.Server, float] = attrs.field(factory=dict, init=False)

    def record(
        self, server: ids.Server, statement: allocation.RateStatement | None, now: float
    ) -> bool:
        """Record what an answer of a server says; return whether the limit has changed.

        Args:
            server: The server.
            statement: What the answer says; None if it says nothing of a limit.
            now: Monotonic time in seconds.
        """
        if statement is None:
            return False
        before = self.max_per_s(server, now)
        if statement.max_per_s is None:
            self.forget(server)
        else:
            self._limits[server] = statement.max_per_s
            self._named_at[server] = now
        return before != statement.max_per_s

    def forget(self, server: ids.Server) -> None:
        """Forget the limit of a server, if there is one."""
        self._limits.pop(server, None)
        self._named_at.pop(server, None)

    def max_per_s(self, server: ids.Server, now: float) -> float | None:
        """Return the requests a second that a server takes, or None if it named no limit.

        Args:
            server: The server.
            now: Monotonic time in seconds.
        """
        if now - self._named_at.get(server, -math.inf) > LIFETIME_S:
            return None
        return self._limits[server]

    def in_force(self, now: float) -> Mapping[ids.Server, float]:
        """Return the requests a second of each limited server; forget old limits.

        Args:
            now: Monotonic time in seconds.
        """
        for server, named_at in list(self._named_at.items()):
            if now - named_at > LIFETIME_S:
                self.forget(server)
        return dict(self._limits)
