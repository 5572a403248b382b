"""Chooses the instances that may relay a request to a server."""

import random
from collections.abc import Iterable

import attrs

from carobhook.state import ids, members

# An instance that did not take a request is not asked again for this long.
_AVOID_S = 1.0
# An instance that took none, or lost one, is asked after all others for this long.
_DOUBT_S = 5.0


@attrs.define
class RelayChoice:
    """Order in which other instances are asked to relay requests.

    Load pattern: most instances of a failure domain are cut from the servers at the same time,
    some without noticing, as they have no requests of their own. Those that did not deliver
    come after all others, also after those of other regions, but are never ruled out for long:
    they may be the only ones left, or the server may have been at fault.

    Args:
        rng: Chooses among equals.
        region: Region of this instance.
    """

    _rng: random.Random
    _region: ids.Region
    _avoided_until: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)
    _doubted_until: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)

    def record_refusal(self, name: ids.InstanceId, now: float) -> None:
        """Record that an instance took no request, so that the request was not sent.

        Args:
            name: The instance.
            now: Monotonic time in seconds.
        """
        self._avoided_until = _unexpired(self._avoided_until, now) | {name: now + _AVOID_S}
        self.record_loss(name, now)

    def record_loss(self, name: ids.InstanceId, now: float) -> None:
        """Record that an instance took a request and brought no response.

        Args:
            name: The instance.
            now: Monotonic time in seconds.
        """
        self._doubted_until = _unexpired(self._doubted_until, now) | {name: now + _DOUBT_S}

    def record_response(self, name: ids.InstanceId) -> None:
        """Record that an instance brought the response of a server."""
        self._avoided_until.pop(name, None)
        self._doubted_until.pop(name, None)

    def may_ask(self, name: ids.InstanceId, now: float) -> bool:
        """Return whether to ask an instance, which it may have refused a moment ago.

        Args:
            name: The instance.
            now: Monotonic time in seconds.
        """
        return self._avoided_until.get(name, now) <= now

    def order(
        self, peers: Iterable[members.Member], homes: frozenset[ids.Region], now: float
    ) -> list[members.Member]:
        """Return the instances that may relay, in the order in which they are asked.

        Those of this region come first. Among equals, the order is random, in proportion to
        their weights, so that the requests spread over them.

        Args:
            peers: The other instances that accept new work.
            homes: Regions whose instances may relay the request; empty for all.
            now: Monotonic time in seconds.
        """
        suitable = [peer for peer in peers if not homes or peer.region in homes]
        keys = {
            peer.name: (
                self._doubted_until.get(peer.name, now) > now,
                peer.region != self._region,
                self._rng.expovariate(peer.weight),
            )
            for peer in suitable
        }
        return sorted(suitable, key=lambda peer: keys[peer.name])


def _unexpired(times: dict[ids.InstanceId, float], now: float) -> dict[ids.InstanceId, float]:
    return {name: until for name, until in times.items() if until > now}
