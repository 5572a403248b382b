"""Encodes typed messages as msgpack frames: a pair of the type tag and the field values.

Fields are identified by their position, so their order never changes. Only fields that
`versions.added_field` creates may be added to a message, and only at its end. A frame leaves
them out if they have their defaults, or if its receiver speaks an earlier version of the
protocol. A receiver ignores fields that it does not know.

Large messages of some types are sent as a frame that holds a compressed one.
"""

import enum
import functools
import types
import typing
from collections.abc import Callable, Mapping

import attrs
import msgpack

from carobhook.protocol import compression
from carobhook.state import versions

MAX_FRAME_BYTES = 16 * 1024 * 1024
# Initial buffer of each unpacker, which grows when a frame needs more. msgpack's default is
# 1 MiB, which every connection would occupy.
_INITIAL_BUFFER_BYTES = 4 * 1024

# Type tag of a frame whose only field is a compressed frame.
_COMPRESSED_TAG = "Compressed"
# Smaller frames are not worth the processor time.
_MIN_COMPRESSED_BYTES = 4 * 1024
# Compressed frames that are kept for further receivers of the same message.
_MAX_KEPT_FRAMES = 4

_Decoder = Callable[[typing.Any], typing.Any]


class CodecError(Exception):
    """A frame does not encode a valid message of a known type."""


class UnknownTypeError(CodecError):
    """A frame is well formed, but this build does not know the type of its message.

    Attributes:
        tag: Type tag of the frame.
    """

    def __init__(self, tag: str) -> None:
        super().__init__(f"type must be a known message, got {tag!r:.80}")
        self.tag = tag


def unpacker(limit: int = MAX_FRAME_BYTES) -> msgpack.Unpacker:
    """Return an unpacker for a stream of frames.

    Args:
        limit: Largest number of bytes that it buffers, and so the largest frame.
    """
    return msgpack.Unpacker(
        max_buffer_size=limit, read_size=min(limit, _INITIAL_BUFFER_BYTES), use_list=True
    )


@attrs.frozen
class CompressedTypes:
    """Messages that are compressed if they are large.

    Attributes:
        tags: Type tags of the messages.
        since: Version of the protocol that introduced compressed frames.
    """

    tags: frozenset[str] = frozenset()
    since: int = versions.FIRST_VERSION


class MessageCodec:
    """Encodes and decodes messages of the given types.

    A field has a scalar type, an enum, an attrs class, a tuple or frozenset of these, or a
    union of one of these with None. Enums are encoded by their member names.

    Args:
        types_: attrs classes of the messages by type tag.
        version: Version of the protocol that this build speaks.
        added_types: Versions that introduced types, by tag; others are of the first version.
        compressed: Messages that are compressed if they are large.
    """

    def __init__(
        self,
        types_: Mapping[str, type],
        version: int = versions.FIRST_VERSION,
        added_types: Mapping[str, int] = types.MappingProxyType({}),
        compressed: CompressedTypes | None = None,
    ) -> None:
        self.version = version
        self._types = dict(types_)
        self._tags = {cls: tag for tag, cls in types_.items()}
        self._added_types = dict(added_types)
        self._compressed = compressed or CompressedTypes()
        # Latest compressed frames, with their messages, by identity and version.
        self._kept_frames: dict[tuple[int, int], tuple[typing.Any, bytes]] = {}

    def is_known(self, message: typing.Any, version: int) -> bool:
        """Return whether a receiver that speaks a version knows the type of a message."""
        tag = self._tags[type(message)]
        return self._added_types.get(tag, versions.FIRST_VERSION) <= version

    def encode(self, message: typing.Any, version: int | None = None) -> bytes:
        """Return the frame of a message.

        Args:
            message: The message.
            version: Version that the receiver speaks, whose fields alone are sent; None for the
                version of this build.
        """
        version = self.version if version is None else version
        kept = self._kept_frames.get((id(message), version))
        if kept is not None and kept[0] is message:
            return kept[1]
        tag = self._tags[type(message)]
        frame = typing.cast(bytes, msgpack.packb([tag, _encode_value(message, version)]))
        if (
            len(frame) < _MIN_COMPRESSED_BYTES
            or tag not in self._compressed.tags
            or version < self._compressed.since
        ):
            return frame
        frame = msgpack.packb([_COMPRESSED_TAG, [compression.compress(frame)]])
        self._keep(message, version, frame)
        return frame

    def _keep(self, message: typing.Any, version: int, frame: bytes) -> None:
        """Keep a compressed frame, as the same message mostly goes to many receivers."""
        if len(self._kept_frames) >= _MAX_KEPT_FRAMES:
            del self._kept_frames[next(iter(self._kept_frames))]
        self._kept_frames[id(message), version] = (message, frame)

    def decode(self, frame: object, limit: int = MAX_FRAME_BYTES) -> typing.Any:
        """Return the message that an unpacked frame encodes.

        Args:
            frame: List of the type tag and the list of field values.
            limit: Largest frame in bytes that a compressed one may hold.

        Raises:
            UnknownTypeError: This build does not know the type.
            CodecError: The frame has no type tag or its fields are invalid.
        """
        if _is_frame(frame) and frame[0] == _COMPRESSED_TAG:
            frame = _decompressed(frame[1], limit)
        if not _is_frame(frame):
            raise CodecError("frame must be a pair of type and fields")
        cls = self._types.get(frame[0])
        if cls is None:
            raise UnknownTypeError(frame[0])
        try:
            return _decoder(cls)(frame[1])
        except (TypeError, ValueError, KeyError) as error:
            raise CodecError(f"fields of {frame[0]} are wrong: {error}") from error

    def unpacker(self, limit: int = MAX_FRAME_BYTES) -> msgpack.Unpacker:
        """Return an unpacker for a stream of frames.

        Args:
            limit: Largest number of bytes that it buffers, and so the largest frame.
        """
        return unpacker(limit)


def _is_frame(frame: object) -> typing.TypeGuard[list[typing.Any]]:
    return isinstance(frame, list) and len(frame) == 2 and isinstance(frame[0], str)


def _decompressed(fields: object, limit: int) -> object:
    """Return the unpacked frame that a compressed frame holds.

    Raises:
        CodecError: The fields hold no compressed frame, or a larger one than is allowed.
    """
    if not isinstance(fields, list) or not fields or not isinstance(fields[0], bytes):
        raise CodecError("a compressed frame must be bytes")
    try:
        return msgpack.unpackb(compression.decompress(fields[0], limit))
    except ValueError as error:
        raise CodecError(f"compressed frame: {error}") from error


def _encode_value(value: typing.Any, version: int) -> typing.Any:
    cls: typing.Any = type(value)
    if attrs.has(cls):
        return [_encode_value(item, version) for item in _sent_values(value, version)]
    if isinstance(value, enum.Enum):
        return value.name
    if isinstance(value, (tuple, list, frozenset)):
        return [_encode_value(item, version) for item in value]
    return value


def _sent_values(value: typing.Any, version: int) -> list[typing.Any]:
    """Return the field values that a version knows, without added ones that are default."""
    cls: typing.Any = type(value)
    fields = _fields_of_version(cls, version)
    values = [getattr(value, field.name) for field in fields]
    for field in reversed(fields):
        if versions.SINCE not in field.metadata or values[-1] != field.default:
            break
        values.pop()
    return values


@functools.cache
def _fields_of_version(cls: type, version: int) -> tuple[typing.Any, ...]:
    return tuple(
        field
        for field in _fields(cls)
        if field.metadata.get(versions.SINCE, versions.FIRST_VERSION) <= version
    )


@functools.cache
def _fields(cls: type) -> tuple[typing.Any, ...]:
    return tuple(attrs.fields(cls))


@functools.cache
def _decoder(type_: typing.Any) -> _Decoder:
    """Return a function that decodes values of a type."""
    # A NewType is decoded as the type that it wraps.
    while hasattr(type_, "__supertype__"):
        type_ = type_.__supertype__
    if attrs.has(type_):
        return _attrs_decoder(type_)
    if isinstance(type_, type) and issubclass(type_, enum.Enum):
        return type_.__getitem__
    origin, arguments = typing.get_origin(type_), typing.get_args(type_)
    if origin in (typing.Union, types.UnionType):
        inner = _decoder(next(part for part in arguments if part is not type(None)))
        return lambda raw: None if raw is None else inner(raw)
    if origin in (tuple, frozenset):
        return _collection_decoder(origin, arguments)
    return _scalar_decoder(type_)


def _attrs_decoder(type_: typing.Any) -> _Decoder:
    hints = typing.get_type_hints(type_)
    fields = _fields(type_)
    decoders = [_decoder(hints[field.name]) for field in fields]
    required = sum(versions.SINCE not in field.metadata for field in fields)

    def decode(raw: typing.Any) -> typing.Any:
        if not isinstance(raw, list) or len(raw) < required:
            raise ValueError(f"{type_.__name__} must have at least {required} fields")
        return type_(
            *(decode_item(item) for decode_item, item in zip(decoders, raw, strict=False))
        )

    return decode


def _collection_decoder(origin: typing.Any, arguments: tuple[typing.Any, ...]) -> _Decoder:
    if origin is tuple and (len(arguments) != 2 or arguments[1] is not Ellipsis):
        decoders = [_decoder(argument) for argument in arguments]
        return lambda raw: tuple(
            decode_item(item) for decode_item, item in zip(decoders, raw, strict=True)
        )
    inner = _decoder(arguments[0])
    return lambda raw: origin(inner(item) for item in raw)


def _scalar_decoder(type_: typing.Any) -> _Decoder:
    def decode(raw: typing.Any) -> typing.Any:
        if type_ is float and isinstance(raw, int) and not isinstance(raw, bool):
            return float(raw)
        if not isinstance(raw, type_):
            raise ValueError(f"expected {type_.__name__}, got {raw!r:.40}")
        return raw

    return decode
