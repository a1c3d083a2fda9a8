"""Ends of key leases when orders arrive as late as their timeouts allow.

A lease counts from the arrival of its grant. Before it gives the keys of a
silent owner to another, a coordinator has to wait for the end of a lease that
began at the latest possible arrival of a grant.
"""

import asyncio

import key_world
import pytest
import virtual_time


async def _lose_owner(world):
    """Cuts an upstream off from all hosts; its entry may expire meanwhile."""
    name = world.generator.choice(sorted(world.upstreams))
    upstream = world.upstreams[name]
    for host in world.hosts.values():
        host.unreachable = host.unreachable | {name}
    await asyncio.sleep(world.generator.uniform(0.3, 2.6))
    if world.generator.random() < 0.5:
        upstream.listed = False
    await asyncio.sleep(6.0)
    upstream.listed = True
    for host in world.hosts.values():
        host.unreachable = host.unreachable - {name}


async def _cut_briefly(world):
    """Cuts an upstream off from all hosts for about an order's timeout."""
    name = world.generator.choice(sorted(world.upstreams))
    for host in world.hosts.values():
        host.unreachable = host.unreachable | {name}
    await asyncio.sleep(world.generator.uniform(0.1, 0.8))
    for host in world.hosts.values():
        host.unreachable = host.unreachable - {name}


async def _change_coordinator(world):
    for host in world.hosts.values():
        if host.coordinator_role.is_coordinator:
            host.cut_from_store = True
            await asyncio.sleep(world.generator.uniform(1.0, 7.0))
            host.cut_from_store = False


async def _stop_coordinator(world):
    for host in world.hosts.values():
        if host.coordinator_role.is_coordinator:
            await host.coordinator_role.stop()
            await asyncio.sleep(0.2)
            host.kill()
            await asyncio.sleep(0.8)
            host.start()
            return


async def _lose_owner_and_coordinator(world):
    await asyncio.gather(_lose_owner(world), _change_coordinator(world))


async def _roll(world):
    """Restarts the hosts in turn, each gracefully."""
    for host in list(world.hosts.values()):
        await host.coordinator_role.stop()
        await asyncio.sleep(world.generator.uniform(0.1, 0.6))
        host.kill()
        await asyncio.sleep(world.generator.uniform(0.2, 0.8))
        host.start()


async def _cut_failure_domain(world, with_coordinator=True):
    """Cuts a host and two upstreams off from the store and all others."""
    hosts = list(world.hosts.values())
    inside = [host for host in hosts if host.coordinator_role.is_coordinator][
        :1
    ]
    if not inside or not with_coordinator:
        inside = [world.generator.choice(hosts)]
    near = set(world.generator.sample(sorted(world.upstreams), 2))
    for host in hosts:
        is_inside = host in inside
        host.is_isolated = host.cut_from_store = is_inside
        host.unreachable = set(world.upstreams) - near if is_inside else near
    await asyncio.sleep(world.generator.uniform(3.0, 6.0))
    for host in hosts:
        host.is_isolated = host.cut_from_store = False
        host.unreachable = set()


async def _cut_failure_domain_while_rolling(world):
    rolling = asyncio.create_task(_roll(world))
    await asyncio.sleep(world.generator.uniform(0.0, 2.0))
    await _cut_failure_domain(world, world.generator.random() < 0.7)
    await rolling


async def _move_keys(world):
    """Makes changing keys hot, so that the coordinator moves keys."""
    while True:
        first = world.generator.randrange(64_000)
        for _ in range(20):
            for host in world.hosts.values():
                for _ in range(6):
                    host.coordinator_role.observe_request(
                        key_world.SERVICE,
                        first + world.generator.randrange(400),
                    )
            await asyncio.sleep(0.1)


async def _run_faults(seed, faults):
    world = key_world.World(seed)
    await asyncio.sleep(6.0)
    world.slow_share = 0.3
    load = world.loop.create_task(_move_keys(world))
    for fault in faults:
        await fault(world)
        await asyncio.sleep(world.generator.uniform(0.0, 3.0))
    world.end_faults()
    load.cancel()
    await asyncio.sleep(key_world.RECOVERY_S)
    assert not world.problems, world.problems[:3]


# Guards against two owners of a key: the wait for a lost owner once counted
# from the decision on its last grant and not from the grant's latest arrival.
@pytest.mark.parametrize(
    "fault",
    [
        _lose_owner,
        _cut_briefly,
        _change_coordinator,
        _stop_coordinator,
        _lose_owner_and_coordinator,
        _cut_failure_domain,
        _cut_failure_domain_while_rolling,
    ],
)
@pytest.mark.parametrize("seed", range(8))
def test_late_orders_give_keys_no_second_owner(seed, fault):
    virtual_time.run(_run_faults(seed, (fault,) * 4))
