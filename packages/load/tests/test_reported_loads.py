"""Loads that upstreams report, and the backlog that is estimated from them."""

import random

import pytest

import sycamoreloft_direct
import sycamoreloft_load

LOAD = sycamoreloft_load.ReportedLoad(4, 8, 4)
RUN = sycamoreloft_direct.UpstreamRun("u1", 1)
RESULT = sycamoreloft_load.AttemptResult


@pytest.fixture
def pool():
    """A pool with one upstream, whose requests take 0.2 s."""
    pool = sycamoreloft_load.UpstreamPool("a", random.Random(1))
    entry = sycamoreloft_direct.Upstream(
        "u1", 1, "u1:1", "ledger", "a", 4, False
    )
    pool.update([entry], 0.0)
    pool.begin(pool.find(RUN), 0, 0.0)
    pool.finish(pool.find(RUN), 0, RESULT.ANSWERED, 0.2)
    return pool


# Guards against a queue that is still believed after it has drained.
@pytest.mark.parametrize(
    ("age_s", "percent", "backlog"),
    [(0.0, 100, 12), (0.2, 100, 8), (0.2, 200, 10), (1.9, 100, 0)],
)
def test_a_backlog_drains_with_its_age(pool, age_s, percent, backlog):
    load = sycamoreloft_load.ReportedLoad(4, 8, 4, percent)
    pool.record_load(RUN, load, 1.0)
    estimate = pool.estimate_backlog(pool.find(RUN), 1.0 + age_s)
    assert estimate == pytest.approx(backlog)


def test_nothing_is_known_without_a_recent_report(pool):
    assert pool.estimate_backlog(pool.find(RUN), 1.0) is None
    pool.record_load(RUN, LOAD, 1.0)
    assert pool.estimate_backlog(pool.find(RUN), 3.0) is None


# Guards against a burst of this host to an upstream whose report precedes it,
# and against counting the requests that the report contains a second time.
def test_only_requests_sent_since_the_report_are_added(pool):
    record = pool.find(RUN)
    pool.begin(record, 1, 0.9)
    pool.record_load(RUN, LOAD, 1.0)
    pool.begin(record, 2, 1.1)
    pool.begin(record, 3, 1.1)
    assert pool.estimate_backlog(record, 1.2) == pytest.approx(8 + 2)


def test_an_older_report_does_not_replace_a_later_one(pool):
    assert pool.record_load(RUN, LOAD, 1.0)
    assert not pool.record_load(
        RUN, sycamoreloft_load.ReportedLoad(0, 0, 4), 0.9
    )
    assert pool.estimate_backlog(pool.find(RUN), 1.0) == 12


def test_the_report_of_an_unknown_run_is_ignored(pool):
    later = sycamoreloft_direct.UpstreamRun("u1", 2)
    assert not pool.record_load(later, LOAD, 1.0, is_heard=True)
    assert pool.take_loads(1.0) == []


# Guards against reports that hosts pass to and fro without end.
def test_only_loads_that_this_host_heard_are_taken_once(pool):
    pool.record_load(RUN, LOAD, 1.0, is_heard=True)
    expected = sycamoreloft_load.HeardLoad(RUN, LOAD, 0.5)
    assert pool.take_loads(1.5) == [expected]
    pool.record_load(RUN, LOAD, 1.6)
    assert pool.take_loads(1.7) == []


# Guards against a work time that grows with the queue, so that each queue
# looks as if it drained later than it does.
def test_the_work_time_contains_neither_queue_nor_slowness(pool):
    record = pool.find(RUN)
    for number in range(60):
        now = 1.0 + number
        pool.begin(record, number, now)
        load = sycamoreloft_load.ReportedLoad(4, 8, 4, 200)
        pool.record_load(RUN, load, now + 1.2, is_heard=True)
        pool.finish(record, number, RESULT.ANSWERED, now + 1.2)
    assert pool.get_work_s("ledger") == pytest.approx(0.2, rel=0.01)
