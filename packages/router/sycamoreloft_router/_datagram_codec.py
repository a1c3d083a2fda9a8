"""Encodes datagrams between hosts, and decodes them into checked types.

A datagram may come from a host of another release, from a faulty one or from
anything else that sends to the port. No field is used before its type and its
bounds are checked.
"""

from collections import abc
import dataclasses
import functools
import ipaddress
import math
import typing

import msgpack

import sycamoreloft_direct
from sycamoreloft_router import _datagrams, _key_directory

#: Version of the encoding; other versions are refused.
_VERSION = 4

#: Bounds of numbers: of epochs and revisions, of versions of rows, of
#: identifiers of requests, of hosts, of requests and answers in a report.
_MOST_ORDER = (1 << 31) - 1
_MOST_VERSION = (1 << 63) - 1
_MOST_REQUEST = (1 << 64) - 1
_MOST_HOSTS = 1_000_000
_MOST_COUNT = 1_000_000

#: Longest time in a datagram, in seconds.
_MOST_SECONDS = 1e6

#: Longest name, in characters.
_MOST_CHARACTERS = 200

#: Largest port.
_MOST_PORT = 65_535


class DatagramError(ValueError):
    """Bytes that are no datagram of this release.

    Args:
        kind: Kind that the datagram claims to be, empty if none is known.
        reason: What is wrong with it.
    """

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(f"not a datagram of the kind {kind!r}: {reason}")
        #: Kind that the datagram claims to be, empty if none is known.
        self.kind = kind
        #: What is wrong with it.
        self.reason = reason


@functools.singledispatch
def _list_fields(message: typing.Any) -> tuple[typing.Any, ...]:
    """Returns the kind of a datagram, and its fields in the order sent."""
    raise TypeError(f"{type(message).__name__} is not a datagram")


@_list_fields.register
def _(message: _datagrams.Heartbeat) -> tuple[typing.Any, ...]:
    return (
        "heartbeat",
        message.epoch,
        message.revision,
        message.is_leaving,
        [(item.service, item.first, item.last) for item in message.moving],
        dataclasses.astuple(message.seen),
        message.hosts,
        message.store_age_s,
        message.stopped,
        message.key_changes,
    )


@_list_fields.register
def _(message: _datagrams.Introduction) -> tuple[typing.Any, ...]:
    return ("introduction", dataclasses.astuple(message.seen), message.hosts)


@_list_fields.register
def _(message: _datagrams.MapPart) -> tuple[typing.Any, ...]:
    return (
        "map-part",
        dataclasses.astuple(message.seen),
        message.epoch,
        message.revision,
        message.index,
        message.count,
        message.data,
    )


@_list_fields.register
def _(message: _datagrams.Report) -> tuple[typing.Any, ...]:
    return (
        "report",
        message.host,
        message.epoch,
        message.revision,
        dataclasses.astuple(message.seen),
        message.requests,
        message.answers,
        message.crashes,
    )


def encode(message: _datagrams.Datagram) -> bytes:
    """Encodes a datagram."""
    return bytes(msgpack.packb((_VERSION, *_list_fields(message))))


def decode(data: bytes) -> _datagrams.Datagram:
    """Decodes a datagram.

    Raises:
        DatagramError: The bytes are no datagram, or a field is out of bounds.
    """
    kind = ""
    try:
        if len(data) > _datagrams.MAXIMUM_DATAGRAM_BYTES:
            raise ValueError(f"it has {len(data)} bytes")
        version, name, *fields = msgpack.unpackb(data, strict_map_key=False)
        if version != _VERSION:
            raise ValueError(f"the version is not {_VERSION}")
        kind = _check_text(name)
        decoder = _DECODERS.get(kind)
        if decoder is None:
            raise ValueError("the kind is unknown")
        return decoder(*fields)
    except (
        ValueError,
        TypeError,
        RecursionError,
        msgpack.UnpackException,
    ) as error:
        raise DatagramError(kind, str(error)) from error


def _decode_heartbeat(
    epoch: typing.Any,
    revision: typing.Any,
    is_leaving: typing.Any,
    moving: typing.Any,
    seen: typing.Any,
    hosts: typing.Any,
    store_age_s: typing.Any,
    stopped: typing.Any,
    key_changes: typing.Any,
) -> _datagrams.Heartbeat:
    if not isinstance(is_leaving, bool):
        raise ValueError("whether the sender leaves is not a truth value")
    return _datagrams.Heartbeat(
        _check_number(epoch, 0, _MOST_ORDER),
        _check_number(revision, 0, _MOST_ORDER),
        is_leaving,
        tuple(_decode_moving(*item) for item in _check_list(moving)),
        _decode_seen(seen),
        _check_number(hosts, 0, _MOST_HOSTS),
        _check_seconds(store_age_s),
        tuple(
            _check_number(item, 0, _MOST_REQUEST)
            for item in _check_list(stopped)
        ),
        _check_bytes(key_changes),
    )


def _decode_introduction(
    seen: typing.Any, hosts: typing.Any
) -> _datagrams.Introduction:
    return _datagrams.Introduction(
        _decode_seen(seen),
        tuple(_decode_address(*item) for item in _check_list(hosts)),
    )


def _decode_map_part(
    seen: typing.Any,
    epoch: typing.Any,
    revision: typing.Any,
    index: typing.Any,
    count: typing.Any,
    data: typing.Any,
) -> _datagrams.MapPart:
    parts = _check_number(count, 1, _datagrams.MOST_MAP_PARTS)
    return _datagrams.MapPart(
        _decode_seen(seen),
        _check_number(epoch, 0, _MOST_ORDER),
        _check_number(revision, 0, _MOST_ORDER),
        _check_number(index, 0, parts - 1),
        parts,
        _check_bytes(data),
    )


def _decode_report(
    host: typing.Any,
    epoch: typing.Any,
    revision: typing.Any,
    seen: typing.Any,
    requests: typing.Any,
    answers: typing.Any,
    crashes: typing.Any,
) -> _datagrams.Report:
    return _datagrams.Report(
        _check_text(host),
        _check_number(epoch, 0, _MOST_ORDER),
        _check_number(revision, 0, _MOST_ORDER),
        _decode_seen(seen),
        {
            _check_text(service): {
                _check_key(key): _check_number(count, 0, _MOST_COUNT)
                for key, count in _check_map(keys).items()
            }
            for service, keys in _check_map(requests).items()
        },
        {
            _check_text(upstream): _decode_answers(*pair)
            for upstream, pair in _check_map(answers).items()
        },
        {
            _check_number(request, 0, _MOST_REQUEST): _check_number(
                count, 0, _MOST_COUNT
            )
            for request, count in _check_map(crashes).items()
        },
    )


#: What decodes the fields of each kind.
_DECODERS: abc.Mapping[str, abc.Callable[..., _datagrams.Datagram]] = {
    "heartbeat": _decode_heartbeat,
    "introduction": _decode_introduction,
    "map-part": _decode_map_part,
    "report": _decode_report,
}


def _decode_moving(
    service: typing.Any, first: typing.Any, last: typing.Any
) -> _key_directory.MovingKeys:
    keys = (_check_key(first), _check_key(last))
    if keys[0] > keys[1]:
        raise ValueError(f"the keys {first} to {last} are in the wrong order")
    return _key_directory.MovingKeys(_check_text(service), *keys)


def _decode_seen(seen: typing.Any) -> _datagrams.SeenVersions:
    state, upstreams = _check_list(seen)
    return _datagrams.SeenVersions(
        _check_number(state, 0, _MOST_VERSION),
        _check_number(upstreams, 0, _MOST_VERSION),
    )


def _decode_answers(
    count: typing.Any, seconds: typing.Any
) -> tuple[int, float]:
    return _check_number(count, 0, _MOST_COUNT), _check_seconds(seconds)


def _decode_address(ip: typing.Any, port: typing.Any) -> _datagrams.Address:
    address = ipaddress.IPv4Address(_check_text(ip))
    return str(address), _check_number(port, 1, _MOST_PORT)


def _check_key(value: typing.Any) -> int:
    return _check_number(value, 0, sycamoreloft_direct.KEY_COUNT - 1)


def _check_number(value: typing.Any, least: int, most: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{value!r:.40} is not a whole number")
    if not least <= value <= most:
        raise ValueError(f"{value} is not between {least} and {most}")
    return value


def _check_seconds(value: typing.Any) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{value!r:.40} is not a number of seconds")
    if not math.isfinite(value) or not 0 <= value <= _MOST_SECONDS:
        raise ValueError(f"{value} s is not between 0 and {_MOST_SECONDS} s")
    return float(value)


def _check_text(value: typing.Any) -> str:
    if not isinstance(value, str) or len(value) > _MOST_CHARACTERS:
        raise ValueError(
            f"{value!r:.40} is not a text of {_MOST_CHARACTERS} characters"
            " at most"
        )
    return value


def _check_bytes(value: typing.Any) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError(f"{value!r:.40} is not bytes")
    return value


def _check_list(value: typing.Any) -> list[typing.Any]:
    if not isinstance(value, list):
        raise ValueError(f"{value!r:.40} is not a list")
    return value


def _check_map(value: typing.Any) -> dict[typing.Any, typing.Any]:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r:.40} is not a map")
    return value
