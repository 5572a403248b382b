"""Compact msgpack frames of typed messages: a name, then the fields in their order."""

import enum
import functools
import types
import typing
from collections.abc import Callable, Iterable

import attrs
import msgpack

MAX_FRAME_OCTETS = 16 * 1024 * 1024
# The unpacker takes this much at once when it is made; it grows when a frame needs more.
_READ_OCTETS = 4 * 1024

_Convert = Callable[[typing.Any], typing.Any]


class CodecError(Exception):
    """Octets or values do not decode to a known type."""


def unpacker(limit: int = MAX_FRAME_OCTETS) -> msgpack.Unpacker:
    """Return a stream unpacker that holds at most so many octets."""
    return msgpack.Unpacker(
        max_buffer_size=limit, read_size=min(limit, _READ_OCTETS), use_list=True
    )


class MessageCodec:
    """Encodes and decodes messages of the given types.

    Fields may be of plain types, enums, other attrs classes, tuples and frozen sets of such,
    and each of these or None.

    Args:
        types_: attrs classes of the messages.
    """

    def __init__(self, types_: Iterable[type]) -> None:
        self._types = {cls.__name__: cls for cls in types_}

    def encode(self, message: typing.Any) -> bytes:
        """Return the frame of a message."""
        return msgpack.packb([type(message).__name__, _plain(message)])

    def decode(self, frame: object) -> typing.Any:
        """Return the message of an unpacked frame.

        Args:
            frame: A list of the type's name and the fields.

        Raises:
            CodecError: The frame is of no known type or its fields are wrong.
        """
        if not isinstance(frame, list) or len(frame) != 2 or not isinstance(frame[0], str):
            raise CodecError("frame must be a pair of type and fields")
        cls = self._types.get(frame[0])
        if cls is None:
            raise CodecError(f"type must be a known message, got {frame[0]!r}")
        try:
            return _reader(cls)(frame[1])
        except (TypeError, ValueError, KeyError) as error:
            raise CodecError(f"fields of {frame[0]} are wrong: {error}") from error

    def unpacker(self, limit: int = MAX_FRAME_OCTETS) -> msgpack.Unpacker:
        """Return a stream unpacker that holds at most so many octets."""
        return unpacker(limit)


def _plain(value: typing.Any) -> typing.Any:
    cls: typing.Any = type(value)
    if attrs.has(cls):
        return [_plain(getattr(value, name)) for name in _names(cls)]
    if isinstance(value, enum.Enum):
        return value.name
    if isinstance(value, (tuple, list, frozenset)):
        return [_plain(item) for item in value]
    return value


@functools.cache
def _names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in attrs.fields(cls))


@functools.cache
def _reader(kind: typing.Any) -> _Convert:
    """Return what makes a value of a type from its plain form."""
    while hasattr(kind, "__supertype__"):
        kind = kind.__supertype__
    if attrs.has(kind):
        return _attrs_reader(kind)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind.__getitem__
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        inner = _reader(next(part for part in arguments if part is not type(None)))
        return lambda plain: None if plain is None else inner(plain)
    if origin in (tuple, frozenset):
        return _many_reader(origin, arguments)
    return _checked(kind)


def _attrs_reader(kind: typing.Any) -> _Convert:
    hints = typing.get_type_hints(kind)
    readers = [_reader(hints[name]) for name in _names(kind)]

    def read(plain: typing.Any) -> typing.Any:
        if not isinstance(plain, list) or len(plain) != len(readers):
            raise ValueError(f"{kind.__name__} must have {len(readers)} fields")
        return kind(*(convert(item) for convert, item in zip(readers, plain, strict=True)))

    return read


def _many_reader(origin: typing.Any, arguments: tuple[typing.Any, ...]) -> _Convert:
    if origin is tuple and (len(arguments) != 2 or arguments[1] is not Ellipsis):
        readers = [_reader(argument) for argument in arguments]
        return lambda plain: tuple(
            convert(item) for convert, item in zip(readers, plain, strict=True)
        )
    inner = _reader(arguments[0])
    return lambda plain: origin(inner(item) for item in plain)


def _checked(kind: typing.Any) -> _Convert:
    def read(plain: typing.Any) -> typing.Any:
        if kind is float and isinstance(plain, int) and not isinstance(plain, bool):
            return float(plain)
        if not isinstance(plain, kind):
            raise ValueError(f"expected {kind.__name__}, got {plain!r:.40}")
        return plain

    return read
