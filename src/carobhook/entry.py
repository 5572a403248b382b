"""Starts one entry instance: ``python3 -m carobhook.entry``.

Only what a running instance needs is imported, as each instance pays for it in memory and at
each start. `carobhook serve` is the same with a command line.
"""

import os
import pathlib
import signal
import sys

from twisted.internet import defer, error, reactor, task
from twisted.python import failure

from carobhook import entry_settings, log_output, logs, settings
from carobhook.state import codes
from carobhook.transport import entry_daemon, settings_watch

SETTINGS_VARIABLE = "CAROBHOOK_SETTINGS"
SETTINGS_INTERVAL_S = 2.0
OUTPUT_INTERVAL_S = 1.0
# The same as those of the command line.
EXIT_USAGE = 2
EXIT_ADDRESS_IN_USE = 5
EXIT_FAILED = 6


class _Run:
    """One run of the reactor with a daemon, from its start to its end.

    Args:
        path: The settings file, which is read again when it changes.
        loaded: What it holds now.
    """

    def __init__(self, path: pathlib.Path, loaded: entry_settings.EntrySettings) -> None:
        self._budget = log_output.LineBudget()
        self._handler = log_output.LineHandler(sys.stdout.fileno(), self._budget)
        logs.setup_handler(loaded.log, self._handler, loaded.place.name)
        logs.follow_twisted()
        self._daemon = entry_daemon.EntryDaemon(
            loaded, reactor, omitted=lambda: self._budget.omitted_total
        )
        self._watch = settings_watch.SettingsWatch(path, self._daemon.reload)
        self.exit_code = 0

    def begin(self) -> None:
        """Start the daemon and what goes on beside it."""
        defer.ensureDeferred(self._daemon.start()).addErrback(self._start_failed)
        # The reactor installs its own handlers when it starts, but none for this signal.
        signal.signal(signal.SIGHUP, self._signalled)
        task.LoopingCall(self._watch.check).start(SETTINGS_INTERVAL_S, now=False)
        task.LoopingCall(self._tend_output).start(OUTPUT_INTERVAL_S, now=False)

    def end(self) -> defer.Deferred:
        """Stop the daemon; the reactor goes on until it has."""
        if self.exit_code:
            return defer.succeed(None)
        return defer.ensureDeferred(self._daemon.stop()).addErrback(self._stop_failed)

    def _signalled(self, number: int, frame: object) -> None:
        reactor.callFromThread(self._watch.check, True)

    def _tend_output(self) -> None:
        self._handler.flush()
        omitted = self._budget.take_omitted()
        if omitted:
            logs.warning("lines-omitted", **omitted)

    def _start_failed(self, reason: failure.Failure) -> None:
        if reason.check(error.CannotListenError):
            self.exit_code = EXIT_ADDRESS_IN_USE
            sys.stderr.write(_listen_complaint(reason.value))
        else:
            self.exit_code = EXIT_FAILED
            trace = reason.getTraceback()
            logs.error("start-failed", text=reason.getErrorMessage(), trace=trace)
        if reactor.running:
            reactor.stop()

    def _stop_failed(self, reason: failure.Failure) -> None:
        logs.error("unhandled-error", trace=reason.getTraceback())


def run(path: pathlib.Path, loaded: entry_settings.EntrySettings) -> None:
    """Run an instance until it is told to stop.

    Args:
        path: Its settings file.
        loaded: What the file holds.

    Raises:
        SystemExit: The start failed.
    """
    try:
        one = _Run(path, loaded)
    except settings.TlsFilesError as problem:
        sys.stderr.write(f"{path}: {problem}\n")
        sys.exit(EXIT_USAGE)
    reactor.callWhenRunning(one.begin)
    reactor.addSystemEventTrigger("before", "shutdown", one.end)
    reactor.run()
    if one.exit_code:
        sys.exit(one.exit_code)


def _listen_complaint(problem: error.CannotListenError) -> str:
    """Return the one line for an address that cannot be listened on."""
    cause = getattr(problem.socketError, "strerror", None) or problem.socketError
    number = codes.Code.ADDRESS_IN_USE.number
    return f"error {number}: cannot listen on {problem.interface}:{problem.port}: {cause}\n"


def main() -> None:
    """Run the instance that the settings file describes until it is told to stop."""
    path = pathlib.Path(os.environ[SETTINGS_VARIABLE])
    try:
        loaded = entry_settings.load(path)
    except settings.SettingsError as group:
        for fault in group.exceptions:
            sys.stderr.write(f"{path}: {fault}\n")
        sys.exit(EXIT_USAGE)
    run(path, loaded)


if __name__ == "__main__":
    main()
