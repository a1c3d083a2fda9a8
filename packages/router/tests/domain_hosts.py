"""Simulated hosts in failure domains, with their calls and datagrams."""

import asyncio
import random

import domain_links
import key_world

from sycamoreloft_router import (
    _coordinator_role,
    _direct_ports,
    _direct_views,
    _key_directory,
    _metrics,
)

#: Timeout of a call to the store, in seconds.
STORE_LIMIT_S = 1.5

#: Timeout of a connection to an upstream, in seconds.
CONNECT_LIMIT_S = 0.3

#: Timeout of a release, in seconds.
RELEASE_LIMIT_S = 3.0

#: Bounds of the time from a stop request to the end of the process, in seconds.
MINIMUM_STOP_S, MAXIMUM_STOP_S = 2.6, 5.6

#: Seconds after which the address of an upstream may be reused.
REUSE_AFTER_S = 2.0

RESULT = key_world.RESULT
WRITE = key_world.WRITE


class HostStore:
    """The store as seen by one process."""

    def __init__(self, process):
        self.process = process
        self.world = process.world

    async def _reach(self):
        """Carries a call to the store.

        Returns:
            None if the call arrives. REFUSED if it certainly does not, UNKNOWN
            if it may arrive later.
        """
        world, process = self.world, self.process
        await process.pause()
        if process.host.is_refused_by_store:
            await asyncio.sleep(0.004)
            return WRITE.REFUSED
        limit = world.now() + STORE_LIMIT_S
        arrived = await world.links.carry(
            process.host.labels,
            world.store.labels,
            lambda: world.now() < process.extend_limit(limit),
        )
        if not arrived:
            return WRITE.UNKNOWN
        if world.store.down:
            return world.generator.choice((WRITE.REFUSED, WRITE.UNKNOWN))
        return None

    async def _carry_answer(self, limit):
        """Carries an answer to the process.

        Returns:
            Whether it arrives before the time limit.
        """
        world, process = self.world, self.process
        await asyncio.sleep(world.draw_delay(world.store_delay_s))
        arrived = await world.links.carry(
            world.store.labels,
            process.host.labels,
            lambda: world.now() < process.extend_limit(limit),
        )
        await process.pause()
        return arrived

    async def read(self):
        """Reads all records."""
        limit = self.world.now() + STORE_LIMIT_S
        problem = await self._reach()
        if problem is not None:
            if problem is WRITE.UNKNOWN:
                await self.process.wait_until(limit)
            return _direct_ports.ReadProblem.UNAVAILABLE
        records = _direct_ports.RecordSnapshot(
            dict(self.world.store.records),
            self.world.now(),
            self.world.store.era,
        )
        if not await self._carry_answer(limit):
            await self.process.wait_until(limit)
            return _direct_ports.ReadProblem.UNAVAILABLE
        return records

    async def write(self, values, expected):
        """Writes records, all or none."""
        self.process.is_candidate = len(values) > 1
        try:
            return await self._write(values, expected)
        finally:
            self.process.is_candidate = False

    async def _write(self, values, expected):
        world, store = self.world, self.world.store
        limit = world.now() + STORE_LIMIT_S
        problem = await self._reach()
        if problem is WRITE.REFUSED:
            return _direct_ports.WriteOutcome(WRITE.REFUSED)
        if problem is WRITE.UNKNOWN:
            await self.process.wait_until(limit)
            return _direct_ports.WriteOutcome(WRITE.UNKNOWN)
        if world.generator.random() < store.lose_share:
            delay = world.generator.choice((0.0, 1.0, 3.0, 6.0))
            world.loop.call_later(delay, store.apply, values, expected)
            await self.process.wait_until(limit)
            return _direct_ports.WriteOutcome(WRITE.UNKNOWN)
        outcome = store.apply(values, expected)
        if not await self._carry_answer(limit):
            await self.process.wait_until(limit)
            return _direct_ports.WriteOutcome(WRITE.UNKNOWN)
        return outcome


class HostOrders:
    """Sends orders of one process, over reused and new connections."""

    def __init__(self, process):
        self.process = process
        self.world = process.world
        self._connected = {}

    async def _connect(self, address):
        """Connects to an address.

        Returns:
            The run that accepted the connection, or None.
        """
        world, process = self.world, self.process
        upstream = world.get_running_upstream(address)
        if upstream is not None and self._connected.get(address) is upstream:
            return upstream
        self._connected.pop(address, None)
        if upstream is None:
            await asyncio.sleep(world.generator.choice((0.005, 0.3)))
            return None
        limit = world.now() + CONNECT_LIMIT_S
        for ends in (
            (process.host.labels, upstream.labels),
            (upstream.labels, process.host.labels),
        ):
            if not await world.links.carry(
                *ends, lambda: world.now() < process.extend_limit(limit)
            ):
                await process.wait_until(limit)
                return None
        self._connected[address] = upstream
        return upstream

    async def grant(self, address, order, trace=None):
        """Grants keys."""
        world, process = self.world, self.process
        was_frozen = await process.pause()
        await asyncio.sleep(world.draw_delay(world.dispatch_delay_s))
        limit = world.now() + key_world.GRANT_LIMIT_S
        is_new = not order.is_renewal or address not in self._connected
        upstream = await self._connect(address)
        if upstream is None:
            await process.pause()
            return RESULT.UNREACHED
        late_s = world.draw_delay(process.host.timer_delay_s)
        call = domain_links.Call(process, limit + late_s)
        ends = (process.host.labels, upstream.labels)
        # Bytes in flight may outlive the process.
        delivery = world.loop.create_task(
            self._carry(call, upstream, order, was_frozen, is_new)
        )
        try:
            while not delivery.done() and call.is_open():
                await asyncio.wait({delivery}, timeout=domain_links.POLL_S)
            result = delivery.result() if delivery.done() else None
            if result is not None and await world.links.carry(
                *reversed(ends), call.is_open
            ):
                await process.pause()
                return result
            await process.wait_until(limit + late_s)
        finally:
            call.close()
        self._connected.pop(address, None)
        return RESULT.UNREAD if is_new else RESULT.UNKNOWN

    async def _carry(self, call, upstream, order, was_frozen, is_new):
        """Carries a grant; returns None if it is lost or not answered."""
        ends = (self.process.host.labels, upstream.labels)
        if not await self.world.links.carry(*ends, call.is_open):
            return None
        if is_new and not await call.wait_for_slot(*ends):
            return None
        return self._deliver(upstream, order, was_frozen)

    def _deliver(self, upstream, order, was_frozen):
        """Delivers a grant to the run at its address; None for no answer."""
        world = self.world
        if upstream.name != order.run.id or not upstream.up:
            return None
        is_exempt = was_frozen or self.process.was_frozen_recently
        draw = world.generator.random()
        if draw < world.delayed_share:
            world.loop.call_later(
                world.generator.uniform(2, 12),
                upstream.grant,
                order,
                world.now(),
                is_exempt,
            )
            return None
        result = upstream.grant(order, world.now(), is_exempt)
        return None if draw < world.delayed_share * 2 else result

    async def release(self, address, order, trace=None):
        """Takes keys back."""
        world, process = self.world, self.process
        await process.pause()
        limit = world.now() + RELEASE_LIMIT_S
        upstream = await self._connect(address)
        if upstream is None:
            return None
        ends = (process.host.labels, upstream.labels)

        def is_open():
            return world.now() < process.extend_limit(limit)

        if (
            await world.links.carry(*ends, is_open)
            and upstream.name == order.run.id
            and await upstream.release(order)
            and world.generator.random() >= world.delayed_share
            and await world.links.carry(*reversed(ends), is_open)
        ):
            await process.pause()
            return "handover"
        await process.wait_until(limit)
        self._connected.pop(address, None)
        return None


class HostSocket:
    """Datagram socket of one process."""

    def __init__(self, process):
        self.process = process
        self.world = process.world

    async def open(self):
        """Nothing to open."""

    def close(self):
        """Nothing to close."""

    def send(self, message, *addresses):
        """Sends a datagram to some hosts; it may be lost."""
        world, host = self.world, self.process.host
        for address in addresses:
            target = world.hosts.get(address[0])
            if (
                target is not None
                and world.generator.random() >= 0.03
                and world.links.is_open(host.labels, target.labels)
                and not world.links.is_lost(host.labels, target.labels)
            ):
                world.loop.call_later(
                    world.generator.uniform(0.001, 0.01),
                    target.receive,
                    message,
                    (host.name, 1),
                )


class Process:
    """One process of the router on a host, with all its state."""

    def __init__(self, host):
        self.host = host
        self.world = world = host.world
        self.directory = _key_directory.KeyDirectory()
        self.view = _direct_views.UpstreamView(REUSE_AFTER_S, lambda: None)
        self._reached_at = -1e9
        self._begins_at = world.now()
        settings = _direct_ports.HostSettings(
            host.name,
            host.domain,
            "",
            "",
            "",
            f"{host.name}:1",
            6,
            2,
            REUSE_AFTER_S,
            10,
            0.2,
            link_mbps=world.generator.choice((10.0, 100.0, 1_000.0)),
        )
        states = _direct_views.StateView()
        states.state = world.state
        self.coordinator_role = _coordinator_role.CoordinatorRole(
            settings,
            _direct_ports.Platform(
                None, None, HostStore(self), HostOrders(self), None
            ),
            states,
            self.view,
            self.directory,
            _metrics.Metrics(),
            clock=world.now,
            socket=HostSocket(self),
            generator=random.Random(world.generator.random()),
        )
        self.tenures = set()
        #: Whether an election is in progress: it is the only write of two
        #: records.
        self.is_candidate = False
        #: Whether the process has ended.
        self.is_over = False
        self.task = world.loop.create_task(self._run())

    async def _run(self):
        while True:
            await self.pause()
            self._follow_upstreams()
            await self.coordinator_role.step()
            self._record_tenure()
            await asyncio.sleep(_coordinator_role.TICK_S)

    def _record_tenure(self):
        tenure = self.coordinator_role._tenure
        if tenure is not None and tenure not in self.tenures:
            self.tenures.add(tenure)
            state = " after its stop" * self.host.is_stopping
            self.world.log(f"{self.host.name} leads {tenure.epoch}{state}")

    def _follow_upstreams(self):
        world, now = self.world, self.world.now()
        ways = (self.host.labels, world.store.labels)
        if (
            not world.store.down
            and not self.host.is_refused_by_store
            and world.links.is_open(*ways)
            and world.links.is_open(*reversed(ways))
        ):
            if now > self._reached_at + 1.0:
                self.view.extend_grace(now + _direct_views.RETURN_GRACE_S)
            self._reached_at = now
            self.view.replace_all(dict(world.entries), now)
        self.view.sweep(now)

    def end(self):
        """Ends the process, which resets its sockets."""
        self.world.log(f"end of {self.host.name}")
        self.is_over = True
        self.task.cancel()
        for tenure in self.tenures:
            for task in list(tenure._tasks):
                task.cancel()

    @property
    def was_frozen_recently(self):
        """Whether the host was frozen until a moment ago."""
        now = self.world.now()
        return (
            self.host.frozen_until <= now
            and now < self.host.frozen_until + key_world.THAW_GRACE_S
        )

    def extend_limit(self, limit):
        """Extends a time limit by a freeze, during which no timer fires."""
        frozen_until = self.host.frozen_until
        return max(limit, frozen_until) if frozen_until else limit

    async def wait_until(self, limit):
        """Waits until a time limit, and while the host is frozen."""
        await asyncio.sleep(max(0.0, limit - self.world.now()))
        await self.pause()

    async def pause(self):
        """Waits while the host is frozen.

        Returns:
            Whether it was frozen now or until a moment ago.
        """
        was_frozen = False
        while self.world.now() < self.host.frozen_until:
            was_frozen = True
            await asyncio.sleep(self.host.frozen_until - self.world.now())
        return was_frozen or self.was_frozen_recently


class Host:
    """A host, on which one process follows another at the same address."""

    def __init__(self, world, name, domain):
        self.world = world
        self.name = name
        self.domain = domain
        self.labels = (name, domain)
        self.frozen_until = 0.0
        #: Whether the store refuses this host.
        self.is_refused_by_store = False
        #: Maximum delay of timers, in seconds.
        self.timer_delay_s = 0.0
        self.is_stopping = False
        self.process = Process(self)

    @property
    def is_coordinator(self):
        """Whether the process acts as the coordinator."""
        return self.process.coordinator_role.is_coordinator

    def receive(self, message, sender):
        """Delivers a datagram, unless the host is frozen or has no process."""
        if (
            self.world.now() >= self.frozen_until
            and not self.process.task.done()
        ):
            self.process.coordinator_role.receive(message, sender)

    async def stop(self):
        """Stops the process as SIGTERM does, then starts the next one."""
        if self.is_stopping:
            return
        self.is_stopping = True
        process, generator = self.process, self.world.generator
        ends_at = self.world.now() + generator.uniform(
            MINIMUM_STOP_S, MAXIMUM_STOP_S
        )
        await process.pause()
        await process.coordinator_role.stop()
        await process.wait_until(ends_at)
        process.end()
        await asyncio.sleep(generator.uniform(0.2, 1.0))
        self.process = Process(self)
        self.is_stopping = False

    async def kill(self, seconds):
        """Kills the process, and starts the next one after some seconds."""
        if self.is_stopping:
            return
        self.is_stopping = True
        self.process.end()
        await asyncio.sleep(seconds)
        self.process = Process(self)
        self.is_stopping = False

    def end_faults(self):
        """Ends the faults of this host."""
        self.is_refused_by_store = False
        self.timer_delay_s = 0.0


#: Labels of the store as an end of links.
STORE_LABELS = (domain_links.STORE,)
