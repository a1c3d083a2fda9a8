"""Cost of claims: added latency, and claims for each write to the store."""

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

#: Path of an operation that runs at most once, and of one without a claim.
#: The service, the body and the method are alike.
CLAIMED_PATH = "/wagers"
PLAIN_PATH = "/remarks"

#: One router in each failure domain; all requests go to the first one.
ROUTERS = 3

#: Requests in flight at once, fewer than the service's 18 slots, so that no
#: request waits for a slot.
CALLERS = 16

#: Runs of each kind, which take turns so that other load hits both, and the
#: length of one run in seconds.
ROUNDS = 3
RUN_S = 3.0

#: Requests before the first run; connections and caches are warm afterwards.
WARM_UP_REQUESTS = 200

#: Time for all groups to get their holders, in seconds.
SETTLE_S = 3.0


class ClaimBench:
    """Sends posts to one router, with and without claims."""

    def __init__(self, deployment: _deployment.Deployment) -> None:
        self._deployment = deployment
        self._numbers = itertools.count()
        self._address = deployment.hosts[0].router.caller_address
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=CALLERS
        )

    async def post(self, path: str) -> float:
        """Sends one request and returns its time in seconds.

        Raises:
            RuntimeError: The request was not completed.
        """
        number = next(self._numbers)
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
            raise RuntimeError(f"{path} was answered with {answer.code}")
        return time.perf_counter() - sent_at

    async def _post_until(self, path: str, ends_at: float) -> list[float]:
        times = []
        while time.perf_counter() < ends_at:
            times.append(await self.post(path))
        return times

    async def measure_p99(self, path: str) -> float:
        """Returns the 99th percentile of a run with all callers, seconds."""
        ends_at = time.perf_counter() + RUN_S
        runs = await asyncio.gather(
            *(self._post_until(path, ends_at) for _ in range(CALLERS))
        )
        times = sorted(itertools.chain.from_iterable(runs))
        return times[int(len(times) * 0.99)]

    async def count_claims(self) -> tuple[int, int]:
        """Returns the claims and the writes of all claim holders so far."""
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
        """Waits for the holders and sends the first requests."""
        await asyncio.sleep(SETTLE_S)
        for path in (CLAIMED_PATH, PLAIN_PATH):
            for _ in range(WARM_UP_REQUESTS // CALLERS):
                await asyncio.gather(*(self.post(path) for _ in range(CALLERS)))


async def run_claims() -> tuple[float, float, float]:
    """Runs both kinds of requests.

    Returns:
        The 99th percentile with and without claims, in seconds, and the
        claims for each write.
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
            bench = ClaimBench(deployment)
            await bench.warm_up()
            before = await bench.count_claims()
            for _ in range(ROUNDS):
                for path, values in p99.items():
                    values.append(await bench.measure_p99(path))
            after = await bench.count_claims()
    writes = after[1] - before[1]
    return (
        statistics.median(p99[CLAIMED_PATH]),
        statistics.median(p99[PLAIN_PATH]),
        (after[0] - before[0]) / writes,
    )


@_bench_registry.register("claims")
def bench_claims() -> abc.Sequence[_bench_registry.Measure]:
    """Measures what a claim adds to a request, and costs the store."""
    claimed_s, plain_s, claims_per_write = asyncio.run(run_claims())
    return [
        _bench_registry.Measure(
            "claim_added_p99_ms", (claimed_s - plain_s) * 1000, "ms"
        ),
        # Shows how busy the machine was during the run.
        _bench_registry.Measure("claim_plain_p99_ms", plain_s * 1000, "ms"),
        _bench_registry.Measure(
            "claims_per_store_write", claims_per_write, "claims"
        ),
    ]
