"""Tests of the right to act, the standby's promises and takeovers."""

import itertools

import pytest

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_decisions import _authority, _standby, _takeover, _timing

GROUP = sycamoreloft_config.GroupName("f", "d", 0)


def make_row(**fields):
    values = {
        "group": GROUP,
        "epoch": 4,
        "holder": "h0",
        "incarnation": "p0",
        "standby": "h1",
        "offline_limit_s": 60.0,
        **fields,
    }
    return sycamoreloft_decisions.GroupRow(**values)


@pytest.fixture
def authority():
    return _authority.Authority("h0", make_row(), 9, 0.0, itertools.count(1))


def exchange_promises(
    authority, requested_at, answered_at, promised=True, final=False
):
    for command in authority.request_promises(requested_at):
        authority.record_promise(
            sycamoreloft_decisions.PromiseAnswered(
                command.call, command.host, promised, final
            ),
            answered_at,
        )


def test_promise_counts_from_its_request(authority):
    """Guards against a holder that acts too long after a slow answer."""
    assert not authority.may_act(0.0)
    exchange_promises(authority, 1.0, 1.5)
    assert authority.may_act(1.59)
    assert not authority.may_act(1.61)


def test_host_of_an_unsettled_write_must_promise_too(authority):
    """Guards against a new standby that takes over before it has promised."""
    exchange_promises(authority, 1.0, 1.0)
    authority.begin_write(make_row(standby="h2", heartbeat=1))
    assert not authority.may_act(1.1)
    exchange_promises(authority, 1.15, 1.16)
    assert authority.may_act(1.2)


def test_row_without_standby_confirms_the_holder(authority):
    """Guards against an outage when only the standby is lost."""
    assert not authority.may_act(5.0)
    row = authority.build_row(0, 60.0, (), 5.0)
    assert row.standby == ""
    authority.confirm(row, 10, 5.0)
    assert authority.may_act(5.1)


def test_holder_stops_at_the_offline_limit(authority):
    """Guards against acting after the time at which others may take over."""
    exchange_promises(authority, 59.8, 59.8)
    assert authority.may_act(59.9)
    assert not authority.may_act(60.0)


def test_lower_offline_limit_holds_while_its_write_is_unsettled(authority):
    """Guards against a recorded limit that this holder does not yet obey."""
    exchange_promises(authority, 29.9, 29.9)
    authority.begin_write(make_row(offline_limit_s=30.0, heartbeat=1))
    assert authority.may_act(29.95)
    assert not authority.may_act(30.0)


def test_final_promise_lasts(authority):
    """Guards against an outage when a standby stops while the store is down."""
    exchange_promises(authority, 1.0, 1.0, promised=False, final=True)
    assert authority.may_act(30.0)


def make_takeover(host="h1", now=0.0):
    standby = _standby.StandbyPromises(host)
    takeover = _takeover.Takeover(
        host, "p1", GROUP, standby, itertools.count(1), now
    )
    return standby, takeover


def read_row(takeover, row, now):
    (read,) = takeover.tick(now)
    _, commands = takeover.handle_answer(
        sycamoreloft_decisions.RowsRead(read.call, row, 9, {}), now
    )
    return commands


def take_over(takeover, row, now):
    (write,) = read_row(takeover, row, now)
    stored = sycamoreloft_decisions.WriteStored(write.call, 10)
    takeover_result, _ = takeover.handle_answer(stored, now)
    return takeover_result


def test_standby_takes_over_when_its_promise_has_expired():
    """Guards against a standby that waits longer than the promise."""
    standby, takeover = make_takeover()
    request = sycamoreloft_decisions.PromiseRequested("h0", 4, 600)
    assert standby.answer_request(request, 1.0).promised
    assert not read_row(takeover, make_row(), 1.5)
    takeover_result = take_over(takeover, make_row(), 1.75)
    assert takeover_result.row.epoch == 5
    assert takeover_result.row.earlier == ()
    end = 1.0 + _timing.PROMISE_KEPT_S + _timing.GRANT_CERTAIN_END_S
    assert takeover_result.earlier_end == pytest.approx(end)


def test_standby_refuses_promises_while_it_takes_the_group():
    """Guards against a promise that is given during a takeover."""
    standby, takeover = make_takeover()
    request = sycamoreloft_decisions.PromiseRequested("h0", 4, 600)
    standby.answer_request(request, 1.0)
    assert read_row(takeover, make_row(), 1.75)
    assert not standby.answer_request(request, 1.76).promised


def test_restarted_standby_proves_nothing():
    """Guards against a takeover by a process that forgot its promise."""
    _, takeover = make_takeover()
    assert not read_row(takeover, make_row(), 0.5)
    takeover_result = take_over(takeover, make_row(), 4.5)
    assert [item.host for item in takeover_result.row.earlier] == ["h0"]
    assert takeover_result.earlier_end == float("inf")


def test_expired_promise_says_nothing_of_earlier_holders():
    """Guards against a chain of takeovers that drops the first holder."""
    standby, takeover = make_takeover()
    standby.answer_request(
        sycamoreloft_decisions.PromiseRequested("h0", 4, 600), 1.0
    )
    earlier = (sycamoreloft_decisions.EarlierHolder(3, "h9", 90.0),)
    takeover_result = take_over(takeover, make_row(earlier=earlier), 1.75)
    assert takeover_result.row.earlier == earlier
    assert takeover_result.earlier_end == float("inf")
    limit = 1.75 + 90.0 * 1.02 + _timing.GRANT_CERTAIN_END_S
    assert takeover_result.offline_end == pytest.approx(limit)


def test_other_hosts_wait_for_silence_by_rank():
    """Guards against hosts that try to take over all at the same time."""
    _, takeover = make_takeover("h2")
    takeover.record_members(
        sycamoreloft_decisions.MembersObserved({"h0": 1.0}, {"h0": 4})
    )
    assert not read_row(takeover, make_row(), 1.0)
    assert not takeover.tick(2.9)
    takeover.record_members(
        sycamoreloft_decisions.MembersObserved({"h0": 1.0}, {})
    )
    assert read_row(takeover, make_row(), 3.6)
