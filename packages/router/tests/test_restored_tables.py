"""Followers of tables of a store that is restored from an older copy."""

import asyncio
import logging

import fake_table
import pytest

from sycamoreloft_router import _direct_ports


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

    fake_table.follow(scenario)
    seen = fake_table.list_lines(caplog, "store-era-seen")
    assert [(line["era"], line["version"]) for line in seen] == [(1, 1)]
    (restored,) = fake_table.list_lines(caplog, "store-restored")
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

    fake_table.follow(scenario, era=_direct_ports.UNKNOWN_ERA)
    (restored,) = fake_table.list_lines(caplog, "store-restored")
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

    fake_table.follow(scenario)


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

    fake_table.follow(scenario)


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

    fake_table.follow(scenario, era=_direct_ports.UNKNOWN_ERA)


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

    fake_table.follow(scenario)


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

    fake_table.follow(scenario)


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

    fake_table.follow(scenario)


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

    fake_table.follow(scenario)


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

    fake_table.follow(scenario)


def test_a_later_era_in_another_answer_ends_a_pending_call(caplog):
    """Guards against waiting on a call that began in an earlier era."""
    caplog.set_level(logging.INFO)

    async def scenario(table, follower, entries):
        table.put("a", 1)
        await asyncio.sleep(1.0)
        table.hangs = True
        table.restore(1, {})
        table.put("b", 7)
        follower.observe_era(table.era)
        await asyncio.sleep(0.1)
        assert entries["b"] == 7
        follower.observe_era(table.era)
        follower.observe_era(table.era - 1)
        await asyncio.sleep(1.0)
        assert table.reads == 2

    fake_table.follow(scenario)
    (line,) = fake_table.list_lines(caplog, "store-era-later")
    assert (line["era"], line["heard_era"]) == (1, 2)
    assert line["is_pending"] and line["age_s"] > 0


def test_a_wrong_era_in_another_answer_causes_one_read():
    """Guards against reading for ever because of one malformed answer."""

    async def scenario(table, follower, entries):
        await asyncio.sleep(1.0)
        for _ in range(8):
            follower.observe_era(1 << 60)
            await asyncio.sleep(0.25)
        assert table.reads == 2

    fake_table.follow(scenario)


@pytest.mark.parametrize(("era_of_read", "reads"), [(2, 2), (1, 3)])
def test_a_full_read_that_is_pending_in_a_later_era_is_not_repeated(
    era_of_read, reads
):
    """Guards against reading each table twice after a restore.

    A read that was answered in the earlier era is repeated.
    """

    async def scenario(table, follower, entries):
        await asyncio.sleep(0.5)
        table.load_s = 1.0
        table.era = era_of_read
        table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        await asyncio.sleep(0.06)
        table.problem = None
        while table.reads < 2:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        table.era = 2
        follower.observe_era(2)
        await asyncio.sleep(3.0)
        assert table.reads == reads

    fake_table.follow(scenario)


@pytest.mark.parametrize("gets_answer", [False, True])
def test_a_host_that_was_frozen_over_two_restores_catches_up(gets_answer):
    """Guards against a call from two eras ago that is answered at last.

    Its version has been assigned again in both eras.
    """

    async def scenario(table, follower, entries):
        for value in range(4):
            table.put("a", value)
        await asyncio.sleep(1.0)
        table.hangs = True
        table.restore(3, {"a": 1})
        table.put("lost", 1)
        table.restore(2, {"a": 0})
        table.put("b", 7)
        for value in range(9):
            table.put("a", value)
        if not gets_answer:
            table.problem = _direct_ports.ReadProblem.HISTORY_LOST
        table.hangs = False
        await asyncio.sleep(0.06)
        table.problem = None
        await asyncio.sleep(1.0)
        assert entries == {"a": 8, "b": 7}
        assert (follower.era, follower.newest) == (3, table.newest)

    fake_table.follow(scenario)
