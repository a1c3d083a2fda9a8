"""Tests of the supervisor."""

import asyncio

import pytest

from sycamoreloft_router import _supervisor


class FakeTime:
    """A clock that moves only when a task sleeps."""

    def __init__(self):
        self.now = 0.0
        self.delays = []

    def read(self):
        return self.now

    async def sleep(self, delay):
        self.delays.append(delay)
        self.now += delay
        await asyncio.sleep(0)


@pytest.fixture
def fake_time():
    """A fake clock, and a sleep that advances it."""
    return FakeTime()


async def fail():
    raise ValueError("broken")


def run_failing_child(fake_time, on_give_up, **changes):
    """Starts a child that always fails; returns its state at the end."""

    async def run():
        tree = _supervisor.Supervisor(fake_time.read, fake_time.sleep)
        waiter = asyncio.ensure_future(tree.wait_for_failure())
        await asyncio.sleep(0)
        tree.start(
            _supervisor.ChildSpecification("child", fail, on_give_up, **changes)
        )
        for _ in range(200):
            await asyncio.sleep(0)
        if waiter.done():
            waiter.result()
        waiter.cancel()
        return tree.list_states()[0]

    return asyncio.run(run())


def test_backoff_doubles_and_is_bounded(fake_time):
    """Guards against a task that is restarted in a busy loop."""
    run_failing_child(fake_time, lambda: None)
    assert fake_time.delays[:4] == [0.05, 0.1, 0.2, 0.4]
    assert max(fake_time.delays) == _supervisor.MAXIMUM_BACKOFF_S


def test_a_task_is_given_up_after_its_restarts(fake_time):
    """Guards against a host that holds a group but cannot serve it."""
    given_up = []
    state = run_failing_child(fake_time, lambda: given_up.append(1))
    assert given_up == [1]
    assert state.status == "given-up"
    assert state.restarts == _supervisor.MAXIMUM_RESTARTS


def test_the_tree_fails_with_a_task_that_it_needs(fake_time):
    """Guards against a process that stays up without its caller server."""
    with pytest.raises(_supervisor.SupervisorFailed, match="child"):
        run_failing_child(fake_time, None)


def test_a_kept_task_is_restarted_however_often_it_fails(fake_time):
    """Guards against an input that makes all hosts exit at once."""
    state = run_failing_child(fake_time, None, always_restarts=True)
    assert state.restarts > 2 * _supervisor.MAXIMUM_RESTARTS
    assert max(fake_time.delays) == _supervisor.MAXIMUM_BACKOFF_S


def test_stop_waits_for_the_task(fake_time):
    """Guards against a task that still runs after it was stopped."""
    ended = []

    async def run():
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(1)

    async def main():
        tree = _supervisor.Supervisor(fake_time.read, fake_time.sleep)
        tree.start(_supervisor.ChildSpecification("child", run))
        await asyncio.sleep(0)
        await tree.stop_all()

    asyncio.run(main())
    assert ended == [1]
