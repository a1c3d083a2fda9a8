"""Fields of the datagrams that carry loads of upstreams.

Loads are packed into `ENCODED_BYTES` each, since many are sent to all hosts
several times a second.
"""

import math
import struct
import typing

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _datagram_checks, _datagrams

#: Number of the run, running, waiting, slots, percent, and age in units.
_FORMAT = struct.Struct(">IHHHHB")

#: Unit of the age of a load, in seconds. Ages are rounded up and one unit is
#: added, so that a load that comes back to the host that told it is not taken
#: for a later one.
_AGE_UNIT_S = 0.01

#: Highest age, in units; older loads count for nothing.
_MAXIMUM_AGE = 255

#: Maximum number of requests or slots in a load.
_MAXIMUM_COUNT = 10_000

#: Bounds of the percentage of a load.
_MINIMUM_PERCENT = 1
_MAXIMUM_PERCENT = 10_000


def list_fields(
    kind: str, message: _datagrams.ObservedLoads | _datagrams.UpstreamLoads
) -> tuple[typing.Any, ...]:
    """Returns the kind of a datagram and its fields, in encoded order."""
    return (
        kind,
        _datagram_checks.encode_seen(message.seen),
        b"".join(
            _FORMAT.pack(
                item.run_number,
                min(item.load.running, _MAXIMUM_COUNT),
                min(item.load.waiting, _MAXIMUM_COUNT),
                min(item.load.slots, _MAXIMUM_COUNT),
                min(max(item.load.percent, _MINIMUM_PERCENT), _MAXIMUM_PERCENT),
                min(
                    max(0, math.ceil(item.age_s / _AGE_UNIT_S)) + 1,
                    _MAXIMUM_AGE,
                ),
            )
            for item in message.loads
        ),
    )


def decode_observed(
    seen: typing.Any, loads: typing.Any
) -> _datagrams.ObservedLoads:
    """Checks the fields of loads that a host heard."""
    return _datagrams.ObservedLoads(
        _datagram_checks.decode_seen(seen), _decode_loads(loads)
    )


def decode_upstream(
    seen: typing.Any, loads: typing.Any
) -> _datagrams.UpstreamLoads:
    """Checks the fields of loads that the coordinator sends."""
    return _datagrams.UpstreamLoads(
        _datagram_checks.decode_seen(seen), _decode_loads(loads)
    )


def _decode_loads(
    value: typing.Any,
) -> tuple[sycamoreloft_load.SharedLoad, ...]:
    data = _datagram_checks.check_bytes(value)
    count, rest = divmod(len(data), sycamoreloft_load.ENCODED_BYTES)
    if rest or count > sycamoreloft_load.MAXIMUM_SHARED_LOADS:
        raise ValueError(f"{len(data)} bytes are no loads")
    return tuple(_check_load(*fields) for fields in _FORMAT.iter_unpack(data))


def _check_load(
    run_number: int,
    running: int,
    waiting: int,
    slots: int,
    percent: int,
    age: int,
) -> sycamoreloft_load.SharedLoad:
    for count in (running, waiting, slots):
        _datagram_checks.check_integer(count, 0, _MAXIMUM_COUNT)
    _datagram_checks.check_integer(percent, _MINIMUM_PERCENT, _MAXIMUM_PERCENT)
    return sycamoreloft_load.SharedLoad(
        run_number,
        sycamoreloft_direct.ReportedLoad(running, waiting, slots, percent),
        age * _AGE_UNIT_S,
    )
