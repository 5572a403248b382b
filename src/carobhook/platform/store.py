"""Client of the platform's store; implements `coordination.objects.ObjectStore`."""

import json
import math
import typing
import urllib.parse
from collections.abc import Collection, Sequence

from twisted.internet import defer

from carobhook.coordination import objects
from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.transport import server_connections

_JSON = b"application/json"
# A watch is answered this much after its wait at the latest, else its connection is silent.
_WATCH_MARGIN_S = 0.7
# There is no such object, so the answer is short.
_PROBE_KIND = "probes"
_PROBE_NAME = "none"


class PlatformStore:
    """Calls of the platform's store over HTTP.

    The value of an object is its ``Spec``; for the kinds in ``whole_kinds`` it is the object as
    the store gives it, because others write their ``Status`` too.

    Args:
        reactor: Source of time and timers.
        address: ``host:port`` of the store.
        timeout_s: Seconds after which a call is given up.
        whole_kinds: Kinds whose objects are given whole.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        timeout_s: float,
        whole_kinds: Collection[str] = (),
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._timeout_s = timeout_s
        self._whole_kinds = frozenset(whole_kinds)
        self._connections = server_connections.ServerConnections(reactor, timeout_s)
        self._calls = 0
        self._answered_at = -math.inf

    @property
    def answered_at(self) -> float:
        """Return the monotonic time in seconds of the last call that the store carried out."""
        return self._answered_at

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""
        return self._calls

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return one object, or None if there is none."""
        answer = await self._read(_path(kind, name), self._timeout_s)
        if answer.status == 404:
            return None
        return self._stored(kind, _body(answer))

    async def list(self, kind: str) -> objects.Listing:
        """Return all objects of one kind, from all pages."""
        items: list[objects.StoredObject] = []
        revision: int | None = None
        after = ""
        while True:
            query = f"?after={urllib.parse.quote(after, safe='')}" if after else ""
            page = _body(await self._read(_path(kind) + query, self._timeout_s))
            found = [self._stored(kind, plain) for plain in page.get("items") or ()]
            items += found
            # Changes since the first page are asked for again by the watch.
            revision = page["CurrentRev"] if revision is None else revision
            if not page.get("More") or not found:
                return objects.Listing(revision, tuple(items))
            after = found[-1].name

    async def create(self, kind: str, name: str, value: typing.Any) -> int:
        """Create an object; return its version."""
        plain = {"Metadata": {"Name": name}, "Spec": value}
        return await self._write(b"POST", _path(kind), plain)

    async def update(self, kind: str, name: str, value: typing.Any, version: int) -> int:
        """Replace an object whose version is still ``version``; return its new version."""
        plain = {"Metadata": {"Name": name, "Revision": version}, "Spec": value}
        return await self._write(b"PUT", _path(kind, name), plain)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object whose version is still ``version``."""
        await self._write(b"DELETE", f"{_path(kind, name)}?Revision={version}", None)

    async def watch(
        self, kinds: Sequence[str], since: int, wait_s: float
    ) -> objects.WatchBatch:
        """Return the events of one kind after ``since``, waiting for the first.

        Raises:
            ValueError: More than one kind was asked for; the store watches one at a time.
        """
        if len(kinds) != 1:
            raise ValueError(f"kinds must be one kind, got {list(kinds)!r}")
        path = f"{_path(kinds[0])}?Watch={since}&WaitMs={round(wait_s * 1000)}"
        body = _body(await self._read(path, wait_s + _WATCH_MARGIN_S))
        events = tuple(self._event(kinds[0], since, event) for event in body["events"])
        return objects.WatchBatch(body["CurrentRev"], events)

    async def probe(self, timeout_s: float) -> None:
        """Find out whether the store answers, at the least price.

        Args:
            timeout_s: Seconds after which it counts as not answering.

        Raises:
            objects.UnavailableError: It does not answer, or refuses.
        """
        await self._read(_path(_PROBE_KIND, _PROBE_NAME) + "?StaleOk=1", timeout_s)

    def close_idle(self, now: float) -> None:
        """Close connections that were idle for too long."""
        self._connections.close_idle(now)

    def stop(self) -> None:
        """Close all idle connections."""
        self._connections.stop()

    async def _read(self, path: str, timeout_s: float) -> http1.Response:
        try:
            answer = await self._call(b"GET", path, None, timeout_s)
        except (server_connections.ExchangeError, TimeoutError) as problem:
            raise objects.UnavailableError(f"GET {path}: {problem}") from problem
        if answer.status == 410:
            raise objects.ExpiredError(path)
        if answer.status not in (200, 404):
            raise objects.UnavailableError(f"GET {path}: status {answer.status}")
        self._answered_at = self._reactor.seconds()
        return answer

    async def _write(self, method: bytes, path: str, plain: typing.Any) -> int:
        try:
            answer = await self._call(method, path, plain, self._timeout_s)
        except TimeoutError as problem:
            raise objects.OutcomeUnknownError(f"{path}: {problem}") from problem
        except server_connections.ExchangeError as problem:
            if problem.fault is server_connections.Fault.CONNECT:
                raise objects.UnavailableError(f"{path}: {problem}") from problem
            raise objects.OutcomeUnknownError(f"{path}: {problem}") from problem
        if answer.status == 409 or (answer.status == 404 and method != b"POST"):
            raise objects.ConflictError(f"{path}: status {answer.status}")
        if answer.status == 413:
            raise objects.TooLargeError(path)
        if answer.status not in (200, 201, 204):
            raise objects.UnavailableError(f"{path}: status {answer.status}")
        if method == b"DELETE":
            return 0
        return typing.cast(int, _body(answer)["Metadata"]["Revision"])

    async def _call(
        self, method: bytes, path: str, plain: typing.Any, timeout_s: float
    ) -> http1.Response:
        """Make one call.

        Raises:
            TimeoutError: No answer came in time; the connection is closed.
            server_connections.ExchangeError: There is no whole answer.
        """
        self._calls += 1
        headers = [(b"Host", self._address.encode())]
        body = b""
        if plain is not None:
            headers.append((b"Content-Type", _JSON))
            body = json.dumps(plain, separators=(",", ":")).encode()
        head = http1.RequestHead(method, path.encode(), tuple(headers))
        calling = defer.ensureDeferred(
            self._connections.exchange(self._address, head, body, careful=False)
        )
        timer = self._reactor.callLater(timeout_s, calling.cancel)
        try:
            received = await calling
        except defer.CancelledError as problem:
            if timer.active():
                raise
            self._connections.distrust(self._address)
            raise TimeoutError(f"no answer in {timeout_s:g} s") from problem
        finally:
            if timer.active():
                timer.cancel()
        return typing.cast(server_connections.Received, received).answer

    def _stored(self, kind: str, plain: typing.Any) -> objects.StoredObject:
        meta = plain["Metadata"]
        value = plain if kind in self._whole_kinds else plain.get("Spec")
        return objects.StoredObject(kind, meta["Name"], meta["Revision"], value)

    def _event(self, kind: str, since: int, event: typing.Any) -> objects.WatchEvent:
        stored = self._stored(kind, event["Object"])
        if not event["Removed"]:
            return objects.WatchEvent(kind, stored.name, stored.version, stored.value)
        # A removal may show the revision of the object's last change, which is older.
        version = max(stored.version, since + 1)
        return objects.WatchEvent(kind, stored.name, version, None)


def _path(kind: str, name: str | None = None) -> str:
    path = names.OBJECTS_PATH + urllib.parse.quote(kind, safe="")
    return path if name is None else f"{path}/{urllib.parse.quote(name, safe='')}"


def _body(answer: http1.Response) -> typing.Any:
    """Return the decoded body of an answer.

    Raises:
        objects.UnavailableError: It is not JSON.
    """
    try:
        return json.loads(answer.body)
    except ValueError as problem:
        raise objects.UnavailableError(f"body is not JSON: {problem}") from problem
