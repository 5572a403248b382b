"""Tests of carobhook.events."""

import ast
import pathlib

import carobhook
from carobhook import events

_SOURCE = pathlib.Path(carobhook.__file__).parent
_LOG_CALLS = {"event", "warning", "error"}


def logged_names(path):
    """Yield the event names that a module passes to `carobhook.logs` as strings."""
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in _LOG_CALLS
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id == "logs"
            and isinstance(node.args[0], ast.Constant)
        ):
            yield node.args[0].value


class TestEvent:
    """The catalog of events."""

    def test_every_logged_name_is_listed(self):
        """Each logged name is in `events.Event`; add new ones there and run `make docs`."""
        logged = {name for path in _SOURCE.rglob("*.py") for name in logged_names(path)}

        assert "config-in-force" in logged
        assert logged <= {event.value.name for event in events.Event}

    def test_names_are_unique(self):
        """No two events share a name."""
        names = [event.value.name for event in events.Event]

        assert len(names) == len(set(names))
