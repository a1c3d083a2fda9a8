"""Hosts that stop while they are or become the coordinator."""

import asyncio

import key_world
import virtual_time

import sycamoreloft_direct
from sycamoreloft_router import _coordinator_lease, _tenure


def _find_coordinator(world):
    return next(
        host
        for host in world.hosts.values()
        if host.coordinator_role.is_coordinator
    )


def _read_lease(world):
    record = world.store.records[_coordinator_lease.LEASE_KEY]
    return _coordinator_lease.decode_lease(record.value)


def _hold_writes(host):
    """Delays the host's writes until the returned event is set."""
    released = asyncio.Event()
    records = host.coordinator_role._election._records
    write = records.write

    async def write_later(values, expected):
        await released.wait()
        return await write(values, expected)

    records.write = write_later
    return released


# Guards against a stopping host that is elected and does not resign: its
# successor would wait 12 s longer before it replaces silent owners.
def test_host_that_stops_during_its_election_resigns():
    async def main():
        world = key_world.World(1, hosts=1)
        host = world.hosts["h0"]
        released = _hold_writes(host)
        await asyncio.sleep(2.0)
        await host.coordinator_role.stop()
        released.set()
        await asyncio.sleep(1.0)
        assert _read_lease(world).epoch == 1
        assert not host.coordinator_role.is_coordinator
        assert _read_lease(world).is_resigned

    virtual_time.run(main())


# Guards against orders that arrive after their coordinator has resigned. The
# successor assumes that no further grant of its predecessor arrives.
def test_resigned_coordinator_has_no_order_under_way():
    async def main():
        world = key_world.World(1)
        await asyncio.sleep(6.0)
        host = _find_coordinator(world)
        under_way = set()

        async def grant_slowly(address, order, trace=None):
            del address, trace
            under_way.add(order.order)
            try:
                await asyncio.sleep(_tenure.RESIGN_TIMEOUT_S + 3.0)
            finally:
                under_way.discard(order.order)
            return key_world.RESULT.UNKNOWN

        host.coordinator_role._platform.orders.grant = grant_slowly
        await asyncio.sleep(1.0)
        assert under_way
        await host.coordinator_role.stop()
        assert _read_lease(world).is_resigned
        assert not under_way

    virtual_time.run(main())


# Guards against grants of a killed process that a network partition delays: a
# successor at the same address has to wait for their leases like any other.
def test_killed_coordinator_is_waited_for_at_its_own_address():
    async def main():
        world = key_world.World(1, hosts=1)
        await asyncio.sleep(6.0)
        host = world.hosts["h0"]
        before = _read_lease(world)
        host.kill()
        host.start()
        await asyncio.sleep(2.0)
        after = _read_lease(world)
        assert after.epoch > before.epoch
        blind_s = sycamoreloft_direct.LeaseTimes().blind_s
        assert after.earlier_until >= before.expires_at + blind_s

    virtual_time.run(main())


# Guards against a long wait for the leases of a coordinator that never was one:
# the host itself wrote the lease, but did not receive the answer.
def test_unanswered_election_is_not_waited_for():
    async def main():
        world = key_world.World(1, hosts=1)
        world.store.lose_share = 1.0
        await asyncio.sleep(0.5)
        world.store.lose_share = 0.0
        await asyncio.sleep(6.0)
        assert world.hosts["h0"].coordinator_role.is_coordinator
        assert _read_lease(world).earlier_until == 0.0

    virtual_time.run(main())
