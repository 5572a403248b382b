"""Interface to the platform's object API that the coordination layer depends on."""

import typing
from collections.abc import Awaitable, Sequence

import attrs


class StoreError(Exception):
    """A call to the object API failed."""


class UnavailableError(StoreError):
    """The object API refused the call or was unreachable; the call had no effect."""


class OutcomeUnknownError(StoreError):
    """No answer arrived; a write may have taken effect."""


class ConflictError(StoreError):
    """A conditional write met another version of the object; it had no effect."""


class TooLargeError(StoreError):
    """A value exceeds the size limit of the object API; the write had no effect."""


class ExpiredError(StoreError):
    """A watch asked for events that the object API no longer stores."""


@attrs.frozen
class StoredObject:
    """An object and the version of its latest write.

    Whenever the object API comes back from an older copy, it loses its latest writes and starts
    a new era. Versions and revisions can be compared within one era only.

    Attributes:
        kind: Kind of object, such as ``change`` or ``lease``.
        name: Name within the kind.
        version: Store-wide revision of the latest write; every write increases it.
        value: Content as msgpack- and JSON-representable values.
        era: Era in which it was read.
    """

    kind: str
    name: str
    version: int
    # A configuration contains the keys of client accounts, which a log must not contain.
    value: typing.Any = attrs.field(repr=False)
    era: int = 0


@attrs.frozen(order=True)
class Position:
    """A point in the history of the object API; a later era is later, whatever the revision.

    Attributes:
        era: Era of the revision.
        revision: Store-wide revision.
    """

    era: int
    revision: int


@attrs.frozen
class WatchEvent:
    """A change that a watch returned; ``value`` is None if the object was deleted."""

    kind: str
    name: str
    version: int
    value: typing.Any


@attrs.frozen
class Listing:
    """All objects of a kind, and the store revision and era at which they were read."""

    revision: int
    items: tuple[StoredObject, ...]
    era: int = 0


@attrs.frozen
class WatchBatch:
    """Events after the requested revision, and the revision and era to resume from."""

    revision: int
    events: tuple[WatchEvent, ...]
    era: int = 0


class ObjectStore(typing.Protocol):
    """Calls of the object API.

    Every call raises `UnavailableError` or `OutcomeUnknownError` if it cannot be completed
    within the time limit of the implementation; reads never raise `OutcomeUnknownError`.
    """

    def get(self, kind: str, name: str) -> Awaitable[StoredObject | None]:
        """Return an object, or None if it does not exist."""

    def list(self, kind: str) -> Awaitable[Listing]:
        """Return all objects of a kind."""

    def create(self, kind: str, name: str, value: typing.Any) -> Awaitable[int]:
        """Create an object and return its version.

        Raises:
            ConflictError: An object of that kind and name exists.
        """

    def update(
        self, kind: str, name: str, value: typing.Any, version: int, era: int | None = None
    ) -> Awaitable[int]:
        """Replace an object whose version is still ``version``, and return its new version.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: Its new content.
            version: Version that was read.
            era: Era in which it was read, None to accept any.

        Raises:
            ConflictError: The object has another version or is gone, or a new era has begun.
        """

    def delete(self, kind: str, name: str, version: int) -> Awaitable[None]:
        """Delete an object whose version is still ``version``.

        Raises:
            ConflictError: The object has another version or is gone.
        """

    def watch(
        self, kinds: Sequence[str], since: int, wait_s: float, margin_s: float
    ) -> Awaitable[WatchBatch]:
        """Return the events after revision ``since``.

        If there are none yet, the call waits up to ``wait_s`` seconds for the first. It fails
        if its answer has not arrived ``margin_s`` seconds after that.

        Raises:
            ExpiredError: The object API no longer stores all events after ``since``; the caller
                must list the objects again.
        """
