"""Token bucket: a rate with a burst, decided from the present time."""

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
    _filled_at: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def empty(self, now: float) -> None:
        """Take all tokens, so that a burst has to be gained first."""
        self._tokens, self._filled_at = 0.0, now

    def take(self, now: float) -> bool:
        """Take one token if there is one; tell whether it was taken.

        Args:
            now: Present time in seconds.
        """
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def left(self, now: float) -> float:
        """Return the tokens that are there now."""
        self._fill(now)
        return self._tokens

    def wait_s(self, now: float) -> float:
        """Return the seconds until one token is there; 0 if there is one now."""
        self._fill(now)
        return max(0.0, (1 - self._tokens) / self.rate)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self.rate
            self._tokens = min(self.burst, self._tokens + gained)
        self._filled_at = now
