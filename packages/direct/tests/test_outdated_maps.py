"""A coordinator whose map of keys may be older than what was granted."""

import pytest

import sycamoreloft_direct

SERVICE = "boards"
TICK_S = 0.05
HALF = sycamoreloft_direct.KEY_COUNT // 2
LAST = sycamoreloft_direct.KEY_COUNT - 1
TRUST = sycamoreloft_direct.MapTrust

#: Time for which an earlier coordinator may renew leases, in seconds.
EARLIER_S = 13.6

#: Longest time from the decision on a grant to the end of its lease, in
#: seconds: dispatch 0.25, call 0.6, margin 0.1, wait for a slot of a full
#: upstream 1.5, lease 3.0 by a clock that is 2 % slow.
LONGEST_LEASE_S = 5.51


def build(number):
    return sycamoreloft_direct.Upstream(
        f"u{number}", 1, f"10.0.0.{number}:1", SERVICE, "z", 6, False
    )


class Successor:
    """A coordinator that starts from a map with two owners.

    A third upstream is listed, and may hold any keys.
    """

    def __init__(self, trust):
        self.upstreams = [build(number) for number in range(3)]
        ranges = (
            sycamoreloft_direct.KeyRange(0, HALF - 1, self.upstreams[0].run),
            sycamoreloft_direct.KeyRange(HALF, LAST, self.upstreams[1].run),
        )
        keys = sycamoreloft_direct.ServiceKeys(SERVICE, ranges)
        self.now = 0.0
        self.silent = set()
        self.orders = []
        self.coordinator = sycamoreloft_direct.KeyCoordinator(
            sycamoreloft_direct.KeyMap(65_537, 1, {SERVICE: keys}),
            0.0,
            EARLIER_S,
            sycamoreloft_direct.LeaseTimes(),
            trust,
        )

    def run_until_granted(self, limit_s):
        """Runs until the first grant; returns when it was, or None."""
        while self.now < limit_s:
            self.now += TICK_S
            self.coordinator.update_upstreams(
                self.upstreams, {SERVICE}, self.now
            )
            for command in self.coordinator.tick(self.now, True, True):
                self.orders.append(command)
                if not isinstance(command, sycamoreloft_direct.SendRelease):
                    return self.now
                answer = None if command.run.id in self.silent else "h"
                self.coordinator.finish_release(command.order, answer, self.now)
        return None

    def list_released(self, number):
        """Returns the keys that an upstream had to release, as ranges."""
        return {
            (order.first, order.last)
            for order in self.orders
            if isinstance(order, sycamoreloft_direct.SendRelease)
            and order.run.id == f"u{number}"
        }


# Guards against a second owner: each upstream has to give up what the map does
# not assign to it before any key is granted. It keeps what the map assigns.
def test_upstreams_release_the_keys_of_others_before_the_first_grant():
    successor = Successor(TRUST.VOUCHED)
    granted_at = successor.run_until_granted(5.0)
    assert granted_at is not None
    assert granted_at <= 4 * TICK_S
    assert successor.list_released(0) == {(HALF, LAST)}
    assert successor.list_released(1) == {(0, HALF - 1)}
    assert successor.list_released(2) == {(0, LAST)}
    assert not successor.coordinator.map_check.is_open


# Guards against releases where the store has recorded the map: they cost a
# call to each upstream at each change of the coordinator.
def test_recorded_map_is_granted_at_once():
    successor = Successor(TRUST.RECORDED)
    assert successor.run_until_granted(5.0) == TICK_S
    assert not successor.list_released(0)


# Guards against all keys out of service for one upstream that does not answer,
# where a live host has heard the map.
def test_wait_for_a_silent_upstream_is_short_for_a_vouched_map():
    successor = Successor(TRUST.VOUCHED)
    successor.silent = {"u2"}
    granted_at = successor.run_until_granted(5.0)
    assert granted_at == pytest.approx(
        sycamoreloft_direct.VOUCHED_WAIT_S, abs=2 * TICK_S
    )
    (unanswered,) = successor.coordinator.map_check.unanswered
    assert unanswered.id == "u2"


# Guards against keys that an upstream holds which is not listed: the store
# may have lost its entry as well.
def test_unvouched_map_is_not_granted_before_the_longest_lease_is_over():
    successor = Successor(TRUST.UNVOUCHED)
    granted_at = successor.run_until_granted(30.0)
    assert granted_at == pytest.approx(LONGEST_LEASE_S, abs=2 * TICK_S)


# Guards against keys that a silent upstream holds under renewals of an earlier
# coordinator which is cut off from the store.
def test_unvouched_map_waits_for_the_earlier_coordinator_of_a_silent_one():
    successor = Successor(TRUST.UNVOUCHED)
    successor.silent = {"u2"}
    granted_at = successor.run_until_granted(30.0)
    assert granted_at == pytest.approx(
        EARLIER_S + LONGEST_LEASE_S, abs=2 * TICK_S
    )


# Guards against an upstream that is listed again only after the grants, and
# goes on holding keys of others.
def test_upstream_that_is_listed_later_releases_the_keys_of_others():
    successor = Successor(TRUST.VOUCHED)
    late = successor.upstreams.pop()
    assert successor.run_until_granted(5.0) is not None
    successor.upstreams.append(late)
    successor.coordinator.update_upstreams(
        successor.upstreams, {SERVICE}, successor.now
    )
    commands = successor.coordinator.tick(successor.now, True, True)
    assert any(
        isinstance(command, sycamoreloft_direct.SendRelease)
        and command.run == late.run
        and (command.first, command.last) == (0, LAST)
        for command in commands
    )
