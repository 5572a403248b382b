"""Stand-in of the platform's store: serves the in-memory engine over HTTP."""

import json
import typing
import urllib.parse
from collections.abc import Callable

import attrs
from twisted.internet import interfaces

from carobhook.coordination import objects
from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.standins import memory_store, past_listings
from carobhook.state import routing
from carobhook.transport import client_connections

_LIMITS = routing.ClientLimits(idle_timeout_s=60.0)
_MAX_CONNECTIONS = 1024
_MAX_BUFFERED_BYTES = 64 * 1024 * 1024
_PAGE_SIZE = 50

Respond = Callable[[http1.Response], None]


class Mode:
    """Failures of the stand-in; may be changed at any time.

    Attributes:
        refuse_status: Status with which every call is refused; 0 to serve calls.
        silent: Whether calls get no response, nor waiting watches an event. A watch that began
            before still gets an empty response when its wait time is over.
        stale_s: Seconds by which listings that may be stale are old.
    """

    def __init__(self) -> None:
        self.refuse_status = 0
        self.silent = False
        self.stale_s = 0.0


@attrs.define(eq=False)
class _Watch:
    """A watch that waits for an event; implements `client_connections.ActiveRequest`."""

    kind: str
    since: int
    respond: Respond
    timer: typing.Any = None
    on_cancel: Callable[["_Watch"], None] = lambda watch: None

    def call_at_end(self, function: Callable[[], object]) -> None:
        """Call a function now, as the body is not needed any more."""
        function()

    def client_disconnected(self) -> None:
        """Cancel the watch."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.on_cancel(self)


class PlatformStoreServer:
    """HTTP server with the protocol of the platform's store.

    Args:
        reactor: Source of time and timers.
        engine: Stored objects; each value is a dict with ``Spec`` and ``Status``.

    Attributes:
        mode: Failures of the stand-in.
        calls: Method and target of every call received.
    """

    def __init__(self, reactor: typing.Any, engine: memory_store.MemoryStore) -> None:
        self._reactor = reactor
        self._engine = engine
        self._watches: list[_Watch] = []
        self._past = past_listings.PastListings(engine.save())
        self._listener: typing.Any = None
        self.mode = Mode()
        self.calls: list[str] = []
        engine.subscribe(self._on_event)

    def listen(self, host: str, port: int) -> interfaces.IListeningPort:
        """Listen on an address."""
        self._listener = client_connections.ClientListener(
            self._reactor, self._handle, lambda: _LIMITS, _MAX_CONNECTIONS, _MAX_BUFFERED_BYTES
        )
        return self._reactor.listenTCP(port, self._listener, interface=host)

    def abort(self) -> None:
        """Close all connections at once."""
        self._listener.abort()

    def put(self, kind: str, name: str, spec: typing.Any, status: typing.Any = None) -> None:
        """Create or replace an object directly in the engine."""
        now = self._reactor.seconds()
        value = {"Spec": spec, "Status": status}
        existing = self._engine.get(kind, name, now)
        if existing is None:
            self._engine.create(kind, name, value, now)
        else:
            self._engine.update(kind, name, value, existing.version, now)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        now = self._reactor.seconds()
        existing = self._engine.get(kind, name, now)
        if existing is not None:
            self._engine.delete(kind, name, existing.version, now)

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind."""
        return [item.name for item in self._engine.list(kind, self._reactor.seconds()).items]

    def save(self) -> memory_store.SavedCopy:
        """Return a copy of all objects, to which `restore` returns."""
        return self._engine.save()

    def restore(self, saved: memory_store.SavedCopy) -> None:
        """Return to an older copy of the objects, and close all connections."""
        self._engine.restore(saved)
        self._past = past_listings.PastListings(saved)
        self.abort()

    def compact(self) -> None:
        """Drop the event history, so that older watches expire and their callers list again."""
        self._engine.compact()

    def _handle(
        self, inbound: client_connections.ClientRequest, respond: Respond
    ) -> client_connections.ActiveRequest | None:
        respond = self._with_era(respond)
        target = inbound.head.target.decode("latin-1")
        self.calls.append(f"{inbound.head.method.decode()} {target}")
        if self.mode.silent:
            return None
        if self.mode.refuse_status:
            respond(client_connections.local_response(self.mode.refuse_status))
            return None
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        parts = path.removeprefix(names.OBJECTS_PATH).split("/")
        kind, name = parts[0], urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
        try:
            if "Watch" in parameters:
                return self._watch(kind, parameters, respond)
            result = self._execute(inbound, kind, name, parameters)
        except objects.ConflictError:
            respond(client_connections.local_response(409))
        except objects.ExpiredError:
            respond(client_connections.local_response(410))
        except memory_store.RateLimitedError:
            respond(client_connections.local_response(429))
        else:
            respond(
                _json_response(result)
                if result is not None
                else client_connections.local_response(404)
            )
        return None

    def _with_era(self, respond: Respond) -> Respond:
        """Return a responder that adds the era of the store to each response."""

        def respond_with_era(response: http1.Response) -> None:
            era = (names.STORE_ERA.encode(), str(self._engine.era).encode())
            respond(attrs.evolve(response, headers=(*response.headers, era)))

        return respond_with_era

    def _execute(
        self,
        inbound: client_connections.ClientRequest,
        kind: str,
        name: str | None,
        parameters: dict[str, str],
    ) -> typing.Any:
        now = self._reactor.seconds()
        method = inbound.head.method
        if method == b"GET" and name is None:
            listing = self._engine.list(kind, now)
            if "StaleOk" in parameters and self.mode.stale_s:
                listing = self._past.listing(kind, now - self.mode.stale_s, listing.era)
            return _list_page(listing, parameters.get("after", ""))
        if method == b"GET":
            existing = self._engine.get(kind, typing.cast(str, name), now)
            return None if existing is None else _encode_object(existing)
        if method == b"DELETE":
            version = int(parameters["Revision"])
            self._engine.delete(kind, typing.cast(str, name), version, now)
            return {}
        body = json.loads(inbound.body)
        meta = body["Metadata"]
        value = {"Spec": body.get("Spec"), "Status": body.get("Status")}
        if method == b"POST":
            version = self._engine.create(kind, meta["Name"], value, now)
        else:
            version = self._engine.update(kind, meta["Name"], value, meta["Revision"], now)
        return _encode_object(objects.StoredObject(kind, meta["Name"], version, value))

    def _watch(
        self, kind: str, parameters: dict[str, str], respond: Respond
    ) -> client_connections.ActiveRequest | None:
        self._engine.admit_watch(self._reactor.seconds())
        watch = _Watch(kind, int(parameters["Watch"]), respond)
        if self._answer_watch(watch):
            return None
        wait_s = int(parameters.get("WaitMs", "0")) / 1000
        watch.on_cancel = self._remove_watch
        watch.timer = self._reactor.callLater(wait_s, self._expire, watch)
        self._watches.append(watch)
        return watch

    def _remove_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)

    def _expire(self, watch: _Watch) -> None:
        self._remove_watch(watch)
        self._answer_watch(watch, allow_empty=True)

    def _on_event(self, event: objects.WatchEvent) -> None:
        self._past.record(event, self._reactor.seconds())
        for watch in [waiting for waiting in self._watches if waiting.kind == event.kind]:
            if not self.mode.silent and self._answer_watch(watch):
                watch.timer.cancel()
                self._remove_watch(watch)

    def _answer_watch(self, watch: _Watch, allow_empty: bool = False) -> bool:
        """Send a watch its events, and return whether a response was sent.

        Args:
            watch: The watch.
            allow_empty: Whether to respond even if there are no events.
        """
        batch = self._engine.events_since((watch.kind,), watch.since)
        if not batch.events and not allow_empty:
            return False
        events = [
            {
                "Removed": event.value is None,
                "Object": _encode_object(
                    objects.StoredObject(event.kind, event.name, event.version, event.value)
                ),
            }
            for event in batch.events
        ]
        watch.respond(_json_response({"events": events, "CurrentRev": batch.revision}))
        return True


def _list_page(listing: objects.Listing, after: str) -> typing.Any:
    remaining = [item for item in listing.items if item.name > after]
    return {
        "items": [_encode_object(item) for item in remaining[:_PAGE_SIZE]],
        "More": len(remaining) > _PAGE_SIZE,
        "CurrentRev": listing.revision,
    }


def _encode_object(item: objects.StoredObject) -> dict[str, typing.Any]:
    value = item.value or {}
    meta = {
        "Name": item.name,
        "Revision": item.version,
        "CreateRev": item.version,
        "Finalizers": [],
        "Deleting": False,
    }
    return {"Metadata": meta, "Spec": value.get("Spec"), "Status": value.get("Status")}


def _json_response(body: typing.Any) -> http1.Response:
    headers = ((b"Content-Type", b"application/json"),)
    return http1.Response(200, b"OK", headers, json.dumps(body).encode())
