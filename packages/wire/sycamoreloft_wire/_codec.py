"""Encodes messages as msgpack, and decodes them with type checks."""

from collections import abc
import dataclasses
import functools
import math
import operator
import types
import typing

import msgpack
from returns import result

from sycamoreloft_wire import _messages

#: Version of the protocol; hosts reject frames of any other version.
PROTOCOL_VERSION = 1

#: Message types by their code on the wire. A code is never reused for another
#: message, so that hosts of two releases can communicate during an upgrade.
MESSAGE_TYPES: abc.Mapping[int, type] = {
    1: _messages.GossipDigest,
    2: _messages.PromiseRequest,
    3: _messages.PromiseAnswer,
    4: _messages.StepDownRequest,
    5: _messages.StepDownAnswer,
    6: _messages.PermitRequest,
    7: _messages.PermitGrant,
    8: _messages.PermitRefusal,
    9: _messages.PermitReturn,
    10: _messages.PermitReport,
    11: _messages.ClaimRequest,
    12: _messages.ClaimAnswer,
    13: _messages.ClaimResult,
    14: _messages.GenerationRequest,
    15: _messages.GenerationAnswer,
    16: _messages.SuspectNotice,
    17: _messages.Acknowledgement,
    18: _messages.PermitReportAnswer,
    19: _messages.MembersRequest,
}

_CODES: abc.Mapping[type[typing.Any], int] = {
    message_type: code for code, message_type in MESSAGE_TYPES.items()
}


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A decoded frame."""

    #: Identifier that an answer repeats from its request; 0 if no answer is
    #: expected.
    correlation_id: int
    message: _messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeError:
    """Reason why a frame is not a valid message."""

    #: Cause, and the remedy if there is one, for the log.
    text: str

    def __str__(self) -> str:
        return self.text


class _FieldError(Exception):
    """A field of a message has the wrong type."""


_Converter = abc.Callable[[typing.Any], typing.Any]


def _require(*accepted: type) -> _Converter:
    """Returns a converter that accepts values of exactly these types.

    Instances of subclasses are rejected: a bool must not pass as an int.
    """

    def convert(value: typing.Any) -> typing.Any:
        if type(value) not in accepted:
            raise _FieldError(
                f"expected {accepted[0].__name__}, got {type(value).__name__}"
            )
        return value

    return convert


def _convert_number(value: typing.Any) -> float:
    """Accepts finite numbers only.

    With a NaN, every later comparison would be false.
    """
    if type(value) not in (float, int) or not math.isfinite(value):
        raise _FieldError(f"expected a finite number, got {value!r}")
    return typing.cast(float, value)


def _make_sequence_converter(convert_item: _Converter) -> _Converter:
    def convert(value: typing.Any) -> typing.Any:
        if type(value) is not list:
            raise _FieldError(f"expected list, got {type(value).__name__}")
        return tuple(convert_item(entry) for entry in value)

    return convert


def _make_mapping_converter(
    convert_key: _Converter, convert_item: _Converter
) -> _Converter:
    def convert(value: typing.Any) -> typing.Any:
        if type(value) is not dict:
            raise _FieldError(f"expected map, got {type(value).__name__}")
        return {
            convert_key(name): convert_item(entry)
            for name, entry in value.items()
        }

    return convert


def _make_converter(annotation: typing.Any) -> _Converter:
    """Builds the type-checking converter of a field from its annotation."""
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is abc.Sequence:
        return _make_sequence_converter(_make_converter(arguments[0]))
    if origin is abc.Mapping:
        return _make_mapping_converter(
            _make_converter(arguments[0]), _make_converter(arguments[1])
        )
    if dataclasses.is_dataclass(annotation):
        nested = typing.cast(type, annotation)
        return lambda value: _build(nested, value)
    if annotation is float:
        return _convert_number
    return _require(annotation)


@functools.cache
def _list_converters(message_type: abc.Hashable) -> abc.Sequence[_Converter]:
    """Returns the converters of a data class's fields, in their order."""
    cls = typing.cast(type, message_type)
    hints = typing.get_type_hints(cls)
    return tuple(
        _make_converter(hints[field.name]) for field in dataclasses.fields(cls)
    )


@functools.cache
def _make_getter(
    message_type: abc.Hashable,
) -> abc.Callable[[typing.Any], abc.Sequence[typing.Any]]:
    """Returns a function that lists the field values of an instance."""
    cls = typing.cast(type, message_type)
    names = [field.name for field in dataclasses.fields(cls)]
    if not names:
        return lambda message: ()
    if len(names) == 1:
        getter = operator.attrgetter(names[0])
        return lambda message: (getter(message),)
    return operator.attrgetter(*names)


def _build(message_type: type, values: typing.Any) -> typing.Any:
    """Builds a message or nested data class from its decoded field values."""
    converters = _list_converters(typing.cast(abc.Hashable, message_type))
    if type(values) is not list or len(values) != len(converters):
        raise _FieldError(
            f"{message_type.__name__} needs {len(converters)} fields"
        )
    return message_type(
        *[
            convert(value)
            for convert, value in zip(converters, values, strict=True)
        ]
    )


def _pack_nested(value: typing.Any) -> typing.Any:
    """Converts nested data classes to lists and mapping views to dicts."""
    if isinstance(value, types.MappingProxyType):
        return dict(value)
    return list(_make_getter(typing.cast(abc.Hashable, type(value)))(value))


def encode_message(correlation_id: int, message: _messages.Message) -> bytes:
    """Encodes a message to the content of a frame, without length prefix.

    Args:
        correlation_id: As in `Envelope`.
        message: The message.
    """
    message_type = type(message)
    fields = _make_getter(typing.cast(abc.Hashable, message_type))(message)
    packed: bytes = msgpack.packb(
        (PROTOCOL_VERSION, _CODES[message_type], correlation_id, fields),
        default=_pack_nested,
    )
    return packed


def decode_message(data: bytes) -> result.Result[Envelope, DecodeError]:
    """Decodes the content of one frame.

    Args:
        data: The frame without its length prefix.

    Returns:
        The envelope, or the reason why the frame is rejected.
    """
    try:
        content = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        return result.Failure(DecodeError(f"frame is not msgpack: {error}"))
    if type(content) is not list or len(content) != 4:
        return result.Failure(DecodeError("frame is not an array of 4 items"))
    version, code, correlation_id, values = content
    if version != PROTOCOL_VERSION:
        return result.Failure(
            DecodeError(
                f"protocol version {version!r} is not {PROTOCOL_VERSION};"
                " run the same release on all hosts"
            )
        )
    message_type = MESSAGE_TYPES.get(code) if type(code) is int else None
    if message_type is None or type(correlation_id) is not int:
        return result.Failure(DecodeError(f"unknown message type {code!r}"))
    try:
        return result.Success(
            Envelope(correlation_id, _build(message_type, values))
        )
    except _FieldError as error:
        return result.Failure(
            DecodeError(f"{message_type.__name__} is malformed: {error}")
        )
    except TypeError as error:
        return result.Failure(
            DecodeError(f"{message_type.__name__} has a bad map key: {error}")
        )
