"""Marks of requests that the store holds, and what its answers tell of their removal."""

from collections.abc import Iterable, Mapping

import attrs

from carobhook.coordination import objects
from carobhook.protocol import mark_codec


@attrs.frozen
class MarkChanges:
    """What an answer of the store tells of marks.

    Attributes:
        held: Marks that the store holds.
        deleted: Marks that it held before, and that were deleted.
    """

    held: tuple[mark_codec.StoredMark, ...] = ()
    deleted: tuple[mark_codec.StoredMark, ...] = ()


@attrs.define
class MarkTable:
    """Marks that the store holds, by the name of their object, as this instance has read them.

    Load pattern: instances read the marks when they start, after a cut, and when the store has
    come back from an older copy. A mark that a listing lacks was deleted only if the listing is
    of the same era as the one that had it, and not older. In a later era the store may have
    lost it, and an older listing tells nothing.
    """

    _marks: dict[str, mark_codec.StoredMark] = attrs.field(factory=dict, init=False)
    _position: objects.Position | None = attrs.field(default=None, init=False)

    @property
    def position(self) -> objects.Position | None:
        """Return the position up to which the marks were read, None before."""
        return self._position

    @property
    def marks(self) -> Mapping[str, mark_codec.StoredMark]:
        """Return the marks that the store holds, by the name of their object."""
        return self._marks

    def apply_listing(
        self,
        position: objects.Position,
        listed: Mapping[str, mark_codec.StoredMark | None],
    ) -> MarkChanges:
        """Replace the marks, unless the listing is older than what was read.

        Args:
            position: Position of the listing.
            listed: All marks by name; None for an object that cannot be read.
        """
        before = self._position
        if before is not None and position < before:
            return MarkChanges()
        deleted: tuple[mark_codec.StoredMark, ...] = ()
        if before is not None and before.era == position.era:
            deleted = tuple(mark for name, mark in self._marks.items() if name not in listed)
        held = {name: mark for name, mark in listed.items() if mark is not None}
        self._marks, self._position = held, position
        return MarkChanges(tuple(held.values()), deleted)

    def apply_events(
        self,
        position: objects.Position,
        events: Iterable[tuple[str, mark_codec.StoredMark | None]],
    ) -> MarkChanges:
        """Apply changes in their order.

        Args:
            position: Position that they lead to.
            events: Names with their marks; None for an object that was deleted.
        """
        held, deleted = [], []
        for name, mark in events:
            known = self._marks.pop(name, None)
            if mark is not None:
                self._marks[name] = mark
                held.append(mark)
            elif known is not None:
                deleted.append(known)
        self._position = position
        return MarkChanges(tuple(held), tuple(deleted))

    def forget(self) -> None:
        """Forget what was read, so that nothing is concluded from it."""
        self._marks.clear()
        self._position = None
