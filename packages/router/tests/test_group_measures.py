"""Tests of the measures of a group's load balance and availability."""

import pytest

from sycamoreloft_router import _group_measures


@pytest.fixture
def measures():
    """Measures of a group without requests."""
    return _group_measures.GroupMeasures()


def test_imbalance_counts_idle_upstreams(measures):
    """Guards against reporting balance while one upstream is idle."""
    candidates = {"s": ("u1", "u2"), "other": ("u3",)}
    assert measures.compute_imbalance(candidates) == 1.0
    for _ in range(10):
        measures.count_permit("s", "u1")
        measures.count_permit("other", "u3")
    assert measures.compute_imbalance(candidates) == 2.0


def test_imbalance_follows_the_load(measures):
    """Guards against a measure that past load dominates forever."""
    candidates = {"s": ("u1", "u2")}
    for _ in range(_group_measures.MAXIMUM_COUNTED_PERMITS):
        measures.count_permit("s", "u1")
    for _ in range(4 * _group_measures.MAXIMUM_COUNTED_PERMITS):
        measures.count_permit("s", "u2")
    assert measures.compute_imbalance(candidates) > 1.9


def test_waiting_time_is_summed_over_partitions(measures):
    """Guards against an outage time that grows with the number of requests."""
    measures.add_waiting_time({("s", 1), ("s", 2)}, 0.05)
    measures.add_waiting_time(set(), 0.05)
    assert measures.unavailable_s == pytest.approx(0.1)
