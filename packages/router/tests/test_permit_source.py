"""Tests of the sources that obtain permits and claims from holders."""

import asyncio
import dataclasses

import pytest

from sycamoreloft_router import _peer_links, _permit_source
import sycamoreloft_wire


class FakeCalls:
    """Answers calls from a list and records all messages.

    An answer that is a function is awaited with the message.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.posted = []

    async def call(self, group, message, timeout_s):
        self.requests.append(message)
        answer = self.answers.pop(0)
        if callable(answer):
            return await answer(message)
        return answer

    def post(self, group, message):
        self.posted.append(message)


@pytest.fixture
def request_message():
    """A permit request with half a second until its deadline."""
    return sycamoreloft_wire.PermitRequest(
        "f/d/0", "p1", "h1", 1, "f", "s", "k", 3, b"x", "c", 1, 500
    )


def grant(permit):
    return sycamoreloft_wire.PermitGrant(
        permit, "u1", "127.0.0.1:1", 2, 7, 1000
    )


async def grant_requested(message):
    return grant(message.permit)


NO_HOLDER = sycamoreloft_wire.PermitRefusal("p1", "no-holder", 50)
LOST = _peer_links.PeerError("no answer", sent=True)
UNSENT = _peer_links.PeerError("no connection", sent=False)


def run_request(calls, message):
    source = _permit_source.HolderPermitSource("h1", calls)
    return source, asyncio.run(source.request_permit(message))


@pytest.mark.parametrize("first", [NO_HOLDER, LOST, UNSENT])
def test_a_request_is_retried_until_a_new_holder_answers(
    first, request_message
):
    """Guards against a refusal if a takeover ends before the deadline."""
    calls = FakeCalls(first, grant_requested)
    _, answer = run_request(calls, request_message)
    assert dataclasses.replace(answer, valid_ms=1000) == grant("p1")
    assert 0 < answer.valid_ms <= 1000


def test_each_try_has_its_own_identifier(request_message):
    """Guards against ending the second try when the first is returned.

    A late grant for the first try is returned under its own identifier.
    """
    calls = FakeCalls(LOST, grant_requested)
    source, _ = run_request(calls, request_message)
    assert [message.permit for message in calls.requests] == ["p1", "p1~1"]
    source.return_permit(
        sycamoreloft_wire.PermitReturn(
            "f/d/0", "p1", "completed", 1.0, False, False
        )
    )
    assert [message.permit for message in calls.posted] == ["p1", "p1~1"]


def test_a_permit_that_may_have_been_issued_is_returned(request_message):
    """Guards against slots that stay occupied after a lost answer."""
    calls = FakeCalls(LOST, grant_requested)
    run_request(calls, request_message)
    assert [message.outcome for message in calls.posted] == ["did-not-run"]


def test_a_cancelled_request_returns_its_permit(request_message):
    """Guards against a slot that stays occupied after the caller is gone."""

    async def wait(message):
        await asyncio.Event().wait()

    calls = FakeCalls(wait)
    source = _permit_source.HolderPermitSource("h1", calls)

    async def run():
        task = asyncio.ensure_future(source.request_permit(request_message))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())
    assert [message.permit for message in calls.posted] == ["p1"]
    assert source.count_permits() == 0


def test_an_expired_grant_is_not_used(request_message):
    """Guards against using a permit that expired on its way to this host."""

    async def grant_expired(message):
        return sycamoreloft_wire.PermitGrant(
            message.permit, "u1", "127.0.0.1:1", 2, 7, 0
        )

    calls = FakeCalls(grant_expired, grant_requested)
    _, answer = run_request(calls, request_message)
    assert 0 < answer.valid_ms <= 1000
    assert calls.posted[0].outcome == "did-not-run"


def test_a_refusal_of_the_issuer_is_final(request_message):
    """Guards against retrying a request that was refused due to overload."""
    refusal = sycamoreloft_wire.PermitRefusal("p1", "overloaded", 20)
    calls = FakeCalls(refusal)
    _, answer = run_request(calls, request_message)
    assert answer == refusal


def test_an_unanswered_claim_is_unavailable_and_not_repeated():
    """Guards against claiming twice for one attempt."""
    calls = FakeCalls(LOST)
    claims = _permit_source.HolderClaimSource(calls)
    message = sycamoreloft_wire.ClaimRequest("f/d/0", 1, b"i", b"f", "a1")
    answer = asyncio.run(claims.request_claim(message))
    assert answer.verdict == "unavailable"
    assert len(calls.requests) == 1


def test_lost_upstreams_in_a_report_answer_are_passed_on(
    request_message, monkeypatch
):
    """Guards against requests that wait for a lost upstream.

    The holder knows the permit by the identifier of the second try, so that
    losses under this identifier alone are reported, and only once.
    """
    monkeypatch.setattr(_permit_source, "REPORT_INTERVAL_S", 0.001)
    losses = []
    calls = FakeCalls(
        NO_HOLDER,
        grant_requested,
        sycamoreloft_wire.Acknowledgement(),
        sycamoreloft_wire.PermitReportAnswer(["p1"]),
        sycamoreloft_wire.PermitReportAnswer(["p1~1", "p9"]),
        sycamoreloft_wire.PermitReportAnswer(["p1~1"]),
    )

    async def run():
        source = _permit_source.HolderPermitSource("h1", calls)
        await source.request_permit(request_message)
        source.watch_permit(
            "f/d/0", "p1", lambda: losses.append(len(calls.requests))
        )
        with pytest.raises(IndexError):
            await source.run_reports()

    asyncio.run(run())
    assert losses == [5]


def report_once(calls, message):
    """Requests a permit; returns the permits that the next report names."""

    async def run():
        source = _permit_source.HolderPermitSource("h1", calls)
        await source.request_permit(message)
        task = asyncio.ensure_future(source.run_reports())
        while len(calls.requests) < 2:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    return calls.requests[1].permits


def test_a_report_states_the_remaining_time_of_a_permit(request_message):
    """Guards against a slot that a lost host occupies for a minute.

    A new holder frees the slot after the remaining time of the request.
    """
    calls = FakeCalls(grant_requested, sycamoreloft_wire.Acknowledgement())
    (used,) = report_once(calls, request_message)
    assert 0 < used.remaining_ms <= 500
    assert used.unlapsed


def test_a_permit_whose_validity_ended_is_reported_as_lapsed(request_message):
    """Guards against two permits for one slot.

    Another holder may have issued the slot while the permit was not valid.
    """

    async def grant_briefly(message):
        return sycamoreloft_wire.PermitGrant(
            message.permit, "u1", "127.0.0.1:1", 2, 7, 100
        )

    calls = FakeCalls(grant_briefly, sycamoreloft_wire.Acknowledgement())
    (used,) = report_once(calls, request_message)
    assert not used.unlapsed
