"""Waits with which an instance follows the store, and its access to others that do."""

import typing
from collections.abc import Callable, Iterable, Mapping

import attrs

from carobhook.coordination import follow_times, object_watch
from carobhook.platform import names
from carobhook.state import ids, members, orders

# No deployment names a bound for operators' orders.
_ORDERS_BOUND_S = 10.0
# One call of a watch of marks waits for so long. Most often there are none, and the other
# instances send theirs as messages.
_MARKS_WAIT_S = 15.0


@attrs.frozen
class FollowTimes:
    """Waits with which the store is followed.

    Attributes:
        by_kind: Waits for changes of each kind of object.
        source: Waits of probes and of the feed.
        marks: Waits of the watch of marks.
    """

    by_kind: Mapping[str, follow_times.KindTimes]
    source: follow_times.SourceTimes
    marks: object_watch.WatchOptions

    @classmethod
    def within(cls, config_s: float, servers_s: float, evacuations_s: float) -> "FollowTimes":
        """Return the waits for the bounds of a deployment.

        Args:
            config_s: Seconds within which a configuration has to be in force.
            servers_s: The same for the state of a backend server.
            evacuations_s: The same for an evacuation.
        """
        bounds_s = {
            names.CONFIG_KIND: config_s,
            names.SERVERS_KIND: servers_s,
            names.EVACUATIONS_KIND: evacuations_s,
            orders.STORE_KIND: _ORDERS_BOUND_S,
        }
        shortest_s = min(bounds_s.values())
        marks = follow_times.KindTimes.within(shortest_s).watch
        return cls(
            {kind: follow_times.KindTimes.within(s) for kind, s in bounds_s.items()},
            follow_times.SourceTimes.within(shortest_s),
            attrs.evolve(marks, wait_s=_MARKS_WAIT_S),
        )


@attrs.frozen
class FeedPeers:
    """Access to the other instances that can feed this one or subscribe to it.

    Attributes:
        own: Name of this instance.
        candidates: Returns the instances of the region that can follow the store for it, in
            order of preference.
        relays: Returns the relays of the region, ready or not.
        members: Returns the live instances of all regions, in any order.
        send: Sends a message to an instance; returns False if there is no stream to it.
        expects_others: Returns whether the settings name other instances.
    """

    own: ids.InstanceId
    candidates: Callable[[], list[ids.InstanceId]]
    relays: Callable[[], list[ids.InstanceId]]
    members: Callable[[], Iterable[members.Member]]
    send: Callable[[ids.InstanceId, typing.Any], bool]
    expects_others: Callable[[], bool] = lambda: True
