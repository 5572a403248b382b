"""Starts one entry instance: ``python3 -m carobhook.entry``.

Only what a running instance needs is imported, as each instance pays for it in memory and at
each start. `carobhook serve` is the same with a command line.
"""

import os
import pathlib
import signal
import sys

from twisted.internet import defer, reactor, task
from twisted.python import failure

from carobhook import entry_settings, logs, settings
from carobhook.transport import entry_daemon, settings_watch

SETTINGS_VARIABLE = "CAROBHOOK_SETTINGS"
SETTINGS_INTERVAL_S = 2.0


def main() -> None:
    """Run the instance that the settings file describes until it is told to stop."""
    path = pathlib.Path(os.environ[SETTINGS_VARIABLE])
    try:
        loaded = entry_settings.load(path)
    except settings.SettingsError as group:
        for fault in group.exceptions:
            sys.stderr.write(f"{path}: {fault}\n")
        sys.exit(2)
    logs.setup(loaded.log, sys.stdout, loaded.place.name)
    daemon = entry_daemon.EntryDaemon(loaded, reactor)
    logs.follow_twisted()
    failures: list[failure.Failure] = []

    def failed(reason: failure.Failure) -> None:
        failures.append(reason)
        logs.error("start-failed", text=reason.getErrorMessage(), trace=reason.getTraceback())
        if reactor.running:
            reactor.stop()

    def begin() -> None:
        defer.ensureDeferred(daemon.start()).addErrback(failed)

    def end() -> defer.Deferred:
        return defer.ensureDeferred(daemon.stop()).addErrback(failed)

    watch = settings_watch.SettingsWatch(path, daemon.reload)

    def tell_of_signal(number: int, frame: object) -> None:
        reactor.callFromThread(watch.look, True)

    def begin_watch() -> None:
        # The reactor installs its own handlers when it starts, but none for this signal.
        signal.signal(signal.SIGHUP, tell_of_signal)
        task.LoopingCall(watch.look).start(SETTINGS_INTERVAL_S, now=False)

    reactor.callWhenRunning(begin)
    reactor.callWhenRunning(begin_watch)
    reactor.addSystemEventTrigger("before", "shutdown", end)
    reactor.run()
    if failures:
        sys.exit(6)


if __name__ == "__main__":
    main()
