"""Loans of slots between the dispatcher of a shard and those of other regions."""

import typing
from collections.abc import Callable, Mapping

import attrs

from carobhook.coordination import slot_loans
from carobhook.protocol import slot_messages
from carobhook.state import ids
from carobhook.transport import shard_pools, shard_state


class ShardLoans:
    """Updates what the shards of this instance lend and borrow, and reports it.

    Args:
        reactor: Source of time.
        regions: Regions by failure domain.
        pools: Pools of the dispatchers.
        owner_of: Returns the instance that dispatches for a shard, or None.
        send: Sends a message to an instance, which may be this one.
    """

    def __init__(
        self,
        reactor: typing.Any,
        regions: Mapping[ids.FailureDomain, ids.Region],
        pools: shard_pools.ShardPools,
        owner_of: Callable[[shard_state.Shard], ids.InstanceId | None],
        send: Callable[[ids.InstanceId, typing.Any], object],
    ) -> None:
        self._reactor = reactor
        self._regions = regions
        self._pools = pools
        self._owner_of = owner_of
        self._send = send

    def update(
        self,
        shard: shard_state.Shard,
        state: shard_state.ShardState,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Update the loans of a shard, and report to the other regions' dispatchers.

        Args:
            shard: The shard.
            state: Its state.
            elapsed_s: Seconds since the last update.
            now: Monotonic time in seconds.
        """
        region = shard[0]
        state.update_demand(elapsed_s)
        region_loads = {
            other: slot_loans.RegionLoad(report.slots, report.demand)
            for other, report in state.recent_reports(now).items()
        }
        region_loads[region] = state.load(now)
        if state.demand is not None or not state.has_adopted_loans:
            # What the region's own clients need is unknown right after a takeover.
            targets = slot_loans.target_loans(region, region_loads)
            state.loans.update(targets, region_loads, state.used_slots(now))
        previous = state.lent
        state.recalled.expire(now)
        state.lent = slot_loans.place_loans(
            state.loans.lent, state.lendable_slots(now), state.lent
        )
        state.recalled.recall(previous, state.lent, now)
        if state.lent != previous:
            state.log_loans(region_loads)
        for other in set(self._regions.values()) - {region}:
            self._send_region_report(shard, state, other, region_loads[region])

    def stop_lending(
        self,
        shard: shard_state.Shard,
        state: shard_state.ShardState,
        server: ids.Server,
        now: float,
    ) -> None:
        """Recall all lent slots of a server at once.

        Args:
            shard: The shard of the server.
            state: Its state.
            server: The server.
            now: Monotonic time in seconds.
        """
        borrowers = [region for region, lent in state.lent.items() if server in lent]
        if not borrowers:
            return
        previous = state.lent
        state.lent = {
            region: {name: count for name, count in lent.items() if name != server}
            for region, lent in previous.items()
        }
        state.recalled.recall(previous, state.lent, now)
        self._pools.update_unavailable_slots(state, now)
        load = state.load(now)
        for region in borrowers:
            self._send_region_report(shard, state, region, load)

    def handle_report(
        self, state: shard_state.ShardState, report: slot_messages.RegionReport
    ) -> None:
        """Record the report of another region's dispatcher, and apply its changes.

        Args:
            state: State of the shard that the report is for.
            report: The report.
        """
        shard = (report.receiver, report.service)
        now = self._reactor.seconds()
        previous = state.reports.get(report.region)
        if not report.is_lent_known and previous is not None:
            report = attrs.evolve(report, lent=previous[0].lent)
        state.reports[report.region] = (report, now)
        if previous is not None:
            # The lender knows of the limits of its servers, and lends them again after these.
            for server in dict(previous[0].lent).keys() - dict(report.lent).keys():
                state.limits.forget(server)
        if previous is None or previous[0].lent != report.lent:
            self._pools.update(shard, state)
        elif previous[0].used != report.used:
            self._pools.update_unavailable_slots(state, now)
        if state.adopt_loan(report, now):
            self._pools.update_unavailable_slots(state, now)
            self._send_region_report(shard, state, report.region, state.load(now))
        for server, hashes in report.objects:
            state.dispatcher.pool.record_told_objects(server, hashes)

    def _send_region_report(
        self,
        shard: shard_state.Shard,
        state: shard_state.ShardState,
        receiver: ids.Region,
        load: slot_loans.RegionLoad,
    ) -> None:
        region, service = shard
        owner = self._owner_of((receiver, service))
        if owner is None:
            return
        used = tuple(
            (pooled.name, len(pooled.running))
            for pooled in state.dispatcher.pool.busy_servers
            if pooled.region == receiver
        )
        lent = tuple(state.lent.get(receiver, {}).items())
        now = self._reactor.seconds()
        objects = state.next_digests(receiver, now)
        lender = state.recent_reports(now).get(receiver)
        borrowed = lender.lent if lender is not None else ()
        report = slot_messages.RegionReport(
            service,
            region,
            receiver,
            load.slots,
            load.demand,
            lent,
            used,
            objects,
            borrowed,
            not state.is_awaiting(receiver, now),
        )
        self._send(owner, report)
