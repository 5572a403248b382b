"""Tests that names and formats which are visible outside the process have not changed.

Running instances, stored orders, settings files, dashboards and scripts depend on them. The
expected values are in outer_interface.json. Changing or removing one of them breaks whatever
depends on it, and a rolling update too; adding one does not.
"""

import ast
import json
import pathlib

import attrs
import msgpack
import pytest
import typer.main

import log_calls
from carobhook import cli, entry_metrics, entry_settings, events
from carobhook.cli import operator
from carobhook.protocol import order_codec, peer_codec
from carobhook.state import codes

_EXPECTED = json.loads(
    (pathlib.Path(__file__).parent / "outer_interface.json").read_text("utf-8")
)


def commands(command, path=()):
    """Yield the path, help and options of a command and of its subcommands."""
    options = {
        parameter.name: [sorted(parameter.opts), getattr(parameter, "help", None)]
        for parameter in command.params
    }
    yield " ".join(path), {"help": command.help, "options": options}
    for name, child in getattr(command, "commands", {}).items():
        yield from commands(child, (*path, name))


def logged_fields():
    """Return the field names that calls pass with each event, by event name."""
    found = {}
    for call in log_calls.find():
        name = call.args[0]
        text = name.value if isinstance(name, ast.Constant) else ast.unparse(name)
        fields = {keyword.arg or "**" for keyword in call.keywords}
        found.setdefault(text, set()).update(fields)
    return {name: sorted(fields) for name, fields in found.items()}


class TestPeerFrames:
    """Frames between instances, which may run different builds during an update."""

    @pytest.mark.parametrize("tag", sorted(_EXPECTED["frames"]))
    def test_golden_frame_survives_a_round_trip(self, tag):
        """A frame of an older build is decoded, and encoded again to the same octets."""
        octets = bytes.fromhex(_EXPECTED["frames"][tag])
        frame = msgpack.unpackb(octets, use_list=True)
        assert frame[0] == tag
        assert peer_codec.CODEC.encode(peer_codec.CODEC.decode(frame)) == octets


class TestStoredOrders:
    """The object of the store that holds all orders."""

    def test_stored_orders_survive_a_round_trip(self):
        """Orders of an older build are encoded again with the same keys and values."""
        stored = _EXPECTED["orders"]
        assert order_codec.encode(order_codec.decode(stored)) == stored


class TestSettings:
    """Keys of settings files."""

    def test_tables_and_keys(self):
        """The tables and their keys are the expected ones, in the same order."""
        tables = {
            name: [field.name for field in attrs.fields(kind)]
            for name, kind in entry_settings.TABLES.items()
        }
        assert tables == _EXPECTED["settings"]


class TestMetrics:
    """Metrics as they are served."""

    def test_names_kinds_labels_and_help(self):
        """Every metric is served under its name, with its labels and its help text."""
        infos = [metric.value for metric in entry_metrics.EntryMetric]
        served = [[info.name, info.kind.value, list(info.labels), info.text] for info in infos]
        assert served == _EXPECTED["metrics"]


class TestLogs:
    """Events and their fields in log lines."""

    def test_event_names(self):
        """The names of all events are the expected ones, in the same order."""
        assert [event.value.name for event in events.Event] == _EXPECTED["events"]

    def test_field_names(self):
        """The fields that calls pass with each event are the expected ones."""
        assert logged_fields() == _EXPECTED["log_fields"]


class TestCodes:
    """Result codes."""

    def test_numbers_names_and_texts(self):
        """Numbers, HTTP statuses and texts are answers to clients and operators."""
        table = [
            [code.number, code.name, code.value.http_status, code.run.value, code.value.text]
            for code in codes.Code
        ]
        retried = [code.name for code in codes.Code if code.value.retry]
        assert table == _EXPECTED["codes"]
        assert retried == _EXPECTED["retried_codes"]


class TestCommandLine:
    """Commands, flags and help texts, and the objects that ``--json`` prints."""

    def test_commands_flags_and_help(self):
        """The flags and help texts of all commands are the expected ones."""
        root = typer.main.get_command(cli.app)
        found = json.loads(json.dumps(dict(commands(root))))
        assert found == _EXPECTED["commands"]

    def test_keys_of_printed_objects(self):
        """Scripts read these keys of ``ctl --json``."""
        keys = {
            "answer": [field.name for field in attrs.fields(operator.Answer)],
            "progress": [field.name for field in attrs.fields(operator.Progress)],
        }
        assert keys == _EXPECTED["json"]
