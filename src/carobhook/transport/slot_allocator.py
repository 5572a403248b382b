"""Routes messages about slots between requests, local dispatchers and other instances."""

import typing
from collections.abc import Callable, Mapping

from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import catalog, membership, steering
from carobhook.protocol import quota_messages, slot_messages
from carobhook.state import allocation, codes, ids
from carobhook.transport import (
    held_messages,
    quota_service,
    shard_dispatchers,
    shard_limits,
    slot_client,
)

# Interval at which shard owners and loans are updated.
_UPDATE_INTERVAL_S = 0.5
# Share of the limit on changes of region that dispatchers use while the directory leads clients
# to other regions, as both changes add up.
_SHARE_BESIDE_DIRECTORY = 0.5

_CODES_BY_NUMBER = {code.number: code for code in codes.Code}


class SlotAllocator:
    """Allocates slots to this instance's requests, and dispatches for the shards it owns.

    It tracks which instance owns each shard, so that requests go to the right dispatcher.

    Args:
        reactor: Source of time and timers.
        own: Name of this instance.
        regions: Regions by failure domain.
        members: Table of the live instances.
        server_catalog: Servers and configuration.
        orders: Operators' orders in force.
        peers: Sends messages to other instances.
        limits: Limits on retries, cold-server requests and loan changes.
        limit_share: Returns the share of each limit that this instance may use for the
            servers of a region.
        quota_terms: Allowance beyond the quotas of accounts, and the share that this instance
            may use of them.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own: ids.InstanceId,
        regions: Mapping[ids.FailureDomain, ids.Region],
        members: membership.Membership,
        server_catalog: catalog.Catalog,
        orders: steering.Steering,
        peers: held_messages.PeerSender,
        limits: shard_limits.SlotLimits,
        limit_share: Callable[[ids.Region], float],
        quota_terms: quota_service.QuotaTerms | None = None,
    ) -> None:
        self._reactor = reactor
        self._own = own
        self._regions = regions
        self._members = members
        self._catalog = server_catalog
        self._peers = peers
        self._held = held_messages.HeldMessages(peers)
        self._owners: dict[slot_client.Shard, ids.InstanceId | None] = {}
        self._updated_at = 0.0
        self._client = slot_client.SlotClient(
            reactor, self._owner_of, self._send, self._deliver, self.update_owners
        )
        self._quotas = quota_service.QuotaService(
            reactor,
            own,
            regions.values(),
            quota_terms or quota_service.QuotaTerms(),
            self._send,
        )
        self._dispatchers = shard_dispatchers.ShardDispatchers(
            reactor,
            own,
            regions,
            server_catalog,
            orders,
            limits,
            self._owner_of,
            self._deliver,
            self._live_names,
            limit_share,
            self._quotas,
        )

    @property
    def pending_count(self) -> int:
        """Return the number of this instance's pending slot requests."""
        return self._client.pending_count

    @property
    def queued_count(self) -> int:
        """Return the number of slot requests in the queues of this instance's dispatchers."""
        return self._dispatchers.queued_count

    @property
    def quota_counters(self) -> tuple[ids.InstanceId, ...]:
        """Return the counter of each group of accounts, for the heartbeats."""
        return self._quotas.counters

    @property
    def quota_figures(self) -> quota_service.QuotaFigures:
        """Return the numbers of tokens and decisions by quotas since the start."""
        return self._quotas.figures

    @property
    def limited_count(self) -> int:
        """Return the number of servers whose answers to this instance name a limit."""
        return self._client.limited_count

    @property
    def dispatch_s(self) -> float:
        """Return the seconds that the dispatchers took for their decisions since the start."""
        return self._dispatchers.dispatch_s

    def request_slot(
        self, request: allocation.SlotRequest, region: ids.Region
    ) -> defer.Deferred:
        """Request a slot; the result fires with `SlotGrant` or `SlotRefusal`.

        Cancelling the result withdraws the request.

        Args:
            request: The slot request.
            region: Region whose dispatcher grants or refuses it.
        """
        return self._client.request_slot(request, region)

    def release_slot(
        self,
        request_id: ids.RequestId,
        outcome: allocation.AttemptOutcome,
        rate: allocation.RateStatement | None = None,
        pace: float | None = None,
    ) -> None:
        """Release a granted slot, and send the outcome of the attempt to its dispatcher.

        Args:
            request_id: Id of the slot request.
            outcome: How the attempt ended.
            rate: What the server's answer says about the rate of requests that it takes, or
                None if there is no answer or it says nothing.
            pace: What the answer says about how long work takes on the server at the moment.
        """
        self._client.release_slot(request_id, outcome, rate, pace)

    def loads(self) -> list[slot_messages.ShardLoad]:
        """Return the loads of the shards that this instance owns."""
        return self._dispatchers.loads()

    def update_owners(self) -> None:
        """Recompute the owner of each known shard, and apply the changes."""
        serving = self._members.serving(self._reactor.seconds())
        for shard, previous in list(self._owners.items()):
            owner = membership.shard_owner(*shard, serving)
            if owner != previous:
                self._change_owner(shard, previous, owner)
        self._quotas.update_members(serving)

    def update_servers(self) -> None:
        """Update all dispatchers after a change of servers, configuration or orders."""
        self._quotas.update_config(self._catalog.config)
        self._dispatchers.update_servers()

    def remove_instance(self, name: ids.InstanceId) -> None:
        """Remove the queued requests of an instance that died or restarted; free its slots."""
        self._held.remove(name)
        self._dispatchers.remove_instance(name)

    def renew_stream(self, name: ids.InstanceId) -> None:
        """Send an instance again what it may have lost with the former stream to it."""
        self._client.renew_owner(name)

    def tick(self) -> None:
        """Decide on queued requests, and update owners and loans at intervals."""
        now = self._reactor.seconds()
        self._held.tick(now)
        elapsed_s = now - self._updated_at
        if elapsed_s >= _UPDATE_INTERVAL_S:
            self._updated_at = now
            self.update_owners()
            self._start_dispatchers()
            self._dispatchers.set_region_change(self._region_change_share(now))
            self._dispatchers.update_loans(elapsed_s, now)
        self._quotas.tick(self._dispatchers.shard_count, self._members.iter_live(now), now)
        self._dispatchers.tick(now)

    def _region_change_share(self, now: float) -> float:
        """Return the share of the limit on changes of region that the directory leaves."""
        is_moving = any(member.moved_share > 0 for member in self._members.iter_live(now))
        return _SHARE_BESIDE_DIRECTORY if is_moving else 1.0

    def handle_message(self, sender: ids.InstanceId, message: typing.Any) -> None:
        """Pass a message about slots to the client or the dispatchers, and answer queries."""
        if isinstance(message, slot_messages.SlotRequested):
            self._dispatchers.handle_request(sender, message)
        elif isinstance(message, slot_messages.SlotRequestWithdrawn):
            self._dispatchers.handle_withdrawal(message)
        elif isinstance(message, slot_messages.SlotReleased):
            self._dispatchers.handle_release(message)
        elif isinstance(message, slot_messages.SlotGranted):
            self._client.handle_grant(sender, message.grant)
        elif isinstance(message, slot_messages.SlotRefused):
            self._client.handle_refusal(_build_refusal(sender, message))
        elif isinstance(message, slot_messages.NotDispatcher):
            self._client.handle_not_dispatcher(message.ask_id)
        elif isinstance(message, slot_messages.HeldSlotsQuery):
            self._send(sender, self._client.held_slots((message.region, message.service)))
        elif isinstance(message, slot_messages.HeldSlotsReport):
            self._dispatchers.handle_held_slots(sender, message)
        elif isinstance(message, slot_messages.LoadQuery):
            loads = tuple(self._dispatchers.loads())
            self._deliver(sender, slot_messages.LoadReport(message.id, loads))
        elif isinstance(message, slot_messages.RegionReport):
            self._dispatchers.handle_region_report(message)
        elif isinstance(message, slot_messages.ServerLimitReport):
            self._dispatchers.handle_limit_report(message)
        elif isinstance(message, quota_messages.QuotaMessage):
            self._quotas.handle_message(sender, message)

    def _send(self, to: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance, which may be this one."""
        if to == self._own:
            self.handle_message(self._own, message)
            return True
        return self._held.send(to, message, self._reactor.seconds())

    def _deliver(self, to: ids.InstanceId, message: typing.Any) -> None:
        """Send a message to an instance, once there is a stream to it."""
        if to == self._own:
            self.handle_message(self._own, message)
        else:
            self._held.deliver(to, message, self._reactor.seconds())

    def _live_names(self) -> list[ids.InstanceId]:
        return [member.name for member in self._members.live(self._reactor.seconds())]

    def _owner_of(self, shard: slot_client.Shard) -> ids.InstanceId | None:
        if shard not in self._owners:
            serving = self._members.serving(self._reactor.seconds())
            self._owners[shard] = membership.shard_owner(*shard, serving)
        return self._owners[shard]

    def _change_owner(
        self,
        shard: slot_client.Shard,
        previous: ids.InstanceId | None,
        owner: ids.InstanceId | None,
    ) -> None:
        """Record and apply a new owner; one that is not applied is applied at the next update.

        Its messages go to the new owner already, so it is recorded first.
        """
        self._owners[shard] = owner
        try:
            self._apply_owner_change(shard, previous, owner)
        except Exception:
            self._owners[shard] = previous
            raise

    def _apply_owner_change(
        self,
        shard: slot_client.Shard,
        previous: ids.InstanceId | None,
        owner: ids.InstanceId | None,
    ) -> None:
        logs.event(
            "dispatcher-changed", region=shard[0], service=shard[1], before=previous, now=owner
        )
        if previous == self._own:
            self._dispatchers.hand_over(shard)
        if owner == self._own:
            self._dispatchers.get_or_create(shard)
        if owner is not None:
            self._client.switch_owner(shard, owner)

    def _start_dispatchers(self) -> None:
        """Start a dispatcher for each shard that this instance owns."""
        config = self._catalog.config
        if config is None:
            return
        for region in set(self._regions.values()):
            for service in config.services:
                if self._owner_of((region, service)) == self._own:
                    self._dispatchers.get_or_create((region, service))


def _build_refusal(
    sender: ids.InstanceId, message: slot_messages.SlotRefused
) -> allocation.SlotRefusal:
    # A number that this version does not know is treated as NO_BACKEND.
    code = _CODES_BY_NUMBER.get(message.code, codes.Code.NO_BACKEND)
    return allocation.SlotRefusal(
        message.ask_id, code, message.retry_after_s, f"{sender}: {message.detail}"
    )
