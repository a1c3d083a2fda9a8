"""The map from which a coordinator starts after a restore of the store."""

import pytest

import sycamoreloft_direct
from sycamoreloft_router import _coordinator_lease, _record_trust

TRUST = sycamoreloft_direct.MapTrust

#: The second era of a store, and the first epoch of its coordinators.
SECOND_ERA = 2
FIRST_OF_SECOND = 65_537


def build_map(epoch, revision):
    return sycamoreloft_direct.KeyMap(epoch, revision, {})


def build_stored(era, lease_epoch, map_epoch=None, revision=5, uncertain=False):
    lease = _coordinator_lease.Lease(
        "h", "10.0.0.1:1", lease_epoch, 9.0, is_map_uncertain=uncertain
    )
    key_map = build_map(
        lease_epoch if map_epoch is None else map_epoch, revision
    )
    return _record_trust.StoredRecords(lease, key_map, era)


def build_heard(epoch, revision, age_s=1.0, is_own=False):
    return _record_trust.HeardMap(build_map(epoch, revision), age_s, is_own)


NOTHING_HEARD = _record_trust.HeardMap(build_map(0, 0))
NO_RECORDS = build_map(0, 0)


# Guards against waits, and against maps of datagrams, where nothing was lost.
@pytest.mark.parametrize(
    "stored",
    [
        build_stored(1, 3),
        build_stored(SECOND_ERA, FIRST_OF_SECOND),
        build_stored(0, 3),
        _record_trust.StoredRecords(None, NO_RECORDS, 1),
    ],
)
def test_records_of_the_present_era_are_the_truth(stored):
    heard = NOTHING_HEARD if stored.lease is None else build_heard(3, 99)
    judged = _record_trust.judge_map(stored, heard)
    assert judged.trust is TRUST.RECORDED
    assert judged.key_map is stored.key_map
    assert judged.precedence_s == 0.0


# Guards against owners by an older map where this host has heard a newer one.
@pytest.mark.parametrize(
    "stored",
    [
        build_stored(SECOND_ERA, 3),
        # A write with a version of an earlier era replaced one record.
        build_stored(1, 3, map_epoch=2),
        # The coordinator after the restore was lost before it had finished.
        build_stored(SECOND_ERA, FIRST_OF_SECOND, revision=1, uncertain=True),
        _record_trust.StoredRecords(None, NO_RECORDS, SECOND_ERA),
        # A store that does not count its first restore would look new.
        _record_trust.StoredRecords(None, NO_RECORDS, 1),
    ],
)
def test_heard_map_replaces_records_that_may_be_outdated(stored):
    epoch = FIRST_OF_SECOND if stored.key_map.epoch > 3 else 3
    heard = build_heard(epoch, 9)
    judged = _record_trust.judge_map(stored, heard)
    assert judged.trust is TRUST.VOUCHED
    assert judged.key_map is heard.key_map


# Guards against a map that only looks like the latest.
@pytest.mark.parametrize(
    "heard",
    [
        NOTHING_HEARD,
        # Older than the record.
        build_heard(3, 4),
        # Heard long ago, or read from the store only.
        build_heard(3, 9, age_s=60.0),
        build_heard(3, 9, age_s=float("inf")),
        # Of an era that the store has not reached: forged.
        build_heard(2 * 65_536 + 1, 9),
    ],
)
def test_outdated_or_forged_map_is_not_used(heard):
    stored = build_stored(SECOND_ERA, 3)
    judged = _record_trust.judge_map(stored, heard)
    assert judged.trust is TRUST.UNVOUCHED
    assert judged.key_map is stored.key_map


# Guards against an election of a host that knows less than another live one.
def test_hosts_that_know_more_are_elected_first():
    stored = build_stored(SECOND_ERA, 3)
    precedences = [
        _record_trust.judge_map(stored, heard).precedence_s
        for heard in (
            build_heard(3, 9, is_own=True),
            build_heard(3, 9),
            build_heard(3, 9, age_s=9.0),
        )
    ]
    assert precedences[0] == 0.0
    assert precedences == sorted(set(precedences))


# Guards against fencing tokens that are assigned twice.
@pytest.mark.parametrize("era", [SECOND_ERA, 3, 9])
def test_epoch_exceeds_all_epochs_of_earlier_eras(era):
    stored = build_stored(era, 3)
    judged = _record_trust.judge_map(stored, NOTHING_HEARD)
    epoch = _record_trust.compute_next_epoch(stored, judged)
    assert sycamoreloft_direct.find_era(epoch) == era
    assert epoch - 1 == (era - 1) * 65_536


# Guards against an epoch below one that was heard: its tokens are refused.
def test_epoch_exceeds_the_heard_one():
    stored = build_stored(SECOND_ERA, 3)
    heard = build_heard(FIRST_OF_SECOND + 4, 9)
    judged = _record_trust.judge_map(stored, heard)
    epoch = _record_trust.compute_next_epoch(stored, judged)
    assert epoch == FIRST_OF_SECOND + 5
