"""Tests of carobhook.transport.shared_calls."""

import pytest
from twisted.internet import defer

from carobhook.transport import shared_calls


class Calls:
    """Shared calls whose results the test gives."""

    def __init__(self):
        self.started = []
        self.shared = shared_calls.SharedCalls(self.call)

    async def call(self, key):
        """Wait for the test's result."""
        self.started.append(defer.Deferred())
        return await self.started[-1]

    def ask(self, key="a"):
        """Ask for the result of a key."""
        return defer.ensureDeferred(self.shared.call(key))


class TestSharedCalls:
    """Calls that are made at the same time."""

    def test_one_call_for_all(self):
        """Each key is called once, and again when that call has ended."""
        calls = Calls()
        asked = [calls.ask(), calls.ask(), calls.ask("b")]
        calls.started[0].callback(1)
        calls.started[1].callback(2)
        assert [result.result for result in asked] == [1, 1, 2]
        calls.ask()
        assert len(calls.started) == 3

    def test_one_that_leaves_does_not_end_the_call(self):
        """The first that asked is cancelled, as its client left."""
        calls = Calls()
        first, second = calls.ask(), calls.ask()
        first.addErrback(lambda reason: reason.type)
        first.cancel()
        calls.started[0].callback(1)
        assert (first.result, second.result) == (defer.CancelledError, 1)

    def test_failure_reaches_all(self):
        """Each of them gets the error."""
        calls = Calls()
        asked = [calls.ask(), calls.ask()]
        calls.started[0].errback(ValueError("no"))
        for result in asked:
            with pytest.raises(ValueError, match="no"):
                result.result.raiseException()
            result.addErrback(lambda reason: None)

    def test_cancel_ends_all(self):
        """The instance stops."""
        calls = Calls()
        asked = [calls.ask(), calls.ask("b")]
        for result in asked:
            result.addErrback(lambda reason: reason.type)
        calls.shared.cancel()
        assert [result.result for result in asked] == [defer.CancelledError] * 2
