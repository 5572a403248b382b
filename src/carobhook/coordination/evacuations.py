"""Evacuated failure domains, as the store and its older copies have them."""

from collections.abc import Collection

import attrs

from carobhook.state import ids

# Operators write the evacuations that an older copy of the store lacks again within this time.
# Until then, they stay in force.
_REWRITE_WAIT_S = 4.0


@attrs.define
class Evacuations:
    """Failure domains whose servers must get nothing.

    Load pattern: the store comes back from a copy that is some seconds old, while a failure
    domain is evacuated. The copy lacks the evacuation until the operator writes it again.
    """

    _listed: set[ids.FailureDomain] = attrs.field(factory=set, init=False)
    # Monotonic time in seconds until which an evacuation stays that a copy lacks.
    _kept_until: dict[ids.FailureDomain, float] = attrs.field(factory=dict, init=False)

    def replace(
        self, listed: Collection[ids.FailureDomain], is_older_copy: bool, now: float
    ) -> None:
        """Replace the evacuations by those that the store lists.

        Args:
            listed: Evacuated failure domains.
            is_older_copy: Whether the store has come back from an older copy, which may lack
                some of the evacuations in force.
            now: Monotonic time in seconds.
        """
        kept = self._listed - set(listed) if is_older_copy else set()
        self._kept_until = {
            domain: until for domain, until in self._kept_until.items() if domain not in listed
        } | dict.fromkeys(kept, now + _REWRITE_WAIT_S)
        self._listed = set(listed)

    def begin(self, domain: ids.FailureDomain) -> None:
        """Add an evacuation that was written."""
        self._kept_until.pop(domain, None)
        self._listed.add(domain)

    def end(self, domain: ids.FailureDomain) -> None:
        """End an evacuation that was removed."""
        self._kept_until.pop(domain, None)
        self._listed.discard(domain)

    def in_force(self, now: float) -> frozenset[ids.FailureDomain]:
        """Return the evacuated failure domains.

        Args:
            now: Monotonic time in seconds.
        """
        kept = {domain for domain, until in self._kept_until.items() if now < until}
        return frozenset(self._listed | kept)
