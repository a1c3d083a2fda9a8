"""Loads that hosts tell each other beside the coordinator's datagrams."""

import random

import pytest

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _datagram_codec,
    _datagrams,
    _direct_views,
    _metrics,
)
from sycamoreloft_router.load import _load_exchange

SEEN = _datagrams.SeenVersions()
REPORT = _datagrams.Report("h", 1, 1, SEEN, {}, {})
FULL = sycamoreloft_direct.ReportedLoad(4, 6, 4, 150)
UPSTREAM = sycamoreloft_direct.Upstream(
    "u1", 1, "10.0.0.9:80", "boards", "z", 4, False
)


class Host:
    """A host whose datagrams arrive at once; the first is the coordinator."""

    def __init__(self, clock, hosts):
        self.address = ("10.0.0.1", 7500 + len(hosts))
        self.hosts = hosts
        self.kinds = []
        hosts[self.address] = self
        self.pool = sycamoreloft_load.UpstreamPool("z", random.Random(1))
        view = _direct_views.UpstreamView(2.0, lambda: None)
        view.replace_all({"u1": UPSTREAM}, 0.0)
        self.pool.update([UPSTREAM], 0.0)
        self.exchange = _load_exchange.LoadExchange(
            self, self.pool, view, 100.0, _metrics.Metrics(), clock
        )

    def send(self, message, *addresses):
        self.kinds.append(type(message))
        data = _datagram_codec.encode(message)
        for address in addresses:
            self.hosts[address].exchange.receive(
                _datagram_codec.decode(data), self.address, lambda *_: None
            )

    def get_load(self):
        report = self.pool._records["u1", 1].report
        return report and (report.load, report.observed_at)


@pytest.fixture
def clock():
    return [100.0]


@pytest.fixture
def hosts(clock):
    hosts = {}
    for _ in range(4):
        Host(lambda: clock[0], hosts)
    return list(hosts.values())


def beat(hosts):
    """Sends a heartbeat of the first host in two parts, then reports."""
    heartbeat = _datagrams.Heartbeat(1, 1, False, (), SEEN, len(hosts), 0.2)
    addresses = [host.address for host in hosts[1:]]
    hosts[0].exchange.send(heartbeat, *addresses[:1])
    hosts[0].exchange.send(heartbeat, *addresses[1:])
    for host in hosts[1:]:
        host.exchange.send(REPORT, hosts[0].address)


def test_a_load_that_one_host_heard_reaches_all_with_its_age(hosts, clock):
    beat(hosts)
    hosts[1].pool.record_load(UPSTREAM.run, FULL, clock[0] - 0.1, True)
    own = hosts[1].get_load()
    beat(hosts)
    clock[0] += 0.4
    beat(hosts)
    for host in (hosts[0], *hosts[2:]):
        load, observed_at = host.get_load()
        assert load == FULL
        assert 99.86 <= observed_at <= 99.9, "never later than it was"
    assert hosts[1].get_load() == own


def test_without_reports_no_byte_more_is_sent(hosts, clock):
    """Guards against a cost for deployments without reported loads."""
    for _ in range(5):
        beat(hosts)
        clock[0] += 0.4
    kinds = {kind for host in hosts for kind in host.kinds}
    assert kinds == {_datagrams.Heartbeat, _datagrams.Report}


def test_loads_of_a_host_that_is_not_the_coordinator_are_ignored(hosts, clock):
    """Guards against loads of a former coordinator that arrive late."""
    beat(hosts)
    number = sycamoreloft_load.compute_run_number(UPSTREAM.run)
    load = sycamoreloft_load.SharedLoad(number, FULL, 0.1)
    hosts[3].send(_datagrams.UpstreamLoads(SEEN, (load,)), hosts[2].address)
    hosts[3].send(_datagrams.ObservedLoads(SEEN, (load,)), hosts[2].address)
    assert hosts[2].get_load() is None


def test_loads_of_unknown_runs_are_ignored(hosts, clock):
    """Guards against the load of a run before a restart."""
    beat(hosts)
    load = sycamoreloft_load.SharedLoad(7, FULL, 0.1)
    hosts[0].send(_datagrams.UpstreamLoads(SEEN, (load,)), hosts[2].address)
    assert hosts[2].get_load() is None
