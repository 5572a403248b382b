"""Plain form of the operators' orders, as the store keeps them."""

import functools
import typing

import cattrs
import cattrs.preconf.json

from carobhook.state import orders


class MalformedOrdersError(ValueError):
    """A stored value is not one of orders."""


@functools.cache
def _converter() -> cattrs.Converter:
    return cattrs.preconf.json.make_converter()


def plain(book: orders.OrderBook) -> typing.Any:
    """Return orders as values that JSON can hold."""
    return _converter().unstructure(book)


def book(value: typing.Any) -> orders.OrderBook:
    """Return the orders of a stored value.

    Args:
        value: What `plain` returned.

    Raises:
        MalformedOrdersError: The value is not of that form.
    """
    if not isinstance(value, dict):
        raise MalformedOrdersError(f"orders must be a table, got {value!r:.60}")
    try:
        return _converter().structure(value, orders.OrderBook)
    except Exception as problem:
        # The converter raises groups of whatever the fields' types raise.
        raise MalformedOrdersError(f"orders cannot be read: {problem!r:.200}") from problem
