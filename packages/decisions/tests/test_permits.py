"""Tests of the permit issuer."""

import random

import pytest

import sycamoreloft_config
from sycamoreloft_decisions import _balancing, _concurrency, _permits
from sycamoreloft_decisions import _permit_events as events


class Driver:
    """Sends events to a permit issuer and returns its commands."""

    def __init__(self, *, fresh=True):
        self.issuer = _permits.PermitIssuer(random.Random(7), 0.0, fresh=fresh)
        self.now = 0.0
        self.count = 0

    def send(self, event):
        return list(self.issuer.handle(event, self.now))

    def open(self, *names, slots=2, queue=0, cold=False):
        for name in names:
            self.send(events.UpstreamAvailable(name, slots, queue, cold))

    def request(self, *candidates, **changes):
        self.count += 1
        fields = {
            "permit": f"h/{self.count}",
            "host": "h",
            "fleet": "sledworks",
            "service": "tally-board",
            "key": "k",
            "partition": 3 if len(candidates) == 1 else -1,
            "fingerprint": self.count.to_bytes(16, "big"),
            "caller": "c",
            "priority": sycamoreloft_config.Priority.NORMAL,
            "deadline": self.now + 10.0,
            "candidates": candidates,
        } | changes
        return self.send(events.PermitRequested(**fields))

    def end(self, permit, outcome="completed", **changes):
        return self.send(
            events.PermitReturned(permit, outcome, 0.01, **changes)
        )

    def tick(self, seconds):
        self.now += seconds
        return self.send(events.PermitTick())


def reported_permit(
    permit, upstream="a", partition=3, deadline=None, unlapsed=True
):
    return events.ReportedPermit(
        permit,
        upstream,
        "sledworks",
        "tally-board",
        partition,
        b"f" * 16,
        deadline,
        unlapsed,
    )


def list_issued(commands):
    return [c.permit for c in commands if isinstance(c, events.IssuePermit)]


def list_refused(commands):
    return [
        (c.permit, c.reason)
        for c in commands
        if isinstance(c, events.RefusePermit)
    ]


@pytest.fixture
def driver():
    return Driver()


def test_slots_bound_permits_and_returns_start_queued_requests(driver):
    """Guards against more permits than slots, and a queue that is stuck."""
    driver.open("a")
    assert [len(list_issued(driver.request("a"))) for _ in range(4)] == [
        1,
        1,
        0,
        0,
    ]
    assert list_issued(driver.end("h/1")) == ["h/3"]
    assert driver.end("h/1") == []
    assert driver.issuer.count_in_use("a") == 2


def test_full_queue_refuses_and_sheds_the_lowest_class(driver):
    """Guards against an unbounded queue, and shedding a high priority."""
    driver.open("a", slots=1, queue=2)
    driver.request("a")
    driver.request("a", priority=sycamoreloft_config.Priority.BACKGROUND)
    driver.request("a")
    refused = list_refused(driver.request("a"))
    assert refused == [("h/2", events.RefusalReason.SHED)]
    assert list_refused(driver.request("a")) == [
        ("h/5", events.RefusalReason.OVERLOADED)
    ]


def test_refuses_at_once_what_cannot_start_before_its_deadline(driver):
    """Guards against queueing a request that is certain to be late."""
    driver.open("a", slots=1, queue=10)
    driver.request("a")
    driver.send(events.PermitReturned("h/1", "completed", 1.0))
    driver.request("a")
    driver.request("a", deadline=driver.now + 1.5)
    assert list_refused(driver.request("a", deadline=driver.now + 1.5)) == [
        ("h/4", events.RefusalReason.DEADLINE)
    ]


def test_expired_request_is_refused_and_not_issued(driver):
    """Guards against a permit after the deadline of a queued request."""
    driver.open("a", slots=1)
    driver.request("a")
    driver.request("a", deadline=0.5)
    driver.now = 1.0
    assert list_refused(driver.end("h/1")) == [
        ("h/2", events.RefusalReason.DEADLINE)
    ]


def test_cancelled_request_leaves_the_queue(driver):
    """Guards against issuing a permit to a host that no longer waits."""
    driver.open("a", slots=1)
    driver.request("a")
    driver.request("a")
    driver.end("h/2", "did-not-run")
    assert driver.end("h/1") == []


def test_silent_host_keeps_its_slot_until_validity_and_deadline(driver):
    """Guards against reusing a slot while a frozen host may still send."""
    driver.open("a", slots=1)
    driver.request("a", deadline=5.0)
    driver.request("a", deadline=20.0)
    assert driver.tick(5.9) == []
    assert list_issued(driver.tick(0.3)) == ["h/2"]


def test_renewed_permit_is_kept_after_its_deadline(driver):
    """Guards against ending a permit that its host still reports."""
    driver.open("a", slots=1)
    driver.request("a", deadline=1.0)
    for _ in range(20):
        driver.send(events.PermitsReported("h", [reported_permit("h/1")]))
        driver.tick(0.5)
    assert driver.issuer.count_in_use("a") == 1


def test_takeover_issues_only_slots_that_are_accounted_for():
    """Guards against reissuing a slot whose host has not reported yet."""
    driver = Driver(fresh=False)
    driver.open("a", slots=2)
    assert list_issued(driver.request("a")) == []
    driver.send(events.PermitsReported("x", [reported_permit("x/1")]))
    assert list_issued(driver.end("x/1")) == ["h/1"]
    driver.send(events.PermitsReported("x", [reported_permit("x/1")]))
    assert driver.issuer.count_in_use("a") == 1
    driver.request("a")
    assert list_issued(driver.tick(0.9)) == []
    assert list_issued(driver.tick(0.2)) == ["h/2"]


def test_lapsed_permit_does_not_account_for_a_slot():
    """Guards against a slot that a holder in between has reissued."""
    driver = Driver(fresh=False)
    driver.open("a", slots=1)
    report = [reported_permit("x/1", unlapsed=False)]
    driver.send(events.PermitsReported("x", report))
    driver.end("x/1")
    assert list_issued(driver.request("a")) == []


@pytest.mark.parametrize("candidates", [("a",), ("a", "b")])
def test_requests_wait_for_upstreams_right_after_a_takeover(candidates):
    """Guards against refusals before upstreams have answered a new holder."""
    driver = Driver(fresh=False)
    assert driver.request(*candidates) == []
    driver.open("a")
    assert list_issued(driver.tick(1.1)) == ["h/1"]


def test_unkeyed_request_is_refused_when_no_upstream_answers():
    """Guards against a caller that waits for its deadline needlessly."""
    driver = Driver(fresh=False)
    assert driver.request("a", "b") == []
    assert list_refused(driver.tick(1.1)) == [
        ("h/1", events.RefusalReason.NO_UPSTREAM)
    ]


def test_late_report_never_leads_to_more_permits_than_slots(driver):
    """Guards against ignoring a permit that is reported after recovery."""
    driver.open("a", slots=2)
    driver.send(
        events.PermitsReported(
            "x", [reported_permit("x/1"), reported_permit("x/2")]
        )
    )
    assert list_issued(driver.request("a")) == []


def test_paused_partition_drains_and_its_requests_follow_the_new_owner(driver):
    """Guards against permits during a move, and losing waiting requests."""
    driver.open("a", "b")
    driver.request("a")
    partition = ("sledworks", "tally-board", 3)
    assert driver.send(events.PartitionPaused(*partition)) == []
    assert driver.request("a") == []
    assert driver.end("h/1") == [events.PartitionDrained(*partition, "")]
    commands = driver.send(events.PartitionResumed(*partition, "b"))
    assert [(c.permit, c.upstream) for c in commands] == [("h/2", "b")]


def test_paused_key_does_not_affect_other_keys_of_its_partition(driver):
    """Guards against delaying other keys when a hot key moves."""
    driver.open("a")
    pause = events.PartitionPaused("sledworks", "tally-board", 3, "hot")
    assert len(driver.send(pause)) == 1
    assert list_issued(driver.request("a")) == ["h/1"]
    assert driver.request("a", key="hot") == []


def test_drain_waits_for_unknown_permits_after_a_takeover():
    """Guards against moving a partition while a permit is unreported."""
    driver = Driver(fresh=False)
    driver.open("a")
    partition = ("sledworks", "tally-board", 3)
    assert driver.send(events.PartitionPaused(*partition)) == []
    driver.send(events.PermitsReported("x", [reported_permit("x/1")]))
    assert driver.tick(1.1) == []
    assert driver.end("x/1") == [events.PartitionDrained(*partition, "")]


def test_leaving_upstream_gets_no_new_permits(driver):
    """Guards against new requests for a draining upstream."""
    driver.open("a", "b", slots=1)
    driver.send(events.UpstreamUnavailable("a"))
    assert [c.upstream for c in driver.request("a", "b")] == ["b"]
    assert list_issued(driver.request("a", "b")) == []
    assert list_issued(driver.end("h/1")) == ["h/2"]


def test_unkeyed_request_without_upstreams_is_refused_at_once(driver):
    """Guards against an unkeyed request that waits needlessly."""
    assert list_refused(driver.request("a", "b")) == [
        ("h/1", events.RefusalReason.NO_UPSTREAM)
    ]


def test_restarted_upstream_keeps_permits_that_may_yet_be_used(driver):
    """Guards against a late start that exceeds a restarted upstream's slots."""
    driver.open("a", slots=1)
    driver.request("a")
    driver.now = 0.5
    driver.send(events.UpstreamLost("a", ended=True))
    driver.open("a", slots=1, cold=True)
    assert list_issued(driver.request("a")) == []
    assert list_issued(driver.end("h/1", "unknown")) == ["h/2"]


def test_restarted_upstream_frees_the_slots_of_silent_hosts(driver):
    """Guards against slots that stay in use after a crash."""
    driver.open("a", slots=1)
    driver.request("a")
    driver.now = 1.1
    driver.send(events.UpstreamLost("a", ended=True))
    driver.open("a", slots=1, cold=True)
    assert list_issued(driver.request("a")) == ["h/2"]


def test_frozen_upstream_keeps_its_permits(driver):
    """Guards against overloading an upstream that was only frozen."""
    driver.open("a", slots=1)
    driver.request("a")
    driver.send(events.UpstreamLost("a", ended=False))
    driver.open("a", slots=1)
    assert list_issued(driver.request("a")) == []


def test_closed_issuer_refuses_all_requests(driver):
    """Guards against issuing permits without holding the group."""
    driver.open("a", slots=1)
    driver.request("a")
    driver.request("a")
    reason = events.RefusalReason.NOT_HOLDER
    assert list_refused(driver.send(events.PermitIssuerClosed())) == [
        ("h/2", reason)
    ]
    assert list_refused(driver.request("a")) == [("h/3", reason)]


def test_cold_upstream_starts_with_one_request_and_rises(driver):
    """Guards against overloading an upstream right after its start."""
    driver.open("a", slots=4, cold=True)
    in_use = []
    for _ in range(12):
        driver.request("a")
        driver.request("a")
        in_use.append(driver.issuer.count_in_use("a"))
        driver.end(next(iter(driver.issuer._permits)))
    assert (in_use[0], max(in_use)) == (1, 4)


def test_limit_falls_when_latency_rises_and_recovers():
    """Guards against full load on an upstream that has become slow."""
    limiter = _concurrency.ConcurrencyLimit(8, False)
    for _ in range(50):
        limiter.observe(0.01)
    for _ in range(30):
        limiter.observe(0.1)
    assert limiter.limit < 4
    for _ in range(100):
        limiter.observe(0.01)
    assert limiter.limit == 8


def test_ejected_upstream_gets_no_excess_requests_after_many_failures():
    """Guards against an upstream that attracts requests by failing fast."""
    driver = Driver()
    driver.open("a", "b", slots=1)
    for _ in range(6000):
        permit = list_issued(driver.request("a"))[0]
        driver.end(permit, "did-not-run", connection_lost=True)
        driver.now += 0.1
    driver.request("b", deadline=driver.now + 10.0)
    assert list_issued(driver.request("a", "b", fingerprint=b"g")) == []
    driver.now += 2 * _balancing.MAXIMUM_EJECTION_S
    commands = driver.request(
        "a", "b", deadline=driver.now + 1.0, fingerprint=b"h"
    )
    assert [command.upstream for command in commands] == ["a"]


def test_ejection_prefers_others_and_never_empties_the_set(driver):
    """Guards against refusing all requests when every upstream fails."""
    driver.open("a", "b", slots=1)
    for name in ("a", "b"):
        for _ in range(_balancing.FAILURES_TO_EJECT):
            permit = list_issued(driver.request(name))[0]
            driver.end(permit, "did-not-run", refused=True)
        if name == "a":
            chosen = []
            for _ in range(20):
                command = driver.request("a", "b")[0]
                chosen.append(command.upstream)
                driver.end(command.permit)
            assert set(chosen) == {"b"}
    assert len(list_issued(driver.request("a", "b"))) == 1
