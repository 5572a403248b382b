"""Tests of carobhook.logs."""

import io
import json
import logging

import pytest
from twisted import logger as twisted_logger
from twisted.python import failure

from carobhook import logs, settings
from carobhook.state import codes


@pytest.fixture
def root_handlers():
    """Restore the handlers and levels that a test changes."""
    root, carobhook_logger = logging.getLogger(), logging.getLogger("carobhook")
    before = list(root.handlers), root.level, carobhook_logger.level
    yield
    root.handlers[:], root.level = before[0], before[1]
    carobhook_logger.setLevel(before[2])


def setup_stream(form="keyvalue", level="info", instance="addis-1"):
    """Configure logging to a stream and return the stream."""
    stream = io.StringIO()
    logs.setup(settings.LogSettings(form, level), stream, instance)
    return stream


@pytest.mark.usefixtures("root_handlers")
class TestKeyValue:
    """Lines of key=value pairs."""

    def test_event_is_one_line_with_time_level_and_fields(self):
        """A line starts with time, level, instance and event, followed by the fields."""
        stream = setup_stream()

        logs.event("config-applied", version=7, share=0.25, whole=True, origin=None)

        time, _, rest = stream.getvalue().partition(" ")
        assert time.startswith("time=20") and time.endswith("Z")
        assert rest == (
            "level=info instance=addis-1 event=config-applied "
            "version=7 share=0.25 whole=true origin=null\n"
        )

    @pytest.mark.parametrize(
        ("value", "shown"),
        [
            ("two words", '"two words"'),
            ("a=b", '"a=b"'),
            ('say "x"', '"say \\"x\\""'),
            ("", '""'),
            ("line\nbreak", '"line\\nbreak"'),
            ("flöte", '"fl\\u00f6te"'),
            (("a", "b"), "a,b"),
            (codes.RunStatus.NOT_RUN, "not-run"),
        ],
    )
    def test_value_is_quoted_when_needed(self, value, shown):
        """A value that would make the line ambiguous is quoted as JSON."""
        stream = setup_stream()

        logs.event("order", text=value)

        assert stream.getvalue().endswith(f" text={shown}\n")
        assert stream.getvalue().count("\n") == 1

    def test_field_never_replaces_a_common_field(self):
        """A field named like a common one gets a prefix, unless the values are equal."""
        stream = setup_stream()

        logs.event("order", level="high", instance="addis-1")

        assert "level=info instance=addis-1 event=order field_level=high" in stream.getvalue()

    def test_events_below_the_level_are_dropped(self):
        """Events below the level of the settings are not written."""
        stream = setup_stream(level="warning")

        logs.event("quiet")
        logs.warning("loud")

        assert "quiet" not in stream.getvalue()
        assert "event=loud" in stream.getvalue()


@pytest.mark.usefixtures("root_handlers")
class TestJson:
    """Lines of JSON."""

    def test_event_is_one_object(self):
        """An event's line is a JSON object with typed values."""
        stream = setup_stream(form="json")

        logs.warning("order", code=2015, text="flöte", names=("a", "b"))

        fields = json.loads(stream.getvalue())
        assert fields.pop("time").endswith("Z")
        assert fields == {
            "level": "warning",
            "instance": "addis-1",
            "event": "order",
            "code": 2015,
            "text": "flöte",
            "names": ["a", "b"],
        }


@pytest.mark.usefixtures("root_handlers")
class TestLibraries:
    """Log messages of libraries."""

    def test_failure_logged_by_twisted_is_an_error(self):
        """An unhandled failure is an error event with its text and trace, on one line."""
        stream = setup_stream()

        reason = failure.Failure(ValueError("bad\nvalue"))
        logs.forward_twisted_event(
            {"log_failure": reason, "log_level": twisted_logger.LogLevel.critical}
        )

        line = stream.getvalue()
        assert "level=error" in line and "event=unhandled-error error=ValueError" in line
        assert line.count("\n") == 1

    def test_twisted_messages_below_warning_are_dropped(self):
        """A warning of twisted is written, a message at the info level is not."""
        stream = setup_stream()

        for level in (twisted_logger.LogLevel.info, twisted_logger.LogLevel.warn):
            logs.forward_twisted_event(
                {"log_level": level, "log_format": "said {level}", "level": level.name}
            )

        assert stream.getvalue().count("\n") == 1
        assert 'event=library text="said warn"' in stream.getvalue()

    def test_record_of_another_logger_keeps_its_text(self):
        """A warning of any library is a library event with the name of its logger."""
        stream = setup_stream()

        logging.getLogger("some.library").warning("it is %s", "odd")

        assert 'event=library logger=some.library text="it is odd"' in stream.getvalue()
