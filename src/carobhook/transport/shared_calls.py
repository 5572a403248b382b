"""Lets calls for the same key that are made at the same time share one result."""

import typing
from collections.abc import Awaitable, Callable

from twisted.internet import defer

Result = typing.TypeVar("Result")


class SharedCalls(typing.Generic[Result]):
    """Calls a function once for all that ask with the same key while it runs.

    One that asks and is cancelled leaves the call to the others.

    Args:
        function: Returns the result for a key.
    """

    def __init__(self, function: Callable[[str], Awaitable[Result]]) -> None:
        self._function = function
        self._waiting: dict[str, list[defer.Deferred]] = {}
        self._running: dict[str, defer.Deferred] = {}

    async def call(self, key: str) -> Result:
        """Return the result for a key.

        Raises:
            Exception: The function raised it.
            twisted.internet.defer.CancelledError: The call was cancelled, or all calls were.
        """
        waiting: defer.Deferred = defer.Deferred()
        is_first = key not in self._waiting
        self._waiting.setdefault(key, []).append(waiting)
        if is_first:
            running = self._running[key] = defer.ensureDeferred(self._run(key))
            running.addBoth(self._finish, key)
        return typing.cast(Result, await waiting)

    def cancel(self) -> None:
        """Cancel the calls in progress."""
        for running in list(self._running.values()):
            running.cancel()

    async def _run(self, key: str) -> Result:
        return await self._function(key)

    def _finish(self, result: typing.Any, key: str) -> None:
        self._running.pop(key, None)
        for waiting in self._waiting.pop(key):
            # A failure goes to the error callbacks.
            waiting.callback(result)
