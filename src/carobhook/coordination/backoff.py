"""Exponential backoff with jitter."""

import random

import attrs
from attrs import validators


@attrs.frozen
class Backoff:
    """Delays between attempts, which double up to a cap.

    A random part of each delay keeps callers that failed together from retrying together.

    Attributes:
        first_s: Upper bound of the delay before the second attempt, in seconds.
        cap_s: Upper bound of all delays, in seconds.
    """

    first_s: float = attrs.field(default=0.1, validator=validators.gt(0))
    cap_s: float = attrs.field(default=5.0, validator=validators.gt(0))

    def delay_s(self, attempt: int, rng: random.Random) -> float:
        """Return a random delay after a failed attempt, from half its upper bound to all of it.

        Args:
            attempt: Number of failed attempts before this one.
            rng: Random source of the jitter.
        """
        # The cap is reached before 2**32 anyway, and a much larger power overflows a float.
        bound_s = min(self.cap_s, self.first_s * 2.0 ** min(attempt, 32))
        return rng.uniform(bound_s / 2, bound_s)
