"""Durations in the platform's notation: a number with the unit ms or s."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def parse_seconds(value: object) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``.

    Args:
        value: Decoded field of an object or setting, of any type.

    Raises:
        ValueError: The value is not a string of this form.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"duration must be a number with ms or s, got {value!r:.40}")
    number = float(match[1])
    return number / 1000 if match[2] == "ms" else number
