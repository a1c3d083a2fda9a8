"""Patterns of overlapping faults, and the run of one of them."""

import asyncio

import domain_faults
import domain_restores
import domain_world
import key_world
import world_store


async def _cut_while_rolling(world):
    """Cuts a domain off during a rolling restart, as in a past incident."""
    generator = world.generator

    async def cut():
        await asyncio.sleep(generator.uniform(0.0, 6.0))
        await domain_faults.cut_domain(
            world, generator.uniform(2.5, 5.0), "both"
        )
        await asyncio.sleep(generator.uniform(0.0, 3.0))
        await domain_faults.lose_segments(world)

    await asyncio.gather(
        domain_faults.stop_in_turn(world, generator.choice((0.4, 0.8, 1.5))),
        cut(),
    )


async def _cut_while_coordinators_stop(world):
    generator = world.generator

    async def cut():
        await asyncio.sleep(generator.uniform(0.0, 3.0))
        await domain_faults.cut_domain(world)

    await asyncio.gather(
        domain_faults.stop_coordinators(world, generator.randint(1, 6)), cut()
    )


async def _cut_while_candidates_stop(world):
    generator = world.generator

    async def cut():
        await asyncio.sleep(generator.uniform(0.0, 4.0))
        domain = generator.choice(world.domains)
        await domain_faults.cut_domain(
            world, generator.uniform(2.5, 6.0), "both", domain
        )

    world.store_delay_s = generator.choice((0.0, 0.1, 0.4))
    await asyncio.gather(domain_faults.stop_candidates(world), cut())


async def _cut_while_coordinators_are_killed(world):
    generator = world.generator
    domain = generator.choice(world.domains)
    cut = asyncio.create_task(
        domain_faults.cut_domain(
            world, generator.uniform(2.0, 6.0), "both", domain
        )
    )
    await asyncio.sleep(generator.uniform(0.3, 2.0))
    for host in world.list_coordinators():
        if host.domain != domain:
            world.log(f"kill {host.name}")
            await host.kill(generator.uniform(0.2, 0.9))
    await cut


async def _cut_while_upstreams_are_full(world):
    """Cuts domains off while grants wait at upstreams for a free slot."""
    generator = world.generator

    async def cut():
        for _ in range(4):
            await asyncio.sleep(generator.uniform(0.2, 2.0))
            await domain_faults.cut_domain(
                world, generator.uniform(1.0, 6.0), "both"
            )

    world.slot_wait_s = generator.uniform(
        0.3, domain_faults.MAXIMUM_SLOT_WAIT_S
    )
    await cut()


async def _change_coordinators(world):
    """Ends coordinators in all ways while upstreams restart and drain."""
    await _run_overlapping(
        world,
        (
            domain_faults.stop_coordinators,
            domain_faults.kill_hosts,
            domain_faults.freeze_hosts,
            domain_faults.cut_host,
            domain_faults.cut_domain,
            domain_faults.disturb_store,
            domain_faults.restart_upstream,
            domain_faults.drain_upstream,
        ),
        6,
    )


async def _mix(world):
    await _run_overlapping(
        world,
        (
            domain_faults.stop_in_turn,
            domain_faults.stop_coordinators,
            domain_faults.kill_hosts,
            domain_faults.freeze_hosts,
            domain_faults.delay_timers,
            domain_faults.cut_domain,
            domain_faults.cut_domain,
            domain_faults.cut_host,
            domain_faults.cut_upstream,
            domain_faults.lose_segments,
            domain_faults.disturb_store,
            domain_faults.restart_upstream,
            domain_faults.drain_upstream,
            domain_faults.delay_grants,
        ),
        7,
    )


async def _stop_beside_store_faults(world):
    await _run_overlapping(
        world,
        (
            domain_faults.stop_coordinators,
            domain_faults.stop_in_turn,
            domain_faults.disturb_store,
            domain_faults.delay_timers,
        ),
        5,
    )


async def _restart_upstreams_beside_changes(world):
    await _run_overlapping(
        world,
        (
            domain_faults.stop_coordinators,
            domain_faults.restart_upstream,
            domain_faults.restart_upstream,
            domain_faults.restart_upstream,
            domain_faults.cut_domain,
            domain_faults.kill_hosts,
        ),
        7,
    )


async def _restore_beside_changes(world):
    """Restores the store while coordinators end and upstreams change."""
    await _run_overlapping(
        world,
        (
            domain_restores.restore_store,
            domain_restores.restore_store,
            domain_restores.restore_store,
            domain_faults.stop_coordinators,
            domain_faults.kill_hosts,
            domain_faults.kill_hosts,
            domain_faults.freeze_hosts,
            domain_faults.cut_host,
            domain_faults.cut_domain,
            domain_faults.drain_upstream,
            domain_faults.restart_upstream,
        ),
        7,
    )


async def _restore_beside_power_loss(world):
    """Restores the store while all hosts lose power."""
    changes = world.loop.create_task(
        _run_overlapping(
            world,
            (domain_faults.drain_upstream, domain_faults.restart_upstream),
            3,
        )
    )
    await asyncio.sleep(world.generator.uniform(0.0, 6.0))
    restore = world.loop.create_task(domain_restores.restore_store(world))
    await asyncio.sleep(world.generator.uniform(0.0, 4.0))
    await domain_restores.lose_power(world)
    await asyncio.gather(changes, restore)


async def _run_overlapping(world, faults, count):
    running = []
    for _ in range(count):
        fault = world.generator.choice(faults)
        running.append(world.loop.create_task(fault(world)))
        await asyncio.sleep(world.generator.uniform(0.0, 2.5))
    await asyncio.gather(*running)


PATTERNS = {
    "cut-while-rolling": _cut_while_rolling,
    "cut-while-coordinators-stop": _cut_while_coordinators_stop,
    "cut-while-bidders-stop": _cut_while_candidates_stop,
    "cut-while-coordinators-are-killed": _cut_while_coordinators_are_killed,
    "cut-while-upstreams-are-full": _cut_while_upstreams_are_full,
    "coordinator-changes": _change_coordinators,
    "mix": _mix,
    "stops-beside-store-faults": _stop_beside_store_faults,
    "upstream-restarts": _restart_upstreams_beside_changes,
    "restores": _restore_beside_changes,
    "restores-beside-power-loss": _restore_beside_power_loss,
}


async def run_pattern(
    seed, pattern, exit_resets=True, restart_s=domain_faults.RESTART_S
):
    """Runs a pattern of faults, and waits until all keys should be held again.

    Args:
        seed: Seed of all random choices.
        pattern: Name of the pattern, a key of `PATTERNS`.
        exit_resets: Whether the end of a process drops the bytes that it sent
            and that a blocked link delays.
        restart_s: Minimum time from the crash of an upstream to its restart,
            in seconds.

    Returns:
        The simulation, to read its problems and events.
    """
    world = domain_world.World(seed, exit_resets=exit_resets)
    world.restart_s = restart_s
    await asyncio.sleep(domain_faults.START_S)
    load = world.loop.create_task(domain_faults.send_requests(world))
    await PATTERNS[pattern](world)
    world.end_faults()
    load.cancel()
    await asyncio.sleep(key_world.RECOVERY_S)
    if world.store.era > world_store.FIRST_ERA:
        await asyncio.sleep(domain_restores.EXTRA_RECOVERY_S)
    return world
