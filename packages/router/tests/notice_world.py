"""Simulated hosts and upstreams that announce shutdowns and pauses.

Requests take the path of a direct host from the choice of an upstream to the
answer. Connections, the network, the store and the upstreams are simulated:
transfers wait for a connection, answers take their time, reads of the store
come late or not at all, datagrams are lost, and upstreams restart.
"""

import asyncio
import dataclasses
import random
import types

import notice_upstreams

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _datagrams,
    _departure_exchange,
    _direct_execution,
    _direct_requests,
    _direct_services,
    _direct_views,
    _exchange,
    _key_directory,
    _metrics,
    _upstream_notices,
)
from sycamoreloft_router.load import _admission_gate
from sycamoreloft_standins import notice_oracle

#: Seconds for which an upstream serves after it announced its shutdown.
DRAIN_S = 2.0

#: Share of that time for which a leaving owner still gets requests.
LEAVING_SHARE = 0.4

SHARDED, PLAIN = "boards", "ledger"
KEY_STEP = sycamoreloft_direct.KEY_COUNT // 8

#: Seconds after its start in which a run announces nothing: its answers may
#: still be taken for those of its run before.
SETTLING_S = 4.0


class Host:
    """The parts of a direct host that choose upstreams."""

    def __init__(self, world, name):
        self.world, self.name, self.address = world, name, (name, 1)
        self.seen = _datagrams.SeenVersions()
        self.is_cut_off = False
        generator = random.Random(world.generator.random())
        pool = sycamoreloft_load.UpstreamPool("z", generator)
        self.view = _direct_views.UpstreamView(
            DRAIN_S, lambda: pool.update(self.view.list_all(), world.now())
        )
        self.exchange = _departure_exchange.DepartureExchange(
            self, self.view, lambda: self.seen
        )
        self.view.recorder = self.exchange
        client = notice_upstreams.Client(world, self)
        metrics = _metrics.Metrics()
        notices = _upstream_notices.UpstreamNotices(
            notice_upstreams.read_notice,
            self.view,
            pool,
            metrics,
            world.now,
            lambda: world.loop.call_soon(client.withdraw_unsent),
            world.now,
        )
        self.directory = _key_directory.KeyDirectory()
        role = types.SimpleNamespace(
            observe_request=lambda *_: None,
            observe_answer=lambda *_: None,
            observe_replacement=lambda *_: None,
        )
        states = _direct_views.StateView()
        gate = _admission_gate.AdmissionGate(
            states,
            sycamoreloft_load.ResetLimits(generator),
            sycamoreloft_load.RetryTimes(generator),
            lambda record, now: None,
            metrics,
            world.loop,
        )
        services = _direct_services.DirectServices(
            name,
            states,
            self.view,
            pool,
            self.directory,
            DRAIN_S * LEAVING_SHARE,
            role,
            sycamoreloft_direct.ServiceRetryBudgets(0.5, 10, 20.0),
            sycamoreloft_direct.CrashGuard(),
            sycamoreloft_direct.AnsweredPaths(),
            client,
            notice_upstreams.NAMES,
            notices,
            metrics,
            world.loop,
            generator,
            gate,
        )
        self.path = _direct_execution.DirectPath(services)

    def send(self, message, *addresses):
        """Sends datagrams, some of which are lost."""
        for host in self.world.hosts:
            if (
                host.address in addresses
                and self.world.generator.random() > 0.2
            ):
                self.world.loop.call_later(
                    self.world.generator.uniform(0.0, 0.05),
                    host.exchange.receive,
                    message,
                    self.address,
                    lambda *_: None,
                )

    async def follow_store(self):
        """Reads the table again and again; some answers are seconds late."""
        generator = self.world.generator
        while True:
            await asyncio.sleep(generator.uniform(0.0, 0.4))
            if self.is_cut_off:
                continue
            version, entries = self.world.version, dict(self.world.entries)
            await asyncio.sleep(generator.choice((0.01, 0.01, 1.5)))
            self.seen = _datagrams.SeenVersions(0, version, 0, 1)
            self.view.replace_all(entries, self.world.now())

    async def sweep(self):
        while True:
            await asyncio.sleep(0.1)
            self.view.sweep(self.world.now())

    async def exchange_versions(self):
        """Sends heartbeats or reports, as the coordinator or another host."""
        first, *others = self.world.hosts
        while True:
            await asyncio.sleep(0.3)
            if self is first:
                self.exchange.send(
                    _datagrams.Heartbeat(1, 1, False, (), self.seen),
                    *(host.address for host in others),
                )
            else:
                report = _datagrams.Report(self.name, 1, 1, self.seen, {}, {})
                self.exchange.send(report, first.address)


class World:
    """The simulation; see the module.

    Args:
        seed: Seed of all random choices.
        hosts: Number of hosts.
    """

    def __init__(self, seed, hosts=3):
        self.loop = asyncio.get_running_loop()
        self.generator = random.Random(seed)
        self.oracle = notice_oracle.NoticeOracle(DRAIN_S)
        self.version = 0
        self.entries, self.runs = {}, {}
        self.sent_at = {}
        self.outcomes = []
        #: Exceptions of tasks and callbacks.
        self.errors = []
        self.loop.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )
        self.requests = set()
        for number in range(6):
            service = SHARDED if number % 2 else PLAIN
            self._start_run(f"u{number}", service, f"10.0.0.{number}:1")
        self.hosts = [Host(self, f"h{number}") for number in range(hosts)]
        self._owners = {}
        self._revision = 0

    def now(self):
        return self.loop.time()

    def find_upstream(self, address):
        """Returns the run that is up at an address, or None."""
        for upstream in self.runs.values():
            if upstream.address == address and upstream.up:
                return upstream
        return None

    async def play(self, seconds):
        """Plays for a time."""
        tasks = [self._assign_keys(), self._cut_hosts_off()]
        for host in self.hosts:
            tasks += [
                host.follow_store(),
                host.sweep(),
                host.exchange_versions(),
                self._send_requests(host),
            ]
        tasks += [self._disturb(name) for name in self.runs]
        running = [self.loop.create_task(task) for task in tasks]
        await asyncio.sleep(seconds)
        for task in running:
            if task.done():
                task.result()
            task.cancel()

    # Upstreams.

    def _start_run(self, name, service, address):
        upstream = notice_upstreams.Upstream(
            self, name, service, address, round(self.now() * 1000)
        )
        self.runs[name] = upstream
        self._list(name, upstream.build_entry())
        return upstream

    def _list(self, name, entry):
        self.version += 1
        if entry is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry

    async def _disturb(self, name):
        """Lets the runs of an upstream pause, leave and restart."""
        draw = self.generator
        while True:
            upstream = self.runs[name]
            await asyncio.sleep(SETTLING_S + draw.uniform(0.0, 4.0))
            action = draw.choice(("pause", "pause", "leave", "both", "restart"))
            if action in ("pause", "both"):
                upstream.pause_s = draw.choice((0.4, 1.0, 3.0, 5.0, 8.0))
                await asyncio.sleep(draw.uniform(0.1, 3.0))
            if action == "pause":
                upstream.pause_s = 0.0
                continue
            if action != "restart":
                upstream.is_leaving = True
                await self._show_leaving(name, upstream)
                await asyncio.sleep(DRAIN_S + draw.uniform(0.0, 6.0))
            upstream.up = False
            await asyncio.sleep(draw.uniform(0.05, 1.0))
            self._start_run(name, upstream.service, upstream.address)

    async def _show_leaving(self, name, upstream):
        """Updates the entry of a run that is shutting down, or does not."""
        way = self.generator.choice(("draining", "late", "removed", "never"))
        if way == "late":
            await asyncio.sleep(self.generator.uniform(0.0, 3.0))
        if way in ("draining", "late"):
            self._list(name, upstream.build_entry(is_draining=True))
        elif way == "removed":
            self._list(name, None)

    # Hosts and callers.

    async def _cut_hosts_off(self):
        """Cuts hosts off from the store, one or all of them."""
        while True:
            await asyncio.sleep(self.generator.uniform(0.0, 6.0))
            count = self.generator.choice((1, 2, len(self.hosts)))
            for host in self.generator.sample(self.hosts, count):
                host.is_cut_off = True
            await asyncio.sleep(self.generator.uniform(1.0, 8.0))
            for host in self.hosts:
                host.is_cut_off = False

    async def _assign_keys(self):
        """Moves the keys of upstreams that leave or have ended."""
        while True:
            ready = [
                upstream.run
                for upstream in self.runs.values()
                if upstream.service == SHARDED
                and upstream.up
                and not upstream.is_leaving
            ]
            owners = {
                part: self._owners[part]
                if self._owners.get(part) in ready
                else self.generator.choice(ready)
                for part in range(8)
                if ready
            }
            if owners and owners != self._owners:
                self._owners = owners
                self._revision += 1
                ranges = tuple(
                    sycamoreloft_direct.KeyRange(
                        part * KEY_STEP, (part + 1) * KEY_STEP - 1, run
                    )
                    for part, run in owners.items()
                )
                keys = sycamoreloft_direct.ServiceKeys(SHARDED, ranges)
                key_map = sycamoreloft_direct.KeyMap(
                    1, self._revision, {SHARDED: keys}
                )
                for host in self.hosts:
                    self.loop.call_later(
                        self.generator.uniform(0.0, 0.3),
                        host.directory.update,
                        key_map,
                    )
            await asyncio.sleep(self.generator.choice((0.3, 0.3, 3.0)))

    async def _send_requests(self, host):
        while True:
            await asyncio.sleep(self.generator.uniform(0.0, 0.06))
            task = self.loop.create_task(self._send_request(host))
            self.requests.add(task)
            task.add_done_callback(self.requests.discard)

    async def _send_request(self, host):
        draw = self.generator
        identifier = f"r{len(self.sent_at)}"
        self.sent_at[identifier] = self.now()
        service = draw.choice((SHARDED, PLAIN))
        kind = draw.choice(
            (
                sycamoreloft_direct.RouteKind.IDEMPOTENT,
                sycamoreloft_direct.RouteKind.AT_MOST_ONCE,
            )
        )
        route = sycamoreloft_direct.Route(
            "r", "x", "/", (), kind, 4.0, 0.3, 3, 0
        )
        key = draw.randrange(sycamoreloft_direct.KEY_COUNT)
        request = _direct_requests.DirectRequest(
            "GET",
            f"/{identifier}",
            route,
            1,
            service,
            key if service == SHARDED else -1,
            identifier,
            4_000,
            "c",
            [],
        )
        wait_s = draw.choice((0.2, 1.0, 4.0))
        received = _exchange.ReceivedRequest(None, 0, b"", self.now() + wait_s)
        execution = host.path.create_execution(request, received, None, _Sink())
        reason = draw.choice(tuple(_exchange.StopReason))
        self.loop.call_later(wait_s, execution.stop, reason)
        refusal = await execution.run()
        self.outcomes.append("" if refusal is None else refusal.reason)


@dataclasses.dataclass
class _Sink:
    """Receives an answer and drops it."""

    def has_caller_left(self):
        return False

    def send_complete(self, answer, body):
        pass

    async def begin(self, answer):
        pass

    async def write(self, chunk):
        pass

    def end(self):
        pass

    def abort(self):
        pass
