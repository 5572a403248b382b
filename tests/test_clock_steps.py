"""The time of day stepped back, and dispatchers failed and ended the streams of others."""

import random

import test_dispatcher
from carobhook.state import allocation


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
