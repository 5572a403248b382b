"""Messages by which one instance of a region follows the store for the others."""

import attrs


@attrs.frozen
class FeedWanted:
    """Asks an instance that follows the store for everything, and for what changes then."""


@attrs.frozen
class FedObject:
    """An object of the store.

    Attributes:
        name: Its name.
        version: Revision of its last change.
        value: JSON text of its value, None if it was removed.
    """

    name: str
    version: int
    value: bytes | None


@attrs.frozen
class FeedSnapshot:
    """All objects of a kind, in place of what was known before."""

    kind: str
    revision: int
    items: tuple[FedObject, ...]


@attrs.frozen
class FeedEvents:
    """Changes of a kind's objects after a revision."""

    kind: str
    since: int
    revision: int
    items: tuple[FedObject, ...]


@attrs.frozen
class FeedFresh:
    """Says that the store answers the sender, which has told all up to these revisions."""

    revisions: tuple[tuple[str, int], ...]


def revisions_of(known: dict[str, int]) -> tuple[tuple[str, int], ...]:
    """Return revisions by kind as a message holds them."""
    return tuple(sorted(known.items()))


Message = FeedWanted | FeedSnapshot | FeedEvents | FeedFresh
