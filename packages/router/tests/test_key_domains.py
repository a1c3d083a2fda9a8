"""Key ownership under faults of simulated failure domains."""

import domain_faults
import pytest
import virtual_time

import sycamoreloft_direct


# Guards against two owners of a key: a process was elected while it stopped,
# ended without resigning, and left grants that a network partition delayed. The
# next process of the host gave the keys to others before the grants arrived.
@pytest.mark.parametrize("seed", [6, 98])
def test_orders_of_a_stopped_process_give_keys_no_second_owner(seed):
    world = virtual_time.run(
        domain_faults.run_pattern(
            seed, "cut-while-bidders-stop", exit_resets=False
        )
    )
    assert not world.problems, world.problems[:3]


# Guards against the same failure after the coordinator was killed.
@pytest.mark.parametrize("seed", [12, 14])
def test_orders_of_a_killed_process_give_keys_no_second_owner(seed):
    world = virtual_time.run(
        domain_faults.run_pattern(
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
        domain_faults.run_pattern(seed, "cut-while-upstreams-are-full")
    )
    assert not world.problems, world.problems[:3]


# Guards against keys with two owners, and against two upstreams that work on
# one key, while coordinators change during network partitions.
@pytest.mark.parametrize("pattern", sorted(domain_faults.PATTERNS))
def test_faults_of_domains_give_keys_no_second_owner(pattern):
    world = virtual_time.run(domain_faults.run_pattern(1, pattern))
    assert not world.problems, world.problems[:3]
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT
