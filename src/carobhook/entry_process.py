"""Process of one entry instance: its reactor, settings file, signals and log output.

Imports only what a running instance needs, because every import costs each instance memory and
start-up time. `carobhook serve` calls `run` too, but imports the command line as well.
"""

import os
import pathlib
import signal
import sys

from twisted.internet import defer, error, reactor
from twisted.python import failure

from carobhook import entry_settings, log_output, logs, settings
from carobhook.state import codes
from carobhook.transport import entry_daemon, settings_watch, steady_clock, supervision

SETTINGS_VARIABLE = "CAROBHOOK_SETTINGS"
SETTINGS_INTERVAL_S = 2.0
OUTPUT_INTERVAL_S = 1.0
# Same values as the exit codes of the command line, whose import would cost memory.
EXIT_USAGE = 2
EXIT_ADDRESS_IN_USE = 5
EXIT_FAILED = 6


class _Runner:
    """Runs a daemon in the reactor, reloads its settings and flushes its log output.

    Args:
        path: The settings file, which is read again when it changes.
        instance_settings: Settings that were read from the file.
    """

    def __init__(
        self, path: pathlib.Path, instance_settings: entry_settings.EntrySettings
    ) -> None:
        self._budget = log_output.LineBudget()
        self._handler = log_output.LineHandler(sys.stdout.fileno(), self._budget)
        logs.setup_handler(instance_settings.log, self._handler, instance_settings.place.name)
        logs.forward_twisted_logs()
        self._daemon = entry_daemon.EntryDaemon(
            instance_settings, reactor, omitted=lambda: self._budget.omitted_total
        )
        self._watch = settings_watch.SettingsWatch(path, self._daemon.reload, instance_settings)
        self.exit_code = 0

    def start(self) -> None:
        """Start the daemon, the settings watch and the periodic flush of log output."""
        defer.ensureDeferred(self._daemon.start()).addErrback(self._handle_start_failure)
        # The reactor installs its own signal handlers when it starts, but none for SIGHUP.
        signal.signal(signal.SIGHUP, self._handle_sighup)
        # The file may have changed since it was read, with a signal that was ignored.
        reactor.callLater(0, self._watch.check)
        supervisor = supervision.Supervisor(reactor)
        supervisor.start_loop("settings", self._watch.check, SETTINGS_INTERVAL_S, now=False)
        supervisor.start_loop("log-output", self._flush_output, OUTPUT_INTERVAL_S, now=False)

    def stop(self) -> defer.Deferred:
        """Stop the daemon, unless its start failed.

        Returns:
            A deferred that fires when the daemon has stopped; the reactor waits for it before
            it shuts down.
        """
        if self.exit_code:
            return defer.succeed(None)
        return defer.ensureDeferred(self._daemon.stop()).addErrback(self._handle_stop_failure)

    def _handle_sighup(self, number: int, frame: object) -> None:
        # The signal may interrupt any code of this thread, so the check is only scheduled here.
        reactor.callFromThread(self._watch.check, True)

    def _flush_output(self) -> None:
        self._handler.flush()
        omitted = self._budget.collect_omitted()
        if omitted:
            logs.warning("lines-omitted", **omitted)

    def _handle_start_failure(self, reason: failure.Failure) -> None:
        if reason.check(error.CannotListenError):
            self.exit_code = EXIT_ADDRESS_IN_USE
            sys.stderr.write(_listen_error_message(reason.value))
        else:
            self.exit_code = EXIT_FAILED
            trace = reason.getTraceback()
            logs.error("start-failed", text=reason.getErrorMessage(), trace=trace)
        if reactor.running:
            reactor.stop()

    def _handle_stop_failure(self, reason: failure.Failure) -> None:
        logs.error("unhandled-error", trace=reason.getTraceback())


def run(path: pathlib.Path, instance_settings: entry_settings.EntrySettings) -> None:
    """Run an instance until the process receives a signal to stop.

    Args:
        path: Its settings file, which is read again when it changes.
        instance_settings: Settings that were read from the file.

    Raises:
        SystemExit: The instance could not start.
    """
    steady_clock.install(reactor)
    try:
        runner = _Runner(path, instance_settings)
    except settings.TlsFilesError as tls_error:
        sys.stderr.write(f"{path}: {tls_error}\n")
        sys.exit(EXIT_USAGE)
    reactor.callWhenRunning(runner.start)
    reactor.addSystemEventTrigger("before", "shutdown", runner.stop)
    reactor.run()
    if runner.exit_code:
        sys.exit(runner.exit_code)


def _listen_error_message(reason: error.CannotListenError) -> str:
    """Return the error message, one line, for an address that cannot be listened on."""
    cause = getattr(reason.socketError, "strerror", None) or reason.socketError
    number = codes.Code.ADDRESS_IN_USE.number
    return f"error {number}: cannot listen on {reason.interface}:{reason.port}: {cause}\n"


def main() -> None:
    """Run the instance that the settings file describes until a signal stops it."""
    path = pathlib.Path(os.environ[SETTINGS_VARIABLE])
    try:
        instance_settings = entry_settings.load(path)
    except settings.SettingsError as errors:
        for setting_error in errors.exceptions:
            sys.stderr.write(f"{path}: {setting_error}\n")
        sys.exit(EXIT_USAGE)
    run(path, instance_settings)
