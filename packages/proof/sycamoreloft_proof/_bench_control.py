"""Benchmark of the control traffic.

Measures what a router process costs without requests, and how long a submitted
file takes until it is in force on every host.
"""

import asyncio
from collections import abc
import dataclasses
import os
import pathlib
import tempfile
import time
import typing

from sycamoreloft_proof import (
    _bench_registry,
    _deployment,
    _fleets,
    _processes,
    _slopes,
)

#: Required maximum cost of control for each host: 2.6% of a core, 32 MB of
#: memory and 3 KB/s on the network.
CPU_TARGET_PERCENT = 2.6
MEMORY_TARGET_MB = 32.0
BYTES_PER_S_TARGET = 3_000.0

#: Required maximum time until a submitted file is in force on every host.
IN_FORCE_TARGET_S = 7.0

#: Numbers of hosts for which the costs are measured. The targets apply to the
#: last one; the others serve to fit the slopes.
HOST_COUNTS = (6, 12, 18, 24)

#: Duration of a cost measurement without requests, in seconds.
IDLE_S = 10.0

#: Number of files that are submitted one after another. The slowest one is
#: reported.
SUBMISSIONS = 5

FLEET = _fleets.SLEDWORKS

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True, slots=True)
class ControlCost:
    """Resources that one router process uses without requests."""

    #: Control bytes sent and received per second, without TCP and IP headers.
    bytes_per_s: float
    #: Processor time in percent of one core.
    cpu_percent: float
    #: Resident memory of the whole process, in units of 10^6 bytes.
    memory_mb: float
    #: Reads and writes of the platform's services per second.
    store_calls_per_s: float


def read_processor_seconds(pid: int) -> float:
    """Returns the user and system time of a process so far, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, in units of 10^6 bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES / 1e6


async def read_state(
    host: _deployment.Host,
) -> abc.Mapping[str, typing.Any]:
    """Returns the state dump of a router, after at most five attempts."""
    for _ in range(5):
        status, state = await _deployment.call(
            "GET", f"http://{host.admin_address}/v1/state"
        )
        if status == 200:
            break
    return typing.cast(abc.Mapping[str, typing.Any], state)


def sum_bytes(state: abc.Mapping[str, typing.Any]) -> int:
    """Returns the control bytes sent and received by a router so far."""
    return sum(sum(pair) for pair in state["control_bytes"].values())


def sum_calls(state: abc.Mapping[str, typing.Any]) -> int:
    """Returns the number of store reads and writes of a router so far."""
    calls = state["store_calls"]
    return int(calls["read"] + calls["write"])


async def measure_costs(
    deployment: _deployment.Deployment,
) -> list[ControlCost]:
    """Measures the cost of every router while no requests are sent."""
    pids = [
        deployment.children[host.router.name].pid for host in deployment.hosts
    ]
    before = await asyncio.gather(*map(read_state, deployment.hosts))
    processor_s_before = [read_processor_seconds(pid) for pid in pids]
    started_at = time.monotonic()
    await asyncio.sleep(IDLE_S)
    processor_s = [
        read_processor_seconds(pid) - earlier_s
        for pid, earlier_s in zip(pids, processor_s_before, strict=True)
    ]
    elapsed_s = time.monotonic() - started_at
    after = await asyncio.gather(*map(read_state, deployment.hosts))
    return [
        ControlCost(
            (sum_bytes(new) - sum_bytes(old)) / elapsed_s,
            100.0 * used_s / elapsed_s,
            read_memory_mb(pid),
            (sum_calls(new) - sum_calls(old)) / elapsed_s,
        )
        for old, new, used_s, pid in zip(
            before, after, processor_s, pids, strict=True
        )
    ]


async def measure_time_to_apply(deployment: _deployment.Deployment) -> float:
    """Submits a file and waits until every router applies its generation.

    Returns:
        The time from the submission, in seconds. The wait ends after five
        times the target.
    """
    started_at = time.monotonic()
    submitted = await deployment.submit(FLEET)
    while time.monotonic() - started_at < 5 * IN_FORCE_TARGET_S:
        applied_by_host = await deployment.read_generations()
        if len(applied_by_host) == len(deployment.hosts) and all(
            applied_generation >= submitted
            for applied_generation in applied_by_host.values()
        ):
            break
        await asyncio.sleep(0.02)
    return time.monotonic() - started_at


async def measure_deployment(
    hosts: int, submissions: int
) -> tuple[list[ControlCost], float, float]:
    """Measures a deployment with a number of hosts.

    Returns:
        The cost of each router, the memory of one router before any file is
        in force (10^6 bytes), and the longest time until a submitted file was
        in force everywhere (seconds; 0 without submissions).
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with _processes.ProcessGroup(folder) as group:
            deployment = _deployment.Deployment(
                folder, group, [FLEET], hosts, 1
            )
            await deployment.start()
            first_router = deployment.children[deployment.hosts[0].router.name]
            empty_mb = read_memory_mb(first_router.pid)
            await deployment.submit(FLEET)
            await asyncio.sleep(5.0)
            costs = await measure_costs(deployment)
            apply_times_s = [
                await measure_time_to_apply(deployment)
                for _ in range(submissions)
            ]
            return costs, empty_mb, max(apply_times_s, default=0.0)


@_bench_registry.register("control")
def measure_control() -> abc.Sequence[_bench_registry.Measure]:
    """Measures the cost of control for each of `HOST_COUNTS`."""
    largest_by_figure: dict[str, list[float]] = {}
    in_force_s = 0.0
    for hosts in HOST_COUNTS:
        submissions = SUBMISSIONS if hosts == HOST_COUNTS[-1] else 0
        costs, empty_mb, in_force_s = asyncio.run(
            measure_deployment(hosts, submissions)
        )
        for figure_name, values in (
            ("control_bytes_per_s", [cost.bytes_per_s for cost in costs]),
            ("control_cpu_percent", [cost.cpu_percent for cost in costs]),
            (
                "control_memory_mb",
                [cost.memory_mb - empty_mb for cost in costs],
            ),
            ("process_memory_mb", [cost.memory_mb for cost in costs]),
            (
                "store_calls_per_s",
                [sum(cost.store_calls_per_s for cost in costs)],
            ),
        ):
            largest_by_figure.setdefault(figure_name, []).append(max(values))
    return [
        *_make_measures(largest_by_figure),
        _bench_registry.Measure(
            "config_in_force_s", in_force_s, "s", IN_FORCE_TARGET_S
        ),
    ]


def _make_measures(
    largest_by_figure: abc.Mapping[str, abc.Sequence[float]],
) -> abc.Iterator[_bench_registry.Measure]:
    """Yields each figure for the most hosts, and its increase per host."""
    targets = {
        "control_bytes_per_s": ("B/s", BYTES_PER_S_TARGET),
        "control_cpu_percent": ("%", CPU_TARGET_PERCENT),
        "control_memory_mb": ("MB", MEMORY_TARGET_MB),
        "process_memory_mb": ("MB", None),
        "store_calls_per_s": ("1/s", None),
    }
    for figure_name, values in largest_by_figure.items():
        unit, target = targets[figure_name]
        yield _bench_registry.Measure(figure_name, values[-1], unit, target)
        slope = _slopes.fit_slope(
            figure_name, unit, "hosts", HOST_COUNTS, values
        )
        yield _bench_registry.Measure(
            f"{figure_name}_per_host", slope.per_unit, f"{unit} a host"
        )
