"""Requests slots from dispatchers, and records which slots this instance's requests hold."""

import typing
from collections.abc import Callable

import attrs
from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import dispatcher, object_handover, server_limits, work_times
from carobhook.protocol import slot_messages
from carobhook.state import allocation, codes, ids

Shard = tuple[ids.Region, ids.Service]

_NOT_DISPATCHER_RETRY_S = 0.02
# A request waits this long for a stream to its dispatcher. After an instance restarts, the
# stream to it opens again in less time. Without the wait, requests would be refused although
# their dispatcher is about to be reachable.
_STREAM_WAIT_S = 0.25
_STREAM_RETRY_S = 0.05
# Requests whose shards are kept, so that slots which they no longer need can be given back.
_MAX_RECENT_REQUESTS = 2048


@attrs.define(eq=False)
class _PendingRequest:
    """A slot request that is not decided yet.

    Attributes:
        request: The slot request.
        region: Region whose dispatcher grants or refuses it.
        result: Fires with the decision.
        owner: Owner of the shard at the last attempt to send the request, None if the shard had
            no owner.
        unsent_since: Monotonic time in seconds of the first attempt to send it that failed for
            lack of a stream, None while none has failed since the last success.
    """

    request: allocation.SlotRequest
    region: ids.Region
    result: defer.Deferred
    owner: ids.InstanceId | None = None
    unsent_since: float | None = None

    @property
    def shard(self) -> Shard:
        """Return the shard whose dispatcher grants or refuses it."""
        return self.region, self.request.service


@attrs.define(eq=False)
class _HeldSlot:
    """A slot that a request holds.

    Attributes:
        request: The slot request.
        region: Region of the shard.
        server: Server of the slot.
        owner: Instance that granted the slot.
    """

    request: allocation.SlotRequest
    region: ids.Region
    server: ids.Server
    owner: ids.InstanceId

    @property
    def shard(self) -> Shard:
        """Return the shard whose dispatcher counts it."""
        return self.region, self.request.service


class SlotClient:
    """Pending slot requests of this instance, and the slots that its requests hold.

    Args:
        reactor: Source of time and timers.
        owner_of: Returns the instance that dispatches for a shard, or None.
        send: Sends a message to an instance, which may be this one; returns False if there is
            no stream to it.
        deliver: Sends a message to an instance, once there is a stream to it.
        update_owners: Recomputes the owners of all shards, and calls `switch_owner` for each
            new one.
    """

    def __init__(
        self,
        reactor: typing.Any,
        owner_of: Callable[[Shard], ids.InstanceId | None],
        send: Callable[[ids.InstanceId, typing.Any], bool],
        deliver: Callable[[ids.InstanceId, typing.Any], object],
        update_owners: Callable[[], object],
    ) -> None:
        self._reactor = reactor
        self._owner_of = owner_of
        self._send = send
        self._deliver = deliver
        self._update_owners = update_owners
        self._pending: dict[ids.RequestId, _PendingRequest] = {}
        self._held: dict[ids.RequestId, _HeldSlot] = {}
        # Shards of the latest requests, in the order of the requests.
        self._recent_shards: dict[ids.RequestId, Shard] = {}
        self._limits: dict[ids.Service, server_limits.ServerLimits] = {}
        self._object_uses = object_handover.ObjectUses()

    @property
    def limited_count(self) -> int:
        """Return the number of servers whose answers to this instance name a limit."""
        now = self._reactor.seconds()
        return sum(len(limits.in_force(now)) for limits in self._limits.values())

    @property
    def pending_count(self) -> int:
        """Return the number of pending slot requests."""
        return len(self._pending)

    def request_slot(
        self, request: allocation.SlotRequest, region: ids.Region
    ) -> defer.Deferred:
        """Request a slot; the result fires with `SlotGrant` or `SlotRefusal`.

        Cancelling the result withdraws the request.

        Args:
            request: The slot request.
            region: Region whose dispatcher grants or refuses it.
        """
        result: defer.Deferred = defer.Deferred(lambda _: self._withdraw(request.id))
        pending = _PendingRequest(request, region, result)
        self._pending[request.id] = pending
        self._recent_shards[request.id] = pending.shard
        if len(self._recent_shards) > _MAX_RECENT_REQUESTS:
            del self._recent_shards[next(iter(self._recent_shards))]
        self._send_request(pending)
        return result

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
        held = self._held.pop(request_id, None)
        if held is None:
            return
        has_changed = rate is not None and self._record_rate(held, rate)
        if rate is not None and rate.max_per_s is None and not has_changed:
            # Nothing to tell: nearly all answers name no limit, as those before did not.
            rate = None
        owner = self._owner_of(held.shard) or held.owner
        self._deliver(
            owner,
            slot_messages.SlotReleased(
                request_id, *held.shard, held.server, outcome, rate, pace
            ),
        )

    def _record_rate(self, held: _HeldSlot, rate: allocation.RateStatement) -> bool:
        """Record what an answer says of its server's limit; return whether that is news."""
        service = held.request.service
        limits = self._limits.setdefault(service, server_limits.ServerLimits())
        has_changed = limits.record(held.server, rate, self._reactor.seconds())
        if has_changed:
            logs.event("server-limit", server=held.server, max_per_s=rate.max_per_s)
        return has_changed

    def handle_grant(self, owner: ids.InstanceId, grant: allocation.SlotGrant) -> None:
        """Record a granted slot, and fire the result of its request."""
        pending = self._pending.get(grant.ask_id)
        if pending is None:
            held = self._held.get(grant.ask_id)
            if held is None or (held.owner, held.server) != (owner, grant.server):
                self._return_slot(owner, grant)
            return
        self._held[grant.ask_id] = _HeldSlot(
            pending.request, pending.region, grant.server, owner
        )
        request = pending.request
        key = work_times.qualified_key(request.route, request.object_key)
        if key is not None:
            now = self._reactor.seconds()
            self._object_uses.record(pending.shard, grant.server, key, now)
        self._resolve(grant)

    def _return_slot(self, owner: ids.InstanceId, grant: allocation.SlotGrant) -> None:
        """Give a slot back that no request waits for.

        Its request was withdrawn, or got a slot from another dispatcher while this one stood
        still.
        """
        shard = self._recent_shards.get(grant.ask_id)
        if shard is not None:
            self._deliver(owner, slot_messages.SlotRequestWithdrawn(grant.ask_id, *shard))

    def handle_refusal(self, refusal: allocation.SlotRefusal) -> None:
        """Fire the result of a refused request."""
        self._resolve(refusal)

    def handle_not_dispatcher(self, request_id: ids.RequestId) -> None:
        """Resend a request that was sent to an instance which is not the dispatcher."""
        pending = self._pending.get(request_id)
        if pending is None:
            return
        self._update_owners()
        if self._owner_of(pending.shard) == pending.owner:
            # The other instance knows of a change of members that this one has yet to learn.
            # Otherwise `switch_owner` has sent the request to the new owner already.
            self._reactor.callLater(_NOT_DISPATCHER_RETRY_S, self._resend, request_id)

    def switch_owner(self, shard: Shard, owner: ids.InstanceId) -> None:
        """Report held slots to a shard's new owner, and send it the pending requests.

        The report is sent even if it is empty: the owner may have been one before, and not know
        what was released meanwhile.
        """
        self._deliver(owner, self.held_slots(shard))
        for pending in list(self._pending.values()):
            if pending.shard == shard and pending.owner != owner:
                self._send_request(pending)

    def renew_owner(self, owner: ids.InstanceId) -> None:
        """Report held slots to an owner, and send it the pending requests, once more.

        The stream to it is a new one. Some of them may be lost with the former stream, as may
        releases, and the owner may have taken its end for the end of this instance.
        """
        pending = [p for p in self._pending.values() if p.owner == owner]
        held = {slot.shard for slot in self._held.values()}
        for shard in held | set(self._recent_shards.values()):
            if self._owner_of(shard) == owner:
                self._deliver(owner, self.held_slots(shard))
        for request in pending:
            self._send_request(request)

    def held_slots(self, shard: Shard) -> slot_messages.HeldSlotsReport:
        """Return a report of the slots of a shard that requests of this instance hold.

        It also holds the limits that servers of the shard's service named to this instance, and
        the objects that its latest requests used there.
        """
        held = tuple(
            slot_messages.HeldSlot(
                request_id, slot.request.route, slot.request.object_key, slot.server
            )
            for request_id, slot in self._held.items()
            if slot.shard == shard
        )
        objects = self._object_uses.latest(shard, self._reactor.seconds())
        return slot_messages.HeldSlotsReport(*shard, held, self._limits_of(shard[1]), objects)

    def _limits_of(self, service: ids.Service) -> tuple[slot_messages.ServerLimit, ...]:
        limits = self._limits.get(service)
        if limits is None:
            return ()
        in_force = limits.in_force(self._reactor.seconds())
        return tuple(slot_messages.ServerLimit(*item) for item in sorted(in_force.items()))

    def _send_request(self, pending: _PendingRequest) -> None:
        """Send a request to the dispatcher of its shard."""
        owner = pending.owner = self._owner_of(pending.shard)
        now = self._reactor.seconds()
        if owner is None:
            self._resolve(
                allocation.SlotRefusal(pending.request.id, codes.Code.NO_BACKEND, 1.0)
            )
        elif self._send(owner, _build_message(pending, now)):
            pending.unsent_since = None
        else:
            self._retry_or_refuse(pending, now)

    def _retry_or_refuse(self, pending: _PendingRequest, now: float) -> None:
        """Schedule a resend, or refuse the request if there was no stream for too long.

        After a restart, instances are ready a moment before all their streams are open.
        """
        if pending.unsent_since is None:
            pending.unsent_since = now
        if now - pending.unsent_since >= _STREAM_WAIT_S:
            code = codes.Code.DISPATCHER_SILENT
            detail = f"no stream to {pending.owner}"
            self._resolve(allocation.SlotRefusal(pending.request.id, code, 0.5, detail))
        else:
            self._reactor.callLater(_STREAM_RETRY_S, self._resend, pending.request.id)

    def _resend(self, request_id: ids.RequestId) -> None:
        pending = self._pending.get(request_id)
        if pending is not None:
            self._send_request(pending)

    def _withdraw(self, request_id: ids.RequestId) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is not None and pending.owner is not None:
            self._deliver(
                pending.owner, slot_messages.SlotRequestWithdrawn(request_id, *pending.shard)
            )

    def _resolve(self, decision: dispatcher.Decision) -> None:
        pending = self._pending.pop(decision.ask_id, None)
        if pending is not None:
            pending.result.callback(decision)


def _build_message(pending: _PendingRequest, now: float) -> slot_messages.SlotRequested:
    request = pending.request
    return slot_messages.SlotRequested(
        request.id,
        pending.region,
        request.service,
        request.route,
        request.object_key,
        request.priority,
        (request.target_at - now) * 1000,
        (request.deadline_at - now) * 1000,
        request.repeat,
        request.avoided,
        request.homes,
        request.domain,
        request.account,
    )
