"""Ends of leases after single grants."""

import pytest

import sycamoreloft_direct
from sycamoreloft_direct import _lease_ends

TIMES = sycamoreloft_direct.LeaseTimes()
LEASE_S = TIMES.hold_s * (1 + TIMES.drift)
RUN = sycamoreloft_direct.UpstreamRun("u0", 1)


@pytest.fixture
def ends():
    return _lease_ends.LeaseEnds(TIMES)


def build_grant(order=1, first=0, last=99, fence=10, hold_s=TIMES.hold_s):
    return sycamoreloft_direct.SendGrant(
        order, RUN, "boards", first, last, fence, hold_s, ""
    )


def test_grant_with_an_open_call_has_no_end(ends):
    ends.open_call(build_grant())
    assert ends.compute_end("boards", 50, 60, 0) == _lease_ends.OPEN_END


def test_lease_counts_from_the_end_of_the_call(ends):
    ends.open_call(build_grant())
    ends.close_call(1, 5.0, True)
    expected = 5.0 + TIMES.margin_s + LEASE_S
    assert ends.compute_end("boards", 50, 60, 0) == pytest.approx(expected)


# Guards against two owners of a key: a full upstream takes a grant on a new
# connection after its call, and a network partition drops the reset.
def test_lease_of_an_unread_grant_counts_from_the_end_of_the_slot_wait(ends):
    ends.open_call(build_grant())
    ends.close_call(1, 5.0, True, may_be_unread=True)
    expected = 5.0 + TIMES.margin_s + TIMES.slot_wait_s + LEASE_S
    assert ends.compute_end("boards", 50, 60, 0) == pytest.approx(expected)


# Guards against the same failure with the lease of a repeated grant.
def test_computed_lease_ends_by_the_known_end_if_its_grant_is_unread(ends):
    ends.open_call(build_grant(1))
    ends.close_call(1, 5.0, True, may_be_unread=True)
    end = ends.compute_end("boards", 0, 99, 0)
    hold_s = ends.compute_hold_s(5.3, end)
    ends.open_call(build_grant(2, hold_s=hold_s))
    closed_at = 5.3 + TIMES.dispatch_s + TIMES.grant_call_s
    ends.close_call(2, closed_at, True, may_be_unread=True)
    assert ends.compute_end("boards", 0, 99, 0) == pytest.approx(end)


def test_grant_that_did_not_arrive_gives_no_lease(ends):
    ends.open_call(build_grant())
    ends.close_call(1, 5.0, False)
    assert ends.compute_end("boards", 50, 60, 0) == 0.0


def test_refused_tokens_and_other_keys_give_no_lease(ends):
    ends.open_call(build_grant(fence=10))
    assert ends.compute_end("boards", 50, 60, 10) == 0.0
    assert ends.compute_end("boards", 100, 200, 0) == 0.0
    assert ends.compute_end("other", 50, 60, 0) == 0.0


def test_shorter_grant_does_not_bring_the_end_forward(ends):
    ends.open_call(build_grant(1))
    ends.close_call(1, 5.0, True)
    ends.open_call(build_grant(2, hold_s=0.5))
    ends.close_call(2, 5.5, True)
    expected = 5.0 + TIMES.margin_s + LEASE_S
    assert ends.compute_end("boards", 0, 0, 0) == pytest.approx(expected)


def test_computed_lease_ends_by_the_known_end(ends):
    ends.open_call(build_grant(1))
    ends.close_call(1, 5.0, True)
    end = ends.compute_end("boards", 0, 99, 0)
    hold_s = ends.compute_hold_s(5.3, end)
    ends.open_call(build_grant(2, hold_s=hold_s))
    ends.close_call(2, 5.3 + TIMES.dispatch_s + TIMES.grant_call_s, True)
    assert ends.compute_end("boards", 0, 99, 0) == pytest.approx(end)


def test_assumed_grant_ends_after_its_latest_arrival(ends):
    ends.assume_earlier_grants("boards", 0, 99, RUN, 5, 7.0)
    expected = 7.0 + TIMES.grant_travel_s + LEASE_S
    assert ends.compute_end("boards", 0, 99, 0) == pytest.approx(expected)
    assert ends.compute_end("boards", 0, 99, 5) == 0.0


def test_run_that_ended_holds_nothing(ends):
    ends.assume_earlier_grants("boards", 0, 99, RUN, 5, 7.0)
    ends.open_call(build_grant(1))
    ends.open_call(build_grant(2, fence=11))
    ends.end_run(RUN)
    assert ends.compute_end("boards", 0, 99, 0) == 0.0
    ends.close_call(2, 9.0, True)
    assert ends.compute_end("boards", 0, 99, 0) == 0.0
