"""Datagrams that are malformed, or arrive in any order."""

import asyncio
import dataclasses
import random
import struct

import key_world
import msgpack
import pytest
import virtual_time

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _datagram_codec,
    _datagrams,
    _direct_peers,
    _key_directory,
    _map_parts,
)

SEEN = _datagrams.SeenVersions(4, 8, 2, 3, 31)

MESSAGES = {
    "heartbeat": _datagrams.Heartbeat(
        3,
        9,
        False,
        (_key_directory.MovingKeys(key_world.SERVICE, 5, 9),),
        SEEN,
        7,
        0.25,
        (5,),
    ),
    "report": _datagrams.Report(
        "h", 3, 9, SEEN, {key_world.SERVICE: {5: 2}}, {"u1": (3, 0.25)}, {7: 2}
    ),
    "introduction": _datagrams.Introduction(SEEN, (("10.0.0.1", 7500),)),
    "map-part": _datagrams.MapPart(SEEN, 3, 9, 0, 1, b"data"),
    "crash-news": _datagrams.CrashNews(
        SEEN,
        sycamoreloft_direct.CrashReport(
            {7: (sycamoreloft_direct.ReportedCrash(8, 0.5, 0.25),)}, (5, 6)
        ),
    ),
    "crash-suspects": _datagrams.CrashSuspects(SEEN, (5, 6)),
    "departures": _datagrams.Departures(
        SEEN,
        (
            sycamoreloft_direct.Departure(
                sycamoreloft_direct.UpstreamRun("u1", 1),
                True,
                sycamoreloft_direct.TableVersion(1, 7),
            ),
        ),
    ),
}

ENTRY = ["u1", 1, "10.0.0.9:80", "boards", "z1", 4, True, 1.5]

MESSAGES |= {
    "relay-request": _datagrams.RelayRequest(SEEN, 5, "z1"),
    "relay-offer": _datagrams.RelayOffer(
        SEEN,
        sycamoreloft_direct.Offer(
            3, 5, True, sycamoreloft_direct.TableVersion(2, 7), 8, 9
        ),
    ),
    "table-changes": _datagrams.RelayedChanges(
        SEEN,
        sycamoreloft_direct.TableChanges(
            2, 7, 9, {"u1": sycamoreloft_direct.Upstream(*ENTRY), "u2": None}
        ),
    ),
}

LOADS = (
    sycamoreloft_load.SharedLoad(
        7, sycamoreloft_direct.ReportedLoad(4, 9, 4, 250), 0.41
    ),
)

MESSAGES |= {
    "observed-loads": _datagrams.ObservedLoads(SEEN, LOADS),
    "upstream-loads": _datagrams.UpstreamLoads(SEEN, LOADS),
}


def pack_load(running=1, waiting=1, slots=1, percent=100):
    return struct.pack(">IHHHHB", 7, running, waiting, slots, percent, 5)


#: Kind, position of a field after version and kind, and an invalid value.
BAD_FIELDS = [
    ("heartbeat", 0, float("inf")),
    ("heartbeat", 0, -1),
    ("heartbeat", 0, 1 << 62),
    ("heartbeat", 1, "9"),
    ("heartbeat", 2, 1),
    ("heartbeat", 3, [("boards", 5, 70_000)]),
    ("heartbeat", 3, [("boards", 9, 5)]),
    ("heartbeat", 3, [("boards", 5)]),
    ("heartbeat", 3, [(7, 5, 9)]),
    ("heartbeat", 4, (1,)),
    ("heartbeat", 4, (1, -1)),
    ("heartbeat", 4, (1, 2, 3)),
    ("heartbeat", 4, (1, 2, 3, -1, 5)),
    ("heartbeat", 4, (1, 2, 3, 1 << 63, 5)),
    ("heartbeat", 4, (1, 2, 3, 4.0, 5)),
    ("heartbeat", 4, (1, 2, 3, True, 5)),
    ("heartbeat", 4, (1, 2, 3, 4, -5)),
    ("heartbeat", 4, (1, 2, 3, 4, 5, 6, 7)),
    ("heartbeat", 5, -1),
    ("heartbeat", 6, float("nan")),
    ("heartbeat", 6, float("inf")),
    ("heartbeat", 6, -0.5),
    ("heartbeat", 7, [-1]),
    ("heartbeat", 8, "text"),
    ("report", 0, b"h"),
    ("report", 4, {"boards": {"five": 2}}),
    ("report", 4, {"boards": {70_000: 2}}),
    ("report", 4, {"boards": {5: -2}}),
    ("report", 4, []),
    ("report", 5, {"u1": (3, float("nan"))}),
    ("report", 5, {"u1": (-3, 0.25)}),
    ("report", 6, {5: 0.5}),
    ("introduction", 1, [("somewhere", 7500)]),
    ("introduction", 1, [("10.0.0.1", 0)]),
    ("map-part", 3, 1),
    ("map-part", 4, 0),
    ("map-part", 4, 1 << 40),
    ("map-part", 5, None),
    ("crash-news", 1, []),
    ("crash-news", 1, {7: 2}),
    ("crash-news", 1, {-7: [(8, 0.5, 0.25)]}),
    ("crash-news", 1, {7: [(8, 0.5)]}),
    ("crash-news", 1, {7: [(-8, 0.5, 0.25)]}),
    ("crash-news", 1, {7: [("8", 0.5, 0.25)]}),
    ("crash-news", 1, {7: [(8, float("inf"), 0.25)]}),
    ("crash-news", 1, {7: [(8, 0.5, -0.25)]}),
    ("crash-news", 2, None),
    ("crash-news", 2, [True]),
    ("crash-suspects", 1, [0.5]),
    ("crash-suspects", 1, [-1]),
    ("departures", 1, None),
    ("departures", 1, [("u1", 1, True, 1)]),
    ("departures", 1, [("u1", -1, True, 1, 7)]),
    ("departures", 1, [("u1", 1, 1, 1, 7)]),
    ("departures", 1, [("u1", 1, True, 1, 1 << 63)]),
    ("departures", 1, [(b"u1", 1, True, 1, 7)]),
    ("departures", 1, [("u1", 1, True, 1, 7)] * 65),
    ("relay-request", 1, -1),
    ("relay-request", 2, ""),
    ("relay-offer", 1, -1),
    ("relay-offer", 3, 1),
    ("relay-offer", 5, 9),
    ("relay-offer", 6, 1 << 63),
    ("table-changes", 1, -1),
    ("table-changes", 2, 9),
    ("table-changes", 4, {"u1": None}),
    ("table-changes", 4, [["u 1"]]),
    ("table-changes", 4, [ENTRY[:-1]]),
    ("table-changes", 4, [[*ENTRY, 1]]),
    ("table-changes", 4, [["u1"]] * 1_025),
]

BAD_FIELDS += [
    (kind, 1, value)
    for kind in ("observed-loads", "upstream-loads")
    for value in (
        [],
        pack_load()[:-1],
        pack_load(running=10_001),
        pack_load(waiting=10_001),
        pack_load(slots=10_001),
        pack_load(percent=0),
        pack_load(percent=10_001),
        pack_load() * 257,
    )
]

#: An entry with one wrong field each.
BAD_FIELDS += [
    ("table-changes", 4, [[*ENTRY[:index], value, *ENTRY[index + 1 :]]])
    for index, value in (
        (0, ""),
        (1, -1),
        (2, "host:80"),
        (2, "10.0.0.9:0"),
        (2, "0.0.0.0:80"),
        (3, "a\n"),
        (4, 7),
        (5, 10_001),
        (5, True),
        (6, 1),
        (7, float("nan")),
    )
]


def test_each_field_of_an_entry_is_passed_on():
    """Guards against a new field of entries that hosts do not get."""
    names = {
        field.name for field in dataclasses.fields(sycamoreloft_direct.Upstream)
    }
    # Each host sets the rate from the desired state.
    names.remove("warm_up_rate")
    assert len(names) == len(ENTRY)


def _repack(message, change):
    """Encodes a message after changing the list of its encoded fields."""
    data = _datagram_codec.encode(message)
    fields = msgpack.unpackb(data, strict_map_key=False)
    change(fields)
    return msgpack.packb(fields)


# Guards against fields of a datagram that are used without validation.
@pytest.mark.parametrize(("kind", "position", "value"), BAD_FIELDS)
def test_fields_out_of_bounds_are_refused(kind, position, value):
    def change(fields):
        fields[position + 2] = value

    data = _repack(MESSAGES[kind], change)
    with pytest.raises(_datagram_codec.DatagramError) as raised:
        _datagram_codec.decode(data)
    assert raised.value.kind == kind


def _draw_value(generator, depth=0):
    plain = (
        0,
        -1,
        1 << 63,
        3,
        70_000,
        float("inf"),
        float("nan"),
        0.5,
        "boards",
        b"\x00",
        None,
        True,
    )
    if depth > 2 or generator.random() < 0.7:
        return generator.choice(plain)
    items = [
        _draw_value(generator, depth + 1) for _ in range(generator.randrange(4))
    ]
    if generator.random() < 0.5:
        return items
    return {f"k{number}": item for number, item in enumerate(items)}


def _mutate(generator, message):
    if generator.random() < 0.3:
        data = bytearray(_datagram_codec.encode(message))
        for _ in range(generator.randrange(1, 4)):
            data[generator.randrange(len(data))] = generator.randrange(256)
        return bytes(data[: generator.randrange(1, len(data) + 1)])

    def change(fields):
        position = generator.randrange(1, len(fields))
        fields[position] = _draw_value(generator)
        if generator.random() < 0.1:
            fields.pop()

    return _repack(message, change)


@pytest.mark.parametrize("seed", range(10))
def test_a_decoder_refuses_or_returns_a_message(seed):
    generator = random.Random(seed)
    for _ in range(500):
        message = generator.choice(list(MESSAGES.values()))
        data = _mutate(generator, message)
        try:
            decoded = _datagram_codec.decode(data)
        except _datagram_codec.DatagramError:
            continue
        assert isinstance(decoded, _datagrams.Datagram)


async def _send_in_any_order(seed):
    """Sends mutated datagrams of other epochs to random hosts."""
    world = key_world.World(seed)
    generator = random.Random(seed)
    await asyncio.sleep(6.0)
    coordinator = next(
        host
        for host in world.hosts.values()
        if host.coordinator_role.is_coordinator
    )
    epoch = coordinator.coordinator_role._tenure.epoch
    for _ in range(400):
        host = generator.choice(list(world.hosts.values()))
        message = generator.choice(list(MESSAGES.values()))
        try:
            message = _datagram_codec.decode(_mutate(generator, message))
        except _datagram_codec.DatagramError:
            continue
        host.receive(message, ("10.9.9.9", 1))
        await asyncio.sleep(generator.choice((0.0, 0.05)))
    await asyncio.sleep(key_world.RECOVERY_S)
    assert not world.problems, world.problems[:3]
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT
    return coordinator.coordinator_role.is_coordinator, epoch, world


# Guards against heartbeats of an epoch that the store does not know: they must
# not end the coordinator's tenure, and hosts must not keep their map.
@pytest.mark.parametrize("seed", range(6))
def test_hosts_accept_datagrams_in_any_order(seed):
    is_coordinator, epoch, world = virtual_time.run(_send_in_any_order(seed))
    assert is_coordinator
    for host in world.hosts.values():
        assert host.coordinator_role._directory.key_map.epoch == epoch


def _build_map(ranges, revision=2):
    """Builds a map with many ranges, each with its own owner."""
    width = sycamoreloft_direct.KEY_COUNT // ranges
    keys = sycamoreloft_direct.create_unowned(key_world.SERVICE)
    items = []
    for number in range(ranges):
        run = sycamoreloft_direct.UpstreamRun(f"i-{number:010x}", 1_700_000_000)
        last = (number + 1) * width - 1
        if number == ranges - 1:
            last = sycamoreloft_direct.KEY_COUNT - 1
        items.append(sycamoreloft_direct.KeyRange(number * width, last, run))
    keys = sycamoreloft_direct.ServiceKeys(keys.service, tuple(items))
    return sycamoreloft_direct.KeyMap(4, revision, {keys.service: keys})


# Guards against whole maps that do not fit a datagram and never reach a host.
def test_a_long_map_arrives_in_parts_in_any_order():
    key_map = _build_map(8_000)
    parts = list(_map_parts.split_map(key_map, SEEN))
    assert len(parts) > 1
    random.Random(1).shuffle(parts)
    assembler = _map_parts.MapAssembler()
    results = []
    for part in parts:
        data = _datagram_codec.encode(part)
        assert len(data) <= _datagrams.MAXIMUM_DATAGRAM_BYTES
        results.append(assembler.add(_datagram_codec.decode(data)))
    assert results[-1] == key_map
    assert not any(results[:-1])


def test_parts_of_an_older_map_do_not_mix_with_a_newer_one():
    older = _map_parts.split_map(_build_map(8_000, 2), SEEN)
    newer = _map_parts.split_map(_build_map(8_000, 3), SEEN)
    assembler = _map_parts.MapAssembler()
    assert assembler.add(older[0]) is None
    for part in newer[:-1]:
        assert assembler.add(part) is None
    assert assembler.add(older[1]) is None
    assert assembler.add(newer[-1]).revision == 3


def test_parts_that_are_no_map_are_refused():
    part = _datagrams.MapPart(SEEN, 3, 9, 0, 1, b"no map")
    with pytest.raises(ValueError, match="map of keys"):
        _map_parts.MapAssembler().add(part)


def test_bad_datagrams_leave_one_line_a_second_for_each_kind(caplog):
    async def main():
        socket = _direct_peers.PeerSocket("127.0.0.1:0", lambda *_: None)
        for _ in range(5):
            socket.datagram_received(b"\xc1", ("127.0.0.1", 9))
        bad = _repack(MESSAGES["report"], lambda fields: fields.pop())
        for _ in range(5):
            socket.datagram_received(bad, ("127.0.0.1", 9))

    virtual_time.run(main())
    lines = [
        record.event_fields["kind"]
        for record in caplog.records
        if record.message == "datagram-ignored"
    ]
    assert sorted(lines) == ["", "report"]


def test_versions_of_a_host_of_the_release_before_have_no_era():
    """Guards against ignoring such hosts while hosts are updated in turn."""

    def remove_eras(fields):
        fields[6] = fields[6][:2]

    data = _repack(MESSAGES["heartbeat"], remove_eras)
    assert _datagram_codec.decode(data).seen == _datagrams.SeenVersions(4, 8)


def test_versions_of_any_size_can_be_sent():
    """Guards against a host that fails over a number from the store."""
    seen = _datagrams.SeenVersions(1 << 70, -1, 1 << 64, 2)
    data = _datagram_codec.encode(_datagrams.Introduction(seen, ()))
    limit = (1 << 63) - 1
    assert _datagram_codec.decode(data).seen == _datagrams.SeenVersions(
        limit, 0, limit, 2
    )
