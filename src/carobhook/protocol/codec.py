"""Codecs: typed values to msgpack frames and to JSON-representable values."""

import collections.abc
import json
import typing

import attrs
import cattrs.gen
import cattrs.preconf.json
import cattrs.preconf.msgpack
import cattrs.strategies
import msgpack

from carobhook.protocol import framing, messages
from carobhook.state import configuration

MAX_FRAME_OCTETS = framing.MAX_FRAME_OCTETS
CodecError = framing.CodecError
unpacker = framing.unpacker

_TYPES: dict[str, type] = {cls.__name__: cls for cls in typing.get_args(messages.Message)}


def _configure(converter: cattrs.Converter) -> cattrs.Converter:
    cattrs.strategies.configure_tagged_union(configuration.Edit, converter, tag_name="type")
    return converter


def _pairs_out(converter: cattrs.Converter, cls: typing.Any) -> typing.Any:
    key, value = typing.get_args(cls)

    def unstructure(mapping: typing.Mapping[typing.Any, typing.Any]) -> typing.Any:
        return [
            [converter.unstructure(k, key), converter.unstructure(v, value)]
            for k, v in mapping.items()
        ]

    return unstructure


def _pairs_in(converter: cattrs.Converter, cls: typing.Any) -> typing.Any:
    key, value = typing.get_args(cls)

    def structure(pairs: typing.Any, _: typing.Any) -> typing.Any:
        return {converter.structure(k, key): converter.structure(v, value) for k, v in pairs}

    return structure


def _is_mapping(cls: typing.Any) -> bool:
    return typing.get_origin(cls) is collections.abc.Mapping


def _with_pairs(converter: cattrs.Converter) -> cattrs.Converter:
    """Write mappings as lists of pairs, because their keys may be more than strings."""
    converter.register_unstructure_hook_factory(
        _is_mapping, lambda cls: _pairs_out(converter, cls)
    )
    converter.register_structure_hook_factory(
        _is_mapping, lambda cls: _pairs_in(converter, cls)
    )
    return converter


_whole = _with_pairs(_configure(cattrs.preconf.json.make_converter()))
_packer = _configure(cattrs.preconf.msgpack.make_converter())
_plain = _configure(cattrs.preconf.json.make_converter())


def encode(message: messages.Message) -> bytes:
    """Return the frame of a message."""
    body = _packer.unstructure(message)
    return msgpack.packb([type(message).__name__, body])


def decode(frame: object) -> messages.Message:
    """Return the message of an unpacked frame.

    Args:
        frame: A list of the type's name and the fields.

    Raises:
        CodecError: The frame is of no known type or its fields are wrong.
    """
    if not isinstance(frame, list) or len(frame) != 2 or not isinstance(frame[0], str):
        raise CodecError("frame must be a pair of type and fields")
    cls = _TYPES.get(frame[0])
    if cls is None:
        raise CodecError(f"type must be a known message, got {frame[0]!r}")
    try:
        return _packer.structure(frame[1], cls)
    except Exception as error:
        raise CodecError(f"fields of {frame[0]} are wrong") from error


T = typing.TypeVar("T", bound=attrs.AttrsInstance)


def to_plain(value: attrs.AttrsInstance) -> typing.Any:
    """Return a value as JSON-representable maps and lists."""
    return _plain.unstructure(value)


def to_text(config: configuration.Configuration) -> str:
    """Return a whole configuration as JSON text."""
    return json.dumps(_whole.unstructure(config), separators=(",", ":"), sort_keys=True)


def from_text(text: str) -> configuration.Configuration:
    """Return the configuration of a JSON text.

    Raises:
        CodecError: The text is no configuration.
    """
    try:
        return _whole.structure(json.loads(text), configuration.Configuration)
    except Exception as error:
        raise CodecError("text is not a configuration") from error


def from_plain(plain: typing.Any, cls: type[T]) -> T:
    """Return the typed value of JSON-representable maps and lists.

    Raises:
        CodecError: The values do not make a ``cls``.
    """
    try:
        return _plain.structure(plain, cls)
    except Exception as error:
        raise CodecError(f"value is not a {cls.__name__}: {plain!r:.200}") from error
