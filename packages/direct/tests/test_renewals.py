"""Renewals of leases, whose cost must not grow with the number of owners."""

import random

import pytest

import sycamoreloft_direct
from sycamoreloft_direct import _key_coordinator

SERVICE = "boards"
RESULTS = sycamoreloft_direct.GrantResult


@pytest.fixture
def coordinator():
    """A coordinator whose map has an owner for each half of the keys."""
    half = sycamoreloft_direct.KEY_COUNT // 2
    entries = [
        sycamoreloft_direct.Upstream(
            f"u{number}", 1, f"10.0.0.{number}:1", SERVICE, "z", 6, False
        )
        for number in range(2)
    ]
    ranges = (
        sycamoreloft_direct.KeyRange(0, half - 1, entries[0].run),
        sycamoreloft_direct.KeyRange(
            half, sycamoreloft_direct.KEY_COUNT - 1, entries[1].run
        ),
    )
    keys = sycamoreloft_direct.ServiceKeys(SERVICE, ranges)
    coordinator = sycamoreloft_direct.KeyCoordinator(
        sycamoreloft_direct.KeyMap(2, 1, {SERVICE: keys}),
        0.0,
        0.0,
        sycamoreloft_direct.LeaseTimes(),
    )
    coordinator.update_upstreams(entries, {SERVICE}, 0.0)
    return coordinator


def list_grants(coordinator, now):
    return [
        command
        for command in coordinator.tick(now, True, True)
        if isinstance(command, sycamoreloft_direct.SendGrant)
    ]


# Guards against visiting all segments after each renewal.
def test_no_step_follows_an_accepted_renewal(coordinator):
    grants = list_grants(coordinator, 0.0)
    assert len(grants) == 2
    for grant in grants:
        follows = coordinator.finish_grant(grant.order, RESULTS.ACCEPTED, 0.1)
        assert not follows


@pytest.mark.parametrize(
    "result",
    [RESULTS.FENCED, RESULTS.UNKNOWN, RESULTS.UNREAD, RESULTS.UNREACHED],
)
def test_another_step_follows_a_failed_grant(coordinator, result):
    grants = list_grants(coordinator, 0.0)
    assert coordinator.finish_grant(grants[0].order, result, 0.1)


# Guards against a lease that runs out under running work: a repeated grant asks
# for the rest of a lease only, which ends before the usual renewal is answered.
def test_a_shortened_lease_is_renewed_in_full_at_once(coordinator):
    times = sycamoreloft_direct.LeaseTimes()
    for grant in list_grants(coordinator, 0.0):
        coordinator.finish_grant(grant.order, RESULTS.ACCEPTED, 0.0)
    for grant in list_grants(coordinator, times.renew_s):
        coordinator.finish_grant(grant.order, RESULTS.UNKNOWN, 1.5)
    repeated = list_grants(coordinator, 1.5 + times.retry_s)
    assert [grant.hold_s < times.hold_s for grant in repeated] == [True] * 2
    for grant in repeated:
        assert coordinator.finish_grant(grant.order, RESULTS.ACCEPTED, 1.9)
    renewed = list_grants(coordinator, 1.9)
    assert [grant.hold_s for grant in renewed] == [times.hold_s] * 2


# Guards against a lease that runs out although its upstream is back: each lost
# call already took its whole time limit.
@pytest.mark.parametrize(
    ("call_s", "pause_s"), [(0.6, 0.0), (0.01, 0.29)], ids=["lost", "refused"]
)
def test_a_renewal_is_repeated_a_fixed_time_after_it_was_sent(
    coordinator, call_s, pause_s
):
    times = sycamoreloft_direct.LeaseTimes()
    for grant in list_grants(coordinator, 0.0):
        coordinator.finish_grant(grant.order, RESULTS.ACCEPTED, 0.0)
    ended_at = times.renew_s + call_s
    for grant in list_grants(coordinator, times.renew_s):
        coordinator.finish_grant(grant.order, RESULTS.UNKNOWN, ended_at)
    assert bool(list_grants(coordinator, ended_at)) == (pause_s == 0.0)
    assert bool(list_grants(coordinator, ended_at + pause_s)) == (pause_s > 0)


# Guards against a lease that ends before its renewal: a grant after one without
# an answer asks for a short lease.
def test_a_short_lease_is_renewed_at_once(coordinator):
    first = list_grants(coordinator, 0.0)[0]
    coordinator.finish_grant(first.order, RESULTS.UNREAD, 0.6)
    [retry] = list_grants(coordinator, 1.0)
    coordinator.finish_grant(retry.order, RESULTS.ACCEPTED, 1.1)
    [renewal] = list_grants(coordinator, 1.2)
    assert renewal.run == first.run
    assert renewal.fence > retry.fence > first.fence
    assert renewal.is_renewal


# Guards against grants in a tight loop at an upstream that refuses each new
# token, because it has seen the tokens of a later coordinator.
def test_grant_that_is_refused_again_is_repeated_after_a_pause(coordinator):
    times = sycamoreloft_direct.LeaseTimes()
    first = list_grants(coordinator, 0.0)[0]
    coordinator.finish_grant(first.order, RESULTS.FENCED, 0.01)
    (second,) = list_grants(coordinator, 0.01)
    assert second.fence > first.fence
    coordinator.finish_grant(second.order, RESULTS.FENCED, 0.02)
    assert not list_grants(coordinator, 0.02)
    assert list_grants(coordinator, 0.01 + times.retry_s)


# Guards against a release for an owner that is cut off for a second, although
# its lease goes on: its keys would move to another upstream.
def test_owner_without_connection_keeps_its_keys_during_its_lease(coordinator):
    times = sycamoreloft_direct.LeaseTimes()
    for grant in list_grants(coordinator, 0.0):
        coordinator.finish_grant(grant.order, RESULTS.ACCEPTED, 0.0)
    now = times.renew_s
    for grant in list_grants(coordinator, now):
        coordinator.finish_grant(grant.order, RESULTS.UNKNOWN, now + 0.6)
    now += 0.6
    while now < times.hold_s - times.grant_call_s:
        commands = coordinator.tick(now, True, True)
        assert [type(command) for command in commands] == [
            sycamoreloft_direct.SendGrant
        ] * 2
        now += times.retry_s
        for command in commands:
            coordinator.finish_grant(command.order, RESULTS.UNREACHED, now)


# Guards against an epoch whose tokens are used up within weeks: if each renewal
# had a token of its own, 500 ranges would need eight hours.
def test_renewals_of_many_ranges_share_tokens():
    times = sycamoreloft_direct.LeaseTimes()
    count, minutes = 500, 2
    width = sycamoreloft_direct.KEY_COUNT // count
    entries = [
        sycamoreloft_direct.Upstream(
            f"u{number}", 1, f"u{number}:1", SERVICE, "z", 6, False
        )
        for number in range(count)
    ]
    ranges = [
        sycamoreloft_direct.KeyRange(
            number * width, number * width + width - 1, entry.run
        )
        for number, entry in enumerate(entries)
    ]
    keys = sycamoreloft_direct.ServiceKeys(SERVICE, tuple(ranges))
    coordinator = sycamoreloft_direct.KeyCoordinator(
        sycamoreloft_direct.KeyMap(1, 1, {SERVICE: keys}), 0.0, 0.0, times
    )
    coordinator.update_upstreams(entries, {SERVICE}, 0.0)
    generator = random.Random(1)
    answers, latest = [], {}
    tokens = set()
    for step in range(minutes * 60 * 20):
        now = step * 0.05
        for order, answered_at in answers[:]:
            if answered_at <= now:
                answers.remove((order, answered_at))
                coordinator.finish_grant(order, RESULTS.ACCEPTED, now)
        for grant in list_grants(coordinator, now):
            assert grant.fence > latest.get(grant.run, 0)
            latest[grant.run] = grant.fence
            tokens.add(grant.fence)
            answers.append((grant.order, now + generator.uniform(0.0, 0.5)))
    assert len(latest) == count
    rounds = len(tokens) - count
    assert 0 < rounds <= minutes * 60 / times.renew_s
    epoch_s = _key_coordinator.FENCES_PER_EPOCH / (rounds / (minutes * 60))
    assert epoch_s > 100 * 24 * 3_600
