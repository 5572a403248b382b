"""How fast backend servers work at the moment, by their own statements.

Load pattern: servers share their machines with other programs, which slow all of a server's
work down several times over, but for fractions of a second. An average of observed work times
notices that when it is over, and then avoids a server that is fast again.
"""

import math

import attrs

# Without a new statement, half of the deviation from the usual pace is assumed to be gone after
# this time.
_HALF_LIFE_S = 0.15
# Statements beyond these factors are taken for the nearer one.
_FACTOR_RANGE = (0.1, 20.0)


@attrs.define
class StatedPace:
    """The latest statement of a server on how long work takes on it."""

    _factor: float = attrs.field(default=1.0, init=False)
    _stated_at: float = attrs.field(default=-math.inf, init=False)

    def record(self, factor: float, now: float) -> None:
        """Record a statement.

        Args:
            factor: Time that work takes at this moment, as a multiple of what it usually takes.
            now: Monotonic time in seconds.
        """
        low, high = _FACTOR_RANGE
        self._factor = min(high, max(low, factor))
        self._stated_at = now

    def factor(self, now: float) -> float:
        """Return the factor to expect for work that starts now, 1 without a statement.

        Args:
            now: Monotonic time in seconds.
        """
        if self._factor == 1.0:
            return 1.0
        age_s = max(0.0, now - self._stated_at)
        return 1.0 + (self._factor - 1.0) * 0.5 ** (age_s / _HALF_LIFE_S)
