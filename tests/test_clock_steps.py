"""The time of day stepped back, and dispatchers failed and ended the streams of others."""

import os
import pathlib
import random
import signal
import subprocess
import sys

from twisted.internet import defer, reactor, task

import test_dispatcher
import test_entry
from carobhook.state import allocation
from carobhook.transport import exchange_results

# Runs an instance whose time of day steps back by five seconds at SIGUSR1.
_STEPPING_INSTANCE = """
import runpy, signal, time
time_of_day, step_s = time.time, [0.0]
time.time = lambda: time_of_day() + step_s[0]
signal.signal(signal.SIGUSR1, lambda *_: step_s.append(-5.0) or step_s.pop(0))
runpy.run_module("carobhook.entry", run_name="__main__")
"""


class TestClockStep:
    """A dispatcher whose clock is set back by three seconds from time to time."""

    def test_step_back_fails_no_grant(self):
        """The dispatcher goes on to grant slots, without an error."""
        rng = random.Random(1)
        dispatcher_ = test_dispatcher.make_dispatcher(
            *[test_dispatcher.offer(f"s{number}", 2) for number in range(4)]
        )
        now, running = 10.0, []
        for number in range(3000):
            now += rng.expovariate(50)
            if rng.random() < 0.003:
                now -= 3.0
            if running and rng.random() < 0.45:
                request_id, server = running.pop(rng.randrange(len(running)))
                decisions = dispatcher_.release_slot(
                    request_id, server, allocation.AttemptOutcome.ANSWERED, now
                )
            else:
                request = test_dispatcher.make_request(
                    number, now, target_s=0.5, object_key=f"o{rng.randrange(12)}"
                )
                decisions = dispatcher_.submit(request, now)
            running += [
                (decision.ask_id, decision.server)
                for decision in decisions
                if isinstance(decision, allocation.SlotGrant)
            ]


class TestTimersAfterStep(test_entry.EntryCase):
    """An instance in a process of its own, whose time of day is set back."""

    async def is_ready(self):
        """Return whether the instance answers that it is ready."""
        try:
            response = await self.request("/-/readiness", instance="two", port="readiness")
        except exchange_results.ExchangeError:
            return False
        return response.status == 200

    async def test_request_ends_at_its_routes_timeout(self):
        """A request is answered half a second after its route's timeout at the latest."""
        path = pathlib.Path(self.mktemp())
        path.write_text(self.settings_of("two"))
        process = subprocess.Popen(
            [sys.executable, "-c", _STEPPING_INSTANCE],
            stdout=subprocess.DEVNULL,
            env=os.environ
            | {"PYTHONPATH": os.pathsep.join(sys.path), "CAROBHOOK_SETTINGS": str(path)},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        while not await self.is_ready():
            await task.deferLater(reactor, 0.1, lambda: None)
        self.set_behaviour(work_s=8.0)
        started_at = reactor.seconds()
        response = defer.ensureDeferred(self.request(instance="two", X_Deadline_Ms="9000"))
        await task.deferLater(reactor, 0.3, lambda: None)
        process.send_signal(signal.SIGUSR1)
        await response
        # The route's timeout is 1.5 s.
        assert reactor.seconds() - started_at < 2.0
