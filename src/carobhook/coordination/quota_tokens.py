"""What one instance knows of the tokens of accounts and of their counters."""

import math

import attrs

from carobhook.state import client_accounts, ids


@attrs.define(eq=False)
class FallbackBucket:
    """Token bucket for the time without an answer of the counter.

    It holds at most one token, and is empty when that time begins.

    Attributes:
        tokens: Tokens in the bucket.
        updated_at: Monotonic time in seconds to which they were computed.
    """

    tokens: float = 0.0
    updated_at: float = -math.inf

    def try_consume(self, rate_per_s: float, since: float, now: float) -> bool:
        """Remove one token if there is one; return whether there was.

        Args:
            rate_per_s: Tokens gained each second.
            since: Monotonic time in seconds from which the counter counts as silent.
            now: Monotonic time in seconds.
        """
        if self.updated_at < since:
            self.tokens, self.updated_at = 0.0, since
        self.tokens = min(1.0, self.tokens + max(0.0, now - self.updated_at) * rate_per_s)
        self.updated_at = max(now, since)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@attrs.define(eq=False)
class AccountTokens:
    """Tokens and waiting requests of one account at one instance.

    Attributes:
        quota: Quota of the account.
        used_at: Monotonic time in seconds of its latest request.
        tokens: Tokens for requests to come.
        taken: Tokens of requests that got no slot yet.
        returned: Tokens to give back with the next message.
        reported: Tokens held here as last reported to the counter, with those granted since;
            -1 if it is not known whether the counter has that report.
        waiting: Requests that wait for tokens, in order.
        refused_until: Monotonic time in seconds until which requests are refused at once.
        next_return_at: Monotonic time in seconds at which the latest refused caller is told to
            return.
        fallback: Bucket for the time without an answer.
        was_named: Whether the latest message to the counter has an entry for it.
        unknown_since: Monotonic time in seconds of the first answer that left out the account,
            as its counter does not know its quota; None if it does.
    """

    quota: client_accounts.Quota
    used_at: float
    tokens: int = 0
    taken: int = 0
    returned: int = 0
    reported: int = 0
    waiting: dict[ids.RequestId, None] = attrs.field(factory=dict)
    refused_until: float = -math.inf
    next_return_at: float = -math.inf
    fallback: FallbackBucket = attrs.field(factory=FallbackBucket)
    was_named: bool = False
    unknown_since: float | None = None

    @property
    def held(self) -> int:
        """Return the tokens here, including those of requests without a slot yet."""
        return self.tokens + self.taken


@attrs.define(eq=False)
class GroupExchange:
    """Exchange of messages with the counter of one group of accounts.

    Attributes:
        counter: Instance that got the latest message.
        sequence: Number of the message whose answer is awaited, or None.
        sent_at: Monotonic time in seconds of the latest message.
        unanswered_since: Monotonic time in seconds of the first message since the last answer,
            or None.
        answered_at: Monotonic time in seconds of the latest answer.
        weight_reported: Share of all dispatchers that runs here, as last reported.
        is_whole: Whether the next message must name all tokens held.
        accounts: Accounts of the group with recent requests here.
    """

    counter: ids.InstanceId | None = None
    sequence: int | None = None
    sent_at: float = -math.inf
    unanswered_since: float | None = None
    answered_at: float = -math.inf
    weight_reported: float = 0.0
    is_whole: bool = True
    accounts: dict[ids.Account, AccountTokens] = attrs.field(factory=dict)
