"""Tests of the permit and claim sources."""

import asyncio
import dataclasses

import pytest

from sycamoreloft_router import _peer_links, _permit_source
import sycamoreloft_wire


class FakeCalls:
    """Answers calls from a script and keeps what was posted."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []
        self.posted = []

    async def call(self, group, message, timeout_s):
        self.asked.append(message)
        answer = self.answers.pop(0)
        if callable(answer):
            return await answer(message)
        return answer

    def post(self, group, message):
        self.posted.append(message)


@pytest.fixture
def request_message():
    """A permit request with half a second left."""
    return sycamoreloft_wire.PermitRequest(
        "f/d/0", "p1", "h1", 1, "f", "s", "k", 3, b"x", "c", 1, 500
    )


def grant(permit):
    return sycamoreloft_wire.PermitGrant(
        permit, "u1", "127.0.0.1:1", 2, 7, 1000
    )


async def grant_asked(message):
    return grant(message.permit)


NO_HOLDER = sycamoreloft_wire.PermitRefusal("p1", "no-holder", 50)
LOST = _peer_links.PeerError("no answer", sent=True)
UNSENT = _peer_links.PeerError("no connection", sent=False)


def ask(calls, message):
    source = _permit_source.HolderPermitSource("h1", calls)
    return source, asyncio.run(source.request_permit(message))


@pytest.mark.parametrize("first", [NO_HOLDER, LOST, UNSENT])
def test_a_replaced_holder_is_waited_for(first, request_message):
    """Guards against a refusal during a takeover inside the deadline."""
    calls = FakeCalls(first, grant_asked)
    _, answer = ask(calls, request_message)
    assert dataclasses.replace(answer, valid_ms=1000) == grant("p1")
    assert 0 < answer.valid_ms <= 1000


def test_each_try_has_its_own_identifier(request_message):
    """Guards against a late grant of a first try that frees the second."""
    calls = FakeCalls(LOST, grant_asked)
    source, _ = ask(calls, request_message)
    assert [message.permit for message in calls.asked] == ["p1", "p1~1"]
    source.return_permit(
        sycamoreloft_wire.PermitReturn(
            "f/d/0", "p1", "completed", 1.0, False, False
        )
    )
    assert [message.permit for message in calls.posted] == ["p1", "p1~1"]


def test_a_permit_that_may_have_been_issued_is_returned(request_message):
    """Guards against slots that stay taken after a lost answer."""
    calls = FakeCalls(LOST, grant_asked)
    ask(calls, request_message)
    assert [message.outcome for message in calls.posted] == ["did-not-run"]


def test_a_cancelled_request_returns_its_permit(request_message):
    """Guards against a slot that stays taken when the caller leaves."""

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
    """Guards against a send under a permit that waited in the network."""

    async def grant_expired(message):
        return sycamoreloft_wire.PermitGrant(
            message.permit, "u1", "127.0.0.1:1", 2, 7, 0
        )

    calls = FakeCalls(grant_expired, grant_asked)
    _, answer = ask(calls, request_message)
    assert 0 < answer.valid_ms <= 1000
    assert calls.posted[0].outcome == "did-not-run"


def test_a_refusal_of_the_desk_is_final(request_message):
    """Guards against asking again for a request that was shed."""
    refusal = sycamoreloft_wire.PermitRefusal("p1", "overloaded", 20)
    calls = FakeCalls(refusal)
    _, answer = ask(calls, request_message)
    assert answer == refusal


def test_an_unanswered_claim_is_unavailable_and_not_repeated():
    """Guards against a claim taken twice for one attempt."""
    calls = FakeCalls(LOST)
    claims = _permit_source.HolderClaimSource(calls)
    message = sycamoreloft_wire.ClaimRequest("f/d/0", 1, b"i", b"f", "a1")
    answer = asyncio.run(claims.request_claim(message))
    assert answer.verdict == "unavailable"
    assert len(calls.asked) == 1


def test_a_report_tells_of_lost_upstreams(request_message, monkeypatch):
    """Guards against requests that wait on an upstream that is lost.

    The holder knows the identifier of the second try.
    """
    monkeypatch.setattr(_permit_source, "REPORT_INTERVAL_S", 0.001)
    told = []
    calls = FakeCalls(
        NO_HOLDER,
        grant_asked,
        sycamoreloft_wire.Acknowledgement(),
        sycamoreloft_wire.PermitReportAnswer(["p1"]),
        sycamoreloft_wire.PermitReportAnswer(["p1~1", "p9"]),
        sycamoreloft_wire.PermitReportAnswer(["p1~1"]),
    )

    async def run():
        source = _permit_source.HolderPermitSource("h1", calls)
        await source.request_permit(request_message)
        source.watch_permit(
            "f/d/0", "p1", lambda: told.append(len(calls.asked))
        )
        with pytest.raises(IndexError):
            await source.run_reports()

    asyncio.run(run())
    assert told == [5]


def report_once(calls, message):
    """Takes a permit, and returns what one report says of it."""

    async def run():
        source = _permit_source.HolderPermitSource("h1", calls)
        await source.request_permit(message)
        task = asyncio.ensure_future(source.run_reports())
        while len(calls.asked) < 2:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    return calls.asked[1].permits


def test_a_report_tells_a_new_holder_when_the_slot_is_free(request_message):
    """Guards against a slot that a silent host keeps for a minute."""
    calls = FakeCalls(grant_asked, sycamoreloft_wire.Acknowledgement())
    (used,) = report_once(calls, request_message)
    assert 0 < used.remaining_ms <= 500
    assert used.unlapsed


def test_a_permit_with_a_gap_is_reported_as_lapsed(request_message):
    """Guards against a slot that another holder has issued meanwhile."""

    async def grant_briefly(message):
        return sycamoreloft_wire.PermitGrant(
            message.permit, "u1", "127.0.0.1:1", 2, 7, 100
        )

    calls = FakeCalls(grant_briefly, sycamoreloft_wire.Acknowledgement())
    (used,) = report_once(calls, request_message)
    assert not used.unlapsed
