"""Counts the tokens of client accounts for all instances.

docs/design/quotas.md derives why the sum over all instances stays within the bound.
"""

import collections
import math
from collections.abc import Mapping

import attrs
import xxhash

from carobhook.protocol import quota_messages
from carobhook.state import client_accounts, ids

# Number of groups of accounts, each with a counter of its own. All instances must use the same.
# More groups would share the work among more instances, and need as many times the messages.
GROUPS = 2
# Part of the rate that dispatchers without an answer admit by themselves, all together.
FALLBACK_SHARE = 0.5
# Part of the allowance beyond the quota for the tokens available or held at a time. The rest
# covers the time in which a counter does not know that a dispatcher admits by itself.
_CAPACITY_SHARE = 0.7
# Part of the tokens available or held at a time that may be in reserves. The rest is left to
# dispatchers that need more than their part.
_RESERVE_SHARE = 0.6
# Instances learn of a partition or of its end at most this long after one another. A new
# counter grants nothing for this time, and one that more instances choose uses no more than
# before.
SETTLE_S = 1.0
# After a longer standstill, others may have taken this instance for dead.
_STANDSTILL_S = 0.8
# Dispatchers send a request every 0.2 s. One that is silent for longer than this may admit by
# itself, which it begins 0.3 s after a request without an answer.
_SILENT_S = 0.4
# A dispatcher counts as admitting by itself for this long after it last said so. This makes up
# for the requests that it admitted before the counter knew.
_FALLBACK_HOLD_S = 1.0
# Tokens of a silent dispatcher count as held for this long. It gives up its own earlier.
HOLDER_LIFETIME_S = 10.0
# Wait stated while all tokens are held by dispatchers, so that none are gained.
_ALL_HELD_WAIT_S = 0.1


@attrs.frozen
class QuotaBounds:
    """Allowance beyond the quotas of accounts.

    Attributes:
        window_s: Length in seconds of the window in which requests are counted.
        over: Allowed excess as a share of the quota.
        slack: Allowed excess in requests per window.
    """

    window_s: float = 0.0
    over: float = 0.0
    slack: float = 0.0

    def capacity(self, quota: client_accounts.Quota) -> float:
        """Return how many tokens of an account may be available or held at a time."""
        return max(1.0, quota.burst + _CAPACITY_SHARE * self._allowance(quota))

    def reserve(self, quota: client_accounts.Quota, weight: float) -> int:
        """Return how many tokens an instance may keep for requests to come.

        Args:
            quota: Quota of the account.
            weight: Share of all dispatchers that run at the instance.
        """
        return max(1, math.floor(_RESERVE_SHARE * self.capacity(quota) * weight))

    def _allowance(self, quota: client_accounts.Quota) -> float:
        return self.over * (quota.rate_per_s * self.window_s + quota.burst) + self.slack


def group_of(account: ids.Account) -> int:
    """Return the group of an account."""
    return xxhash.xxh64_intdigest(account.encode()) % GROUPS


@attrs.define(eq=False)
class _Bucket:
    """Tokens of one account; those that dispatchers hold count towards its capacity.

    Attributes:
        quota: Quota of the account.
        tokens: Tokens available.
        held: Tokens held by each instance, as it last stated, and those granted since.
    """

    quota: client_accounts.Quota
    tokens: float = 0.0
    held: dict[ids.InstanceId, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Holder:
    """An instance that asks for tokens.

    Attributes:
        sequence: Number of its latest request.
        weight: Share of all dispatchers that run there.
        heard_at: Monotonic time in seconds of that request.
        fallback_until: Monotonic time in seconds until which it counts as admitting by itself.
    """

    sequence: int
    weight: float
    heard_at: float
    fallback_until: float = -math.inf


class QuotaCounter:
    """Token buckets of the accounts of one group.

    The buckets are empty at first and after a standstill.

    Args:
        bounds: Allowance beyond the quotas.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._quotas: Mapping[ids.Account, client_accounts.Quota] = {}
        self._buckets: dict[ids.Account, _Bucket] = {}
        self._holders: dict[ids.InstanceId, _Holder] = {}
        self._shares: collections.deque[tuple[float, float]] = collections.deque()
        self._share = 0.0
        self._is_counter = False
        self._starts_at = math.inf
        self._refilled_at = -math.inf
        self.granted_count = 0

    @property
    def is_counter(self) -> bool:
        """Return whether this instance counts the group."""
        return self._is_counter

    def set_quotas(self, quotas: Mapping[ids.Account, client_accounts.Quota]) -> None:
        """Set the quotas of the group's accounts; lower ones reduce their buckets at once."""
        self._quotas = quotas
        for account in self._buckets.keys() - quotas.keys():
            del self._buckets[account]
        for account, bucket in self._buckets.items():
            bucket.quota = quotas[account]
            bucket.tokens = min(bucket.tokens, self._room(bucket))
        self._add_buckets()

    def update(self, is_counter: bool, chosen_share: float, now: float) -> None:
        """Record whether this instance counts the group, and for how many instances.

        Args:
            is_counter: Whether this instance is the counter by its own view.
            chosen_share: Share of all known instances whose counter it is by their view.
            now: Monotonic time in seconds.
        """
        self._refill(now)
        if is_counter and not self._is_counter:
            self._starts_at = now + SETTLE_S
        if not is_counter:
            self._buckets.clear()
            self._holders.clear()
        self._is_counter = is_counter
        self._add_buckets()
        self._shares.append((now, chosen_share))
        # The latest sample from before the interval still held when it began, so it stays.
        while len(self._shares) > 1 and self._shares[1][0] <= now - SETTLE_S:
            self._shares.popleft()
        for name, holder in list(self._holders.items()):
            if now - holder.heard_at > HOLDER_LIFETIME_S:
                self._remove_holder(name)
        self._share = min(self._chosen_share, self._counted_share(now))
        for bucket in self._buckets.values():
            bucket.tokens = min(bucket.tokens, self._room(bucket))

    def answer(
        self, sender: ids.InstanceId, request: quota_messages.QuotaRequest, now: float
    ) -> quota_messages.QuotaGrant | None:
        """Return the answer to a request, or None if this instance is not the counter.

        Args:
            sender: Instance that asks.
            request: The request.
            now: Monotonic time in seconds.
        """
        self._refill(now)
        if not self._is_counter:
            return None
        holder = self._holders.setdefault(sender, _Holder(-1, 0.0, now))
        if request.sequence <= holder.sequence:
            return None
        if request.is_fallback or now - holder.heard_at > _SILENT_S:
            holder.fallback_until = now + _FALLBACK_HOLD_S
        holder.sequence, holder.weight, holder.heard_at = request.sequence, request.weight, now
        if request.is_whole:
            for bucket in self._buckets.values():
                bucket.held.pop(sender, None)
        is_starting = now < self._starts_at
        answers = []
        for entry in request.entries:
            if entry.account not in self._buckets:
                continue
            bucket = self._buckets[entry.account]
            bucket.held[sender] = entry.held
            bucket.tokens = min(bucket.tokens + entry.returned, self._room(bucket))
            if not is_starting:
                answers.append(self._grant(bucket, sender, entry))
        return quota_messages.QuotaGrant(
            request.group, request.sequence, is_starting, tuple(answers)
        )

    @property
    def _chosen_share(self) -> float:
        return min(share for _, share in self._shares)

    def _counted_share(self, now: float) -> float:
        """Return the share of the rate that dispatchers do not admit by themselves."""
        in_fallback = sum(
            holder.weight
            for holder in self._holders.values()
            if now < holder.fallback_until or now - holder.heard_at > _SILENT_S
        )
        return max(0.0, 1.0 - FALLBACK_SHARE * in_fallback)

    def _grant(
        self, bucket: _Bucket, sender: ids.InstanceId, entry: quota_messages.QuotaEntry
    ) -> quota_messages.QuotaAnswer:
        """Grant tokens to waiting requests, and to the reserve if many are left."""
        tokens = max(0, min(entry.urgent, math.floor(bucket.tokens)))
        if tokens == entry.urgent:
            spare = bucket.tokens - tokens - self._capacity(bucket) / 2
            tokens += max(0, min(entry.wanted, math.floor(spare)))
        bucket.tokens -= tokens
        bucket.held[sender] += tokens
        self.granted_count += tokens
        wait_s = self._wait_s(bucket) if tokens < entry.urgent else 0.0
        return quota_messages.QuotaAnswer(entry.account, tokens, wait_s * 1000)

    def _wait_s(self, bucket: _Bucket) -> float:
        """Return the seconds until the bucket has a token."""
        rate = bucket.quota.rate_per_s * self._share
        if rate <= 0 or self._room(bucket) < 1:
            return _ALL_HELD_WAIT_S
        return max(0.0, 1 - bucket.tokens) / rate

    def _capacity(self, bucket: _Bucket) -> float:
        """Return how many tokens may be available or held, by this counter's share."""
        share = self._chosen_share if self._shares else 1.0
        return max(1.0, self._bounds.capacity(bucket.quota) * share)

    def _room(self, bucket: _Bucket) -> float:
        """Return the most tokens that the bucket may keep."""
        return max(0.0, self._capacity(bucket) - sum(bucket.held.values()))

    def _refill(self, now: float) -> None:
        """Add the tokens gained since the last call, or empty all after a standstill."""
        elapsed_s = now - self._refilled_at
        if elapsed_s > _STANDSTILL_S:
            for bucket in self._buckets.values():
                bucket.tokens = 0.0
            self._starts_at = max(self._starts_at, now + SETTLE_S) if self._is_counter else now
            self._shares.clear()
            self._shares.append((now, 0.0))
        elif now >= self._starts_at:
            for bucket in self._buckets.values():
                gained = elapsed_s * self._share * bucket.quota.rate_per_s
                bucket.tokens = min(bucket.tokens + gained, self._room(bucket))
        self._refilled_at = now

    def _add_buckets(self) -> None:
        """Begin to count the accounts that have no bucket yet."""
        if self._is_counter and len(self._buckets) < len(self._quotas):
            for account, quota in self._quotas.items():
                self._buckets.setdefault(account, _Bucket(quota))

    def _remove_holder(self, name: ids.InstanceId) -> None:
        del self._holders[name]
        for bucket in self._buckets.values():
            bucket.held.pop(name, None)
