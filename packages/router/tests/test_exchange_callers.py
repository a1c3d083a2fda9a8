"""Tests of the request path: claims, and callers that disconnect."""

import asyncio

import fake_sources
import pytest
import raw_peers

from sycamoreloft_router import _caller_connections

build_head = fake_sources.build_head
outcomes = fake_sources.list_outcomes
WAGER = fake_sources.WAGER


def test_caller_that_leaves_cancels_the_upstream(serve):
    """Guards against work for a caller that has disconnected."""

    async def script(request, writer, reader):
        assert await reader.read(1) == b""
        return False

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(build_head())
        await raw_peers.wait_until(lambda: upstream.requests)
        caller.close()
        await raw_peers.wait_until(lambda: upstream.closed == 1)
        await raw_peers.wait_until(lambda: outcomes(harness) == ["unknown"])
        await raw_peers.wait_until(lambda: harness.server.count_requests() == 0)
        assert len(upstream.requests) == 1

    serve(scenario, script)


def test_a_request_on_a_closed_connection_is_not_begun(serve, monkeypatch):
    """Guards against requests that run although nobody can get the answer.

    On a slow host, the connection was closed after a head had arrived and
    before the event loop handled it.
    """
    parse = _caller_connections.CallerConnection._parse_headers

    def parse_late(connection, data):
        connection.stream.close()
        return parse(connection, data)

    monkeypatch.setattr(
        _caller_connections.CallerConnection, "_parse_headers", parse_late
    )

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(build_head())
        assert await caller.reader.read() == b""
        gone = "sycamoreloft_callers_gone_total"
        await raw_peers.wait_until(lambda: harness.metrics.read(gone) == 1)
        await raw_peers.wait_until(lambda: harness.server.count_requests() == 0)
        assert not upstream.requests

    serve(scenario)


# Guards against a lost request: the sweep closed a connection as idle whose
# request was already in the socket, or read but not handled yet.
@pytest.mark.parametrize("turns", [0, 1, 2, 3])
def test_a_request_that_has_arrived_ends_the_idle_time(serve, turns):
    async def scenario(harness, upstream):
        caller = await harness.connect()
        connections = harness.server._server.list_connections
        await raw_peers.wait_until(connections)
        await asyncio.sleep(0.05)
        caller.writer.write(build_head())
        for _ in range(turns):
            await asyncio.sleep(0)
        harness.server._server.close_idle(asyncio.get_running_loop().time() + 1)
        answer = await raw_peers.read_message(caller.reader)
        assert answer.status == 200
        assert len(upstream.requests) == 1

    serve(scenario)


def test_an_idle_connection_is_closed(serve):
    async def scenario(harness, _upstream):
        caller = await harness.connect()
        await raw_peers.wait_until(harness.server._server.list_connections)
        await asyncio.sleep(0.05)
        harness.server._server.close_idle(asyncio.get_running_loop().time() + 1)
        assert await caller.reader.read() == b""

    serve(scenario)


def test_at_most_once_goes_on_when_its_caller_leaves(serve):
    """Guards against an unknown outcome that would become known by waiting."""

    async def script(request, writer, reader):
        await asyncio.sleep(0.1)
        writer.write(raw_peers.answer(b"paid", b"201 Created"))

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(WAGER + b"1")
        await raw_peers.wait_until(lambda: upstream.requests)
        caller.close()
        await raw_peers.wait_until(lambda: harness.sources.reported_results)
        result = harness.sources.reported_results[0]
        assert (result.outcome, result.status) == ("completed", 201)
        await raw_peers.wait_until(lambda: harness.server.count_requests() == 0)

    serve(scenario, script)


def test_caller_that_leaves_in_its_body_runs_nothing_whole(serve):
    """Guards against a truncated request body that looks complete."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(build_head("PUT", Content_Length="1000000"))
        caller.writer.write(b"x" * 300_000)
        await raw_peers.wait_until(lambda: upstream.connections == 1)
        caller.close()
        await raw_peers.wait_until(lambda: upstream.closed == 1)
        assert upstream.requests == []
        await raw_peers.wait_until(lambda: outcomes(harness) == ["unknown"])

    serve(scenario)


def test_malformed_long_body_is_answered_with_what_is_known(serve):
    """Guards against did-not-run for a request that was partly sent."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(build_head("POST", Transfer_Encoding="chunked"))
        caller.writer.write(b"%x\r\n%b\r\n" % (100_000, b"x" * 100_000))
        await raw_peers.wait_until(lambda: upstream.connections == 1)
        caller.writer.write(b"nonsense\r\n")
        answer = await caller.read()
        assert (answer.status, answer.outcome) == (400, "unknown")
        assert await caller.reader.read() == b""

    serve(scenario)


@pytest.mark.parametrize(
    ("verdict", "status", "outcome"),
    [
        (("repeated", "completed", 201), 201, "completed"),
        (("repeated", "unknown", 0), 409, "unknown"),
        (("conflict",), 422, "did-not-run"),
        (("unavailable",), 503, "did-not-run"),
    ],
)
def test_unclaimed_operation_is_not_sent(serve, verdict, status, outcome):
    """Guards against an at-most-once operation that runs without a claim."""

    async def scenario(harness, upstream):
        harness.sources.verdicts = [verdict] * 10
        answer = await harness.send(WAGER, b"1")
        assert answer.outcome == outcome
        assert answer.status == status
        assert upstream.requests == []
        # This attempt did not run, whatever the outcome of the first one.
        assert set(outcomes(harness)) == {"did-not-run"}
        reported = {item.outcome for item in harness.sources.reported_results}
        assert reported == (
            {"did-not-run"} if verdict[0] == "unavailable" else set()
        )

    serve(scenario)


def test_claim_that_is_not_answered_is_abandoned(serve):
    """Guards against a claim that blocks the request id after the deadline."""

    async def scenario(harness, upstream):
        harness.sources.verdicts = [("hang",)]
        caller = await harness.connect()
        caller.writer.write(WAGER + b"1")
        await raw_peers.wait_until(lambda: harness.sources.claim_requests)
        raw_peers.advance_clock(3.0)  # The deadline of the service.
        answer = await caller.read()
        assert (answer.status, answer.outcome) == (504, "did-not-run")
        assert harness.sources.reported_results[0].outcome == "did-not-run"
        assert harness.sources.reported_results[0].attempt == (
            harness.sources.claim_requests[0].attempt
        )

    serve(scenario)
