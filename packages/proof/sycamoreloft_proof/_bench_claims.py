"""Benchmark of claims: added latency, and claims per write to the store."""

import asyncio
from collections import abc
import itertools
import pathlib
import statistics
import tempfile
import time

from tornado import httpclient, simple_httpclient

from sycamoreloft_proof import (
    _bench_registry,
    _deployment,
    _fleets,
    _processes,
)

FLEET = _fleets.SLEDWORKS
SERVICE = "paddock-ledger"

#: Path of an at-most-once operation, which needs a claim, and of an operation
#: without a claim. Both have the same service, method and body.
CLAIMED_PATH = "/wagers"
PLAIN_PATH = "/remarks"

#: Number of routers, one in each failure domain. All requests go to the first
#: router.
ROUTERS = 3

#: Number of concurrent callers, each with one request in flight. It is below
#: the 18 slots of the service so that no request waits for a slot.
CALLERS = 16

#: Number of measurements with and without claims, and the duration of each in
#: seconds. The two kinds alternate so that other load on the machine affects
#: both.
ROUNDS = 3
RUN_S = 3.0

#: Requests to each path before the first measurement, which open connections
#: and fill caches.
WARM_UP_REQUESTS = 200

#: Time allowed for every group to get a holder, in seconds.
SETTLE_S = 3.0


class ClaimBenchmark:
    """Sends POST requests with and without claims to one router."""

    def __init__(self, deployment: _deployment.Deployment) -> None:
        self._deployment = deployment
        self._request_numbers = itertools.count()
        self._address = deployment.hosts[0].router.caller_address
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=CALLERS
        )

    async def post(self, path: str) -> float:
        """Sends one request and returns its latency in seconds.

        Raises:
            RuntimeError: The request was not completed.
        """
        number = next(self._request_numbers)
        request = httpclient.HTTPRequest(
            f"http://{self._address}{path}",
            "POST",
            headers={
                "Sycamoreloft-Fleet": FLEET.name,
                "Sycamoreloft-Service": SERVICE,
                "Idempotency-Key": f"claim-{number}",
                "X-Standin-Request": f"claim-{number}",
                "X-Standin-Caller": "claim",
            },
            body=b"stake",
            request_timeout=10.0,
        )
        sent_at = time.perf_counter()
        answer = await self._client.fetch(request, raise_error=False)
        if answer.headers.get("Sycamoreloft-Outcome") != "completed":
            raise RuntimeError(f"{path} did not complete: status {answer.code}")
        return time.perf_counter() - sent_at

    async def _post_until(self, path: str, run_ends_at: float) -> list[float]:
        times = []
        while time.perf_counter() < run_ends_at:
            times.append(await self.post(path))
        return times

    async def measure_p99(self, path: str) -> float:
        """Returns the 99th percentile latency with all callers, in seconds."""
        run_ends_at = time.perf_counter() + RUN_S
        runs = await asyncio.gather(
            *(self._post_until(path, run_ends_at) for _ in range(CALLERS))
        )
        times = sorted(itertools.chain.from_iterable(runs))
        return times[int(len(times) * 0.99)]

    async def count_claims(self) -> tuple[int, int]:
        """Counts the claims of all groups since the start of the deployment.

        Returns:
            The number of claims and the number of writes to the store that
            stored them.
        """
        claims = batches = 0
        for host in self._deployment.hosts:
            _, state = await _deployment.call(
                "GET", f"http://{host.admin_address}/v1/state"
            )
            for group in state["groups"]:
                counts = group.get("claims", {})
                claims += counts.get("claims", 0)
                batches += counts.get("batches", 0)
        return claims, batches

    async def warm_up(self) -> None:
        """Waits until groups have holders, then sends the warm-up requests."""
        await asyncio.sleep(SETTLE_S)
        for path in (CLAIMED_PATH, PLAIN_PATH):
            for _ in range(WARM_UP_REQUESTS // CALLERS):
                await asyncio.gather(*(self.post(path) for _ in range(CALLERS)))


async def measure_claims() -> tuple[float, float, float]:
    """Measures requests with and without claims in turn.

    Returns:
        The medians of the 99th percentile latency with and without claims,
        in seconds, and the number of claims per write to the store.
    """
    p99: dict[str, list[float]] = {CLAIMED_PATH: [], PLAIN_PATH: []}
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with _processes.ProcessGroup(folder) as group:
            deployment = _deployment.Deployment(
                folder, group, [FLEET], ROUTERS, 1
            )
            await deployment.start()
            await deployment.submit(FLEET, timeout_s=30.0)
            benchmark = ClaimBenchmark(deployment)
            await benchmark.warm_up()
            before = await benchmark.count_claims()
            for _ in range(ROUNDS):
                for path, values in p99.items():
                    values.append(await benchmark.measure_p99(path))
            after = await benchmark.count_claims()
    written_batches = after[1] - before[1]
    return (
        statistics.median(p99[CLAIMED_PATH]),
        statistics.median(p99[PLAIN_PATH]),
        (after[0] - before[0]) / written_batches,
    )


@_bench_registry.register("claims")
def bench_claims() -> abc.Sequence[_bench_registry.Measure]:
    """Measures the latency that a claim adds, and the claims per write."""
    claimed_s, plain_s, claims_per_write = asyncio.run(measure_claims())
    return [
        _bench_registry.Measure(
            "claim_added_p99_ms", (claimed_s - plain_s) * 1000, "ms"
        ),
        # Shows how much other load the machine had during the run.
        _bench_registry.Measure("claim_plain_p99_ms", plain_s * 1000, "ms"),
        _bench_registry.Measure(
            "claims_per_store_write", claims_per_write, "claims"
        ),
    ]
