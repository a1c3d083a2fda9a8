"""Work of a run that took a renewal meant for the run before it."""

import pytest

import sycamoreloft_direct

SERVICE = "boards"
TICK_S = 0.05
RESULTS = sycamoreloft_direct.GrantResult
HOLD_S = sycamoreloft_direct.LeaseTimes().hold_s


def build(name, started_ms, *, is_draining=False):
    return sycamoreloft_direct.Upstream(
        name, started_ms, f"{name}:1", SERVICE, "z", 6, is_draining
    )


# Guards against keys that are given on while their owner works on a request.
# A run that starts before service discovery lists it takes a renewal that is
# meant for the run before it. Its work keeps that lease of 3 s, also if the
# first grant to the run itself has a shorter lease.
@pytest.mark.parametrize("failed", range(1, 8))
def test_keys_wait_for_work_under_a_renewal_for_the_run_before(failed):
    old, new, other = build("u0", 1), build("u0", 2), build("u1", 1)
    last = sycamoreloft_direct.KEY_COUNT - 1
    keys = sycamoreloft_direct.ServiceKeys(
        SERVICE, (sycamoreloft_direct.KeyRange(0, last, old.run),)
    )
    coordinator = sycamoreloft_direct.KeyCoordinator(
        sycamoreloft_direct.KeyMap(2, 1, {SERVICE: keys}),
        0.0,
        0.0,
        sycamoreloft_direct.LeaseTimes(),
    )
    now, taken_at, listed, log = 0.0, 0.0, [old], []
    tries = 0
    while now < 60.0:
        now += TICK_S
        coordinator.update_upstreams(listed, {SERVICE}, now)
        for command in coordinator.tick(now, True, True):
            if isinstance(command, sycamoreloft_direct.WriteMap):
                coordinator.finish_write(True)
            elif isinstance(command, sycamoreloft_direct.SendRelease):
                handover = "" if command.run == other.run else None
                coordinator.finish_release(command.order, handover, now)
            else:
                log.append((round(now, 2), command.run, command.hold_s))
                if command.run == other.run:
                    # The work began just before the lease was replaced.
                    assert now >= taken_at + HOLD_S, log
                    return
                if command.run == old.run:
                    result, is_renewal = RESULTS.ACCEPTED, command.is_renewal
                    if now > 20.0 and is_renewal:
                        # The new run took this one.
                        taken_at, listed = now, [new, other]
                else:
                    tries += 1
                    result = (
                        RESULTS.ACCEPTED
                        if tries == failed + 1
                        else RESULTS.UNREACHED
                    )
                coordinator.finish_grant(command.order, result, now)
    pytest.fail(f"the keys never moved: {log[-10:]}")
