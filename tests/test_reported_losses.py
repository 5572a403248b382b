"""Which sends without a response are reported, as their servers may have ended."""

import pytest

import test_request_flow
from carobhook.state import ids, servers
from carobhook.transport import exchange_results

Fault = exchange_results.Fault
FORMER = servers.ServerRun(ids.Server("s1"), 1)


class Observer(test_request_flow.FakeObserver):
    """Observer that records lost attempts, while the test says which run is the present one."""

    def __init__(self):
        self.run, self.lost, self.is_refused = FORMER, [], False

    def run_of(self, server):
        """Return the run that the test set."""
        return self.run

    def is_quarantined(self, request):
        """Return whether the test has the request refused."""
        return self.is_refused

    def attempt_lost(self, request, run, address, is_broken):
        """Record a lost attempt."""
        self.lost.append((run, is_broken))


def started_flow():
    """Return a flow whose request is being sent, and its observer."""
    observer = Observer()
    case = test_request_flow.FlowCase(observer=observer)
    case.allocator.grant()
    return case, observer


class TestRequestThatWasNotSent:
    """Another instance was asked to send a request, and did not."""

    @pytest.mark.parametrize("fault", [Fault.WITHDRAWN, Fault.NO_RELAY, Fault.NO_PATH])
    def test_no_loss_is_reported(self, fault):
        """A server that ended by chance was held against a request that had not reached it."""
        case, observer = started_flow()
        assert case.servers.attempts[0].may_send()
        case.servers.fail(fault, is_relayed=True)
        assert observer.lost == []

    def test_loss_after_the_send_is_reported(self):
        """The request may have run."""
        case, observer = started_flow()
        assert case.servers.attempts[0].may_send()
        case.servers.fail(Fault.RESET, is_relayed=True)
        assert observer.lost == [(FORMER, True)]
