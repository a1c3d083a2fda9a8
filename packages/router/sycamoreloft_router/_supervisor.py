"""Supervisor tree: starts, restarts and stops the long-lived tasks."""

import asyncio
import collections
from collections import abc
import dataclasses
import logging
import time
import traceback

from sycamoreloft_router import _logs

_LOGGER = logging.getLogger(__name__)

#: Delay before the first restart of a task, in seconds; it doubles each time.
INITIAL_BACKOFF_S = 0.05

#: Longest delay before a restart, in seconds.
MAXIMUM_BACKOFF_S = 2.0

#: Restarts that a task may use up inside the window.
MAXIMUM_RESTARTS = 10

#: Length of the window, in seconds.
RESTART_WINDOW_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class ChildSpecification:
    """A task of the tree."""

    #: Name in logs and in the state dump.
    name: str
    #: Runs until it is cancelled; returning or raising counts as a failure.
    run: abc.Callable[[], abc.Awaitable[None]]
    #: Called once when the restarts are used up; the task is then given up.
    #: Without it the whole tree fails.
    on_give_up: abc.Callable[[], None] | None = None
    #: Whether it is restarted however often it fails.
    always_restarts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChildState:
    """What the state dump shows of a task."""

    #: Name of the task.
    name: str
    #: "running", "backing-off", "stopped" or "given-up".
    status: str
    #: Restarts since the process started.
    restarts: int
    #: Last failure, empty if there was none.
    last_failure: str


class SupervisorFailed(Exception):
    """A task that the process cannot do without used up its restarts."""


class _Child:
    def __init__(self, specification: ChildSpecification) -> None:
        self.specification = specification
        self.task: asyncio.Task[None] | None = None
        self.status = "stopped"
        self.restarts = 0
        self.last_failure = ""
        self.failure_times: collections.deque[float] = collections.deque()

    def count_failure(self, now: float) -> int:
        """Records a failure and returns how many are inside the window."""
        self.failure_times.append(now)
        while self.failure_times[0] < now - RESTART_WINDOW_S:
            self.failure_times.popleft()
        return len(self.failure_times)


class Supervisor:
    """Runs child tasks and restarts them one for one with back-off.

    Args:
        clock: Monotonic clock, in seconds.
        sleep: Waits for a number of seconds; tests pass a fake.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float] = time.monotonic,
        sleep: abc.Callable[[float], abc.Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._clock = clock
        self._sleep = sleep
        self._children: dict[str, _Child] = {}
        self._failed: asyncio.Future[None] | None = None

    def start(self, specification: ChildSpecification) -> None:
        """Starts a task; a running task of the same name is kept."""
        child = self._children.get(specification.name)
        if child is not None and child.status in ("running", "backing-off"):
            return
        child = _Child(specification)
        self._children[specification.name] = child
        child.status = "running"
        child.task = asyncio.get_running_loop().create_task(self._run(child))

    async def stop(self, name: str) -> None:
        """Cancels a task and waits until it has ended."""
        child = self._children.pop(name, None)
        if child is None or child.task is None:
            return
        child.task.cancel()
        await asyncio.gather(child.task, return_exceptions=True)

    async def stop_all(self) -> None:
        """Stops every task, the last one started first."""
        for name in reversed(list(self._children)):
            await self.stop(name)

    async def wait_for_failure(self) -> None:
        """Returns never, or raises when the tree cannot go on.

        Raises:
            SupervisorFailed: A task without `on_give_up` used up its restarts.
        """
        self._failed = asyncio.get_running_loop().create_future()
        await self._failed

    def list_states(self) -> list[ChildState]:
        """Returns the state of each task for the state dump."""
        return [
            ChildState(name, child.status, child.restarts, child.last_failure)
            for name, child in self._children.items()
        ]

    async def _run(self, child: _Child) -> None:
        backoff = INITIAL_BACKOFF_S
        while True:
            child.status = "running"
            started = self._clock()
            try:
                await child.specification.run()
                child.last_failure = "returned"
            except Exception as error:  # noqa: BLE001
                # A supervisor must survive whatever a child raises.
                child.last_failure = f"{type(error).__name__}: {error}"
                _logs.log_event(
                    _LOGGER,
                    logging.ERROR,
                    "task-failed",
                    task=child.specification.name,
                    error=child.last_failure,
                    traceback=traceback.format_exc(limit=-6),
                )
            now = self._clock()
            failures = child.count_failure(now)
            if (
                failures > MAXIMUM_RESTARTS
                and not child.specification.always_restarts
            ):
                self._give_up(child)
                return
            if now - started > RESTART_WINDOW_S:
                backoff = INITIAL_BACKOFF_S
            child.status = "backing-off"
            await self._sleep(backoff)
            backoff = min(backoff * 2, MAXIMUM_BACKOFF_S)
            child.restarts += 1

    def _give_up(self, child: _Child) -> None:
        child.status = "given-up"
        name = child.specification.name
        _logs.log_event(_LOGGER, logging.ERROR, "task-given-up", task=name)
        if child.specification.on_give_up is not None:
            child.specification.on_give_up()
        elif self._failed is not None and not self._failed.done():
            self._failed.set_exception(
                SupervisorFailed(
                    f"task {name} failed {MAXIMUM_RESTARTS + 1} times in"
                    f" {RESTART_WINDOW_S:.0f} s; see its task-failed log lines"
                )
            )
