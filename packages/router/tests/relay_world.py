"""Hosts with a table of upstreams that a coordinator passes on."""

import asyncio

import fake_table
import virtual_time

import sycamoreloft_direct
from sycamoreloft_router import (
    _datagram_codec,
    _datagrams,
    _direct_ports,
    _metrics,
    _relay_exchange,
    _table_follower,
)

HEARTBEAT_S = 0.4
REPORT_S = 0.25


def build_upstream(identifier, *, is_draining=False):
    return sycamoreloft_direct.Upstream(
        identifier, 1, "10.0.0.9:80", "boards", "z1", 4, is_draining, 1.5
    )


class CountedTable(fake_table.FakeTable):
    """One host's calls to a table that all hosts share."""

    def __init__(self, shared):
        super().__init__()
        self.__dict__.update(vars(shared))
        self.shared = shared
        self.calls = 0
        self.followed = []
        self.reads = 0

    async def read(self, progress):
        self.calls += 1
        self._copy()
        return await super().read(progress)

    async def follow(self, version, progress):
        self.calls += 1
        self.followed.append(version)
        waited_s = 0.0
        while True:
            is_cut = self.hangs or self.problem
            self._copy()
            if self.problem or (not is_cut and version < self.version):
                break
            waited_s += 0.05
            if waited_s >= 20.0:
                break
            await asyncio.sleep(0.05)
        return await self._load(progress, version)

    def _copy(self):
        for name in ("values", "written", "version", "newest", "era"):
            setattr(self, name, getattr(self.shared, name))


class Host:
    """A host without the coordinator role: it reports and sends heartbeats."""

    def __init__(self, world, number, domain):
        self.world = world
        self.address = ("10.0.0.1", number)
        self.entries = {}
        self.table = CountedTable(world.table)
        self.metrics = _metrics.Metrics()
        self.frozen = False
        #: Whether datagrams to this host are lost.
        self.is_cut = False
        #: Delay of datagrams to this host, in seconds.
        self.delay_s = 0.001
        self.store_age_s = 0.3
        settings = _direct_ports.HostSettings(
            f"h{number}", domain, "", "", "", "", 6, 2, 2, 10, 0.2
        )
        self.follower = _table_follower.TableFollower(
            "upstreams", self.table, self._replace, self._change
        )
        self.relay = _relay_exchange.RelayExchange(
            self,
            self.follower,
            settings,
            self.read_versions,
            lambda: 1,
            lambda: self.world.coordinator is self,
            lambda: self.world.spread_s,
            self.metrics,
            clock=asyncio.get_running_loop().time,
        )
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.follower.run()),
            loop.create_task(self._talk()),
        ]

    def read_versions(self):
        era = self.follower.era or 0
        return _datagrams.SeenVersions(0, self.follower.newest, 0, era)

    def _replace(self, values):
        self.entries = dict(values)
        self.relay.record_read()

    def _change(self, values):
        for key, value in values.items():
            self.entries[key] = value
            if value is None:
                del self.entries[key]
        self.relay.record_changes(values)

    async def _talk(self):
        beat_at = 0.0
        while True:
            now = asyncio.get_running_loop().time()
            coordinator = self.world.coordinator
            if self.frozen or coordinator is None:
                pass
            elif coordinator is self and now >= beat_at:
                beat_at = now + HEARTBEAT_S
                # The coordinator renews its lease, whose answers name the era.
                self.follower.observe_era(self.world.table.era)
                others = [
                    host.address
                    for host in self.world.hosts.values()
                    if host is not self
                ]
                self.relay.send(
                    _datagrams.Heartbeat(
                        1,
                        self.world.epoch,
                        False,
                        (),
                        self.read_versions(),
                        self.world.count,
                        self.store_age_s,
                    ),
                    *others,
                )
            elif coordinator is not self:
                report = _datagrams.Report(
                    "h", 1, 1, self.read_versions(), {}, {}
                )
                self.relay.send(report, coordinator.address)
            await asyncio.sleep(
                HEARTBEAT_S if coordinator is self else REPORT_S
            )

    # The socket of the exchange.

    def send(self, message, *addresses):
        data = _datagram_codec.encode(message)
        for address in addresses:
            self.world.deliver(data, self, self.world.hosts[address])

    def close(self):
        """Nothing to close."""

    def receive(self, data, sender):
        message = _datagram_codec.decode(data)
        self.follower.observe_peer(
            message.seen.upstreams, message.seen.upstreams_era
        )
        self.relay.receive(message, sender, lambda *_: None)


class World:
    """Hosts in some failure domains, one of them the coordinator."""

    def __init__(self, count=45, domains=3, era=1):
        self.table = fake_table.FakeTable()
        self.table.era = era
        self.count = count
        self.epoch = 1
        self.spread_s = 0.0
        #: Returns the delays of the copies of a datagram that arrive.
        self.choose_delays = lambda receiver: [receiver.delay_s]
        self.hosts = {}
        self.coordinator = None
        for number in range(1, count + 1):
            host = Host(self, number, f"z{number % domains}")
            self.hosts[host.address] = host
        self.coordinator = self.hosts[("10.0.0.1", 1)]

    def deliver(self, data, sender, receiver):
        if receiver.is_cut or sender.is_cut:
            return
        for delay_s in self.choose_delays(receiver):
            asyncio.get_running_loop().call_later(
                delay_s, receiver.receive, data, sender.address
            )

    def put(self, key, **fields):
        self.table.put(key, build_upstream(key, **fields))

    def list_others(self):
        return [h for h in self.hosts.values() if h is not self.coordinator]

    def list_relayed(self):
        return [h for h in self.hosts.values() if h.relay.is_relayed]

    def list_informed(self, key):
        """Lists the hosts that know that an upstream drains."""
        return [
            host
            for host in self.hosts.values()
            if key in host.entries and host.entries[key].is_draining
        ]

    def count_calls(self):
        return sum(host.table.calls for host in self.hosts.values())


def play(scenario, **options):
    """Runs a scenario once hosts are passed changes."""

    async def main():
        world = World(**options)
        world.put("u1")
        world.put("u2")
        await asyncio.sleep(8.0)
        await scenario(world)
        for host in world.hosts.values():
            for task in host.tasks:
                task.cancel()
            host.relay.close()

    virtual_time.run(main())
