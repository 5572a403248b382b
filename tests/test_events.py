"""Tests of carobhook.events."""

import ast

import log_calls
from carobhook import events


class TestEvent:
    """The catalog of events."""

    def test_every_logged_name_is_listed(self):
        """Each logged name is in `events.Event`; add new ones there and run `make docs`."""
        names = [call.args[0] for call in log_calls.find()]
        logged = {name.value for name in names if isinstance(name, ast.Constant)}

        assert "config-in-force" in logged
        assert logged <= {event.value.name for event in events.Event}

    def test_names_are_unique(self):
        """No two events share a name."""
        names = [event.value.name for event in events.Event]

        assert len(names) == len(set(names))
