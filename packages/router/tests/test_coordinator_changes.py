"""Replacement of a coordinator that is lost or cut off from the store."""

import asyncio
import dataclasses

import key_world
import pytest
import virtual_time

import sycamoreloft_direct
from sycamoreloft_router import _coordinator_lease

#: Seconds within which a host that reaches the store has to take over:
#: network partitions last some seconds, and less than the 12 s after which the
#: coordinator itself gives up.
TAKEOVER_S = 8.0


def find_coordinator(world):
    return next(
        host
        for host in world.hosts.values()
        if host.coordinator_role.is_coordinator
    )


@pytest.mark.parametrize("seed", range(5))
def test_a_blind_coordinator_is_replaced_also_for_hosts_that_are_cut(seed):
    """Guards against mistaking a cut-off coordinator for an outage.

    A coordinator that alone is cut off from the store goes on sending
    heartbeats. Hosts that reach the store have to replace it nevertheless.
    """

    async def main():
        world = key_world.World(seed, hosts=5)
        await asyncio.sleep(6.0)
        blind = find_coordinator(world)
        epoch = blind.coordinator_role._tenure.epoch
        others = [host for host in world.hosts.values() if host is not blind]
        cut = others[0]
        blind.cut_from_store = cut.cut_from_store = True
        ages = []
        cut.coordinator_role._observe_store_age = ages.append
        await asyncio.sleep(TAKEOVER_S)
        ages.clear()
        await asyncio.sleep(2.0)
        assert not blind.coordinator_role.is_coordinator
        assert find_coordinator(world).coordinator_role._tenure.epoch > epoch
        assert ages, "the cut host receives no heartbeats"
        assert max(ages) < 1.0, "the cut host assumes an outage of the store"
        world.end_faults()
        await asyncio.sleep(6.0)
        assert not world.problems, world.problems[:3]
        assert world.count_served() == sycamoreloft_direct.KEY_COUNT

    virtual_time.run(main())


@pytest.mark.parametrize("seed", range(5))
def test_a_coordinator_keeps_its_role_through_an_outage_for_all(seed):
    """Guards against a change of the coordinator after each outage."""

    async def main():
        world = key_world.World(seed, hosts=5)
        await asyncio.sleep(6.0)
        coordinator = find_coordinator(world)
        world.store.down = True
        await asyncio.sleep(8.0)
        world.store.down = False
        await asyncio.sleep(4.0)
        assert find_coordinator(world) is coordinator
        assert not world.problems, world.problems[:3]

    virtual_time.run(main())


@pytest.mark.parametrize("seed", range(5))
def test_a_host_with_a_wide_link_replaces_a_lost_coordinator(seed):
    """Guards against coordinators whose link is too narrow for heartbeats."""

    async def main():
        links = {f"h{number}": 10.0 for number in range(8)} | {"h5": 200.0}
        world = key_world.World(seed, hosts=8, links=links)
        await asyncio.sleep(6.0)
        assert find_coordinator(world).name == "h5"
        world.hosts["h5"].kill()
        await asyncio.sleep(8.0)
        narrow = next(
            host
            for host in world.hosts.values()
            if host.coordinator_role.is_coordinator and not host.task.done()
        )
        world.hosts["h5"].start()
        await asyncio.sleep(3.0)
        narrow.kill()
        await asyncio.sleep(8.0)
        assert world.hosts["h5"].coordinator_role.is_coordinator
        assert not world.problems, world.problems[:3]

    virtual_time.run(main())


# Guards against hosts whose process ends because of a malformed record.
@pytest.mark.parametrize(
    "key", [_coordinator_lease.LEASE_KEY, _coordinator_lease.MAP_KEY]
)
def test_hosts_go_on_where_a_record_is_malformed(key):
    async def main():
        world = key_world.World(1)
        await asyncio.sleep(6.0)
        assert find_coordinator(world) is not None
        world.store.apply({key: b"no record"}, {})
        await asyncio.sleep(20.0)
        assert not any(host.task.done() for host in world.hosts.values())
        assert not world.problems

    virtual_time.run(main())


# Guards against hosts that wait for the end of a lease that no host wrote, and
# do not read the record again.
def test_a_lease_that_ends_in_years_is_read_again():
    async def main():
        world = key_world.World(1)
        await asyncio.sleep(6.0)
        far = _coordinator_lease.Lease("x", "127.0.0.1:9", 9, 1e9)
        near = dataclasses.replace(far, expires_at=0.0)
        key = _coordinator_lease.LEASE_KEY
        world.store.apply({key: _coordinator_lease.encode_lease(far)}, {})
        await asyncio.sleep(20.0)
        assert not any(
            host.coordinator_role.is_coordinator
            for host in world.hosts.values()
        )
        world.store.apply({key: _coordinator_lease.encode_lease(near)}, {})
        await asyncio.sleep(20.0)
        assert find_coordinator(world) is not None
        assert not world.problems

    virtual_time.run(main())
