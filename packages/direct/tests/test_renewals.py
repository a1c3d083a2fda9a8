"""Renewals of leases, whose cost must not grow with the number of owners."""

import pytest

import sycamoreloft_direct

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


# Guards against a lease that ends before its renewal: a grant after one without
# an answer asks for a short lease.
def test_a_short_lease_is_renewed_at_once(coordinator):
    first = list_grants(coordinator, 0.0)[0]
    coordinator.finish_grant(first.order, RESULTS.UNREAD, 0.6)
    [retry] = list_grants(coordinator, 1.0)
    coordinator.finish_grant(retry.order, RESULTS.ACCEPTED, 1.1)
    [renewal] = list_grants(coordinator, 1.2)
    assert (renewal.run, renewal.fence) == (first.run, retry.fence)
    assert renewal.is_renewal
