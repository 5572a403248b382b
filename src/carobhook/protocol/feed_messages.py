"""Messages of the feed, in which an instance forwards store objects to other instances.

Normally one instance of a region watches the store, and the region's other instances subscribe
to it. A revision is a number that the store increases with each change. An instance records
the revision that it has reached for each kind of object separately. Revisions can be compared
within one era only: a new one begins when the store comes back from an older copy.
"""

import attrs

from carobhook.state import versions


@attrs.frozen
class FeedRequest:
    """Subscribes to the feed of an instance that watches the store.

    The receiver answers with a `FeedSnapshot` of each kind that the sender lacks and then sends
    changes. It ignores the message if it does not watch the store, or has not read all kinds
    yet.

    Attributes:
        asks_progress: Whether the sender asks for progress by `ProgressQuery`; if not, it gets
            messages of progress unasked, and all kinds with each request.
        era: Era of the revisions.
        revisions: Pairs of a kind and the revision up to which the sender has its objects.
        has_gap: Whether the sender knows that it missed changes. If not, and it is subscribed
            already, what it lacks is on its way.
    """

    asks_progress: bool = versions.added_field(False, since=4)
    era: int = versions.added_field(0, since=4)
    revisions: tuple[tuple[str, int], ...] = versions.added_field((), since=4)
    has_gap: bool = versions.added_field(False, since=4)


@attrs.frozen
class ProgressQuery:
    """Asks an instance to whose feed the sender is subscribed for a `FeedProgress`.

    Attributes:
        number: Number of the query, which the answer states.
    """

    number: int


@attrs.frozen
class FeedObject:
    """Object of the store, as the feed carries it.

    Attributes:
        name: Name of the object.
        version: Revision of the object's last change.
        value: Value as JSON text in UTF-8, None if the object was removed.
    """

    name: str
    version: int
    # A configuration contains the keys of client accounts, which a log must not contain.
    value: bytes | None = attrs.field(repr=False)


@attrs.frozen
class FeedSnapshot:
    """All objects of a kind, which replace those that the receiver holds.

    Attributes:
        kind: Kind of the objects.
        revision: Revision of the store at which the snapshot was taken.
        items: All objects of the kind.
        era: Era of the revision.
    """

    kind: str
    revision: int
    items: tuple[FeedObject, ...]
    era: int = versions.added_field(0)


@attrs.frozen
class FeedEvents:
    """Changes to objects of one kind.

    Attributes:
        kind: Kind of the objects.
        since: Revision that the changes follow; a receiver that has not reached it must
            ignore the message, as it lacks earlier changes.
        revision: Revision that the receiver has reached once it has applied the changes.
        items: Changed and removed objects.
        era: Era of both revisions.
    """

    kind: str
    since: int
    revision: int
    items: tuple[FeedObject, ...]
    era: int = versions.added_field(0)


@attrs.frozen
class FeedProgress:
    """Confirms that the store answers the sender, and reports how far it forwarded the changes.

    Attributes:
        revisions: Pairs of a kind and the revision up to which all changes to it were sent.
        era: Era of the revisions.
        ages_ms: Pairs of a kind and the milliseconds since the sender knew that there was no
            further change to it. The time that the message is on its way is not part of them.
        answers: Number of the query that it answers, 0 if it was sent unasked. The ages count
            from the time at which the query was sent, as that is before the answer was.
        has_marks: Whether the sender watches the marks of requests in the store, and has sent
            on all that it read.
    """

    revisions: tuple[tuple[str, int], ...]
    era: int = versions.added_field(0)
    ages_ms: tuple[tuple[str, int], ...] = versions.added_field((), since=3)
    answers: int = versions.added_field(0, since=4)
    has_marks: bool = versions.added_field(False, since=7)


@attrs.frozen
class ObjectRequest:
    """Asks for an object of which the receiver announced a newer version in its heartbeats.

    Attributes:
        kind: Kind of the object.
        version: Version that the sender applies, as in its heartbeats.
    """

    kind: str
    version: int


@attrs.frozen
class ObjectReport:
    """Answers an `ObjectRequest`, if the version in force at the sender is newer.

    Attributes:
        kind: Kind of the object.
        item: The object.
    """

    kind: str
    item: FeedObject


Change = FeedSnapshot | FeedEvents
Message = (
    FeedRequest
    | ProgressQuery
    | FeedSnapshot
    | FeedEvents
    | FeedProgress
    | ObjectRequest
    | ObjectReport
)
