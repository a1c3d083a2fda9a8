"""Tests of assigning partitions to groups, and of placement in a group."""

import collections
import dataclasses

import pytest

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_decisions import _loads, _placement
from sycamoreloft_proof import _placement_traces

WEIGHTS = sycamoreloft_config.Weights()


def make_generation(slots, **changes):
    """Makes a fleet with two upstreams in each domain, by their slots."""
    upstreams = {
        f"{domain}{index}": sycamoreloft_config.Upstream(
            f"{domain}{index}", "board", domain, "127.0.0.1:1", count
        )
        for domain, count in slots.items()
        for index in range(2)
    }
    for name, fields in changes.items():
        upstreams[name] = dataclasses.replace(upstreams[name], **fields)
    fleet = sycamoreloft_config.Fleet(
        "f",
        WEIGHTS,
        60.0,
        600.0,
        {name: sycamoreloft_config.FailureDomain(name) for name in slots},
        {
            "board": sycamoreloft_config.Service("board", True, 2_000),
            "film": sycamoreloft_config.Service("film", False),
        },
        upstreams,
    )
    return sycamoreloft_config.Generation(1, {"f": fleet})


def list_partition_domains(generation):
    directory = sycamoreloft_decisions.PartitionDirectory(generation)
    return [
        directory.get_group("f", "board", partition).failure_domain
        for partition in range(2_000)
    ]


def test_groups_share_partitions_by_slots():
    """Guards against small groups that get as many partitions as large ones."""
    counts = collections.Counter(
        list_partition_domains(make_generation({"a": 2, "b": 6}))
    )
    assert counts["a"] / 2_000 == pytest.approx(0.25, abs=0.03)


def test_lost_upstreams_move_only_the_share_of_their_group():
    """Guards against moves between groups that a file does not change."""
    slots = {"a": 4, "b": 4, "c": 4}
    before = list_partition_domains(make_generation(slots))
    after = list_partition_domains(make_generation(slots, a0={"lost": True}))
    changed = [
        (old, new) for old, new in zip(before, after, strict=True) if old != new
    ]
    assert {old for old, _ in changed} == {"a"}
    assert len(changed) / 2_000 < 0.2


def test_group_without_usable_upstreams_gets_no_partitions():
    """Guards against partitions in groups that cannot serve them."""
    lost = {"lost": True}
    generation = make_generation(
        {"a": 4, "b": 4}, a0=lost, a1={"leaving": True}
    )
    assert set(list_partition_domains(generation)) == {"b"}
    find = sycamoreloft_decisions.compute_partition_group
    assert find(generation, "f", "film", 0) is None


def test_alias_of_a_merged_service_has_no_partitions():
    """Guards against two owners of a key, one by each service name."""
    merge = sycamoreloft_config.Merge(
        (sycamoreloft_config.SameService("g/board", "f/board"),)
    )
    generation = dataclasses.replace(make_generation({"a": 4}), merge=merge)
    find = sycamoreloft_decisions.compute_partition_group
    assert find(generation, "f", "board", 0) is None


def make_view(loads, weights=WEIGHTS, unit_count=20):
    return _placement.LoadView(
        [_placement.Candidate(name, 4) for name in loads],
        loads,
        weights,
        unit_count,
    )


def test_units_without_owner_go_to_the_least_loaded():
    """Guards against overloading one upstream after another is lost."""
    view = make_view({"a": 5.0, "b": 1.0, "c": 4.0})
    unit = sycamoreloft_decisions.Unit("board", 1)
    chosen = [view.choose_target(unit, 1.0) for _ in range(5)]
    assert collections.Counter(chosen)["b"] >= 3
    assert make_view({}).choose_target(unit, 1.0) == ""


def test_move_must_lower_the_cost_by_a_margin():
    """Guards against units that move back and forth between upstreams."""
    unit = sycamoreloft_decisions.Unit("board", 1)
    even = make_view({"a": 10.5, "b": 9.5})
    assert even.propose_move(unit, "a", 1.0) is None
    uneven = make_view({"a": 18.0, "b": 2.0})
    proposal = uneven.propose_move(unit, "a", 1.0)
    assert proposal.target == "b"
    uneven.move(proposal, 1.0)
    assert uneven.propose_move(unit, "b", 1.0) is None


def test_weight_of_churn_keeps_units_in_place():
    """Guards against configured weights without effect."""
    unit = sycamoreloft_decisions.Unit("board", 1)
    loads = {"a": 13.0, "b": 7.0}
    calm = sycamoreloft_config.Weights(1.0, 8.0, 1.0)
    assert make_view(loads).propose_move(unit, "a", 1.0)
    assert make_view(loads, calm).propose_move(unit, "a", 1.0) is None


def test_few_requests_say_nothing_of_loads():
    """Guards against moves that a few requests cause."""
    loads = _loads.ServiceLoads("f", "board", 8, 0.0)
    unit = sycamoreloft_decisions.Unit("board", 3)
    loads.observe({"key": 50}, 0.1)
    assert loads.get_load(unit) == 1.0
    assert not loads.list_hot_keys()
    loads.observe({"key": 500}, 0.2)
    assert loads.list_hot_keys()[0][0] == "key"


@pytest.mark.parametrize(
    "shape", [_placement_traces.SLEDWORKS, _placement_traces.ISUKU]
)
def test_trace_keeps_the_router_between_its_rivals(shape):
    """Guards against placement that is worse than doing nothing."""
    figures = _placement_traces.compare_placements(shape, 1, 40)
    router, static = figures["router"], figures["never moving"]
    assert router.imbalance < static.imbalance
    assert router.churn_ratio < 5.0
    assert router.unavailable_key_seconds < static.unavailable_key_seconds / 4
