"""Time until keys are served again after a loss, in real processes."""

import asyncio
from collections import abc
import dataclasses
import pathlib
import random
import signal
import tempfile
import time

from tornado import httpclient, simple_httpclient

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_proof import (
    _bench_registry,
    _deployment,
    _fleets,
    _history,
    _processes,
)

#: "A key is served again within 2 s of a loss" (letter 1).
RECOVERY_TARGET_S = 2.0

#: "An upstream that is leaving receives no new work after a few seconds"
#: (brief); the bound of 3 s is the issue's.
LEAVING_TARGET_S = 3.0

#: Losses of each kind; the worst one counts.
RUNS = 10

#: Keys that are asked for after each loss.
PROBED_KEYS = 12

#: Time between two tries of one key, in seconds.
TRY_AGAIN_S = 0.05

#: Longest time to wait for a key, in seconds.
LONGEST_WAIT_S = 10.0

#: Time in which the system settles after each loss, in seconds.
SETTLE_S = 3.0

FLEET = _fleets.SLEDWORKS
SERVICE = "tally-board"


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedKeys:
    """Keys of one upstream."""

    #: Name as "fleet/name".
    upstream: str
    #: Group as "fleet/domain/index".
    group: str
    #: Keys that it owns.
    keys: abc.Sequence[str]


class RecoveryBench:
    """Runs losses against one deployment."""

    def __init__(self, deployment: _deployment.Deployment) -> None:
        self._deployment = deployment
        self._random = random.Random(1)
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=2_000
        )

    async def read_owned(self) -> list[OwnedKeys]:
        """Reads from the table which upstream owns which keys."""
        deployment = self._deployment
        _, answer = await _deployment.call(
            "POST",
            f"{deployment.platform_url}/table/read",
            {"prefixes": ["assign/"]},
        )
        rows = {key: row["value"] for key, row in answer["rows"].items()}
        owners: dict[int, tuple[str, str]] = {}
        for group, table in sycamoreloft_decisions.decode_tables(rows).items():
            for number, item in table.partitions.get(SERVICE, {}).items():
                owners[number] = (f"{FLEET.name}/{item.upstream}", str(group))
        keys: dict[tuple[str, str], list[str]] = {}
        for index in range(400):
            key = f"heat-{index}"
            number = sycamoreloft_config.compute_partition(
                FLEET.name, SERVICE, key, 256
            )
            keys.setdefault(owners[number], []).append(key)
        return [
            OwnedKeys(upstream, group, names[:PROBED_KEYS])
            for (upstream, group), names in sorted(keys.items())
        ]

    async def read_holders(self) -> dict[str, str]:
        """Returns the holder of each group by the table."""
        _, answer = await _deployment.call(
            "POST",
            f"{self._deployment.platform_url}/table/read",
            {"prefixes": ["group/"]},
        )
        return {
            key.removeprefix("group/"): row["value"]["holder"]
            for key, row in answer["rows"].items()
        }

    async def wait_served(
        self, keys: abc.Sequence[str], address: str, since: float
    ) -> float:
        """Returns the seconds from `since` until all keys were served."""
        times = await asyncio.gather(
            *(self._wait_key(key, address) for key in keys)
        )
        return max(times) - since

    async def _wait_key(self, key: str, address: str) -> float:
        """Sends a request every few milliseconds until one is answered.

        Each try is a request of its own: one that is already on a frozen
        upstream when the loss begins waits there until its deadline, which
        says nothing of the key.
        """
        tries: set[asyncio.Task[bool]] = set()
        ends = time.monotonic() + LONGEST_WAIT_S
        try:
            while time.monotonic() < ends:
                tries.add(asyncio.ensure_future(self._get(key, address)))
                done, tries = await asyncio.wait(tries, timeout=TRY_AGAIN_S)
                if any(task.result() for task in done):
                    return time.monotonic()
            return ends
        finally:
            for task in tries:
                task.cancel()

    async def _get(self, key: str, address: str) -> bool:
        request = httpclient.HTTPRequest(
            f"http://{address}/standings",
            headers={
                "Sycamoreloft-Fleet": FLEET.name,
                "Sycamoreloft-Service": SERVICE,
                "Sycamoreloft-Key": key,
                "Sycamoreloft-Deadline-Ms": "3000",
                "X-Standin-Request": "probe",
                "X-Standin-Caller": "probe",
            },
            request_timeout=5.0,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            return False
        outcome = answer.headers.get("Sycamoreloft-Outcome", "")
        return answer.code == 200 and outcome == "completed"

    def _choose_address(self, without: str = "") -> str:
        routers = [
            host.router
            for host in self._deployment.hosts
            if host.router.name != without
        ]
        return self._random.choice(routers).caller_address

    async def crash_upstream(self) -> float:
        """Kills an upstream and returns the recovery time of its keys."""
        owned = self._random.choice(await self.read_owned())
        since = time.monotonic()
        self._deployment.kill_upstream(owned.upstream)
        taken = await self.wait_served(
            owned.keys, self._choose_address(), since
        )
        child = self._deployment.find_process(owned.upstream)
        await self._deployment.restart(child.name)
        await asyncio.sleep(SETTLE_S)
        return taken

    async def freeze_upstream(self) -> float:
        """Stops an upstream with SIGSTOP, then lets it go on."""
        owned = self._random.choice(await self.read_owned())
        child = self._deployment.find_process(owned.upstream)
        since = time.monotonic()
        child.freeze()
        taken = await self.wait_served(
            owned.keys, self._choose_address(), since
        )
        child.resume()
        await asyncio.sleep(SETTLE_S)
        return taken

    async def kill_holder(self) -> float:
        """Kills a host that holds a group; asks another host for its keys."""
        owned = self._random.choice(await self.read_owned())
        name = (await self.read_holders())[owned.group]
        child = self._deployment.children[name]
        since = time.monotonic()
        child.send(signal.SIGKILL)
        taken = await self.wait_served(
            owned.keys, self._choose_address(name), since
        )
        await child.wait_ended(5.0)
        await self._deployment.restart(name)
        await asyncio.sleep(SETTLE_S)
        return taken

    async def leave_upstream(self) -> float:
        """Declares an upstream leaving; returns when its last work began."""
        owned = self._random.choice(await self.read_owned())
        stopping = asyncio.Event()
        address = self._choose_address()
        traffic = [
            asyncio.create_task(self._ask_until(key, address, stopping))
            for key in owned.keys
        ]
        await asyncio.sleep(0.5)
        since = time.monotonic()
        await self._deployment.submit(FLEET, {owned.upstream})
        await asyncio.sleep(2 * LEAVING_TARGET_S)
        stopping.set()
        await asyncio.gather(*traffic)
        last = max(
            (
                event.at
                for event in self._deployment.read_run_logs()
                if isinstance(event, _history.RunStarted)
                and event.upstream == owned.upstream
            ),
            default=since,
        )
        await self._deployment.submit(FLEET)
        await asyncio.sleep(SETTLE_S)
        return max(0.0, last - since)

    async def _ask_until(
        self, key: str, address: str, stopping: asyncio.Event
    ) -> None:
        while not stopping.is_set():
            await self._get(key, address)
            await asyncio.sleep(TRY_AGAIN_S)

    async def warm_up(self) -> None:
        """Waits until all groups serve."""
        keys = [f"heat-{index}" for index in range(100)]
        await self.wait_served(keys, self._choose_address(), time.monotonic())
        await asyncio.sleep(SETTLE_S)


async def run_losses(runs: int) -> dict[str, list[float]]:
    """Runs each kind of loss and returns the recovery times."""
    times: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with _processes.ProcessGroup(folder) as group:
            deployment = _deployment.Deployment(folder, group, [FLEET], 9, 1)
            await deployment.start()
            await deployment.submit(FLEET)
            bench = RecoveryBench(deployment)
            await bench.warm_up()
            for kind, lose, count in (
                ("recovery_upstream_crash_s", bench.crash_upstream, runs),
                ("recovery_upstream_freeze_s", bench.freeze_upstream, runs),
                ("recovery_host_loss_s", bench.kill_holder, runs),
                ("leaving_upstream_new_work_s", bench.leave_upstream, 3),
            ):
                times[kind] = [await lose() for _ in range(count)]
    return times


@_bench_registry.register("recovery")
def measure_recovery() -> abc.Sequence[_bench_registry.Measure]:
    """Returns the worst recovery time of each kind of loss."""
    times = asyncio.run(run_losses(RUNS))
    return [
        _bench_registry.Measure(
            kind,
            round(max(values), 3),
            "s",
            LEAVING_TARGET_S
            if kind.startswith("leaving")
            else RECOVERY_TARGET_S,
        )
        for kind, values in times.items()
    ]


async def main() -> None:
    """Prints every recovery time; for finding the cause of a slow one."""
    for kind, values in (await run_losses(RUNS)).items():
        print(kind, [round(value, 3) for value in values], flush=True)


if __name__ == "__main__":
    asyncio.run(main())
