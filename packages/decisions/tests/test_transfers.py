"""Tests of partitions that move from one group to another."""

import dataclasses
import random

import pytest

import sycamoreloft_config
from sycamoreloft_proof import _ownership_fleet

DOMAINS = ("d", "e")


def make_generation(number, **changes):
    upstreams = {
        f"{domain}{index}": sycamoreloft_config.Upstream(
            f"{domain}{index}",
            "board",
            domain,
            "127.0.0.1:1",
            4,
            checks_fences=index != 2,
        )
        for domain in DOMAINS
        for index in range(3)
    }
    for name, fields in changes.items():
        upstreams[name] = dataclasses.replace(upstreams[name], **fields)
    fleet = sycamoreloft_config.Fleet(
        "f",
        sycamoreloft_config.Weights(),
        6.0,
        600.0,
        {name: sycamoreloft_config.FailureDomain(name) for name in DOMAINS},
        {"board": sycamoreloft_config.Service("board", True, 16)},
        upstreams,
    )
    return sycamoreloft_config.Generation(number, {"f": fleet})


def make_fleet(seed):
    fleet = _ownership_fleet.OwnershipFleet(make_generation(1), "f", 3, seed)
    fleet.run(3.0)
    return fleet


def list_domains(fleet):
    records = fleet.store.list_records()
    return {upstream[0] for upstream, _ in records.values()}


def test_partitions_follow_the_file_to_another_group():
    """Guards against partitions that stay with a group without upstreams."""
    fleet = make_fleet(1)
    assert not fleet.list_unserved()
    assert list_domains(fleet) == {"d", "e"}
    leaving = {name: {"leaving": True} for name in ("d0", "d1", "d2")}
    assert fleet.change_generation(make_generation(2, **leaving))
    fleet.run(4.0)
    assert list_domains(fleet) == {"e"}
    assert not fleet.list_unserved()
    assert fleet.change_generation(make_generation(3))
    fleet.run(4.0)
    assert list_domains(fleet) == {"d", "e"}
    assert not fleet.list_unserved()


@pytest.mark.parametrize("seed", range(6))
def test_transfers_with_faults_never_overlap(seed):
    """Guards against two groups that both own a partition."""
    source = random.Random(seed)
    fleet = make_fleet(seed)
    names = [f"{domain}{index}" for domain in DOMAINS for index in range(3)]
    for number in range(2, 8):
        leaving = source.sample(names, source.randrange(4))
        world = source.choice(fleet.worlds)
        upstream = source.choice(sorted(world.upstreams))
        holder = world.find_holder()
        match source.randrange(5):
            case 0:
                world.freeze_upstream(upstream, 2.0)
            case 1:
                world.restart_upstream(upstream)
            case 2 if holder:
                world.pause_host(holder, source.choice([0.4, 1.2, 3.0]))
            case 3 if holder:
                world.restart_host(holder)
            case _:
                fleet.store.maximum_delay_s = source.choice([0.3, 1.0])
                fleet.store.lost_answer_share = 0.3
        fleet.change_generation(
            make_generation(
                number, **{name: {"leaving": True} for name in leaving}
            )
        )
        fleet.run(source.choice([0.3, 1.0, 2.5]))
        fleet.store.heal()
    fleet.change_generation(make_generation(9))
    fleet.run(10.0)
    assert fleet.generation.number == 9
    assert not fleet.list_unserved()
    fences = {
        unit: fence for unit, (_, fence) in fleet.store.list_records().items()
    }
    fleet.oracle.check_survival(fences)
