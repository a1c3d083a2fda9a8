"""Simulated upstreams that hold keys, serve requests and are discovered."""

import asyncio
import dataclasses

import key_world

import sycamoreloft_direct

#: Mean time between two heartbeats of an upstream to the store, in seconds.
HEARTBEAT_S = 0.87

#: Seconds without a heartbeat after which an entry expires.
EXPIRY_S = 2.6

#: Minimum time for which a leaving upstream goes on serving, in seconds.
DRAIN_S = 2.0

RESULT = key_world.RESULT


@dataclasses.dataclass
class Work:
    """A request that an upstream is serving."""

    key: int
    ends_at: float
    #: End of the key lease that covers the request. Renewals extend it, and a
    #: grant with a shorter lease does not shorten it.
    lease_end: float


class Upstream(key_world.FakeUpstream):
    """One run of an upstream.

    Args:
        world: The simulation.
        name: Its identifier.
        domain: Its failure domain.
        address: Its address.
        listing_delay_s: Time until it registers, in seconds.
    """

    def __init__(self, world, name, domain, address, listing_delay_s=0.0):
        super().__init__(world, name, int(world.now() * 1000))
        self.domain = domain
        self.labels = (name, domain)
        self.address = address
        self.work_items = []
        #: Whether a fault is about to end this run.
        self.is_ending = False
        self.task = world.loop.create_task(self._register(listing_delay_s))

    @property
    def run(self):
        """Identifier and start of this run."""
        return sycamoreloft_direct.UpstreamRun(self.name, self.started_ms)

    def grant(self, order, arrived_at, is_exempt):
        """Applies a grant, possibly long after it arrived.

        Args:
            order: The grant.
            arrived_at: When the grant arrived; its lease begins then.
            is_exempt: Whether the oracle ignores keys held under this grant.
        """
        result = super().grant(order, arrived_at, is_exempt)
        if result is RESULT.ACCEPTED:
            until = arrived_at + order.hold_s * self.clock_factor
            for work in self.work_items:
                if order.first <= work.key <= order.last:
                    work.lease_end = max(work.lease_end, until)
        return result

    async def release(self, order):
        """Stops new work on keys, and waits for running requests.

        Returns:
            Whether this run is still up.
        """
        self.remove_keys(order.first, order.last)
        self.released.append((order.first, order.last, order.fence))
        work_items = [
            work
            for work in self.list_running_work()
            if order.first <= work.key <= order.last
        ]
        while any(self._is_running(work) for work in work_items):
            await asyncio.sleep(0.02)
        return self.up

    def begin_work(self, key, seconds):
        """Begins to work on a request if this upstream holds its key.

        Returns:
            Whether it holds the key.
        """
        now = self.world.now()
        for hold in self.list_live_holds():
            if hold.first <= key <= hold.last:
                self.work_items = self.list_running_work()
                self.work_items.append(Work(key, now + seconds, hold.until))
                self.world.check_work(self, key, hold)
                return True
        return False

    def list_running_work(self):
        """Lists the requests that this upstream is serving."""
        return [work for work in self.work_items if self._is_running(work)]

    def _is_running(self, work):
        return self.up and self.world.now() < min(work.ends_at, work.lease_end)

    def stop(self):
        """Ends this run at once."""
        self.up = False
        self.task.cancel()

    async def _register(self, delay_s):
        """Writes the upstream's entry at each heartbeat, if the store is up."""
        if delay_s:
            await asyncio.sleep(delay_s)
        while True:
            world = self.world
            if (
                not world.store.down
                and self.listed
                and world.links.is_open(self.labels, world.store.labels)
            ):
                world.entries[self.name] = self._build_entry()
                world.heartbeat_at[self.name] = world.now()
            await asyncio.sleep(HEARTBEAT_S * world.generator.uniform(0.9, 1.1))

    def _build_entry(self):
        return sycamoreloft_direct.Upstream(
            self.name,
            self.started_ms,
            self.address,
            key_world.SERVICE,
            self.domain,
            4,
            self.draining,
        )


async def drop_expired(world):
    """Removes expired entries, as the store does."""
    while True:
        for name, heartbeat_at in list(world.heartbeat_at.items()):
            if world.now() > heartbeat_at + EXPIRY_S:
                del world.heartbeat_at[name]
                world.entries.pop(name, None)
        await asyncio.sleep(0.1)


async def drain(world, upstream, reports):
    """Drains an upstream and stops it.

    Args:
        world: The simulation.
        upstream: The upstream.
        reports: Whether its entry says that it is draining; otherwise it
            removes its entry at once.
    """
    upstream.draining = reports
    upstream.listed = reports
    if reports:
        world.entries[upstream.name] = upstream._build_entry()
    else:
        world.entries.pop(upstream.name, None)
        world.heartbeat_at.pop(upstream.name, None)
    await asyncio.sleep(DRAIN_S + world.generator.choice((0.1, 0.5, 3.0)))
    upstream.stop()
    if world.entries.get(upstream.name) is not None:
        world.entries.pop(upstream.name)
        world.heartbeat_at.pop(upstream.name, None)
