"""Descriptions of changes of owner, and of the claims that they wait for."""

import pytest

import sycamoreloft_direct
from sycamoreloft_direct import _lease_ends

SERVICE = "boards"
CAUSE = sycamoreloft_direct.ChangeCause
RESULT = sycamoreloft_direct.GrantResult
STATE = sycamoreloft_direct.ClaimState
TIMES = sycamoreloft_direct.LeaseTimes()
TICK_S = 0.05

#: Time for which the predecessor may still renew leases, in seconds.
PREDECESSOR_S = 2.0

#: Number of keys that each upstream owns at first.
WIDTH = sycamoreloft_direct.KEY_COUNT // 4


def build(number, started_ms=1):
    return sycamoreloft_direct.Upstream(
        f"u{number}", started_ms, "10.0.0.1:1", SERVICE, "z", 6, False
    )


class Simulation:
    """A coordinator, and four upstreams that own all keys at first, or none."""

    def __init__(self, is_owned=True):
        self.upstreams = [build(number) for number in range(4)]
        self.now = 0.0
        self.silent = set()
        self.changes = []
        self.claims = []
        self.orders = []
        services = {}
        if is_owned:
            ranges = tuple(
                sycamoreloft_direct.KeyRange(
                    number * WIDTH, (number + 1) * WIDTH - 1, entry.run
                )
                for number, entry in enumerate(self.upstreams)
            )
            services[SERVICE] = sycamoreloft_direct.ServiceKeys(SERVICE, ranges)
        self.coordinator = sycamoreloft_direct.KeyCoordinator(
            sycamoreloft_direct.KeyMap(2, 1, services),
            0.0,
            PREDECESSOR_S,
            TIMES,
        )

    def step(self):
        """Runs one tick; answers its orders, except to silent upstreams."""
        self.now += TICK_S
        self.coordinator.update_upstreams(self.upstreams, {SERVICE}, self.now)
        commands = self.coordinator.tick(self.now, True, True)
        for change in self.coordinator.owner_changes:
            self.changes.append(change)
            self.claims.append(self.coordinator.list_claims(change))
        for command in commands:
            self._answer(command)

    def _answer(self, command):
        if isinstance(command, sycamoreloft_direct.WriteMap):
            self.coordinator.finish_write(True)
            return
        self.orders.append(command)
        is_silent = command.run in self.silent
        if isinstance(command, sycamoreloft_direct.SendRelease):
            handover = None if is_silent else "handover"
            self.coordinator.finish_release(command.order, handover, self.now)
            return
        result = RESULT.UNKNOWN if is_silent else RESULT.ACCEPTED
        self.coordinator.finish_grant(command.order, result, self.now)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step()


@pytest.fixture
def simulation():
    return Simulation()


def find_grant(simulation, change):
    """Returns the first grant to the new owner after a change."""
    return next(
        order
        for order in simulation.orders
        if isinstance(order, sycamoreloft_direct.SendGrant)
        and order.first == change.first
        and order.run == change.new
    )


# Guards against changes of owner whose reasons are missing from the logs.
def test_change_after_a_lease_names_the_grants_that_it_waited_for(simulation):
    simulation.run(1.0)
    lost = simulation.upstreams[0].run
    accepted_at = simulation.now
    simulation.silent = {lost}
    simulation.run(4.5)
    assert simulation.changes
    for change, claims in zip(
        simulation.changes, simulation.claims, strict=True
    ):
        assert change.cause is CAUSE.LEASE_OVER
        assert change.old == lost != change.new
        assert change.new_fence == find_grant(simulation, change).fence
        counted = [claim for claim in claims if claim.state is STATE.COUNTED]
        assert counted == claims[: len(counted)]
        assert counted[0].end == change.lease_end
        assert counted[0].run == lost
        assert counted[0].closed_at < accepted_at + TIMES.hold_s
        assert not any(claim.is_assumed for claim in counted)
        assumed = [claim for claim in claims if claim.is_assumed]
        assert [claim.state for claim in assumed] == [STATE.REFUSED]
        assert change.refused_fence >= assumed[0].fence
    first, last = simulation.changes[0].first, simulation.changes[-1].last
    assert (first, last) == (0, WIDTH - 1)


# Guards against logs that don't show that a change waited for a grant of the
# predecessor.
def test_change_after_a_takeover_names_the_assumed_grant(simulation):
    simulation.silent = {simulation.upstreams[0].run}
    simulation.run(PREDECESSOR_S + TIMES.grant_travel_s + 5.0)
    change, claims = simulation.changes[0], simulation.claims[0]
    assert change.cause is CAUSE.LEASE_OVER
    assert claims[0].is_assumed
    assert claims[0].closed_at == PREDECESSOR_S
    assert claims[0].end == change.lease_end


def test_change_after_the_end_of_a_run_does_not_count_its_grants(simulation):
    simulation.run(1.0)
    lost = simulation.upstreams.pop(0).run
    simulation.coordinator.end_run(lost)
    simulation.run(1.0)
    assert {change.cause for change in simulation.changes} == {CAUSE.RUN_ENDED}
    for change, claims in zip(
        simulation.changes, simulation.claims, strict=True
    ):
        assert change.old == lost
        assert change.lease_end == 0.0
        assert {claim.state for claim in claims} == {STATE.RUN_ENDED}


def test_change_to_the_next_run_of_an_upstream_names_both(simulation):
    simulation.run(1.0)
    before = simulation.upstreams[0].run
    simulation.upstreams[0] = build(0, started_ms=2)
    simulation.run(1.0)
    (change,) = simulation.changes
    assert change.cause is CAUSE.FOLLOWER
    assert (change.old, change.new) == (before, simulation.upstreams[0].run)
    assert change.lease_end == 0.0


def test_change_of_unowned_keys_has_no_old_owner():
    simulation = Simulation(is_owned=False)
    simulation.run(2.0)
    assert {change.cause for change in simulation.changes} == {CAUSE.UNOWNED}
    assert {change.old for change in simulation.changes} == {None}
    assert not any(simulation.claims)


def test_change_after_a_release_has_the_token_of_the_release(simulation):
    simulation.run(1.0)
    leaving = simulation.upstreams[0].run
    simulation.upstreams[0] = sycamoreloft_direct.Upstream(
        "u0", 1, "10.0.0.1:1", SERVICE, "z", 6, True
    )
    simulation.run(2.0)
    releases = {
        order.first: order.fence
        for order in simulation.orders
        if isinstance(order, sycamoreloft_direct.SendRelease)
    }
    assert simulation.changes
    for change in simulation.changes:
        assert change.cause is CAUSE.RELEASED
        assert change.old == leaving
        assert change.old_fence == releases[change.first]
        assert change.refused_fence == change.old_fence < change.new_fence


# Guards against changes that are reported twice or accumulate.
def test_a_change_is_reported_once(simulation):
    simulation.run(1.0)
    simulation.coordinator.end_run(simulation.upstreams.pop(0).run)
    simulation.run(2.0)
    keys = [(change.first, change.last) for change in simulation.changes]
    assert len(keys) == len(set(keys)) > 0
    simulation.step()
    assert not simulation.coordinator.owner_changes


def test_claims_with_open_calls_are_listed_first():
    ends = _lease_ends.LeaseEnds(TIMES)
    run = sycamoreloft_direct.UpstreamRun("u0", 1)
    ends.assume_earlier_grants(SERVICE, 0, 9, run, 5, 100.0)
    ends.open_call(
        sycamoreloft_direct.SendGrant(1, run, SERVICE, 0, 9, 10, 3.0, "")
    )
    claims = ends.list_claims(SERVICE, 5, 6, 0)
    assert [claim.fence for claim in claims] == [10, 5]
    assert claims[0].closed_at is None
    assert claims[0].end == _lease_ends.OPEN_END
    assert not ends.list_claims(SERVICE, 10, 19, 0)
    assert not ends.list_claims("other", 0, 9, 0)


# Guards against memory that grows with every grant of a coordinator.
def test_leases_that_ended_long_ago_are_dropped():
    ends = _lease_ends.LeaseEnds(TIMES)
    run = sycamoreloft_direct.UpstreamRun("u0", 1)
    for order in range(1, 1_000):
        ends.open_call(
            sycamoreloft_direct.SendGrant(
                order, run, SERVICE, 0, 9, order, 3.0, ""
            )
        )
        ends.close_call(order, order * 0.5, True)
    kept_s = _lease_ends.ENDED_LEASE_HISTORY_S + 2 * TIMES.hold_s + 1.0
    assert len(ends.list_claims(SERVICE, 0, 9, 0)) < kept_s / 0.5


# Guards against searches that take longer with each renewal, and against
# forgetting a renewal that is given up without an answer and lasts longer than
# the next one.
def test_a_renewal_replaces_the_one_before_unless_that_lasts_longer():
    ends = _lease_ends.LeaseEnds(TIMES)
    run = sycamoreloft_direct.UpstreamRun("u0", 1)

    def renew(order, now, hold_s, last=9):
        ends.open_call(
            sycamoreloft_direct.SendGrant(
                order, run, SERVICE, 0, last, order, hold_s, "", is_renewal=True
            )
        )
        ends.close_call(order, now, True)
        return [claim.fence for claim in ends.list_claims(SERVICE, 0, last, 0)]

    assert renew(1, 0.0, 3.0) == [1]
    assert renew(2, 0.9, 3.0) == [2]
    end = ends.compute_end(SERVICE, 0, 9, 0)
    assert renew(3, 1.0, 1.0) == [2, 3]
    assert ends.compute_end(SERVICE, 0, 9, 0) == end
    assert ends.compute_end(SERVICE, 0, 9, 2) < end
    assert renew(4, 1.8, 3.0) == [4, 2]
    assert renew(5, 2.7, 3.0, last=8) == [5, 4, 2]


# Guards against logging each renewal as if it were a first grant.
def test_only_the_first_grant_with_a_token_is_no_renewal(simulation):
    first = []

    def answer(command):
        if isinstance(command, sycamoreloft_direct.SendGrant):
            first.append(not command.is_renewal)
        Simulation._answer(simulation, command)

    simulation._answer = answer
    simulation.run(TIMES.renew_s / 2)
    assert first == [True] * 4
    simulation.run(5.0)
    assert not any(first[4:])
    del first[:]
    simulation.silent = {simulation.upstreams[0].run}
    simulation.run(1.2)
    simulation.silent = set()
    simulation.run(2.0)
    assert True in first


def test_keys_of_a_silent_owner_count_as_unheld(simulation):
    assert simulation.coordinator.count_unheld() == 0
    simulation.run(1.0)
    simulation.silent = {simulation.upstreams[0].run}
    simulation.run(1.0)
    assert simulation.coordinator.count_unheld() == WIDTH
    simulation.run(4.5)
    assert simulation.coordinator.count_unheld() == 0
