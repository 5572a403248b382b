"""Asks for slots of this instance's requests, and keeps what they hold."""

import typing
from collections.abc import Callable

import attrs
from twisted.internet import defer

from carobhook.coordination import dispatcher
from carobhook.protocol import slot_messages
from carobhook.state import allocation, codes, ids

Shard = tuple[ids.Region, ids.Service]

_MOVED_RETRY_S = 0.02
# A stream that ended with its instance's last run is open again within this time of its start.
_STREAM_WAIT_S = 0.25
_STREAM_RETRY_S = 0.05


@attrs.define(eq=False)
class _Pending:
    """An ask without an answer."""

    ask: allocation.SlotRequest
    region: ids.Region
    answered: defer.Deferred
    owner: ids.InstanceId | None = None
    unsent_since: float | None = None

    @property
    def shard(self) -> Shard:
        """Return whose dispatcher decides it."""
        return self.region, self.ask.service


@attrs.define(eq=False)
class _Held:
    """A slot that a request holds."""

    ask: allocation.SlotRequest
    region: ids.Region
    server: ids.Server
    owner: ids.InstanceId

    @property
    def shard(self) -> Shard:
        """Return whose dispatcher counts it."""
        return self.region, self.ask.service


class SlotAsks:
    """Owns the asks of this instance and the slots that its requests hold.

    Args:
        reactor: Source of time and timers.
        owner_of: Returns the instance that gives out the slots of a shard, or None.
        send: Sends a message to an instance, this one included; returns False if there is no
            stream to it.
        look_again: Looks again which instances give out slots.
    """

    def __init__(
        self,
        reactor: typing.Any,
        owner_of: Callable[[Shard], ids.InstanceId | None],
        send: Callable[[ids.InstanceId, typing.Any], bool],
        look_again: Callable[[], object],
    ) -> None:
        self._reactor = reactor
        self._owner_of = owner_of
        self._send = send
        self._look_again = look_again
        self._pending: dict[ids.RequestId, _Pending] = {}
        self._held: dict[ids.RequestId, _Held] = {}

    @property
    def waiting(self) -> int:
        """Return how many asks wait."""
        return len(self._pending)

    def ask(self, ask: allocation.SlotRequest, region: ids.Region) -> defer.Deferred:
        """Ask for a slot; fires with `SlotGrant` or `SlotRefusal`; cancelling withdraws.

        Args:
            ask: The ask.
            region: Region whose dispatcher is asked.
        """
        answered: defer.Deferred = defer.Deferred(lambda _: self._withdraw(ask.id))
        pending = _Pending(ask, region, answered)
        self._pending[ask.id] = pending
        self._place(pending)
        return answered

    def ended(self, ask_id: ids.RequestId, end: allocation.AttemptOutcome) -> None:
        """Give a granted slot back."""
        held = self._held.pop(ask_id, None)
        if held is None:
            return
        owner = self._owner_of(held.shard) or held.owner
        self._send(owner, slot_messages.SlotReleased(ask_id, *held.shard, held.server, end))

    def granted(self, owner: ids.InstanceId, grant: allocation.SlotGrant) -> None:
        """Take in a slot."""
        pending = self._pending.get(grant.ask_id)
        if pending is None:
            # It was withdrawn while the grant was on its way.
            return
        self._held[grant.ask_id] = _Held(pending.ask, pending.region, grant.server, owner)
        self._answer(grant)

    def refused(self, refusal: allocation.SlotRefusal) -> None:
        """Take in a refusal."""
        self._answer(refusal)

    def moved(self, ask_id: ids.RequestId) -> None:
        """Ask again, as the instance that was asked gives out the slots no more."""
        pending = self._pending.get(ask_id)
        if pending is None:
            return
        self._look_again()
        if self._owner_of(pending.shard) == pending.owner:
            # The other instance knows more of the members than this one does so far.
            self._reactor.callLater(_MOVED_RETRY_S, self._place_again, ask_id)

    def owner_changed(self, shard: Shard, owner: ids.InstanceId) -> None:
        """Tell a new dispatcher what is held, and ask it for what waits."""
        message = self.held(shard)
        if message.held:
            self._send(owner, message)
        for pending in list(self._pending.values()):
            if pending.shard == shard and pending.owner != owner:
                self._place(pending)

    def held(self, shard: Shard) -> slot_messages.HeldSlotsReport:
        """Return the slots of a shard that requests of this instance hold."""
        held = tuple(
            slot_messages.HeldSlot(ask_id, slot.ask.route, slot.ask.object_key, slot.server)
            for ask_id, slot in self._held.items()
            if slot.shard == shard
        )
        return slot_messages.HeldSlotsReport(*shard, held)

    def _place(self, pending: _Pending) -> None:
        """Send an ask to the instance that gives out the slots."""
        owner = pending.owner = self._owner_of(pending.shard)
        now = self._reactor.seconds()
        if owner is None:
            self._answer(allocation.SlotRefusal(pending.ask.id, codes.Code.NO_BACKEND, 1.0))
        elif self._send(owner, _asked(pending, now)):
            pending.unsent_since = None
        else:
            self._wait_for_stream(pending, now)

    def _wait_for_stream(self, pending: _Pending, now: float) -> None:
        """Try again for a short time, as streams are opened anew after a restart."""
        if pending.unsent_since is None:
            pending.unsent_since = now
        if now - pending.unsent_since >= _STREAM_WAIT_S:
            code = codes.Code.DISPATCHER_SILENT
            detail = f"no stream to {pending.owner}"
            self._answer(allocation.SlotRefusal(pending.ask.id, code, 0.5, detail))
        else:
            self._reactor.callLater(_STREAM_RETRY_S, self._place_again, pending.ask.id)

    def _place_again(self, ask_id: ids.RequestId) -> None:
        pending = self._pending.get(ask_id)
        if pending is not None:
            self._place(pending)

    def _withdraw(self, ask_id: ids.RequestId) -> None:
        pending = self._pending.pop(ask_id, None)
        if pending is not None and pending.owner is not None:
            self._send(
                pending.owner, slot_messages.SlotRequestWithdrawn(ask_id, *pending.shard)
            )

    def _answer(self, decision: dispatcher.Decision) -> None:
        pending = self._pending.pop(decision.ask_id, None)
        if pending is not None:
            pending.answered.callback(decision)


def _asked(pending: _Pending, now: float) -> slot_messages.SlotRequested:
    ask = pending.ask
    return slot_messages.SlotRequested(
        ask.id,
        pending.region,
        ask.service,
        ask.route,
        ask.object_key,
        ask.priority,
        (ask.target_at - now) * 1000,
        (ask.deadline_at - now) * 1000,
        ask.repeat,
        ask.avoided,
        ask.homes,
        ask.domain,
    )
