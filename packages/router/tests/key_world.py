"""Simulated upstreams, store and hosts for fuzz tests of key ownership.

The simulation applies orders late, loses answers, freezes and kills hosts,
crashes upstreams and restarts them under the same identifier. The oracle
checks the keys that upstreams hold, not the owners that hosts assume.
"""

import asyncio
import dataclasses
import random

import world_store

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_role,
    _direct_ports,
    _direct_views,
    _key_directory,
    _metrics,
)

SERVICE = "boards"

#: Factor by which an upstream with a slow clock holds keys longer than granted.
SLOWEST_CLOCK_FACTOR = 1.02

#: Seconds after a freeze of a host within which an order that was in flight
#: may arrive.
THAW_GRACE_S = 0.3

#: Timeout of a grant, in seconds, until which the grant may arrive.
GRANT_LIMIT_S = 0.6

#: Maximum time from the last fault until all keys are held, in seconds.
RECOVERY_S = 20.0

#: Bounds of the time from the end of a network partition to the delivery of a
#: grant that it delayed, in seconds.
HELD_UP_S = (0.6, 2.0)

#: Maximum time from the decision on an order to its sending, in seconds.
DISPATCH_LIMIT_S = 0.24

RESULT = sycamoreloft_direct.GrantResult
WRITE = _direct_ports.WriteResult


@dataclasses.dataclass
class Hold:
    """Keys that an upstream holds under one grant.

    The oracle ignores exempt holds, whose grants were sent during or right
    after a freeze of the sender.
    """

    first: int
    last: int
    fence: int
    until: float
    is_exempt: bool


class FakeUpstream:
    """One run of an upstream that applies the rules for grants."""

    def __init__(self, world, name, started_ms):
        self.world = world
        self.name = name
        self.started_ms = started_ms
        self.clock_factor = world.generator.choice((1.0, SLOWEST_CLOCK_FACTOR))
        self.up = True
        self.listed = True
        self.draining = False
        self.holds = []
        #: Keys and fencing tokens of all grants that were accepted.
        self.granted = []
        #: Keys and fencing tokens of releases, which fence older grants.
        self.released = []

    def grant(self, order, arrived_at, is_exempt):
        if not self.up:
            return RESULT.UNKNOWN
        for first, last, fence in [*self.granted, *self.released]:
            overlaps = first <= order.last and order.first <= last
            if overlaps and fence > order.fence:
                return RESULT.FENCED
        self.remove_keys(order.first, order.last)
        self.granted.append((order.first, order.last, order.fence))
        until = arrived_at + order.hold_s * self.clock_factor
        if until > self.world.now():
            hold = Hold(order.first, order.last, order.fence, until, is_exempt)
            self.holds.append(hold)
            self.world.check_hold(self, hold)
        return RESULT.ACCEPTED

    def remove_keys(self, first, last):
        rest = []
        for hold in self.holds:
            if hold.first < first:
                rest.append(
                    dataclasses.replace(hold, last=min(hold.last, first - 1))
                )
            if hold.last > last:
                rest.append(
                    dataclasses.replace(hold, first=max(hold.first, last + 1))
                )
        self.holds = rest

    def list_live_holds(self):
        now = self.world.now()
        return [hold for hold in self.holds if self.up and hold.until > now]


class HostStore:
    """The store as seen by one host."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def read(self):
        await self.host.pause()
        store = self.world.store
        await asyncio.sleep(0.004)
        if store.down or self.host.cut_from_store:
            await asyncio.sleep(self.world.generator.choice((0.0, 0.5)))
            return _direct_ports.ReadProblem.UNAVAILABLE
        return _direct_ports.RecordSnapshot(
            dict(store.records), self.world.now(), store.era
        )

    async def write(self, values, expected):
        await self.host.pause()
        world, store = self.world, self.world.store
        await asyncio.sleep(0.004)
        if store.down or self.host.cut_from_store:
            await asyncio.sleep(world.generator.choice((0.0, 0.5)))
            return _direct_ports.WriteOutcome(WRITE.REFUSED)
        if world.generator.random() < store.lose_share:
            delay = world.generator.choice((0.0, 1.0, 3.0, 6.0))
            world.loop.call_later(delay, store.apply, values, expected)
            await asyncio.sleep(1.5)
            return _direct_ports.WriteOutcome(WRITE.UNKNOWN)
        outcome = store.apply(values, expected)
        await self.host.pause()
        return outcome


class HostOrders:
    """Sends orders of one host to upstreams."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def _reach(self, run):
        await asyncio.sleep(self.world.generator.uniform(0.001, 0.005))
        upstream = self.world.upstreams.get(run.id)
        if (
            upstream is None
            or not upstream.up
            or run.id in self.host.unreachable
        ):
            await asyncio.sleep(0.5)
            return None
        return upstream

    async def grant(self, address, order, trace=None):
        was_frozen = await self.host.pause()
        if self.world.slow_share:
            return await self._grant_slowly(order, was_frozen)
        upstream = await self._reach(order.run)
        world = self.world
        if upstream is None:
            return RESULT.UNKNOWN
        arrived_at = world.now()
        draw = world.generator.random()
        if draw < world.delayed_share:
            world.loop.call_later(
                world.generator.uniform(2, 12),
                upstream.grant,
                order,
                arrived_at,
                was_frozen,
            )
            await asyncio.sleep(GRANT_LIMIT_S)
            return RESULT.UNKNOWN
        result = upstream.grant(order, arrived_at, was_frozen)
        if draw < world.delayed_share * 2:
            await asyncio.sleep(GRANT_LIMIT_S)
            return RESULT.UNKNOWN
        return result

    async def _grant_slowly(self, order, was_frozen):
        """Delivers a grant at a random time before its timeout.

        The answer may be lost. A network partition delays the grant; if it
        lasts longer than the timeout, the closed connection drops the grant.
        """
        world = self.world
        await asyncio.sleep(world.draw_delay(DISPATCH_LIMIT_S))
        deadline = world.now() + GRANT_LIMIT_S
        await asyncio.sleep(world.draw_delay(GRANT_LIMIT_S))
        while order.run.id in self.host.unreachable and world.now() < deadline:
            await asyncio.sleep(min(0.01, deadline - world.now()))
        upstream = world.upstreams.get(order.run.id)
        if (
            order.run.id in self.host.unreachable
            or upstream is None
            or not upstream.up
        ):
            if world.generator.random() < world.held_up_share:
                world.loop.create_task(self._deliver_after_cut(order))
            await asyncio.sleep(max(0.0, deadline - world.now()))
            return RESULT.UNKNOWN
        result = upstream.grant(order, world.now(), was_frozen)
        if world.generator.random() < world.slow_share:
            await asyncio.sleep(max(0.0, deadline - world.now()))
            return RESULT.UNKNOWN
        return result

    async def _deliver_after_cut(self, order):
        """Delivers a grant after the network partition that delayed it."""
        world = self.world
        upstream = world.upstreams.get(order.run.id)
        while order.run.id in self.host.unreachable:
            await asyncio.sleep(0.01)
        await asyncio.sleep(world.generator.uniform(*HELD_UP_S))
        if upstream is not None:
            upstream.grant(order, world.now(), False)

    async def release(self, address, order, trace=None):
        await self.host.pause()
        upstream = await self._reach(order.run)
        if upstream is None:
            return None
        upstream.remove_keys(order.first, order.last)
        upstream.released.append((order.first, order.last, order.fence))
        await asyncio.sleep(self.world.generator.uniform(0.0, 0.3))
        if self.world.generator.random() < self.world.delayed_share:
            return None
        return "handover"


class HostSocket:
    """Datagram socket of one host."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def open(self):
        """Nothing to open."""

    def close(self):
        """Nothing to close."""

    def send(self, message, *addresses):
        for address in addresses:
            self._send_one(message, address)

    def _send_one(self, message, address):
        target = self.world.hosts.get(address[0])
        if target is None or self.world.generator.random() < 0.05:
            return
        if self.host.is_isolated != target.is_isolated:
            return
        sender = (self.host.name, 1)
        self.world.loop.call_later(0.002, target.receive, message, sender)


class Host:
    """One host; a restart replaces its process and all its state."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.frozen_until = 0.0
        self.cut_from_store = False
        #: Whether datagrams are lost between this host and all hosts that are
        #: not isolated.
        self.is_isolated = False
        self.unreachable = set()
        self.task = None
        self.start()

    def start(self):
        settings = _direct_ports.HostSettings(
            self.name,
            "z",
            "",
            "",
            "",
            f"{self.name}:1",
            6,
            2,
            2,
            10,
            0.2,
            link_mbps=self.world.links.get(self.name, 1_000.0),
        )
        states = _direct_views.StateView()
        states.state = self.world.state
        self.view = _direct_views.UpstreamView(2.0, lambda: None)
        platform = _direct_ports.Platform(
            None,
            None,
            HostStore(self.world, self),
            HostOrders(self.world, self),
            None,
        )
        self.coordinator_role = _coordinator_role.CoordinatorRole(
            settings,
            platform,
            states,
            self.view,
            _key_directory.KeyDirectory(),
            _metrics.Metrics(),
            clock=self.world.now,
            socket=HostSocket(self.world, self),
            generator=random.Random(self.world.generator.random()),
        )
        self.task = self.world.loop.create_task(
            self._run(self.coordinator_role)
        )

    async def _run(self, coordinator_role):
        while True:
            await self.pause()
            if not self.cut_from_store and not self.world.store.down:
                self.view.replace_all(
                    self.world.list_entries(), self.world.now()
                )
            self.view.sweep(self.world.now())
            await coordinator_role.step()
            await asyncio.sleep(_coordinator_role.TICK_S)

    def kill(self):
        self.task.cancel()
        for task in list(
            self.coordinator_role._tenure._tasks
            if self.coordinator_role._tenure
            else ()
        ):
            task.cancel()

    def receive(self, message, sender):
        if self.world.now() >= self.frozen_until and not self.task.done():
            self.coordinator_role.receive(message, sender)

    async def pause(self):
        """Waits while the host is frozen.

        Returns:
            Whether it was frozen now or until a moment ago.
        """
        was_frozen = False
        while self.world.now() < self.frozen_until:
            was_frozen = True
            await asyncio.sleep(self.frozen_until - self.world.now())
        return was_frozen or self.world.now() < self.frozen_until + THAW_GRACE_S


class World:
    """The simulation, with its faults and its oracle.

    Args:
        seed: Seed of all random choices.
        upstreams: Number of upstreams.
        hosts: Number of hosts.
        links: Bandwidth of links in Mbit/s, by name of the host.
    """

    def __init__(self, seed, upstreams=5, hosts=3, links=()):
        self.links = dict(links)
        self.loop = asyncio.get_running_loop()
        self.generator = random.Random(seed)
        #: Share of the grants that upstreams apply seconds late.
        self.delayed_share = 0.0
        #: Share of lost answers while grants take up to their timeout; 0 for
        #: fast grants.
        self.slow_share = 0.0
        #: Share of the grants to unreachable upstreams that arrive once the
        #: network partition has ended.
        self.held_up_share = 0.0
        self.problems = []
        self.store = world_store.FakeStore(self)
        self.upstreams = {}
        self.all_runs = []
        service = sycamoreloft_direct.Service(SERVICE, True, 100, "/")
        self.state = sycamoreloft_direct.DesiredState(
            1,
            (),
            {SERVICE: service},
            sycamoreloft_direct.CallerLimits(1, 1, 1.0),
        )
        for number in range(upstreams):
            self.start_upstream(f"u{number}")
        self.hosts = {}
        for number in range(hosts):
            self.hosts[f"h{number}"] = Host(self, f"h{number}")

    def now(self):
        return self.loop.time()

    def draw_delay(self, limit_s):
        """Draws the delay of an order: often zero, often the maximum."""
        share = self.generator.choice((0.0, 1.0, self.generator.random()))
        return share * limit_s

    def start_upstream(self, name):
        upstream = FakeUpstream(self, name, int(self.now() * 1000))
        self.upstreams[name] = upstream
        self.all_runs.append(upstream)

    def list_entries(self):
        return {
            upstream.name: sycamoreloft_direct.Upstream(
                upstream.name,
                upstream.started_ms,
                f"{upstream.name}:1",
                SERVICE,
                "z",
                4,
                upstream.draining,
            )
            for upstream in self.upstreams.values()
            if upstream.listed
        }

    def check_hold(self, holder, hold):
        """Checks keys that an upstream begins to hold against all others."""
        for other in self.all_runs:
            if other is holder:
                continue
            for held in other.list_live_holds():
                overlaps = held.first <= hold.last and hold.first <= held.last
                if overlaps and not (held.is_exempt or hold.is_exempt):
                    self.problems.append(
                        f"{self.now():.2f}: {holder.name} and {other.name} hold"
                        f" {hold.first}-{hold.last} {hold.fence}"
                        f" and {held.first}-{held.last} {held.fence}"
                    )
            for first, last, fence in other.granted:
                overlaps = first <= hold.last and hold.first <= last
                if overlaps and fence >= hold.fence and not hold.is_exempt:
                    self.problems.append(
                        f"{self.now():.2f}: {holder.name} takes {hold.first}-"
                        f"{hold.last} with {hold.fence}, {other.name} had"
                        f" {fence}"
                    )

    def count_served(self):
        """Counts the keys that upstreams hold."""
        return sum(
            hold.last - hold.first + 1
            for upstream in self.upstreams.values()
            for hold in upstream.list_live_holds()
        )

    def end_faults(self):
        """Ends all faults."""
        self.delayed_share = 0.0
        self.slow_share = 0.0
        self.held_up_share = 0.0
        self.store.down = False
        self.store.lose_share = 0.0
        for host in self.hosts.values():
            host.cut_from_store = False
            host.unreachable = set()
