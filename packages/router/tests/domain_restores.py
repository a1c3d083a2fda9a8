"""Faults of simulated domains that lose what the store acknowledged."""

import asyncio

#: Time by which keys may be held later after a restore, in seconds: hosts that
#: know no map leave the lease to others for 2 s, and the wait for silent owners
#: begins with the election.
EXTRA_RECOVERY_S = 5.0


async def restore_store(world):
    """Restores the store from an older copy, often after an outage.

    Upstreams that started after the copy are missing in service discovery until
    their next heartbeat.
    """
    generator, store = world.generator, world.store
    outage_s = generator.choice((0.0, 0.5, 2.0, 4.0))
    age_s = generator.choice((0.3, 2.0, 5.0, 9.0, 60.0))
    world.log(f"restore after {outage_s:.1f}, {age_s:.1f} old")
    store.down = True
    await asyncio.sleep(outage_s)
    store.restore(age_s)
    for upstream in world.list_running_upstreams():
        if upstream.started_ms > (world.now() - age_s) * 1000:
            world.entries.pop(upstream.name, None)
    store.down = False


async def lose_power(world):
    """Kills all hosts at once, and starts them within a second."""
    world.log("power loss")
    await asyncio.gather(
        *(
            host.kill(world.generator.uniform(0.2, 1.0))
            for host in world.hosts.values()
        )
    )
