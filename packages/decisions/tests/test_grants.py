"""Tests of the grants to one upstream."""

import itertools

import pytest

import sycamoreloft_decisions
from sycamoreloft_decisions import _grants, _timing

UNIT = sycamoreloft_decisions.Unit("board", 1)
NEVER = float("inf")
#: Times of the first two renewals after the grant at 0.02 s.
FIRST_RENEWAL_S = 0.05 + _timing.RENEWAL_INTERVAL_S
SECOND_RENEWAL_S = FIRST_RENEWAL_S + 0.05 + _timing.RENEWAL_INTERVAL_S


class FakeUpstream:
    """Answers the grants of one holder."""

    def __init__(self, checks_fences=True):
        self.grants = _grants.UpstreamGrants(
            "u", checks_fences, 5, itertools.count(1), 0.0
        )

    def send(self, now):
        (command,) = self.grants.tick(now, True)
        return command

    def record_answer(self, command, now, accepted=True, incarnation="i1"):
        self.grants.record_answer(
            sycamoreloft_decisions.GrantAnswered(
                "u",
                command.call,
                accepted,
                incarnation,
                100.0 + now,
                5,
                command.version,
            ),
            now,
        )

    def grant(self):
        """Grants the unit; the first answer only brings the clock reading."""
        self.grants.update_content({UNIT: 3}, ())
        self.record_answer(self.send(0.0), 0.01, accepted=False)
        self.grants.confirm("i1")
        self.record_answer(self.send(0.02), 0.03)


@pytest.fixture
def upstream():
    fake = FakeUpstream()
    fake.grant()
    return fake


def test_no_grant_goes_out_without_the_right_to_act(upstream):
    """Guards against renewals by a holder that may not act."""
    assert not upstream.grants.tick(5.0, False)


def test_owner_is_granted_only_while_the_grant_certainly_lasts(upstream):
    """Guards against permits after the grant expired on a fast clock."""
    assert upstream.grants.is_granted(UNIT, 3, 0.97)
    assert not upstream.grants.is_granted(UNIT, 3, 0.99)
    assert not upstream.grants.is_granted(UNIT, 2, 0.5)


def test_acknowledged_removal_releases_at_once(upstream):
    """Guards against planned moves that wait for a grant to expire."""
    removal = upstream.grants.update_content({}, [UNIT])
    assert not upstream.grants.is_released(removal, 0.1, NEVER)
    upstream.record_answer(upstream.send(0.1), 0.11)
    assert upstream.grants.is_released(removal, 0.11, NEVER)


def test_a_second_answer_to_an_earlier_grant_releases_nothing(upstream):
    """Guards against a copy of an answer that confirms a later grant.

    Answers name the version that is in force, but not the call.
    """
    removal = upstream.grants.update_content({}, [UNIT])
    command = upstream.send(0.1)
    upstream.grants.record_answer(
        sycamoreloft_decisions.GrantAnswered(
            "u", command.call, True, "i1", 100.03, 5, command.version - 1
        ),
        0.11,
    )
    assert not upstream.grants.is_released(removal, 0.11, NEVER)
    upstream.record_answer(upstream.send(0.4), 0.41)
    assert upstream.grants.is_released(removal, 0.41, NEVER)


def test_delayed_renewal_after_a_move_keeps_the_unit(upstream):
    """Guards against a delayed grant that restores a removed unit."""
    delayed = upstream.send(FIRST_RENEWAL_S)
    upstream.grants.record_failure(delayed.call)
    removal = upstream.grants.update_content({}, [UNIT])
    upstream.record_answer(
        upstream.send(FIRST_RENEWAL_S + 0.01), FIRST_RENEWAL_S + 0.02
    )
    end = 0.03 + _timing.GRANT_CERTAIN_END_S
    assert not upstream.grants.is_released(removal, end - 0.01, NEVER)
    assert upstream.grants.is_released(removal, end, NEVER)


def test_lost_answer_counts_as_granted(upstream):
    """Guards against a wait that ignores an unanswered grant."""
    upstream.record_answer(
        upstream.send(FIRST_RENEWAL_S), FIRST_RENEWAL_S + 0.01
    )
    lost = upstream.send(SECOND_RENEWAL_S)
    upstream.grants.record_failure(lost.call)
    removal = upstream.grants.update_content({}, [UNIT])
    end = FIRST_RENEWAL_S + 0.01 + _timing.GRANT_CERTAIN_END_S
    assert not upstream.grants.is_released(removal, end - 0.01, 0.0)
    assert upstream.grants.is_released(removal, end, 0.0)


def test_late_answer_of_an_abandoned_call_is_ignored(upstream):
    """Guards against mistaking an old incarnation for a new one."""
    old = upstream.send(FIRST_RENEWAL_S)
    upstream.grants.record_failure(old.call)
    removal = upstream.grants.update_content({}, [UNIT])
    upstream.record_answer(old, 0.5, incarnation="i0")
    assert not upstream.grants.is_released(removal, 0.5, NEVER)


def test_unreachable_upstream_waits_for_earlier_holders(upstream):
    """Guards against a wait that covers only this holder's own grants."""
    removal = upstream.grants.update_content({}, [UNIT])
    assert not upstream.grants.is_released(removal, 50.0, 60.0)
    assert upstream.grants.is_released(removal, 60.0, 60.0)


def test_restarted_upstream_is_released_and_waits_for_confirmation(upstream):
    """Guards against grants of a replaced holder after a restart."""
    removal = upstream.grants.update_content({}, [UNIT])
    upstream.record_answer(
        upstream.send(FIRST_RENEWAL_S), FIRST_RENEWAL_S + 0.01, False, "i2"
    )
    assert upstream.grants.is_released(removal, FIRST_RENEWAL_S + 0.01, NEVER)
    assert upstream.grants.needs_confirmation()
    assert upstream.send(SECOND_RENEWAL_S).clock_reading is None
    upstream.grants.confirm("i1")
    assert upstream.grants.needs_confirmation()
    upstream.grants.confirm("i2")
    assert not upstream.grants.needs_confirmation()


def test_upstream_without_fence_checks_is_released_by_time_only():
    """Guards against trusting the answers of an upstream without checks."""
    upstream = FakeUpstream(checks_fences=False)
    upstream.grant()
    removal = upstream.grants.update_content({}, [UNIT])
    upstream.record_answer(upstream.send(0.1), 0.11)
    # The reading that the only grant used arrived at 0.01 s.
    end = 0.01 + _timing.GRANT_CERTAIN_END_S
    assert not upstream.grants.is_released(removal, end - 0.01, 0.0)
    assert upstream.grants.is_released(removal, end, 0.0)


def test_renewal_sends_the_latest_reading_and_no_content(upstream):
    """Guards against renewals that are counted from an old reading."""
    renewal = upstream.send(FIRST_RENEWAL_S)
    assert renewal.clock_reading == pytest.approx(100.03)
    assert renewal.partitions is None
    upstream.record_answer(renewal, FIRST_RENEWAL_S + 0.01, accepted=False)
    assert upstream.send(SECOND_RENEWAL_S).partitions == {"board": {1: 3}}
