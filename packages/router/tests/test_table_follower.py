"""Followers of the platform's tables, with calls that hang or load slowly."""

import asyncio
import logging

import pytest
import virtual_time

from sycamoreloft_router import _direct_ports, _table_follower


class FakeTable:
    """A table whose calls for changes may hang or fail."""

    def __init__(self):
        self.values = {}
        #: Version of the last change of each entry.
        self.written = {}
        self.version = 1
        self.newest = 1
        self.era = 1
        self.hangs = False
        self.problem = None
        self.reads = 0
        self.load_s = 0.004
        #: Versions after which the follower has asked for changes.
        self.followed = []

    async def read(self, progress):
        self.reads += 1
        return await self._load(progress, -1)

    async def follow(self, version, progress):
        self.followed.append(version)
        while self.hangs or (version >= self.version and not self.problem):
            await asyncio.sleep(0.05)
        return await self._load(progress, version)

    async def _load(self, progress, after):
        """Answers with the entries changed after a version.

        The answer arrives in 100 parts over `load_s`.
        """
        problem = self.problem
        answer = _direct_ports.TableEntries(
            {
                key: value
                for key, value in self.values.items()
                if self.written[key] > after
            },
            self.version,
            self.newest,
            self.era,
        )
        for _ in range(100):
            await asyncio.sleep(self.load_s / 100)
            progress.record_bytes(1, asyncio.get_running_loop().time())
        return problem or answer

    def put(self, key, value):
        self.version += 1
        self.newest = self.version
        self.values[key] = value
        self.written[key] = self.version

    def restore(self, version, values, newest=None):
        """Goes back to older entries; a pending call for changes waits on."""
        self.era += 1
        self.version = version
        self.newest = version if newest is None else newest
        self.values = dict(values)
        self.written = dict.fromkeys(values, version)


def follow(scenario, choose_spread_s=0.0, era=1):
    async def main():
        table = FakeTable()
        table.era = era
        entries = {}
        follower = _table_follower.TableFollower(
            "t", table, entries.update, entries.update, lambda: choose_spread_s
        )
        task = asyncio.get_running_loop().create_task(follower.run())
        await asyncio.sleep(0.1)
        try:
            await scenario(table, follower, entries)
        finally:
            task.cancel()

    virtual_time.run(main())


def test_a_hanging_call_is_replaced_when_another_host_has_newer_entries():
    async def scenario(table, follower, entries):
        table.hangs = True
        table.put("a", 7)
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(1.5)
        assert entries == {"a": 7}

    follow(scenario)


async def announce_newest(table, follower, seconds):
    """Announces the newest version to a follower, four times a second."""
    for _ in range(round(seconds / 0.25)):
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(0.25)


@pytest.mark.parametrize("load_s", [0.8, 2.0, 6.0])
def test_a_long_change_completes_while_others_have_it(load_s):
    """Guards against restarting a long load for ever.

    Other hosts announce the version while this host is still loading it.
    """

    async def scenario(table, follower, entries):
        table.load_s = load_s
        table.put("a", 7)
        await announce_newest(table, follower, load_s + 1.0)
        assert entries == {"a": 7}
        assert table.reads == 1

    follow(scenario)


@pytest.mark.parametrize("load_s", [0.8, 2.0])
def test_a_long_read_completes_while_others_have_newer_entries(load_s):
    """Guards against restarting a full read for ever.

    Entries keep changing while this host loads the table after its start.
    """

    async def scenario(table, follower, entries):
        table.load_s = load_s
        table.hangs = True
        for value in range(8):
            table.put("a", value)
            await announce_newest(table, follower, 0.5)
        table.hangs = False
        await announce_newest(table, follower, 3 * load_s + 1.0)
        assert entries == {"a": 7}

    follow(scenario)


def test_a_hanging_call_is_replaced_when_the_store_is_back():
    """Guards against waiting for a call from before an outage of the store.

    The store never answers such a call.
    """

    async def scenario(table, follower, entries):
        table.hangs = True
        table.put("a", 7)
        await asyncio.sleep(8.0)
        assert entries == {}
        follower.restart_call()
        await asyncio.sleep(0.5)
        assert entries == {"a": 7} and follower.returned_at > 0

    follow(scenario)


def test_a_known_version_causes_no_read():
    async def scenario(table, follower, entries):
        table.put("a", 7)
        await asyncio.sleep(0.5)
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(3.0)
        assert entries == {"a": 7} and table.reads == 1

    follow(scenario)


def test_hosts_call_the_store_at_different_times_after_a_change():
    async def scenario(table, follower, entries):
        table.put("a", 1)
        await asyncio.sleep(0.2)
        table.put("a", 2)
        await asyncio.sleep(0.7)
        assert entries == {"a": 1}
        await asyncio.sleep(0.4)
        assert entries == {"a": 2}

    follow(scenario, choose_spread_s=0.5)


def test_lost_history_causes_a_full_read():
    async def scenario(table, follower, entries):
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.3)
        table.problem = None
        table.put("a", 1)
        await asyncio.sleep(1.0)
        assert entries == {"a": 1} and not follower.is_store_lost

    follow(scenario)


def test_an_outage_and_its_end_are_detected():
    async def scenario(table, follower, entries):
        table.problem = _direct_ports.ReadProblem.UNAVAILABLE
        await asyncio.sleep(2.0)
        assert follower.is_store_lost
        table.problem = None
        await asyncio.sleep(1.0)
        assert not follower.is_store_lost
        assert follower.returned_at > 0

    follow(scenario)


def test_a_cancelled_call_is_logged_with_its_age(caplog):
    """Guards against lines that mix the time of waiting and of loading."""
    caplog.set_level(logging.INFO)

    async def scenario(table, follower, _seen):
        table.hangs = True
        table.put("a", 7)
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(1.5)

    follow(scenario)
    behind, read = [
        record.event_fields
        for record in caplog.records
        if record.getMessage() in ("table-behind", "table-read")
    ][-2:]
    assert "bytes" not in behind, "only calls without an answer are cancelled"
    assert behind["age_s"] == pytest.approx(0.6, abs=0.05)
    assert (read["call"], read["rows"]) == ("read", 1)


def test_a_load_goes_on_when_the_store_is_back():
    """Guards against cancelling a long load at the return of the store."""

    async def scenario(table, follower, entries):
        table.load_s = 2.0
        table.put("a", 7)
        await asyncio.sleep(1.0)
        follower.restart_call()
        await asyncio.sleep(0.9)
        assert table.reads == 1
        await asyncio.sleep(0.4)
        assert entries == {"a": 7}
        await asyncio.sleep(2.5)
        assert table.reads == 2, "entries that returned need a full read"

    follow(scenario)


def test_a_change_during_a_long_load_is_loaded_right_after_it():
    """Guards against a further delay to collect changes after a long load."""

    async def scenario(table, follower, entries):
        table.load_s = 1.0
        table.put("a", 1)
        await asyncio.sleep(0.5)
        table.put("a", 2)
        await asyncio.sleep(1.8)
        assert entries == {"a": 2}

    follow(scenario, choose_spread_s=0.1)


def list_lines(caplog, name):
    return [
        record.event_fields
        for record in caplog.records
        if record.getMessage() == name
    ]


def test_the_first_era_and_a_restored_store_are_logged(caplog):
    """Guards against versions that go back without a line."""
    caplog.set_level(logging.INFO)

    async def scenario(table, follower, entries):
        table.put("a", 1)
        table.put("b", 2)
        await asyncio.sleep(5.0)
        table.restore(2, {"a": 1})
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.06)
        table.problem = None
        await asyncio.sleep(1.0)

    follow(scenario)
    seen = list_lines(caplog, "store-era-seen")
    assert [(line["era"], line["version"]) for line in seen] == [(1, 1)]
    (restored,) = list_lines(caplog, "store-restored")
    assert (restored["before_era"], restored["era"]) == (1, 2)
    assert (restored["before_version"], restored["version"]) == (3, 2)
    assert restored["last_answer_age_s"] == pytest.approx(5.0, abs=0.2)


def test_a_lower_version_without_an_era_is_logged_as_a_restore(caplog):
    """Guards against a restore that the store does not announce."""

    async def scenario(table, follower, entries):
        table.put("a", 1)
        table.put("b", 2)
        await asyncio.sleep(1.0)
        table.restore(2, {"a": 1})
        table.era = _direct_ports.UNKNOWN_ERA
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.06)
        table.problem = None
        await asyncio.sleep(1.0)

    follow(scenario, era=_direct_ports.UNKNOWN_ERA)
    (restored,) = list_lines(caplog, "store-restored")
    assert (restored["before_version"], restored["version"]) == (3, 2)


def test_a_call_of_an_earlier_era_does_not_miss_changes():
    """Guards against changes whose versions were assigned a second time.

    The call for changes after version 3 is answered when the restored store
    has reached version 4. The change with the second version 3 is not in it.
    """

    async def scenario(table, follower, entries):
        table.put("a", 1)
        table.put("a", 2)
        await asyncio.sleep(1.0)
        table.hangs = True
        table.restore(2, {"a": 1})
        table.put("b", 7)
        table.put("a", 2)
        table.hangs = False
        await asyncio.sleep(1.0)
        assert entries == {"a": 2, "b": 7}

    follow(scenario)


def test_the_newest_version_goes_back_with_the_store():
    """Guards against a host that counts as newest until it is overtaken."""

    async def scenario(table, follower, entries):
        for value in range(9):
            table.put("a", value)
        await asyncio.sleep(1.0)
        assert follower.newest == 10
        table.restore(2, {"a": 0})
        table.put("a", 1)
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.06)
        table.problem = None
        await asyncio.sleep(1.0)
        assert (follower.era, follower.newest) == (2, 3)

    follow(scenario)


def test_the_newest_version_goes_back_without_an_era():
    """Guards against the same with a store that names no era."""

    async def scenario(table, follower, entries):
        for value in range(9):
            table.put("a", value)
        await asyncio.sleep(1.0)
        table.restore(2, {"a": 0})
        table.era = _direct_ports.UNKNOWN_ERA
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.06)
        table.problem = None
        await asyncio.sleep(1.0)
        assert follower.newest == 2

    follow(scenario, era=_direct_ports.UNKNOWN_ERA)


def test_two_restores_within_a_second_are_both_followed():
    """Guards against following the first restored copy after the second."""

    async def scenario(table, follower, entries):
        for value in range(9):
            table.put("a", value)
        await asyncio.sleep(1.0)
        table.restore(4, {"a": 2})
        table.put("b", 1)
        await asyncio.sleep(0.3)
        table.restore(2, {"a": 0})
        table.put("c", 1)
        for value in range(9):
            table.put("a", value)
        await asyncio.sleep(1.5)
        assert (entries["a"], entries["c"]) == (8, 1)
        assert (follower.era, follower.newest) == (3, table.newest)

    follow(scenario)


def test_changing_eras_cause_no_read_without_a_call_in_between():
    """Guards against reading for ever if each answer names another era."""

    async def scenario(table, follower, entries):
        read = table.read

        async def read_next_era(progress):
            table.era += 1
            return await read(progress)

        table.read = read_next_era
        table.put("a", 1)
        await asyncio.sleep(3.0)
        assert entries == {"a": 1}
        assert table.reads <= 2

    follow(scenario)


def test_a_hanging_call_is_replaced_when_another_host_has_a_later_era():
    """Guards against a restore that hides a call that hangs.

    The other host has a lower version, which is newer.
    """

    async def scenario(table, follower, entries):
        for value in range(9):
            table.put("a", value)
        await asyncio.sleep(1.0)
        table.hangs = True
        table.restore(2, {"a": 0})
        table.put("b", 7)
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(1.0)
        assert entries == {"a": 0, "b": 7}

    follow(scenario)


def test_a_host_of_an_earlier_era_causes_no_reads():
    """Guards against reading again and again until versions exceed the old.

    The other host has not noticed yet that the store was restored.
    """

    async def scenario(table, follower, entries):
        for value in range(9):
            table.put("a", value)
        await asyncio.sleep(1.0)
        old = (table.newest, table.era)
        table.restore(2, {"a": 0})
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.06)
        table.problem = None
        await asyncio.sleep(0.5)
        reads = table.reads
        for _ in range(12):
            follower.observe_peer(*old)
            await asyncio.sleep(0.25)
        assert table.reads == reads

    follow(scenario)


def test_a_version_that_the_store_does_not_have_causes_few_reads():
    """Guards against reading twice a second because of one wrong version.

    It may be forged, or come from a host that has not noticed a restore of a
    store that names no era. A newer version still causes a read at once.
    """

    async def scenario(table, follower, entries):
        table.put("a", 1)
        await asyncio.sleep(1.0)
        for _ in range(80):
            follower.observe_peer(900, table.era)
            await asyncio.sleep(0.25)
            follower.observe_peer(5, 1 << 60)
        assert table.reads <= 12
        table.hangs = True
        table.put("a", 2)
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(1.0)
        assert entries == {"a": 2}

    follow(scenario)
