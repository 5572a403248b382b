"""Which sends without a response are reported, as their servers may have ended."""

import pytest

import test_request_flow
import test_server_exchange
from carobhook.state import ids, servers
from carobhook.transport import exchange_results

Fault = exchange_results.Fault
FORMER, PRESENT = (servers.ServerRun(ids.Server("s1"), start) for start in (1, 2))


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

    def attempt_lost(self, request, run, address, is_broken, sending=None):
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


class TestSecondSendWithinAnAttempt:
    """A request whose path fell silent goes to its server once more, by another instance."""

    def test_first_loss_is_reported_before_the_second_send(self):
        """Two ends of a server counted as none if the second send was answered."""
        paths = test_server_exchange.Paths(test_server_exchange.member("two"))
        paths.error = exchange_results.ExchangeError(Fault.SILENT, "silent", True, False)
        asked_before = []
        paths.on_loss = lambda: asked_before.append(list(paths.asked))
        assert paths.send(once=False) == 200
        assert (asked_before, paths.asked) == ([[]], ["two"])

    def test_request_that_is_not_sent_again_is_reported_once(self):
        """Whoever gets the failure reports it."""
        paths = test_server_exchange.Paths(test_server_exchange.member("two"))
        paths.error = exchange_results.ExchangeError(Fault.SILENT, "silent", True, False)
        losses = []
        paths.on_loss = lambda: losses.append(True)
        paths.reached = True
        assert paths.send(once=True) is Fault.SILENT
        assert losses == []

    def test_each_loss_is_that_of_the_run_at_its_send(self):
        """The server may run anew when the request is sent again."""
        case, observer = started_flow()
        attempt = case.servers.attempts[0]
        assert attempt.may_send()
        attempt.on_loss()
        observer.run = PRESENT
        assert attempt.may_send()
        case.servers.fail(Fault.RESET, is_relayed=True)
        assert observer.lost == [(FORMER, False), (PRESENT, True)]

    def test_quarantine_is_asked_before_the_second_send(self):
        """The third mark may come while the path is silent."""
        case, observer = started_flow()
        attempt = case.servers.attempts[0]
        assert attempt.may_send()
        observer.is_refused = True
        assert not attempt.may_send()

    def test_second_send_that_is_refused_leaves_the_first_reported(self):
        """It may have run, so the client is told so."""
        paths = test_server_exchange.Paths(test_server_exchange.member("two"))
        paths.error = exchange_results.ExchangeError(Fault.SILENT, "silent", True, False)
        assert paths.send(once=False, may_send=False) is Fault.SILENT
        assert paths.asked == []

    def test_cancelled_before_the_second_send(self):
        """The first loss alone is reported, and for its run."""
        case, observer = started_flow()
        attempt = case.servers.attempts[0]
        assert attempt.may_send()
        attempt.on_loss()
        observer.run = PRESENT
        case.clock.advance(1.0)
        assert case.result[0] == 504
        assert observer.lost == [(FORMER, False)]

    def test_failure_without_a_second_send(self):
        """No other instance took the request."""
        case, observer = started_flow()
        attempt = case.servers.attempts[0]
        assert attempt.may_send()
        attempt.on_loss()
        observer.run = PRESENT
        case.servers.fail(Fault.SILENT)
        assert observer.lost == [(FORMER, False)]

    def test_response_counts_for_the_run_at_its_send(self):
        """What the second run says of itself was dropped as the word of the first."""
        paths = test_server_exchange.Paths(test_server_exchange.member("two"))
        paths.error = exchange_results.ExchangeError(Fault.SILENT, "silent", True, False)
        paths.present_run = FORMER

        def restart():
            paths.present_run = PRESENT

        paths.on_loss = restart
        assert paths.send(once=False) == 200
        assert paths.heard == [PRESENT]
