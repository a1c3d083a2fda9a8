"""Shows a whole system under faults: `python -m sycamoreloft_proof.demo`.

Exits 0 only if every step was taken and every condition of section 1.1 held.
"""

import argparse
import asyncio
from collections import abc
import pathlib
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
    _ownership_checks,
    _processes,
    _summary,
)

#: Bound of the whole demo; a step that hangs ends it as failed.
_DEMO_TIMEOUT_S = 100.0
_POLL_S = 0.1
_CALLERS = 10
_PAUSE_S = 0.06
_READY_TIMEOUT_S = 20.0
_HOT_KEY_TIMEOUT_S = 15.0
#: Callers of each fleet that do nothing but read the hot key.
_HEATERS = 6
_RECOVERY_TIMEOUT_S = 10.0
_STOP_TIMEOUT_S = 20.0
#: Time for which traffic runs on after each step.
_SETTLE_S = 1.5
_READ_PERIOD_S = 0.5


class DemoError(RuntimeError):
    """A step of the demo was not reached; says which."""


class Demo:
    """The scenario of the demo and what it measured."""

    def __init__(self, deployment: _deployment.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._began = time.monotonic()
        self.recoveries: dict[str, float] = {}
        self._gone: set[str] = set()
        self._sender = _callers.Sender(deployment.events)
        self._traffics = [
            _callers.Traffic(fleet, self._sender, deployment.balancer, seed)
            for fleet in deployment.fleets
        ]

    def report(self, text: str) -> None:
        """Prints one line of progress."""
        elapsed = time.monotonic() - self._began
        print(f"[{elapsed:5.1f} s] {text}", flush=True)

    async def run(self) -> None:
        """Starts the system, runs the scenario under traffic, stops."""
        deployment = self._deployment
        self.report(
            f"starting {len(deployment.hosts)} routers and"
            f" {len(deployment.upstreams)} upstreams"
        )
        await deployment.start()
        for fleet in deployment.fleets:
            number = await deployment.submit(fleet)
            self.report(f"{fleet.name}.toml is generation {number}")
        stopping = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            group.create_task(deployment.balance_until(stopping))
            group.create_task(self._read_until(stopping))
            await self._wait_ready()
            await _callers.run_traffic(
                self._traffics, _CALLERS, _PAUSE_S, self._run_scenario()
            )
            stopping.set()
        await self._check_final_generations()
        await deployment.read_assignments()

    async def _read_until(self, stopping: asyncio.Event) -> None:
        """Reads generations and assignments until the scenario ends."""
        while not stopping.is_set():
            await self._deployment.read_generations(self._gone)
            await self._deployment.read_assignments()
            await asyncio.sleep(_READ_PERIOD_S)

    async def _wait_ready(self) -> None:
        """Waits until all routers are ready and all services answer."""
        await _wait_for(
            "all routers ready",
            _READY_TIMEOUT_S,
            lambda: (
                self._deployment.balancer.count_ready()
                == len(self._deployment.hosts)
            ),
        )
        calls = [
            _make_probe(fleet, service, f"{service.key_prefix}{number}")
            for fleet in self._deployment.fleets
            for service in fleet.services
            for number in range(12)
        ]
        elapsed = await self._measure_recovery(calls, _READY_TIMEOUT_S)
        self.report(f"all services answer after another {elapsed:.1f} s")

    async def _measure_recovery(
        self, calls: abc.Iterable[_callers.Call], timeout_s: float
    ) -> float:
        """Sends calls until each is completed; returns the longest time.

        Raises:
            DemoError: A call is not completed in time.
        """
        began = time.monotonic()

        async def finish(call: _callers.Call) -> float:
            reason = "no router is ready"
            while time.monotonic() < began + timeout_s:
                router = self._deployment.balancer.choose()
                if router is not None:
                    answer = await self._sender.send(call, router)
                    if answer.outcome == _history.Outcome.COMPLETED:
                        return time.monotonic() - began
                    reason = f"{answer.outcome} ({answer.reason})"
                await asyncio.sleep(_POLL_S / 2)
            raise DemoError(
                f"{call.fleet}/{call.service} key {call.key!r} is not served"
                f" after {timeout_s} s: {reason}"
            )

        return max(await asyncio.gather(*map(finish, calls)))

    async def _run_scenario(self) -> None:
        await asyncio.sleep(_SETTLE_S)
        await self._move_hot_key()
        crashed = await self._crash_upstream()
        await asyncio.sleep(_SETTLE_S)
        await self._drain_upstream(crashed)
        await asyncio.sleep(_SETTLE_S)
        await self._stop_router(self._deployment.hosts[0])
        await asyncio.sleep(_SETTLE_S)
        await self._kill_router(self._deployment.hosts[1])
        # The bound of a leaving upstream must be over while requests come.
        await asyncio.sleep(_history_checks.LEAVING_BOUND_S)

    async def _move_hot_key(self) -> None:
        """Heats one key of each fleet until one is placed apart."""
        names = dict(_fleets.HOT_KEYS)
        self.report(f"heating the keys {', '.join(names.values())}")
        placed = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for fleet in self._deployment.fleets:
                for _ in range(_HEATERS):
                    group.create_task(self._heat(fleet, placed))
            await _wait_for(
                "a hot key placed apart",
                _HOT_KEY_TIMEOUT_S,
                lambda: bool(self._find_hot_keys()),
                # Each look reads all logs and holds up the callers.
                poll_s=0.5,
            )
            placed.set()
        listed = ", ".join(sorted(self._find_hot_keys()))
        self.report(f"placed apart: {listed}")

    async def _heat(
        self, fleet: _fleets.FleetPlan, placed: asyncio.Event
    ) -> None:
        """Reads the hot key of a fleet without a pause.

        Callers with pauses would not reach the 200 requests from which a
        holder compares loads, when the machine is busy with other work.
        """
        key = _fleets.HOT_KEYS[fleet.name]
        call = _make_probe(fleet, fleet.services[0], key)
        while not placed.is_set():
            router = self._deployment.balancer.choose()
            if router is None:
                await asyncio.sleep(_POLL_S)
            else:
                await self._sender.send(call, router)

    def _find_hot_keys(self) -> set[str]:
        events = sorted(
            self._deployment.read_run_logs(), key=lambda event: event.at
        )
        intervals = _ownership_checks.find_intervals(events)
        return {
            f"{service}/{unit}"
            for service, unit in intervals
            if unit in _fleets.HOT_KEYS.values()
        }

    async def _crash_upstream(self) -> str:
        """Crashes one upstream by a request; returns its identity."""
        fleet = self._deployment.fleets[0]
        service = fleet.services[0]
        keys = [f"heat-{number}" for number in range(60)]
        owners = await self._find_owners(fleet, service, keys)
        victim = owners[keys[0]]
        owned = [key for key in keys if owners[key] == victim]
        operation = next(
            item
            for item in service.operations
            if not item.repeatable and not item.at_most_once
        )
        call = _callers.Call(
            fleet.name,
            service.name,
            operation,
            keys[0],
            "demo-crash",
            "",
            "crash",
            {"X-Standin-Crash": "1"},
        )
        router = self._deployment.balancer.choose()
        if router is None:
            raise DemoError("no router is ready for the crash request")
        answer = await self._sender.send(call, router)
        child = self._deployment.find_process(victim)
        if child.running:
            raise DemoError(
                f"the crash request did not reach {victim}: {answer.reason}"
            )
        self.report(
            f"{victim} crashed; its caller was told {answer.outcome};"
            f" {len(owned)} probed keys have to move"
        )
        calls = [_make_probe(fleet, service, key) for key in owned]
        await self._record_recovery("upstream crash", calls)
        return victim

    async def _find_owners(
        self,
        fleet: _fleets.FleetPlan,
        service: _fleets.ServicePlan,
        keys: abc.Sequence[str],
    ) -> dict[str, str]:
        """Sends a request for each key; returns which upstream ran it."""
        requests = {}
        for key in keys:
            router = self._deployment.balancer.choose()
            if router is None:
                raise DemoError("no router is ready")
            answer = await self._sender.send(
                _make_probe(fleet, service, key), router
            )
            requests[answer.request] = key
        owners = {
            requests[event.request]: event.upstream
            for event in self._deployment.read_run_logs()
            if isinstance(event, _history.RunStarted)
            and event.request in requests
        }
        missing = sorted(set(keys) - set(owners))
        if missing:
            raise DemoError(f"keys that no upstream served: {missing}")
        return owners

    async def _record_recovery(
        self, name: str, calls: abc.Sequence[_callers.Call]
    ) -> None:
        elapsed = await self._measure_recovery(calls, _RECOVERY_TIMEOUT_S)
        self.recoveries[name] = elapsed
        self.report(f"{name}: {len(calls)} keys served after {elapsed:.2f} s")

    async def _drain_upstream(self, crashed: str) -> None:
        """Submits a file in which another upstream is leaving."""
        fleet = self._deployment.fleets[0]
        plans = {item.identity: item for item in self._deployment.upstreams}
        leaving = next(
            item
            for item in plans.values()
            if item.fleet == fleet
            and item.service == fleet.services[0]
            and item.domain != plans[crashed].domain
        )
        number = await self._deployment.submit(
            fleet, frozenset({leaving.identity})
        )
        self.report(f"{leaving.identity} is leaving in generation {number}")

    async def _stop_router(self, host: _deployment.Host) -> None:
        name = host.router.name
        self.report(f"stopping {name} as planned")
        code = await self._deployment.stop_router(host, _STOP_TIMEOUT_S)
        self._gone.add(name)
        await self._deployment.publish_hosts(self._gone)
        self.report(f"{name} ended with exit code {code}")

    async def _kill_router(self, host: _deployment.Host) -> None:
        name = host.router.name
        self._deployment.children[name].kill()
        self._gone.add(name)
        self.report(f"killed {name}")
        calls = [
            _make_probe(fleet, service, f"{service.key_prefix}{number}")
            for fleet in self._deployment.fleets
            for service in fleet.services
            for number in range(12)
        ]
        await self._record_recovery("router kill", calls)
        await self._deployment.publish_hosts(self._gone)

    async def _check_final_generations(self) -> None:
        numbers = await self._deployment.read_generations(self._gone)
        expected = len(self._deployment.hosts) - len(self._gone)
        if len(numbers) < expected or len(set(numbers.values())) != 1:
            raise DemoError(f"generations at the end: {numbers}")


def _make_probe(
    fleet: _fleets.FleetPlan, service: _fleets.ServicePlan, key: str
) -> _callers.Call:
    """Returns a repeatable call that reads a key."""
    operation = _fleets.OperationPlan("GET", "/probe", repeatable=True)
    return _callers.Call(
        fleet.name,
        service.name,
        operation,
        key if service.keyed else "",
        "demo-probe",
        "",
    )


async def _wait_for(
    name: str,
    timeout_s: float,
    condition: abc.Callable[[], bool],
    poll_s: float = _POLL_S,
) -> None:
    """Waits until a condition holds.

    Raises:
        DemoError: It does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise DemoError(f"not reached in {timeout_s} s: {name}")
        await asyncio.sleep(poll_s)


async def run_demo(
    folder: pathlib.Path, routers: int, seed: int
) -> tuple[Demo, list[_history.Event], str]:
    """Runs the demo; returns it, its history and the error of a step."""
    problem = ""
    with _processes.ProcessGroup(folder) as group:
        deployment = _deployment.Deployment(
            folder, group, _fleets.FLEETS, routers, seed
        )
        demo = Demo(deployment, seed)
        try:
            async with asyncio.timeout(_DEMO_TIMEOUT_S):
                await demo.run()
        except* (
            DemoError,
            TimeoutError,
            _deployment.OperatorError,
            _processes.ProcessError,
        ) as errors:
            problem = "; ".join(_list_messages(errors))
    return demo, [*deployment.events, *deployment.read_run_logs()], problem


def _list_messages(
    errors: BaseExceptionGroup[BaseException],
) -> abc.Iterator[str]:
    """Yields the messages of errors from nested groups of tasks."""
    for error in errors.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _list_messages(error)
        else:
            yield str(error) or f"no end within {_DEMO_TIMEOUT_S} s"


def print_result(
    demo: Demo, events: abc.Sequence[_history.Event], problem: str
) -> bool:
    """Prints the table; returns whether everything held."""
    violations = _history_checks.check_history(events)
    summary = _summary.summarize(events, violations)
    rows = _summary.list_rows(summary)
    rows += [
        (f"recovery after {name}", f"{elapsed:.2f} s")
        for name, elapsed in demo.recoveries.items()
    ]
    print(_summary.format_table(rows))
    print(_summary.describe_violations(violations), end="")
    if problem:
        print(f"not reached: {problem}")
    held = not violations and not problem
    print("every condition held" if held else "the demo failed")
    return held


def main() -> int:
    """Runs the demo; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, default=7)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--keep-logs", action="store_true", help="also after a success"
    )
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sycamoreloft-demo-"))
    demo, events, problem = asyncio.run(
        run_demo(folder, arguments.routers, arguments.seed)
    )
    held = print_result(demo, events, problem)
    if held and not arguments.keep_logs:
        shutil.rmtree(folder)
    else:
        print(f"logs are in {folder}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
