"""Codec of the headers and directory lookups of the platform's clients and servers."""

import json
import re
from collections.abc import Callable

from carobhook.platform import names
from carobhook.protocol import client_api, http1
from carobhook.state import allocation, ids
from carobhook.transport import client_connections

_MAX_TIME_LEFT_MS = 24 * 3600 * 1000
# Numbers of figures in the load of a server without and with its pace.
_LOAD_FIGURES = 3
_LOAD_FIGURES_WITH_PACE = 4
_PERCENT = 100.0
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
# Name that no server has.
_NO_SERVER = b"none"
# Headers of the client's request that are set anew in the request to the server.
_REPLACED_HEADERS = frozenset(
    name.encode() for name in (names.TIME_LEFT_MS, names.EXPECTED_SERVER, "content-length")
)

# Client errors that tell the state of the object, which a server looks up when it runs the
# request. Others are given by its head, its size or its caller, before anything runs.
_STATUSES_BY_WORK = frozenset({404, 409, 410, 412, 422})

_API_KEY = names.API_KEY.encode()
_ACCOUNT_HEADERS = frozenset((_API_KEY, names.TENANT.encode()))


def request_id(head: http1.RequestHead) -> str | None:
    """Return the id that the client gave a request, or None."""
    return head.get(names.REQUEST_ID)


def object_key(head: http1.RequestHead) -> str | None:
    """Return the key of the object that a request concerns, or None."""
    return head.get(names.OBJECT_KEY)


def time_left_s(head: http1.RequestHead) -> float | None:
    """Return the seconds for which the client still waits, or None without the header.

    Raises:
        ValueError: The header is not a number.
    """
    return http1.header_seconds(head, names.TIME_LEFT_MS, _MAX_TIME_LEFT_MS)


def account_key(head: http1.RequestHead) -> str | None:
    """Return the key of the client account that a request states.

    None means that there is no key, or several: which of them counts would be a guess.
    """
    values = [value for name, value in head.headers if name.lower() == _API_KEY]
    if len(values) != 1:
        return None
    # As in the configuration, where it is Unicode text.
    return values[0].decode("utf-8", "surrogateescape")


def without_account(head: http1.RequestHead) -> http1.RequestHead:
    """Return a head without the key and name of a client account.

    Names with underscores are removed too, as servers with a CGI-like interface (WSGI, PHP)
    take them for those with hyphens.
    """
    headers = tuple(
        (name, value)
        for name, value in head.headers
        if name.lower().replace(b"_", b"-") not in _ACCOUNT_HEADERS
    )
    return http1.RequestHead(head.method, head.target, headers)


class ServerCodec:
    """Encodes request heads for backend servers and interprets their responses.

    Args:
        has_accounts: Returns whether the configuration in force has client accounts. While it
            has, no key is passed on, and no account that the client names itself.
    """

    def __init__(self, has_accounts: Callable[[], bool] = lambda: False) -> None:
        self._has_accounts = has_accounts

    def build_request_head(
        self,
        head: http1.RequestHead,
        server: ids.Server,
        time_left_s: float,
        account: ids.Account | None = None,
    ) -> http1.RequestHead:
        """Return the head of a request as it is sent to a backend server.

        Args:
            head: Head of the client's request.
            server: Id of the server that is to run it.
            time_left_s: Seconds until the deadline of the request.
            account: Client account whose name the server receives, None for none.
        """
        if account is not None or self._has_accounts():
            head = without_account(head)
        headers = [
            (name, value)
            for name, value in http1.end_to_end_headers(head.headers)
            if name.lower() not in _REPLACED_HEADERS
        ]
        if account is not None:
            headers.append((names.TENANT.encode(), account.encode()))
        time_left_ms = max(1, int(time_left_s * 1000))
        headers.append((names.TIME_LEFT_MS.encode(), str(time_left_ms).encode()))
        headers.append((names.EXPECTED_SERVER.encode(), server.encode()))
        return http1.RequestHead(head.method, head.target, tuple(headers))

    def build_probe_head(self, address: str, health_path: str) -> http1.RequestHead:
        """Return the head of a request that any server answers and none runs.

        It asks for the health check, of a server that does not exist: a server checks the name
        first, or it answers the check.

        Args:
            address: Address of the server, ``host:port``.
            health_path: Path of the health check on the server.
        """
        headers = (
            (b"Host", address.encode()),
            (names.EXPECTED_SERVER.encode(), _NO_SERVER),
        )
        return http1.RequestHead(b"GET", health_path.encode(), headers)

    def match_attempt(
        self, response: http1.Response, client_request_id: str | None
    ) -> allocation.ResponseMatch:
        """Return whether a response belongs to the request that it was received for.

        Args:
            response: Response of a backend server.
            client_request_id: Id that the client gave the request, or None.
        """
        response_id = response.get(names.REQUEST_ID)
        if client_request_id is None:
            return allocation.ResponseMatch.UNKNOWN
        if response_id is None:
            return allocation.ResponseMatch.UNNAMED
        if response_id != client_request_id:
            return allocation.ResponseMatch.OTHER
        return allocation.ResponseMatch.NAMED

    def attempt_outcome(self, response: http1.Response) -> allocation.AttemptOutcome:
        """Return the outcome of an attempt that a backend server responded to."""
        if response.status == 421:
            return allocation.AttemptOutcome.MISDIRECTED
        if response.get(names.NOT_EXECUTED) is not None:
            return allocation.AttemptOutcome.SHED
        if response.status >= 500:
            return allocation.AttemptOutcome.FAILED
        return allocation.AttemptOutcome.ANSWERED

    def shows_run(self, response: http1.Response) -> bool:
        """Return whether a response shows that its server ran the request without a failure."""
        if response.get(names.NOT_EXECUTED) is not None:
            return False
        return 200 <= response.status < 400 or response.status in _STATUSES_BY_WORK

    def rate_statement(self, response: http1.Response) -> allocation.RateStatement | None:
        """Return what a response says about the rate of requests that its server takes.

        None means that it says nothing: it is the response of another server at the address, or
        rejects a request without naming a limit.

        Raises:
            ValueError: The limit is not a decimal number of at least 0.
        """
        if response.status == 421:
            return None
        text = response.get(names.SERVER_LIMIT)
        if text is None:
            is_rejection = response.get(names.NOT_EXECUTED) is not None
            return None if is_rejection else allocation.RateStatement(None)
        return allocation.RateStatement(_decimal("limit", text))

    def notice(self, response: http1.Response) -> allocation.ServerNotice | None:
        """Return what a response says of its server itself, or None if it says nothing.

        Raises:
            ValueError: The time of a rest is not a decimal number of at least 0.
        """
        if response.status == 421:
            return None
        is_leaving = response.get(names.SERVER_LEAVING) == "1"
        rest_s: float | None = None
        text = response.get(names.RETRY_AFTER) if response.status == 503 else None
        if text is not None:
            rest_s = _decimal("Retry-After", text) or None
        if not is_leaving and rest_s is None:
            return None
        return allocation.ServerNotice(is_leaving, rest_s)

    def pace(self, response: http1.Response) -> float | None:
        """Return how long work takes on the server of a response, by its own statement.

        The result is a multiple of the time that work usually takes, or None if the response
        does not say it or comes from another server than the one that was asked.

        Raises:
            ValueError: The load that the response states cannot be read.
        """
        text = response.get(names.SERVER_LOAD)
        if text is None or response.status == 421:
            return None
        figures = [_decimal("load", figure) for figure in text.split(",")]
        if len(figures) == _LOAD_FIGURES:
            return None
        if len(figures) != _LOAD_FIGURES_WITH_PACE or figures[-1] <= 0:
            raise ValueError(f"load must have three or four figures, got {text!r:.40}")
        return figures[-1] / _PERCENT


def _decimal(name: str, text: str) -> float:
    """Return the value of a header that must hold a decimal number of at least 0.

    Raises:
        ValueError: It does not.
    """
    if _DECIMAL.fullmatch(text.strip()) is None:
        raise ValueError(f"{name} must be a decimal number, got {text!r:.40}")
    return float(text)


def parse_directory_query(target: bytes) -> client_api.Lookup | None:
    """Parse the target of a request to the directory.

    Args:
        target: Request target.

    Returns:
        The client's region and failure domain, which the platform calls zone; empty where the
        client does not send them. None if the path is another one.
    """
    path, _, query = target.decode("latin-1").partition("?")
    if path != names.RESOLVE_PATH:
        return None
    parameters = dict(part.partition("=")[::2] for part in query.split("&") if part)
    return client_api.Lookup(
        ids.Region(parameters.get("Region", "")), ids.FailureDomain(parameters.get("Zone", ""))
    )


def encode_directory_response(addresses: list[str], ttl_s: float) -> http1.Response:
    """Return the response to a directory lookup.

    Args:
        addresses: Addresses for requests, best first; an empty list gives status 503.
        ttl_s: Seconds for which clients may cache the response.
    """
    if not addresses:
        return client_connections.local_response(503)
    body = {"Addresses": addresses, "Ttl": f"{round(ttl_s * 1000)}ms"}
    headers = ((b"Content-Type", b"application/json"),)
    return http1.Response(200, b"OK", headers, json.dumps(body).encode())
