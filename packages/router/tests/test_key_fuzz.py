"""Fuzz tests of key ownership with real coordinators and random faults."""

import asyncio

import key_world
import pytest
import virtual_time

import sycamoreloft_direct


async def _crash(world, seconds, gone):
    upstream = world.generator.choice(list(world.upstreams.values()))
    upstream.up = False
    await asyncio.sleep(min(seconds, 2.6))
    upstream.listed = False
    await asyncio.sleep(max(0.0, seconds - 2.6))
    if world.upstreams.get(upstream.name) is not upstream:
        # Another fault has replaced the upstream meanwhile.
        return
    del world.upstreams[upstream.name]
    world.start_upstream(f"{upstream.name}x" if gone else upstream.name)


async def _drain(world):
    upstream = world.generator.choice(list(world.upstreams.values()))
    upstream.draining = True
    await asyncio.sleep(4.0)
    upstream.up = False
    upstream.listed = False
    if world.upstreams.get(upstream.name) is upstream:
        del world.upstreams[upstream.name]
        world.start_upstream(f"{upstream.name}d")


async def _store_outage(world, seconds):
    world.store.down = True
    await asyncio.sleep(seconds)
    world.store.down = False


async def _cut_host(world, seconds):
    host = world.generator.choice(list(world.hosts.values()))
    host.cut_from_store = True
    if world.generator.random() < 0.5:
        host.unreachable = set(
            world.generator.sample(sorted(world.upstreams), 2)
        )
    await asyncio.sleep(seconds)
    host.cut_from_store = False
    host.unreachable = set()


async def _freeze_host(world, seconds):
    host = world.generator.choice(list(world.hosts.values()))
    host.frozen_until = world.now() + seconds
    await asyncio.sleep(seconds)


async def _kill_hosts(world, share, seconds):
    for host in world.hosts.values():
        if world.generator.random() < share:
            host.kill()
    await asyncio.sleep(seconds)
    for host in world.hosts.values():
        if host.task.done() or host.task.cancelling():
            host.start()


async def _lose_writes(world, seconds):
    world.store.lose_share = 0.3
    await asyncio.sleep(seconds)
    world.store.lose_share = 0.0


async def _delay_grants(world, seconds):
    world.delayed_share = world.generator.choice((0.1, 0.3, 0.5))
    await asyncio.sleep(seconds)
    world.delayed_share = 0.0


def _choose_fault(world):
    generator = world.generator
    seconds = generator.uniform(0.5, 9.0)
    return generator.choice(
        (
            lambda: _crash(world, seconds, False),
            lambda: _crash(world, seconds, True),
            lambda: _drain(world),
            lambda: _store_outage(world, seconds),
            lambda: _cut_host(world, seconds),
            lambda: _freeze_host(world, seconds),
            lambda: _kill_hosts(world, generator.choice((0.3, 1.0)), 0.8),
            lambda: _lose_writes(world, seconds),
            lambda: _delay_grants(world, seconds),
        )
    )()


async def _load_keys(world):
    """Makes changing keys hot, so that the coordinator moves keys."""
    hot = 0
    while True:
        if world.generator.random() < 0.02:
            hot = world.generator.randrange(65_000)
        for host in world.hosts.values():
            for _ in range(6):
                host.coordinator_role.observe_request(
                    key_world.SERVICE, hot + world.generator.randrange(200)
                )
        await asyncio.sleep(0.1)


async def _run_faults(seed, faults):
    world = key_world.World(seed)
    await asyncio.sleep(6.0)
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT
    load = world.loop.create_task(_load_keys(world))
    running = []
    for _ in range(faults):
        running.append(world.loop.create_task(_choose_fault(world)))
        await asyncio.sleep(world.generator.uniform(0.0, 5.0))
    await asyncio.gather(*running)
    world.end_faults()
    load.cancel()
    await asyncio.sleep(key_world.RECOVERY_S)
    assert not world.problems, world.problems[:3]
    assert world.count_served() == sycamoreloft_direct.KEY_COUNT


@pytest.mark.parametrize("seed", range(40))
def test_keys_never_have_two_owners(seed):
    virtual_time.run(_run_faults(seed, 6))
