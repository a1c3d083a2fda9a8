"""Supervisor of the long-lived tasks: starts, restarts and stops them."""

import asyncio
import collections
from collections import abc
import dataclasses
import logging
import time
import traceback

from sycamoreloft_router import _logs

_LOGGER = logging.getLogger(__name__)

#: Delay before the first restart of a task, in seconds. It doubles each time.
INITIAL_BACKOFF_S = 0.05

#: Maximum delay before a restart, in seconds.
MAXIMUM_BACKOFF_S = 2.0

#: Maximum number of restarts of a task within the window.
MAXIMUM_RESTARTS = 10

#: Length of the sliding window for counting restarts, in seconds.
RESTART_WINDOW_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class ChildSpecification:
    """Specification of a supervised task."""

    #: Name in logs and in the state dump; unique in the supervisor.
    name: str
    #: Runs until it is cancelled; returning or raising is counted as a failure.
    run: abc.Callable[[], abc.Awaitable[None]]
    #: Called once if the task exceeds its restarts; the task then stays
    #: stopped. If None, the whole supervisor fails instead.
    on_give_up: abc.Callable[[], None] | None = None
    #: Whether the task is restarted without a limit.
    always_restarts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChildState:
    """State of a task, for the state dump."""

    #: Name, as in its specification.
    name: str
    #: "running", "backing-off", "stopped" or "given-up".
    status: str
    #: Number of restarts since the task was started.
    restarts: int
    #: Type and message of the latest exception, or "returned"; empty if the
    #: task has not failed.
    last_failure: str


class SupervisorFailed(Exception):
    """A task without which the process cannot run exceeded its restarts."""


class _Child:
    def __init__(self, specification: ChildSpecification) -> None:
        self.specification = specification
        self.task: asyncio.Task[None] | None = None
        self.status = "stopped"
        self.restarts = 0
        self.last_failure = ""
        self.failure_times: collections.deque[float] = collections.deque()

    def count_failure(self, now: float) -> int:
        """Records a failure and returns the number of those in the window."""
        self.failure_times.append(now)
        while self.failure_times[0] < now - RESTART_WINDOW_S:
            self.failure_times.popleft()
        return len(self.failure_times)


class Supervisor:
    """Runs tasks and restarts each one that fails, with exponential backoff.

    Args:
        clock: Monotonic clock, in seconds.
        sleep: Waits for a number of seconds; replaced in tests.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float] = time.monotonic,
        sleep: abc.Callable[[float], abc.Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._clock = clock
        self._sleep = sleep
        self._children: dict[str, _Child] = {}
        self._failure: asyncio.Future[None] | None = None

    def start(self, specification: ChildSpecification) -> None:
        """Starts a task, unless a task of the same name is running."""
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
        """Stops all tasks, in the reverse order of their start."""
        for name in reversed(list(self._children)):
            await self.stop(name)

    async def wait_for_failure(self) -> None:
        """Waits until the supervisor fails; never returns without an error.

        Raises:
            SupervisorFailed: A task without `on_give_up` exceeded its restarts.
        """
        self._failure = asyncio.get_running_loop().create_future()
        await self._failure

    def list_states(self) -> list[ChildState]:
        """Returns the state of each task, for the state dump."""
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
                # Any exception of a task must not stop the supervisor.
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
        elif self._failure is not None and not self._failure.done():
            self._failure.set_exception(
                SupervisorFailed(
                    f"task {name} failed {MAXIMUM_RESTARTS + 1} times in"
                    f" {RESTART_WINDOW_S:.0f} s; see its task-failed log lines"
                )
            )
