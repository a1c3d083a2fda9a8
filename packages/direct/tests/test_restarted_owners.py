"""Owners that restart with the same identifier and lose their tokens."""

import pytest

import sycamoreloft_direct

SERVICE = "boards"
TICK_S = 0.05

#: Time for which the predecessor may still renew leases, in seconds.
PREDECESSOR_S = 12.0

RESULTS = sycamoreloft_direct.GrantResult


def build(name, started_ms):
    return sycamoreloft_direct.Upstream(
        name, started_ms, f"{name}:1", SERVICE, "z", 6, False
    )


class Coordination:
    """A coordinator that has a predecessor; two upstreams own all keys."""

    def __init__(self):
        self.upstreams = [build("u0", 1), build("u1", 1)]
        half = sycamoreloft_direct.KEY_COUNT // 2
        last = sycamoreloft_direct.KEY_COUNT - 1
        ranges = (
            sycamoreloft_direct.KeyRange(0, half - 1, self.upstreams[0].run),
            sycamoreloft_direct.KeyRange(half, last, self.upstreams[1].run),
        )
        keys = sycamoreloft_direct.ServiceKeys(SERVICE, ranges)
        self.now = 0.0
        self.unreachable = set()
        self.refusing = set()
        self.is_confirmed = True
        self.grants = []
        self.releases = []
        self.coordinator = sycamoreloft_direct.KeyCoordinator(
            sycamoreloft_direct.KeyMap(2, 1, {SERVICE: keys}),
            self.now,
            self.now + PREDECESSOR_S,
            sycamoreloft_direct.LeaseTimes(),
        )

    def run(self, seconds):
        """Runs ticks; answers all orders except to unreachable upstreams."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            self.coordinator.update_upstreams(
                self.upstreams, {SERVICE}, self.now
            )
            for command in self.coordinator.tick(
                self.now, self.is_confirmed, True
            ):
                self._execute(command)

    def _execute(self, command):
        if isinstance(command, sycamoreloft_direct.WriteMap):
            self.coordinator.finish_write(True)
            return
        if isinstance(command, sycamoreloft_direct.SendRelease):
            self.releases.append(command)
            is_reached = command.run.id not in self.unreachable
            handover = "state" if is_reached else None
            self.coordinator.finish_release(command.order, handover, self.now)
            return
        self.grants.append(command)
        result = RESULTS.ACCEPTED
        if command.run.id in self.refusing:
            # The upstream does not answer later orders.
            result = RESULTS.FENCED
            self.unreachable.add(command.run.id)
            self.refusing.clear()
        elif command.run.id in self.unreachable:
            result = RESULTS.UNREACHED
        self.coordinator.finish_grant(command.order, result, self.now)

    def find_first_owner(self):
        """Returns the identifier of the recorded owner of the first key."""
        owner = self.coordinator.key_map.find_owner(SERVICE, 0)
        return owner.id if owner is not None else ""


@pytest.fixture
def coordination():
    return Coordination()


# Guards against two owners at once. The previous run would refuse late grants
# of the predecessor, but the new run does not know the token and accepts them.
def test_keys_of_a_restarted_silent_owner_are_kept_for_its_lease(coordination):
    coordination.run(1.0)
    coordination.upstreams[0] = build("u0", 2)
    coordination.unreachable.add("u0")
    coordination.run(PREDECESSOR_S - 1.0)
    assert coordination.find_first_owner() == "u0"
    coordination.run(6.0)
    assert coordination.find_first_owner() == "u1"


# Guards against two owners at once. A silent owner may have restarted and lost
# the token of a newer coordinator, and would accept a grant of this one.
def test_unconfirmed_coordinator_sends_no_grant_to_a_silent_owner(
    coordination,
):
    coordination.run(2.0)
    coordination.is_confirmed = False
    coordination.unreachable.add("u0")
    coordination.run(1.0)
    coordination.unreachable.clear()
    coordination.grants.clear()
    coordination.run(0.5)
    assert "u0" not in {command.run.id for command in coordination.grants}
    coordination.is_confirmed = True
    coordination.run(0.2)
    assert "u0" in {command.run.id for command in coordination.grants}


# Guards against a release for the previous run that arrives after the grant to
# the new run, which would then release its keys.
def test_restarted_owner_gets_its_keys_without_a_release(coordination):
    coordination.run(1.0)
    coordination.releases.clear()
    coordination.upstreams[0] = build("u0", 2)
    coordination.run(1.0)
    assert coordination.find_first_owner() == "u0"
    assert not coordination.releases


# Guards against counting the unanswered orders of the previous run against the
# new one: it would get a release instead of its keys, or a shortened lease.
@pytest.mark.parametrize("silent_s", [0.2, 0.5, 1.0, 1.5, 2.0])
def test_run_after_a_silent_one_gets_a_full_lease(coordination, silent_s):
    coordination.run(PREDECESSOR_S + 8.0)
    coordination.unreachable.add("u0")
    coordination.run(silent_s)
    coordination.unreachable.clear()
    coordination.grants.clear()
    coordination.releases.clear()
    coordination.upstreams[0] = build("u0", 2)
    coordination.run(0.3)
    holds = [
        command.hold_s
        for command in coordination.grants
        if command.run == coordination.upstreams[0].run
    ]
    assert holds[0] == sycamoreloft_direct.LeaseTimes().hold_s
    assert not coordination.releases
    assert coordination.find_first_owner() == "u0"


# Guards against two owners at once. The refusal may answer another renewal on
# the same connection, so this renewal may have been accepted.
def test_keys_are_kept_for_the_lease_after_a_refused_renewal(coordination):
    coordination.run(PREDECESSOR_S + 2.0)
    coordination.refusing.add("u0")
    while coordination.refusing:
        coordination.run(TICK_S)
    coordination.run(sycamoreloft_direct.LeaseTimes().hold_s)
    assert coordination.find_first_owner() == "u0"
    coordination.run(6.0)
    assert coordination.find_first_owner() == "u1"


# Guards against keys of a new run under the token that its previous run had: a
# run may end and the next one start between two renewals, before service
# discovery lists it.
def test_each_renewal_has_a_token_that_no_earlier_run_has_seen(coordination):
    coordination.run(2.0)
    seen = [
        command for command in coordination.grants if command.run.id == "u0"
    ]
    coordination.grants.clear()
    coordination.run(2.0)
    later = [
        command for command in coordination.grants if command.run.id == "u0"
    ]
    assert later
    assert min(command.fence for command in later) > max(
        command.fence for command in seen
    )
