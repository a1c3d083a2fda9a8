"""Tests of the grant book: one test for each hazard of a grant."""

import itertools

import pytest

import sycamoreloft_decisions
from sycamoreloft_decisions import _grants, _timing

UNIT = sycamoreloft_decisions.Unit("board", 1)
NEVER = float("inf")
#: Times of the first two renewals after the grant at 0.02 s.
FIRST = 0.05 + _timing.RENEWAL_INTERVAL_S
SECOND = FIRST + 0.05 + _timing.RENEWAL_INTERVAL_S


class Caller:
    """Plays the upstream for one book."""

    def __init__(self, checks_fences=True):
        self.book = _grants.GrantBook(
            "u", checks_fences, 5, itertools.count(1), 0.0
        )

    def send(self, now):
        (command,) = self.book.tick(now, True)
        return command

    def answer(self, command, now, accepted=True, incarnation="i1"):
        self.book.answer(
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
        """Grants the unit; the first contact brings the reading."""
        self.book.change({UNIT: 3}, ())
        self.answer(self.send(0.0), 0.01, accepted=False)
        self.book.confirm("i1")
        self.answer(self.send(0.02), 0.03)


@pytest.fixture
def caller():
    made = Caller()
    made.grant()
    return made


def test_no_grant_goes_out_without_the_right_to_act(caller):
    """Guards against renewals by a holder whose promise has expired."""
    assert not caller.book.tick(5.0, False)


def test_owner_is_granted_only_while_the_grant_certainly_lasts(caller):
    """Guards against permits for an upstream whose clock is faster."""
    assert caller.book.is_granted(UNIT, 3, 0.97)
    assert not caller.book.is_granted(UNIT, 3, 0.99)
    assert not caller.book.is_granted(UNIT, 2, 0.5)


def test_acknowledged_removal_releases_at_once(caller):
    """Guards against planned moves that wait for a grant to end."""
    removal = caller.book.change({}, [UNIT])
    assert not caller.book.is_released(removal, 0.1, NEVER)
    caller.answer(caller.send(0.1), 0.11)
    assert caller.book.is_released(removal, 0.11, NEVER)


def test_delayed_renewal_after_a_move_keeps_the_unit(caller):
    """Guards against a late grant that brings the unit back."""
    delayed = caller.send(FIRST)
    caller.book.fail(delayed.call)
    removal = caller.book.change({}, [UNIT])
    caller.answer(caller.send(FIRST + 0.01), FIRST + 0.02)
    end = 0.03 + _timing.GRANT_CERTAIN_END_S
    assert not caller.book.is_released(removal, end - 0.01, NEVER)
    assert caller.book.is_released(removal, end, NEVER)


def test_lost_answer_counts_as_granted(caller):
    """Guards against a wait that forgets a grant without an answer."""
    caller.answer(caller.send(FIRST), FIRST + 0.01)
    lost = caller.send(SECOND)
    caller.book.fail(lost.call)
    removal = caller.book.change({}, [UNIT])
    end = FIRST + 0.01 + _timing.GRANT_CERTAIN_END_S
    assert not caller.book.is_released(removal, end - 0.01, 0.0)
    assert caller.book.is_released(removal, end, 0.0)


def test_late_answer_of_an_abandoned_call_is_ignored(caller):
    """Guards against an old incarnation that passes for a new one."""
    old = caller.send(FIRST)
    caller.book.fail(old.call)
    removal = caller.book.change({}, [UNIT])
    caller.answer(old, 0.5, incarnation="i0")
    assert not caller.book.is_released(removal, 0.5, NEVER)


def test_unreachable_upstream_waits_for_earlier_holders(caller):
    """Guards against a wait that covers only this holder's own grants."""
    removal = caller.book.change({}, [UNIT])
    assert not caller.book.is_released(removal, 50.0, 60.0)
    assert caller.book.is_released(removal, 60.0, 60.0)


def test_restarted_upstream_is_released_and_waits_for_confirmation(caller):
    """Guards against grants of a replaced holder after a restart."""
    removal = caller.book.change({}, [UNIT])
    caller.answer(caller.send(FIRST), FIRST + 0.01, False, "i2")
    assert caller.book.is_released(removal, FIRST + 0.01, NEVER)
    assert caller.book.needs_confirmation()
    assert caller.send(SECOND).clock_reading is None
    caller.book.confirm("i1")
    assert caller.book.needs_confirmation()
    caller.book.confirm("i2")
    assert not caller.book.needs_confirmation()


def test_upstream_without_fence_checks_is_released_by_time_only():
    """Guards against trust in an upstream that accepts old epochs."""
    caller = Caller(checks_fences=False)
    caller.grant()
    removal = caller.book.change({}, [UNIT])
    caller.answer(caller.send(0.1), 0.11)
    # The reading that the only grant used arrived at 0.01 s.
    end = 0.01 + _timing.GRANT_CERTAIN_END_S
    assert not caller.book.is_released(removal, end - 0.01, 0.0)
    assert caller.book.is_released(removal, end, 0.0)


def test_renewal_sends_the_latest_reading_and_no_content(caller):
    """Guards against renewals that are counted from an old reading."""
    renewal = caller.send(FIRST)
    assert renewal.clock_reading == pytest.approx(100.03)
    assert renewal.partitions is None
    caller.answer(renewal, FIRST + 0.01, accepted=False)
    assert caller.send(SECOND).partitions == {"board": {1: 3}}
