"""Tests of the quarantine, alone and inside the permit desk."""

import random

import pytest

import sycamoreloft_config
from sycamoreloft_decisions import _permit_events as events
from sycamoreloft_decisions import _permits, _quarantine

CRASHER = b"c" * 16
BYSTANDER = b"b" * 16
NAMES = ("u1", "u2", "u3", "u4")


def ask(issuer, permit, fingerprint, now=0.0, candidates=NAMES):
    return list(
        issuer.handle(
            events.PermitRequested(
                permit=permit,
                host="h",
                fleet="sledworks",
                service="paddock-ledger",
                key="",
                partition=-1,
                fingerprint=fingerprint,
                caller="c",
                priority=sycamoreloft_config.Priority.NORMAL,
                deadline=now + 10.0,
                candidates=candidates,
            ),
            now,
        )
    )


def break_connection(issuer, permit, now=0.0):
    return issuer.handle(
        events.PermitReturned(permit, "unknown", 0.01, connection_lost=True),
        now,
    )


@pytest.fixture
def issuer():
    issuer = _permits.PermitIssuer(random.Random(1), 0.0, fresh=True)
    for name in NAMES:
        issuer.handle(events.UpstreamAvailable(name, 4), 0.0)
    return issuer


@pytest.fixture
def record():
    return _quarantine.Quarantine(events.PermitOptions(suspects=4))


def test_request_lost_on_two_upstreams_is_refused(issuer):
    """Guards against a third upstream lost to one request."""
    for number in range(2):
        (issued,) = ask(issuer, f"p{number}", CRASHER)
        commands = issuer.handle(
            events.UpstreamLost(issued.upstream, True), 0.0
        )
        break_connection(issuer, f"p{number}")
        expected = events.ShareSuspects((CRASHER,), number == 1)
        assert expected in commands
    (refused,) = ask(issuer, "p2", CRASHER)
    assert refused.reason is events.RefusalReason.QUARANTINED


def test_broken_connections_count_before_the_loss_is_confirmed(issuer):
    """Guards against a fast caller that repeats a crash in milliseconds."""
    upstreams = []
    for number in range(2):
        (issued,) = ask(issuer, f"p{number}", CRASHER)
        upstreams.append(issued.upstream)
        break_connection(issuer, f"p{number}")
    assert ask(issuer, "p2", CRASHER) == []
    commands = []
    for upstream in upstreams:
        commands += issuer.handle(events.UpstreamLost(upstream, True), 0.9)
    assert [c.reason for c in commands if hasattr(c, "reason")] == [
        events.RefusalReason.QUARANTINED
    ]


def test_broken_connections_of_live_upstreams_are_forgotten(issuer):
    """Guards against refusing a request for faults of the network."""
    for number in range(2):
        ask(issuer, f"p{number}", BYSTANDER)
        break_connection(issuer, f"p{number}")
    assert ask(issuer, "p2", BYSTANDER) == []
    commands = issuer.handle(
        events.PermitTick(), _quarantine.CONFIRMATION_S + 0.1
    )
    assert [type(command) for command in commands] == [events.IssuePermit]


def test_copies_in_flight_reach_at_most_two_upstreams(issuer):
    """Guards against copies of an untried request on many upstreams."""
    commands = []
    for number in range(20):
        commands += ask(issuer, f"p{number}", CRASHER)
    assert len(commands) == 2


def test_a_request_that_completes_may_use_every_upstream(issuer):
    """Guards against throttling a popular request."""
    ask(issuer, "p", BYSTANDER)
    issuer.handle(events.PermitReturned("p", "completed", 0.01), 0.0)
    upstreams = {
        command.upstream
        for number in range(16)
        for command in ask(issuer, f"p{number}", BYSTANDER)
    }
    assert upstreams == set(NAMES)


def test_suspects_run_one_at_a_time_and_bystanders_are_cleared(issuer):
    """Guards against two suspects on one upstream, which hides the cause."""
    ask(issuer, "p1", CRASHER, candidates=("u1",))
    ask(issuer, "p2", BYSTANDER, candidates=("u1",))
    issuer.handle(events.UpstreamLost("u1", True), 0.0)
    break_connection(issuer, "p1")
    break_connection(issuer, "p2")
    assert len(ask(issuer, "p3", BYSTANDER)) == 1
    assert ask(issuer, "p4", CRASHER) == []
    commands = issuer.handle(
        events.PermitReturned("p3", "completed", 0.01), 0.1
    )
    assert [command.permit for command in commands] == ["p4"]
    assert len(ask(issuer, "p5", BYSTANDER, 0.1)) == 1


def test_suspect_waits_while_a_permit_of_it_may_yet_be_used(issuer):
    """Guards against a late copy that meets the restarted upstream."""
    ask(issuer, "p1", CRASHER, candidates=("u1",))
    issuer.handle(events.UpstreamLost("u1", True), 0.5)
    assert ask(issuer, "p2", CRASHER, 0.9) == []
    (issued,) = issuer.handle(events.PermitTick(), 1.1)
    assert issued.permit == "p2"


def test_guilt_is_learned_from_other_groups(issuer):
    """Guards against each group losing its own two upstreams."""
    issuer.handle(events.SuspectsReported([CRASHER], True), 0.0)
    (refused,) = ask(issuer, "p", CRASHER)
    assert refused.reason is events.RefusalReason.QUARANTINED


def test_losses_at_an_earlier_holder_count_after_a_takeover(issuer):
    """Guards against a third loss when the holder changes after the second."""
    for _ in range(2):
        issuer.handle(events.SuspectsReported([CRASHER], False), 0.0)
    assert ask(issuer, "p", CRASHER) == []
    (refused, _) = issuer.handle(events.UpstreamLost("u1", False), 0.5)
    assert refused.reason is events.RefusalReason.QUARANTINED


def test_breaks_are_shared_at_once(issuer):
    """Guards against a holder that is lost before it tells of a break."""
    ask(issuer, "p", CRASHER)
    assert events.ShareSuspects((CRASHER,), False) in break_connection(
        issuer, "p"
    )


def test_popular_request_on_two_lost_upstreams_is_spared(record):
    """Guards against blaming a request that completes all the time."""
    record.record_completion(BYSTANDER)
    for name in NAMES[:2]:
        record.record_loss(name, [(BYSTANDER, 0), (CRASHER, 0)], 0.0)
    assert record.classify(BYSTANDER, 0.0) is _quarantine.Suspicion.SUSPECT
    assert record.classify(CRASHER, 0.0) is _quarantine.Suspicion.GUILTY


def test_timeouts_on_frozen_upstreams_count_once_they_are_lost(record):
    """Guards against a request that freezes upstreams instead."""
    record.record_unknown(CRASHER, "u1", 0, 0.0)
    assert record.classify(CRASHER, 0.0) is _quarantine.Suspicion.CLEAR
    record.record_unknown(CRASHER, "u2", 0, 0.5)
    assert record.classify(CRASHER, 0.6) is _quarantine.Suspicion.UNRESOLVED
    record.record_loss("u1", [], 1.0)
    record.record_loss("u2", [], 1.5)
    assert record.classify(CRASHER, 1.5) is _quarantine.Suspicion.GUILTY


def test_record_is_bounded_and_ends_by_time(record):
    """Guards against a record that grows, or refuses for ever."""
    record.record_loss("u1", [(CRASHER, 0)], 0.0)
    record.record_loss("u2", [(CRASHER, 0)], 0.0)
    for number in range(10):
        record.record_loss("u1", [(bytes([number]), 0)], 1.0)
    assert len(record._records) == 4
    assert record.classify(CRASHER, 1.0) is _quarantine.Suspicion.GUILTY
    record.expire(600.5)
    assert record.classify(CRASHER, 600.5) is _quarantine.Suspicion.CLEAR
    record.expire(700.0)
    assert record.is_empty()
