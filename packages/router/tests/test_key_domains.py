"""Key ownership in failure domains: cuts, stops, restarts, late bytes."""

import domain_faults
import pytest
import virtual_time

import sycamoreloft_direct


# Guards against a coordinator that began in a stopping process, ended without
# resigning, and left grants behind that a cut held up: the next process of the
# host gave their keys away before they arrived.
@pytest.mark.parametrize("seed", [6, 98])
def test_orders_of_a_stopped_process_give_keys_no_second_owner(seed):
    world = virtual_time.run(
        domain_faults.play(seed, "cut-while-bidders-stop", exit_resets=False)
    )
    assert not world.problems, world.problems[:3]


# Guards against the same after a coordinator was killed.
@pytest.mark.parametrize("seed", [12, 14])
def test_orders_of_a_killed_process_give_keys_no_second_owner(seed):
    world = virtual_time.run(
        domain_faults.play(
            seed, "cut-while-coordinators-are-killed", exit_resets=False
        )
    )
    assert not world.problems, world.problems[:3]


# Guards against keys with two owners, or requests that two upstreams work on,
# where coordinators change while domains are cut.
@pytest.mark.parametrize("pattern", sorted(domain_faults.PATTERNS))
def test_faults_of_domains_give_keys_no_second_owner(pattern):
    world = virtual_time.run(domain_faults.play(1, pattern))
    assert not world.problems, world.problems[:3]
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT
