"""Departures beside the datagrams of the coordinator role."""

import asyncio

import pytest

import sycamoreloft_direct
from sycamoreloft_router import (
    _datagrams,
    _departure_exchange,
    _direct_views,
)

PEER = ("10.0.0.2", 7500)
BEHIND = _datagrams.SeenVersions(0, 6, 0, 1)
CURRENT = _datagrams.SeenVersions(0, 7, 0, 1)


def build_upstream(started_ms=1, draining=False):
    return sycamoreloft_direct.Upstream(
        "u1", started_ms, "10.0.0.9:1", "ledger", "z", 4, draining
    )


def build_report(seen):
    return _datagrams.Report("h", 1, 1, seen, {}, {})


def build_heartbeat(seen):
    return _datagrams.Heartbeat(1, 1, False, (), seen)


class Host:
    """An exchange whose socket keeps what it sends."""

    def __init__(self, seen):
        #: Versions that the host has read.
        self.seen = seen
        self.sent = []
        self.receivers = []
        self.view = _direct_views.UpstreamView(2.0, lambda: None)
        self.exchange = _departure_exchange.DepartureExchange(
            self, self.view, lambda: self.seen
        )
        self.view.recorder = self.exchange
        self.view.replace_all({"u1": build_upstream()}, 0.0)

    def send(self, message, *addresses):
        if isinstance(message, _datagrams.Departures):
            self.sent.append(message)
            self.receivers.append(addresses)

    def hear(self, message, sender=PEER):
        self.exchange.receive(message, sender, lambda *_: None)

    def is_draining(self):
        return [upstream.is_draining for upstream in self.view.list_all()]


@pytest.fixture
def run():
    """Returns a function that runs a scenario in an event loop."""

    def run_scenario(scenario):
        async def main():
            scenario()

        asyncio.run(main())

    return run_scenario


def tell_departure(is_draining):
    """Returns what a current host tells one that is behind."""
    sender = Host(CURRENT)
    entry = build_upstream(draining=True) if is_draining else None
    sender.view.apply_changes({"u1": entry}, 1.0)
    sender.hear(build_heartbeat(BEHIND))
    sender.exchange.send(build_report(CURRENT), PEER)
    return sender.sent


# Guards against upstreams that a host uses although others know that they left.
@pytest.mark.parametrize("is_draining", [True, False])
def test_a_host_that_is_behind_stops_using_the_upstream(run, is_draining):
    def scenario():
        [message] = tell_departure(is_draining)
        receiver = Host(BEHIND)
        receiver.hear(message)
        assert receiver.is_draining() == [True]

    run(scenario)


# Guards against news that is older than what the receiver has read.
def test_a_host_that_has_read_more_ignores_the_news(run):
    def scenario():
        [message] = tell_departure(is_draining=False)
        receiver = Host(_datagrams.SeenVersions(0, 8, 0, 1))
        receiver.hear(message)
        assert receiver.is_draining() == [False]

    run(scenario)


def test_news_of_a_former_run_does_not_affect_the_listed_one(run):
    def scenario():
        [message] = tell_departure(is_draining=False)
        receiver = Host(BEHIND)
        receiver.view.replace_all({"u1": build_upstream(started_ms=9)}, 1.0)
        receiver.hear(message)
        assert receiver.is_draining() == [False]

    run(scenario)


def test_an_entry_that_returns_is_used_again(run):
    def scenario():
        [message] = tell_departure(is_draining=False)
        receiver = Host(BEHIND)
        receiver.hear(message)
        receiver.seen = _datagrams.SeenVersions(0, 8, 0, 1)
        receiver.view.apply_changes({"u1": build_upstream()}, 2.0)
        assert receiver.is_draining() == [False]

    run(scenario)


def test_a_host_that_is_current_is_told_nothing(run):
    def scenario():
        sender = Host(CURRENT)
        sender.view.apply_changes({"u1": None}, 1.0)
        sender.hear(build_heartbeat(CURRENT))
        sender.exchange.send(build_report(CURRENT), PEER)
        assert not sender.sent

    run(scenario)


# Guards against news that circulates between the coordinator and the hosts.
def test_only_heartbeats_pass_on_what_others_told(run):
    def scenario():
        [message] = tell_departure(is_draining=False)
        receiver = Host(BEHIND)
        receiver.hear(message)
        receiver.hear(build_report(BEHIND))
        receiver.exchange.send(build_report(BEHIND), PEER)
        assert not receiver.sent
        receiver.exchange.send(build_heartbeat(BEHIND), PEER)
        assert receiver.sent[0].departures == message.departures

    run(scenario)


# Guards against work that grows with hosts times departures in each heartbeat.
def test_hosts_with_the_same_version_are_told_in_one_message(run):
    def scenario():
        sender = Host(CURRENT)
        sender.view.apply_changes({"u1": None}, 1.0)
        peers = [("10.0.0.2", port) for port in range(7500, 7510)]
        for peer in peers:
            sender.hear(build_report(BEHIND), peer)
        sender.exchange.send(build_heartbeat(CURRENT), *peers)
        assert sender.receivers == [tuple(peers)]

    run(scenario)


def create_host_that_heard_of_a_missing_run():
    """Creates a host behind one that found the run missing in version 9."""
    host = Host(BEHIND)
    missing = sycamoreloft_direct.Departure(
        build_upstream().run, False, sycamoreloft_direct.TableVersion(1, 9)
    )
    told = _datagrams.SeenVersions(0, 9, 0, 1)
    host.hear(_datagrams.Departures(told, (missing,)))
    return host


# Guards against an older read of the store, late on its way, that brings back
# an upstream that another host found missing since.
def test_an_older_read_does_not_bring_a_missing_run_back(run):
    def scenario():
        host = create_host_that_heard_of_a_missing_run()
        now = asyncio.get_running_loop().time()
        for version, is_draining in ((7, True), (8, True), (9, False)):
            host.seen = _datagrams.SeenVersions(0, version, 0, 1)
            host.view.replace_all({"u1": build_upstream()}, now)
            assert host.is_draining() == [is_draining]

    run(scenario)


def test_the_next_run_is_listed_by_an_older_read(run):
    def scenario():
        host = create_host_that_heard_of_a_missing_run()
        now = asyncio.get_running_loop().time()
        host.view.apply_changes({"u1": build_upstream(started_ms=2)}, now)
        assert host.is_draining() == [False]

    run(scenario)
