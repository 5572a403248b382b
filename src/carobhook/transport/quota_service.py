"""Admits slot requests by their accounts' quotas, and counts quotas for all instances."""

import typing
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import attrs

from carobhook import logs
from carobhook.coordination import membership, quota_counter, quota_reserve
from carobhook.protocol import quota_messages
from carobhook.state import allocation, client_accounts, codes, ids, members, routing

_Resolve = Callable[[allocation.SlotRefusal | None], None]


@attrs.frozen
class QuotaFigures:
    """Numbers of events since the start, for the metrics.

    Attributes:
        granted: Tokens that the counters of this instance granted.
        refused: Requests that dispatchers here refused because of a quota.
        waited: Requests that waited for a counter.
        fallback: Requests admitted without an answer of a counter.
    """

    granted: int
    refused: int
    waited: int
    fallback: int


@attrs.frozen
class QuotaTerms:
    """What an instance needs to know to apply quotas.

    Attributes:
        bounds: Allowance beyond the quotas.
        quota_share: Returns the share of all known instances that this one sees.
        first_sequence: Number of the first request to a counter, higher than that of any
            earlier run of this instance.
    """

    bounds: quota_counter.QuotaBounds = attrs.field(factory=quota_counter.QuotaBounds)
    quota_share: Callable[[], float] = lambda: 1.0
    first_sequence: int = 0


class QuotaService:
    """Quotas at one instance: its dispatchers' tokens, and the groups that it counts.

    Nothing is sent or kept while the configuration has no quota.

    Args:
        reactor: Source of time.
        own: Name of this instance.
        regions: All regions.
        terms: Allowance beyond the quotas, and the share of them that may be used.
        send: Sends a message to an instance, which may be this one.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own: ids.InstanceId,
        regions: Collection[ids.Region],
        terms: QuotaTerms,
        send: Callable[[ids.InstanceId, typing.Any], object],
    ) -> None:
        self._reactor = reactor
        self._own = own
        self._regions = frozenset(regions)
        self._send = send
        self._quota_share = terms.quota_share
        self._reserve = quota_reserve.QuotaReserve(terms.bounds, terms.first_sequence)
        self._counters = [
            quota_counter.QuotaCounter(terms.bounds) for _ in range(quota_counter.GROUPS)
        ]
        self._counter_names: dict[int, ids.InstanceId | None] = {}
        self._table: client_accounts.AccountTable | None = None
        self._has_quotas = False
        self._serving: Sequence[members.Member] = ()
        self._shard_count = 1
        # Requests that wait for tokens, with what is called with the decision.
        self._waiting: dict[ids.RequestId, tuple[allocation.SlotRequest, _Resolve]] = {}
        self._silent_groups: frozenset[int] = frozenset()

    @property
    def figures(self) -> QuotaFigures:
        """Return the numbers for the metrics."""
        return QuotaFigures(
            sum(counter.granted_count for counter in self._counters),
            self._reserve.refused_count,
            self._reserve.waited_count,
            self._reserve.fallback_count,
        )

    @property
    def counters(self) -> tuple[ids.InstanceId, ...]:
        """Return the counter of each group, for the heartbeats of this instance."""
        names = [self._counter_names.get(group) for group in range(quota_counter.GROUPS)]
        return tuple(name or ids.InstanceId("") for name in names) if self._has_quotas else ()

    def submit(self, request: allocation.SlotRequest, resolve: _Resolve) -> None:
        """Decide on a request at once, or when the counter answers.

        Args:
            request: The request.
            resolve: Called with None if it is admitted, else with its refusal.
        """
        if request.repeat or not self._has_quotas:
            resolve(None)
            return
        if request.id in self._waiting:
            self._waiting[request.id] = (request, resolve)
            return
        now = self._reactor.seconds()
        decision = self._reserve.submit(request.id, request.account, now)
        self._waiting[request.id] = (request, resolve)
        if decision is not None:
            self._apply([decision])
        else:
            self._send_requests(now, is_urgent=True)

    def record_grant(self, request_id: ids.RequestId) -> None:
        """Record that a request was granted a slot, so that its token is used."""
        self._reserve.record_grant(request_id)

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Return the token of a request that was refused or withdrawn before its grant."""
        waiting = self._waiting.pop(request_id, None)
        self._reserve.withdraw(request_id, waiting[0].account if waiting is not None else None)

    def update_config(self, config: routing.RoutingConfig | None) -> None:
        """Apply the quotas of a configuration."""
        if config is None:
            return
        self._shard_count = max(1, len(self._regions) * len(config.services))
        if config.accounts is self._table:
            return
        self._table = config.accounts
        quotas = self._table.quotas if self._table is not None else {}
        if not quotas and not self._has_quotas:
            return
        self._has_quotas = bool(quotas)
        for group, counter in enumerate(self._counters):
            counter.set_quotas(
                {a: q for a, q in quotas.items() if quota_counter.group_of(a) == group}
            )
        self._apply(self._reserve.set_quotas(quotas))

    def update_members(self, serving: Sequence[members.Member]) -> None:
        """Choose the counter of each group among the serving relays of all regions."""
        if not self._has_quotas or serving == self._serving:
            return
        self._serving = serving
        regions = {member.region for member in serving}
        relays = [m.name for region in regions for m in membership.relays(serving, region)]
        for group in range(quota_counter.GROUPS):
            order = membership.rendezvous_order(f"quota/{group}", relays)
            counter = ids.InstanceId(order[0]) if order else None
            before = self._counter_names.get(group)
            if counter != before:
                logs.event("quota-counter-changed", group=group, before=before, now=counter)
            self._counter_names[group] = counter

    def tick(self, shard_count: int, live: Iterable[members.Member], now: float) -> None:
        """Update the counters of this instance, and exchange tokens with those of all groups.

        Args:
            shard_count: Number of shards whose dispatchers run here.
            live: The live instances, including this one.
            now: Monotonic time in seconds.
        """
        if not self._has_quotas:
            return
        share = self._quota_share()
        choices = [member.quota_counters for member in live]
        for group, counter in enumerate(self._counters):
            is_counter = self._counter_names.get(group) == self._own
            if is_counter or counter.is_counter:
                # Each instance chooses one counter, so all counters together have the whole.
                chosen = sum(names[group : group + 1] == (self._own,) for names in choices)
                counter.update(is_counter, share * chosen / max(1, len(choices)), now)
        self._reserve.set_weight(min(1.0, shard_count / self._shard_count), share)
        self._apply(self._reserve.advance(now))
        self._send_requests(now)
        self._log_silent_groups(now)

    def handle_message(
        self, sender: ids.InstanceId, message: quota_messages.QuotaMessage
    ) -> None:
        """Answer a request for tokens, or apply an answer."""
        now = self._reactor.seconds()
        if isinstance(message, quota_messages.QuotaGrant):
            self._apply(self._reserve.handle_grant(sender, message, now))
            self._send_requests(now, is_urgent=True)
        elif 0 <= message.group < len(self._counters):
            grant = self._counters[message.group].answer(sender, message, now)
            if grant is not None:
                self._send(sender, grant)

    def _send_requests(self, now: float, is_urgent: bool = False) -> None:
        for counter, request in self._reserve.next_requests(
            self._counter_names, now, is_urgent
        ):
            self._send(counter, request)

    def _apply(self, decisions: Sequence[quota_reserve.Decision]) -> None:
        for decision in decisions:
            waiting = self._waiting.pop(decision.request_id, None)
            if waiting is None:
                self._reserve.withdraw(decision.request_id)
                continue
            request, resolve = waiting
            if decision.is_admitted:
                resolve(None)
                continue
            detail = f"account={request.account} {decision.detail}"
            code = codes.Code.QUOTA_EXCEEDED
            resolve(allocation.SlotRefusal(request.id, code, decision.retry_after_s, detail))

    def _log_silent_groups(self, now: float) -> None:
        """Log the groups whose counters ceased to answer, or answer again."""
        silent = self._reserve.silent_groups(now)
        names: Mapping[int, ids.InstanceId | None] = self._counter_names
        for group in sorted(silent - self._silent_groups):
            logs.warning("quota-counter-silent", group=group, counter=names.get(group))
        for group in sorted(self._silent_groups - silent):
            logs.event("quota-counter-answers", group=group, counter=names.get(group))
        self._silent_groups = silent
