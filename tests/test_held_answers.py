"""Answers that were ready were held past their timeout, and too little was served."""

import collections
import heapq
import random
import time

import test_dispatcher
from carobhook.state import allocation, ids

# Share of a processor core that the event loop gets.
PROCESSOR_SHARE = 0.5
# An answer is held if the event loop gets to it later than this.
MAX_DELAY_S = 0.5


class EventLoop:
    """Replays an overload of one dispatcher on an event loop that also handles answers.

    Each event occupies the loop for the processor time that the dispatcher takes for it.

    Args:
        load: Arrival rate, as a share of the slots' capacity.
        servers: Number of servers.
        slots: Slots of each server.
        length_s: Seconds of load.
    """

    WORK_S, TARGET_S, DEADLINE_S, OBJECTS = 1.2, 2.0, 8.0, 400

    def __init__(self, load, servers, slots, length_s):
        self.rng = random.Random(21)
        self.rate = load * servers * slots / self.WORK_S
        self.length_s = length_s
        self.dispatcher = test_dispatcher.make_dispatcher(
            *[test_dispatcher.offer(f"s{n}", slots) for n in range(servers)]
        )
        self.free_at = 0.0
        self.max_delay_s = 0.0
        self.outcomes = collections.Counter()

    def run(self):
        """Run until the end of the load, or until an event was held for too long."""
        events = [(0.0, 0, None)]
        while events and self.max_delay_s <= MAX_DELAY_S:
            arrived_at, number, server = heapq.heappop(events)
            if arrived_at > self.length_s:
                break
            now = max(arrived_at, self.free_at)
            if server is None:
                next_at = arrived_at + self.rng.expovariate(self.rate)
                heapq.heappush(events, (next_at, number + 1, None))
            started_s = time.process_time()
            decisions = self.decide(number, server, now)
            self.free_at = now + (time.process_time() - started_s) / PROCESSOR_SHARE
            self.max_delay_s = max(self.max_delay_s, self.free_at - arrived_at)
            for decision in decisions:
                self.outcomes[type(decision)] += 1
                if isinstance(decision, allocation.SlotGrant):
                    ends_at = self.free_at + self.WORK_S * self.rng.uniform(0.5, 1.5)
                    heapq.heappush(events, (ends_at, int(decision.ask_id[1:]), decision.server))
        return self

    def decide(self, number, server, now):
        """Submit a request, or release the slot of one that a server has answered."""
        if server is None:
            request = test_dispatcher.make_request(
                number,
                now,
                target_s=self.TARGET_S,
                deadline_s=self.DEADLINE_S,
                object_key=f"o{self.rng.randrange(self.OBJECTS)}",
            )
            return self.dispatcher.submit(request, now)
        outcome = allocation.AttemptOutcome.ANSWERED
        return self.dispatcher.release_slot(ids.RequestId(f"r{number}"), server, outcome, now)


class TestOverloadedDispatcher:
    """An instance that dispatches for a large shard under 2.5 times the capacity."""

    def test_ready_answers_are_not_held(self):
        """The dispatcher leaves enough of the event loop for answers and timeouts."""
        loop = EventLoop(2.5, servers=64, slots=9, length_s=4.0).run()
        assert loop.max_delay_s <= MAX_DELAY_S
        assert loop.outcomes[allocation.SlotGrant] >= 64 * 9
