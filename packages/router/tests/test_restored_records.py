"""Ownership of keys while the store is restored from an older copy."""

import asyncio

import key_world
import pytest
import virtual_time

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_lease,
    _direct_ports,
    _record_trust,
)

#: Seconds for which keys move before the fault, so that copies of different
#: ages hold different maps.
MOVES_S = 10.0

#: Seconds until the first map of keys is recorded and all keys are held.
START_S = 6.0

#: Seconds until keys no longer move after a change of the upstreams.
CALM_S = 6.0

#: Seconds for which the store is away before it comes back older.
OUTAGE_S = 2.0

KEY_COUNT = sycamoreloft_direct.KEY_COUNT


def _list_coordinators(world):
    return [
        host
        for host in world.hosts.values()
        if host.coordinator_role.is_coordinator and not host.task.done()
    ]


async def _replace_upstreams(world):
    """Replaces upstreams in turn, so that their keys move."""
    for number in range(3):
        world.start_upstream(f"n{number}")
        await asyncio.sleep(1.0)
        leaving = world.upstreams[f"u{number}"]
        leaving.draining = True
        await asyncio.sleep(MOVES_S / 3 - 1.0)
        leaving.draining = False


async def _start(seed, hosts=3):
    world = key_world.World(seed, hosts=hosts)
    await asyncio.sleep(START_S)
    await _replace_upstreams(world)
    assert not world.problems
    return world


async def _restore(world, age_s, outage_s, delay_s=0.0):
    await asyncio.sleep(delay_s)
    world.store.down = True
    await asyncio.sleep(outage_s)
    world.store.restore(age_s)
    world.store.down = False


async def _check_recovery(world):
    world.end_faults()
    for host in world.hosts.values():
        if host.task.done() or host.task.cancelling():
            host.start()
    await asyncio.sleep(key_world.RECOVERY_S)
    assert not world.problems, world.problems[:3]
    assert world.count_served() == KEY_COUNT


# Guards against a successor that takes an older map of keys for the truth, and
# gives keys to their owners of that time while others hold them.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("age_s", [2.0, 5.0, 9.0])
@pytest.mark.parametrize("lost_after_s", [-1.5, 0.5, 2.1])
def test_coordinator_lost_around_a_restore(seed, age_s, lost_after_s):
    async def main():
        world = await _start(seed)
        (coordinator,) = _list_coordinators(world)
        if lost_after_s < 0:
            coordinator.kill()
            await asyncio.sleep(-lost_after_s)
            await _restore(world, age_s, OUTAGE_S)
        elif lost_after_s < OUTAGE_S:
            restore = asyncio.create_task(_restore(world, age_s, OUTAGE_S))
            await asyncio.sleep(lost_after_s)
            coordinator.kill()
            await restore
        else:
            await _restore(world, age_s, OUTAGE_S)
            await asyncio.sleep(lost_after_s - OUTAGE_S)
            coordinator.kill()
        await _check_recovery(world)

    virtual_time.run(main())


# Guards against an interruption of all keys although the coordinator lives: it
# knows the owners, and their leases last longer than its next election.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("outage_s", [0.0, 2.0])
def test_restore_beside_a_live_coordinator_interrupts_no_key(seed, outage_s):
    async def main():
        world = await _start(seed)
        # Moves interrupt keys for a moment.
        await asyncio.sleep(CALM_S)
        await _restore(world, CALM_S + 5.0, outage_s)
        for _ in range(60):
            await asyncio.sleep(0.1)
            assert world.count_served() == KEY_COUNT
        await _check_recovery(world)

    virtual_time.run(main())


# Guards against keys that are out of service for long where the coordinator is
# lost with the restore, but another host knows the owners.
@pytest.mark.parametrize("seed", range(4))
def test_keys_are_served_soon_where_a_live_host_knows_the_owners(seed):
    async def main():
        world = await _start(seed)
        (coordinator,) = _list_coordinators(world)
        world.store.restore(5.0)
        coordinator.kill()
        await asyncio.sleep(5.0)
        assert world.count_served() == KEY_COUNT
        await _check_recovery(world)

    virtual_time.run(main())


# Guards against owners by an older map where no process remembers a newer one.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("age_s", [2.0, 5.0, 9.0])
def test_all_hosts_lose_power_in_the_outage(seed, age_s):
    async def main():
        world = await _start(seed)
        world.store.down = True
        await asyncio.sleep(0.5)
        for host in world.hosts.values():
            host.kill()
        await asyncio.sleep(0.3)
        for host in world.hosts.values():
            host.start()
        world.store.restore(age_s)
        world.store.down = False
        await _check_recovery(world)

    virtual_time.run(main())


# Guards against the same failure where the hosts start before the store is
# back, or have followed the restored store for a moment when they lose power.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("age_s", [2.0, 5.0, 9.0])
@pytest.mark.parametrize("lost_after_s", [-0.3, 0.5, 2.1])
def test_all_hosts_lose_power_around_a_restore(seed, age_s, lost_after_s):
    async def main():
        world = await _start(seed)
        delay_s = max(0.0, -lost_after_s)
        restore = asyncio.create_task(
            _restore(world, age_s, OUTAGE_S, delay_s=delay_s)
        )
        await asyncio.sleep(max(0.0, lost_after_s))
        for host in world.hosts.values():
            host.kill()
        await asyncio.sleep(0.3)
        for host in world.hosts.values():
            host.start()
        await restore
        await _check_recovery(world)

    virtual_time.run(main())


# Guards against an epoch, and so a range of fencing tokens, that is given out
# twice: the copy is older than the last change of the coordinator.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lose_all", [False, True])
def test_copy_is_older_than_the_last_coordinator(seed, lose_all):
    async def main():
        world = await _start(seed)
        (first,) = _list_coordinators(world)
        first.kill()
        await asyncio.sleep(1.0)
        first.start()
        await asyncio.sleep(5.0)
        (second,) = _list_coordinators(world)
        epochs = {second.coordinator_role._tenure.epoch}
        world.store.restore(8.0)
        for host in world.hosts.values():
            if lose_all or host is second:
                host.kill()
        await asyncio.sleep(0.3)
        for host in world.hosts.values():
            if host.task.done() or host.task.cancelling():
                host.start()
        await asyncio.sleep(9.0)
        (third,) = _list_coordinators(world)
        assert third.coordinator_role._tenure.epoch > max(epochs)
        await _check_recovery(world)

    virtual_time.run(main())


# Guards against a coordinator that finds no records and gives all keys away as
# if nobody had ever held them.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lose_all", [False, True])
def test_copy_is_older_than_the_first_records(seed, lose_all):
    async def main():
        world = await _start(seed)
        (coordinator,) = _list_coordinators(world)
        epoch = coordinator.coordinator_role._tenure.epoch
        world.store.restore(3600.0)
        assert not world.store.records
        for host in world.hosts.values():
            if lose_all or host is coordinator:
                host.kill()
                host.start()
        await asyncio.sleep(9.0)
        (successor,) = _list_coordinators(world)
        assert successor.coordinator_role._tenure.epoch > epoch
        await _check_recovery(world)

    virtual_time.run(main())


# Guards against a coordinator that is elected between two restores and lost
# with its record, within one lease.
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("gap_s", [0.3, 1.0, 1.5, 3.0])
def test_two_restores_within_a_lease(seed, gap_s):
    async def main():
        world = await _start(seed)
        (coordinator,) = _list_coordinators(world)
        world.store.restore(5.0)
        if seed % 2:
            coordinator.kill()
        await asyncio.sleep(gap_s)
        world.store.restore(9.0)
        for host in _list_coordinators(world):
            host.kill()
        await _check_recovery(world)

    virtual_time.run(main())


# Guards against a conditional write that matches by accident: a coordinator
# stands still while the store is restored and versions are assigned again.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "key", [_coordinator_lease.LEASE_KEY, _coordinator_lease.MAP_KEY]
)
def test_write_with_a_version_of_an_earlier_era(seed, key):
    async def main():
        world = await _start(seed)
        (old,) = _list_coordinators(world)
        tenure = old.coordinator_role._tenure
        old.frozen_until = world.now() + 8.0
        world.store.restore(9.0)
        await asyncio.sleep(6.0)
        (new,) = [host for host in _list_coordinators(world) if host is not old]
        # Assigns the version that the old coordinator expects.
        record = world.store.records[key]
        version = (
            tenure._lease_version
            if key == _coordinator_lease.LEASE_KEY
            else tenure._map_record._version
        )
        world.store.records[key] = _direct_ports.Record(record.value, version)
        await asyncio.sleep(3.5)
        assert not old.coordinator_role.is_coordinator or (
            old.coordinator_role._tenure is not tenure
        )
        new.kill()
        await _check_recovery(world)

    virtual_time.run(main())


def _trust_records(stored, heard):
    """Takes any record for the latest, as before restores were known."""
    return _record_trust.JudgedMap(
        stored.key_map, sycamoreloft_direct.MapTrust.RECORDED, heard
    )


# Guards against an oracle that misses what only a restore of the store causes:
# with the planted fault, each loss of the coordinator beside a restore gives
# keys a second owner, and none without one does.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_restored", [True, False])
def test_oracle_finds_owners_by_a_restored_map(monkeypatch, seed, is_restored):
    monkeypatch.setattr(_record_trust, "judge_map", _trust_records)

    async def main():
        world = await _start(seed)
        (coordinator,) = _list_coordinators(world)
        if is_restored:
            world.store.restore(5.0)
        coordinator.kill()
        await asyncio.sleep(key_world.RECOVERY_S)
        assert bool(world.problems) == is_restored

    virtual_time.run(main())
