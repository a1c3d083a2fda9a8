"""Requests that crash upstreams."""

import random

import pytest

import sycamoreloft_direct

#: Identities of a request that crashes upstreams.
CRASHING_REQUEST = sycamoreloft_direct.identify_request(
    "GET", "/bad", "10.0.0.1", b""
)

#: Seconds from the begin of an attempt to the crash.
RUN_S = 0.1


def _create_guard(seed=1):
    return sycamoreloft_direct.CrashGuard(random.Random(seed))


def _crash(guard, now, request=CRASHING_REQUEST):
    guard.record_crash(request, now - RUN_S, now)


def _count_crashes(guard, now):
    return guard.count_crashes(CRASHING_REQUEST[0], now)


def test_repetitions_of_a_request_get_the_same_identities():
    again = sycamoreloft_direct.identify_request("GET", "/bad", "10.0.0.1", b"")
    other_requests = {
        sycamoreloft_direct.identify_request(*parts)[0]
        for parts in (
            ("PUT", "/bad", "10.0.0.1", b""),
            ("GET", "/ba", "d10.0.0.1", b""),
            ("GET", "/bad?page=2", "10.0.0.1", b""),
            ("GET", "/bad", "10.0.0.2", b""),
            ("GET", "/bad", "10.0.0.1", b"x"),
        )
    }
    assert again == CRASHING_REQUEST
    assert (
        CRASHING_REQUEST[0] not in other_requests and len(other_requests) == 5
    )


# Guards against a count that begins anew with each query or address of the
# caller (BUDGET).
def test_path_and_body_identify_a_request_from_any_caller():
    similar = sycamoreloft_direct.identify_request(
        "GET", "/bad?page=2", "10.0.0.2", b""
    )
    assert similar[1] == CRASHING_REQUEST[1]
    others = {
        sycamoreloft_direct.identify_request(*parts)[1]
        for parts in (
            ("PUT", "/bad", "10.0.0.1", b""),
            ("GET", "/bad/", "10.0.0.1", b""),
            ("GET", "/bad", "10.0.0.1", b"x"),
        )
    }
    assert CRASHING_REQUEST[1] not in others and len(others) == 3


def test_the_third_crash_on_one_host_stops_a_request():
    guard = _create_guard()
    for now in (1.0, 2.0):
        _crash(guard, now)
        assert not guard.is_stopped(CRASHING_REQUEST, now)
    _crash(guard, 3.0)
    assert guard.is_stopped(CRASHING_REQUEST, 3.0)
    assert guard.is_stopped(CRASHING_REQUEST, 500.0)


def test_crashes_on_different_hosts_stop_a_request_everywhere():
    hosts = [_create_guard(number) for number in range(4)]
    coordinator = hosts[3]
    for number, host in enumerate(hosts[:3]):
        _crash(host, 1.0 + number)
        for _ in range(5):
            # A repeated report adds nothing.
            coordinator.merge(host.take_report(4.0), 4.0, 4.0)
        assert coordinator.is_stopped(CRASHING_REQUEST, 4.0) == (number == 2)
    for host in hosts:
        host.add_stopped(coordinator.list_stopped(5.0), 5.0)
        assert host.is_stopped(CRASHING_REQUEST, 5.0)


# Guards against a count that is lost with the process of a host.
def test_crashes_of_hosts_that_ended_still_count():
    coordinator = _create_guard()
    for number in range(3):
        host = _create_guard(number + 2)
        _crash(host, 1.0 + number)
        coordinator.merge(
            host.take_report(1.1 + number), 1.1 + number, 1.1 + number
        )
        restarted = _create_guard(number + 12)
        assert restarted.take_report(1.2 + number).is_empty
        coordinator.merge(
            restarted.take_report(1.2 + number), 1.2 + number, 1.2 + number
        )
    assert coordinator.is_stopped(CRASHING_REQUEST, 4.0)


# Guards against a request that is stopped because one crash broke it on many
# connections.
def test_requests_that_one_crash_breaks_count_once():
    hosts = [_create_guard(number) for number in range(9)]
    coordinator = hosts[0]
    for number, host in enumerate(hosts):
        host.record_crash(CRASHING_REQUEST, 0.5, 1.0 + 0.01 * number)
        coordinator.merge(host.take_report(1.2), 1.2, 1.2)
    assert _count_crashes(coordinator, 1.2) == 1


# Guards against a request that is never stopped because several copies of it,
# from several addresses of its caller, are broken at once (BUDGET).
def test_copies_from_several_addresses_stop_a_request():
    guard = _create_guard()
    requests = [
        sycamoreloft_direct.identify_request("GET", "/bad", address, b"")
        for address in ("10.0.0.1", "10.1.0.1", "10.2.0.1")
    ]
    for now, copies in ((1.0, (0, 1)), (2.0, (1, 2)), (3.0, (2, 0))):
        assert not any(guard.is_stopped(request, now) for request in requests)
        for copy in copies:
            _crash(guard, now, requests[copy])
    assert all(guard.is_stopped(request, 3.0) for request in requests)


def test_requests_that_are_answered_when_repeated_are_not_stopped():
    guard = _create_guard()
    for now in range(10):
        _crash(guard, float(now))
        guard.record_answer(CRASHING_REQUEST, float(now))
    assert not guard.is_stopped(CRASHING_REQUEST, 10.0)
    assert guard.is_idle


# Guards against a count that is lost because other callers of the path were
# answered.
def test_an_answer_to_another_caller_clears_the_path_only():
    host, coordinator = map(_create_guard, range(2))
    other = sycamoreloft_direct.identify_request("GET", "/bad", "10.9.9.9", b"")
    for now in (1.0, 2.0, 3.0):
        _crash(host, now)
        report = host.take_report(now)
        for request in (CRASHING_REQUEST[1], CRASHING_REQUEST[0]):
            part = sycamoreloft_direct.CrashReport(
                {request: report.crashes[request]}
            )
            coordinator.merge(part, now, now)
            coordinator.record_answer(other, now)
    assert coordinator.is_stopped(CRASHING_REQUEST, 3.0)
    assert not coordinator.is_stopped(other, 3.0)


# Guards against hosts that take no second stop after the first one has ended,
# and that look at each request for ever.
def test_a_stop_that_has_ended_leaves_nothing():
    host = _create_guard()
    for now in (1.0, 701.0):
        host.add_stopped(CRASHING_REQUEST, now)
        host.add_suspected(CRASHING_REQUEST, now)
        assert host.is_stopped(CRASHING_REQUEST, now + 1.0)
    host.take_report(1_400.0)
    assert host.is_idle


# Guards against a request that is stopped although another host had an answer.
def test_an_answer_on_any_host_clears_a_suspected_request():
    first, second, coordinator = map(_create_guard, range(3))
    for number in range(5):
        now = 1.0 + number
        _crash(first, now)
        report = first.take_report(now)
        coordinator.merge(report, now, now)
        second.add_suspected(coordinator.list_suspected(now), now)
        second.record_answer(CRASHING_REQUEST, now)
        coordinator.merge(second.take_report(now), now, now)
        # A late copy of the report does not count again.
        coordinator.merge(report, now, now)
    assert not coordinator.is_stopped(CRASHING_REQUEST, 6.0)


# Guards against a request that is never stopped since it comes rarely (BUDGET).
@pytest.mark.parametrize("interval_s", [3.0, 15.5, 40.0, 600.0, 1_700.0])
def test_crashes_far_apart_stop_a_request(interval_s):
    guard = _create_guard()
    for number in range(3):
        assert not guard.is_stopped(CRASHING_REQUEST, number * interval_s)
        _crash(guard, number * interval_s)
        guard.take_report(number * interval_s)
    assert guard.is_stopped(CRASHING_REQUEST, 2 * interval_s + 1.0)


# Guards against a stop that begins anew with a count of zero.
def test_a_crash_after_a_stop_stops_a_request_again_at_once():
    guard = _create_guard()
    for now in (0.0, 10.0, 20.0):
        _crash(guard, now)
    assert not guard.is_stopped(CRASHING_REQUEST, 700.0)
    _crash(guard, 700.0)
    assert guard.is_stopped(CRASHING_REQUEST, 701.0)


def test_old_crashes_do_not_count():
    guard = _create_guard()
    for now in (0.0, 2_000.0, 4_000.0, 6_000.0):
        _crash(guard, now)
    assert not guard.is_stopped(CRASHING_REQUEST, 6_000.0)
    assert _count_crashes(guard, 10_000.0) == 0
    guard.take_report(10_000.0)
    assert guard.is_idle


def test_a_new_coordinator_keeps_requests_stopped():
    successor = _create_guard()
    successor.add_stopped(CRASHING_REQUEST, 1.0)
    assert successor.list_stopped(2.0) == CRASHING_REQUEST


# Guards against crashes that are lost with the coordinator.
def test_a_new_coordinator_hears_of_earlier_crashes():
    host, successor = map(_create_guard, range(2))
    for now in (1.0, 2.0):
        _crash(host, now)
    for _ in range(100):
        host.take_report(3.0)
    assert host.take_report(3.0).is_empty
    host.repeat_reports()
    successor.merge(host.take_report(3.0), 3.0, 3.0)
    assert _count_crashes(successor, 3.0) == 2


# Guards against an answer from long ago that clears later crashes, where the
# host was the coordinator and then reports to another one.
def test_a_new_coordinator_hears_of_no_earlier_answers():
    former, successor = map(_create_guard, range(2))
    _crash(former, 1.0)
    former.record_answer(CRASHING_REQUEST, 1.0)
    _crash(successor, 100.0)
    former.repeat_reports()
    successor.merge(former.take_report(101.0), 101.0, 101.0)
    assert _count_crashes(successor, 101.0) == 1


def test_the_number_of_remembered_requests_is_bounded():
    guard = _create_guard()
    for request in range(10_000):
        guard.record_crash((request, request + 1), 0.9, 1.0)
        guard.add_stopped([request], 1.0)
    assert len(guard.take_report(1.0).crashes) <= 256
    assert len(guard.list_stopped(1.0)) <= 128
    assert guard.is_stopped([9_999], 1.0)


# Guards against a request that other broken requests push out of the memory.
def test_requests_with_a_single_crash_are_forgotten_first():
    guard = _create_guard()
    for now in (1.0, 2.0):
        _crash(guard, now)
    for request in range(1_000):
        guard.record_crash((request, request), 2.0, 2.1)
    _crash(guard, 3.0)
    assert guard.is_stopped(CRASHING_REQUEST, 3.0)


def test_the_number_of_crashes_of_a_request_is_bounded():
    guard = _create_guard()
    for number in range(1_000):
        _crash(guard, float(number))
    assert len(guard.take_report(1_000.0).crashes[CRASHING_REQUEST[0]]) == 8


# Guards against copies of a request, broken at once, that push its earlier
# crashes out of the memory.
def test_copies_of_a_request_do_not_hide_its_earlier_crashes():
    guard = _create_guard()
    for now in (1.0, 2.0, 3.0):
        for _ in range(100):
            _crash(guard, now)
    assert guard.is_stopped(CRASHING_REQUEST, 3.0)


# Guards against a request that is not remembered while the memory is full of
# others that crashed twice.
def test_a_full_memory_takes_a_request_that_crashes_now():
    guard = _create_guard()
    for request in range(300):
        for now in (1.0, 2.0):
            _crash(guard, now, (request, request))
    for now in (3.0, 4.0, 5.0):
        _crash(guard, now)
    assert guard.is_stopped(CRASHING_REQUEST, 5.0)


# Guards against reports that are too long for a datagram, or a record that is
# too long for a row of the store.
def test_reports_are_bounded():
    guard = _create_guard()
    for request in range(1_000):
        for now in range(10):
            guard.record_crash((request, request), now + 0.1, now + 0.2)
    assert len(guard.take_report(20.0).crashes) == 64
    assert len(guard.describe_all(20.0).crashes) == 128
    assert len(guard.list_suspected(20.0)) == 64
