"""Validators of single values in settings.

A check is an attrs validator that also describes the values that it accepts. `tables.Reader`
uses the description to report all errors of a file instead of only the first.
"""

import math
import re
import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any

import attrs

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_MAX_PORT = 65535


class InvalidValueError(ValueError):
    """A value was rejected by the check of its field."""

    def __init__(self, key: str, value: object, expected: str) -> None:
        super().__init__(f"{key} is {value!r}, expected {expected}")
        self.key = key
        self.value = value
        self.expected = expected


@attrs.frozen
class Check:
    """Validator of one field.

    Attributes:
        expected: Description of the accepted values, which follows "expected" in messages.
        accepts: Predicate for valid values; it is called with values of any type.
        choices: The accepted words, if only certain words are accepted; otherwise empty.
        item_check: Check of each value, if the field is a table of names to values.
    """

    expected: str
    accepts: Callable[[Any], bool]
    choices: tuple[str, ...] = ()
    item_check: "Check | None" = None

    def __call__(self, instance: object, attribute: Any, value: Any) -> None:
        """Validate the value of one attrs field.

        Raises:
            InvalidValueError: The check does not accept the value.
        """
        if not self.accepts(value):
            raise InvalidValueError(attribute.name, value, self.expected)


def doc(text: str) -> dict[str, str]:
    """Return attrs metadata that holds a field's description for the reference pages."""
    return {"doc": text}


def one_of(choices: Iterable[str]) -> Check:
    """Return a check that accepts one of the given words."""
    allowed = tuple(choices)
    return Check(
        expected="one of " + ", ".join(allowed),
        accepts=lambda value: isinstance(value, str) and value in allowed,
        choices=allowed,
    )


def optional(check: Check) -> Check:
    """Return a check that also accepts an empty string, which means "not set"."""
    return attrs.evolve(
        check,
        expected=f"{check.expected}, or an empty string",
        accepts=lambda value: value == "" or check.accepts(value),
    )


def table_of(check: Check, contents: str) -> Check:
    """Return a check for a table of names to values.

    Args:
        check: Check of each value.
        contents: Description of the names and values, for messages.
    """
    return Check(
        expected=f"a table of {contents}",
        accepts=lambda value: (
            isinstance(value, dict)
            and all(isinstance(key, str) and check.accepts(item) for key, item in value.items())
        ),
        item_check=check,
    )


def list_of(check: Check) -> Check:
    """Return a check for a list whose items are all accepted by ``check``."""
    return Check(
        expected=f"a list, each item {check.expected}",
        accepts=lambda value: (
            isinstance(value, (list, tuple)) and all(check.accepts(item) for item in value)
        ),
    )


def _is_number(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return math.isfinite(value)


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and value.isprintable() and value.strip() != ""


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def _is_port(text: str) -> bool:
    # int() raises ValueError for a text of several thousand digits.
    return text.isascii() and text.isdigit() and 0 < int(text[:6]) <= _MAX_PORT


def _is_address(value: Any) -> bool:
    if not _is_text(value):
        return False
    host, _, port = value.rpartition(":")
    return host != "" and not set(host) & set("/ @") and _is_port(port)


def _is_url(value: Any) -> bool:
    if not _is_text(value):
        return False
    try:
        parts = urllib.parse.urlsplit(value)
    except ValueError:
        return False
    return parts.scheme in {"http", "https"} and parts.netloc != ""


NAME = Check("a name of lower-case letters, digits and hyphens", _is_name)
TEXT = Check("a printable, non-empty string", _is_text)
ADDRESS = Check("HOST:PORT with a port from 1 to 65535", _is_address)
URL = Check("an http or https URL", _is_url)
SECONDS = Check("a number of seconds above 0", lambda value: _is_number(value) and value > 0)
POSITIVE = Check("a number above 0", lambda value: _is_number(value) and value > 0)
NOT_NEGATIVE = Check("a number of 0 or above", lambda value: _is_number(value) and value >= 0)
SHARE = Check("a share from 0 to 1", lambda value: _is_number(value) and 0 <= value <= 1)
SHA256_HEX = Check(
    "64 lower-case hexadecimal digits of a SHA-256 hash",
    lambda value: isinstance(value, str) and _SHA256_HEX.fullmatch(value) is not None,
)
SECRET = Check(
    "a printable string of at least 16 characters",
    lambda value: _is_text(value) and len(value) >= 16,
)
