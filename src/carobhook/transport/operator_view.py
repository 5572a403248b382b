"""Gives the operators' interface access to the state of an instance and of its peers."""

from collections.abc import Callable, Mapping

import attrs

from carobhook.coordination import (
    catalog,
    membership,
    objects,
    operator_queries,
    order_commands,
    steering,
)
from carobhook.protocol import slot_messages
from carobhook.state import ids
from carobhook.transport import member_streams, operator_api, slot_allocator


@attrs.frozen
class OperatorView:
    """Parts of an instance that orders and queries need.

    Attributes:
        server_catalog: Servers and configuration.
        orders: Steering by the orders in force.
        streams: Streams to the other instances.
        allocator: Source of the loads of this instance's shards.
        regions: Regions by failure domain.
    """

    server_catalog: catalog.Catalog
    orders: steering.Steering
    streams: member_streams.MemberStreams
    allocator: slot_allocator.SlotAllocator
    regions: Mapping[ids.FailureDomain, ids.Region]

    def instance_access(
        self, store: objects.ObjectStore, seconds: Callable[[], float]
    ) -> operator_api.InstanceAccess:
        """Return the functions by which the operators' interface uses these parts.

        Args:
            store: The store, which keeps the orders.
            seconds: Returns the monotonic time in seconds.
        """
        return operator_api.InstanceAccess(
            store,
            lambda loads: self._instance_view(loads, seconds()),
            lambda: self._known_names(seconds()),
            lambda message: self._send_load_query(message, seconds()),
            self.allocator.loads,
            lambda: self.orders.in_force,
        )

    def _instance_view(
        self, loads: list[slot_messages.ShardLoad], now: float
    ) -> operator_queries.InstanceView:
        return operator_queries.InstanceView(
            self.orders,
            self.server_catalog.config,
            self.server_catalog.servers(now),
            self.streams.membership.live(now),
            loads,
            dict(self.regions),
        )

    def _known_names(self, now: float) -> order_commands.KnownNames:
        config = self.server_catalog.config
        return order_commands.KnownNames(
            self.regions,
            tuple(config.services) if config is not None else (),
            tuple(route.name for route in config.routes) if config is not None else (),
            [view.entry.name for view in self.server_catalog.servers(now)],
        )

    def _send_load_query(self, message: slot_messages.LoadQuery, now: float) -> int:
        """Send a query to the relays, which run the shards; return how many were reached."""
        live = self.streams.membership.live(now)
        relays = [
            member.name
            for region in set(self.regions.values())
            for member in membership.relays(live, region)
        ]
        return sum(self.streams.send(name, message) for name in relays)
