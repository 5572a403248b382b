"""Runs something in the reactor until a signal, with one line for a failed start."""

from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from twisted.internet import defer, error
from twisted.python import failure

from carobhook import events, logs
from carobhook.cli import exits
from carobhook.state import codes

Step = Callable[[], Coroutine[Any, Any, Any]]


async def do_nothing() -> None:
    """Return at once; for what needs no graceful stop."""


def until_stopped(reactor: Any, start: Step, stop: Step = do_nothing) -> None:
    """Run the reactor until SIGINT or SIGTERM.

    Args:
        reactor: The reactor.
        start: Listens and begins to work.
        stop: Finishes what is in flight; the reactor goes on until it returns.

    Raises:
        typer.Exit: The start failed; one line has been printed.
    """
    logs.forward_twisted_logs()
    run = _Run(reactor, start, stop)
    reactor.callWhenRunning(run.begin)
    reactor.addSystemEventTrigger("before", "shutdown", run.end)
    reactor.run()
    if run.exit is not exits.Exit.OK:
        exits.leave(run.exit, run.complaint)


@attrs.define
class _Run:
    """One run, from its start to its exit code."""

    _reactor: Any
    _start: Step
    _stop: Step
    exit: exits.Exit = attrs.field(default=exits.Exit.OK, init=False)
    complaint: str = attrs.field(default="", init=False)

    def begin(self) -> None:
        """Start; stop the reactor when that fails."""
        defer.ensureDeferred(self._start()).addErrback(self._failed)

    def end(self) -> defer.Deferred[Any]:
        """Stop gracefully; nothing is in flight after a failed start."""
        if self.exit is not exits.Exit.OK:
            return defer.succeed(None)
        return defer.ensureDeferred(self._stop()).addErrback(_log_failure)

    def _failed(self, reason: failure.Failure) -> None:
        if reason.check(error.CannotListenError):
            self.exit = exits.Exit.ADDRESS_IN_USE
            self.complaint = _explain_listen_error(reason.value)
        else:
            self.exit = exits.Exit.FAILED
            self.complaint = f"error: the start failed: {reason.getErrorMessage()}"
            trace = reason.getTraceback()
            logs.error(events.Event.START_FAILED, text=self.complaint, trace=trace)
        if self._reactor.running:
            self._reactor.stop()


def _explain_listen_error(problem: error.CannotListenError) -> str:
    """Return the one line for an address that cannot be listened on."""
    cause = getattr(problem.socketError, "strerror", None) or problem.socketError
    number = codes.Code.ADDRESS_IN_USE.number
    return f"error {number}: cannot listen on {problem.interface}:{problem.port}: {cause}"


def _log_failure(reason: failure.Failure) -> None:
    text = reason.getErrorMessage()
    logs.error(events.Event.UNHANDLED_ERROR, text=text, trace=reason.getTraceback())
