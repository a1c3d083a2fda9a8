"""Tests of the caller server: draining before a planned stop."""

import asyncio
import socket

import fake_sources
import pytest
import raw_peers

build_head = fake_sources.build_head


def test_drain_completes_requests_in_flight(serve):
    """Guards against requests that a planned stop cancels."""

    async def script(request, writer, _reader):
        await asyncio.sleep(0.1)
        writer.write(raw_peers.answer(b"whole"))

    async def scenario(harness, upstream):
        idle = await harness.connect()
        assert (await idle.send(build_head())).body == b"whole"
        caller = await harness.connect()
        caller.writer.write(build_head())
        await raw_peers.wait_until(lambda: len(upstream.requests) == 2)
        draining = asyncio.ensure_future(harness.server.drain(5.0))
        await asyncio.sleep(0)
        with pytest.raises(ConnectionError):
            await harness.connect()
        # A request on an idle connection may still be on its way.
        late = await idle.send(build_head())
        assert (late.body, late.get_header("Connection")) == (b"whole", "close")
        answer = await caller.read()
        assert (answer.body, answer.get_header("Connection")) == (
            b"whole",
            "close",
        )
        assert await draining == 0

    serve(scenario, script)


def test_drain_closes_idle_connections_while_others_work(serve):
    """Guards against new requests that the end of the drain cancels."""
    held = asyncio.Event()

    async def script(request, writer, _reader):
        if b" /slow " in request.head:
            await held.wait()
        writer.write(raw_peers.answer(b"whole"))

    async def scenario(harness, upstream):
        idle = await harness.connect()
        assert (await idle.send(build_head())).body == b"whole"
        slow = await harness.connect()
        slow.writer.write(build_head(target="/slow"))
        await raw_peers.wait_until(lambda: len(upstream.requests) == 2)
        draining = asyncio.ensure_future(harness.server.drain(20.0))
        async with asyncio.timeout(10.0):
            assert await idle.reader.read() == b""
        assert not draining.done()
        held.set()
        assert (await slow.read()).body == b"whole"
        assert await draining == 0

    serve(scenario, script)


def test_drain_answers_connections_that_are_not_yet_accepted(serve):
    """Guards against a reset of connections in the listening socket."""

    async def scenario(harness, upstream):
        host, port = harness.address.split(":")
        with socket.create_connection((host, int(port)), 5) as caller:
            # The event loop has not run since the connection was opened.
            caller.sendall(build_head())
            assert await harness.server.drain(5.0) == 0
            assert caller.recv(100).startswith(b"HTTP/1.1 200")

    serve(scenario)


@pytest.mark.parametrize(
    ("deadline_ms", "status"), [("20000", 503), ("1000", 200)]
)
def test_a_late_request_that_may_outlast_the_drain_is_refused(
    serve, deadline_ms, status
):
    """Guards against requests that are taken late and then cut (LOST)."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        head = build_head(Sycamoreloft_Deadline_Ms=deadline_ms)
        # A connection on which a head has begun is not idle.
        caller.writer.write(head[:-2])
        await asyncio.sleep(0.1)
        draining = asyncio.ensure_future(harness.server.drain(5.0))
        await raw_peers.wait_until(lambda: harness.server.refuses_late_requests)
        answer = await caller.send(head[-2:])
        assert answer.status == status
        assert len(upstream.requests) == (status == 200)
        assert answer.get_header("Connection") == "close"
        if status == 503:
            assert answer.reason == "host-stopping"
            assert answer.outcome == "did-not-run"
            assert answer.get_header("Retry-After")
        assert await draining == 0

    serve(scenario)


def test_drain_is_bounded_and_reports_what_it_cut(serve):
    """Guards against a stop that never ends."""

    async def script(request, writer, _reader):
        await asyncio.sleep(30)

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(build_head())
        await raw_peers.wait_until(lambda: upstream.requests)
        assert await harness.server.drain(0.05) == 1
        with pytest.raises(asyncio.IncompleteReadError):
            await caller.read()
        assert harness.sources.returned[0].outcome == "unknown"

    serve(scenario, script)
