"""SIGHUP ended an instance that had not finished its start (issue 49, review/4)."""

import os
import signal
import socket
import subprocess
import sys
import time

import pytest

import test_entry
from carobhook import entry_settings
from carobhook.standins import unused_ports
from carobhook.transport import settings_watch

# Time that the interpreter needs until it runs the first statement of the program.
INTERPRETER_S = 0.1
SIGNAL_INTERVAL_S = 0.02
START_LIMIT_S = 15.0
PORT_KEYS = ("http", "readiness", "directory", "peers", "metrics", "operators", "store")
COMMANDS = {
    "entry": ["carobhook.entry"],
    "serve": ["carobhook", "serve", "--settings"],
}
# The command line loads more before it knows which command was given.
EXTRA_S = {"entry": 0.0, "serve": 0.9}


class Instance:
    """Process of an instance without a store, which goes on trying to reach it."""

    def __init__(self, directory, command):
        self.path = directory / "settings.toml"
        self.log_path = directory / "log"
        numbers = unused_ports.find("127.0.0.1", len(PORT_KEYS))
        self.fields = dict(zip(PORT_KEYS, numbers, strict=True))
        self.write_settings("")
        arguments = list(COMMANDS[command])
        if command == "serve":
            arguments.append(str(self.path))
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join(sys.path),
                    "CAROBHOOK_SETTINGS": str(self.path),
                },
            )

    def write_settings(self, seeds):
        """Write the settings file with these seeds."""
        text = test_entry.SETTINGS.format(
            name="one",
            seeds=seeds,
            operator_hash="0" * 64,
            reader_hash="1" * 64,
            **self.fields,
        )
        self.path.write_text(text)

    def has_logged(self, event):
        """Return whether the log has an event."""
        return event in self.log_path.read_text()

    def wait_for(self, event, each=lambda: None):
        """Wait for an event in the log; call a function at intervals until then."""
        end_at = time.monotonic() + START_LIMIT_S
        while not self.has_logged(event):
            assert self.process.poll() is None, self.log_path.read_text()
            assert time.monotonic() < end_at, self.log_path.read_text()
            each()
            time.sleep(SIGNAL_INTERVAL_S)


@pytest.fixture(params=COMMANDS)
def instance(request, tmp_path):
    """Return an instance whose program has just begun."""
    started = Instance(tmp_path, request.param)
    time.sleep(INTERPRETER_S + EXTRA_S[request.param])
    yield started
    started.process.kill()
    started.process.wait()


class TestSignalAtStart:
    """The settings change while the program loads."""

    def test_instance_goes_on(self, instance):
        """Each of many signals in a row would have ended the process."""
        instance.wait_for(
            "instance-started", lambda: instance.process.send_signal(signal.SIGHUP)
        )
        instance.process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        assert instance.process.poll() is None

    def test_change_comes_into_force(self, instance):
        """The instance connects to the seed that its settings name since the signal."""
        with socket.create_server(("127.0.0.1", 0)) as seed:
            seed.settimeout(START_LIMIT_S)
            instance.write_settings(f'"127.0.0.1:{seed.getsockname()[1]}"')
            instance.process.send_signal(signal.SIGHUP)
            connection, _ = seed.accept()
            connection.close()
        assert instance.process.poll() is None


class TestChangeWhileLoading:
    """The file changes between its reading and the start of its watch."""

    def received_from(self, path, change):
        """Return the settings that a watch passes on of a file that was changed."""
        fields = {key: number for number, key in enumerate(PORT_KEYS, start=1)}
        text = test_entry.SETTINGS.format(
            name="one", seeds="", operator_hash="0" * 64, reader_hash="1" * 64, **fields
        )
        path.write_text(change(text))
        received = []
        watch = settings_watch.SettingsWatch(path, received.append, entry_settings.loads(text))
        watch.check()
        watch.check(signalled=True)
        return received

    def test_change_is_passed_on(self, tmp_path):
        """The watch took the changed text for that of the settings in force."""
        received = self.received_from(
            tmp_path / "settings.toml",
            lambda text: text.replace('ttl_max = "5s"', 'ttl_max = "4s"'),
        )
        assert [changed.bounds.ttl_max_s for changed in received] == [4.0]

    def test_unchanged_file_is_not(self, tmp_path):
        """Nothing is put into force again."""
        assert self.received_from(tmp_path / "settings.toml", lambda text: text) == []
