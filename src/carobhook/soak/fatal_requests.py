"""Requests that end the servers which run them, and innocent ones whose servers only seem to.

Both are sent again and again, to all instances, while what tells them from each other is
missing: the store does not tell of a new run, a server is back before anyone looks, or the
client has given the request up.
"""

import enum
import random
import typing
from collections.abc import Sequence

import attrs
from twisted.internet import defer, task

from carobhook import demo
from carobhook.platform import names
from carobhook.protocol import http1
from carobhook.soak import deployment, proxy
from carobhook.transport import exchange_results, server_connections

_SERVICE = "licences"
_INNOCENT_SERVICE = "royalties"
_INTERVAL_S = 0.2
# The servers that are ended are back after this time, so that there is always one to end.
_DOWN_S = 0.3
_TIMEOUT_S = 3.0
# In an untold series, requests are sent at this interval, and run for so long that a client can
# give them up before they end.
_UNTOLD_INTERVAL_S = 0.25
_UNTOLD_WORK_S = 0.15
_GIVE_UP_S = 0.1
# Longest wait until an innocent request runs, and time from its end to the next one.
_START_WAIT_S = 0.5
_POLL_S = 0.01
_INNOCENT_PAUSE_S = 0.5
_INNOCENT_TRIES = 8


class Cut(enum.Enum):
    """What happens to the servers of an innocent request; the values are times in seconds.

    RESET: Their connections are reset.
    REFUSED: So are new ones, as they are accepted.
    UNANSWERED: After the reset, new ones get no answer for longer than the instances check.
    """

    RESET = 0.0
    REFUSED = 0.3
    UNANSWERED = 2.5


_INNOCENT_CUTS = (
    Cut.RESET,
    Cut.REFUSED,
    Cut.UNANSWERED,
    Cut.RESET,
    Cut.UNANSWERED,
    Cut.RESET,
    Cut.UNANSWERED,
)


@attrs.frozen
class Untold:
    """How servers come back, and what hides that they had ended.

    Attributes:
        down_s: Seconds from the end of a server to its next start.
        takes_new_id: Whether it has a new id then, at the same address.
        told_after_s: Seconds from the start until the store tells of it. A server that ends
            before is not told of.
        gives_up: Whether clients give a request up before it ends the server.
    """

    down_s: float
    takes_new_id: bool
    told_after_s: float
    gives_up: bool


UNTOLD = (
    Untold(down_s=0.8, takes_new_id=False, told_after_s=3.0, gives_up=False),
    Untold(down_s=0.05, takes_new_id=True, told_after_s=0.0, gives_up=True),
    Untold(down_s=0.05, takes_new_id=True, told_after_s=1.0, gives_up=False),
    Untold(down_s=0.05, takes_new_id=False, told_after_s=0.5, gives_up=True),
    Untold(down_s=1.5, takes_new_id=True, told_after_s=3.0, gives_up=True),
)


class FatalRequests:
    """Sends requests that end servers, and innocent ones.

    Args:
        reactor: Source of time and connections.
        system: The deployment.
        instance_count: Number of its instances.
        headers: Further headers of each request.

    Attributes:
        request_ids: Ids of all requests.
        fatal_ids: Ids of those that end servers.
        is_paused: Whether those are not sent for now.
        innocent_statuses: Statuses of the innocent requests whose connections were disturbed.
        refused_innocents: Innocent requests that were still refused at the end, a line each.
    """

    def __init__(
        self,
        reactor: typing.Any,
        system: deployment.Deployment,
        instance_count: int,
        headers: http1.Headers,
    ) -> None:
        self._reactor = reactor
        self._deployment = system
        self._instance_count = instance_count
        self._headers = headers
        self._connections = server_connections.ServerConnections(reactor, 1.0)
        self.request_ids: list[str] = []
        self.fatal_ids: list[str] = []
        self.is_paused = False
        self.innocent_statuses: list[int] = []
        self.refused_innocents: list[str] = []

    def stop(self) -> None:
        """Close all connections."""
        self._connections.stop()

    async def send_copies(self, duration_s: float) -> None:
        """Send a request that ends its servers, twice to each instance, again and again."""
        target = self._make_fatal(down_s=_DOWN_S)
        end_at = self._reactor.seconds() + duration_s
        sent = []
        while self._reactor.seconds() <= end_at:
            copies = 0 if self.is_paused else 2 * self._instance_count
            for index in (number % self._instance_count for number in range(copies)):
                sent.append(defer.ensureDeferred(self._send_fatal(index, target, _TIMEOUT_S)))
            await task.deferLater(self._reactor, _INTERVAL_S)
        await defer.gatherResults(sent)

    async def send_untold(self, number: int, duration_s: float) -> None:
        """Send a request that ends its servers, again and again, while that is hidden.

        Args:
            number: Number that selects how it is hidden.
            duration_s: Seconds for which requests are sent.
        """
        untold = UNTOLD[number % len(UNTOLD)]
        self._deployment.restarts = deployment.Restarts(
            untold.takes_new_id, untold.told_after_s
        )
        target = self._make_fatal(down_s=untold.down_s, work_s=_UNTOLD_WORK_S)
        for server in self._deployment.servers_of(_INNOCENT_SERVICE):
            server.behaviour = attrs.evolve(server.behaviour, work_s=_UNTOLD_WORK_S)
        timeout_s = _GIVE_UP_S if untold.gives_up else _TIMEOUT_S
        rng = random.Random(number)
        innocent = defer.ensureDeferred(self._send_innocents(rng))
        end_at = self._reactor.seconds() + duration_s
        sent = [innocent]
        while self._reactor.seconds() <= end_at:
            index = rng.randrange(self._instance_count)
            sent.append(defer.ensureDeferred(self._send_fatal(index, target, timeout_s)))
            await task.deferLater(self._reactor, _UNTOLD_INTERVAL_S)
        await defer.gatherResults(sent)
        await self._check_innocent(rng)
        self._deployment.restarts = deployment.Restarts()

    def _make_fatal(self, **fields: typing.Any) -> str:
        """Let requests for a target end servers; return the target."""
        target = f"/{_SERVICE}/fatal"
        for server in self._deployment.servers_of(_SERVICE):
            server.behaviour = attrs.evolve(
                server.behaviour, fatal_target=target.encode(), **fields
            )
        return target

    async def _send_innocents(self, rng: random.Random) -> None:
        """Send a request whose connections are reset, or whose servers are cut off, in turn."""
        proxies = self._deployment.proxies_of(_INNOCENT_SERVICE)
        for cut in _INNOCENT_CUTS:
            index = rng.randrange(self._instance_count)
            sending = defer.ensureDeferred(self._send_innocent(index))
            await self._wait_until_started(self.request_ids[-1])
            await self._cut_off(proxies, cut)
            self.innocent_statuses.append(await sending)
            await task.deferLater(self._reactor, _INNOCENT_PAUSE_S)

    async def _cut_off(self, proxies: Sequence[proxy.Proxy], cut: Cut) -> None:
        """Reset the connections to servers, and cut the servers off from all instances."""
        for each_proxy in proxies:
            each_proxy.reset()
            if cut is Cut.REFUSED:
                each_proxy.mode = proxy.Mode.REFUSE
            elif cut is Cut.UNANSWERED:
                await each_proxy.cut_off()
        await task.deferLater(self._reactor, cut.value)
        for each_proxy in proxies:
            if cut is Cut.REFUSED:
                each_proxy.mode = proxy.Mode.PASS
            elif cut is Cut.UNANSWERED:
                each_proxy.end_cut_off()

    async def _wait_until_started(self, request_id: str) -> None:
        """Wait until a server runs a request, but no longer than it may take."""
        end_at = self._reactor.seconds() + _START_WAIT_S
        servers = self._deployment.servers_of(_INNOCENT_SERVICE)
        while self._reactor.seconds() < end_at:
            if any(request_id == known for s in servers for known in s.started_ids[-20:]):
                return
            await task.deferLater(self._reactor, _POLL_S)

    async def _check_innocent(self, rng: random.Random) -> None:
        """Note if the innocent request is still refused when nothing disturbs it any more."""
        statuses = []
        for _ in range(_INNOCENT_TRIES):
            index = rng.randrange(self._instance_count)
            statuses.append(await self._send_innocent(index))
            if statuses[-1] == 200:
                return
            await task.deferLater(self._reactor, _UNTOLD_INTERVAL_S)
        self.refused_innocents.append(f"an innocent request got {statuses} at the end")

    async def _send_innocent(self, index: int) -> int:
        return await self._send(index, f"/{_INNOCENT_SERVICE}/innocent", _TIMEOUT_S)

    async def _send_fatal(self, index: int, target: str, timeout_s: float) -> int:
        self.fatal_ids.append(f"fatal-{len(self.request_ids)}")
        return await self._send(index, target, timeout_s)

    async def _send(self, index: int, target: str, timeout_s: float) -> int:
        """Send a request to an instance; return the status, or 0 without a response."""
        request_id = f"fatal-{len(self.request_ids)}"
        self.request_ids.append(request_id)
        headers = {"Host": demo.SERVED_HOST, names.REQUEST_ID: request_id}
        headers[names.TIME_LEFT_MS] = "2000"
        raw = tuple((name.encode(), value.encode()) for name, value in headers.items())
        head = http1.RequestHead(b"POST", target.encode(), raw + self._headers)
        address = self._deployment.entry_address(index)
        exchange = defer.ensureDeferred(
            self._connections.exchange(address, head, b"", require_fresh=True)
        )
        try:
            received = await exchange.addTimeout(timeout_s, self._reactor)
        except (exchange_results.ExchangeError, defer.TimeoutError):
            return 0
        return received.response.status
