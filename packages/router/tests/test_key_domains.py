"""Key ownership under faults of simulated failure domains."""

import domain_patterns
import pytest
import virtual_time

import sycamoreloft_direct
from sycamoreloft_router import _record_trust


# Guards against two owners of a key: a process was elected while it stopped,
# ended without resigning, and left grants that a network partition delayed. The
# next process of the host gave the keys to others before the grants arrived.
@pytest.mark.parametrize("seed", [6, 98])
def test_orders_of_a_stopped_process_give_keys_no_second_owner(seed):
    world = virtual_time.run(
        domain_patterns.run_pattern(
            seed, "cut-while-bidders-stop", exit_resets=False
        )
    )
    assert not world.problems, world.problems[:3]


# Guards against the same failure after the coordinator was killed.
@pytest.mark.parametrize("seed", [12, 14])
def test_orders_of_a_killed_process_give_keys_no_second_owner(seed):
    world = virtual_time.run(
        domain_patterns.run_pattern(
            seed, "cut-while-coordinators-are-killed", exit_resets=False
        )
    )
    assert not world.problems, world.problems[:3]


# Guards against two owners of a key: a grant waited at a full upstream for a
# free slot, its call ended, and a network partition dropped the reset of its
# connection. The upstream took it when the coordinator counted on its end.
@pytest.mark.parametrize("seed", [2, 13, 24, 27])
def test_a_grant_that_waits_for_a_slot_gives_keys_no_second_owner(seed):
    world = virtual_time.run(
        domain_patterns.run_pattern(seed, "cut-while-upstreams-are-full")
    )
    assert not world.problems, world.problems[:3]


# Guards against keys that are given on while their owner works on a request:
# the grant that began the move had a shorter lease than the one under which the
# work began, and its release was not answered.
def test_a_move_waits_for_the_work_of_an_earlier_lease():
    world = virtual_time.run(domain_patterns.run_pattern(9, "mix"))
    assert not world.problems, world.problems[:3]


# Guards against keys with two owners, and against two upstreams that work on
# one key, while coordinators change during network partitions.
@pytest.mark.parametrize("pattern", sorted(domain_patterns.PATTERNS))
def test_faults_of_domains_give_keys_no_second_owner(pattern):
    world = virtual_time.run(domain_patterns.run_pattern(1, pattern))
    assert not world.problems, world.problems[:3]
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT


def _trust_records(stored, heard):
    """Takes any record for the latest, as before restores were known."""
    return _record_trust.JudgedMap(
        stored.key_map, sycamoreloft_direct.MapTrust.RECORDED, heard
    )


# Guards against an oracle that misses what only a restore of the store causes:
# the planted fault breaks the restores, and no pattern without them.
@pytest.mark.parametrize(
    ("pattern", "seeds", "is_broken"),
    [
        ("restores", (12, 13, 19), True),
        ("coordinator-changes", (12, 13, 19), False),
    ],
)
def test_oracle_finds_a_successor_that_trusts_a_restored_map(
    monkeypatch, pattern, seeds, is_broken
):
    monkeypatch.setattr(_record_trust, "judge_map", _trust_records)
    worlds = [
        virtual_time.run(domain_patterns.run_pattern(seed, pattern))
        for seed in seeds
    ]
    assert any(world.problems for world in worlds) == is_broken


# Guards against owners by an outdated map, and against keys that stay without
# an owner, while restores meet losses of coordinators and upstreams.
@pytest.mark.parametrize("seed", range(2, 6))
@pytest.mark.parametrize("pattern", ["restores", "restores-beside-power-loss"])
def test_restores_give_keys_no_second_owner(pattern, seed):
    world = virtual_time.run(domain_patterns.run_pattern(seed, pattern))
    assert not world.problems, world.problems[:3]
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT
