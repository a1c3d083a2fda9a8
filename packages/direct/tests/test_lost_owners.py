"""Reassignment of the keys of lost owners by a new coordinator.

If the coordinator and some owners are lost together, the successor has to wait
for leases that the predecessor may have granted, and requests for the keys are
refused meanwhile. Knowing that an owner's run has ended shortens the wait.
"""

import pytest

import sycamoreloft_direct

SERVICE = "boards"
TICK_S = 0.05

#: Time for which the predecessor may still renew leases, in seconds.
PREDECESSOR_S = 12.0


def build(number):
    return sycamoreloft_direct.Upstream(
        f"u{number}", 1, f"10.0.0.{number}:1", SERVICE, "z", 6, False
    )


class Succession:
    """A coordinator that replaces a lost one; the first owner is lost too."""

    def __init__(self):
        self.upstreams = [build(number) for number in range(4)]
        self.lost = self.upstreams[0].run
        width = sycamoreloft_direct.KEY_COUNT // 4
        ranges = tuple(
            sycamoreloft_direct.KeyRange(
                number * width, (number + 1) * width - 1, entry.run
            )
            for number, entry in enumerate(self.upstreams)
        )
        keys = sycamoreloft_direct.ServiceKeys(SERVICE, ranges)
        #: Entries in service discovery.
        self.listed = self.upstreams[1:]
        self.now = 0.0
        self.coordinator = sycamoreloft_direct.KeyCoordinator(
            sycamoreloft_direct.KeyMap(2, 1, {SERVICE: keys}),
            self.now,
            self.now + PREDECESSOR_S,
            sycamoreloft_direct.LeaseTimes(),
        )

    def run(self, seconds):
        """Runs ticks; answers all orders except those to the lost owner."""
        until = self.now + seconds
        results = sycamoreloft_direct.GrantResult
        while self.now < until:
            self.now += TICK_S
            self.coordinator.update_upstreams(self.listed, {SERVICE}, self.now)
            for command in self.coordinator.tick(self.now, True, True):
                if isinstance(command, sycamoreloft_direct.WriteMap):
                    self.coordinator.finish_write(True)
                    continue
                is_lost = command.run == self.lost
                result = results.UNREACHED if is_lost else results.ACCEPTED
                self.coordinator.finish_grant(command.order, result, self.now)

    def is_lost_owner_recorded(self):
        """Returns whether the lost owner is still recorded for key 0."""
        owner = self.coordinator.key_map.find_owner(SERVICE, 0)
        return owner == self.lost


@pytest.fixture
def succession():
    return Succession()


def test_keys_of_a_silent_owner_wait_for_the_predecessor(succession):
    succession.run(PREDECESSOR_S)
    assert succession.is_lost_owner_recorded()
    succession.run(6.0)
    assert not succession.is_lost_owner_recorded()


def test_keys_of_an_owner_that_surely_ended_do_not_wait(succession):
    succession.run(1.0)
    succession.coordinator.end_run(succession.lost)
    succession.run(1.0)
    assert not succession.is_lost_owner_recorded()


# Guards against keys that are given back to a run that has ended, as long as
# service discovery lists it.
def test_an_ended_run_that_is_still_listed_gets_no_keys(succession):
    succession.listed = succession.upstreams
    succession.run(1.0)
    succession.coordinator.end_run(succession.lost)
    succession.run(1.0)
    assert not succession.is_lost_owner_recorded()
    succession.run(10.0)
    assert not succession.is_lost_owner_recorded()
