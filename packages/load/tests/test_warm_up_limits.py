"""Limits on the requests that all hosts together send to cold upstreams."""

import dataclasses
import random

import pytest

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_load import _warm_up_limits

BOUND = 15
HOSTS = 110
WARM_UP_S = 20.0
WALL_S = 1e9
SERVICE = sycamoreloft_direct.Service("ledger", False, 0, "", WARM_UP_S, 5.0)


def build(name="u1", age_s=0.0, **changes):
    values = {
        "id": name,
        "started_ms": round((WALL_S - age_s) * 1000),
        "address": f"{name}:1",
        "service": "ledger",
        "failure_domain": "a",
        "slots": 4,
        "is_draining": False,
    }
    return sycamoreloft_direct.Upstream(**(values | changes))


def build_pool(seed, *entries, count=HOSTS, now=0.0, service=SERVICE):
    """Returns the pool of a host that heard the number of hosts long ago."""
    pool = sycamoreloft_load.UpstreamPool("a", random.Random(seed))
    pool.warm_up.set_services({"ledger": service}, now)
    pool.warm_up.update_host_count(count, now - 100.0)
    update(pool, entries, now)
    return pool


def update(pool, entries, now):
    pool.warm_up.update(entries, now, WALL_S + now)
    pool.update(entries, now)


def send(pool, now, target="u1"):
    """Sends a request without a key; returns whether the target got it."""
    record = pool.choose("ledger", now, False)
    return (
        record is not None
        and record.entry.id == target
        and pool.claim_send(record, now)
    )


def list_sends(pools, begin, end, step=0.05):
    """Returns when any host sent to the cold upstream, under constant load."""
    times = []
    for number in range(round((end - begin) / step)):
        now = begin + number * step
        times += [now for pool in pools if send(pool, now)]
    return times


def count_busiest_second(times):
    busiest = first = 0
    for last, time in enumerate(times):
        while times[first] <= time - 1.0:
            first += 1
        busiest = max(busiest, last - first + 1)
    return busiest


@pytest.mark.parametrize(
    ("rate", "overage", "slack"), [(5, 1.5, 8), (40, 1.2, 0), (0.5, 1.5, 8)]
)
def test_the_rate_is_the_highest_that_the_bound_allows(rate, overage, slack):
    bounds = sycamoreloft_load.WarmUpBounds(overage, slack)
    safe = _warm_up_limits.compute_safe_rate(rate, bounds)
    period_s = 1.0 + _warm_up_limits.EXPIRY_S + _warm_up_limits.TRANSIT_S
    maximum = int(rate * overage + slack)
    for factor, is_allowed in ((1.0, True), (1.02, safe == rate)):
        tail = _warm_up_limits.compute_poisson_tail(
            safe * factor * period_s, maximum
        )
        assert (tail <= 1.001e-6) == is_allowed


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hosts_that_know_nothing_of_each_other_keep_the_bound(seed):
    entries = build(warm_up_s=60.0), build("u2")
    pools = [build_pool(seed * 1000 + n, *entries) for n in range(HOSTS)]
    times = list_sends(pools, 0.0, 30.0)
    assert count_busiest_second(times) <= BOUND
    # The cold upstream must not be left idle: 2.2 a second are expected.
    assert len(times) >= 30 * 1.5


# Guards against hosts of a partition that use up the share of the others.
def test_partitioned_hosts_keep_the_bound_without_messages():
    entries = build(warm_up_s=60.0), build("u2")
    pools = [build_pool(n, *entries) for n in range(HOSTS // 2)]
    cut_off = [build_pool(n + 500, *entries, count=0) for n in range(55)]
    assert not list_sends(cut_off, 0.0, 5.0)
    times = list_sends([*pools, *cut_off], 5.0, 30.0)
    assert count_busiest_second(times) <= BOUND


# Guards against a new coordinator that has heard of few hosts so far.
def test_the_number_of_hosts_is_not_used_before_it_has_settled():
    entries = build(warm_up_s=60.0), build("u2")
    pools = [build_pool(n, *entries, count=0) for n in range(HOSTS)]
    for count, now in ((1, 0.0), (30, 0.5), (HOSTS, 1.0)):
        for pool in pools:
            pool.warm_up.update_host_count(count, now)
    assert not list_sends(pools, 0.0, _warm_up_limits.COUNT_SETTLING_S)
    times = list_sends(pools, 3.0, 23.0)
    assert times
    assert count_busiest_second(times) <= BOUND


def test_a_domain_that_is_cold_as_a_whole_leaves_the_load_to_the_others():
    cold = [build(f"c{n}", warm_up_s=60.0) for n in range(20)]
    pool = build_pool(1, *cold, build("w", failure_domain="b"))
    chosen = [pool.choose("ledger", n / 100, False) for n in range(1000)]
    shares = [record.entry.id != "w" for record in chosen]
    assert 0 < sum(shares) < 20


# Guards against requests that wait, or that reach upstreams that cannot bear
# them, when no upstream is warm.
def test_requests_are_refused_if_all_upstreams_are_cold():
    for count in (0, HOSTS):
        pool = build_pool(1, build(warm_up_s=60.0), count=count)
        chosen = [pool.choose("ledger", n / 100, False) for n in range(500)]
        assert chosen.count(None) > 490
        assert pool.warm_up.compute_service_cold_s("ledger", 5.0) == 55.0


def test_an_upstream_that_becomes_cold_again_is_limited():
    first = build()
    pool = build_pool(1, first, build("u2"), count=1)
    waiting = pool.find(first.run)
    again = dataclasses.replace(first, warm_up_s=1.0)
    update(pool, [again, build("u2")], 50.0)
    # A request that was queued before counts as well.
    assert not pool.may_send(waiting, 50.0, 1.0)
    assert not pool.claim_send(waiting, 50.0)
    hold_end = 50.0 + _warm_up_limits.HOLD_OFF_S
    assert not list_sends([pool], 50.0, hold_end)
    # It stays cold for `warmupS`, though the entry tells of one second.
    update(pool, [dataclasses.replace(again, warm_up_s=0.0)], 55.0)
    assert pool.warm_up.compute_cold_s(first.key, 55.0) == 15.0
    assert 10 < len(list_sends([pool], hold_end, 65.0)) < 60
    assert pool.warm_up.compute_cold_s(first.key, 71.0) == 0.0


@pytest.mark.parametrize(
    ("age_s", "cold_s"), [(-3.0, 20.0), (3.0, 20.0), (500.0, 0.0)]
)
def test_a_run_that_is_listed_late_is_cold_unless_it_is_old(age_s, cold_s):
    pool = build_pool(1, build("u2"))
    pool.choose("ledger", 1.0, False)
    late = build(age_s=age_s)
    update(pool, [build("u2"), late], 10.0)
    assert pool.warm_up.compute_cold_s(late.key, 10.0) == cold_s
    # The entry may be missing for a time.
    update(pool, [build("u2")], 11.0)
    update(pool, [build("u2"), late], 12.0)
    assert pool.warm_up.compute_cold_s(late.key, 12.0) == max(0, cold_s - 2)


def test_upstreams_that_start_together_before_the_traffic_are_warm():
    pool = build_pool(1, build("u2"))
    update(pool, [build("u2"), build()], 0.5)
    assert not pool.warm_up.count_cold(0.5)
    # An old upstream shows that other hosts may have traffic.
    running = build_pool(1, build("u2", age_s=500.0))
    update(running, [build("u2", age_s=500.0), build()], 0.5)
    assert running.warm_up.count_cold(0.5) == 1
    # A host that has no traffic for long cannot know whether others have.
    update(pool, [build("u2"), build(), build("u3")], 11.0)
    assert pool.warm_up.count_cold(11.0) == 1


# Guards against a change for deployments without `warmupPerS`.
def test_nothing_is_limited_without_a_rate():
    service = dataclasses.replace(SERVICE, warm_up_rate=0.0)
    pool = build_pool(1, build(warm_up_s=60.0), count=0, service=service)
    assert len(list_sends([pool], 0.0, 5.0)) == 100


# Guards against a request that is sent long after its send time, and against
# two requests that use one send time.
def test_a_send_time_serves_one_request_and_expires():
    pool = build_pool(1, build(warm_up_s=60.0), count=1)
    now = next(
        n / 100
        for n in range(1000)
        if pool.warm_up.list_ready("ledger", n / 100)
    )
    key = build().key
    assert pool.warm_up.reserve(key, now)
    assert pool.warm_up.claim(key, now)
    assert not pool.warm_up.claim(key, now)
    late = now + 20 * _warm_up_limits.EXPIRY_S
    pool.warm_up.may_send(key, late)
    pool.warm_up._runs[key].reserved.append(now)
    pool.warm_up._runs[key].ready.clear()
    assert not pool.warm_up.claim(key, late)
