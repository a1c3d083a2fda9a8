"""Encoding of datagrams and leases, moving keys, and non-blocking logs."""

import logging
import math
import os

import msgpack
import pytest

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_lease,
    _datagram_codec,
    _datagrams,
    _key_directory,
    _logs,
)

HEARTBEAT = _datagrams.Heartbeat(
    3,
    9,
    False,
    (_key_directory.MovingKeys("boards", 5, 9),),
    _datagrams.SeenVersions(4, 8),
    7,
    0.25,
    (2**64 - 1, 5),
    b"changes",
)

REPORT = _datagrams.Report(
    "host-1",
    3,
    9,
    _datagrams.SeenVersions(4, 8),
    {"boards": {5: 2, 9: 1}},
    {"u1": (3, 0.25)},
    {2**64 - 1: 2},
)


INTRODUCTION = _datagrams.Introduction(
    _datagrams.SeenVersions(4, 8),
    (("255.255.255.255", 65_535),) * _datagrams.HOSTS_PER_INTRODUCTION,
)


MAP_PART = _datagrams.MapPart(
    _datagrams.SeenVersions(4, 8), 3, 9, 1, 2, b"x" * _datagrams.MAP_PART_BYTES
)


DEPARTURES = _datagrams.Departures(
    _datagrams.SeenVersions(4, 8),
    tuple(
        sycamoreloft_direct.Departure(
            sycamoreloft_direct.UpstreamRun("u" * 200, 2**63 - 1),
            number % 2 == 0,
            sycamoreloft_direct.TableVersion(2**63 - 1, 2**63 - 1),
        )
        for number in range(sycamoreloft_direct.MAXIMUM_TOLD_DEPARTURES)
    ),
)


@pytest.mark.parametrize(
    "message", [HEARTBEAT, REPORT, INTRODUCTION, MAP_PART, DEPARTURES]
)
def test_messages_survive_encoding(message):
    data = _datagram_codec.encode(message)
    assert _datagram_codec.decode(data) == message
    assert len(data) < _datagrams.MAXIMUM_DATAGRAM_BYTES


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x80",
        b"hello",
        _datagram_codec.encode(REPORT)[:-3],
        _datagram_codec.encode(INTRODUCTION)[:-3],
    ],
)
def test_other_bytes_are_no_message(data):
    with pytest.raises(_datagram_codec.DatagramError):
        _datagram_codec.decode(data)


def test_a_lease_survives_encoding():
    lease = _coordinator_lease.Lease("h", "10.0.0.1:1", 4, 7.5, 3.25, True)
    data = _coordinator_lease.encode_lease(lease)
    assert _coordinator_lease.decode_lease(data) == lease


@pytest.mark.parametrize("data", [b"", b"\x01", b"\x91\x01", b"\xc1"])
def test_other_bytes_are_no_lease(data):
    with pytest.raises(ValueError, match="encoded lease"):
        _coordinator_lease.decode_lease(data)


@pytest.mark.parametrize(
    ("index", "value"),
    [
        (0, 7),
        (1, "10.0.0.1"),
        (1, ":1"),
        (1, "10.0.0.1:0"),
        (1, "10.0.0.1:70000"),
        (1, "10.0.0.1:" + "1" * 5000),
        (2, -1),
        (2, True),
        (2, 1.5),
        (2, math.inf),
        (2, (1 << 64) - 1),
        (3, math.nan),
        (3, math.inf),
        (3, "7"),
        (4, -math.inf),
        (4, "3"),
        (5, "no"),
        (5, 1),
    ],
)
def test_a_lease_with_a_malformed_field_is_refused(index, value):
    """Guards against records that end a task later, or allow two leases.

    An end that is not a number counts as over, so that a second host would
    become the coordinator.
    """
    fields = ["h", "10.0.0.1:1", 4, 7.5, 3.25, True]
    fields[index] = value
    with pytest.raises(ValueError, match="encoded lease"):
        _coordinator_lease.decode_lease(msgpack.packb(fields))


def test_moving_keys_expire():
    directory = _key_directory.KeyDirectory()
    directory.set_moving(1, HEARTBEAT.moving, 10.0)
    assert directory.is_moving("boards", 7, 10.5)
    assert not directory.is_moving("boards", 10, 10.5)
    assert not directory.is_moving("boards", 7, 12.0)


def test_logging_never_waits_for_a_reader():
    reader, writer = os.pipe()
    handler = _logs.NonBlockingHandler(writer)
    handler.setFormatter(_logs.JsonFormatter())
    record = logging.LogRecord("x", 20, "", 0, "event", (), None)
    record.event_fields = {"text": "y" * 1_000}
    for _ in range(200):
        handler.emit(record)
    os.read(reader, 1 << 20)
    handler.emit(record)
    assert b'"dropped"' in os.read(reader, 1 << 20)
    os.close(reader)
    os.close(writer)
