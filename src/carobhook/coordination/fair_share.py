"""Fair shares of a dispatcher's slots for client accounts and routes.

Load pattern: the requests need more slots than there are, and one account sends many times its
usual load. By rank alone, that account would take the slots of the others, and the lowest rank
would get none.
"""

import enum
import math
import typing
from collections.abc import Iterable

import attrs

from carobhook.state import allocation, client_accounts, ids

# Time constant in seconds of the exponential decay of work that was requested or granted.
_DECAY_S = 4.0
# The fair shares are computed at most this often, and less often with many accounts. A decision
# then takes about the same time however many there are.
_REVIEW_INTERVAL_S = 0.1
_REVIEW_INTERVAL_PER_ACCOUNT_S = 0.001
# Slots count as scarce while less than this share of the requested work is granted.
_SCARCE_SHARE = 0.95
# Work in slot-seconds below which an account or a route is no longer recent.
_MIN_WORK_S = 0.001
# What an account receives varies by chance. It is beyond its fair share if the excess is more
# than this number of standard deviations. Without this allowance, about half of the accounts
# are beyond at any time, and their urgent requests wait behind less urgent ones of others.
_BEYOND_DEVIATIONS = 2.0
# Less urgent ranks are counted as this one: a client may state any rank, and the sums of each
# must not grow with them.
_MAX_RANK = 15

_Name = typing.TypeVar("_Name", bound=str)


class Standing(enum.IntEnum):
    """Place of a request among those that are in time, before its rank.

    FIRST: Its account or route has received less than its minimum share.
    USUAL: By rank.
    BEYOND: Its account has received more than its fair share.
    """

    FIRST = -1
    USUAL = 0
    BEYOND = 1


@attrs.define
class _Usage:
    """Decayed sums of the work, in slot-seconds, of an account or a route.

    Attributes:
        requested_s: Work that it requested.
        granted_s: Work that it was granted.
        fair_s: Its fair share at the latest review, infinite while slots are not scarce.
        granted_by_rank: Work that it was granted, by the priority of the requests.
        _updated_at: Monotonic time in seconds to which the sums have decayed.
    """

    requested_s: float = 0.0
    granted_s: float = 0.0
    fair_s: float = math.inf
    granted_by_rank: dict[int, float] = attrs.field(factory=dict)
    _updated_at: float = 0.0

    def is_beyond(self, priority: int, work_s: float) -> bool:
        """Return whether requests of a rank have received more than the fair share.

        The share is used by the most urgent requests first, so the work that was granted to
        less urgent ones does not count.

        Args:
            priority: The rank.
            work_s: Work of one request in slot-seconds.
        """
        granted_s = sum(
            granted_s
            for rank, granted_s in self.granted_by_rank.items()
            if rank <= max(0, priority)
        )
        # Standard deviation of the decayed sum of a Poisson process with this mean.
        deviation_s = math.sqrt(self.fair_s * work_s / 2)
        return granted_s > self.fair_s + _BEYOND_DEVIATIONS * deviation_s

    def decay(self, now: float) -> None:
        """Reduce the sums to those of a time, in monotonic seconds."""
        factor = math.exp(-max(0.0, now - self._updated_at) / _DECAY_S)
        self.requested_s *= factor
        self.granted_s *= factor
        for rank in self.granted_by_rank:
            self.granted_by_rank[rank] *= factor
        if self.fair_s < math.inf:
            self.fair_s *= factor
        self._updated_at = max(now, self._updated_at)


@attrs.define
class FairShares:
    """Work that the accounts and routes of a shard requested and were granted recently.

    Args:
        weights: Returns the weight of an account in the fair shares, or None for the mean
            weight. If this is None itself, accounts have no fair shares.
        min_route_share: Share of the requested work that each route and account is granted at
            least, as a multiple of that of all; 0 for no minimum.
    """

    weights: typing.Callable[[ids.Account], float | None] | None = None
    min_route_share: float = 0.0
    _accounts: dict[ids.Account, _Usage] = attrs.field(factory=dict, init=False)
    _routes: dict[str, _Usage] = attrs.field(factory=dict, init=False)
    _total: _Usage = attrs.field(factory=_Usage, init=False)
    _reviewed_at: float = attrs.field(default=-math.inf, init=False)

    @property
    def is_active(self) -> bool:
        """Return whether any request can have another place than by its rank."""
        return self.weights is not None or self.min_route_share > 0

    @property
    def tracked(self) -> int:
        """Return the number of accounts and routes with recent requests."""
        return len(self._accounts) + len(self._routes)

    def are_slots_scarce(self, now: float) -> bool:
        """Return whether clearly less work was granted than requested recently."""
        self._review_if_due(now)
        return self._total.granted_s < _SCARCE_SHARE * self._total.requested_s

    def record_request(
        self, request: allocation.SlotRequest, work_s: float, now: float
    ) -> None:
        """Add the expected work of a request that can be in time.

        Args:
            request: The request.
            work_s: Its expected work in slot-seconds.
            now: Monotonic time in seconds.
        """
        if not self.is_active:
            return
        for usage in self._usages(request):
            usage.decay(now)
            usage.requested_s += work_s

    def record_grant(self, request: allocation.SlotRequest, work_s: float, now: float) -> None:
        """Add the expected work of a request that was granted a slot.

        Args:
            request: The request.
            work_s: Its expected work in slot-seconds, as it was recorded for the request.
            now: Monotonic time in seconds.
        """
        if not self.is_active:
            return
        for usage in self._usages(request):
            usage.decay(now)
            usage.granted_s += work_s
            rank = max(0, min(request.priority, _MAX_RANK))
            by_rank = usage.granted_by_rank
            by_rank[rank] = by_rank.get(rank, 0.0) + work_s

    def standing(self, request: allocation.SlotRequest, work_s: float, now: float) -> Standing:
        """Return the place of a new request before its rank.

        Args:
            request: The request.
            work_s: Its expected work in slot-seconds.
            now: Monotonic time in seconds.
        """
        if not self.is_active or not self.are_slots_scarce(now):
            return Standing.USUAL
        account = self._account_usage(request)
        if account is not None:
            account.decay(now)
            if account.is_beyond(request.priority, work_s):
                return Standing.BEYOND
            # Repeated requests raise what an account requests, but not its fair share.
            due_s = min(account.requested_s, account.fair_s)
            if account.granted_s < self.min_route_share * due_s:
                return Standing.FIRST
        return Standing.FIRST if self._is_route_below_minimum(request, now) else Standing.USUAL

    def describe(self, request: allocation.SlotRequest) -> str:
        """Return the recent work and fair share of a request's account, for the log."""
        usage = self._account_usage(request)
        if usage is None:
            return ""
        return f"account_granted_s={usage.granted_s:.2f} account_share_s={usage.fair_s:.2f}"

    def _is_route_below_minimum(self, request: allocation.SlotRequest, now: float) -> bool:
        route = self._routes.get(request.route)
        if self.min_route_share <= 0 or route is None:
            return False
        route.decay(now)
        self._total.decay(now)
        all_share = self._total.granted_s / self._total.requested_s
        return route.granted_s < self.min_route_share * all_share * route.requested_s

    def _account_usage(self, request: allocation.SlotRequest) -> _Usage | None:
        if request.account is None or self.weights is None:
            return None
        return self._accounts.get(request.account)

    def _usages(self, request: allocation.SlotRequest) -> Iterable[_Usage]:
        yield self._total
        yield self._routes.setdefault(request.route, _Usage())
        if request.account is not None and self.weights is not None:
            yield self._accounts.setdefault(request.account, _Usage())

    def _review_if_due(self, now: float) -> None:
        """Compute the fair shares of the accounts, and forget what is not recent."""
        interval_s = max(
            _REVIEW_INTERVAL_S, _REVIEW_INTERVAL_PER_ACCOUNT_S * len(self._accounts)
        )
        if now - self._reviewed_at < interval_s:
            return
        self._reviewed_at = now
        self._total.decay(now)
        _decay_all(self._accounts, now)
        _decay_all(self._routes, now)
        if self.weights is None:
            return
        given = {name: self.weights(name) for name in self._accounts}
        known = [weight for weight in given.values() if weight is not None]
        mean = sum(known) / len(known) if known else 1.0
        weights = {name: mean if weight is None else weight for name, weight in given.items()}
        level = max_min_level(
            ((usage.requested_s, weights[name]) for name, usage in self._accounts.items()),
            sum(usage.granted_s for usage in self._accounts.values()),
        )
        for name, usage in self._accounts.items():
            usage.fair_s = level * weights[name]


def account_weights(
    table: client_accounts.AccountTable | None,
) -> typing.Callable[[ids.Account], float | None] | None:
    """Return the weights of the accounts of a configuration, or None if it has no accounts."""
    if table is None:
        return None

    def weight(name: ids.Account) -> float | None:
        account = table.get(name)
        quota = account.quota if account is not None else None
        return quota.rate_per_s if quota is not None else None

    return weight


def max_min_level(demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the share for each unit of weight by max-min fairness.

    Each one gets its demand or its weight times this level, whichever is less, and together
    they get the capacity. The level is infinite if the capacity is enough for all.

    Args:
        demands: Demand and weight of each.
        capacity: What there is to share.
    """
    ordered = sorted(demands, key=lambda entry: entry[0] / entry[1])
    weights = sum(weight for _, weight in ordered)
    for demand, weight in ordered:
        if demand / weight * weights > capacity:
            return capacity / weights
        capacity -= demand
        weights -= weight
    return math.inf


def _decay_all(usages: dict[_Name, _Usage], now: float) -> None:
    for name, usage in list(usages.items()):
        usage.decay(now)
        if usage.requested_s + usage.granted_s < _MIN_WORK_S:
            del usages[name]
