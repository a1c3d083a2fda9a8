"""Followers of the platform's tables."""

import asyncio
import logging

import pytest
import virtual_time

from sycamoreloft_router import _direct_ports, _table_follower


class FakeTable:
    """A table whose calls for changes may hang."""

    def __init__(self):
        self.values = {}
        self.version = 1
        self.newest = 1
        self.hangs = False
        self.problem = None
        self.reads = 0
        self.load_s = 0.004

    async def read(self, progress):
        self.reads += 1
        return await self._load(progress)

    async def follow(self, version, progress):
        while self.hangs or (version >= self.version and not self.problem):
            await asyncio.sleep(0.05)
        return await self._load(progress)

    async def _load(self, progress):
        """Answers with what there is now, in a hundred parts."""
        problem = self.problem
        answer = _direct_ports.TableEntries(
            dict(self.values), self.version, self.newest
        )
        for _ in range(100):
            await asyncio.sleep(self.load_s / 100)
            progress.record_bytes(1, asyncio.get_running_loop().time())
        return problem or answer

    def put(self, key, value):
        self.version += 1
        self.newest = self.version
        self.values[key] = value


def follow(scenario, choose_spread_s=0.0):
    async def main():
        table = FakeTable()
        seen = {}
        follower = _table_follower.TableFollower(
            "t", table, seen.update, seen.update, lambda: choose_spread_s
        )
        task = asyncio.get_running_loop().create_task(follower.run())
        await asyncio.sleep(0.1)
        try:
            await scenario(table, follower, seen)
        finally:
            task.cancel()

    virtual_time.run(main())


def test_a_call_that_hangs_is_given_up_when_another_host_knows_more():
    async def scenario(table, follower, seen):
        table.hangs = True
        table.put("a", 7)
        follower.observe_peer(table.newest)
        await asyncio.sleep(1.5)
        assert seen == {"a": 7}

    follow(scenario)


async def tell_of_newest(table, follower, seconds):
    """Tells a follower what others have, four times a second."""
    for _ in range(round(seconds / 0.25)):
        follower.observe_peer(table.newest)
        await asyncio.sleep(0.25)


@pytest.mark.parametrize("load_s", [0.8, 2.0, 6.0])
def test_a_long_change_arrives_while_others_have_it(load_s):
    """Guards against a long desired state that is loaded anew for ever."""

    async def scenario(table, follower, seen):
        table.load_s = load_s
        table.put("a", 7)
        await tell_of_newest(table, follower, load_s + 1.0)
        assert seen == {"a": 7}
        assert table.reads == 1

    follow(scenario)


@pytest.mark.parametrize("load_s", [0.8, 2.0])
def test_a_long_read_arrives_while_others_know_more(load_s):
    """Guards against the same after a start, with changes all the while."""

    async def scenario(table, follower, seen):
        table.load_s = load_s
        table.hangs = True
        for value in range(8):
            table.put("a", value)
            await tell_of_newest(table, follower, 0.5)
        table.hangs = False
        await tell_of_newest(table, follower, 3 * load_s + 1.0)
        assert seen == {"a": 7}

    follow(scenario)


def test_a_call_that_hangs_is_given_up_when_the_store_is_back():
    """As hunted: the store never answers the calls of before its outage."""

    async def scenario(table, follower, seen):
        table.hangs = True
        table.put("a", 7)
        await asyncio.sleep(8.0)
        assert seen == {}
        follower.restart_call()
        await asyncio.sleep(0.5)
        assert seen == {"a": 7} and follower.returned_at > 0

    follow(scenario)


def test_hearing_of_what_is_known_reads_nothing():
    async def scenario(table, follower, seen):
        table.put("a", 7)
        await asyncio.sleep(0.5)
        follower.observe_peer(table.newest)
        await asyncio.sleep(3.0)
        assert seen == {"a": 7} and table.reads == 1

    follow(scenario)


def test_hosts_call_the_store_at_different_times_after_a_change():
    async def scenario(table, follower, seen):
        table.put("a", 1)
        await asyncio.sleep(0.2)
        table.put("a", 2)
        await asyncio.sleep(0.7)
        assert seen == {"a": 1}
        await asyncio.sleep(0.4)
        assert seen == {"a": 2}

    follow(scenario, choose_spread_s=0.5)


def test_lost_history_is_read_again():
    async def scenario(table, follower, seen):
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.3)
        table.problem = None
        table.put("a", 1)
        await asyncio.sleep(1.0)
        assert seen == {"a": 1} and not follower.is_store_lost

    follow(scenario)


def test_an_outage_is_noticed_and_its_end_as_well():
    async def scenario(table, follower, seen):
        table.problem = _direct_ports.ReadProblem.UNAVAILABLE
        await asyncio.sleep(2.0)
        assert follower.is_store_lost
        table.problem = None
        await asyncio.sleep(1.0)
        assert not follower.is_store_lost
        assert follower.returned_at > 0

    follow(scenario)


def test_a_call_that_is_given_up_says_how_long_it_waited(caplog):
    """Guards against lines that do not tell waiting from loading."""
    caplog.set_level(logging.INFO)

    async def scenario(table, follower, _seen):
        table.hangs = True
        table.put("a", 7)
        follower.observe_peer(table.newest)
        await asyncio.sleep(1.5)

    follow(scenario)
    behind, read = [
        record.event_fields
        for record in caplog.records
        if record.getMessage() in ("table-behind", "table-read")
    ][-2:]
    assert "bytes" not in behind, "only calls without an answer are given up"
    assert behind["age_s"] == pytest.approx(0.6, abs=0.05)
    assert (read["call"], read["rows"]) == ("read", 1)


def test_a_load_goes_on_when_the_store_is_back():
    """Guards against a long change that is given up at the store's return."""

    async def scenario(table, follower, seen):
        table.load_s = 2.0
        table.put("a", 7)
        await asyncio.sleep(1.0)
        follower.restart_call()
        await asyncio.sleep(0.9)
        assert table.reads == 1
        await asyncio.sleep(0.4)
        assert seen == {"a": 7}
        await asyncio.sleep(2.5)
        assert table.reads == 2, "entries that came back are read in full"

    follow(scenario)


def test_a_change_during_a_long_load_is_loaded_right_after_it():
    """Guards against long states that are late by a wait for more changes."""

    async def scenario(table, follower, seen):
        table.load_s = 1.0
        table.put("a", 1)
        await asyncio.sleep(0.5)
        table.put("a", 2)
        await asyncio.sleep(1.8)
        assert seen == {"a": 2}

    follow(scenario, choose_spread_s=0.1)
