"""HTTP client of a daemon's operator port, and the orders and answers that it exchanges."""

import functools
import pathlib
import threading
import typing
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import cattrs.preconf.json
import treq
from OpenSSL import SSL
from twisted.internet import defer, error, ssl, task, threads
from twisted.web import client

from carobhook.state import codes, ids

# Timeout of each attempt.
REQUEST_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 3
# Delay before the first retry; each further retry waits this much longer than the one before.
_RETRY_DELAY_S = 0.3

_T = typing.TypeVar("_T")
_CONVERTER = cattrs.preconf.json.make_converter()


class UnreachableError(Exception):
    """No daemon answered at the operator address."""


class UnexpectedAnswerError(Exception):
    """The response from the operator address is not one that a daemon sends."""


def _new_order_id() -> ids.OrderId:
    return ids.OrderId(uuid.uuid4().hex)


@attrs.frozen
class Order:
    """Order to a daemon.

    Attributes:
        text: The order as the operator wrote it.
        id: Random id. All attempts to send the order have the same one, so that the daemon
            recognises a repetition and applies the order once.
    """

    text: str
    id: ids.OrderId = attrs.field(factory=_new_order_id)


@attrs.frozen
class Answer:
    """Answer of a daemon to one order or query.

    Attributes:
        code: Number of the result code.
        text: Result in one sentence, for people.
        version: Version of the orders that an accepted order created, or that a query is about;
            None if there is neither.
        columns: Column names of the table that answers a query, None without a table.
        rows: Rows of the table, with one value for each column.
    """

    code: int
    text: str
    version: int | None = None
    columns: list[str] | None = None
    rows: list[list[Any]] | None = None

    @property
    def accepted(self) -> bool:
        """Return whether the order or query succeeded."""
        return self.code in _SUCCESSES


@attrs.frozen
class Progress:
    """Progress of a version of the orders: the live instances in which it is in force.

    Attributes:
        version: The version.
        in_force: Number of live instances in which it is in force.
        total: Number of live instances.
        missing: Names of the live instances in which it is not in force yet.
        seconds: Seconds since the version was accepted.
    """

    version: int
    in_force: int
    total: int
    missing: list[str]
    seconds: float

    @property
    def complete(self) -> bool:
        """Return whether the version is in force in all live instances."""
        return self.total > 0 and self.in_force >= self.total


_SUCCESSES = frozenset(
    code.number
    for code in (codes.Code.ORDER_IN_FORCE, codes.Code.ORDER_ACCEPTED, codes.Code.QUERY_OK)
)


class OperatorClient(typing.Protocol):
    """Sends orders to a daemon and waits for the answers."""

    def send(self, order: Order) -> Answer:
        """Send one order and return its answer."""

    def fetch_progress(self, version: int) -> Progress:
        """Return in which instances a version of the orders is in force."""


class HttpOperatorClient:
    """Sends orders to a daemon's operator port over HTTP.

    Args:
        reactor: Reactor for connections and timers.
        address: ``host:port`` of the operator port.
        token: The operator's token.
        ca_file: PEM file; its first certificate is the only trusted authority. Enables TLS if
            it is given.
    """

    def __init__(
        self, reactor: Any, address: str, token: str, ca_file: pathlib.Path | None = None
    ) -> None:
        self._reactor = reactor
        self._base = f"{'https' if ca_file else 'http'}://{address}/v1"
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"}
        self._client = treq.client.HTTPClient(_agent(reactor, ca_file))

    async def send(self, order: Order) -> Answer:
        """Send one order and return its answer.

        An attempt without an answer is repeated with the same order id.

        Raises:
            UnreachableError: No attempt got an answer.
            UnexpectedAnswerError: The response is not one that a daemon sends.
        """
        body: dict[str, Any] = {"id": order.id, "text": order.text}
        return await self._call_with_retries(Answer, "POST", "orders", body)

    async def fetch_progress(self, version: int) -> Progress:
        """Return in which instances a version of the orders is in force.

        Raises:
            UnreachableError: No attempt got an answer.
            UnexpectedAnswerError: The response is not one that a daemon sends.
        """
        return await self._call_with_retries(Progress, "GET", f"in-force/{version}", None)

    async def _call_with_retries(
        self, answer_type: type[_T], method: str, path: str, body: Any
    ) -> _T:
        for attempt in range(MAX_ATTEMPTS):
            await task.deferLater(self._reactor, _RETRY_DELAY_S * attempt)
            call = defer.ensureDeferred(self._call_once(answer_type, method, path, body))
            try:
                return await call.addTimeout(REQUEST_TIMEOUT_S, self._reactor)
            except _RETRIED_ERRORS as exc:
                reason = _describe_error(exc)
        raise UnreachableError(f"no daemon answers at {self._address}: {reason}")

    async def _call_once(self, answer_type: type[_T], method: str, path: str, body: Any) -> _T:
        url = f"{self._base}/{path}"
        response = await self._client.request(method, url, json=body, headers=self._headers)
        text = await treq.text_content(response, "utf-8")
        try:
            return _CONVERTER.loads(text, answer_type)
        except Exception as exc:
            raise UnexpectedAnswerError(
                f"{self._address} gave HTTP status {response.code} and a body of "
                f"{len(text)} characters that is not an answer to an order"
            ) from exc


_RETRIED_ERRORS = (
    error.ConnectError,
    error.ConnectionClosed,
    error.DNSLookupError,
    error.TimeoutError,
    defer.TimeoutError,
    client.RequestNotSent,
    client.RequestTransmissionFailed,
    client.ResponseFailed,
    client.ResponseNeverReceived,
)


def _agent(reactor: Any, ca_file: pathlib.Path | None) -> Any:
    """Return an HTTP agent; if a file is given, it trusts only the file's first certificate."""
    if ca_file is None:
        return client.Agent(reactor)
    trust_root = ssl.trustRootFromCertificates([ssl.Certificate.loadPEM(ca_file.read_bytes())])
    return client.Agent(reactor, client.BrowserLikePolicyForHTTPS(trust_root))


def _describe_error(exc: BaseException) -> str:
    """Return the reason why an attempt got no answer, for people."""
    if isinstance(exc, error.ConnectionRefusedError):
        return "connection refused"
    if isinstance(exc, (defer.TimeoutError, error.TimeoutError)):
        return f"no answer within {REQUEST_TIMEOUT_S:g} s"
    reasons = getattr(exc, "reasons", None)
    if not reasons:
        return str(exc) or type(exc).__name__
    if reasons[0].check(SSL.Error):
        return "no trusted TLS connection"
    if reasons[0].check(error.ConnectionDone, error.ConnectionLost):
        return "the connection was closed without an answer (does the port need --ca-file?)"
    return reasons[0].getErrorMessage()


class BlockingOperatorClient:
    """Makes blocking calls to an `HttpOperatorClient`, whose reactor runs in another thread.

    Args:
        create_client: Returns the client for a reactor.
    """

    def __init__(self, create_client: Callable[[Any], HttpOperatorClient]) -> None:
        self._reactor = _start_reactor()
        self._client = create_client(self._reactor)

    def send(self, order: Order) -> Answer:
        """Send one order and return its answer."""
        return self._wait_for(lambda: self._client.send(order))

    def fetch_progress(self, version: int) -> Progress:
        """Return in which instances a version of the orders is in force."""
        return self._wait_for(lambda: self._client.fetch_progress(version))

    def _wait_for(self, call: Callable[[], Coroutine[Any, Any, _T]]) -> _T:
        return threads.blockingCallFromThread(
            self._reactor, lambda: defer.ensureDeferred(call())
        )


def _start_reactor() -> Any:
    """Return the reactor, and start it in a background thread unless it runs already."""
    from twisted.internet import reactor

    loop = typing.cast(Any, reactor)
    if not loop.running:
        started = threading.Event()
        loop.callWhenRunning(started.set)
        run = functools.partial(loop.run, installSignalHandlers=False)
        threading.Thread(target=run, daemon=True).start()
        started.wait()
    return loop
