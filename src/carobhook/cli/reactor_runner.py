"""Runs the reactor until a signal, or prints one line of text if the start fails."""

from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from twisted.internet import defer, error
from twisted.python import failure

from carobhook import events, logs
from carobhook.cli import exits
from carobhook.state import codes
from carobhook.transport import steady_clock

AsyncCallback = Callable[[], Coroutine[Any, Any, Any]]


async def do_nothing() -> None:
    """Return at once; the default for a program that needs no graceful stop."""


def run_until_stopped(
    reactor: Any, start: AsyncCallback, stop: AsyncCallback = do_nothing
) -> None:
    """Run the reactor until SIGINT or SIGTERM.

    Args:
        reactor: The reactor.
        start: Opens the ports and starts the program.
        stop: Completes the work in flight; the reactor stops only after it has finished.

    Raises:
        typer.Exit: The start failed, and one line with the reason was printed.
    """
    logs.forward_twisted_logs()
    steady_clock.install(reactor)
    run = _ReactorRun(reactor, start, stop)
    reactor.callWhenRunning(run.handle_startup)
    reactor.addSystemEventTrigger("before", "shutdown", run.handle_shutdown)
    reactor.run()
    if run.exit is not exits.Exit.OK:
        exits.exit_with(run.exit, run.error_line)


@attrs.define
class _ReactorRun:
    """One run of the reactor.

    Attributes:
        exit: Exit code of the run.
        error_line: Line to print if the start failed.
    """

    _reactor: Any
    _start: AsyncCallback
    _stop: AsyncCallback
    exit: exits.Exit = attrs.field(default=exits.Exit.OK, init=False)
    error_line: str = attrs.field(default="", init=False)

    def handle_startup(self) -> None:
        """Start the program, and stop the reactor if that fails."""
        defer.ensureDeferred(self._start()).addErrback(self._handle_start_failure)

    def handle_shutdown(self) -> defer.Deferred[Any]:
        """Stop gracefully; after a failed start, there is no work in flight to complete."""
        if self.exit is not exits.Exit.OK:
            return defer.succeed(None)
        return defer.ensureDeferred(self._stop()).addErrback(_log_failure)

    def _handle_start_failure(self, reason: failure.Failure) -> None:
        if reason.check(error.CannotListenError):
            self.exit = exits.Exit.ADDRESS_IN_USE
            self.error_line = _explain_listen_error(reason.value)
        else:
            self.exit = exits.Exit.FAILED
            self.error_line = f"error: the start failed: {reason.getErrorMessage()}"
            trace = reason.getTraceback()
            logs.error(events.Event.START_FAILED, text=self.error_line, trace=trace)
        if self._reactor.running:
            self._reactor.stop()


def _explain_listen_error(exc: error.CannotListenError) -> str:
    """Return the error line for an address that cannot be listened on."""
    cause = getattr(exc.socketError, "strerror", None) or exc.socketError
    number = codes.Code.ADDRESS_IN_USE.number
    return f"error {number}: cannot listen on {exc.interface}:{exc.port}: {cause}"


def _log_failure(reason: failure.Failure) -> None:
    text = reason.getErrorMessage()
    logs.error(events.Event.UNHANDLED_ERROR, text=text, trace=reason.getTraceback())
