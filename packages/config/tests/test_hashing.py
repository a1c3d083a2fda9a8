"""Tests of hashes and rendezvous ranking."""

import sycamoreloft_config


def test_partitions_of_equal_keys_differ_between_fleets():
    """Guards against equal keys of two fleets that share a partition."""
    numbers = {
        sycamoreloft_config.compute_partition(fleet, "board", "heat-7", 2**32)
        for fleet in ("sledworks", "isuku")
    }
    assert len(numbers) == 2


def test_rendezvous_order_changes_little_when_a_candidate_leaves():
    """Guards against reassigning subjects when another candidate leaves."""
    hosts = [f"host-{index}" for index in range(8)]
    for subject in map(str, range(200)):
        first = sycamoreloft_config.rank_by_rendezvous(subject, hosts)[0]
        if first != "host-3":
            left = [host for host in hosts if host != "host-3"]
            assert (
                sycamoreloft_config.rank_by_rendezvous(subject, left)[0]
                == first
            )
