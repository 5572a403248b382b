"""Joins this instance's asks with the dispatchers that it runs, and with other instances."""

import typing
from collections.abc import Callable, Mapping

from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import catalog, membership, steering
from carobhook.protocol import slot_messages
from carobhook.state import allocation, codes, ids
from carobhook.transport import slot_asks, slot_shards

_REPORT_INTERVAL_S = 0.5

_CODES = {code.number: code for code in codes.Code}


class Peers(typing.Protocol):
    """How the desk reaches other instances."""

    def send(self, name: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance; return False if there is no stream to it."""


class SlotDesk:
    """Knows which instance gives out the slots of each shard, and routes messages about them.

    Args:
        reactor: Source of time and timers.
        own: Name of this instance.
        regions: Regions by failure domain.
        roster: Instances that were heard.
        known: Servers and configuration.
        orders: Operators' orders in force.
        peers: Streams to other instances.
        bounds: What bounds sends.
        visible: Returns the part of a region's instances that was heard lately, of those that
            were heard in the last minutes.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own: ids.InstanceId,
        regions: Mapping[ids.FailureDomain, ids.Region],
        roster: membership.Membership,
        known: catalog.Catalog,
        orders: steering.Steering,
        peers: Peers,
        bounds: slot_shards.SlotBounds,
        visible: Callable[[ids.Region], float],
    ) -> None:
        self._reactor = reactor
        self._own = own
        self._regions = regions
        self._roster = roster
        self._known = known
        self._peers = peers
        self._owners: dict[slot_asks.Shard, ids.InstanceId | None] = {}
        self._reported_at = 0.0
        self._asks = slot_asks.SlotAsks(
            reactor, self._owner_of, self._send, self.members_changed
        )
        self._shards = slot_shards.SlotShards(
            reactor,
            own,
            regions,
            known,
            orders,
            bounds,
            self._owner_of,
            self._send,
            self._live,
            visible,
        )

    @property
    def waiting(self) -> int:
        """Return how many asks of this instance wait."""
        return self._asks.waiting

    def ask(self, ask: allocation.SlotRequest, region: ids.Region) -> defer.Deferred:
        """Ask for a slot; fires with `SlotGrant` or `SlotRefusal`; cancelling withdraws.

        Args:
            ask: The ask.
            region: Region whose dispatcher is asked.
        """
        return self._asks.ask(ask, region)

    def ended(self, ask_id: ids.RequestId, end: allocation.AttemptOutcome) -> None:
        """Give a granted slot back."""
        self._asks.ended(ask_id, end)

    def loads(self) -> list[slot_messages.ShardLoad]:
        """Return how busy the shards are that this instance gives out."""
        return self._shards.loads()

    def members_changed(self) -> None:
        """Look again which instances give out slots, and ask the new ones."""
        serving = self._roster.serving(self._reactor.seconds())
        for shard, before in list(self._owners.items()):
            owner = membership.shard_owner(*shard, serving)
            if owner != before:
                self._owners[shard] = owner
                self._owner_changed(shard, before, owner)

    def servers_changed(self) -> None:
        """Take in a new view of the servers."""
        self._shards.servers_changed()

    def lost(self, name: ids.InstanceId) -> None:
        """Free the slots of an instance that is gone."""
        self._shards.lost(name)

    def tick(self) -> None:
        """Look at what waits, and move the loans between regions."""
        now = self._reactor.seconds()
        elapsed_s = now - self._reported_at
        if elapsed_s >= _REPORT_INTERVAL_S:
            self._reported_at = now
            self.members_changed()
            self._open_shards()
            self._shards.report(elapsed_s, now)
        self._shards.tick(now)

    def received(self, sender: ids.InstanceId, message: typing.Any) -> None:
        """Handle a message about slots."""
        if isinstance(message, slot_messages.SlotRequested):
            self._shards.asked(sender, message)
        elif isinstance(message, slot_messages.SlotRequestWithdrawn):
            self._shards.withdrawn(message)
        elif isinstance(message, slot_messages.SlotReleased):
            self._shards.ended(message)
        elif isinstance(message, slot_messages.SlotGranted):
            self._asks.granted(sender, message.grant)
        elif isinstance(message, slot_messages.SlotRefused):
            self._asks.refused(_refusal(sender, message))
        elif isinstance(message, slot_messages.NotDispatcher):
            self._asks.moved(message.ask_id)
        elif isinstance(message, slot_messages.HeldSlotsQuery):
            self._send(sender, self._asks.held((message.region, message.service)))
        elif isinstance(message, slot_messages.HeldSlotsReport):
            self._shards.told_held(sender, message)
        elif isinstance(message, slot_messages.RegionReport):
            self._shards.told_region(message)

    def _send(self, to: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance, which may be this one."""
        if to == self._own:
            self.received(self._own, message)
            return True
        return self._peers.send(to, message)

    def _live(self) -> list[ids.InstanceId]:
        return [member.name for member in self._roster.live(self._reactor.seconds())]

    def _owner_of(self, shard: slot_asks.Shard) -> ids.InstanceId | None:
        if shard not in self._owners:
            serving = self._roster.serving(self._reactor.seconds())
            self._owners[shard] = membership.shard_owner(*shard, serving)
        return self._owners[shard]

    def _owner_changed(
        self,
        shard: slot_asks.Shard,
        before: ids.InstanceId | None,
        owner: ids.InstanceId | None,
    ) -> None:
        logs.event(
            "dispatcher-changed", region=shard[0], service=shard[1], before=before, now=owner
        )
        if before == self._own:
            self._shards.hand_over(shard)
        if owner == self._own:
            self._shards.open(shard)
        if owner is not None:
            self._asks.owner_changed(shard, owner)

    def _open_shards(self) -> None:
        """Run a dispatcher for each shard that falls to this instance."""
        config = self._known.config
        if config is None:
            return
        for region in set(self._regions.values()):
            for service in config.services:
                if self._owner_of((region, service)) == self._own:
                    self._shards.open((region, service))


def _refusal(
    sender: ids.InstanceId, message: slot_messages.SlotRefused
) -> allocation.SlotRefusal:
    code = _CODES.get(message.code, codes.Code.NO_BACKEND)
    return allocation.SlotRefusal(
        message.ask_id, code, message.retry_after_s, f"{sender}: {message.detail}"
    )
