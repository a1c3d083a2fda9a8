"""Pace of upstreams that have started or recovered."""

import dataclasses
import random

import load_world
import pytest

from sycamoreloft_load import _pace

RESULT = load_world.RESULT


def count(pool, chosen, now, rounds=2_000):
    """Returns the share of choices of some upstreams relative to a fair one."""
    hits = sum(
        pool.choose("s", now, False).entry.id in chosen for _ in range(rounds)
    )
    total = len(pool._by_service["s"])
    return hits / rounds * total / len(chosen)


def start(pool, entries, number, now, **changes):
    """Replaces the run of an upstream by a new one; returns its record."""
    entries[number] = dataclasses.replace(
        entries[number], started_ms=2, **changes
    )
    pool.update(entries, now)
    return pool.find(entries[number].run)


def answer(pool, record, seconds, now, result=RESULT.ANSWERED):
    attempt = object()
    pool.begin(record, attempt, now - seconds)
    pool.finish(record, attempt, result, now)


@pytest.fixture
def world():
    """One host and 20 upstreams, which answer in 0.2 s."""
    world = load_world.World(1, [100] * 20, False, domains="a")
    pool = world.pools[0]
    for entry in world.entries:
        answer(pool, pool.find(entry.run), 0.2, 1.0)
    return world


# A start. Guards against a burst to a server that has just started, and against
# a host with little traffic that holds it back for minutes.
def test_the_share_of_a_started_upstream_rises_with_time(world):
    pool = world.pools[0]
    start(pool, world.entries, 0, 2.0)
    assert count(pool, {"u0"}, 2.0) < 0.4
    assert count(pool, {"u0"}, 3.6) > 0.8
    assert pool.count_paced(3.6) == {}


# Fast from the first response.
def test_good_answers_end_the_pace_also_of_a_cold_upstream(world):
    pool = world.pools[0]
    record = start(pool, world.entries, 0, 2.0, warm_up_s=10.0)
    assert count(pool, {"u0"}, 9.0) < 0.4
    for number in range(4):
        assert record.pace is not None
        answer(pool, record, 0.2, 9.0 + number / 10)
    assert record.pace is None


# A server that stays slow. Guards against one that is held back for good on
# top of its learned latency.
def test_slow_answers_hold_a_pace_back_for_a_bounded_time(world):
    pool = world.pools[0]
    record = start(pool, world.entries, 0, 2.0)
    peer = pool.find(world.entries[1].run)

    def answer_slowly(began_at):
        for number in range(30):
            now = began_at + number / 10
            answer(pool, record, 1.0, now)
            for _ in range(5):
                answer(pool, peer, 0.2, now)

    answer_slowly(2.0)
    assert _pace.compute_share(record.pace, 4.9) < 0.3
    answer_slowly(5.1)
    assert pool.count_paced(8.0) == {}


# A recovery after an ejection, and after a refusal.
@pytest.mark.parametrize(
    ("result", "back_at"), [(RESULT.UNREACHABLE, 3.0), (RESULT.REFUSED, 2.0)]
)
def test_a_setback_lowers_the_share_for_a_short_time(world, result, back_at):
    pool = world.pools[0]
    record = pool.find(world.entries[0].run)
    answer(pool, record, 0.0, 2.0, result)
    assert _pace.compute_share(record.pace, back_at) == 0.25
    assert count(pool, {"u0"}, back_at) < 0.6
    assert _pace.compute_share(record.pace, back_at + 1.0) == 1.0


# Guards against a share that rises during a pause, when it proves nothing.
def test_the_share_does_not_rise_while_the_upstream_pauses(world):
    pool = world.pools[0]
    record = pool.find(world.entries[0].run)
    pool.record_pause(record.entry.run, 60.0, 2.0, 0)
    answer(pool, record, 0.0, 2.0, RESULT.REFUSED)
    assert _pace.compute_share(record.pace, 62.0) == 0.25


# A domain that returns whole. Guards against a burst to it by many hosts, and
# against one to the others while it is held back.
def test_a_domain_that_returns_gets_its_load_step_by_step():
    world = load_world.World(50, [100] * 60, False)
    returned = {f"u{n}" for n in range(0, 60, 3)}
    warm = [entry for entry in world.entries if entry.id not in returned]
    for pool in world.pools:
        pool.update(warm, 1.0)
        pool.update(world.entries, 2.0)
    first = [count(pool, returned, 2.0, 40) for pool in world.pools]
    assert 0.0 < sum(first) / 50 < 0.4
    later = [count(pool, returned, 3.6, 40) for pool in world.pools]
    assert sum(later) / 50 > 0.9


# Guards against the overload of the few warm upstreams of a service.
@pytest.mark.parametrize("warm", [1, 5, 10])
def test_the_load_of_warm_upstreams_at_most_doubles(warm):
    world = load_world.World(1, [100] * 20, False, domains="a")
    pool = world.pools[0]
    pool.update(world.entries[:warm], 1.0)
    pool.update(world.entries, 2.0)
    names = {entry.id for entry in world.entries[:warm]}
    assert count(pool, names, 2.0) < 2.3


# Guards against a pace that leaves a service without upstreams.
def test_no_pace_excludes_an_upstream():
    world = load_world.World(1, [100] * 3, False, warm_up_s=60.0)
    pool, generator = world.pools[0], random.Random(1)
    for number in range(300):
        record = pool.choose("s", 0.1, False)
        pool.begin(record, number, 0.1)
        if generator.random() < 0.5:
            pool.finish(record, number, RESULT.REFUSED, 0.1)
    assert pool.choose("s", 0.1, False, ["u0", "u1"]) is not None
