"""A server got far more requests than the limit that it had named."""

import bisect

from twisted.internet import defer, reactor, task

import test_entry
from carobhook.standins import platform_server
from carobhook.state import members

# What a server may get within `WINDOW_S`, from `SETTLE_S` after it first named its limit.
WINDOW_S = 4.0
SETTLE_S = 3.0
FACTOR = 1.5
EXTRA_REQUESTS = 5


def find_excess(starts, limit_per_s, named_at):
    """Return the largest number of requests by which a window exceeds what is allowed.

    Args:
        starts: Times in seconds at which the server got requests, in ascending order.
        limit_per_s: Requests a second that it named as its limit.
        named_at: Time in seconds at which it first named it.
    """
    allowed = FACTOR * limit_per_s * WINDOW_S + EXTRA_REQUESTS
    counts = [
        number + 1 - bisect.bisect_right(starts, end - WINDOW_S)
        for number, end in enumerate(starts)
        if end >= named_at + SETTLE_S
    ]
    return max(counts, default=0) - allowed


class TestServerThatNamesALimit(test_entry.EntryCase):
    """Two instances send requests to six servers, of which one names a limit."""

    server_count = 6
    REQUESTS_PER_S = 90
    LIMIT_PER_S = 10.0
    WORK_S = 0.06
    OBJECTS = 30

    async def test_it_gets_no_more_than_its_limit(self):
        """All instances together stay within the limit, and the other servers do the work."""
        self.daemons.append(await self.start_instance("two", ["one"]))
        await self.wait_until(lambda: self.daemons[1].phase is members.Phase.READY)
        # Times that leave room for a busy machine, on which all parts share this process.
        times = {"TargetLatency": "2500ms", "Timeout": "3s"}
        self.store.put("config", "main", test_entry.config(2, test_entry.route(**times)))
        await self.wait_until(
            lambda: all(daemon._catalog.config.version == 2 for daemon in self.daemons)
        )
        self.set_behaviour(work_s=self.WORK_S)
        await self.send_load(1.0)
        named_at = reactor.seconds()
        limited = max(self.backends.values(), key=lambda backend: len(backend.starts))
        limited.behaviour = platform_server.Behaviour(
            work_s=self.WORK_S, limit=str(self.LIMIT_PER_S)
        )
        statuses = await self.send_load(SETTLE_S + WINDOW_S)
        starts = [started_at for _, started_at in limited.starts]
        assert find_excess(starts, self.LIMIT_PER_S, named_at) <= 0
        assert statuses.count(200) >= 0.98 * len(statuses)

    async def send_load(self, duration_s):
        """Send requests through both instances in turn; return their statuses."""
        running = []
        started_at = reactor.seconds()
        for number in range(round(duration_s * self.REQUESTS_PER_S)):
            at = started_at + number / self.REQUESTS_PER_S
            await task.deferLater(reactor, max(0.0, at - reactor.seconds()))
            sent = self.request(
                instance=("one", "two")[number % 2],
                X_Attempt_Id=f"{started_at}-{number}",
                X_Affinity_Key=str(number % self.OBJECTS),
            )
            running.append(defer.ensureDeferred(sent))
        responses = await defer.gatherResults(running)
        return [response.status for response in responses]
