"""HTTP client of the platform's store; implements `coordination.objects.ObjectStore`."""

import json
import math
import typing
import urllib.parse
from collections.abc import Collection, Sequence

import attrs
from twisted.internet import defer

from carobhook.coordination import objects
from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.transport import answer_timeout, exchange_results, server_connections

_JSON = b"application/json"
_MAX_ERA_DIGITS = 15
# No object of this name exists, so that a probe costs the store only a short 404.
_PROBE_NAME = "none"


class PlatformStore:
    """Client of the platform's store.

    The value of an object is its ``Spec``. For the kinds in ``full_object_kinds`` it is the
    whole object with ``Metadata`` and ``Status``, because other programs write these objects
    and set their ``Status``, which the ``Spec`` does not include.

    Args:
        reactor: Source of time and timers.
        address: ``host:port`` of the store.
        timeout_s: Seconds after which a call is cancelled.
        full_object_kinds: Kinds whose values are whole objects.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        timeout_s: float,
        full_object_kinds: Collection[str] = (),
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._timeout_s = timeout_s
        self._full_object_kinds = frozenset(full_object_kinds)
        self._connections = server_connections.ServerConnections(reactor, timeout_s)
        self._calls = 0
        self._answered_at = -math.inf
        self._era = 0

    @property
    def era(self) -> int:
        """Return the latest era of the store that a response named, 0 before."""
        return self._era

    @property
    def answered_at(self) -> float:
        """Return the monotonic time in seconds of the last successful read, -inf before."""
        return self._answered_at

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""
        return self._calls

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return one object, or None if there is none."""
        response = await self._read(_object_path(kind, name), self._timeout_s)
        if response.status == 404:
            return None
        found = self._decode_object(kind, _decode_body(response))
        return attrs.evolve(found, era=self._era)

    async def list(self, kind: str) -> objects.Listing:
        """Return all objects of one kind, from all pages, which are of one era."""
        items: list[objects.StoredObject] = []
        revision: int | None = None
        era: int | None = None
        after = ""
        while True:
            query = urllib.parse.urlencode({"after": after} if after else {})
            path = _object_path(kind) + (f"?{query}" if query else "")
            page = _decode_body(await self._read(path, self._timeout_s))
            era = self._era if era is None else era
            if era != self._era:
                raise objects.UnavailableError(f"a new era began while {kind} were listed")
            page_items = [self._decode_object(kind, raw) for raw in page.get("items") or ()]
            items += page_items
            # The listing has the revision of its first page, so that the watch that follows
            # reports the changes made while the other pages were read.
            revision = page["CurrentRev"] if revision is None else revision
            if not page.get("More") or not page_items:
                return objects.Listing(revision, tuple(items), era)
            after = page_items[-1].name

    async def create(self, kind: str, name: str, value: typing.Any) -> int:
        """Create an object; return its version."""
        payload = {"Metadata": {"Name": name}, "Spec": value}
        return await self._write(b"POST", _object_path(kind), payload)

    async def update(
        self, kind: str, name: str, value: typing.Any, version: int, era: int | None = None
    ) -> int:
        """Replace an object whose version is still ``version``; return its new version."""
        path = _object_path(kind, name)
        if era not in (None, self._era):
            raise objects.ConflictError(f"{path}: read in era {era}, which has ended")
        payload = {"Metadata": {"Name": name, "Revision": version}, "Spec": value}
        new_version = await self._write(b"PUT", path, payload)
        if era not in (None, self._era):
            # The version may have been given out again to another content.
            raise objects.OutcomeUnknownError(f"{path}: a new era began with the write")
        return new_version

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object whose version is still ``version``."""
        await self._write(b"DELETE", f"{_object_path(kind, name)}?Revision={version}", None)

    async def watch(
        self, kinds: Sequence[str], since: int, wait_s: float, margin_s: float
    ) -> objects.WatchBatch:
        """Return the events of one kind after ``since``, waiting for the first.

        The store answers at the latest when its wait is over. If the answer is later by more
        than the margin, the connection is considered dead.

        Raises:
            ValueError: There is not exactly one kind, which is all that the store can watch.
        """
        if len(kinds) != 1:
            raise ValueError(f"kinds must be one kind, got {list(kinds)!r}")
        path = f"{_object_path(kinds[0])}?Watch={since}&WaitMs={round(wait_s * 1000)}"
        body = _decode_body(await self._read(path, wait_s + margin_s))
        events = tuple(self._decode_event(kinds[0], since, event) for event in body["events"])
        return objects.WatchBatch(body["CurrentRev"], events, self._era)

    async def probe(self, timeout_s: float) -> None:
        """Check by the cheapest call whether the store is available.

        Args:
            timeout_s: Seconds to wait for the response.

        Raises:
            objects.UnavailableError: The store did not respond or refused the call.
        """
        await self._read(_object_path(names.PROBE_KIND, _PROBE_NAME) + "?StaleOk=1", timeout_s)

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._connections.close_idle(now)

    def stop(self) -> None:
        """Close all idle connections."""
        self._connections.stop()

    async def _read(self, path: str, timeout_s: float) -> http1.Response:
        try:
            response = await self._call(b"GET", path, None, timeout_s)
        except (exchange_results.ExchangeError, TimeoutError) as error:
            raise objects.UnavailableError(f"GET {path}: {error}") from error
        if not self._record_era(response):
            raise objects.UnavailableError(f"GET {path}: answer of an era that has ended")
        if response.status == 410:
            raise objects.ExpiredError(path)
        if response.status not in (200, 404):
            raise objects.UnavailableError(f"GET {path}: status {response.status}")
        self._answered_at = self._reactor.seconds()
        return response

    async def _write(self, method: bytes, path: str, payload: typing.Any) -> int:
        try:
            response = await self._call(method, path, payload, self._timeout_s)
        except TimeoutError as error:
            raise objects.OutcomeUnknownError(f"{path}: {error}") from error
        except exchange_results.ExchangeError as error:
            if error.fault is exchange_results.Fault.CONNECT:
                raise objects.UnavailableError(f"{path}: {error}") from error
            raise objects.OutcomeUnknownError(f"{path}: {error}") from error
        if not self._record_era(response):
            raise objects.OutcomeUnknownError(f"{path}: answer of an era that has ended")
        if response.status == 409 or (response.status == 404 and method != b"POST"):
            raise objects.ConflictError(f"{path}: status {response.status}")
        if response.status == 413:
            raise objects.TooLargeError(path)
        if response.status not in (200, 201, 204):
            raise objects.UnavailableError(f"{path}: status {response.status}")
        if method == b"DELETE":
            return 0
        return typing.cast(int, _decode_body(response)["Metadata"]["Revision"])

    async def _call(
        self, method: bytes, path: str, payload: typing.Any, timeout_s: float
    ) -> http1.Response:
        """Send one call and return its response.

        Raises:
            TimeoutError: No response came in time; the connection was closed.
            exchange_results.ExchangeError: The exchange failed without a whole response.
        """
        self._calls += 1
        headers = [(b"Host", self._address.encode())]
        body = b""
        if payload is not None:
            headers.append((b"Content-Type", _JSON))
            body = json.dumps(payload, separators=(",", ":")).encode()
        head = http1.RequestHead(method, path.encode(), tuple(headers))
        timeout = answer_timeout.AnswerTimeout(self._reactor, timeout_s)
        pending = defer.ensureDeferred(
            self._connections.exchange(
                self._address, head, body, require_fresh=False, on_data=timeout.record_data
            )
        )
        timeout.start(pending.cancel)
        try:
            received = await pending
        except defer.CancelledError as error:
            if timeout.is_running:
                # The caller cancelled the call, not the timer.
                raise
            self._connections.discard_idle(self._address)
            raise TimeoutError(f"no answer in {timeout_s:g} s") from error
        finally:
            timeout.stop()
        return typing.cast(exchange_results.ReceivedResponse, received).response

    def _record_era(self, response: http1.Response) -> bool:
        """Record the era of a response; return False if a later era has begun since."""
        era = _era_of(response)
        if era is None:
            return True
        is_latest = era >= self._era
        self._era = max(self._era, era)
        return is_latest

    def _decode_object(self, kind: str, raw: typing.Any) -> objects.StoredObject:
        meta = raw["Metadata"]
        value = raw if kind in self._full_object_kinds else raw.get("Spec")
        return objects.StoredObject(kind, meta["Name"], meta["Revision"], value)

    def _decode_event(self, kind: str, since: int, event: typing.Any) -> objects.WatchEvent:
        stored = self._decode_object(kind, event["Object"])
        if not event["Removed"]:
            return objects.WatchEvent(kind, stored.name, stored.version, stored.value)
        # The event of a removal may have the revision of the object's last change, which is
        # older than the removal. The watch would drop such an event as already known.
        version = max(stored.version, since + 1)
        return objects.WatchEvent(kind, stored.name, version, None)


def _object_path(kind: str, name: str | None = None) -> str:
    path = names.OBJECTS_PATH + urllib.parse.quote(kind, safe="")
    return path if name is None else f"{path}/{urllib.parse.quote(name, safe='')}"


def _era_of(response: http1.Response) -> int | None:
    """Return the era that a response names, or None if it names none that can be read."""
    text = response.get(names.STORE_ERA) or ""
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_ERA_DIGITS:
        return None
    return int(text)


def _decode_body(response: http1.Response) -> typing.Any:
    """Return the decoded JSON body of a response.

    Raises:
        objects.UnavailableError: The body is not JSON.
    """
    try:
        return json.loads(response.body)
    except ValueError as error:
        raise objects.UnavailableError(f"body is not JSON: {error}") from error
