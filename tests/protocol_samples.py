"""Sample messages between instances, built from the types of their fields."""

import enum
import types
import typing

import attrs

from carobhook.protocol import peer_codec


def sample_message(tag):
    """Return a message of a type with a distinct value in each field."""
    return _sample(peer_codec.MESSAGE_TYPES[tag], tag)


def _sample(type_, name):
    while hasattr(type_, "__supertype__"):
        type_ = type_.__supertype__
    if attrs.has(type_):
        hints = typing.get_type_hints(type_)
        return type_(*(_sample(hints[field.name], field.name) for field in attrs.fields(type_)))
    if isinstance(type_, enum.EnumMeta):
        return next(iter(type_))
    origin, arguments = typing.get_origin(type_), typing.get_args(type_)
    if origin in (typing.Union, types.UnionType):
        return _sample(next(part for part in arguments if part is not type(None)), name)
    if origin is tuple and arguments[-1] is not Ellipsis:
        return tuple(_sample(argument, name) for argument in arguments)
    if origin in (tuple, frozenset):
        return origin([_sample(arguments[0], name)])
    return {str: name, bytes: name.encode(), int: len(name), float: len(name) / 2, bool: True}[
        type_
    ]
