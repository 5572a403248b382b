"""Offers of servers' slots to the dispatchers of the shards of this instance."""

import typing
from collections.abc import Callable, Mapping

from carobhook.coordination import catalog, fair_share, pooled_server, steering
from carobhook.state import ids
from carobhook.transport import shard_limits, shard_state


class ShardPools:
    """Fills the pools of dispatchers with the servers of their region and borrowed ones.

    Args:
        reactor: Source of time.
        regions: Regions by failure domain.
        server_catalog: Servers and configuration.
        orders: Operators' orders in force.
        limits: Limits on retries, cold-server requests and loan changes.
        limit_share: Returns the share of each limit that this instance may use for the
            servers of a region.
    """

    def __init__(
        self,
        reactor: typing.Any,
        regions: Mapping[ids.FailureDomain, ids.Region],
        server_catalog: catalog.Catalog,
        orders: steering.Steering,
        limits: shard_limits.SlotLimits,
        limit_share: Callable[[ids.Region], float],
    ) -> None:
        self._reactor = reactor
        self._regions = regions
        self._catalog = server_catalog
        self._orders = orders
        self._limits = limits
        self._limit_share = limit_share

    def own_share(self, shard: shard_state.Shard, max_per_s: float | None) -> float | None:
        """Return the part of a server's limit that this dispatcher may use.

        Instances that it does not see may have a dispatcher of their own, which uses the rest.

        Args:
            shard: The shard of the dispatcher.
            max_per_s: Requests a second that the server takes, or None for no limit.
        """
        return None if max_per_s is None else max_per_s * self._limit_share(shard[0])

    def update(self, shard: shard_state.Shard, state: shard_state.ShardState) -> None:
        """Update the pool to the servers of the shard's region and the borrowed servers.

        Withheld slots and the share of the retry budget are updated too.

        Args:
            shard: The shard.
            state: Its state.
        """
        now = self._reactor.seconds()
        region, service = shard
        borrowed: dict[ids.Server, int] = {}
        for report in state.recent_reports(now).values():
            borrowed.update(report.lent)
        offers = []
        own_servers = []
        limit_share = self._limit_share(region)
        cold_rate = self._cold_rate(service, limit_share)
        limits = state.limits.in_force(now)
        for view in self._catalog.servers_of(service, now):
            entry = view.entry
            server_region = self._regions.get(entry.failure_domain)
            if server_region is None:
                continue
            if server_region == region:
                own_servers.append(view)
                max_per_s = self.own_share(shard, limits.get(entry.name))
                offers.append(
                    pooled_server.ServerOffer(
                        view, server_region, entry.slots, cold_rate, max_per_s
                    )
                )
            elif entry.name in borrowed and entry.name not in limits and now >= view.cold_until:
                slots = borrowed[entry.name]
                offers.append(pooled_server.ServerOffer(view, server_region, slots, cold_rate))
        state.withheld = self._orders.withheld_slots(service, region, own_servers)
        state.dispatcher.pool.replace(offers, now)
        config = self._catalog.config
        table = config.accounts if config is not None else None
        state.dispatcher.fairness.weights = fair_share.account_weights(table)
        state.dispatcher.retry_budget.share = limit_share
        self.update_unavailable_slots(state, now)

    def update_unavailable_slots(self, state: shard_state.ShardState, now: float) -> None:
        """Update how many slots of each server the dispatcher must not grant.

        These are the slots that orders withhold, that are lent, that were recalled a moment
        ago, and that another region's requests hold in excess of its loan.

        Args:
            state: State of the shard.
            now: Monotonic time in seconds.
        """
        counts: dict[ids.Server, int] = dict(state.withheld)
        state.recalled.expire(now)
        for reserved in (*state.lent.values(), state.recalled.counts):
            for server, count in reserved.items():
                counts[server] = counts.get(server, 0) + count
        for region, report in state.recent_reports(now).items():
            for server, in_use in report.used:
                excess = in_use - state.lent.get(region, {}).get(server, 0)
                if excess > 0:
                    counts[server] = counts.get(server, 0) + excess
        state.dispatcher.pool.set_unavailable_slots(counts, state.withheld)

    def _cold_rate(self, service: ids.Service, limit_share: float) -> float | None:
        """Return the requests a second that a dispatcher may send to a cold server.

        None means no limit.

        Args:
            service: Service of the server.
            limit_share: Share of each limit that this instance may use.
        """
        config = self._catalog.config
        policy = config.services.get(service) if config is not None else None
        if policy is None or policy.cold_requests_per_s <= 0:
            return None
        max_per_s = (
            policy.cold_requests_per_s * self._limits.cold_factor + self._limits.cold_slack
        )
        return pooled_server.cold_rate_limit(policy.cold_requests_per_s, max_per_s, limit_share)
