"""Finds instances that apply a newer version of an object than this one.

Load pattern: a change is in force at most instances, while the calls and the source of one of
them are stuck. Heartbeats tell that instance which versions others apply, on other paths than
its own to the store, so it asks one of them for the object.
"""

import random
from collections.abc import Callable, Collection, Mapping

import attrs

from carobhook.state import ids

_MAX_DOUBLINGS = 3


@attrs.define
class NewerVersions:
    """Decides when to ask another instance for an object, and which one.

    Attributes:
        wait_s: Seconds for which a newer version is known before an instance is asked for it,
            as the own source usually brings it sooner. The wait doubles with each request, as
            the answer to the one before may still be on its way.
        rng: Random source of the choice, so that not all instances ask the same one.
    """

    wait_s: float
    rng: random.Random
    _next_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _request_counts: dict[str, int] = attrs.field(factory=dict, init=False)

    def instance_to_ask(
        self,
        kind: str,
        announced: Mapping[ids.InstanceId, int],
        preferred: Callable[[], Collection[ids.InstanceId]],
        now: float,
    ) -> ids.InstanceId | None:
        """Return the instance to ask for an object now, or None.

        The caller must send the request, as the next one is due only after a wait.

        Args:
            kind: Kind of the object.
            announced: Versions, all newer than that of this instance, that others apply.
            preferred: Returns the instances to ask rather than others.
            now: Monotonic time in seconds.
        """
        if not announced:
            self._next_at.pop(kind, None)
            self._request_counts.pop(kind, None)
            return None
        if now < self._next_at.setdefault(kind, now + self.wait_s):
            return None
        count = self._request_counts[kind] = self._request_counts.get(kind, 0) + 1
        self._next_at[kind] = now + self.wait_s * 2 ** min(count, _MAX_DOUBLINGS)
        newest = max(announced.values())
        holders = sorted(name for name, version in announced.items() if version == newest)
        first = preferred()
        return self.rng.choice([name for name in holders if name in first] or holders)
