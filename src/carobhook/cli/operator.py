"""Client of a daemon's operator port: values and HTTP."""

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

REQUEST_TIMEOUT_S = 10.0
ATTEMPTS = 3
_RETRY_DELAY_S = 0.3

_T = typing.TypeVar("_T")
_CONVERTER = cattrs.preconf.json.make_converter()


class UnreachableError(Exception):
    """No daemon answered at the operator address."""


class UnexpectedAnswerError(Exception):
    """Something answered at the operator address, but not as a daemon does."""


def _new_order_id() -> ids.OrderId:
    return ids.OrderId(uuid.uuid4().hex)


@attrs.frozen
class Order:
    """One order.

    Attributes:
        text: The order as the operator wrote it.
        id: Random id; the same in every attempt to send the order.
    """

    text: str
    id: ids.OrderId = attrs.field(factory=_new_order_id)


@attrs.frozen
class Answer:
    """Answer to one order.

    Attributes:
        code: Number of the result code.
        text: One sentence for people.
        version: Configuration version that the order made, None when it made none.
        columns: Names of the columns of a query's answer.
        rows: Rows of a query's answer, one value for each column.
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
    """How far a configuration version has come.

    Attributes:
        version: The version.
        in_force: Instances in which it is in force.
        total: Live instances.
        missing: Names of the instances that do not have it yet.
        seconds: Time since it was accepted.
    """

    version: int
    in_force: int
    total: int
    missing: list[str]
    seconds: float

    @property
    def complete(self) -> bool:
        """Return whether the version is in force everywhere."""
        return self.total > 0 and self.in_force >= self.total


_SUCCESSES = frozenset(
    code.number
    for code in (codes.Code.ORDER_IN_FORCE, codes.Code.ORDER_ACCEPTED, codes.Code.QUERY_OK)
)


class Operator(typing.Protocol):
    """What the command line asks of a daemon."""

    def send(self, order: Order) -> Answer:
        """Send one order and return its answer."""

    def progress(self, version: int) -> Progress:
        """Return how far a configuration version has come."""


class HttpOperator:
    """Speaks HTTP to a daemon's operator port.

    Args:
        reactor: Sockets and timers.
        address: ``host:port`` of the operator port.
        token: The operator's token.
        ca_file: PEM file of authorities; the port speaks TLS when it is given.
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

        The order is sent again, with the same id, when no answer comes.

        Raises:
            UnreachableError: No answer came.
            UnexpectedAnswerError: The answer is not one of a daemon.
        """
        body: dict[str, Any] = {"id": order.id, "text": order.text}
        return await self._attempt(Answer, "POST", "orders", body)

    async def progress(self, version: int) -> Progress:
        """Return how far a configuration version has come.

        Raises:
            UnreachableError: No answer came.
            UnexpectedAnswerError: The answer is not one of a daemon.
        """
        return await self._attempt(Progress, "GET", f"in-force/{version}", None)

    async def _attempt(self, kind: type[_T], method: str, path: str, body: Any) -> _T:
        for attempt in range(ATTEMPTS):
            await task.deferLater(self._reactor, _RETRY_DELAY_S * attempt)
            call = defer.ensureDeferred(self._exchange(kind, method, path, body))
            try:
                return await call.addTimeout(REQUEST_TIMEOUT_S, self._reactor)
            except _NO_ANSWER as problem:
                reason = _reason(problem)
        raise UnreachableError(f"no daemon answers at {self._address}: {reason}")

    async def _exchange(self, kind: type[_T], method: str, path: str, body: Any) -> _T:
        url = f"{self._base}/{path}"
        response = await self._client.request(method, url, json=body, headers=self._headers)
        text = await treq.text_content(response, "utf-8")
        try:
            return _CONVERTER.loads(text, kind)
        except Exception as problem:
            raise UnexpectedAnswerError(
                f"{self._address} gave HTTP status {response.code} and a body of "
                f"{len(text)} characters that is not an answer to an order"
            ) from problem


_NO_ANSWER = (
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
    if ca_file is None:
        return client.Agent(reactor)
    authorities = ssl.trustRootFromCertificates([ssl.Certificate.loadPEM(ca_file.read_bytes())])
    return client.Agent(reactor, client.BrowserLikePolicyForHTTPS(authorities))


def _reason(problem: BaseException) -> str:
    if isinstance(problem, error.ConnectionRefusedError):
        return "connection refused"
    if isinstance(problem, (defer.TimeoutError, error.TimeoutError)):
        return f"no answer within {REQUEST_TIMEOUT_S:g} s"
    reasons = getattr(problem, "reasons", None)
    if not reasons:
        return str(problem) or type(problem).__name__
    if reasons[0].check(SSL.Error):
        return "no trusted TLS connection"
    if reasons[0].check(error.ConnectionDone, error.ConnectionLost):
        return "the connection was closed without an answer (does the port need --ca-file?)"
    return reasons[0].getErrorMessage()


class BlockingOperator:
    """Offers an `HttpOperator` to code without a reactor, which runs in a thread of its own.

    Args:
        connect: Makes the client, given the reactor.
    """

    def __init__(self, connect: Callable[[Any], HttpOperator]) -> None:
        self._reactor = _running_reactor()
        self._operator = connect(self._reactor)

    def send(self, order: Order) -> Answer:
        """Send one order and return its answer."""
        return self._wait_for(lambda: self._operator.send(order))

    def progress(self, version: int) -> Progress:
        """Return how far a configuration version has come."""
        return self._wait_for(lambda: self._operator.progress(version))

    def _wait_for(self, call: Callable[[], Coroutine[Any, Any, _T]]) -> _T:
        return threads.blockingCallFromThread(
            self._reactor, lambda: defer.ensureDeferred(call())
        )


def _running_reactor() -> Any:
    """Return the reactor, running in a background thread."""
    from twisted.internet import reactor

    loop = typing.cast(Any, reactor)
    if not loop.running:
        started = threading.Event()
        loop.callWhenRunning(started.set)
        run = functools.partial(loop.run, installSignalHandlers=False)
        threading.Thread(target=run, daemon=True).start()
        started.wait()
    return loop
