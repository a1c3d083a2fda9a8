"""Sleeps that end at ticks, and hosts that wake only for due work."""

import asyncio

import key_world
import pytest
import virtual_time

from sycamoreloft_router import _coordinator_role, _ticks


async def measure_sleep(ticks, seconds, wake_after=None):
    """Returns the duration of a sleep, in seconds.

    Args:
        ticks: The timer.
        seconds: Time until something is due.
        wake_after: Time after which to wake the sleep; None to let it end.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    if wake_after is not None:
        loop.call_later(wake_after, ticks.wake)
    await ticks.sleep(seconds)
    return loop.time() - started_at


@pytest.mark.parametrize(
    ("seconds", "wake_after", "expected"),
    [
        (-1.0, None, 0.05),
        (0.02, None, 0.05),
        (0.1, None, 0.1),
        (0.12, None, 0.15),
        (10.0, 0.01, 0.05),
        (10.0, 0.26, 0.3),
        (0.1, 0.09, 0.1),
    ],
)
def test_a_sleep_ends_at_a_tick(seconds, wake_after, expected):
    """Guards against sleeps that end later than the next tick."""
    ticks = _ticks.TickTimer(0.05)
    elapsed_s = virtual_time.run(measure_sleep(ticks, seconds, wake_after))
    assert elapsed_s == pytest.approx(expected)


def test_a_sleep_returns_how_late_it_ended():
    async def main():
        ticks = _ticks.TickTimer(0.05)
        loop = asyncio.get_running_loop()
        loop.call_later(0.12, setattr, loop._jumping, "now", loop.time() + 0.5)
        return await ticks.sleep(0.2)

    assert virtual_time.run(main()) == pytest.approx(0.3)


def test_a_wake_between_two_sleeps_is_no_error():
    async def main():
        ticks = _ticks.TickTimer(0.05)
        ticks.wake()
        await ticks.sleep(0.2)
        ticks.wake()
        return await measure_sleep(ticks, 0.2)

    assert virtual_time.run(main()) == pytest.approx(0.2)


def run_by_timers(host):
    """Runs a simulated host on its own timers, and records its steps."""
    steps = []
    step = host.coordinator_role.step

    async def count_step():
        steps.append(asyncio.get_running_loop().time())
        await step()

    host.coordinator_role.step = count_step
    host.task.cancel()
    host.task = asyncio.get_running_loop().create_task(
        host.coordinator_role.run()
    )
    return steps


@pytest.mark.parametrize("seed", range(3))
def test_a_host_wakes_only_for_what_is_due(seed):
    """Guards against idle hosts that wake at each tick.

    Also guards against a host that sleeps on after the coordinator resigns.
    """

    async def main():
        world = key_world.World(seed, hosts=2)
        await asyncio.sleep(6.0)
        first, second = sorted(
            world.hosts.values(),
            key=lambda host: not host.coordinator_role.is_coordinator,
        )
        steps = run_by_timers(second)
        await asyncio.sleep(4.0)
        assert 4.0 / _coordinator_role.REPORT_INTERVAL_S * 0.7 < len(steps) < 24
        assert (
            first.coordinator_role.is_coordinator
            and not second.coordinator_role.is_coordinator
        )
        await first.coordinator_role.stop()
        first.kill()
        await asyncio.sleep(_coordinator_role.MAXIMUM_ELECTION_DELAY_S + 0.5)
        assert second.coordinator_role.is_coordinator
        # A coordinator wakes at each tick.
        steps.clear()
        await asyncio.sleep(2.0)
        assert len(steps) > 2.0 / _coordinator_role.TICK_S * 0.8
        assert not world.problems, world.problems[:3]

    virtual_time.run(main())
