"""Long run under faults: `python -m sycamoreloft_proof.soak`.

Sends requests through real routers while upstreams crash, freeze, reset, slow
down and truncate, hosts are killed, frozen and stopped, and the store fails.
The history checker judges by the upstreams' own logs.
"""

import argparse
import asyncio
import collections
from collections import abc
import dataclasses
import pathlib
import random
import shutil
import sys
import tempfile
import time

from sycamoreloft_proof import (
    _callers,
    _deployment,
    _fleets,
    _history,
    _history_checks,
    _processes,
    _summary,
)

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_POLL_S = 0.2
_READ_PERIOD_S = 1.0
#: Mean time from the begin of one fault to that of the next.
_FAULT_PERIOD_S = 1.5
#: Sendings of each crash request; at most two may reach an upstream.
_CRASH_SENDINGS = 4
_CRASH_CALLER = "soak-crash"
#: Bound of section 7.6 for the upstreams of one failure domain.
MOST_CRASHES = 2
#: Time without faults at the end, in which everything must recover.
_CALM_S = 4.0

#: Misbehaviours of an upstream, each in force for a while.
_UPSTREAM_FAULTS: abc.Sequence[dict[str, float]] = (
    {"reset_before_share": 0.3},
    {"reset_after_share": 0.3},
    {"truncate_share": 0.3},
    {"slow_ms": 150.0},
    {"late_share": 0.5, "late_ms": 300.0},
    {"twice_share": 0.5},
)
#: Faults of the store, each in force for a while.
_STORE_FAULTS: abc.Sequence[dict[str, object]] = (
    {"down": True},
    {"silent": True},
    {"delay_ms": 300.0},
    {"lose_answers": 0.5},
)
_NO_UPSTREAM_FAULTS = {
    name: 0.0 for faults in _UPSTREAM_FAULTS for name in faults
}
_NO_STORE_FAULTS: dict[str, object] = {
    "down": False,
    "silent": False,
    "delay_ms": 0.0,
    "lose_answers": 0.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SoakResult:
    """What a soak showed."""

    #: Counts of the history.
    summary: _summary.Summary
    #: Faults that were made, by kind.
    faults: abc.Mapping[str, int]
    #: Violations, in order of time.
    violations: abc.Sequence[_history.Violation]
    #: Length of the traffic, in seconds.
    duration_s: float
    #: Most upstreams that one crash request took down; section 7.6 allows 2.
    most_crashes: int

    @property
    def passed(self) -> bool:
        """Whether every condition and the bound of crashes held."""
        return not self.violations and self.most_crashes <= MOST_CRASHES

    @property
    def wrong_answers(self) -> int:
        """Answers that were not the caller's own and whole."""
        return self.summary.wrong_answers

    @property
    def repeated_runs(self) -> int:
        """Runs of an operation that had already run."""
        return self.summary.repeated_runs

    @property
    def false_did_not_run(self) -> int:
        """Requests that ran although their caller was told otherwise."""
        return self.summary.false_did_not_run

    @property
    def slots_exceeded(self) -> int:
        """Requests that came to an upstream whose slots were all taken."""
        return self.summary.slots_exceeded


class FaultMaker:
    """Makes one fault after the other, also several at once."""

    def __init__(
        self,
        deployment: _deployment.Deployment,
        sender: _callers.Sender,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._sender = sender
        self._random = random.Random(f"{seed}/faults")
        #: Faults that were made, by kind.
        self.made: dict[str, int] = {}
        # One host at a time, so that each failure domain keeps one; one
        # store fault at a time, because the last one to end ends all.
        self._host_lock = asyncio.Lock()
        self._store_lock = asyncio.Lock()
        self._upstream_locks: dict[str, asyncio.Lock] = {}
        self._kinds: dict[
            str, abc.Callable[[], abc.Coroutine[None, None, None]]
        ] = {
            "crash request": self._crash,
            "upstream kill": self._kill_upstream,
            "upstream freeze": self._freeze_upstream,
            "upstream misbehaviour": self._misbehave,
            "host kill": self._kill_host,
            "host freeze": self._freeze_host,
            "host stop": self._stop_host,
            "host cut from store": self._cut_host,
            "store fault": self._fail_store,
        }

    async def run(self, stopping: asyncio.Event) -> None:
        """Makes faults until stopped; waits for the end of each."""
        # Every kind comes up once before any comes up by chance.
        first = self._random.sample(sorted(self._kinds), len(self._kinds))
        async with asyncio.TaskGroup() as group:
            while not stopping.is_set():
                kind = first.pop() if first else self._choose_kind()
                self.made[kind] = self.made.get(kind, 0) + 1
                group.create_task(self._kinds[kind]())
                await asyncio.sleep(
                    _FAULT_PERIOD_S * (0.5 + self._random.random())
                )

    def _choose_kind(self) -> str:
        return self._random.choice(sorted(self._kinds))

    def _choose_crashing(self) -> _fleets.UpstreamPlan:
        return self._random.choice(
            [i for i in self._deployment.upstreams if i.service.crashes]
        )

    def _lock_upstream(self, identity: str) -> asyncio.Lock:
        return self._upstream_locks.setdefault(identity, asyncio.Lock())

    async def _pause(self, shortest_s: float, longest_s: float) -> None:
        await asyncio.sleep(self._random.uniform(shortest_s, longest_s))

    async def _crash(self) -> None:
        """Sends a crash request again and again, as its caller does.

        The upstreams that it ended are started again in between, so that
        only quarantine can stop it.
        """
        plan = self._choose_crashing()
        key = f"{plan.service.key_prefix}crash-{self._random.random()}"
        operation = _fleets.OperationPlan("PUT", f"/crash/{key}")
        call = _callers.Call(
            plan.fleet.name,
            plan.service.name,
            operation,
            key,
            _CRASH_CALLER,
            "",
            key,
            {"X-Standin-Crash": "1"},
        )
        for _ in range(_CRASH_SENDINGS):
            router = self._deployment.balancer.choose()
            if router is not None:
                await self._sender.send(call, router)
            await self._pause(0.2, 1.0)
            await self._restart_ended_upstreams()

    async def _restart_ended_upstreams(self) -> None:
        for plan in self._deployment.upstreams:
            async with self._lock_upstream(plan.identity):
                child = self._deployment.find_process(plan.identity)
                if not child.running:
                    await self._deployment.restart(child.name)

    async def _kill_upstream(self) -> None:
        plan = self._choose_crashing()
        async with self._lock_upstream(plan.identity):
            self._deployment.kill_upstream(plan.identity)
            await self._pause(0.0, 3.0)
            name = self._deployment.find_process(plan.identity).name
            await self._deployment.restart(name)

    async def _freeze_upstream(self) -> None:
        plan = self._choose_crashing()
        async with self._lock_upstream(plan.identity):
            child = self._deployment.find_process(plan.identity)
            child.freeze()
            await self._pause(0.2, 4.0)
            child.resume()

    async def _misbehave(self) -> None:
        plan = self._random.choice(self._deployment.upstreams)
        faults = self._random.choice(_UPSTREAM_FAULTS)
        async with self._lock_upstream(plan.identity):
            identity = plan.identity
            await self._deployment.set_upstream_faults(identity, **faults)
            await self._pause(1.0, 4.0)
            await self._deployment.set_upstream_faults(
                identity, **_NO_UPSTREAM_FAULTS
            )

    async def _kill_host(self) -> None:
        async with self._host_lock:
            host = self._random.choice(self._deployment.hosts)
            self._deployment.children[host.router.name].kill()
            await self._pause(0.5, 3.0)
            await self._restart_host(host)

    async def _freeze_host(self) -> None:
        async with self._host_lock:
            host = self._random.choice(self._deployment.hosts)
            child = self._deployment.children[host.router.name]
            child.freeze()
            await self._pause(0.2, 3.0)
            child.resume()
            await self._wait_ready(host)

    async def _stop_host(self) -> None:
        async with self._host_lock:
            host = self._random.choice(self._deployment.hosts)
            await self._deployment.stop_router(host, _STOP_TIMEOUT_S)
            await self._restart_host(host)

    async def _restart_host(self, host: _deployment.Host) -> None:
        await self._deployment.restart(host.router.name)
        await self._wait_ready(host)

    async def _wait_ready(self, host: _deployment.Host) -> None:
        deadline = time.monotonic() + _START_TIMEOUT_S
        while not await self._deployment.read_ready(host):
            if time.monotonic() > deadline:
                raise _deployment.OperatorError(
                    f"{host.router.name} is not ready again after"
                    f" {_START_TIMEOUT_S} s"
                )
            await asyncio.sleep(_POLL_S)

    async def _cut_host(self) -> None:
        async with self._host_lock:
            host = self._random.choice(self._deployment.hosts)
            await self._deployment.set_platform_faults(
                rejected_hosts=[host.router.name]
            )
            await self._pause(0.5, 4.0)
            await self._deployment.set_platform_faults(rejected_hosts=[])

    async def _fail_store(self) -> None:
        async with self._store_lock:
            faults = self._random.choice(_STORE_FAULTS)
            await self._deployment.set_platform_faults(**faults)
            await self._pause(0.5, 4.0)
            await self._deployment.set_platform_faults(**_NO_STORE_FAULTS)


async def _read_until(
    deployment: _deployment.Deployment, stopping: asyncio.Event
) -> None:
    """Reads generations and assignments until stopped."""
    while not stopping.is_set():
        await deployment.read_generations()
        await deployment.read_assignments()
        await asyncio.sleep(_READ_PERIOD_S)


async def _drive(
    deployment: _deployment.Deployment,
    requests: int,
    callers: int,
    pause_s: float,
    longest_s: float,
    seed: int,
) -> tuple[FaultMaker, float]:
    """Starts the system and runs traffic and faults."""
    await deployment.start()
    for fleet in deployment.fleets:
        await deployment.submit(fleet, timeout_s=_START_TIMEOUT_S)
    sender = _callers.Sender(deployment.events)
    traffics = [
        _callers.Traffic(
            fleet, sender, deployment.balancer, seed, hot_share=0.3
        )
        for fleet in deployment.fleets
    ]
    maker = FaultMaker(deployment, sender, seed)
    calm, stopping = asyncio.Event(), asyncio.Event()
    began = time.monotonic()

    async def wait_until_enough() -> None:
        while sender.sent < requests and time.monotonic() < began + longest_s:
            await asyncio.sleep(_POLL_S)
        calm.set()
        await asyncio.sleep(_CALM_S)

    async with asyncio.TaskGroup() as group:
        group.create_task(deployment.balance_until(stopping))
        group.create_task(_read_until(deployment, stopping))
        group.create_task(maker.run(calm))
        await _callers.run_traffic(
            traffics, callers, pause_s, wait_until_enough()
        )
        stopping.set()
    return maker, time.monotonic() - began


def count_most_crashes(events: abc.Iterable[_history.Event]) -> int:
    """Counts the runs of the crash request that ran most often."""
    runs = collections.Counter(
        event.key
        for event in events
        if isinstance(event, _history.RunStarted)
        and event.request.startswith(_CRASH_CALLER)
    )
    return max(runs.values(), default=0)


def run_soak(
    folder: pathlib.Path,
    requests: int = 50_000,
    routers: int = 7,
    callers: int = 40,
    pause_s: float = 0.02,
    longest_s: float = 600.0,
    seed: int = 1,
) -> SoakResult:
    """Runs the soak and checks its history.

    Args:
        folder: Empty folder for logs.
        requests: Requests to send at least.
        routers: Number of router processes.
        callers: Callers of each fleet.
        pause_s: Mean pause of a caller between two operations, in seconds.
        longest_s: Longest time of the traffic, in seconds.
        seed: Seed of traffic and faults.

    Raises:
        ExceptionGroup: A process did not come back, or a file was not
            accepted.
    """
    with _processes.ProcessGroup(folder) as group:
        deployment = _deployment.Deployment(
            folder, group, _fleets.FLEETS, routers, seed
        )
        maker, duration_s = asyncio.run(
            _drive(deployment, requests, callers, pause_s, longest_s, seed)
        )
    events = [*deployment.events, *deployment.read_run_logs()]
    violations = _history_checks.check_history(events)
    return SoakResult(
        _summary.summarize(events, violations),
        dict(maker.made),
        violations,
        duration_s,
        count_most_crashes(events),
    )


def main() -> int:
    """Runs the soak; returns 0 if every condition and bound held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=50_000)
    parser.add_argument("--routers", type=int, default=7)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--longest-s", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--keep-logs", action="store_true", help="also after a success"
    )
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sycamoreloft-soak-"))
    result = run_soak(
        folder,
        arguments.requests,
        arguments.routers,
        arguments.callers,
        longest_s=arguments.longest_s,
        seed=arguments.seed,
    )
    rows = _summary.list_rows(result.summary)
    rows += [(f"fault: {name}", n) for name, n in result.faults.items()]
    rows.append(("most upstreams lost to one request", result.most_crashes))
    rows.append(("duration", f"{result.duration_s:.1f} s"))
    print(_summary.format_table(rows))
    print(_summary.describe_violations(result.violations), end="")
    if arguments.keep_logs or not result.passed:
        print(f"logs are in {folder}")
    else:
        shutil.rmtree(folder)
    return 0 if result.passed else 1


if __name__ == "__main__":
    sys.exit(main())
