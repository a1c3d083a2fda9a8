"""Lookups, changes and encoding of key maps."""

import math
import random

import msgpack
import pytest

import sycamoreloft_direct

RUNS = [sycamoreloft_direct.UpstreamRun(f"u{n}", n + 1) for n in range(4)]


def test_assignments_agree_with_a_list_of_owners():
    generator = random.Random(3)
    keys = sycamoreloft_direct.create_unowned("boards")
    plain = [None] * sycamoreloft_direct.KEY_COUNT
    for _ in range(200):
        first = generator.randrange(sycamoreloft_direct.KEY_COUNT)
        last = min(first + generator.randrange(9_000), 65_535)
        owner = generator.choice([*RUNS, None])
        keys = keys.assign(first, last, owner)
        plain[first : last + 1] = [owner] * (last - first + 1)
    for key in range(0, sycamoreloft_direct.KEY_COUNT, 37):
        assert keys.find(key).owner == plain[key]
    assert keys.ranges[0].first == 0
    assert keys.ranges[-1].last == 65_535
    for left, right in zip(keys.ranges, keys.ranges[1:], strict=False):
        assert left.last + 1 == right.first
        assert left.owner != right.owner


# Guards against changes whose cost grows with the number of ranges.
def test_a_change_keeps_the_ranges_that_it_does_not_touch():
    keys = sycamoreloft_direct.create_unowned("boards")
    for number in range(200):
        keys = keys.assign(number * 100, number * 100 + 99, RUNS[number % 4])
    changed = keys.assign(10_030, 10_150, None)
    known = {id(key_range) for key_range in keys.ranges}
    built = [
        key_range for key_range in changed.ranges if id(key_range) not in known
    ]
    assert [(key_range.first, key_range.last) for key_range in built] == [
        (10_000, 10_029),
        (10_030, 10_150),
        (10_151, 10_199),
    ]


def test_a_range_replaces_all_ranges_that_it_covers():
    keys = sycamoreloft_direct.create_unowned("boards")
    for number in range(200):
        keys = keys.assign(number * 100, number * 100 + 99, RUNS[number % 4])
    whole = keys.assign(0, sycamoreloft_direct.KEY_COUNT - 1, RUNS[0])
    assert whole.ranges == (
        sycamoreloft_direct.KeyRange(
            0, sycamoreloft_direct.KEY_COUNT - 1, RUNS[0]
        ),
    )
    same = keys.assign(100, 199, RUNS[1])
    assert same == keys


def test_a_decoded_map_equals_the_encoded_one():
    keys = sycamoreloft_direct.create_unowned("boards")
    keys = keys.assign(10, 20, RUNS[0]).assign(15, 70, RUNS[1])
    known = sycamoreloft_direct.KeyMap(7, 3, {"boards": keys})
    data = sycamoreloft_direct.encode_key_map(known)
    assert sycamoreloft_direct.decode_key_map(data) == known


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x01", b"\x93\x01\x02\x03"])
def test_other_bytes_are_refused(data):
    with pytest.raises(ValueError, match="encoded map"):
        sycamoreloft_direct.decode_key_map(data)


def test_an_unknown_service_has_no_owner():
    assert sycamoreloft_direct.KeyMap(1, 1, {}).find_owner("x", 5) is None


# Guards against maps whose ranges overlap or leave out keys.
@pytest.mark.parametrize(
    "value",
    [
        (1, 1, [], []),
        (1, 1, [], {"boards": []}),
        (1, 1, [], {"boards": [(5, -1)]}),
        (1, 1, [], {"boards": [(0, -1), (0, -1)]}),
        (1, 1, [], {"boards": [(0, -1), (70_000, -1)]}),
        (1, 1, [], {"boards": [(0, -2)]}),
        (1, 1, [("u1", 1)], {"boards": [(0, 1)]}),
        (1, 1, [("u1", float("inf"))], {"boards": [(0, 0)]}),
    ],
)
def test_invalid_ranges_are_refused(value):
    with pytest.raises(ValueError, match="map of keys"):
        sycamoreloft_direct.decode_key_map(msgpack.packb(value))


# Guards against maps that cannot be encoded for the store or other hosts.
@pytest.mark.parametrize("number", [-1, 1.5, True, "1", math.inf, 1 << 63])
@pytest.mark.parametrize("field", ["epoch", "revision", "started", "first"])
def test_invalid_numbers_are_refused(field, number):
    fields = {"epoch": 1, "revision": 1, "started": 1, "first": 1} | {
        field: number
    }
    value = (
        fields["epoch"],
        fields["revision"],
        [("u0", fields["started"])],
        {"boards": [(0, 0), (fields["first"], -1)]},
    )
    with pytest.raises(ValueError, match="map of keys"):
        sycamoreloft_direct.decode_key_map(msgpack.packb(value))
