"""Catalog of all events that are logged."""

import enum

import attrs


@attrs.frozen
class EventInfo:
    """Name and meaning of one event.

    Attributes:
        name: Name of the event in log lines.
        text: Meaning of the event, as one sentence for the reference page.
    """

    name: str
    text: str


class Event(enum.Enum):
    """Every event that carobhook logs."""

    INSTANCE_STARTED = EventInfo("instance-started", "The daemon listens on all its ports.")
    INSTANCE_LEAVING = EventInfo("instance-leaving", "A graceful stop has begun.")
    INSTANCE_CLOSING = EventInfo(
        "instance-closing",
        "A graceful stop ends: what is still in flight, queued or open is aborted.",
    )
    INSTANCE_STOPPED = EventInfo("instance-stopped", "Nothing is in flight any more.")
    START_FAILED = EventInfo("start-failed", "The daemon could not start.")
    ORDER_ACCEPTED = EventInfo(
        "order-accepted", "An operator's order was written to the store; author and text."
    )
    ORDER_REFUSED = EventInfo(
        "order-refused", "An operator's order or question was refused, and why."
    )
    ORDERS_IN_FORCE = EventInfo(
        "orders-in-force", "A newer version of the operators' orders is in force here."
    )
    ORDERS_RESTORED = EventInfo(
        "orders-restored", "Orders that the object API had lost were written again."
    )
    ORDER_LOST = EventInfo(
        "order-lost", "An order that the object API had lost cannot be accepted any more."
    )
    LOADS_INCOMPLETE = EventInfo(
        "loads-incomplete", "Some instances did not tell their loads in time for a question."
    )
    ORDER_FORBIDDEN = EventInfo("order-forbidden", "A token that may only ask gave an order.")
    ORDER_UNAUTHENTICATED = EventInfo(
        "order-unauthenticated", "An order came without a token or with a wrong one."
    )
    REQUEST_MARKED = EventInfo(
        "request-marked",
        "A backend server ended while it ran a request; the request is marked.",
    )
    ATTEMPT_SETTLED = EventInfo(
        "attempt-settled",
        "An attempt without a response was followed up and led to no mark, and why.",
    )
    MARKS_REMOVED = EventInfo(
        "marks-removed",
        "Marks of a request count no more, as a response, a peer or the store tells.",
    )
    MARKS_RESTORED = EventInfo(
        "marks-restored",
        "Marks that the store lacked were written again, and ones that count no more deleted.",
    )
    SERVER_LEAVING = EventInfo(
        "server-leaving", "A backend server said that it leaves; it gets no new requests."
    )
    SERVER_NOTICE_MALFORMED = EventInfo(
        "server-notice-malformed", "What a backend server says of itself cannot be read."
    )
    PATHS_LOST = EventInfo(
        "paths-lost",
        "The instance seems to be cut from all backend servers; others relay its requests.",
    )
    PATHS_FOUND = EventInfo("paths-found", "The instance reaches backend servers again.")
    REQUEST_RELAYED = EventInfo(
        "request-relayed", "A request of another instance was sent to its server and answered."
    )
    EXCHANGE_FAILED = EventInfo(
        "exchange-failed", "An exchange with a backend server ended with an unexpected error."
    )
    CONNECTIONS_FULL = EventInfo(
        "connections-full", "A caller's connection was closed, as there are too many."
    )
    REQUESTS_ABANDONED = EventInfo(
        "requests-abandoned",
        "A client's connection ended before its requests were answered; why, how many there "
        "were, and how many responses were ready.",
    )
    CLIENT_BYTES_DROPPED = EventInfo(
        "client-bytes-dropped",
        "A client sent bytes that no request was started for, as its connection was ending; "
        "how many, and for how long it was ending.",
    )
    BODY_REFUSED = EventInfo(
        "body-refused",
        "A request body was not read, as it does not fit into a bound on memory for clients.",
    )
    CLIENT_STALLED = EventInfo(
        "client-stalled", "A connection was closed, as its client did not read its responses."
    )
    RESPONSES_DROPPED = EventInfo(
        "responses-dropped",
        "A connection was closed, as its responses exceed a bound on memory for clients.",
    )
    PEER_STREAM_INVALID = EventInfo(
        "peer-stream-invalid", "Something on the peer port does not speak as an instance does."
    )
    PEER_STREAM_SILENT = EventInfo(
        "peer-stream-silent", "A peer stream was silent for too long and is closed."
    )
    PEER_MESSAGE_UNKNOWN = EventInfo(
        "peer-message-unknown",
        "A peer sent a message of a type that this build does not know; it is skipped.",
    )
    PEER_OLDER = EventInfo(
        "peer-older",
        "A peer speaks an earlier version of the protocol, and is sent only what it knows.",
    )
    OBJECT_MALFORMED = EventInfo(
        "object-malformed", "An object of the object API cannot be read; it is passed over."
    )
    STORE_UNAVAILABLE = EventInfo(
        "store-unavailable", "The object API did not answer a read or a watch."
    )
    INSTANCE_READY = EventInfo(
        "instance-ready", "The configuration and the servers are known; clients are taken."
    )
    SETTINGS_RELOADED = EventInfo(
        "settings-reloaded", "Changed settings are in force, as far as they need no restart."
    )
    SETTINGS_UNCHANGED = EventInfo(
        "settings-unchanged", "A signal said that the settings changed, but they did not."
    )
    SETTINGS_FAULTY = EventInfo(
        "settings-faulty", "Changed settings have a fault; the former ones stay in force."
    )
    MEMBER_SEEN = EventInfo("member-seen", "Another instance, or a new run of it, was heard.")
    MEMBER_LOST = EventInfo(
        "member-lost", "An instance fell silent or its stream ended; its slots are freed."
    )
    QUOTA_COUNTER_CHANGED = EventInfo(
        "quota-counter-changed",
        "Another instance counts the quotas of a group of accounts from now on.",
    )
    QUOTA_COUNTER_SILENT = EventInfo(
        "quota-counter-silent",
        "The counter of a group does not answer; dispatchers here admit at a lower rate.",
    )
    QUOTA_COUNTER_ANSWERS = EventInfo(
        "quota-counter-answers", "The counter of a group of accounts answers again."
    )
    MESSAGES_DROPPED = EventInfo(
        "messages-dropped",
        "Messages about slots were dropped: no stream to their receiver opened, or it ended.",
    )
    SLOTS_FREED = EventInfo(
        "slots-freed",
        "The queued requests of a lost instance were removed here, and its slots freed.",
    )
    DISPATCHER_CHANGED = EventInfo(
        "dispatcher-changed",
        "Another instance gives out the slots of a service in a region from now on.",
    )
    GRANTS_MOVED = EventInfo(
        "grants-moved",
        "Requests run in other regions than 2 s before; with free slots and slowness.",
    )
    SLOTS_LENT = EventInfo(
        "slots-lent", "The slots that a region lends to others have changed; slots/demand."
    )
    STORE_ANSWERS = EventInfo("store-answers", "The store answers again after a failure.")
    STORE_RESTORED = EventInfo(
        "store-restored",
        "The object API has come back from an older copy; revisions are those known here.",
    )
    STORE_FOLLOWED_DIRECTLY = EventInfo(
        "store-followed-directly", "This instance watches the store itself from now on."
    )
    STORE_FOLLOWED_BY = EventInfo(
        "store-followed-by", "Another instance of the region tells of the store's changes."
    )
    OBJECTS_LISTED = EventInfo("objects-listed", "All objects of a kind were read anew.")
    CONFIG_IN_FORCE = EventInfo(
        "config-in-force",
        "A newer configuration of the store is in force here; from whom it came, its size, and "
        "how long it took to decode.",
    )
    ROUTE_UNKNOWN = EventInfo(
        "route-unknown",
        "A request had no route; how old the configuration was, and who confirmed it.",
    )
    KEY_UNKNOWN = EventInfo(
        "key-unknown",
        "A request had no key of a client account; how old the configuration was, and who "
        "confirmed it.",
    )
    FEED_SUBSCRIBED = EventInfo(
        "feed-subscribed",
        "Another instance subscribed to this one's feed; kinds and bytes of what it was sent.",
    )
    WATCHES_RENEWED = EventInfo(
        "watches-renewed",
        "The store answers a probe again; calls from before are made anew, not waited for.",
    )
    NEWER_VERSION_SEEN = EventInfo(
        "newer-version-seen",
        "Another instance applies a newer version than this one, and is asked for it.",
    )
    CONFIG_UNCONFIRMED = EventInfo(
        "config-unconfirmed",
        "It is not known whether a newer configuration exists, for longer than one may take.",
    )
    CONFIG_CONFIRMED = EventInfo(
        "config-confirmed", "It is known again that no newer configuration exists."
    )
    LOOKUP_OUTSIDE_REGION = EventInfo(
        "lookup-outside-region",
        "A client is sent to other regions, as no instance of its own is known to serve.",
    )
    LOOKUPS_ELSEWHERE = EventInfo(
        "lookups-elsewhere",
        "The share of a region's clients that this directory leads to other regions; why.",
    )
    SERVER_SEEN = EventInfo("server-seen", "A backend server's entry is new or has changed.")
    SERVER_REMOVED = EventInfo("server-removed", "A backend server's entry is gone.")
    EVACUATION = EventInfo(
        "evacuation", "A failure domain's servers must get nothing, or may again."
    )
    REQUEST_ENDED = EventInfo(
        "request-ended", "A request was answered, or its client left; code 1000 is a server's."
    )
    WORK_ENDED_LATE = EventInfo(
        "work-ended-late",
        "Work that may run once ended after its client had got another answer or had left.",
    )
    WORK_ABANDONED = EventInfo(
        "work-abandoned",
        "A server sent no whole result long after the deadline; its connection is closed.",
    )
    REQUEST_REFUSED = EventInfo(
        "request-refused", "A request was refused before it asked for a slot."
    )
    REQUEST_RETRIED = EventInfo(
        "request-retried", "A server failed a request, which may go to another one."
    )
    REQUEST_UNREADABLE = EventInfo(
        "request-unreadable", "What a client sent was no request within its limits."
    )
    EXCHANGE_BROKEN = EventInfo(
        "exchange-broken", "A connection to a backend server brought no whole answer."
    )
    SERVER_REFUSED = EventInfo(
        "server-refused",
        "A server said that it did not run a request, and on which connection it said so.",
    )
    SERVER_PROBED = EventInfo(
        "server-probed", "A server answered a probe, which shows that it is reached."
    )
    RESPONSE_SURPLUS = EventInfo(
        "response-surplus", "A server's response belonged to no request under way."
    )
    SERVER_LIMIT = EventInfo(
        "server-limit",
        "A server's answer named another limit of requests a second than before, or none.",
    )
    SERVER_LIMIT_MALFORMED = EventInfo(
        "server-limit-malformed", "A server's answer names a limit that cannot be read."
    )
    SERVER_LOAD_MALFORMED = EventInfo(
        "server-load-malformed", "The load that a server's answers state cannot be read."
    )
    MACHINE_SLOW = EventInfo(
        "machine-slow",
        "Work takes several times as long as usual on this machine; others take its clients.",
    )
    MACHINE_USUAL = EventInfo("machine-usual", "The machine works at its usual pace again.")
    EVENT_LOOP_LATE = EventInfo(
        "event-loop-late",
        "The event loop was busy; everything of this instance was late by this much.",
    )
    LINES_OMITTED = EventInfo(
        "lines-omitted", "Lines were left out, as more came than the budget or reader bears."
    )
    TASK_FAILED = EventInfo(
        "task-failed",
        "A part of the instance raised an error; it goes on or is started again. Report it.",
    )
    DISPATCHER_FAILED = EventInfo(
        "dispatcher-failed",
        "A dispatcher raised an error, and is replaced by a new one. Report it.",
    )
    UNHANDLED_ERROR = EventInfo("unhandled-error", "An error that nothing expected; report it.")
    LIBRARY = EventInfo("library", "A warning of a library.")
