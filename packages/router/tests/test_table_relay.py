"""Hosts that the coordinator passes changes of the table of upstreams.

Each scenario bounds the time until all hosts know of a shutdown: drain time
(2 s) less the time for which leaving owners are still used (0.8 s).
"""

import asyncio
import random

import fake_table
import pytest
import relay_world

import sycamoreloft_direct
from sycamoreloft_router import _direct_ports

KNOWN_WITHIN_S = 1.2

#: Longer than an offer of the coordinator is valid.
OFFER_LAPSES_S = 7.5


async def await_shutdown(world, key, hosts=None):
    """Lets an upstream drain, and checks that hosts know it in time."""
    world.put(key, is_draining=True)
    await asyncio.sleep(KNOWN_WITHIN_S)
    informed = world.list_informed(key)
    expected = list(world.hosts.values()) if hosts is None else hosts
    assert [host for host in expected if host not in informed] == []


@pytest.mark.parametrize("count", [39, 45])
def test_calls_grow_with_domains_instead_of_hosts(count):
    """Guards against a call of each host to the store for each change."""

    async def scenario(world):
        relayed = count >= 40
        assert len(world.list_relayed()) == (count - 4 if relayed else 0)
        before = world.count_calls()
        for number in range(10):
            world.put(f"n{number}")
            await asyncio.sleep(1.5)
        callers = 4 if relayed else count
        # Besides the changes, a call ends after 20 s without one.
        assert world.count_calls() - before <= callers * 11
        assert world.count_calls() - before >= callers * 10
        assert all(len(host.entries) == 12 for host in world.hosts.values())

    relay_world.play(scenario, count=count)


def test_a_shutdown_reaches_all_hosts_without_their_calls():
    async def scenario(world):
        before = sum(host.table.calls for host in world.list_relayed())
        await await_shutdown(world, "u1")
        assert before == sum(host.table.calls for host in world.list_relayed())

    relay_world.play(scenario)


def freeze(world):
    world.coordinator.frozen = True


def kill(world):
    for task in world.coordinator.tasks:
        task.cancel()
    world.coordinator.is_cut = True


def cut_from_store(world):
    world.coordinator.table.problem = _direct_ports.ReadProblem.UNAVAILABLE
    world.coordinator.store_age_s = 1.2


def hang_call(world):
    world.coordinator.table.hangs = True


@pytest.mark.parametrize("fail", [freeze, kill, cut_from_store])
def test_a_shutdown_is_known_while_the_coordinator_fails(fail):
    """Guards against hosts that rely on a coordinator that has failed."""

    async def scenario(world):
        world.spread_s = 0.29
        others = world.list_others()
        fail(world)
        await await_shutdown(world, "u1", others)

    relay_world.play(scenario)


def test_a_hanging_call_of_the_coordinator_is_noticed_by_a_witness():
    """Guards against a coordinator that names an old version for ever."""

    async def scenario(world):
        hang_call(world)
        # A change of the upstream, not its shutdown: departures have a way of
        # their own.
        world.put("u3")
        await asyncio.sleep(1.5)
        assert all("u3" in host.entries for host in world.hosts.values())

    relay_world.play(scenario)


def test_hosts_that_are_cut_from_the_coordinator_follow_the_store():
    async def scenario(world):
        cut = world.list_relayed()[:10]
        for host in cut:
            host.is_cut = True
        reads = [host.table.reads for host in cut]
        await await_shutdown(world, "u1")
        assert [host.table.reads for host in cut] == reads
        assert all(not host.relay.is_relayed for host in cut)

    relay_world.play(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_lost_repeated_and_reordered_datagrams_lose_no_change(seed):
    """Guards against changes that are applied over a gap or a later one."""

    async def scenario(world):
        generator = random.Random(seed)

        def choose_delays(receiver):
            copies = generator.choice((0, 1, 1, 1, 2))
            return [generator.uniform(0.0, 0.3) for _ in range(copies)]

        world.choose_delays = choose_delays
        for _ in range(30):
            key = f"n{generator.randrange(8)}"
            if generator.random() < 0.3 and key in world.table.values:
                world.table.put(key, None)
            else:
                world.put(key, is_draining=generator.random() < 0.5)
            await asyncio.sleep(generator.uniform(0.05, 0.6))
        world.choose_delays = lambda receiver: [receiver.delay_s]
        await asyncio.sleep(3.0)
        expected = {k: v for k, v in world.table.values.items() if v}
        assert all(host.entries == expected for host in world.hosts.values())

    relay_world.play(scenario)


def test_a_host_that_stood_still_does_not_trust_what_arrived_meanwhile():
    """Guards against heartbeats that waited in the socket of a frozen host."""

    async def scenario(world):
        host = world.list_relayed()[0]
        waiting = []
        host.receive = lambda data, sender: waiting.append((data, sender))
        host.frozen = True
        await asyncio.sleep(1.5)
        world.put("u1", is_draining=True)
        del host.receive
        for data, sender in waiting[:3]:
            host.receive(data, sender)
        assert not host.relay.is_relayed
        await asyncio.sleep(0.1)
        assert host in world.list_informed("u1")

    relay_world.play(scenario)


def test_delayed_datagrams_do_not_count_as_fresh():
    """Guards against heartbeats that arrive regularly, but seconds late."""

    async def scenario(world):
        late = world.list_relayed()[:5]
        for step in range(1, 11):
            for host in late:
                host.delay_s = 0.3 * step
            await asyncio.sleep(0.5)
        await await_shutdown(world, "u1")
        assert all(not host.relay.is_relayed for host in late)

    relay_world.play(scenario)


def test_a_restored_store_is_read_by_each_host():
    """Guards against versions that are assigned a second time."""

    async def scenario(world):
        before = {host: host.table.reads for host in world.hosts.values()}
        world.table.restore(
            2, {"u1": relay_world.build_upstream("u1", is_draining=True)}
        )
        await asyncio.sleep(1.0)
        world.put("u9")
        await asyncio.sleep(3.0)
        for host in world.hosts.values():
            assert set(host.entries) == {"u1", "u9"}
            assert host.table.reads > before[host]
        await asyncio.sleep(6.0)
        assert len(world.list_relayed()) == world.count - 4

    relay_world.play(scenario)


def test_removals_that_only_a_full_read_shows_reach_all_hosts():
    """Guards against entries that expired while the coordinator was cut off.

    A read of the whole table does not name them, nor a newer version.
    """

    async def scenario(world):
        world.put("u4")
        # Offers, which tell it too, are 2 s apart; the next one is late.
        await asyncio.sleep(2.0)
        newest = world.table.newest
        world.coordinator.table.problem = _direct_ports.ReadProblem.UNAVAILABLE
        await asyncio.sleep(0.2)
        world.table.put("u1", None)
        del world.table.values["u1"], world.table.written["u1"]
        world.table.newest = newest
        relayed = world.list_relayed()
        world.coordinator.table.problem = None
        await asyncio.sleep(KNOWN_WITHIN_S)
        assert relayed
        assert all("u1" not in host.entries for host in relayed)

    relay_world.play(scenario)


def test_a_restored_store_without_eras_is_followed_by_all():
    """Guards against a restore that no era shows to hosts without calls."""

    async def scenario(world):
        assert world.list_relayed()
        for host in world.hosts.values():
            host.follower.era = _direct_ports.UNKNOWN_ERA
        world.table.era = _direct_ports.UNKNOWN_ERA
        world.coordinator.follower.restored_at = 1.0
        await asyncio.sleep(OFFER_LAPSES_S)
        assert not world.list_relayed()

    relay_world.play(scenario)


def test_changes_of_a_store_that_was_never_restored_are_relayed():
    """Guards against hosts that all follow a store that names no era yet."""

    async def scenario(world):
        await asyncio.sleep(OFFER_LAPSES_S)
        assert world.list_relayed()

    relay_world.play(scenario, era=_direct_ports.UNKNOWN_ERA)


def test_a_follower_applies_only_changes_without_a_gap_or_a_pending_call():
    """Guards against an older answer, or a lost change, that goes unnoticed."""

    async def scenario(table, follower, entries):
        changes = sycamoreloft_direct.TableChanges(1, 1, 3, {"a": 7})
        later = sycamoreloft_direct.TableChanges(1, 2, 4, {"b": 8})
        assert not follower.apply_relayed(changes), "a call is pending"
        follower.set_relayed(True, 0.0)
        await asyncio.sleep(0.1)
        assert not follower.apply_relayed(later)
        assert follower.apply_relayed(changes)
        assert follower.apply_relayed(later)
        assert follower.apply_relayed(changes), "it is known already"
        assert entries == {"a": 7, "b": 8}
        assert follower.known_version.version == 4
        follower.set_relayed(False, 0.0)
        await asyncio.sleep(0.1)
        assert table.followed[-1] == 4 and table.reads == 1

    fake_table.follow(scenario)
