"""Smooth weighted round-robin: even a short run of choices follows the weights."""

import typing
from collections.abc import Hashable, Mapping

import attrs

_Item = typing.TypeVar("_Item", bound=Hashable)


@attrs.define
class SmoothRoundRobin(typing.Generic[_Item]):
    """Chooses among weighted items in turn, separately for each key.

    Each choice adds to the credit of every item its weight, chooses the item with the most
    credit, and subtracts the sum of the weights from that item's credit.

    Load pattern: shares are checked over a few hundred requests. Random choices would miss them
    by more than is allowed over so few requests, and would choose one item several times in a
    row.
    """

    _credits: dict[Hashable, dict[_Item, float]] = attrs.field(factory=dict, init=False)

    def choose(self, key: Hashable, weights: Mapping[_Item, float]) -> _Item:
        """Return the next item.

        Args:
            key: Key of the rotation. Choices for one key don't depend on those for others.
            weights: Weight of each item. Between items with equal credit, the first is chosen.
        """
        before = self._credits.get(key, {})
        credits_ = {item: before.get(item, 0.0) + weight for item, weight in weights.items()}
        chosen = max(weights, key=lambda item: credits_[item])
        credits_[chosen] -= sum(weights.values())
        self._credits[key] = credits_
        return chosen
