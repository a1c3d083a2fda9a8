"""Limits on upstreams that reset when full, and times to return."""

import random

import admission_world
import pytest

import sycamoreloft_load
from sycamoreloft_load import _reset_limits, _retry_after

RESULT = sycamoreloft_load.AttemptResult


@pytest.fixture
def limits():
    return _reset_limits.ResetLimits(random.Random(1))


def finish(limits, record, result, now, in_flight=1):
    for number in range(in_flight):
        record.in_flight[number] = now
    recorded = limits.record_result(record, result, now)
    record.in_flight.clear()
    return recorded


# Guards against a crash that counts as a full upstream, and against an upstream
# that is ejected because it was full.
def test_a_service_is_known_after_an_answer_that_follows_a_reset(limits):
    first, second = map(admission_world.build_record, ("u1", "u2"))
    assert finish(limits, first, RESULT.RESET, 0.0) is RESULT.RESET
    assert limits.has_room(first, 0.0)
    finish(limits, second, RESULT.ANSWERED, 0.1)
    assert not limits.learned_services
    finish(limits, first, RESULT.ANSWERED, 0.1)
    assert limits.learned_services == {"s"}
    assert finish(limits, second, RESULT.RESET, 0.2) is RESULT.REFUSED
    assert limits.list_full("s", 0.2) == {"u2"}


# Guards against a run that resets everything and never counts as faulty.
def test_many_resets_without_an_answer_are_failures(limits):
    record = admission_world.build_record("u1")
    finish(limits, record, RESULT.RESET, 0.0)
    finish(limits, record, RESULT.ANSWERED, 0.0)
    results = [finish(limits, record, RESULT.RESET, 0.1) for _ in range(9)]
    assert results == [RESULT.REFUSED] * 8 + [RESULT.RESET]


# Guards against as many requests at once as led to the reset, and against a
# limit that never rises.
def test_requests_stay_below_the_level_of_the_reset(limits):
    record = admission_world.build_record("u1")
    finish(limits, record, RESULT.RESET, 0.0, in_flight=4)
    finish(limits, record, RESULT.ANSWERED, 0.0)
    record.in_flight = dict.fromkeys(range(3), 0.0)
    assert not limits.has_room(record, 5.0)
    assert limits.compute_wait_s(record, 5.0) == 0.0
    record.in_flight = dict.fromkeys(range(2), 0.0)
    assert limits.has_room(record, 5.0)
    for _ in range(4):
        finish(limits, record, RESULT.ANSWERED, 5.0, in_flight=3)
    record.in_flight = dict.fromkeys(range(3), 0.0)
    assert limits.has_room(record, 5.0)


# Guards against callers that return together, that are told a time which they
# do not accept, or that are told a time without a known rate.
def test_refused_callers_return_at_the_rate_of_answers():
    times = _retry_after.RetryTimes(random.Random(1))
    assert times.choose_s("s", 0, 10.0, 0.0) is None
    for _ in range(20):
        times.record_answer("s", 1.0)
    assert times.compute_rate("s", 1.0) == 4.0
    drawn = [times.choose_s("s", 2, 31.0, 1.0) for _ in range(100)]
    assert min(drawn) >= 0.5
    assert max(drawn) <= 10.0
    assert len(set(drawn)) == 100
    assert times.choose_s("s", 2, 1.9, 1.0) <= 0.3
    assert times.choose_s("s", 0, 31.0, 60.0) is None


def test_each_refusal_makes_one_later_request_a_repeat():
    times = _retry_after.RetryTimes(random.Random(1))
    times.record_refusal("10.0.0.9", "reads", 2.0)
    assert times.is_early("10.0.0.9", "reads", 1.0)
    assert not times.is_early("10.0.0.9", "reads", 2.0)
    assert times.take_return("10.0.0.9", "reads", 2.0)
    assert not times.take_return("10.0.0.9", "reads", 2.0)
