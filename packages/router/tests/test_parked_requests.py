"""Permit requests that wait for a generation."""

import pytest

from sycamoreloft_router import _parked_requests
import sycamoreloft_wire


@pytest.fixture
def clock(monkeypatch):
    """A fake monotonic clock; tests set `clock[0]`."""
    now = [100.0]
    monkeypatch.setattr(
        _parked_requests.time, "monotonic", lambda: now[0], raising=True
    )
    return now


def make_request(permit, remaining_ms=5_000):
    return sycamoreloft_wire.PermitRequest(
        "g", permit, "h", 1, "f", "s", "k", 2, b"x", "c", 1, remaining_ms
    )


def retry(parked, must_wait):
    """Returns the permits and remaining times that were resubmitted."""
    resubmitted = []
    parked.retry(
        lambda message: must_wait,
        lambda message, reply: resubmitted.append(
            (message.permit, message.remaining_ms)
        ),
    )
    return resubmitted


def test_a_request_goes_on_when_the_generation_is_settled(clock):
    """Guards against errors for callers while a generation is submitted."""
    parked = _parked_requests.ParkedRequests()
    parked.add(make_request("p1"), print)
    assert retry(parked, True) == []
    clock[0] += 0.5
    assert retry(parked, False) == [("p1", 4_500)]
    assert retry(parked, False) == []


def test_a_request_does_not_wait_for_a_cut_off_domain(clock):
    """Guards against callers that wait while a generation stays pending."""
    parked = _parked_requests.ParkedRequests()
    parked.add(make_request("p1"), print)
    clock[0] += _parked_requests.MAXIMUM_WAIT_S
    assert retry(parked, True) == [("p1", 3_000)]


def test_a_request_never_waits_beyond_its_deadline(clock):
    """Guards against a permit for a caller whose deadline has passed."""
    parked = _parked_requests.ParkedRequests()
    parked.add(make_request("p1", remaining_ms=300), print)
    clock[0] += 0.4
    assert retry(parked, True) == [("p1", 0)]


def test_a_returned_request_is_discarded(clock):
    """Guards against a permit for a request that its host gave up."""
    parked = _parked_requests.ParkedRequests()
    parked.add(make_request("p1"), print)
    parked.discard("p1")
    assert retry(parked, False) == []
