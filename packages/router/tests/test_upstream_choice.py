"""Choice of the owner for a request, and the wait for an owner."""

import asyncio
import dataclasses
import random
import types

import pytest
import virtual_time

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _direct_views,
    _exchange,
    _key_directory,
    _metrics,
    _upstream_choice,
)
from sycamoreloft_router.load import _admission_gate

SERVICE = "boards"
OWNER = sycamoreloft_direct.UpstreamRun("u0", 1)
OTHER = sycamoreloft_direct.UpstreamRun("u1", 1)


@dataclasses.dataclass
class Request:
    """A request for a key."""

    service: str = SERVICE
    key: int = 7
    caller: str = "10.0.0.9"
    request_id: str = "r1"
    route: sycamoreloft_direct.Route = sycamoreloft_direct.Route(
        "reads",
        "race.example",
        "/",
        (sycamoreloft_direct.Target(SERVICE, 1),),
        sycamoreloft_direct.RouteKind.IDEMPOTENT,
        timeout_s=4.0,
        latency_target_s=2.0,
        attempts=2,
        priority=1,
    )


@pytest.fixture
def services():
    """Shared services whose map has a single owner, which is not listed."""
    directory = _key_directory.KeyDirectory()
    ranges = (
        sycamoreloft_direct.KeyRange(
            0, sycamoreloft_direct.KEY_COUNT - 1, OWNER
        ),
    )
    keys = sycamoreloft_direct.ServiceKeys(SERVICE, ranges)
    directory.update(sycamoreloft_direct.KeyMap(1, 1, {SERVICE: keys}))
    generator = random.Random(1)
    pool = sycamoreloft_load.UpstreamPool("z", generator)
    gate = _admission_gate.AdmissionGate(
        _direct_views.StateView(),
        sycamoreloft_load.ResetLimits(generator),
        sycamoreloft_load.RetryTimes(generator),
        lambda record, now: None,
        _metrics.Metrics(),
        None,
    )
    return types.SimpleNamespace(
        directory=directory,
        generator=generator,
        pool=pool,
        leaving_s=1.0,
        loop=None,
        gate=gate,
    )


async def _choose_upstream(services, deadline_s=5.0):
    """Chooses an upstream.

    Returns:
        Its record, the choice, and the seconds that the choice took.
    """
    services.loop = asyncio.get_running_loop()
    started_at = services.loop.time()
    received = _exchange.ReceivedRequest(None, 0, b"", started_at + deadline_s)
    choice = _upstream_choice.UpstreamChoice(services, Request(), received)
    record = await choice.choose_upstream()
    return record, choice, services.loop.time() - started_at


# Guards against requests that wait although no upstream can serve them soon.
def test_a_request_for_a_lost_owner_is_refused_at_once(services):
    async def main():
        _, _, first_s = await _choose_upstream(services)
        _, choice, second_s = await _choose_upstream(services)
        assert first_s >= _upstream_choice.MAXIMUM_OWNER_WAIT_S
        assert second_s == 0.0
        assert choice.is_owner_lost
        assert choice.reason == "no-owner"

    virtual_time.run(main())


def test_a_change_of_the_map_lets_requests_wait_again(services):
    async def main():
        await _choose_upstream(services)
        changed = dataclasses.replace(services.directory.key_map, revision=2)
        services.directory.update(changed)
        _, _, seconds = await _choose_upstream(services)
        assert seconds >= _upstream_choice.MAXIMUM_OWNER_WAIT_S

    virtual_time.run(main())


def test_an_owner_that_is_listed_again_gets_requests(services):
    async def main():
        await _choose_upstream(services)
        now = services.loop.time()
        entry = sycamoreloft_direct.Upstream(
            "u0", 1, "10.0.0.1:1", SERVICE, "z", 6, False
        )
        services.pool.update([entry], now)
        record, _, seconds = await _choose_upstream(services)
        assert record.entry == entry
        assert seconds == 0.0

    virtual_time.run(main())


# Guards against a second loss of an owner that counts from the first one.
def test_an_owner_that_is_lost_again_is_waited_for_again(services):
    async def main():
        await _choose_upstream(services)
        entry = sycamoreloft_direct.Upstream(
            "u0", 1, "10.0.0.1:1", SERVICE, "z", 6, False
        )
        services.pool.update([entry], services.loop.time())
        await _choose_upstream(services)
        services.pool.update([], services.loop.time())
        _, _, seconds = await _choose_upstream(services)
        assert seconds >= _upstream_choice.MAXIMUM_OWNER_WAIT_S

    virtual_time.run(main())


def build_map(revision, owner, epoch=1):
    ranges = (
        sycamoreloft_direct.KeyRange(
            0, sycamoreloft_direct.KEY_COUNT - 1, owner
        ),
    )
    keys = sycamoreloft_direct.ServiceKeys(SERVICE, ranges)
    return sycamoreloft_direct.KeyMap(epoch, revision, {SERVICE: keys})


@pytest.fixture
def tried_choice(services):
    """Returns a function that creates a choice after an attempt at OWNER."""

    async def create():
        services.loop = asyncio.get_running_loop()
        entries = [
            sycamoreloft_direct.Upstream(
                run.id, 1, "10.0.0.1:1", SERVICE, "z", 6, False
            )
            for run in (OWNER, OTHER)
        ]
        now = services.loop.time()
        services.pool.update(entries, now)
        received = _exchange.ReceivedRequest(None, 0, b"", now + 5.0)
        choice = _upstream_choice.UpstreamChoice(services, Request(), received)
        assert (await choice.choose_upstream()).entry.run == OWNER
        choice.tried.append(OWNER.id)
        choice.record_possible_run(OWNER.id)
        return choice

    return create


# Guards against a request that is worked on twice by one upstream, before and
# after another one held the key. "no change" is also all that a host knows that
# has not heard of a move away and back.
@pytest.mark.parametrize(
    "maps",
    [
        (),
        ((2, OWNER),),
        ((2, OTHER), (3, OWNER)),
        ((2, None), (3, OWNER)),
        ((3, OWNER),),
        ((1, OWNER, 2),),
        ((2, sycamoreloft_direct.UpstreamRun(OWNER.id, 2)),),
    ],
    ids=[
        "no change",
        "other keys changed",
        "moved and back",
        "without owner",
        "unknown map",
        "unknown last map of a coordinator",
        "later run under the same identifier",
    ],
)
def test_a_request_that_may_have_run_is_not_sent_to_the_same_owner(
    services, tried_choice, maps
):
    async def main():
        choice = await tried_choice()
        for changed in maps:
            services.directory.update(build_map(*changed))
        now = services.loop.time()
        assert choice.may_have_run_at_owner(now)
        assert await choice.choose_upstream() is None
        assert choice.reason == "owner-changed"

    virtual_time.run(main())


def test_a_request_that_may_have_run_is_sent_to_a_new_owner(
    services, tried_choice
):
    async def main():
        choice = await tried_choice()
        services.directory.update(build_map(2, OTHER))
        assert not choice.may_have_run_at_owner(services.loop.time())
        assert (await choice.choose_upstream()).entry.run == OTHER

    virtual_time.run(main())


@pytest.fixture
def reset_choice(services):
    """Returns a function that creates a choice after OWNER reset an attempt."""

    async def create(has_heartbeat=True):
        loop = services.loop = asyncio.get_running_loop()
        entries = [build_entry(run) for run in (OWNER, OTHER)]
        services.pool.update(entries, loop.time())
        if has_heartbeat:
            services.directory.set_moving(1, [], loop.time())
        received = _exchange.ReceivedRequest(None, 0, b"", loop.time() + 5.0)
        choice = _upstream_choice.UpstreamChoice(services, Request(), received)
        assert (await choice.choose_upstream()).entry.run == OWNER
        choice.tried.append(OWNER.id)
        choice.record_reset(OWNER.id)
        return choice

    return create


# Guards against a 502 for an idempotent request that its owner reset because it
# was full.
@pytest.mark.parametrize("maps", [(), ((2, OWNER),)])
def test_a_request_that_its_owner_reset_is_sent_there_again(
    services, reset_choice, maps
):
    async def main():
        choice = await reset_choice()
        for changed in maps:
            services.directory.update(build_map(*changed))
        started_at = services.loop.time()
        assert not choice.may_have_run_at_owner(started_at)
        assert (await choice.choose_upstream()).entry.run == OWNER
        assert 0.0 < services.loop.time() - started_at < 0.1

    virtual_time.run(main())


# Guards against two runs of a request under two leases of its key.
@pytest.mark.parametrize(
    "maps",
    [
        ((2, OTHER), (3, OWNER)),
        ((2, None), (3, OWNER)),
        ((3, OWNER),),
        ((1, OWNER, 2),),
        ((2, sycamoreloft_direct.UpstreamRun(OWNER.id, 2)),),
    ],
    ids=[
        "moved and back",
        "without owner",
        "unknown map",
        "epoch",
        "later run",
    ],
)
def test_a_request_is_not_repeated_if_its_key_may_have_moved(
    services, reset_choice, maps
):
    async def main():
        choice = await reset_choice()
        for changed in maps:
            services.directory.update(build_map(*changed))
        assert choice.may_have_run_at_owner(services.loop.time())
        assert await choice.choose_upstream() is None
        assert choice.reason == "owner-changed"

    virtual_time.run(main())


# Guards against a repeat although a move began, or may have begun unheard of.
def test_a_request_is_not_repeated_without_knowledge_of_moves(
    services, reset_choice
):
    async def main():
        choice = await reset_choice(has_heartbeat=False)
        assert choice.may_have_run_at_owner(services.loop.time())
        choice = await reset_choice()
        now = services.loop.time()
        keys = _key_directory.MovingKeys(SERVICE, 0, 9)
        services.directory.set_moving(1, [keys], now)
        assert not choice.may_have_run_at_owner(now)
        services.directory.set_moving(1, [], now + 0.1)
        assert choice.may_have_run_at_owner(now + 0.1)

    virtual_time.run(main())


def test_a_request_is_not_repeated_at_its_owner_after_a_second(
    services, reset_choice
):
    async def main():
        choice = await reset_choice()
        now = services.loop.time()
        services.directory.set_moving(1, [], now + 0.9)
        assert not choice.may_have_run_at_owner(now + 0.9)
        assert choice.may_have_run_at_owner(now + 1.0)

    virtual_time.run(main())


# Guards against a request that is worked on twice because its key was moving
# when the first attempt failed, and came back.
@pytest.mark.parametrize("owner", [OWNER, OTHER])
def test_a_request_that_may_have_run_waits_while_its_key_moves(
    services, tried_choice, owner
):
    async def main():
        choice = await tried_choice()
        now = services.loop.time()
        keys = _key_directory.MovingKeys(SERVICE, 0, 9)
        services.directory.set_moving(1, [keys], now)
        assert not choice.may_have_run_at_owner(now)
        chosen = asyncio.create_task(choice.choose_upstream())
        await asyncio.sleep(0.3)
        assert not chosen.done()
        services.directory.update(build_map(2, owner))
        services.directory.set_moving(1, [], services.loop.time())
        record = await chosen
        assert services.loop.time() - now == pytest.approx(0.3)
        if owner == OTHER:
            assert record.entry.run == OTHER
        else:
            assert record is None
            assert choice.reason == "owner-changed"

    virtual_time.run(main())


# Guards against requests that wait for an owner that wants no requests.
def test_a_request_for_a_paused_owner_is_refused_at_once(services):
    async def main():
        entry = sycamoreloft_direct.Upstream(
            "u0", 1, "10.0.0.1:1", SERVICE, "z", 6, False
        )
        services.pool.update([entry], asyncio.get_running_loop().time())
        services.pool.record_pause(
            OWNER, 5.0, asyncio.get_running_loop().time(), 1
        )
        record, choice, seconds = await _choose_upstream(services)
        assert record is None
        assert seconds == 0.0
        assert choice.reason == "owner-paused"
        times = {choice.choose_retry_after_ms() for _ in range(50)}
        assert min(times) >= 5_000
        assert max(times) - min(times) > 1_000

    virtual_time.run(main())


def build_entry(run=OWNER, **changes):
    values = {"service": SERVICE, "is_draining": False} | changes
    return sycamoreloft_direct.Upstream(
        run.id,
        run.started_ms,
        f"{run.id}:1",
        failure_domain="z",
        slots=6,
        **values,
    )


# Guards against an owner that gets requests when it should be free, and against
# requests that wait for keys that cannot move.
def test_an_evacuated_owner_is_used_until_its_keys_should_have_moved(services):
    async def main():
        now = asyncio.get_running_loop().time()
        services.pool.update([build_entry()], now)
        services.pool.evacuations.replace(["z"], now)
        record, _, _ = await _choose_upstream(services)
        assert record.entry.run == OWNER
        await asyncio.sleep(3.0)
        record, choice, seconds = await _choose_upstream(services)
        assert (record, seconds) == (None, 0.0)
        assert choice.reason == "evacuated"

    virtual_time.run(main())


# Guards against requests for keys beyond what a cold owner can bear, and
# against callers that wait for them.
def test_a_request_for_a_cold_owner_without_a_send_time_is_refused(services):
    async def main():
        now = asyncio.get_running_loop().time()
        service = sycamoreloft_direct.Service(SERVICE, True, 0, "", 9.0, 5.0)
        warm_up = services.pool.warm_up
        warm_up.set_services({SERVICE: service}, now)
        entries = [build_entry(warm_up_s=30.0), build_entry(OTHER)]
        warm_up.update(entries, now, 0.0)
        services.pool.update(entries, now)
        record, choice, seconds = await _choose_upstream(services)
        assert (record, seconds) == (None, 0.0)
        assert choice.reason == "owner-cold"
        times = {choice.choose_retry_after_ms() for _ in range(50)}
        assert min(times) > 2_000
        assert max(times) < 3_500
        warm_up.update_host_count(1, now)
        await asyncio.sleep(8.0)
        results = []
        for _ in range(40):
            results.append((await _choose_upstream(services))[0])
            await asyncio.sleep(0.5)
        assert 0 < results.count(None) < 40

    virtual_time.run(main())


# Guards against callers that are told to wait for the end of a long pause,
# though the keys of a leaving upstream move within a second, and against
# requests within that pause.
def test_the_pause_of_a_leaving_owner_is_not_waited_for(services):
    async def main():
        now = asyncio.get_running_loop().time()
        services.pool.update([build_entry(is_draining=True)], now)
        services.pool.record_pause(OWNER, 60.0, now, 1)
        record, choice, _ = await _choose_upstream(services)
        assert record is None
        assert choice.reason == "no-owner"
        assert choice.choose_retry_after_ms() <= 1_000

    virtual_time.run(main())


def test_the_new_owner_of_a_leaving_and_paused_one_gets_the_request(services):
    async def main():
        loop = asyncio.get_running_loop()
        entries = [build_entry(is_draining=True), build_entry(OTHER)]
        services.pool.update(entries, loop.time())
        services.pool.record_pause(OWNER, 60.0, loop.time(), 1)
        loop.call_later(0.3, services.directory.update, build_map(2, OTHER))
        record, _, seconds = await _choose_upstream(services)
        assert record.entry.run == OTHER
        assert 0.25 < seconds < 0.5

    virtual_time.run(main())


# Guards against a refusal because of the former owner's pause.
def test_the_pause_of_a_former_owner_prevents_no_retry(services):
    async def main():
        loop = asyncio.get_running_loop()
        services.pool.update([build_entry(), build_entry(OTHER)], loop.time())
        _, choice, _ = await _choose_upstream(services)
        services.pool.record_pause(OWNER, 60.0, loop.time(), 1)
        assert choice.is_owner_paused(loop.time())
        services.directory.update(build_map(2, OTHER))
        assert not choice.is_owner_paused(loop.time())

    virtual_time.run(main())


# Guards against callers that return within the pause because their request was
# refused for another reason, such as the retry budget.
@pytest.mark.parametrize("key", [7, -1])
def test_any_refusal_during_a_pause_names_its_end(services, key):
    async def main():
        services.loop = asyncio.get_running_loop()
        now = services.loop.time()
        services.pool.update([build_entry()], now)
        received = _exchange.ReceivedRequest(None, 0, b"", now + 5.0)
        choice = _upstream_choice.UpstreamChoice(
            services, Request(key=key), received
        )
        choice.reason = "upstream-refused-503"
        services.pool.record_pause(OWNER, 4.0, now, 1)
        assert choice.choose_retry_after_ms() >= 4_000

    virtual_time.run(main())
