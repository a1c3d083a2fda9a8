"""Crashes that are kept in the store."""

import asyncio
import random
import types

import msgpack
import pytest
import virtual_time
import world_store

import sycamoreloft_direct
from sycamoreloft_router import (
    _crash_exchange,
    _crash_record,
    _datagrams,
    _direct_ports,
)

REQUEST = (7, 8)
SEEN = _datagrams.SeenVersions()
HEARTBEAT = _datagrams.Heartbeat(1, 1, False, (), SEEN)


class Records:
    """The store as one process sees it."""

    def __init__(self, store):
        self.store = store
        self.loses_answers = False

    async def read(self):
        """Reads all records."""
        return _direct_ports.RecordSnapshot(
            dict(self.store.records), self.store.world.now(), self.store.era
        )

    async def write(self, values, expected):
        """Writes records, all or none."""
        outcome = self.store.apply(values, expected)
        if self.loses_answers:
            return _direct_ports.WriteOutcome(_direct_ports.WriteResult.UNKNOWN)
        return outcome


class Process:
    """The part of a host's process that counts crashes."""

    def __init__(self, store, seed=1):
        self.sent = []
        self.records = Records(store)
        self.guard = sycamoreloft_direct.CrashGuard(random.Random(seed))
        self.record = _crash_record.CrashRecord(self.records, self.guard)
        socket = types.SimpleNamespace(
            send=lambda message, *_: self.sent.append(message)
        )
        self.exchange = _crash_exchange.CrashExchange(
            socket, self.guard, self.record
        )
        self.task = asyncio.create_task(self.record.run())

    def crash(self):
        """Records a crash now."""
        now = asyncio.get_running_loop().time()
        self.guard.record_crash(REQUEST, now - 0.1, now)

    def count(self):
        """Counts the crashes."""
        now = asyncio.get_running_loop().time()
        return self.guard.count_crashes(REQUEST[0], now)

    async def lead(self, seconds):
        """Acts as the coordinator for some seconds."""
        for _ in range(round(seconds / 0.4)):
            self.exchange.send(HEARTBEAT, ("10.0.0.1", 1))
            await asyncio.sleep(0.4)


def _run(scenario):
    """Runs a scenario with a store whose clock is not that of the processes."""

    async def main():
        loop = asyncio.get_running_loop()
        world = types.SimpleNamespace(now=lambda: loop.time() + 5_000.0)
        await scenario(world_store.FakeStore(world))

    virtual_time.run(main())


# Guards against a count that is lost when all hosts lose power (BUDGET).
def test_crashes_outlive_all_processes():
    async def scenario(store):
        for number in range(3):
            process = Process(store, number)
            await process.record.read()
            assert process.count() == number
            process.crash()
            await process.lead(0.8)
            process.task.cancel()
            await asyncio.sleep(20.0)
        process = Process(store)
        await process.record.read()
        now = asyncio.get_running_loop().time()
        assert process.guard.is_stopped(REQUEST, now)

    _run(scenario)


# Guards against old crashes that count anew with each new coordinator.
def test_crashes_in_the_record_grow_old():
    async def scenario(store):
        process = Process(store)
        await process.record.read()
        process.crash()
        await process.lead(0.8)
        await asyncio.sleep(3_590.0)
        successor = Process(store)
        await successor.record.read()
        assert successor.count() == 1
        await asyncio.sleep(15.0)
        assert successor.count() == 0

    _run(scenario)


# Guards against a record that is written at each heartbeat, or by each host.
def test_only_changes_that_the_coordinator_knows_are_written():
    async def scenario(store):
        process = Process(store)
        process.crash()
        await asyncio.sleep(5.0)
        assert store.version == 0
        for _ in range(3):
            await process.lead(4.0)
            assert store.version == 1

    _run(scenario)


# Guards against crashes that the next write of another coordinator drops.
@pytest.mark.parametrize("loses_answers", [False, True])
def test_a_conflicting_write_keeps_all_crashes(loses_answers):
    async def scenario(store):
        first, second = Process(store, 1), Process(store, 2)
        first.records.loses_answers = loses_answers
        first.crash()
        await first.lead(0.8)
        await asyncio.sleep(3.0)
        second.crash()
        await second.lead(4.0)
        first.records.loses_answers = False
        await first.lead(4.0)
        reader = Process(store, 3)
        await reader.record.read()
        assert reader.count() == 2

    _run(scenario)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"text",
        msgpack.packb(7),
        msgpack.packb((1.0, [7])),
        msgpack.packb((1.0, {7: [(1, 3.0)]})),
        msgpack.packb((1.0, {7: [(1, -3.0, 1.0)]})),
        msgpack.packb(("now", {})),
    ],
)
def test_a_malformed_record_is_replaced(value):
    async def scenario(store):
        store.apply({_crash_record.CRASHES_KEY: value}, {})
        process = Process(store)
        await process.record.read()
        process.crash()
        await process.lead(0.8)
        reader = Process(store, 3)
        await reader.record.read()
        assert reader.count() == 1

    _run(scenario)


# Guards against crashes that the coordinator does not hear of, and against
# reports without end.
def test_crashes_are_reported_some_times_to_each_coordinator():
    async def scenario(store):
        process = Process(store)
        process.crash()
        report = _datagrams.Report("h", 1, 1, SEEN, {}, {})
        for address in (("10.0.0.1", 1), ("10.0.0.2", 1)):
            process.sent.clear()
            for _ in range(20):
                process.exchange.send(report, address)
            news = [
                message
                for message in process.sent
                if isinstance(message, _datagrams.CrashNews)
            ]
            assert len(news) == sycamoreloft_direct.REPORT_COUNT

    _run(scenario)


# Guards against a request that stays suspected although a host had an answer.
def test_the_coordinator_has_hosts_watch_for_answers():
    async def scenario(store):
        coordinator, host = Process(store, 1), Process(store, 2)
        for _ in range(2):
            coordinator.crash()
            await asyncio.sleep(1.0)
        coordinator.exchange.send(HEARTBEAT, ("10.0.0.1", 1))
        _deliver(coordinator, host)
        now = asyncio.get_running_loop().time()
        host.guard.record_answer(REQUEST, now)
        host.exchange.send(
            _datagrams.Report("h", 1, 1, SEEN, {}, {}), ("10.0.0.2", 1)
        )
        _deliver(host, coordinator)
        assert coordinator.count() == 0

    _run(scenario)


def _deliver(sender, receiver):
    for message in sender.sent:
        receiver.exchange.receive(message, ("10.0.0.9", 1), lambda *_: None)
