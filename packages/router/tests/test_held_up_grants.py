"""Grants in flight that a network partition delays until its end."""

import asyncio

import key_world
import pytest
import virtual_time

#: Duration of a network partition, in seconds: longer than the wait for the
#: lease of a silent owner.
CUT_S = 6.0

#: Seconds after a network partition within which delayed grants are delivered.
DELIVERED_S = 4.0


async def _cut_off(world, names):
    """Cuts upstreams off from all hosts and from the store."""
    for host in world.hosts.values():
        host.unreachable = set(names)
    await asyncio.sleep(2.6)
    for name in names:
        world.upstreams[name].listed = False
    await asyncio.sleep(CUT_S - 2.6)
    for host in world.hosts.values():
        host.unreachable = set()
    await asyncio.sleep(0.5)
    for name in names:
        world.upstreams[name].listed = True


async def _replace_coordinator(world):
    """Stops the coordinator while the lost owners are still cut off."""
    await asyncio.sleep(CUT_S - 1.0)
    for host in world.hosts.values():
        if host.coordinator_role.is_coordinator:
            await host.coordinator_role.stop()
            host.kill()
            return


async def _run_faults(seed, *, replaces_coordinator):
    world = key_world.World(seed)
    await asyncio.sleep(6.0)
    world.slow_share = 0.1
    world.held_up_share = 0.5
    names = world.generator.sample(sorted(world.upstreams), 2)
    faults = [_cut_off(world, names)]
    if replaces_coordinator:
        faults.append(_replace_coordinator(world))
    await asyncio.gather(*faults)
    await asyncio.sleep(DELIVERED_S)
    world.end_faults()
    assert not world.problems, world.problems[:3]


# Guards against two owners of a key: a grant that was sent before a network
# partition reaches an upstream after it, when the keys have another owner.
@pytest.mark.parametrize("seed", range(10))
def test_a_grant_that_a_cut_held_up_gives_no_second_owner(seed):
    virtual_time.run(_run_faults(seed, replaces_coordinator=False))


# Guards against the same failure if the coordinator that gave the keys to
# another owner was replaced before the end of the network partition.
@pytest.mark.parametrize("seed", range(10))
def test_a_new_coordinator_fences_upstreams_without_keys(seed):
    virtual_time.run(_run_faults(seed, replaces_coordinator=True))
