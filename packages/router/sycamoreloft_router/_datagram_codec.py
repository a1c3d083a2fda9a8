"""Encodes datagrams between hosts, and decodes them into validated types.

A datagram may come from a host of another release, from a faulty host or from
anything else that sends to the port. No field is used before its type and its
bounds are checked.
"""

from collections import abc
import functools
import ipaddress
import typing

import msgpack

import sycamoreloft_direct
from sycamoreloft_router import (
    _datagram_checks,
    _datagrams,
    _key_directory,
    _load_codec,
    _relay_codec,
)

#: Version of the encoding; other versions are rejected.
_VERSION = 4

#: Maximum number of hosts in a heartbeat.
_MAXIMUM_HOSTS = 1_000_000

#: Maximum number of requests, answers or crashes in an entry of a report.
_MAXIMUM_COUNT = 1_000_000

_MAXIMUM_PORT = 65_535


class DatagramError(ValueError):
    """Bytes that are not a valid datagram of this release.

    Args:
        kind: Kind that the datagram names; empty if it could not be read.
        reason: Why the datagram was rejected.
    """

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(f"not a datagram of the kind {kind!r}: {reason}")
        #: Kind that the datagram names; empty if it could not be read.
        self.kind = kind
        #: Why the datagram was rejected.
        self.reason = reason


@functools.singledispatch
def _list_fields(message: typing.Any) -> tuple[typing.Any, ...]:
    """Returns the kind of a datagram and its fields, in encoded order."""
    raise TypeError(f"{type(message).__name__} is not a datagram")


@_list_fields.register
def _(message: _datagrams.Heartbeat) -> tuple[typing.Any, ...]:
    return (
        "heartbeat",
        message.epoch,
        message.revision,
        message.is_leaving,
        [(item.service, item.first, item.last) for item in message.moving],
        _datagram_checks.encode_seen(message.seen),
        message.hosts,
        message.store_age_s,
        message.stopped,
        message.key_changes,
    )


@_list_fields.register
def _(message: _datagrams.CrashNews) -> tuple[typing.Any, ...]:
    return (
        "crash-news",
        _datagram_checks.encode_seen(message.seen),
        encode_crashes(message.report.crashes),
        message.report.answered,
    )


@_list_fields.register
def _(message: _datagrams.CrashSuspects) -> tuple[typing.Any, ...]:
    return (
        "crash-suspects",
        _datagram_checks.encode_seen(message.seen),
        message.requests,
    )


@_list_fields.register
def _(message: _datagrams.Departures) -> tuple[typing.Any, ...]:
    return (
        "departures",
        _datagram_checks.encode_seen(message.seen),
        [
            (
                departure.run.id,
                departure.run.started_ms,
                departure.is_final,
                departure.version.era,
                departure.version.version,
            )
            for departure in message.departures
        ],
    )


@_list_fields.register
def _(message: _datagrams.Introduction) -> tuple[typing.Any, ...]:
    return (
        "introduction",
        _datagram_checks.encode_seen(message.seen),
        message.hosts,
    )


@_list_fields.register
def _(message: _datagrams.MapPart) -> tuple[typing.Any, ...]:
    return (
        "map-part",
        _datagram_checks.encode_seen(message.seen),
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
        _datagram_checks.encode_seen(message.seen),
        message.requests,
        message.answers,
        message.crashes,
    )


@_list_fields.register
def _(message: _datagrams.RelayRequest) -> tuple[typing.Any, ...]:
    return _relay_codec.list_request_fields(message)


@_list_fields.register
def _(message: _datagrams.RelayOffer) -> tuple[typing.Any, ...]:
    return _relay_codec.list_offer_fields(message)


@_list_fields.register
def _(message: _datagrams.RelayedChanges) -> tuple[typing.Any, ...]:
    return _relay_codec.list_changes_fields(message)


@_list_fields.register
def _(message: _datagrams.ObservedLoads) -> tuple[typing.Any, ...]:
    return _load_codec.list_fields("observed-loads", message)


@_list_fields.register
def _(message: _datagrams.UpstreamLoads) -> tuple[typing.Any, ...]:
    return _load_codec.list_fields("upstream-loads", message)


def encode_crashes(
    crashes: abc.Mapping[int, abc.Iterable[sycamoreloft_direct.ReportedCrash]],
) -> dict[int, list[tuple[int, float, float]]]:
    """Returns crashes by request in a form that msgpack encodes."""
    return {
        request: [
            (item.number, item.started_ago_s, item.ended_ago_s)
            for item in items
        ]
        for request, items in crashes.items()
    }


def decode_crashes(
    crashes: typing.Any,
) -> dict[int, tuple[sycamoreloft_direct.ReportedCrash, ...]]:
    """Validates crashes that `encode_crashes` encoded.

    Raises:
        TypeError: A crash has another number of fields.
        ValueError: A field has the wrong type, or is out of bounds.
    """
    return {
        _datagram_checks.check_fingerprint(request): tuple(
            _decode_crash(*item) for item in _datagram_checks.check_list(items)
        )
        for request, items in _datagram_checks.check_mapping(crashes).items()
    }


def encode(message: _datagrams.Datagram) -> bytes:
    """Encodes a datagram."""
    return bytes(msgpack.packb((_VERSION, *_list_fields(message))))


def decode(data: bytes) -> _datagrams.Datagram:
    """Decodes a datagram.

    Raises:
        DatagramError: The bytes are not a valid datagram, or a field is out of
            bounds.
    """
    kind = ""
    try:
        if len(data) > _datagrams.MAXIMUM_DATAGRAM_BYTES:
            raise ValueError(f"a length of {len(data)} bytes is too long")
        version, name, *fields = msgpack.unpackb(data, strict_map_key=False)
        if version != _VERSION:
            raise ValueError(f"unsupported version, expected {_VERSION}")
        kind = _datagram_checks.check_string(name)
        decoder = _DECODERS.get(kind)
        if decoder is None:
            raise ValueError("unknown kind of datagram")
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
        raise ValueError("is_leaving is not a boolean")
    return _datagrams.Heartbeat(
        _datagram_checks.check_version_part(epoch),
        _datagram_checks.check_version_part(revision),
        is_leaving,
        tuple(
            _decode_moving(*item)
            for item in _datagram_checks.check_list(moving)
        ),
        _datagram_checks.decode_seen(seen),
        _datagram_checks.check_integer(hosts, 0, _MAXIMUM_HOSTS),
        _datagram_checks.check_duration(store_age_s),
        _datagram_checks.check_fingerprints(stopped),
        _datagram_checks.check_bytes(key_changes),
    )


def _decode_crash_news(
    seen: typing.Any, crashes: typing.Any, answered: typing.Any
) -> _datagrams.CrashNews:
    return _datagrams.CrashNews(
        _datagram_checks.decode_seen(seen),
        sycamoreloft_direct.CrashReport(
            decode_crashes(crashes),
            _datagram_checks.check_fingerprints(answered),
        ),
    )


def _decode_crash(
    number: typing.Any,
    started_ago_s: typing.Any,
    ended_ago_s: typing.Any,
) -> sycamoreloft_direct.ReportedCrash:
    return sycamoreloft_direct.ReportedCrash(
        _datagram_checks.check_fingerprint(number),
        _datagram_checks.check_duration(started_ago_s),
        _datagram_checks.check_duration(ended_ago_s),
    )


def _decode_crash_suspects(
    seen: typing.Any, requests: typing.Any
) -> _datagrams.CrashSuspects:
    return _datagrams.CrashSuspects(
        _datagram_checks.decode_seen(seen),
        _datagram_checks.check_fingerprints(requests),
    )


def _decode_departures(
    seen: typing.Any, departures: typing.Any
) -> _datagrams.Departures:
    items = _datagram_checks.check_list(departures)
    if len(items) > sycamoreloft_direct.MAXIMUM_TOLD_DEPARTURES:
        raise ValueError(f"{len(items)} departures are too many")
    return _datagrams.Departures(
        _datagram_checks.decode_seen(seen),
        tuple(_decode_departure(*item) for item in items),
    )


def _decode_departure(
    upstream: typing.Any,
    started_ms: typing.Any,
    is_final: typing.Any,
    era: typing.Any,
    version: typing.Any,
) -> sycamoreloft_direct.Departure:
    if not isinstance(is_final, bool):
        raise ValueError("is_final is not a boolean")
    return sycamoreloft_direct.Departure(
        sycamoreloft_direct.UpstreamRun(
            _datagram_checks.check_string(upstream),
            _datagram_checks.check_integer(
                started_ms, 0, _datagram_checks.MAXIMUM_ROW_VERSION
            ),
        ),
        is_final,
        sycamoreloft_direct.TableVersion(
            _datagram_checks.check_integer(
                era, 0, _datagram_checks.MAXIMUM_ROW_VERSION
            ),
            _datagram_checks.check_integer(
                version, 0, _datagram_checks.MAXIMUM_ROW_VERSION
            ),
        ),
    )


def _decode_introduction(
    seen: typing.Any, hosts: typing.Any
) -> _datagrams.Introduction:
    return _datagrams.Introduction(
        _datagram_checks.decode_seen(seen),
        tuple(
            _decode_address(*item)
            for item in _datagram_checks.check_list(hosts)
        ),
    )


def _decode_map_part(
    seen: typing.Any,
    epoch: typing.Any,
    revision: typing.Any,
    index: typing.Any,
    count: typing.Any,
    data: typing.Any,
) -> _datagrams.MapPart:
    parts = _datagram_checks.check_integer(
        count, 1, _datagrams.MAXIMUM_MAP_PARTS
    )
    return _datagrams.MapPart(
        _datagram_checks.decode_seen(seen),
        _datagram_checks.check_version_part(epoch),
        _datagram_checks.check_version_part(revision),
        _datagram_checks.check_integer(index, 0, parts - 1),
        parts,
        _datagram_checks.check_bytes(data),
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
        _datagram_checks.check_string(host),
        _datagram_checks.check_version_part(epoch),
        _datagram_checks.check_version_part(revision),
        _datagram_checks.decode_seen(seen),
        {
            _datagram_checks.check_string(service): {
                _datagram_checks.check_key(key): _datagram_checks.check_integer(
                    count, 0, _MAXIMUM_COUNT
                )
                for key, count in _datagram_checks.check_mapping(keys).items()
            }
            for service, keys in _datagram_checks.check_mapping(
                requests
            ).items()
        },
        {
            _datagram_checks.check_string(upstream): _decode_answers(*pair)
            for upstream, pair in _datagram_checks.check_mapping(
                answers
            ).items()
        },
        {
            _datagram_checks.check_fingerprint(
                request
            ): _datagram_checks.check_integer(count, 0, _MAXIMUM_COUNT)
            for request, count in _datagram_checks.check_mapping(
                crashes
            ).items()
        },
    )


#: Decoder of the fields of each kind.
_DECODERS: abc.Mapping[str, abc.Callable[..., _datagrams.Datagram]] = {
    "crash-news": _decode_crash_news,
    "crash-suspects": _decode_crash_suspects,
    "departures": _decode_departures,
    "heartbeat": _decode_heartbeat,
    "introduction": _decode_introduction,
    "map-part": _decode_map_part,
    "observed-loads": _load_codec.decode_observed,
    "relay-offer": _relay_codec.decode_offer,
    "relay-request": _relay_codec.decode_request,
    "report": _decode_report,
    "table-changes": _relay_codec.decode_changes,
    "upstream-loads": _load_codec.decode_upstream,
}


def _decode_moving(
    service: typing.Any, first: typing.Any, last: typing.Any
) -> _key_directory.MovingKeys:
    keys = (_datagram_checks.check_key(first), _datagram_checks.check_key(last))
    if keys[0] > keys[1]:
        raise ValueError(f"the range of keys {first} to {last} is reversed")
    return _key_directory.MovingKeys(
        _datagram_checks.check_string(service), *keys
    )


def _decode_answers(
    count: typing.Any, seconds: typing.Any
) -> tuple[int, float]:
    return _datagram_checks.check_integer(
        count, 0, _MAXIMUM_COUNT
    ), _datagram_checks.check_duration(seconds)


def _decode_address(ip: typing.Any, port: typing.Any) -> _datagrams.Address:
    address = ipaddress.IPv4Address(_datagram_checks.check_string(ip))
    return str(address), _datagram_checks.check_integer(port, 1, _MAXIMUM_PORT)
