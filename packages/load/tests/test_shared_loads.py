"""Loads of upstreams that hosts tell each other."""

import pytest

import sycamoreloft_direct
import sycamoreloft_load

FULL = sycamoreloft_direct.ReportedLoad(4, 6, 4)
IDLE = sycamoreloft_direct.ReportedLoad(1, 0, 4)


def share(number, load=FULL, age_s=0.1):
    return sycamoreloft_load.SharedLoad(number, load, age_s)


def hear(number, load):
    run = sycamoreloft_direct.UpstreamRun(f"u{number}", 1)
    return sycamoreloft_load.HeardLoad(run, load, 0.1)


def test_only_overloaded_upstreams_are_shared_and_only_news():
    """Guards against bytes for loads that change no choice."""
    loads = sycamoreloft_load.SharedLoads()
    loads.add([share(1), share(2, IDLE)], 10.0)
    [chosen] = loads.choose(256, 10.3)
    assert (chosen.run_number, chosen.load) == (1, FULL)
    assert chosen.age_s == pytest.approx(0.4)
    assert loads.choose(256, 10.7) == ()
    loads.add([share(1, IDLE)], 10.8)
    assert loads.choose(256, 10.8) == ()


def test_the_newest_load_counts_and_an_old_one_does_not():
    """Guards against datagrams that arrive late or in another order."""
    loads = sycamoreloft_load.SharedLoads()
    loads.add([share(1, IDLE, age_s=0.1)], 10.0)
    loads.add([share(1, FULL, age_s=0.5)], 10.1)
    assert loads.choose(256, 10.1) == ()
    loads.add([share(2)], 10.0)
    assert loads.choose(256, 12.0) == ()


def test_all_overloaded_upstreams_have_their_turn():
    """Guards against upstreams that a limit leaves out for ever."""
    loads = sycamoreloft_load.SharedLoads()
    seen = set()
    for step in range(4):
        now = 10.0 + step * 0.4
        loads.add([share(number) for number in range(40)], now)
        seen |= {item.run_number for item in loads.choose(10, now)}
    assert seen == set(range(40))


def test_hosts_together_tell_no_more_than_the_coordinator_can_decode():
    """Guards against a coordinator that grows busy with each host."""
    for hosts, most in ((110, 8 + 182), (4_100, 8 + 5)):
        teller = sycamoreloft_load.LoadTeller()
        heard = [hear(number, IDLE) for number in range(30)]
        heard.append(hear(99, FULL))
        told = [teller.select(heard, hosts, step / 4) for step in range(40)]
        assert told[0][0].is_overloaded
        assert 0 < sum(map(len, told)) <= most


def test_messages_fit_the_budgets_of_hosts_and_of_the_link():
    """Guards against loads that fill a slow link of the coordinator."""
    limit = sycamoreloft_load.compute_message_limit
    assert limit(110, 1_000.0, 0.4) == limit(4_100, 1_000.0, 0.4) == 61
    assert limit(110, 5.0, 0.4) == 11
    assert limit(4_100, 5.0, 0.4) == 0


def test_runs_that_share_a_number_are_left_out():
    """Guards against a load that is recorded for another upstream."""
    runs = [sycamoreloft_direct.UpstreamRun(f"u{n}", 1) for n in range(99)]
    index = sycamoreloft_load.index_runs(runs)
    assert set(index.values()) == set(runs)
    # Two strings with the same CRC-32.
    twins = [sycamoreloft_direct.UpstreamRun(name, 1) for name in find_twins()]
    assert sycamoreloft_load.index_runs(twins) == {}


def find_twins():
    """Returns two identifiers whose runs have the same number."""
    known = {}
    for number in range(1_000_000):
        name = f"u{number * 7919}"
        run = sycamoreloft_direct.UpstreamRun(name, 1)
        key = sycamoreloft_load.compute_run_number(run)
        if key in known:
            return known[key], name
        known[key] = name
    raise AssertionError("no twins")
