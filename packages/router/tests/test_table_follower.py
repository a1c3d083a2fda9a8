"""Followers of the platform's tables, with calls that hang or load slowly."""

import asyncio
import contextlib
import logging

import fake_table
import pytest
import virtual_time

from sycamoreloft_router import _direct_ports, _table_follower


def test_a_hanging_call_is_replaced_when_another_host_has_newer_entries():
    async def scenario(table, follower, entries):
        table.hangs = True
        table.put("a", 7)
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(1.5)
        assert entries == {"a": 7}

    fake_table.follow(scenario)


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

    fake_table.follow(scenario)


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

    fake_table.follow(scenario)


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

    fake_table.follow(scenario)


def test_a_known_version_causes_no_read():
    async def scenario(table, follower, entries):
        table.put("a", 7)
        await asyncio.sleep(0.5)
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(3.0)
        assert entries == {"a": 7} and table.reads == 1

    fake_table.follow(scenario)


def test_hosts_call_the_store_at_different_times_after_a_change():
    async def scenario(table, follower, entries):
        table.put("a", 1)
        await asyncio.sleep(0.2)
        table.put("a", 2)
        await asyncio.sleep(0.7)
        assert entries == {"a": 1}
        await asyncio.sleep(0.4)
        assert entries == {"a": 2}

    fake_table.follow(scenario, choose_spread_s=0.5)


def test_lost_history_causes_a_full_read():
    async def scenario(table, follower, entries):
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.3)
        table.problem = None
        table.put("a", 1)
        await asyncio.sleep(1.0)
        assert entries == {"a": 1} and not follower.is_store_lost

    fake_table.follow(scenario)


def test_an_outage_and_its_end_are_detected():
    async def scenario(table, follower, entries):
        table.problem = _direct_ports.ReadProblem.UNAVAILABLE
        await asyncio.sleep(2.0)
        assert follower.is_store_lost
        table.problem = None
        await asyncio.sleep(1.0)
        assert not follower.is_store_lost
        assert follower.returned_at > 0

    fake_table.follow(scenario)


def test_a_cancelled_call_is_logged_with_its_age(caplog):
    """Guards against lines that mix the time of waiting and of loading."""
    caplog.set_level(logging.INFO)

    async def scenario(table, follower, _seen):
        table.hangs = True
        table.put("a", 7)
        follower.observe_peer(table.newest, table.era)
        await asyncio.sleep(1.5)

    fake_table.follow(scenario)
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

    fake_table.follow(scenario)


def test_a_change_during_a_long_load_is_loaded_right_after_it():
    """Guards against a further delay to collect changes after a long load."""

    async def scenario(table, follower, entries):
        table.load_s = 1.0
        table.put("a", 1)
        await asyncio.sleep(0.5)
        table.put("a", 2)
        await asyncio.sleep(1.8)
        assert entries == {"a": 2}

    fake_table.follow(scenario, choose_spread_s=0.1)


@pytest.mark.parametrize("fails_in_read", [False, True])
def test_changes_that_could_not_be_applied_are_read_again(fails_in_read):
    """Guards against a restarted task that goes on behind changes it lost."""

    async def main():
        table = fake_table.FakeTable()
        table.put("a", 1)
        entries = {}
        failures = []

        def apply(values, may_fail):
            if may_fail and len(failures) < 2 and values.get("a") == 7:
                failures.append(values)
                raise RuntimeError("an entry cannot be applied")
            entries.update(values)

        follower = _table_follower.TableFollower(
            "t",
            table,
            lambda values: apply(values, fails_in_read),
            lambda values: apply(values, True),
        )

        async def supervise():
            while True:
                with contextlib.suppress(RuntimeError):
                    await follower.run()
                await asyncio.sleep(0.05)

        task = asyncio.get_running_loop().create_task(supervise())
        await asyncio.sleep(0.5)
        assert entries == {"a": 1}
        table.put("a", 7)
        await asyncio.sleep(2.0)
        assert failures
        assert entries == {"a": 7}
        task.cancel()

    virtual_time.run(main())
