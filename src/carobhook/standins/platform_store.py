"""Stand-in of the platform's store: the in-memory engine behind the platform's protocol."""

import json
import typing
import urllib.parse
from collections.abc import Callable

import attrs
from twisted.internet import interfaces

from carobhook.coordination import objects
from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.standins import memory_store
from carobhook.state import routing
from carobhook.transport import client_connections

_LIMITS = routing.ClientLimits(idle_timeout_s=60.0)
_MAX_CONNECTIONS = 1024
_MAX_HELD_OCTETS = 64 * 1024 * 1024
_PAGE = 50

Answer = Callable[[http1.Response], None]


class Mode:
    """How the stand-in behaves.

    Attributes:
        refuse_status: Status with which every call is refused; 0 for none.
        silent: Whether calls get no answer at all.
    """

    def __init__(self) -> None:
        self.refuse_status = 0
        self.silent = False


@attrs.define(eq=False)
class _Watch:
    """A watch that waits; implements `client_connections.Exchange`."""

    kind: str
    since: int
    answer: Answer
    timer: typing.Any = None
    forget: Callable[["_Watch"], None] = lambda watch: None

    def client_gone(self) -> None:
        """Forget the watch."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.forget(self)


class PlatformStoreServer:
    """The platform's store on a port.

    Args:
        reactor: Source of time and timers.
        engine: The objects; their values are whole, with ``Spec`` and ``Status``.
    """

    def __init__(self, reactor: typing.Any, engine: memory_store.MemoryStore) -> None:
        self._reactor = reactor
        self._engine = engine
        self._watches: list[_Watch] = []
        self._listener: typing.Any = None
        self.mode = Mode()
        self.calls: list[str] = []
        engine.listen(self._changed)

    def listen(self, host: str, port: int) -> interfaces.IListeningPort:
        """Listen on an address."""
        self._listener = client_connections.ClientListener(
            self._reactor, self._handle, lambda: _LIMITS, _MAX_CONNECTIONS, _MAX_HELD_OCTETS
        )
        return self._reactor.listenTCP(port, self._listener, interface=host)

    def abort(self) -> None:
        """Close all connections at once."""
        self._listener.abort()

    def put(self, kind: str, name: str, spec: typing.Any, status: typing.Any = None) -> None:
        """Create or replace an object, as the platform's other writers do."""
        now = self._reactor.seconds()
        value = {"Spec": spec, "Status": status}
        held = self._engine.get(kind, name, now)
        if held is None:
            self._engine.create(kind, name, value, now)
        else:
            self._engine.update(kind, name, value, held.version, now)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if there is one."""
        now = self._reactor.seconds()
        held = self._engine.get(kind, name, now)
        if held is not None:
            self._engine.delete(kind, name, held.version, now)

    def forget(self) -> None:
        """Give up the history, so that watches have to begin anew."""
        self._engine.forget()

    def _handle(
        self, inbound: client_connections.Inbound, answer: Answer
    ) -> client_connections.Exchange | None:
        target = inbound.head.target.decode("latin-1")
        self.calls.append(f"{inbound.head.method.decode()} {target}")
        if self.mode.silent:
            return None
        if self.mode.refuse_status:
            answer(client_connections.own_answer(self.mode.refuse_status))
            return None
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        parts = path.removeprefix(names.OBJECTS_PATH).split("/")
        kind, name = parts[0], urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
        try:
            if "Watch" in fields:
                return self._watch(kind, fields, answer)
            plain = self._call(inbound, kind, name, fields)
        except objects.ConflictError:
            answer(client_connections.own_answer(409))
        except objects.ExpiredError:
            answer(client_connections.own_answer(410))
        except memory_store.RateLimitedError:
            answer(client_connections.own_answer(429))
        else:
            answer(_json(plain) if plain is not None else client_connections.own_answer(404))
        return None

    def _call(
        self,
        inbound: client_connections.Inbound,
        kind: str,
        name: str | None,
        fields: dict[str, str],
    ) -> typing.Any:
        now = self._reactor.seconds()
        method = inbound.head.method
        if method == b"GET" and name is None:
            return self._page(kind, fields.get("after", ""), now)
        if method == b"GET":
            held = self._engine.get(kind, typing.cast(str, name), now)
            return None if held is None else _plain(held)
        if method == b"DELETE":
            version = int(fields["Revision"])
            self._engine.delete(kind, typing.cast(str, name), version, now)
            return {}
        body = json.loads(inbound.body)
        meta = body["Metadata"]
        value = {"Spec": body.get("Spec"), "Status": body.get("Status")}
        if method == b"POST":
            version = self._engine.create(kind, meta["Name"], value, now)
        else:
            version = self._engine.update(kind, meta["Name"], value, meta["Revision"], now)
        return _plain(objects.StoredObject(kind, meta["Name"], version, value))

    def _page(self, kind: str, after: str, now: float) -> typing.Any:
        listing = self._engine.list(kind, now)
        rest = [item for item in listing.items if item.name > after]
        return {
            "items": [_plain(item) for item in rest[:_PAGE]],
            "More": len(rest) > _PAGE,
            "CurrentRev": listing.revision,
        }

    def _watch(
        self, kind: str, fields: dict[str, str], answer: Answer
    ) -> client_connections.Exchange | None:
        self._engine.admit_watch(self._reactor.seconds())
        watch = _Watch(kind, int(fields["Watch"]), answer)
        if self._answer_watch(watch):
            return None
        wait_s = int(fields.get("WaitMs", "0")) / 1000
        watch.forget = self._forget
        watch.timer = self._reactor.callLater(wait_s, self._expire, watch)
        self._watches.append(watch)
        return watch

    def _forget(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)

    def _expire(self, watch: _Watch) -> None:
        self._forget(watch)
        self._answer_watch(watch, even_empty=True)

    def _changed(self, event: objects.WatchEvent) -> None:
        for watch in [held for held in self._watches if held.kind == event.kind]:
            if not self.mode.silent and self._answer_watch(watch):
                watch.timer.cancel()
                self._forget(watch)

    def _answer_watch(self, watch: _Watch, even_empty: bool = False) -> bool:
        batch = self._engine.events_since((watch.kind,), watch.since)
        if not batch.events and not even_empty:
            return False
        events = [
            {
                "Removed": event.value is None,
                "Object": _plain(
                    objects.StoredObject(event.kind, event.name, event.version, event.value)
                ),
            }
            for event in batch.events
        ]
        watch.answer(_json({"events": events, "CurrentRev": batch.revision}))
        return True


def _plain(held: objects.StoredObject) -> dict[str, typing.Any]:
    value = held.value or {}
    meta = {
        "Name": held.name,
        "Revision": held.version,
        "CreateRev": held.version,
        "Finalizers": [],
        "Deleting": False,
    }
    return {"Metadata": meta, "Spec": value.get("Spec"), "Status": value.get("Status")}


def _json(plain: typing.Any) -> http1.Response:
    headers = ((b"Content-Type", b"application/json"),)
    return http1.Response(200, b"OK", headers, json.dumps(plain).encode())
