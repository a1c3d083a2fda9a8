"""Faults for the simulated failure domains."""

import asyncio

import domain_upstreams
import key_world

#: Seconds until all keys are held for the first time.
START_S = 6.0

#: Minimum time from the crash of an upstream to its restart, in seconds.
RESTART_S = 1.0

#: Like `RESTART_S`, for upstreams that may restart between two renewals.
FAST_RESTART_S = 0.05

#: Maximum time from such a restart until service discovery lists the new run,
#: in seconds.
MAXIMUM_LISTING_DELAY_S = 1.0

#: Maximum time for which an order waits for a slot of a full upstream, in
#: seconds.
MAXIMUM_SLOT_WAIT_S = 2.0


# Hosts.


async def stop_in_turn(world, gap_s=1.5):
    """Stops all hosts in turn, like a rolling restart."""
    hosts = list(world.hosts.values())
    world.generator.shuffle(hosts)
    stops = []
    for host in hosts:
        world.log(f"stop {host.name}{' (leads)' * host.is_coordinator}")
        stops.append(world.loop.create_task(host.stop()))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*stops)


async def stop_coordinators(world, count=3):
    """Stops the coordinator, then its successors."""
    stops = []
    for _ in range(count):
        for host in world.list_coordinators():
            world.log(f"stop {host.name} (leads)")
            stops.append(world.loop.create_task(host.stop()))
        await asyncio.sleep(world.generator.uniform(0.05, 3.0))
    await asyncio.gather(*stops)


async def stop_candidates(world, seconds=6.0):
    """Stops the coordinator, then each host that tries to replace it."""
    stops = []
    ends_at = world.now() + seconds
    for host in world.list_coordinators():
        world.log(f"stop {host.name} (leads)")
        stops.append(world.loop.create_task(host.stop()))
    while world.now() < ends_at:
        for host in world.hosts.values():
            if (
                host.process.is_candidate
                and not host.is_coordinator
                and not host.is_stopping
            ):
                world.log(f"stop {host.name} (candidate)")
                stops.append(world.loop.create_task(host.stop()))
                await asyncio.sleep(world.generator.uniform(0.0, 1.5))
        await asyncio.sleep(0.004)
    await asyncio.gather(*stops)


async def kill_hosts(world):
    """Kills some hosts, often the coordinator."""
    hosts = world.list_coordinators()
    if not hosts or world.generator.random() < 0.3:
        hosts = world.generator.sample(list(world.hosts.values()), 3)
    for host in hosts:
        world.log(f"kill {host.name}")
    await asyncio.gather(
        *(host.kill(world.generator.uniform(0.2, 4.0)) for host in hosts)
    )


async def freeze_hosts(world):
    """Freezes a host, often the coordinator."""
    hosts = world.list_coordinators()
    if not hosts or world.generator.random() < 0.3:
        hosts = [world.generator.choice(list(world.hosts.values()))]
    seconds = world.generator.uniform(0.3, 9.0)
    for host in hosts:
        world.log(f"freeze {host.name} {seconds:.2f}")
        host.frozen_until = world.now() + seconds
    await asyncio.sleep(seconds)


async def delay_timers(world):
    """Delays timers and the sending of orders on all hosts."""
    world.log("starve")
    world.dispatch_delay_s = key_world.DISPATCH_LIMIT_S
    for host in world.hosts.values():
        host.timer_delay_s = world.generator.choice((0.0, 0.3, 1.0))
    await asyncio.sleep(world.generator.uniform(2.0, 10.0))
    world.dispatch_delay_s = 0.0
    for host in world.hosts.values():
        host.timer_delay_s = 0.0


# Links.


async def cut_domain(world, seconds=None, ways=None, domain=None):
    """Cuts a domain off from the store and all other domains.

    Args:
        world: The simulation.
        seconds: Duration; None draws one.
        ways: Direction, "in", "out" or "both"; None draws one.
        domain: Name of the domain; None draws one, often the coordinator's.
    """
    coordinators = world.list_coordinators()
    if domain is None:
        domain = world.generator.choice(world.domains)
        if coordinators and world.generator.random() < 0.5:
            domain = coordinators[0].domain
    seconds = seconds or world.generator.uniform(0.5, 9.0)
    ways = ways or world.generator.choice(("both", "both", "in", "out"))
    world.log(f"cut {domain} {ways} for {seconds:.2f}")
    world.cut_domain(domain, ways)
    await asyncio.sleep(seconds)
    world.heal_domain(domain)
    world.log(f"heal {domain}")


async def cut_host(world):
    """Cuts a host off from some upstreams, and perhaps the store and hosts."""
    generator = world.generator
    hosts = world.list_coordinators() or list(world.hosts.values())
    host = generator.choice(hosts)
    labels = [upstream.name for upstream in world.list_running_upstreams()]
    targets = generator.sample(labels, min(3, len(labels)))
    if generator.random() < 0.7:
        targets.append("store")
    if generator.random() < 0.3:
        targets += [name for name in world.hosts if name != host.name]
    world.log(f"cut {host.name} from {targets}")
    world.links.block([host.name], targets)
    if generator.random() < 0.7:
        world.links.block(targets, [host.name])
    await asyncio.sleep(generator.uniform(0.3, 8.0))
    world.links.unblock([host.name], targets)
    world.links.unblock(targets, [host.name])
    world.log(f"heal {host.name}")


async def cut_upstream(world):
    """Cuts an upstream off from all hosts and the store."""
    upstream = world.generator.choice(world.list_running_upstreams())
    others = [*world.domains, "store"]
    world.log(f"cut {upstream.name}")
    world.links.block([upstream.name], others)
    world.links.block(others, [upstream.name])
    await asyncio.sleep(world.generator.uniform(0.2, 6.0))
    world.links.unblock([upstream.name], others)
    world.links.unblock(others, [upstream.name])
    world.log(f"heal {upstream.name}")


async def lose_segments(world):
    """Drops a share of the segments and datagrams from and to a domain."""
    domain = world.generator.choice(world.domains)
    world.log(f"lossy {domain}")
    world.links.loss[domain] = world.generator.choice((0.05, 0.2, 0.5))
    await asyncio.sleep(world.generator.uniform(2.0, 8.0))
    world.links.loss.pop(domain, None)


# The store.


async def disturb_store(world):
    """Stops the store, drops or delays its answers, or refuses some hosts."""
    generator, store = world.generator, world.store
    seconds = generator.uniform(0.5, 9.0)
    kind = generator.choice(("down", "lose", "slow", "refuse"))
    refused = [
        host for host in world.hosts.values() if generator.random() < 0.5
    ]
    world.log(f"store {kind} for {seconds:.2f}")
    if kind == "down":
        store.down = True
    elif kind == "lose":
        store.lose_share = generator.choice((0.1, 0.3, 0.6))
    elif kind == "slow":
        world.store_delay_s = generator.choice((0.3, 1.2, 2.0))
    else:
        for host in (*refused, *world.list_coordinators()):
            host.is_refused_by_store = True
    await asyncio.sleep(seconds)
    store.down = False
    store.lose_share = 0.0
    world.store_delay_s = 0.0
    for host in world.hosts.values():
        host.is_refused_by_store = False


# Upstreams.


def _choose_upstream(world):
    """Chooses an upstream that no other fault is about to end."""
    upstream = world.generator.choice(
        [
            candidate
            for candidate in world.list_running_upstreams()
            if not candidate.is_ending
        ]
    )
    upstream.is_ending = True
    return upstream


async def restart_upstream(world):
    """Crashes an upstream and starts it again.

    It returns under its name at the same or another address, or under another
    name at the same address.
    """
    generator = world.generator
    upstream = _choose_upstream(world)
    kind = generator.choice(("same", "same", "moved", "renamed"))
    world.log(f"crash {upstream.name} ({kind})")
    upstream.stop()
    restart_s = world.restart_s
    await asyncio.sleep(
        generator.choice((restart_s, generator.uniform(restart_s, 5.0)))
    )
    name, address = upstream.name, upstream.address
    if kind == "renamed":
        name = f"{name}x"
        await asyncio.sleep(2.0)
    elif kind == "moved":
        address = f"{address}m"
    listing_delay_s = 0.0
    if restart_s < RESTART_S:
        listing_delay_s = generator.uniform(0.0, MAXIMUM_LISTING_DELAY_S)
    world.log(f"start {name} at {address}, listed in {listing_delay_s:.2f}")
    world.start_upstream(name, upstream.domain, address, listing_delay_s)


async def drain_upstream(world):
    """Drains an upstream; another one replaces it, often at its address."""
    generator = world.generator
    upstream = _choose_upstream(world)
    reports = generator.random() < 0.6
    world.log(f"drain {upstream.name}{' silently' * (not reports)}")
    await domain_upstreams.drain(world, upstream, reports)
    await asyncio.sleep(generator.uniform(0.1, 3.0))
    name = f"{upstream.name}d"
    is_reused = generator.random() < 0.5
    if is_reused:
        await asyncio.sleep(2.0)
    address = upstream.address if is_reused else f"{name}:1"
    world.log(f"start {name} at {address}")
    world.start_upstream(name, upstream.domain, address)


async def delay_grants(world):
    """Makes upstreams apply some grants seconds late, without an answer."""
    world.log("late orders")
    world.delayed_share = world.generator.choice((0.1, 0.3, 0.5))
    await asyncio.sleep(world.generator.uniform(1.0, 9.0))
    world.delayed_share = 0.0


# Load.


async def send_requests(world):
    """Sends requests through all hosts; the hot keys change over time."""
    generator = world.generator
    first = 0
    while True:
        if generator.random() < 0.05:
            first = generator.randrange(65_000)
        for host in world.hosts.values():
            for _ in range(4):
                _send_request(world, host, first + generator.randrange(400))
        await asyncio.sleep(0.1)


def _send_request(world, host, key):
    process = host.process
    if process.task.done() or world.now() < host.frozen_until:
        return
    process.coordinator_role.observe_request(key_world.SERVICE, key)
    owner = process.directory.find_owner(key_world.SERVICE, key, world.now())
    entry = process.view.find(owner) if owner is not None else None
    if entry is None:
        return
    upstream = world.get_running_upstream(entry.address)
    if upstream is None or not world.links.is_open(
        host.labels, upstream.labels
    ):
        return
    if upstream.name != entry.id:
        if world.links.is_open(upstream.labels, host.labels):
            process.coordinator_role.observe_replacement(entry.run)
        return
    upstream.begin_work(key, world.generator.choice((0.05, 0.2, 0.2, 0.8, 2.5)))


# Patterns.
