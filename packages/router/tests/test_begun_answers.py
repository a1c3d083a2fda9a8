"""Tests of answers that have begun, and must not be followed by another one."""

import asyncio
import types

import fake_sources
import pytest
import raw_peers
from returns import result
from tornado import iostream

from sycamoreloft_router import (
    _answers,
    _caller_server,
    _metrics,
    _upstream_client,
)

REFUSAL = _answers.Refusal(504, "deadline", "too late", "send it again")

#: Ways in which the execution of a request ends after its answer has begun.
ENDS = ["refusal", "error", "closed", "deadline", "cancelled", "caller-gone"]


class BegunExecution:
    """Begins an answer, and ends in one of several ways."""

    def __init__(self, sink, end, body):
        self._sink = sink
        self._end = end
        self._body = body
        self._stopped = asyncio.Event()

    def stop(self, reason):
        """Ends the request, as its deadline does."""
        del reason
        self._stopped.set()

    async def run(self):
        """Begins the answer."""
        await self._sink.begin(_answers.UpstreamAnswer(b"200 OK", 200, []))
        await self._sink.write(self._body)
        if self._end == "error":
            raise RuntimeError
        if self._end == "closed":
            raise iostream.StreamClosedError
        if self._end in ("deadline", "caller-gone"):
            await self._stopped.wait()
        if self._end == "cancelled":
            await asyncio.sleep(60)
        return REFUSAL


class BegunPath:
    """Serves each request with an answer that begins and does not end."""

    def __init__(self, end, body):
        self._end = end
        self._body = body
        self.metrics = _metrics.Metrics()
        self.parser = self

    def parse(self, method, target, fields, caller):
        """Takes each request."""
        del target, fields, caller
        return result.Success(
            types.SimpleNamespace(
                method=method,
                request_id="a1",
                deadline_ms=100 if self._end == "deadline" else 60_000,
            )
        )

    def create_execution(self, request, received, fields, sink):
        """Creates the execution of a request."""
        del request, received, fields
        return BegunExecution(sink, self._end, self._body)


# Guards against a second answer within the body of the first one (MIXED).
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("size", [1, 60_000, 70_000])
def test_no_answer_follows_an_answer_that_has_begun(end, size):
    async def main():
        client = _upstream_client.UpstreamClient(force_instance=True)
        server = _caller_server.CallerServer(
            BegunPath(end, b"x" * size), client
        )
        address = server.listen("127.0.0.1:0")
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=1 << 20
        )
        writer.write(fake_sources.build_head())
        data = await reader.readuntil(b"x\r\n")
        if end == "cancelled":
            await server.drain(0.05)
        if end == "caller-gone":
            writer.close()
            await raw_peers.wait_until(lambda: not server.count_requests())
        else:
            data += await reader.read()
        assert data.count(b"HTTP/1.1") == 1
        assert not data.endswith(b"0\r\n\r\n")
        writer.close()
        await server.drain(0.05)

    async def bounded():
        async with asyncio.timeout(20):
            await main()

    asyncio.run(bounded())
