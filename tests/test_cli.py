"""Tests of carobhook.cli: commands, exit codes and processes."""

import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

import attrs
import pytest
from typer import testing

import carobhook
from carobhook import cli, demo, entry_settings, reference

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_TIMEOUT_S = 60


def invoke(*arguments, env=None):
    """Run a command in this process and return its result."""
    return testing.CliRunner().invoke(cli.app, list(map(str, arguments)), env=env)


def start(*arguments, **env):
    """Start a command in a separate process and return the process."""
    path = os.pathsep.join(sys.path)
    return subprocess.Popen(
        [sys.executable, "-m", "carobhook", *map(str, arguments)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        stdin=subprocess.DEVNULL,
        text=True,
        env={**os.environ, "PYTHONPATH": path, **env},
    )


def finish(process):
    """Return the exit code, standard output and standard error of a process.

    A process that does not end in time is killed.
    """
    try:
        out, err = process.communicate(timeout=_TIMEOUT_S)
    finally:
        process.kill()
    return process.returncode, out, err


def free_ports():
    """Return the ports of a demo; the first port of each kind is free.

    They are below the ephemeral ports, which the system may assign to other connections.
    """
    while True:
        base = random.SystemRandom().randrange(12_000, 32_000, 500)
        ports = demo.Ports.starting_at(base)
        with contextlib.ExitStack() as probes, contextlib.suppress(OSError):
            for port in attrs.astuple(ports):
                probes.enter_context(socket.create_server(("127.0.0.1", port)))
            return ports


@pytest.fixture
def layout(tmp_path):
    """Write the files of a demo with free ports for its first instance.

    Returns the layout and the directory.
    """
    demo_layout = demo.Layout(free_ports(), token="t" * 20, peer_key="k" * 20)
    demo.write(demo_layout, tmp_path)
    return demo_layout, tmp_path


class TestReference:
    """The commands version and codes, and the help texts."""

    def test_version(self):
        """The command prints the version of the package."""
        assert invoke("version").stdout == f"{carobhook.__version__}\n"

    def test_codes_in_markdown_equal_the_reference_page(self):
        """The command prints the page of result codes."""
        assert invoke("codes", "--markdown").stdout == reference.codes_page()

    def test_codes_lists_numbers_and_names(self):
        """The table contains result codes by number and name."""
        shown = invoke("codes", env={"COLUMNS": "200"}).stdout

        assert "1013" in shown and "deadline-passed-queued" in shown

    @pytest.mark.parametrize("command", ["serve", "check-settings", "ctl", "demo", "standin"])
    def test_help_describes_each_command(self, command):
        """Each command has a help text of several lines."""
        result = invoke(command, "--help")

        assert result.exit_code == 0
        assert len(result.stdout.splitlines()) > 5


class TestCheckSettings:
    """The command check-settings."""

    def test_examples_are_valid(self):
        """The settings files in examples/ have no faults."""
        files = [_EXAMPLES / "zema.toml", _EXAMPLES / "tarnok.toml"]

        result = invoke("check-settings", *files)

        assert result.exit_code == 0
        assert result.stdout == "".join(f"{file}: ok\n" for file in files)

    def test_each_fault_prints_one_line(self, tmp_path):
        """Each fault in a file is reported on one line, and the exit code is 2."""
        path = tmp_path / "bad.toml"
        text = (_EXAMPLES / "zema.toml").read_text("utf-8")
        path.write_text(text.replace("ttl_max =", "ttl_mx =").replace("info", "loud"))

        result = invoke("check-settings", path)

        assert result.exit_code == 2
        lines = result.stderr.splitlines()
        assert len(lines) == 3
        assert all(line.startswith(f"{path}: line ") for line in lines)
        assert "did you mean 'ttl_max'?" in result.stderr


class TestServe:
    """The command serve."""

    def test_missing_settings_file_prints_one_line(self, tmp_path):
        """A daemon without a readable settings file does not start."""
        result = invoke("serve", "--settings", tmp_path / "missing.toml")

        assert result.exit_code == 2
        assert result.stderr.count("\n") == 1

    @pytest.mark.parametrize("key", ["http", "peers", "operators"])
    def test_address_in_use_prints_one_line(self, layout, key):
        """A port in use gives exit code 5 and one line with the address, and no traceback."""
        demo_layout, directory = layout
        file = demo.settings_path(directory, demo_layout.instances[0][0])
        host, _, port = getattr(entry_settings.load(file).place, key).rpartition(":")
        with socket.create_server((host, int(port))):
            code, _out, err = finish(start("serve", "--settings", file))

        assert code == 5
        assert err == f"error 3002: cannot listen on {host}:{port}: Address already in use\n"

    def test_daemon_without_store_runs_until_sigterm(self, layout):
        """A daemon starts while the store is unreachable; SIGTERM ends it with exit code 0."""
        demo_layout, directory = layout
        file = demo.settings_path(directory, demo_layout.instances[0][0])
        process = start("serve", "--settings", file)
        line = process.stdout.readline()
        while "instance-started" not in line:
            # At the end of the output, the loop would go on forever.
            assert line, process.stderr.read()
            line = process.stdout.readline()
        process.send_signal(signal.SIGTERM)
        code, out, err = finish(process)

        assert code == 0
        assert err == ""
        assert "event=instance-stopped" in out


class TestCtl:
    """The command ctl when no daemon runs."""

    @pytest.mark.parametrize(
        ("arguments", "env", "message"),
        [
            (["show", "regions"], {}, "error: no token"),
            (["show"], {"CAROBHOOK_TOKEN": "f\u00f6"}, "must be printable ASCII"),
            (["--operator", "nowhere", "show"], {"CAROBHOOK_TOKEN": "t"}, "--operator is"),
            (["--file", "no/such"], {"CAROBHOOK_TOKEN": "t"}, "--file no/such"),
            (["--file", "x", "show"], {"CAROBHOOK_TOKEN": "t"}, "not both"),
            (["--token-file", "no/such", "show"], {}, "--token-file no/such"),
            (["--ca-file", "no/such", "show"], {"CAROBHOOK_TOKEN": "t"}, "--ca-file no/such"),
        ],
    )
    def test_bad_usage_prints_one_line(self, arguments, env, message):
        """Invalid options give exit code 2 and one line."""
        result = invoke("ctl", *arguments, env={"CAROBHOOK_TOKEN": None, **env})

        assert result.exit_code == 2
        assert message in result.stderr
        assert result.stderr.count("\n") == 1

    def test_unreachable_daemon_prints_one_line(self):
        """Without a daemon, ctl gives exit code 3 and one line."""
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
            process = start(
                "ctl", "--operator", address, "show", "regions", CAROBHOOK_TOKEN="t"
            )
            code, _out, err = finish(process)

        assert code == 3
        assert err == f"error 3004: no daemon answers at {address}: connection refused\n"


class TestStandin:
    """The command standin."""

    def test_port_in_use_prints_one_line(self):
        """A stand-in whose port is in use gives exit code 5 and one line."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            code, _out, err = finish(start("standin", "store", "--port", port))

        assert code == 5
        assert err == f"error 3002: cannot listen on 127.0.0.1:{port}: Address already in use\n"


class TestDemo:
    """The command demo."""

    def test_written_files_are_valid_and_private(self, tmp_path):
        """The settings files and the token are valid, and only their owner can read them."""
        result = invoke("demo", "--write", tmp_path / "demo", "--base-port", 30_000)

        assert result.exit_code == 0
        files = sorted((tmp_path / "demo" / "settings").glob("*.toml"))
        assert len(files) == 9
        loaded = [entry_settings.load(file) for file in files]
        assert {s.place.region for s in loaded} == {"addis", "kigali", "accra"}
        assert len({s.place.failure_domain for s in loaded}) == 6
        token_file = tmp_path / "demo" / demo.TOKEN_FILE
        token = token_file.read_text().strip()
        assert loaded[0].security.operators == {"demo": demo.token_hash(token)}
        assert {file.stat().st_mode & 0o777 for file in (*files, token_file)} == {0o600}

    def test_unwritable_directory_prints_one_line(self, tmp_path):
        """If the directory is an existing file, the exit code is 2 and there is one line."""
        blocked = tmp_path / "file"
        blocked.write_text("")

        result = invoke("demo", "--write", blocked)

        assert result.exit_code == 2
        assert result.stderr.count("\n") == 1
