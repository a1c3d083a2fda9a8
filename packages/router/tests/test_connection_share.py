"""Tests of the division of an upstream's connections."""

import pytest

import sycamoreloft_config
from sycamoreloft_router import _connection_share


@pytest.fixture
def generation():
    """A generation with an upstream of 6 slots and 300 connections."""
    fleet = sycamoreloft_config.Fleet(
        "f",
        sycamoreloft_config.Weights(),
        3900.0,
        600.0,
        {"d": sycamoreloft_config.FailureDomain("d")},
        {"s": sycamoreloft_config.Service("s", False)},
        {
            "u": sycamoreloft_config.Upstream(
                "u", "s", "d", "127.0.0.1:9001", 6, 300
            )
        },
    )
    return sycamoreloft_config.Generation(1, {"f": fleet})


@pytest.mark.parametrize("hosts", [1, 24, 50, 51, 683, 4_100])
def test_connections_are_bounded_at_any_number_of_hosts(generation, hosts):
    """Guards against idle connections that use up an upstream's limit."""
    share = _connection_share.compute_share(generation, hosts)
    idle = share.connections * hosts if share.keeps_idle else 0
    assert idle <= 300
    assert share.connections >= 6


def test_nothing_is_limited_before_a_file_is_in_force():
    """Guards against an exception for a generation without upstreams."""
    empty = sycamoreloft_config.Generation(0, {})
    share = _connection_share.compute_share(empty, 24)
    assert share == _connection_share.ConnectionShare()
