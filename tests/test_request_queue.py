"""Tests of carobhook.coordination.request_queue."""

import hypothesis
import pytest
from hypothesis import strategies

import test_dispatcher
from carobhook.coordination import request_queue
from carobhook.state import ids


def queued(number, priority=1, target_s=1.0, work_s=0.5):
    """Return a request that is not queued yet."""
    request = test_dispatcher.make_request(number, target_s=target_s, priority=priority)
    return request_queue.QueuedRequest(request, work_s)


def queued_ids(queue):
    """Return the ids of the queued requests, in queue order."""
    return [entry.request.id for entry in queue]


class TestOrder:
    """The order in which requests are served."""

    def test_priority_goes_before_target(self):
        """Among requests in time, rank decides first, then the target."""
        queue = request_queue.RequestQueue()
        for entry in (queued(1, 1, 0.5), queued(2, 0, 2.0), queued(3, 0, 1.0)):
            queue.add(entry)
        assert queued_ids(queue) == ["r3", "r2", "r1"]

    def test_late_requests_go_last(self):
        """An urgent request that is marked late is served after the others."""
        queue = request_queue.RequestQueue()
        urgent = queued(1, priority=0)
        queue.add(urgent)
        queue.add(queued(2, priority=2))
        queue.mark_late(urgent)
        assert queued_ids(queue) == ["r2", "r1"]
        assert (queue.late_count, queue.has_request_in_time) == (1, True)

    def test_same_id_replaces(self):
        """A request that an instance sent again is queued once."""
        queue = request_queue.RequestQueue()
        queue.add(queued(1, target_s=1.0))
        queue.add(queued(1, target_s=2.0))
        assert queued_ids(queue) == ["r1"]
        assert queue.work_s == pytest.approx(0.5)


class TestSums:
    """Sums over the queue."""

    def test_work_ahead_includes_equal_requests(self):
        """A new request waits for those with the same rank and target."""
        queue = request_queue.RequestQueue()
        queue.add(queued(1, work_s=0.5))
        queue.add(queued(2, priority=2, work_s=4.0))
        assert queue.work_ahead_s(queued(3)) == 0.5

    @hypothesis.settings(deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["add", "remove", "late"]),
                strategies.integers(0, 9),
                strategies.integers(0, 2),
                strategies.floats(0.0, 5.0),
            )
        )
    )
    def test_sums_and_order_hold_after_any_operations(self, operations):
        """The queue stays sorted, and its counts and sums are those of its requests."""
        queue, model = request_queue.RequestQueue(), {}
        for operation, number, priority, seconds in operations:
            request_id = ids.RequestId(f"r{number}")
            if operation == "add":
                model[request_id] = queued(number, priority, seconds, seconds)
                queue.add(model[request_id])
            elif operation == "remove":
                assert queue.remove(request_id) == (model.pop(request_id, None) is not None)
            elif request_id in model:
                queue.mark_late(model[request_id])
        entries = list(queue)
        keys = [entry.sort_key for entry in entries]
        assert keys == sorted(keys)
        assert set(entries) == set(model.values())
        assert queue.late_count == sum(entry.late for entry in entries)
        assert queue.work_s == pytest.approx(sum(e.expected_work_s for e in entries), abs=1e-9)
