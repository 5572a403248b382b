"""Keeps a failure in one part of an instance from ending the others.

An instance is one event loop on which tasks call each other. Without a boundary between them,
an exception in the code that uses a piece of state would end the task that keeps that state up
to date, and the instance would go on with what it knew at that moment.
"""

import typing
from collections.abc import Callable

from twisted.internet import defer, task
from twisted.python import failure

from carobhook import logs


class Supervisor:
    """Runs calls of an instance's parts, and logs and counts those that fail.

    Args:
        reactor: Source of time and timers.
        on_failure: Called with the name of the part after each failure.
    """

    def __init__(
        self, reactor: typing.Any, on_failure: Callable[[str], object] = lambda part: None
    ) -> None:
        self._reactor = reactor
        self._on_failure = on_failure
        self._loops: list[task.LoopingCall] = []

    def run(self, part: str, call: Callable[..., object], *args: typing.Any) -> bool:
        """Make a call; return False if it raised, which is logged.

        Args:
            part: Name of the part that the call belongs to, for the log and the metric.
            call: The call.
            args: Its arguments.
        """
        try:
            call(*args)
        except Exception:
            self.record(part, failure.Failure())
            return False
        return True

    def isolate(self, part: str, call: Callable[..., object]) -> Callable[..., None]:
        """Return a function that makes a call as `run` does.

        Args:
            part: Name of the part that the call belongs to.
            call: The call.
        """

        def isolated(*args: typing.Any) -> None:
            self.run(part, call, *args)

        return isolated

    def start_loop(
        self, part: str, call: Callable[[], object], interval_s: float, now: bool = True
    ) -> None:
        """Make a call at intervals until `stop`; one that fails ends nothing.

        Args:
            part: Name of the part, for the log and the metric.
            call: The call.
            interval_s: Interval in seconds.
            now: Whether the first call is made at once.
        """
        loop = task.LoopingCall(self.run, part, call)
        loop.clock = self._reactor
        loop.start(interval_s, now)
        self._loops.append(loop)

    def stop(self) -> None:
        """Stop all loops."""
        loops, self._loops = self._loops, []
        for loop in loops:
            loop.stop()

    def record(self, part: str, reason: failure.Failure) -> None:
        """Log and count the failure of a part; a cancelled call is none.

        Args:
            part: Name of the part.
            reason: The failure.
        """
        if reason.check(defer.CancelledError):
            return
        logs.error(
            "task-failed",
            part=part,
            error=reason.getErrorMessage(),
            trace=reason.getTraceback(),
        )
        self._on_failure(part)
