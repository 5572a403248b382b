"""A stream between two running instances broke, and what was on it was never sent again."""

from twisted.internet import defer, reactor

import test_late_stop


class BrokenStreamCase(test_late_stop.StopCase):
    """The instance `two` dispatches for both; requests at `one` wait for its slots."""

    WORK_S = 1.5

    async def queue_requests(self):
        """Return four requests that run at `two`, and three at `one` that wait for a slot."""
        await self.join()
        self.set_behaviour(work_s=self.WORK_S)
        running = [
            defer.ensureDeferred(self.status(f"running-{number}", "two")) for number in range(4)
        ]
        await self.wait_until(
            lambda: len(self.started_ids) == 4 or any(r.called for r in running)
        )
        assert len(self.started_ids) == 4, [
            request.result for request in running if request.called
        ]
        queued = [defer.ensureDeferred(self.status(f"queued-{number}")) for number in range(3)]
        await self.wait_until(lambda: self.daemons[0]._allocator.pending_count == 3)
        return running, queued

    def break_streams(self, names):
        """Abort the streams from some instances to the other one."""
        for daemon in self.daemons:
            if daemon._settings.place.name not in names:
                continue
            for connector in daemon._streams._peers._connectors.values():
                connector.stream.transport.abortConnection()


class TestQueuedSlotRequests(BrokenStreamCase):
    """Slot requests are in the queue of a dispatcher as the stream that brought them breaks."""

    async def check(self, names):
        """Break streams; all requests are answered well before their deadlines."""
        running, queued = await self.queue_requests()
        broken_at = reactor.seconds()
        self.break_streams(names)
        results = await defer.gatherResults(running + queued)
        assert [status for status, _ in results] == [200] * 7
        assert reactor.seconds() - broken_at < 4.5

    async def test_stream_to_the_dispatcher(self):
        """Its end is taken for that of the instance, whose requests are removed."""
        await self.check(["one"])

    async def test_stream_from_the_dispatcher(self):
        """Grants on it are lost."""
        await self.check(["two"])

    async def test_both_streams(self):
        """The connections of a machine are reset."""
        await self.check(["one", "two"])
