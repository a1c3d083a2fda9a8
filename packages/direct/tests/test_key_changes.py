"""Differences between key maps, as hosts send them to each other."""

import random

import pytest

import sycamoreloft_direct

RUNS = [
    sycamoreloft_direct.UpstreamRun(f"i-{n:010x}", 1_700_000_000_000 + n)
    for n in range(200)
]


def build_map(revision, keys):
    return sycamoreloft_direct.KeyMap(4, revision, {"boards": keys})


def share_keys():
    """Returns keys of which each upstream owns one range."""
    keys = sycamoreloft_direct.create_unowned("boards")
    step = sycamoreloft_direct.KEY_COUNT // len(RUNS)
    for number, run in enumerate(RUNS):
        keys = keys.assign(number * step, (number + 1) * step - 1, run)
    return keys


def send(old, new):
    """Sends the differences to a host that has the old map.

    Returns:
        The map that the host has then, and the size of the message in bytes.
    """
    data = sycamoreloft_direct.encode_changes(
        sycamoreloft_direct.compute_changes(old, new)
    )
    changes = sycamoreloft_direct.decode_changes(data)
    return sycamoreloft_direct.apply_changes(old, changes), len(data)


def test_a_host_has_the_same_owners_after_any_changes():
    generator = random.Random(7)
    old = build_map(1, share_keys())
    for revision in range(2, 300):
        keys = old.services["boards"]
        for _ in range(generator.randrange(4)):
            first = generator.randrange(sycamoreloft_direct.KEY_COUNT)
            last = min(first + generator.choice((0, 40, 9_000)), 65_535)
            owner = generator.choice([*RUNS[:9], None])
            keys = keys.assign(first, last, owner)
        new = build_map(revision, keys)
        assert send(old, new)[0] == new
        old = new


def test_one_moved_range_is_encoded_in_few_bytes():
    """Guards against a link of the coordinator saturated by whole maps."""
    old = build_map(1, share_keys())
    new = build_map(2, old.services["boards"].assign(500, 520, RUNS[7]))
    assert send(old, new)[1] < 100
    assert len(sycamoreloft_direct.encode_key_map(new)) > 4_000


def test_other_services_need_the_whole_map():
    old = sycamoreloft_direct.KeyMap(4, 1, {})
    assert (
        sycamoreloft_direct.compute_changes(old, build_map(2, share_keys()))
        is None
    )


def test_changes_for_another_map_are_refused():
    old, later = build_map(1, share_keys()), build_map(2, share_keys())
    changes = sycamoreloft_direct.compute_changes(
        old, build_map(3, share_keys())
    )
    with pytest.raises(ValueError, match="another map|not"):
        sycamoreloft_direct.apply_changes(later, changes)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x01",
        b"\x93\x01\x02\x03",
        b"\x93\x92\x01\x01\x92\x01\x02\x81\xa1b\x91\x94\x09\x05\xa1u\x01",
    ],
)
def test_other_bytes_are_refused(data):
    with pytest.raises(ValueError, match="not encoded"):
        sycamoreloft_direct.decode_changes(data)
