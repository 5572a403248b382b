"""State that an entry instance announces to the other instances."""

import enum

import attrs

from carobhook.state import ids, versions

_INITIAL_VERSION = ids.Version(0)
# Share of its weight that an instance announces while its machine is slow. Others then choose
# it neither as a relay nor as a dispatcher if they can.
SLOW_WEIGHT_SHARE = 0.2


class Phase(enum.Enum):
    """Lifecycle phase of an entry instance."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen(cache_hash=True)
class Member:
    """State of an instance, which it announces in its heartbeats.

    Attributes:
        name: Name of the instance.
        incarnation: Id of the current run of its daemon.
        region: Region that it runs in.
        failure_domain: Failure domain that it runs in.
        http: Address at which it accepts client requests, ``host:port``.
        peers: Address at which it accepts streams of other instances, ``host:port``.
        phase: Lifecycle phase.
        version: Version of the configuration that it applies.
        orders_version: Version of the operators' orders that it applies.
        reaches_store: Whether the store answers it; if not, it cannot feed other instances.
        weight: Capacity relative to other instances.
        is_slow: Whether its machine works much slower than usual.
        quota_counters: Counter of each group of accounts by its own view; empty while no
            account has a quota.
        work_time_us: Time that a fixed piece of work takes on its machine, in microseconds; 0
            if unknown.
        moved_share: Share of its clients, from 0 to 1, that directories lead to other regions.
        changed_ms: Monotonic time of its machine, in milliseconds, at which it entered this
            state; 0 if unknown. It orders the states of all its runs.
    """

    name: ids.InstanceId
    incarnation: ids.Incarnation
    region: ids.Region
    failure_domain: ids.FailureDomain
    http: str
    peers: str
    phase: Phase
    version: ids.Version
    orders_version: ids.Version = _INITIAL_VERSION
    reaches_store: bool = True
    weight: float = 1.0
    is_slow: bool = versions.added_field(False, since=2)
    quota_counters: tuple[ids.InstanceId, ...] = versions.added_field((), since=6)
    work_time_us: int = versions.added_field(0, since=8)
    moved_share: float = versions.added_field(0.0, since=8)
    changed_ms: int = versions.added_field(0, since=9)

    def is_order_known(self, other: "Member") -> bool:
        """Return whether it is known which of two states of an instance is the later one."""
        return bool(self.changed_ms and other.changed_ms)

    def is_later_run(self, other: "Member") -> bool:
        """Return whether this state is that of a later run than another one, if known."""
        is_later = self.is_order_known(other) and self.changed_ms > other.changed_ms
        return is_later and self.incarnation != other.incarnation
