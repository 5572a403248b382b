"""Starts one entry instance: ``python3 -m carobhook.entry``.

Only what a running instance needs is imported, as each instance pays for it in memory and at
each start. `carobhook serve` is the same with a command line.
"""

import os
import pathlib
import sys

from twisted.internet import defer, reactor
from twisted.python import failure

from carobhook import entry_settings, logs, settings
from carobhook.transport import entry_daemon

SETTINGS_VARIABLE = "CAROBHOOK_SETTINGS"


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

    reactor.callWhenRunning(begin)
    reactor.addSystemEventTrigger("before", "shutdown", end)
    reactor.run()
    if failures:
        sys.exit(6)


if __name__ == "__main__":
    main()
