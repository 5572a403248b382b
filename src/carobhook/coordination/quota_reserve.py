"""Tokens that one instance holds for the requests that its dispatchers receive.

One reserve serves all dispatchers of an instance. docs/design/quotas.md has the derivation.
"""

from collections.abc import Mapping

import attrs

from carobhook.coordination import quota_counter, quota_tokens
from carobhook.protocol import quota_messages
from carobhook.state import client_accounts, ids

# A request to a counter without an answer is given up after this time. Requests are then
# admitted from a bucket of this instance.
TIMEOUT_S = 0.3
# Interval of the requests to a counter for which no slot request waits.
_INTERVAL_S = 0.2
# Counters know for longer than this that an instance which they do not hear may admit by itself
# and hold tokens; see `quota_counter.HOLDER_LIFETIME_S`.
_FALLBACK_LIFETIME_S = 8.0
_TOKEN_LIFETIME_S = 8.0
# An account without requests for this long keeps no reserve here, so that others can have it.
# The first request after that waits for the counter, which may be in another region.
_IDLE_S = 20.0
# An account without requests for this long is forgotten.
_FORGET_S = 30.0
# Seconds until the next token that refusals assume while the counter does not answer.
_FALLBACK_WAIT_S = 0.5
# Largest time to return that a refusal states.
_MAX_RETRY_AFTER_S = 5.0
# Longest wait without tokens that is believed; a counter may state a long one in a partition.
_MAX_WAIT_S = 1.0


@attrs.frozen
class Decision:
    """Admission or refusal of a request by the quota of its account.

    Attributes:
        request_id: Id of the slot request.
        is_admitted: Whether the quota allows it to run.
        retry_after_s: Seconds after which tokens are expected, if it is refused.
        detail: Values that a refusal was based on, for the log.
    """

    request_id: ids.RequestId
    is_admitted: bool
    retry_after_s: float = 0.0
    detail: str = ""


class QuotaReserve:
    """Decides which requests their accounts' quotas admit at this instance.

    Args:
        bounds: Allowance beyond the quotas.
        first_sequence: Number of the first request to a counter, higher than that of any
            earlier run of this instance.
    """

    def __init__(self, bounds: quota_counter.QuotaBounds, first_sequence: int = 0) -> None:
        self._bounds = bounds
        self._sequence = first_sequence
        self._quotas: Mapping[ids.Account, client_accounts.Quota] = {}
        self._groups = [quota_tokens.GroupExchange() for _ in range(quota_counter.GROUPS)]
        self._active_groups: frozenset[int] = frozenset()
        # Accounts whose tokens requests without a slot have taken.
        self._taken: dict[ids.RequestId, quota_tokens.AccountTokens] = {}
        self._weight = 0.0
        self._visible_share = 1.0
        self.refused_count = 0
        self.waited_count = 0
        self.fallback_count = 0

    def set_quotas(self, quotas: Mapping[ids.Account, client_accounts.Quota]) -> list[Decision]:
        """Set the quotas of all accounts; return decisions on requests that need none now."""
        self._quotas = quotas
        self._active_groups = frozenset(map(quota_counter.group_of, quotas))
        decisions = []
        for group in self._groups:
            for name, account in list(group.accounts.items()):
                quota = quotas.get(name)
                if quota is not None:
                    account.quota = quota
                    self._return_surplus(account)
                    continue
                decisions += [Decision(request_id, True) for request_id in account.waiting]
                del group.accounts[name]
        return decisions

    def set_weight(self, weight: float, visible_share: float) -> None:
        """Set the part of the rates that this instance may admit by itself.

        Args:
            weight: Share of all dispatchers that run here.
            visible_share: Share of all known instances that it sees.
        """
        has_changed = weight != self._weight
        self._weight, self._visible_share = weight, visible_share
        if has_changed:
            for group in self._groups:
                for account in group.accounts.values():
                    self._return_surplus(account)

    def submit(
        self, request_id: ids.RequestId, name: ids.Account | None, now: float
    ) -> Decision | None:
        """Return the decision on a request, or None if it waits for the counter.

        Args:
            request_id: Id of the slot request.
            name: Account of the request.
            now: Monotonic time in seconds.
        """
        quota = self._quotas.get(name) if name is not None else None
        if name is None or quota is None or request_id in self._taken:
            return Decision(request_id, True)
        group = self._groups[quota_counter.group_of(name)]
        self._drop_old_tokens(group, now)
        account = group.accounts.get(name)
        if account is None:
            account = group.accounts[name] = quota_tokens.AccountTokens(quota, now)
        account.used_at = now
        if account.tokens >= 1:
            account.tokens -= 1
            return self._admit(account, request_id)
        if self._is_silent(group, now) or account.unknown_since is not None:
            return self._admit_fallback(group, account, request_id, now)
        if now < account.refused_until:
            return self._refuse(account, request_id, now, account.refused_until - now)
        account.waiting[request_id] = None
        self.waited_count += 1
        return None

    def record_grant(self, request_id: ids.RequestId) -> None:
        """Record that a request was granted a slot, so that its token is used."""
        account = self._taken.pop(request_id, None)
        if account is not None:
            account.taken -= 1

    def withdraw(self, request_id: ids.RequestId, name: ids.Account | None = None) -> None:
        """Return the token of a request that gets no slot, or end its wait for one.

        Args:
            request_id: Id of the slot request.
            name: Its account if it may be waiting for a token.
        """
        account = self._taken.pop(request_id, None)
        if account is not None:
            account.taken -= 1
            account.tokens += 1
            self._return_surplus(account)
        elif name is not None:
            waiting = self._groups[quota_counter.group_of(name)].accounts.get(name)
            if waiting is not None:
                waiting.waiting.pop(request_id, None)

    def handle_grant(
        self, sender: ids.InstanceId, grant: quota_messages.QuotaGrant, now: float
    ) -> list[Decision]:
        """Add the tokens of an answer; return the decisions that this makes possible.

        An answer to a request that was given up is ignored: the counter takes its tokens as
        lost, as a later request does not name them.

        Args:
            sender: Instance that answers.
            grant: The answer.
            now: Monotonic time in seconds.
        """
        if not 0 <= grant.group < len(self._groups):
            return []
        group = self._groups[grant.group]
        if sender != group.counter or grant.sequence != group.sequence:
            return []
        if now - group.sent_at >= TIMEOUT_S:
            # After a standstill, data may be read before timers run: the counter may have taken
            # this instance for lost meanwhile, and have given its tokens to others.
            self._drop_old_tokens(group, now)
            self._give_up(group)
            return []
        group.sequence = None
        group.answered_at = now
        if grant.is_starting:
            # Nothing is to be had from it yet, so there is nothing to wait for.
            since = group.unanswered_since if group.unanswered_since is not None else now
            group.unanswered_since = min(since, now - TIMEOUT_S)
            return self._decide_fallback(group, now)
        group.unanswered_since = None
        answers = {entry.account: entry for entry in grant.entries}
        decisions = []
        for name, account in group.accounts.items():
            answer = answers.get(name)
            if answer is not None:
                account.unknown_since = None
                decisions += self._handle_answer(account, answer, now)
            elif account.was_named and account.unknown_since is None:
                # The counter applies a configuration in which the account has no quota.
                account.unknown_since = now
        return decisions

    def next_requests(
        self, counters: Mapping[int, ids.InstanceId | None], now: float, is_urgent: bool = False
    ) -> list[tuple[ids.InstanceId, quota_messages.QuotaRequest]]:
        """Return the messages to send now, each with its receiver.

        Args:
            counters: Counter of each group by the view of this instance.
            now: Monotonic time in seconds.
            is_urgent: Whether to return only those for which requests wait.
        """
        requests = []
        for number in self._active_groups:
            group = self._groups[number]
            counter = counters.get(number)
            if counter != group.counter:
                group.counter = counter
                self._give_up(group)
            has_waiting = any(account.waiting for account in group.accounts.values())
            if counter is None:
                if group.unanswered_since is None:
                    group.unanswered_since = now
                continue
            if group.sequence is not None:
                continue
            if not self._weight and not group.weight_reported:
                # Without dispatchers, this instance waits for no answer.
                group.unanswered_since = None
                continue
            if not has_waiting and (is_urgent or now - group.sent_at < _INTERVAL_S):
                continue
            requests.append((counter, self._build_request(number, group, now)))
        return requests

    def advance(self, now: float) -> list[Decision]:
        """Give up requests without an answer; return decisions on requests that waited.

        Args:
            now: Monotonic time in seconds.
        """
        decisions = []
        for group in self._groups:
            if group.sequence is not None and now - group.sent_at >= TIMEOUT_S:
                self._give_up(group)
            self._drop_old_tokens(group, now)
            if self._is_silent(group, now):
                decisions += self._decide_fallback(group, now)
            for name, account in list(group.accounts.items()):
                if account.unknown_since is not None:
                    decisions += self._decide_waiting(group, account, now)
                if now - account.used_at > _IDLE_S:
                    self._return_tokens(account, account.tokens)
                if now - account.used_at > _FORGET_S and not (account.held or account.reported):
                    del group.accounts[name]
        return decisions

    def silent_groups(self, now: float) -> frozenset[int]:
        """Return the groups whose counters do not answer."""
        return frozenset(
            n for n in self._active_groups if self._is_silent(self._groups[n], now)
        )

    def _give_up(self, group: quota_tokens.GroupExchange) -> None:
        """Ignore the answer to the latest request, and report anew what is held."""
        group.sequence, group.is_whole = None, True
        for account in group.accounts.values():
            account.reported = -1

    def _build_request(
        self, number: int, group: quota_tokens.GroupExchange, now: float
    ) -> quota_messages.QuotaRequest:
        entries = []
        for name, account in group.accounts.items():
            urgent = len(account.waiting)
            is_idle = now - account.used_at > _IDLE_S or not self._weight
            limit = 0 if is_idle else self._bounds.reserve(account.quota, self._weight)
            wanted = max(0, limit - account.tokens)
            account.was_named = bool(
                urgent or wanted or account.returned or account.held != account.reported
            )
            if account.was_named:
                entries.append(
                    quota_messages.QuotaEntry(
                        name, urgent, wanted, account.held, account.returned
                    )
                )
                account.reported, account.returned = account.held, 0
        self._sequence += 1
        group.sequence, group.sent_at = self._sequence, now
        group.weight_reported = self._weight
        if group.unanswered_since is None:
            group.unanswered_since = now
        is_whole, group.is_whole = group.is_whole, False
        return quota_messages.QuotaRequest(
            number,
            self._sequence,
            self._weight,
            self._is_silent(group, now),
            is_whole,
            tuple(entries),
        )

    def _handle_answer(
        self,
        account: quota_tokens.AccountTokens,
        answer: quota_messages.QuotaAnswer,
        now: float,
    ) -> list[Decision]:
        account.tokens += answer.tokens
        account.reported += answer.tokens
        decisions = []
        for request_id in list(account.waiting)[: account.tokens]:
            del account.waiting[request_id]
            account.tokens -= 1
            decisions.append(self._admit(account, request_id))
        self._return_surplus(account)
        if answer.wait_ms > 0:
            wait_s = min(answer.wait_ms / 1000, _MAX_WAIT_S)
            account.refused_until = now + wait_s
            decisions += [self._refuse(account, r, now, wait_s) for r in account.waiting]
            account.waiting.clear()
        return decisions

    def _admit(
        self, account: quota_tokens.AccountTokens, request_id: ids.RequestId
    ) -> Decision:
        account.taken += 1
        self._taken[request_id] = account
        return Decision(request_id, True)

    def _refuse(
        self,
        account: quota_tokens.AccountTokens,
        request_id: ids.RequestId,
        now: float,
        wait_s: float,
    ) -> Decision:
        """Return a refusal whose time to return is that of a token not yet promised."""
        self.refused_count += 1
        rate = account.quota.rate_per_s * max(self._weight, 1e-3)
        return_at = max(account.next_return_at, now + wait_s) + 1 / rate
        if return_at - now > _MAX_RETRY_AFTER_S:
            # More callers were refused than tokens come in this time, so the times to return
            # begin again.
            return_at = now + min(_MAX_RETRY_AFTER_S, wait_s + 1 / rate)
        account.next_return_at = return_at
        detail = (
            f"quota rate={account.quota.rate_per_s:g} burst={account.quota.burst:g} "
            f"wait_ms={wait_s * 1000:.0f} waiting={len(account.waiting)}"
        )
        return Decision(request_id, False, return_at - now, detail)

    def _is_silent(self, group: quota_tokens.GroupExchange, now: float) -> bool:
        """Return whether the counter of a group has not answered for too long."""
        since = group.unanswered_since
        return since is not None and now - since >= TIMEOUT_S

    def _decide_fallback(self, group: quota_tokens.GroupExchange, now: float) -> list[Decision]:
        decisions = []
        for account in group.accounts.values():
            decisions += self._decide_waiting(group, account, now)
        return decisions

    def _decide_waiting(
        self, group: quota_tokens.GroupExchange, account: quota_tokens.AccountTokens, now: float
    ) -> list[Decision]:
        waiting, account.waiting = list(account.waiting), {}
        return [self._admit_fallback(group, account, request_id, now) for request_id in waiting]

    def _admit_fallback(
        self,
        group: quota_tokens.GroupExchange,
        account: quota_tokens.AccountTokens,
        request_id: ids.RequestId,
        now: float,
    ) -> Decision:
        """Decide on a request by the bucket for the time without an answer.

        A counter that has never answered does not know of this instance, and would leave it no
        part of the rate.
        """
        since = now
        if group.unanswered_since is not None:
            since = group.unanswered_since + TIMEOUT_S
        elif account.unknown_since is not None:
            since = account.unknown_since
        share = quota_counter.FALLBACK_SHARE * self._weight * self._visible_share
        is_known = now - group.answered_at < _FALLBACK_LIFETIME_S
        rate = account.quota.rate_per_s * share
        if not is_known or not account.fallback.try_consume(rate, since, now):
            return self._refuse(account, request_id, now, _FALLBACK_WAIT_S)
        self.fallback_count += 1
        return Decision(request_id, True)

    def _drop_old_tokens(self, group: quota_tokens.GroupExchange, now: float) -> None:
        """Drop tokens that their counter may take for lost, as after a standstill."""
        if now - group.answered_at > _TOKEN_LIFETIME_S:
            for account in group.accounts.values():
                account.tokens = account.returned = 0

    def _return_surplus(self, account: quota_tokens.AccountTokens) -> None:
        limit = self._bounds.reserve(account.quota, self._weight) if self._weight else 0
        self._return_tokens(account, max(0, account.tokens - limit))

    def _return_tokens(self, account: quota_tokens.AccountTokens, count: int) -> None:
        account.tokens -= count
        account.returned += count
