"""Instances and backend servers as other instances see them."""

import enum

import attrs

from carobhook.state import ids

_NO_ORDERS = ids.Version(0)


class Phase(enum.Enum):
    """Phase of an instance or backend server."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen(cache_hash=True)
class Member:
    """What an instance says of itself in a heartbeat.

    Attributes:
        name: Name of the instance.
        incarnation: Id of this run of its daemon.
        region: Its region.
        failure_domain: Its failure domain.
        http: Its address for callers, ``host:port``.
        peers: Its address for other instances, ``host:port``.
        phase: Its phase.
        version: Version of the configuration in force there.
        orders_version: Version of the operators' orders in force there.
        reaches_store: Whether the store answers it, so that it can follow it for others.
        weight: How much it can carry, relative to other instances.
    """

    name: ids.InstanceId
    incarnation: ids.Incarnation
    region: ids.Region
    failure_domain: ids.FailureDomain
    http: str
    peers: str
    phase: Phase
    version: ids.Version
    orders_version: ids.Version = _NO_ORDERS
    reaches_store: bool = True
    weight: float = 1.0
