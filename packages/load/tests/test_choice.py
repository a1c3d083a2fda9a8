"""Choice by reported load, under the load patterns that it answers."""

import random
import statistics

import load_world
import pytest

import sycamoreloft_load

CAPACITY = 20 * load_world.SLOTS / load_world.WORK_S


def change_speeds(world):
    for number in range(len(world.percent)):
        if world.generator.random() < 0.4:
            world.percent[number] = world.generator.choice((100, 150, 200, 300))


# A slow server among fast ones. Guards against a queue at the slow one, and
# against shutting it out.
@pytest.mark.parametrize("reports", [False, True])
def test_a_slow_upstream_gets_less_but_not_nothing(reports):
    world = load_world.World(40, [100] * 19 + [300], reports)
    # The hosts learn latencies first.
    world.run(0.75 * CAPACITY, 5, load_world.World.share_loads)
    world.run(0.75 * CAPACITY, 5, load_world.World.share_loads)
    share = world.served[-1] / statistics.mean(world.served[:-1])
    assert 0.02 < share < 1 / 3


# Changing speeds. Guards against hosts that learn a speed when it is over.
def test_reports_of_changing_speeds_shorten_the_wait():
    means = []
    for reports in (False, True):
        world = load_world.World(40, [100] * 20, reports)

        def tick(world):
            change_speeds(world)
            world.share_loads()

        world.run(0.48 * CAPACITY, 8, tick)
        means.append(statistics.mean(world.latencies))
    assert means[1] < 0.9 * means[0]


# Many hosts that see the same idle upstream. Guards against all choosing it.
def test_many_hosts_do_not_all_choose_the_same_idle_upstream():
    world = load_world.World(100, [100] * 30, True)
    chosen = []
    for pool in world.pools:
        for entry in world.entries:
            waiting = 0 if entry.id == "u0" else 16
            load = sycamoreloft_load.ReportedLoad(4, waiting, 4)
            pool.record_load(entry.run, load, 0.0)
        chosen.append(pool.choose("s", 0.1, False).entry.id)
    assert 2 < chosen.count("u0") < 20


# Overload. Guards against goodput that falls because refused upstreams, all of
# them, are held back.
@pytest.mark.parametrize("reports", [False, True])
@pytest.mark.parametrize("factor", [1.5, 3, 10])
def test_overload_does_not_lower_what_is_served(factor, reports):
    world = load_world.World(8, [100] * 8, reports)
    capacity = 8 * load_world.SLOTS / load_world.WORK_S
    world.run(factor * capacity, 2)
    world.run(factor * capacity, 2)
    assert len(world.latencies) > 0.95 * 2 * capacity


# All cold. Guards against a lower throughput of a service that starts whole.
def test_a_service_whose_upstreams_are_all_cold_is_served_as_a_warm_one():
    served = []
    for warm_up_s in (0.0, 10.0):
        world = load_world.World(20, [100] * 20, False, warm_up_s=warm_up_s)
        world.run(0.9 * CAPACITY, 6)
        served.append(len(world.latencies))
    assert served[1] > 0.98 * served[0]


# Guards against a change for services whose upstreams report no load, and
# against a report that still counts when it is old.
def test_old_reports_change_no_choice():
    plain = load_world.World(1, [100] * 20, False).pools[0]
    world = load_world.World(1, [100] * 20, False)
    for entry in world.entries:
        load = sycamoreloft_load.ReportedLoad(0, len(entry.id), 4, 300)
        world.pools[0].record_load(entry.run, load, 0.0)
    for now in [random.Random(1).uniform(2.0, 9.0) for _ in range(200)]:
        choices = [
            pool.choose("s", now, False) for pool in (plain, world.pools[0])
        ]
        assert choices[0].entry is not None
        assert choices[0].entry.id == choices[1].entry.id
        for pool, record in zip((plain, world.pools[0]), choices, strict=True):
            pool.begin(record, object(), now)


# Guards against requests to upstreams that fail, because they report no work.
def test_an_idle_upstream_that_fails_half_of_its_requests_gets_few():
    world = load_world.World(1, [100] * 2, False, domains="a")
    pool = world.pools[0]
    failing = pool.find(world.entries[0].run)
    for number in range(40):
        pool.begin(failing, number, 0.0)
        result = load_world.RESULT.ANSWERED
        if number % 2:
            result = load_world.RESULT.FAILED
        pool.finish(failing, number, result, 0.1)
    for entry, waiting in zip(world.entries, (0, 8), strict=True):
        load = sycamoreloft_load.ReportedLoad(0, waiting, 4)
        pool.record_load(entry.run, load, 9.0)
    chosen = [pool.choose("s", 9.0, False) for _ in range(500)]
    assert 0 < chosen.count(failing) < 100
