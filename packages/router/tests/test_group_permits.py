"""Tests of `GroupPermits`, which runs the permit issuer of a group."""

import types

import pytest

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import _group_permits
import sycamoreloft_wire

GROUP = sycamoreloft_config.GroupName("f", "d", 0)


def make_fleet(slots=1):
    return sycamoreloft_config.Fleet(
        "f",
        sycamoreloft_config.Weights(),
        3900.0,
        600.0,
        {"d": sycamoreloft_config.FailureDomain("d")},
        {"s": sycamoreloft_config.Service("s", True, 4)},
        {
            name: sycamoreloft_config.Upstream(
                name, "s", "d", f"127.0.0.1:{port}", slots
            )
            for port, name in enumerate(("u1", "u2"), 9001)
        },
    )


class FakeOwners:
    """Owners and state of the holder, as a test sets them."""

    def __init__(self):
        self.owner = sycamoreloft_decisions.Owner("u1", 5, 3)
        self.can_act = True

    def find_owner(self, service, key, partition, now):
        return self.owner

    def get_epoch(self):
        return 3

    def may_act(self, now):
        return self.can_act


@pytest.fixture
def owners():
    """Owners of keys; u1 owns every key until a test changes it."""
    return FakeOwners()


@pytest.fixture
def permits(owners):
    """Permits for two upstreams with one slot each."""
    group_permits = _group_permits.GroupPermits(
        make_fleet(), GROUP, owners, True, lambda command: None, print
    )
    for upstream in make_fleet().upstreams.values():
        group_permits.observe_grant(
            upstream,
            sycamoreloft_decisions.GrantAnswered(
                upstream.name, 1, True, "inc", 1.0, 3, 1
            ),
        )
    return group_permits


def request_permit(permits, permit):
    """Requests a permit; returns a list that the answers are appended to."""
    answers = []
    message = sycamoreloft_wire.PermitRequest(
        "f/d/0", permit, "h", 1, "f", "s", "k", 2, permit.encode(), "c", 1, 5000
    )
    permits.request_permit(message, answers.append)
    return answers


def complete_permit(permits, permit):
    permits.return_permit(
        sycamoreloft_wire.PermitReturn(
            "f/d/0", permit, "completed", 1.0, False, False
        )
    )


def test_a_permit_names_owner_epoch_and_fence(permits):
    """Guards against requests whose owner an upstream cannot verify."""
    (grant,) = request_permit(permits, "p1")
    assert (grant.upstream, grant.address) == ("u1", "127.0.0.1:9001")
    assert (grant.epoch, grant.fence) == (3, 5)


def test_a_request_waits_for_an_owner(permits, owners):
    """Guards against errors for callers while a key moves."""
    owners.owner = sycamoreloft_decisions.NoOwner(
        sycamoreloft_decisions.WaitReason.MOVING
    )
    answers = request_permit(permits, "p1")
    permits.tick()
    assert answers == []
    owners.owner = sycamoreloft_decisions.Owner("u2", 6, 3)
    permits.tick()
    assert answers[0].upstream == "u2"


def test_a_request_for_a_key_of_another_group_is_refused(permits, owners):
    """Guards against waiting at a group to which the key does not belong."""
    owners.owner = sycamoreloft_decisions.NoOwner(
        sycamoreloft_decisions.WaitReason.OTHER_GROUP
    )
    (answer,) = request_permit(permits, "p1")
    assert answer.reason == "other-group"


def test_a_queued_request_follows_its_key(permits, owners):
    """Guards against a permit for the previous owner of a key that moved."""
    request_permit(permits, "p1")
    queued = request_permit(permits, "p2")
    owners.owner = sycamoreloft_decisions.Owner("u2", 6, 3)
    complete_permit(permits, "p1")
    assert [(grant.upstream, grant.fence) for grant in queued] == [("u2", 6)]


def test_closing_answers_all_waiting_requests(permits, owners):
    """Guards against requests that wait at a holder that was replaced."""
    request_permit(permits, "p1")
    queued = request_permit(permits, "p2")
    owners.owner = sycamoreloft_decisions.NoOwner(
        sycamoreloft_decisions.WaitReason.UNASSIGNED
    )
    waiting = request_permit(permits, "p3")
    permits.close()
    assert {answer.reason for answer in queued + waiting} <= {
        "no-holder",
        "not-holder",
    }
    assert len(queued) == len(waiting) == 1


@pytest.fixture
def clock(monkeypatch):
    """A clock that a test sets; request it before `permits`."""
    times = [100.0]
    monkeypatch.setattr(
        _group_permits,
        "time",
        types.SimpleNamespace(monotonic=lambda: times[0]),
    )
    return times


def report(permits, *names):
    """Reports permits of u1 as in use; returns those of lost upstreams."""
    answers = []
    permits.report_permits(
        sycamoreloft_wire.PermitReport(
            "f/d/0",
            "h",
            [
                sycamoreloft_wire.PermitInUse(
                    name, "u1", "s", 2, b"x", 5_000, True
                )
                for name in names
            ],
        ),
        answers.append,
    )
    (answer,) = answers
    return getattr(answer, "lost", [])


def observe_answer(permits, name):
    permits.observe_grant(
        make_fleet().upstreams[name],
        sycamoreloft_decisions.GrantAnswered(name, 1, True, "inc", 1.0, 3, 1),
    )


def test_a_report_names_permits_of_a_silent_upstream(clock, permits):
    """Guards against requests that wait for a frozen upstream."""
    request_permit(permits, "p1")
    for passed, lost in ((0.4, []), (0.6, []), (1.0, []), (1.2, ["p1"])):
        clock[0] = 100.0 + passed
        observe_answer(permits, "u2")
        permits.tick()
        assert list(report(permits, "p1")) == lost
    observe_answer(permits, "u1")
    assert list(report(permits, "p1")) == []


def test_a_pause_of_the_holder_loses_no_permits(clock, permits):
    """Guards against cancelling requests because the holder was paused.

    Answers of upstreams were then not received, although they are alive.
    """
    request_permit(permits, "p1")
    permits.tick()
    clock[0] += 5.0
    permits.tick()
    assert list(report(permits, "p1")) == []


def test_a_queued_request_is_refused_once_the_promise_has_lapsed(
    permits, owners
):
    """Guards against two holders that issue permits for the same slots."""
    request_permit(permits, "p1")
    queued = request_permit(permits, "p2")
    owners.can_act = False
    complete_permit(permits, "p1")
    assert [answer.reason for answer in queued] == ["no-holder"]
