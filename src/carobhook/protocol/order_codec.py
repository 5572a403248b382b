"""Converts the operators' orders to and from the JSON values that the store holds."""

import functools
import typing

import cattrs
import cattrs.preconf.json

from carobhook.state import orders


class MalformedOrdersError(ValueError):
    """A stored value does not encode orders."""


@functools.cache
def _converter() -> cattrs.Converter:
    return cattrs.preconf.json.make_converter()


def encode(state: orders.OrderState) -> typing.Any:
    """Return the JSON value of orders."""
    return _converter().unstructure(state)


def decode(value: typing.Any) -> orders.OrderState:
    """Return the orders that a stored JSON value encodes.

    Args:
        value: Value that `encode` returned.

    Raises:
        MalformedOrdersError: The value does not encode orders.
    """
    if not isinstance(value, dict):
        raise MalformedOrdersError(f"orders must be a table, got {value!r:.60}")
    try:
        return _converter().structure(value, orders.OrderState)
    except Exception as error:
        # cattrs raises exception groups, which may contain any exception of the fields' types.
        raise MalformedOrdersError(f"orders cannot be read: {error!r:.200}") from error
