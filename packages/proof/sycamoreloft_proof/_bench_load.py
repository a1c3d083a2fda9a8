"""Load generator of the forwarding benchmark.

It runs in a separate process: `python -m sycamoreloft_proof._bench_load JSON`
takes the fields of a `Load` as JSON, sends the load and prints the measured
figures as JSON.
"""

import asyncio
import collections
import dataclasses
import json
import random
import sys
import time
import typing

#: A GET request for one key, with the headers that a caller's HTTP library
#: typically sends.
REQUEST = (
    b"GET /heats/17/standings?view=short HTTP/1.1\r\n"
    b"Host: 127.0.0.1\r\n"
    b"User-Agent: sledworks-client/4.2\r\n"
    b"Accept: application/json\r\n"
    b"Sycamoreloft-Fleet: sledworks\r\n"
    b"Sycamoreloft-Service: tally-board\r\n"
    b"Sycamoreloft-Key: heat-17\r\n"
    b"Sycamoreloft-Caller: scoreboard-3\r\n"
    b"\r\n"
)

_UPLOAD_HEAD = (
    b"PUT /footage/17 HTTP/1.1\r\n"
    b"Host: 127.0.0.1\r\n"
    b"Sycamoreloft-Fleet: sledworks\r\n"
    b"Sycamoreloft-Service: tally-board\r\n"
    b"Sycamoreloft-Key: heat-17\r\n"
    b"Content-Length: %d\r\n"
    b"\r\n"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests to send and how to send them."""

    #: "closed" (each connection sends its next request as soon as it receives
    #: an answer), "open" (random arrivals at a mean rate) or "upload" (a single
    #: request with a large body).
    mode: str
    #: Address of the server, as "ip:port".
    address: str
    #: Number of connections; a closed or open load has at most one request in
    #: flight on each.
    connections: int = 32
    #: Duration of a closed or open load, in seconds.
    seconds: float = 4.0
    #: Mean arrivals per second of an open load.
    rate: float = 0.0
    #: Body size of an upload, in bytes; a multiple of 1,000,000.
    size: int = 0
    #: Seed of the random arrival times of an open load.
    seed: int = 1


class _CallerProtocol(asyncio.Protocol):
    """Connection of a caller with at most one request in flight."""

    def __init__(self, on_answer: typing.Any) -> None:
        self._on_answer = on_answer
        self._data = b""
        self._transport: asyncio.Transport | None = None
        self.due_at = 0.0
        self.errors = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.errors += 1

    def send(self, due_at: float) -> None:
        self.due_at = due_at
        if self._transport is not None:
            self._transport.write(REQUEST)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        if not end:
            return
        length = head.lower().split(b"content-length:", 1)[1]
        if len(body) < int(length.split(b"\r\n", 1)[0]):
            return
        self._data = b""
        if not head.startswith(b"HTTP/1.1 200"):
            self.errors += 1
        self._on_answer(self)


class _LoadGenerator:
    """Sends a closed or open load and measures the latencies."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._loop = asyncio.get_running_loop()
        self._latencies: list[float] = []
        self._callers: list[_CallerProtocol] = []
        self._idle_callers: collections.deque[_CallerProtocol] = (
            collections.deque()
        )
        self._unsent_due_times: collections.deque[float] = collections.deque()
        self._ends_at = 0.0

    async def run(self) -> dict[str, float]:
        host, port = self._load.address.rsplit(":", 1)
        for _ in range(self._load.connections):
            _, caller = await self._loop.create_connection(
                lambda: _CallerProtocol(self._on_answer), host, int(port)
            )
            self._callers.append(caller)
        started_at = time.perf_counter()
        self._ends_at = started_at + self._load.seconds
        if self._load.mode == "closed":
            for caller in self._callers:
                caller.send(time.perf_counter())
            await asyncio.sleep(self._load.seconds)
        else:
            self._idle_callers.extend(self._callers)
            await self._send_arrivals(started_at)
        seconds = time.perf_counter() - started_at
        errors = sum(caller.errors for caller in self._callers)
        for caller in self._callers:
            caller.close()
        latencies = sorted(self._latencies)
        return {
            "requests": len(latencies),
            "errors": errors,
            "per_second": len(latencies) / seconds,
            "p50_ms": _compute_quantile(latencies, 0.5) * 1000,
            "p99_ms": _compute_quantile(latencies, 0.99) * 1000,
        }

    async def _send_arrivals(self, started_at: float) -> None:
        """Sends requests at random times until the end of the run.

        Waits at most 2 s for the answers that are missing at the end.
        """
        generator = random.Random(self._load.seed)
        due_at = started_at
        while due_at < self._ends_at:
            due_at += generator.expovariate(self._load.rate)
            delay = due_at - time.perf_counter()
            if delay > 0:
                await asyncio.sleep(delay)
            if self._idle_callers:
                self._idle_callers.popleft().send(due_at)
            else:
                self._unsent_due_times.append(due_at)
        for _ in range(200):
            if len(self._idle_callers) == len(self._callers):
                break
            await asyncio.sleep(0.01)

    def _on_answer(self, caller: _CallerProtocol) -> None:
        now = time.perf_counter()
        # The latency includes the time that a due request waited for an idle
        # connection. Otherwise a slow server would delay sends and its
        # measured latency would be too low.
        self._latencies.append(now - caller.due_at)
        if self._load.mode == "closed":
            if now < self._ends_at:
                caller.send(now)
        elif self._unsent_due_times:
            caller.send(self._unsent_due_times.popleft())
        else:
            self._idle_callers.append(caller)


def _compute_quantile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return float("inf")
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


async def _upload(load: Load) -> dict[str, float]:
    host, port = load.address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    started_at = time.perf_counter()
    writer.write(_UPLOAD_HEAD % load.size)
    chunk = b"x" * 1_000_000
    for _ in range(load.size // len(chunk)):
        writer.write(chunk)
        await writer.drain()
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return {
        "errors": 0.0 if head.startswith(b"HTTP/1.1 200") else 1.0,
        "seconds": time.perf_counter() - started_at,
    }


async def main(text: str) -> None:
    """Sends a load and prints the measured figures as JSON.

    Args:
        text: Fields of a `Load` as a JSON object.
    """
    load = Load(**json.loads(text))
    if load.mode == "upload":
        figures = await _upload(load)
    else:
        figures = await _LoadGenerator(load).run()
    print(json.dumps(figures))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
