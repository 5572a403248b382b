"""Chooses among weighted parts so that over any few choices each part gets its share."""

import typing
from collections.abc import Hashable, Mapping

import attrs

_Part = typing.TypeVar("_Part", bound=Hashable)


@attrs.define
class SmoothChoice(typing.Generic[_Part]):
    """Remembers what each part has coming, by what is chosen for.

    Load pattern: shares are judged over a few hundred requests, in which draws at random would
    be off by more than is allowed, and come in runs.
    """

    _credits: dict[Hashable, dict[_Part, float]] = attrs.field(factory=dict, init=False)

    def choose(self, what: Hashable, weights: Mapping[_Part, float]) -> _Part:
        """Return the part that is next.

        Args:
            what: What is chosen for; each has credits of its own.
            weights: Weights of the parts; of equal parts, the first is chosen.
        """
        before = self._credits.get(what, {})
        credits_ = {part: before.get(part, 0.0) + weight for part, weight in weights.items()}
        chosen = max(weights, key=lambda part: credits_[part])
        credits_[chosen] -= sum(weights.values())
        self._credits[what] = credits_
        return chosen
