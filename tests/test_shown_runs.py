"""Which responses of a server show that it ran a request without a failure."""

import pytest

import test_request_flow
from carobhook.platform import requests
from carobhook.protocol import http1

# A server gives these by the head, the size or the caller of a request, before it runs it.
GIVEN_BEFORE = [400, 401, 403, 405, 406, 407, 408, 411, 413, 414, 415, 417, 421, 426, 429, 431]
FAILURES = [500, 502, 503, 504]
GIVEN_BY_WORK = [200, 201, 204, 206, 303, 304, 404, 409, 410, 412, 422]


class TestCodec:
    """Statuses with and without the word that the request was not run."""

    @pytest.mark.parametrize("status", GIVEN_BY_WORK)
    def test_result_of_the_work(self, status):
        """An innocent request whose object is missing or in conflict keeps no marks."""
        assert requests.ServerCodec().shows_run(http1.Response(status, b"", (), b""))

    @pytest.mark.parametrize("status", [*GIVEN_BEFORE, *FAILURES, 418, 499])
    def test_response_that_says_nothing_of_a_run(self, status):
        """Any of them was taken for a run, so that one cleared the marks of a request."""
        assert not requests.ServerCodec().shows_run(http1.Response(status, b"", (), b""))

    @pytest.mark.parametrize("status", [200, 404, 409])
    def test_server_that_says_it_did_not_run_it(self, status):
        """The header goes before the status."""
        response = http1.Response(status, b"", ((b"X-Not-Executed", b"1"),), b"")
        assert not requests.ServerCodec().shows_run(response)


class Observer(test_request_flow.FakeObserver):
    """Observer that counts what clears marks."""

    def __init__(self):
        self.answered = 0

    def request_answered(self, request):
        """Count."""
        self.answered += 1


class TestRequestFlow:
    """What clears the marks of a request."""

    @pytest.mark.parametrize(("status", "count"), [(200, 1), (404, 1), (413, 0), (429, 0)])
    def test_observer_is_told_of_runs_only(self, status, count):
        """The client gets the response in any case."""
        observer = Observer()
        flow = test_request_flow.FlowCase(observer=observer)
        flow.allocator.grant()
        flow.servers.respond(status)
        assert observer.answered == count
        assert flow.responses[0].status == status
