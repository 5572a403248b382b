"""Token bucket that limits calls to a rate with a burst; callers pass the current time."""

import attrs
from attrs import validators


@attrs.define
class TokenBucket:
    """A bucket that gains ``rate`` tokens a second up to ``burst``.

    Attributes:
        rate: Tokens gained each second.
        burst: Largest number of tokens kept.
    """

    rate: float = attrs.field(validator=validators.gt(0))
    burst: float = attrs.field(validator=validators.ge(1))
    _tokens: float = attrs.field(init=False)
    _refilled_at: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def clear(self, now: float) -> None:
        """Remove all tokens, so that a burst is allowed only after they are gained again."""
        self._tokens, self._refilled_at = 0.0, now

    def reduce_to(self, tokens: float, now: float) -> None:
        """Reduce the tokens to a number, which may be negative, if there are more.

        Args:
            tokens: Largest number of tokens to keep.
            now: Current time in seconds.
        """
        self._refill(now)
        self._tokens = min(self._tokens, tokens)

    def try_consume(self, now: float) -> bool:
        """Remove one token if there is one; return whether there was.

        Args:
            now: Current time in seconds.
        """
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def available(self, now: float) -> float:
        """Return the number of tokens available now."""
        self._refill(now)
        return self._tokens

    def wait_s(self, now: float) -> float:
        """Return the seconds until one token is available; 0 if there is one now."""
        self._refill(now)
        return max(0.0, (1 - self._tokens) / self.rate)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = max(0.0, now - self._refilled_at) * self.rate
            self._tokens = min(self.burst, self._tokens + gained)
        self._refilled_at = now
