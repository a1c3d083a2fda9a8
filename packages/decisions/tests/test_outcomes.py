"""Tests of the outcome of an attempt."""

import pytest

from sycamoreloft_decisions import _outcomes

PERMIT = _outcomes.PermitReceived(1.0)
CONNECTED = _outcomes.ConnectionMade()
SENT = _outcomes.BytesSent(replayable=True)
BROKEN = _outcomes.ConnectionBroken()
HEADERS = _outcomes.HeadersReceived(200)
BODY_PART = _outcomes.BodyPartReceived()
END = _outcomes.AnswerEnded()
REPEATABLE = _outcomes.AttemptRules(repeatable=True)
AT_MOST_ONCE = _outcomes.AttemptRules(at_most_once=True, repeatable=True)
CLAIMED = _outcomes.ClaimAnswered("claimed")


def decide(*events, rules=REPEATABLE, now=0.5):
    """Returns the decision, which only the last event may lead to."""
    attempt = _outcomes.Attempt(rules, 10.0)
    decisions = [attempt.handle(event, now) for event in events]
    assert all(decision is None for decision in decisions[:-1])
    return decisions[-1]


def test_whole_answer_is_completed():
    """Guards against reporting a complete answer as another outcome."""
    decision = decide(PERMIT, CONNECTED, SENT, HEADERS, BODY_PART, END)
    assert decision.outcome is _outcomes.Outcome.COMPLETED
    assert decision.reuse_connection
    assert not decision.retry_allowed


@pytest.mark.parametrize(
    ("events", "reason", "retry"),
    [
        ([PERMIT, BROKEN], "not-connected", True),
        ([_outcomes.PermitDenied("overloaded")], "overloaded", False),
        ([_outcomes.PermitDenied("no-holder")], "no-holder", True),
        ([_outcomes.PermitDenied("quarantined")], "quarantined", False),
        ([PERMIT, _outcomes.DeadlinePassed()], "deadline", False),
        ([PERMIT, _outcomes.CallerGone()], "caller-gone", False),
        (
            [
                PERMIT,
                CONNECTED,
                SENT,
                _outcomes.HeadersReceived(421, "not-owner"),
            ]
            + [END],
            "not-owner",
            True,
        ),
        (
            [
                PERMIT,
                CONNECTED,
                SENT,
                _outcomes.HeadersReceived(503, "draining"),
            ]
            + [BROKEN],
            "draining",
            True,
        ),
    ],
)
def test_did_not_run(events, reason, retry):
    """Guards against "unknown" for requests that certainly did not run."""
    decision = decide(*events)
    assert decision.outcome is _outcomes.Outcome.DID_NOT_RUN
    assert (decision.reason, decision.retry_allowed) == (reason, retry)


@pytest.mark.parametrize(
    "events",
    [
        [PERMIT, CONNECTED, BROKEN],
        [PERMIT, CONNECTED, SENT, BROKEN],
        [PERMIT, SENT, _outcomes.DeadlinePassed()],
        [PERMIT, CONNECTED, SENT, _outcomes.CallerGone()],
        [PERMIT, CONNECTED, SENT, HEADERS, BODY_PART, BROKEN],
        [PERMIT, CONNECTED, SENT, END],
        [PERMIT, CONNECTED, SENT, _outcomes.HeadersReceived(503), BROKEN],
        [
            PERMIT,
            CONNECTED,
            SENT,
            _outcomes.HeadersReceived(200, "shed"),
            BROKEN,
        ],
        [
            PERMIT,
            CONNECTED,
            SENT,
            _outcomes.HeadersReceived(503, "odd"),
            BROKEN,
        ],
    ],
)
def test_unknown(events):
    """Guards against "did-not-run" after a connection was made."""
    decision = decide(*events)
    assert decision.outcome is _outcomes.Outcome.UNKNOWN
    assert not decision.reuse_connection


def test_unknown_is_retried_only_if_repeatable_and_nothing_was_passed_on():
    """Guards against running an operation twice, and mixing two answers."""
    broken = [PERMIT, CONNECTED, SENT, BROKEN]
    assert decide(*broken).retry_allowed
    assert not decide(*broken, rules=_outcomes.AttemptRules()).retry_allowed
    assert not decide(
        PERMIT, CLAIMED, CONNECTED, BROKEN, rules=AT_MOST_ONCE
    ).retry_allowed
    decision = decide(PERMIT, CONNECTED, SENT, HEADERS, BROKEN)
    assert (decision.retry_allowed, decision.close_caller) == (False, True)


def test_consumed_body_or_passed_deadline_forbids_a_retry():
    """Guards against retries with an incomplete body or after the deadline."""
    consumed = _outcomes.BytesSent(replayable=False)
    assert not decide(PERMIT, CONNECTED, consumed, BROKEN).retry_allowed
    assert not decide(PERMIT, BROKEN, now=10.0).retry_allowed


def test_interim_answer_decides_nothing():
    """Guards against treating status 100 as the final answer."""
    interim = _outcomes.HeadersReceived(100)
    decision = decide(PERMIT, CONNECTED, interim, SENT, HEADERS, END)
    assert decision.status == 200


def test_second_decision_is_never_made():
    """Guards against two answers to one caller."""
    attempt = _outcomes.Attempt(REPEATABLE, 10.0)
    assert attempt.handle(_outcomes.CallerGone(), 0.0) is not None
    assert attempt.handle(BROKEN, 0.1) is None
    assert attempt.handle(CLAIMED, 0.1) is None
    attempt.handle(PERMIT, 0.1)
    assert not attempt.may_send(0.2)


@pytest.mark.parametrize(
    ("answer", "outcome", "status", "result"),
    [
        (("repeated", "completed", 201), "completed", 201, ""),
        (("repeated", "unknown"), "unknown", 409, ""),
        (("conflict",), "did-not-run", 422, ""),
        (("unavailable",), "did-not-run", 503, "did-not-run"),
        (("stale-generation",), "did-not-run", 503, ""),
    ],
)
def test_outcome_without_a_claim(answer, outcome, status, result):
    """Guards against sending without a claim, and against wrong answers."""
    decision = decide(
        PERMIT, _outcomes.ClaimAnswered(*answer), rules=AT_MOST_ONCE
    )
    actual = (decision.outcome, decision.status, decision.claim_result)
    assert actual == (outcome, status, result)


def test_sending_needs_permit_claim_and_time():
    """Guards against a send with an expired permit or without a claim."""
    attempt = _outcomes.Attempt(AT_MOST_ONCE, 10.0)
    assert not attempt.may_send(0.0)
    attempt.handle(PERMIT, 0.0)
    assert not attempt.may_send(0.0)
    attempt.handle(CLAIMED, 0.0)
    assert attempt.may_send(0.9)
    assert not attempt.may_send(1.0)
    assert not _outcomes.Attempt(REPEATABLE, 10.0).may_send(0.0)


def test_upstream_that_deduplicates_needs_no_claim_in_an_outage():
    """Guards against refusing requests that upstreams never run twice."""
    rules = _outcomes.AttemptRules(at_most_once=True, deduplicates=True)
    attempt = _outcomes.Attempt(rules, 10.0)
    attempt.handle(PERMIT, 0.0)
    assert attempt.handle(_outcomes.ClaimAnswered("unavailable"), 0.0) is None
    assert attempt.may_send(0.1)
