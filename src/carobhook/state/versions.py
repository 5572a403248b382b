"""Versions of the protocol between instances, as its messages state them."""

import typing

import attrs

# First version of the protocol. Its builds state no version, and end a stream on which they get
# a type or a field that they do not know.
FIRST_VERSION = 1
# Key in the metadata of a field, for the version that introduced it.
SINCE = "carobhook.since"


def added_field(default: typing.Any, since: int = FIRST_VERSION) -> typing.Any:
    """Return an attrs field that was added to the end of a message later.

    Args:
        default: Value of the field in frames that leave it out.
        since: Version of the protocol that introduced the field.
    """
    return attrs.field(default=default, metadata={SINCE: since})
