"""Requests that crash upstreams."""

import sycamoreloft_direct

CRASHING_REQUEST = sycamoreloft_direct.identify_request(
    "GET", "/bad", "10.0.0.1", b""
)


def test_repetitions_of_a_request_get_the_same_number():
    again = sycamoreloft_direct.identify_request("GET", "/bad", "10.0.0.1", b"")
    other_requests = {
        sycamoreloft_direct.identify_request(*parts)
        for parts in (
            ("PUT", "/bad", "10.0.0.1", b""),
            ("GET", "/ba", "d10.0.0.1", b""),
            ("GET", "/bad", "10.0.0.2", b""),
            ("GET", "/bad", "10.0.0.1", b"x"),
        )
    }
    assert again == CRASHING_REQUEST
    assert CRASHING_REQUEST not in other_requests and len(other_requests) == 4


def test_the_third_crash_on_one_host_stops_a_request():
    guard = sycamoreloft_direct.CrashGuard()
    for now in (1.0, 2.0):
        guard.record_crash(CRASHING_REQUEST, now)
        assert not guard.is_stopped(CRASHING_REQUEST, now)
    guard.record_crash(CRASHING_REQUEST, 3.0)
    assert guard.is_stopped(CRASHING_REQUEST, 3.0)
    assert guard.is_stopped(CRASHING_REQUEST, 500.0)


def test_crashes_on_different_hosts_stop_a_request_everywhere():
    hosts = [sycamoreloft_direct.CrashGuard() for _ in range(4)]
    coordinator = hosts[3]
    for number, host in enumerate(hosts[:3]):
        host.record_crash(CRASHING_REQUEST, 1.0)
        for _ in range(5):
            # A repeated report replaces the previous one.
            coordinator.record_report(
                str(number), host.list_own_crashes(2.0), 2.0
            )
        assert coordinator.is_stopped(CRASHING_REQUEST, 2.0) == (number == 2)
    for host in hosts:
        host.add_stopped(coordinator.list_stopped(3.0), 3.0)
        assert host.is_stopped(CRASHING_REQUEST, 3.0)


def test_requests_that_are_answered_when_repeated_are_not_stopped():
    guard = sycamoreloft_direct.CrashGuard()
    for now in range(10):
        guard.record_crash(CRASHING_REQUEST, float(now))
        guard.record_answer(CRASHING_REQUEST)
    assert not guard.is_stopped(CRASHING_REQUEST, 10.0)
    assert guard.is_idle


def test_old_crashes_do_not_count():
    guard = sycamoreloft_direct.CrashGuard()
    for now in (0.0, 100.0, 200.0, 300.0):
        guard.record_crash(CRASHING_REQUEST, now)
    assert not guard.is_stopped(CRASHING_REQUEST, 300.0)
    assert guard.list_own_crashes(400.0) == {}


def test_a_new_coordinator_keeps_requests_stopped():
    successor = sycamoreloft_direct.CrashGuard()
    successor.add_stopped([CRASHING_REQUEST], 1.0)
    assert successor.list_stopped(2.0) == (CRASHING_REQUEST,)


def test_the_number_of_remembered_requests_is_bounded():
    guard = sycamoreloft_direct.CrashGuard()
    for request in range(10_000):
        guard.record_crash(request, 1.0)
        guard.add_stopped([request], 1.0)
    assert len(guard.list_own_crashes(1.0)) <= 128
    assert len(guard.list_stopped(1.0)) <= 128
    assert guard.is_stopped(9_999, 1.0)
