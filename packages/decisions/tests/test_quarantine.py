"""Tests of the quarantine, alone and inside the permit issuer."""

import random

import pytest

import sycamoreloft_config
from sycamoreloft_decisions import _permit_events as events
from sycamoreloft_decisions import _permits, _quarantine

CRASHING = b"c" * 16
HARMLESS = b"b" * 16
NAMES = ("u1", "u2", "u3", "u4")


def request_permit(issuer, permit, fingerprint, now=0.0, candidates=NAMES):
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
def quarantine():
    return _quarantine.Quarantine(events.PermitOptions(suspects=4))


def test_request_lost_on_two_upstreams_is_refused(issuer):
    """Guards against a request that crashes a third upstream."""
    for number in range(2):
        (issued,) = request_permit(issuer, f"p{number}", CRASHING)
        commands = issuer.handle(
            events.UpstreamLost(issued.upstream, True), 0.0
        )
        break_connection(issuer, f"p{number}")
        expected = events.ShareSuspects((CRASHING,), number == 1)
        assert expected in commands
    (refused,) = request_permit(issuer, "p2", CRASHING)
    assert refused.reason is events.RefusalReason.QUARANTINED


def test_broken_connections_count_before_the_loss_is_confirmed(issuer):
    """Guards against a caller that repeats a crashing request quickly.

    Further upstreams would crash before the first loss is confirmed.
    """
    upstreams = []
    for number in range(2):
        (issued,) = request_permit(issuer, f"p{number}", CRASHING)
        upstreams.append(issued.upstream)
        break_connection(issuer, f"p{number}")
    assert request_permit(issuer, "p2", CRASHING) == []
    commands = []
    for upstream in upstreams:
        commands += issuer.handle(events.UpstreamLost(upstream, True), 0.9)
    assert [c.reason for c in commands if hasattr(c, "reason")] == [
        events.RefusalReason.QUARANTINED
    ]


def test_broken_connections_of_live_upstreams_are_forgotten(issuer):
    """Guards against refusing a request because of network faults."""
    for number in range(2):
        request_permit(issuer, f"p{number}", HARMLESS)
        break_connection(issuer, f"p{number}")
    assert request_permit(issuer, "p2", HARMLESS) == []
    commands = issuer.handle(
        events.PermitTick(), _quarantine.CONFIRMATION_S + 0.1
    )
    assert [type(command) for command in commands] == [events.IssuePermit]


def test_copies_in_flight_reach_at_most_two_upstreams(issuer):
    """Guards against many upstreams lost to concurrent copies of a request."""
    commands = []
    for number in range(20):
        commands += request_permit(issuer, f"p{number}", CRASHING)
    assert len(commands) == 2


def test_a_request_that_completes_may_use_every_upstream(issuer):
    """Guards against limiting concurrent copies of a harmless request."""
    request_permit(issuer, "p", HARMLESS)
    issuer.handle(events.PermitReturned("p", "completed", 0.01), 0.0)
    upstreams = {
        command.upstream
        for number in range(16)
        for command in request_permit(issuer, f"p{number}", HARMLESS)
    }
    assert upstreams == set(NAMES)


def test_suspects_run_one_at_a_time_and_are_cleared_on_completion(issuer):
    """Guards against running two suspects at once.

    If an upstream were lost then, it would be unclear which one caused it.
    """
    request_permit(issuer, "p1", CRASHING, candidates=("u1",))
    request_permit(issuer, "p2", HARMLESS, candidates=("u1",))
    issuer.handle(events.UpstreamLost("u1", True), 0.0)
    break_connection(issuer, "p1")
    break_connection(issuer, "p2")
    assert len(request_permit(issuer, "p3", HARMLESS)) == 1
    assert request_permit(issuer, "p4", CRASHING) == []
    commands = issuer.handle(
        events.PermitReturned("p3", "completed", 0.01), 0.1
    )
    assert [command.permit for command in commands] == ["p4"]
    assert len(request_permit(issuer, "p5", HARMLESS, 0.1)) == 1


def test_suspect_waits_while_another_permit_for_it_may_still_be_used(issuer):
    """Guards against a late copy that runs on the restarted upstream."""
    request_permit(issuer, "p1", CRASHING, candidates=("u1",))
    issuer.handle(events.UpstreamLost("u1", True), 0.5)
    assert request_permit(issuer, "p2", CRASHING, 0.9) == []
    (issued,) = issuer.handle(events.PermitTick(), 1.1)
    assert issued.permit == "p2"


def test_guilty_requests_reported_by_other_groups_are_refused(issuer):
    """Guards against losing two upstreams in each group."""
    issuer.handle(events.SuspectsReported([CRASHING], True), 0.0)
    (refused,) = request_permit(issuer, "p", CRASHING)
    assert refused.reason is events.RefusalReason.QUARANTINED


def test_losses_reported_by_an_earlier_holder_count_after_a_takeover(issuer):
    """Guards against a third loss if the holder changes after the second."""
    for _ in range(2):
        issuer.handle(events.SuspectsReported([CRASHING], False), 0.0)
    assert request_permit(issuer, "p", CRASHING) == []
    (refused, _) = issuer.handle(events.UpstreamLost("u1", False), 0.5)
    assert refused.reason is events.RefusalReason.QUARANTINED


def test_broken_connections_are_shared_with_other_groups_at_once(issuer):
    """Guards against a holder that is lost before it reports the break."""
    request_permit(issuer, "p", CRASHING)
    assert events.ShareSuspects((CRASHING,), False) in break_connection(
        issuer, "p"
    )


def test_completed_request_on_two_lost_upstreams_is_not_guilty(quarantine):
    """Guards against quarantining a request that usually completes."""
    quarantine.record_completion(HARMLESS)
    for name in NAMES[:2]:
        quarantine.record_loss(name, [(HARMLESS, 0), (CRASHING, 0)], 0.0)
    assert quarantine.classify(HARMLESS, 0.0) is _quarantine.Suspicion.SUSPECT
    assert quarantine.classify(CRASHING, 0.0) is _quarantine.Suspicion.GUILTY


def test_timeouts_on_frozen_upstreams_count_once_they_are_lost(quarantine):
    """Guards against requests that freeze upstreams and don't crash them."""
    quarantine.record_unknown(CRASHING, "u1", 0, 0.0)
    assert quarantine.classify(CRASHING, 0.0) is _quarantine.Suspicion.CLEAR
    quarantine.record_unknown(CRASHING, "u2", 0, 0.5)
    assert (
        quarantine.classify(CRASHING, 0.6) is _quarantine.Suspicion.UNRESOLVED
    )
    quarantine.record_loss("u1", [], 1.0)
    quarantine.record_loss("u2", [], 1.5)
    assert quarantine.classify(CRASHING, 1.5) is _quarantine.Suspicion.GUILTY


def test_quarantine_is_bounded_and_records_expire(quarantine):
    """Guards against unbounded memory, and refusing a request forever."""
    quarantine.record_loss("u1", [(CRASHING, 0)], 0.0)
    quarantine.record_loss("u2", [(CRASHING, 0)], 0.0)
    for number in range(10):
        quarantine.record_loss("u1", [(bytes([number]), 0)], 1.0)
    assert len(quarantine._records) == 4
    assert quarantine.classify(CRASHING, 1.0) is _quarantine.Suspicion.GUILTY
    quarantine.expire(600.5)
    assert quarantine.classify(CRASHING, 600.5) is _quarantine.Suspicion.CLEAR
    quarantine.expire(700.0)
    assert quarantine.is_empty()
