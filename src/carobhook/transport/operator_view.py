"""What operators' questions are answered from, gathered from one instance and its peers."""

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
    """Knows where an instance keeps what operators ask for.

    Attributes:
        known: Servers and configuration.
        orders: Operators' orders in force.
        streams: Streams to the other instances.
        allocator: Dispatchers of this instance.
        regions: Regions by failure domain.
    """

    known: catalog.Catalog
    orders: steering.Steering
    streams: member_streams.MemberStreams
    allocator: slot_allocator.SlotAllocator
    regions: Mapping[ids.FailureDomain, ids.Region]

    def ports(
        self, store: objects.ObjectStore, seconds: Callable[[], float]
    ) -> operator_api.OperatorPorts:
        """Return what the operators' interface needs.

        Args:
            store: The store.
            seconds: Returns the monotonic time in seconds.
        """
        return operator_api.OperatorPorts(
            store,
            lambda loads: self._view(loads, seconds()),
            lambda: self._names(seconds()),
            lambda message: self._ask_loads(message, seconds()),
            self.allocator.loads,
        )

    def _view(
        self, loads: list[slot_messages.ShardLoad], now: float
    ) -> operator_queries.InstanceView:
        return operator_queries.InstanceView(
            self.orders,
            self.known.config,
            self.known.servers(now),
            self.streams.membership.live(now),
            loads,
            dict(self.regions),
        )

    def _names(self, now: float) -> order_commands.KnownNames:
        config = self.known.config
        return order_commands.KnownNames(
            self.regions,
            tuple(config.services) if config is not None else (),
            tuple(route.name for route in config.routes) if config is not None else (),
            [view.entry.name for view in self.known.servers(now)],
        )

    def _ask_loads(self, message: slot_messages.LoadQuery, now: float) -> int:
        """Ask the instances that can give out slots; return how many were reached."""
        live = self.streams.membership.live(now)
        able = [
            member.name
            for region in set(self.regions.values())
            for member in membership.relays(live, region)
        ]
        return sum(self.streams.send(name, message) for name in able)
