"""Tests that merged services wait for their aliases, with two hosts."""

import asyncio
import dataclasses
import itertools
import pathlib
import selectors
import sys
import time

import pytest

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_proof import _ownership_fakes
from sycamoreloft_router import (
    _alias_releases,
    _grant_client,
    _group_calls,
    _group_runtime,
)
import sycamoreloft_wire

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import fake_store

PARTITIONS = 4
KEYS = [f"heat-{number}" for number in range(8)]


@pytest.fixture
def run_virtual(monkeypatch):
    """Runs a coroutine in an event loop with virtual time.

    The clock advances only when the loop has nothing to do, by the time until
    its next timer.
    """
    clock = [1_000.0]

    class IdleSelector(selectors.SelectSelector):
        def select(self, timeout=None):
            assert timeout is not None, "no timer is set: the scenario hangs"
            clock[0] += max(timeout, 0)
            return super().select(0)

    monkeypatch.setattr(time, "monotonic", lambda: clock[0])

    def run(coroutine):
        def make_loop():
            return asyncio.SelectorEventLoop(IdleSelector())

        with asyncio.Runner(loop_factory=make_loop) as runner:
            runner.run(coroutine)

    return run


def make_generation(number, is_merged):
    merge = sycamoreloft_config.Merge(
        (sycamoreloft_config.SameService("f/board", "g/board"),)
        if is_merged
        else ()
    )
    fleets = {
        fleet: sycamoreloft_config.Fleet(
            fleet,
            sycamoreloft_config.Weights(),
            60.0,
            600.0,
            {"d": sycamoreloft_config.FailureDomain("d")},
            {"board": sycamoreloft_config.Service("board", True, PARTITIONS)},
            {
                name: sycamoreloft_config.Upstream(
                    name, "board", "d", f"{fleet}/{name}", 4
                )
                for name in ("u0", "u1")
            },
        )
        for fleet in ("f", "g")
    }
    return sycamoreloft_config.Generation(number, fleets, merge)


BEFORE, MERGED = make_generation(1, False), make_generation(2, True)


class Platform:
    """Store and upstreams; records what each upstream owns at any time."""

    def __init__(self):
        self.store = fake_store.FakeStore()
        self.upstreams = {}
        #: Addresses of upstreams that no longer run.
        self.lost = set()
        self._grants = {}

    def record_grant(self, name, content, now, until):
        self._grants[name] = (content, until)

    async def send_grant(self, address, group, command):
        await asyncio.sleep(0.002)
        if address in self.lost:
            return None
        upstream = self.upstreams.setdefault(
            address,
            _ownership_fakes.FakeUpstream(address, True, self, 1.0, 0.0),
        )
        answer = upstream.receive_grant(command, time.monotonic())
        return _grant_client.GrantReply(*answer)

    def list_owned(self, fleet):
        """Lists the units that the fleet's upstreams own now."""
        return [
            unit
            for name, (content, until) in self._grants.items()
            if name.startswith(f"{fleet}/") and time.monotonic() < until
            for unit in content
        ]

    # `HostDirectory` and `HeadSource` of `_group_calls`.

    def find_peer_address(self, host):
        return None

    def observe_members(self, group):
        return sycamoreloft_decisions.MembersObserved({}, {})

    def announce_change(self):
        pass

    def observe_head(self, row):
        pass

    def get_applied_head_version(self):
        return self.store.get_version("config/head")


class Host:
    """A host that takes part in the only group of a fleet."""

    def __init__(self, platform, fleet, accepted):
        self.accepted = accepted
        self.releases = _alias_releases.AliasReleases(platform.store)
        self.releases.apply_generations(accepted, None)
        environment = _group_calls.GroupEnvironment(
            f"host-{fleet}",
            "process",
            platform.store,
            None,
            platform,
            platform,
            platform,
            self.releases,
        )
        group = sycamoreloft_config.GroupName(fleet, "d", 0)
        self.runtime = _group_runtime.GroupRuntime(
            environment, group, accepted, None
        )
        self.task = asyncio.ensure_future(self.runtime.run())
        self.permits = itertools.count()

    def apply(self, accepted, pending=None):
        self.accepted = accepted
        self.releases.apply_generations(accepted, pending)
        self.runtime.change_generation(accepted, pending)

    def request_permit(self, key, reply):
        fleet = self.runtime.group.fleet
        partition = sycamoreloft_config.compute_partition(
            fleet, "board", key, PARTITIONS
        )
        permit = f"permit-{next(self.permits)}"
        message = sycamoreloft_wire.PermitRequest(
            str(self.runtime.group),
            permit,
            "h",
            self.accepted.number,
            fleet,
            "board",
            key,
            partition,
            permit.encode(),
            "c",
            1,
            5_000,
        )
        self.runtime.handle_permit_request(message, reply)

    def give_back(self, grant):
        self.runtime.return_permit(
            sycamoreloft_wire.PermitReturn(
                str(self.runtime.group),
                grant.permit,
                "completed",
                1.0,
                False,
                False,
            )
        )


async def serve(platform, host, seconds):
    """Requests and returns permits for all keys for some time.

    Returns:
        The units that upstreams of fleet "g" own, once for each permit, and
        the reasons and retry delays of the refusals.
    """
    owned_at_grants, refused = [], set()

    def handle_answer(answer):
        if isinstance(answer, sycamoreloft_wire.PermitGrant):
            owned_at_grants.append(platform.list_owned("g"))
            host.give_back(answer)
        else:
            refused.add((answer.reason, answer.retry_after_ms))

    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for key in KEYS:
            host.request_permit(key, handle_answer)
        await asyncio.sleep(0.02)
    return owned_at_grants, refused


async def start(platform):
    """Starts one host for each fleet and waits until both services work."""
    hosts = [Host(platform, fleet, BEFORE) for fleet in ("f", "g")]
    await asyncio.sleep(3)
    for host in hosts:
        owned_at_grants, _ = await serve(platform, host, 0.1)
        assert len(owned_at_grants) >= len(KEYS)
    return hosts


async def stop(*hosts):
    for host in hosts:
        host.task.cancel()
    await asyncio.gather(*(host.task for host in hosts), return_exceptions=True)


def count_assignments(store):
    return sum(
        len(units)
        for key, row in store.rows.items()
        if key.startswith("assign/g/")
        for units in row.value["units"]
    )


@pytest.mark.parametrize("lag_s", [-0.5, 0.0, 0.5, 3.0])
@pytest.mark.parametrize("outage_s", [0.0, 2.0])
def test_merged_services_never_have_two_owners(run_virtual, lag_s, outage_s):
    """Guards against a key that upstreams of both fleets own after a merge.

    The canonical service must not be served before the alias's upstreams have
    released it, whichever host applies the merge first.
    """

    async def scenario():
        platform = Platform()
        canonical, alias = hosts = await start(platform)
        for host in hosts:
            host.apply(BEFORE, MERGED)
        await asyncio.sleep(0.2)
        assert platform.list_owned("g")
        platform.store.down = outage_s > 0
        first, second = hosts if lag_s >= 0 else reversed(hosts)
        first.apply(MERGED)
        early, reasons = await serve(platform, canonical, abs(lag_s))
        second.apply(MERGED)
        late, more = await serve(platform, canonical, outage_s + 0.1)
        platform.store.down = False
        served, _ = await serve(platform, canonical, 5)
        assert not any(early + late + served)
        # A request that waited while the merge was pending is refused because
        # it names the earlier generation.
        assert reasons | more <= {
            ("configuration-pending", 100),
            ("stale-generation", 0),
        }
        assert len(served) > 100 * len(KEYS)
        assert count_assignments(platform.store) == 0
        await stop(*hosts)

    run_virtual(scenario())


def test_a_new_holder_after_the_merge_waits_for_the_release(run_virtual):
    """Guards against a new holder that serves before the alias is released.

    It knows the merge from the files, but has not seen the alias's rows yet.
    """

    async def scenario():
        platform = Platform()
        canonical, alias = await start(platform)
        for host in (canonical, alias):
            host.apply(BEFORE, MERGED)
        await asyncio.sleep(0.2)
        await stop(canonical)
        successor = Host(platform, "f", MERGED)
        await asyncio.sleep(5)
        early, reasons = await serve(platform, successor, 1)
        assert (early, reasons) == ([], {("configuration-pending", 100)})
        assert platform.list_owned("g")
        alias.apply(MERGED)
        await asyncio.sleep(3)
        served, _ = await serve(platform, successor, 1)
        assert len(served) >= len(KEYS)
        assert not any(served)
        await stop(successor, alias)

    run_virtual(scenario())


def test_requests_queued_before_the_merge_wait_for_the_release(run_virtual):
    """Guards against permits issued for queued requests before the release."""

    async def scenario():
        platform = Platform()
        canonical, alias = await start(platform)
        answers = []
        for _ in range(4):
            for key in KEYS:
                canonical.request_permit(key, answers.append)
        issued = len(answers)
        assert 0 < issued < 4 * len(KEYS)
        canonical.apply(MERGED)
        for answer in answers[:issued]:
            if isinstance(answer, sycamoreloft_wire.PermitGrant):
                canonical.give_back(answer)
        await asyncio.sleep(0.5)
        assert len(answers) == issued
        alias.apply(MERGED)
        await asyncio.sleep(2)
        later = answers[issued:]
        assert any(
            isinstance(answer, sycamoreloft_wire.PermitGrant)
            for answer in later
        )
        await stop(canonical, alias)

    run_virtual(scenario())


def test_released_aliases_are_not_polled(run_virtual):
    """Guards against polling that continues after all aliases are released."""

    async def scenario():
        platform = Platform()
        prefixes = []
        read = platform.store.read

        async def count_read(keys=(), prefixes_read=()):
            prefixes.extend(prefixes_read if not keys else ())
            return await read(keys, prefixes_read)

        platform.store.read = count_read
        hosts = await start(platform)
        assert prefixes == []
        for host in hosts:
            host.apply(MERGED)
        await asyncio.sleep(10)
        # Only the holder of the canonical service reads the alias's rows.
        assert prefixes == ["assign/g/"] * len(prefixes)
        assert 1 <= len(prefixes) <= 3
        assert not hosts[0].releases.list_waiting()
        await stop(*hosts)

    run_virtual(scenario())


def test_a_merge_can_be_undone_and_made_again(run_virtual):
    """Guards against using the release of an earlier merge.

    The alias's upstreams own its keys again after the merge was undone.
    """

    async def scenario():
        platform = Platform()
        canonical, alias = hosts = await start(platform)
        for number, is_merged in ((2, True), (3, False), (4, True)):
            generation = make_generation(number, is_merged)
            for host in hosts:
                host.apply(host.accepted, generation)
            await asyncio.sleep(0.2)
            for host in hosts:
                host.apply(generation)
            owned_at_grants, reasons = await serve(platform, canonical, 4)
            assert len(owned_at_grants) > 50 * len(KEYS)
            if is_merged:
                assert not any(owned_at_grants)
                assert reasons == {("configuration-pending", 100)}
                assert count_assignments(platform.store) == 0
            else:
                assert reasons == set()
                assert count_assignments(platform.store) == PARTITIONS
                assert len((await serve(platform, alias, 0.1))[0]) >= len(KEYS)
        await stop(*hosts)

    run_virtual(scenario())


@pytest.mark.parametrize("lost", [("u0",), ("u0", "u1")])
def test_the_release_of_lost_upstreams_is_recorded(run_virtual, lost):
    """Guards against waiting forever for upstreams that no longer run."""

    async def scenario():
        platform = Platform()
        hosts = await start(platform)
        platform.lost = {f"g/{name}" for name in lost}
        await asyncio.sleep(3)
        fleet = MERGED.fleets["g"]
        upstreams = {
            name: dataclasses.replace(upstream, lost=name in lost)
            for name, upstream in fleet.upstreams.items()
        }
        fleet = dataclasses.replace(fleet, upstreams=upstreams)
        generation = dataclasses.replace(
            MERGED, fleets={**MERGED.fleets, "g": fleet}
        )
        for host in hosts:
            host.apply(generation)
        owned_at_grants, _ = await serve(platform, hosts[0], 4)
        assert len(owned_at_grants) > 50 * len(KEYS)
        assert not any(owned_at_grants)
        assert count_assignments(platform.store) == 0
        await stop(*hosts)

    run_virtual(scenario())
