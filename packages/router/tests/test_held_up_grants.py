"""Grants that were on their way when a cut began, and arrive when it ends."""

import asyncio

import key_world
import pytest
import virtual_time

#: Seconds of a cut: longer than the wait for the lease of a silent owner.
CUT_S = 6.0

#: Seconds after a cut within which all that it held up is delivered.
DELIVERED_S = 4.0


async def _cut_off(world, names):
    """Cuts upstreams from all hosts and from the store."""
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
    """Stops the coordinator while its lost owners are still cut off."""
    await asyncio.sleep(CUT_S - 1.0)
    for host in world.hosts.values():
        if host.coordinator_role.is_coordinator:
            await host.coordinator_role.stop()
            host.kill()
            return


async def _play(seed, *, replaces_coordinator):
    world = key_world.World(seed)
    await asyncio.sleep(6.0)
    world.slow_share = 0.1
    world.held_share = 0.5
    names = world.generator.sample(sorted(world.upstreams), 2)
    steps = [_cut_off(world, names)]
    if replaces_coordinator:
        steps.append(_replace_coordinator(world))
    await asyncio.gather(*steps)
    await asyncio.sleep(DELIVERED_S)
    world.calm()
    assert not world.problems, world.problems[:3]


# Guards against an upstream that holds keys again which others have by now,
# because a grant from before a cut reaches it after the cut.
@pytest.mark.parametrize("seed", range(10))
def test_a_grant_that_a_cut_held_up_gives_no_second_owner(seed):
    virtual_time.run(_play(seed, replaces_coordinator=False))


# Guards against the same where the coordinator that took the keys away has
# been replaced when the cut ends.
@pytest.mark.parametrize("seed", range(10))
def test_a_new_coordinator_fences_upstreams_without_keys(seed):
    virtual_time.run(_play(seed, replaces_coordinator=True))
