"""Gauges of an instance: what its parts tell whenever its metrics are read."""

from collections.abc import Callable

import attrs

from carobhook import entry_metrics
from carobhook.coordination import catalog, steering
from carobhook.platform import store
from carobhook.state import members
from carobhook.transport import (
    client_connections,
    client_memory,
    entry_requests,
    member_streams,
    own_machine,
    server_access,
    slot_allocator,
    store_sync,
)


@attrs.frozen
class GaugeSources:
    """Parts of an instance that its gauges read.

    Attributes:
        seconds: Returns the monotonic time in seconds.
        server_catalog: Servers and configuration.
        orders: Operators' orders in force.
        streams: Streams to other instances.
        store: The platform's store.
        store_sync: What follows the store.
        allocator: Requests and grants slots.
        servers: Connections to servers.
        client_memory: Memory that is held for clients.
        machine: Measurements of the own machine.
        requests: Returns what handles requests.
        request_listener: Returns the listener of clients' connections.
        phase: Returns the phase of the instance.
        omitted: Returns the number of log lines omitted so far.
    """

    seconds: Callable[[], float]
    server_catalog: catalog.Catalog
    orders: steering.Steering
    streams: member_streams.MemberStreams
    store: store.PlatformStore
    store_sync: store_sync.StoreSync
    allocator: slot_allocator.SlotAllocator
    servers: server_access.ServerAccess
    client_memory: client_memory.ClientMemory
    machine: own_machine.OwnMachine
    requests: Callable[[], entry_requests.EntryRequests]
    request_listener: Callable[[], client_connections.ClientListener]
    phase: Callable[[], members.Phase]
    omitted: Callable[[], int]


def gauges(
    sources: GaugeSources,
) -> dict[entry_metrics.EntryMetric, Callable[[], float]]:
    """Return a function for each gauge that returns its present value."""
    metric = entry_metrics.EntryMetric
    return {
        metric.IN_FLIGHT: lambda: sources.requests().in_flight,
        metric.CLIENT_CONNECTIONS: lambda: sources.request_listener().open_connections,
        metric.CLIENTS_BLOCKED: lambda: sources.request_listener().blocked_connections,
        metric.CLIENT_BYTES: lambda: sources.client_memory.held_bytes,
        metric.SERVER_CONNECTIONS: lambda: sources.servers.opened_count,
        metric.SURPLUS_RESPONSES: lambda: sources.servers.surplus_count,
        metric.STORE_CALLS: lambda: sources.store.calls,
        metric.STORE_LOST: lambda: float(sources.server_catalog.store_lost_at is not None),
        metric.STORE_ERA: lambda: sources.store.era,
        metric.SERVERS: lambda: len(sources.server_catalog.servers(sources.seconds())),
        metric.SERVERS_LIMITED: lambda: sources.allocator.limited_count,
        metric.MEMBERS: lambda: len(sources.streams.membership.serving(sources.seconds())),
        metric.CONFIG_VERSION: lambda: (
            sources.server_catalog.config.version if sources.server_catalog.config else 0
        ),
        metric.CONFIG_AGE: lambda: sources.seconds() - sources.store_sync.config_confirmed_at,
        metric.FEED_RECEIVED: lambda: sources.store_sync.feed_bytes.received,
        metric.FEED_REPEATED: lambda: sources.store_sync.feed_bytes.repeated,
        metric.ORDERS_VERSION: lambda: sources.orders.in_force.version,
        metric.READY: lambda: float(sources.phase() is members.Phase.READY),
        metric.DISPATCH_TIME: lambda: sources.allocator.dispatch_s,
        metric.SLOT_REQUESTS_QUEUED: lambda: sources.allocator.queued_count,
        metric.QUOTA_GRANTED: lambda: sources.allocator.quota_figures.granted,
        metric.QUOTA_REFUSED: lambda: sources.allocator.quota_figures.refused,
        metric.QUOTA_WAITED: lambda: sources.allocator.quota_figures.waited,
        metric.QUOTA_FALLBACK: lambda: sources.allocator.quota_figures.fallback,
        metric.REQUESTS_RELAYED: lambda: sources.servers.exchange.relayed_count,
        metric.PATHS_BROKEN: lambda: sources.servers.exchange.broken_paths,
        metric.MACHINE_SLOWNESS: lambda: sources.machine.slowness,
        metric.PEERS_OLDER: lambda: sources.streams.older_count,
        metric.LINES_OMITTED: sources.omitted,
    }
