"""Unexpected errors in the work of the coordinator."""

import asyncio

import key_world
import pytest
import virtual_time

import sycamoreloft_direct


def find_coordinator(world):
    return next(
        host
        for host in world.hosts.values()
        if host.coordinator_role.is_coordinator
    )


def fail(*_arguments):
    raise RuntimeError("unexpected")


def fail_once(target, name):
    """Makes the next call of a method raise an error."""
    method = getattr(target, name)

    def fail_now(*arguments):
        setattr(target, name, method)
        fail()

    setattr(target, name, fail_now)


async def check_recovery(world):
    """Asserts that all keys are held again, also after the loss of an owner."""
    await asyncio.sleep(key_world.RECOVERY_S)
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT
    world.upstreams["u0"].up = world.upstreams["u0"].listed = False
    await asyncio.sleep(key_world.RECOVERY_S)
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT
    assert not world.problems, world.problems[:3]


@pytest.mark.parametrize("port", ["grant", "release", "write"])
@pytest.mark.parametrize("seed", range(3))
def test_an_error_in_a_call_leaves_no_keys_without_an_owner(port, seed):
    """Guards against orders and writes that are never finished after an error.

    Their keys would stay without an owner.
    """

    async def main():
        world = key_world.World(seed, hosts=3)
        await asyncio.sleep(6.0)
        for host in world.hosts.values():
            platform = host.coordinator_role._platform
            target = (
                platform.orders
                if port in ("grant", "release")
                else platform.records
            )
            fail_once(target, port)
        # Makes keys move, so that every port is called.
        world.start_upstream("u9")
        world.upstreams["u1"].draining = True
        await check_recovery(world)

    virtual_time.run(main())


@pytest.mark.parametrize("seed", range(3))
def test_a_coordinator_that_cannot_decide_is_replaced(seed):
    """Guards against processes that end when a decision about keys fails."""

    async def main():
        world = key_world.World(seed, hosts=3)
        await asyncio.sleep(6.0)
        broken = find_coordinator(world)
        broken.coordinator_role._tenure._coordinator.tick = fail
        await check_recovery(world)
        assert not broken.task.done()

    virtual_time.run(main())
