"""Tests of the call client: long, stalled and endless answers."""

import asyncio

import pytest
import raw_peers

from sycamoreloft_router import _call_client, _call_progress

#: Limits of the calls; the idle timeout is far longer than any pause here.
LIMITS = _call_client.CallLimits(5.0, 5.0, 20.0, 1 << 20)

#: Maximum number of bytes that a server can write before its call ends: the
#: limits above, and the buffers of the operating system.
MAXIMUM_BYTES = 32 << 20

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"2000\r\n" + b"x" * 8192 + b"\r\n"


@pytest.fixture
def call():
    """Runs a scenario with a raw server and a function that sends calls."""

    def run_scenario(scenario, script):
        async def main():
            client = _call_client.CallClient(1.0)

            async def send(upstream, limits=LIMITS):
                progress = _call_progress.CallProgress(0.0)
                return await client.send(
                    _call_client.Call(
                        upstream.address, "POST", "/order", limits, b"{}"
                    ),
                    progress,
                )

            try:
                async with (
                    asyncio.timeout(40),
                    raw_peers.RawUpstream(script) as upstream,
                ):
                    await scenario(upstream, send)
            finally:
                client.close()

        asyncio.run(main())

    return run_scenario


class EndlessScript:
    """Writes the same bytes until the connection is closed."""

    def __init__(self, start, piece):
        self._start = start
        self._piece = piece
        self.written = 0

    async def __call__(self, _request, writer, _reader):
        writer.write(self._start)
        while True:
            writer.write(self._piece)
            await writer.drain()
            self.written += len(self._piece)


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"", b"x" * 8192),
        (b"", b"x\r\n" * 2048),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
        (OK, b"x" * 8192),
        (OK, b"X-More: 1\r\n" * 700),
        (OK + b"X-More: ", b"1" * 8192),
        (CHUNKED, CHUNK),
        (CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 700),
        (CHUNKED, b"1" * 8192),
        (OK + b"Content-Length: 99999999999\r\n\r\n", b"x" * 8192),
        (OK + b"Connection: close\r\n\r\n", b"x" * 8192),
    ],
    ids=[
        "noise",
        "lines",
        "interim-answers",
        "line-in-head",
        "headers",
        "long-header",
        "chunks",
        "trailers",
        "chunk-size",
        "length",
        "until-close",
    ],
)
def test_an_answer_without_end_is_given_up(call, start, piece):
    """Guards against answers that fill the memory until the timeout."""
    script = EndlessScript(start, piece)

    async def scenario(upstream, send):
        answer = await send(upstream)
        assert answer.status == _call_client.NO_ANSWER
        assert answer.error
        await raw_peers.wait_until(lambda: upstream.closed == 1)
        assert script.written < MAXIMUM_BYTES

    call(scenario, script)


def test_bytes_after_a_whole_answer_reach_no_other_call(call):
    """Guards against trailing bytes that are read as the next answer."""
    script = EndlessScript(raw_peers.answer(b"first"), b"x" * 8192)

    async def scenario(upstream, send):
        for _ in range(2):
            answer = await send(upstream)
            assert (answer.status, answer.body) == (200, b"first")
        await raw_peers.wait_until(lambda: upstream.closed == 2)

    call(scenario, script)


def test_a_second_answer_on_an_idle_connection_reaches_no_call(call):
    """Guards against reuse of a connection with unread bytes."""
    repeated = asyncio.Event()

    async def script(request, writer, _reader):
        writer.write(raw_peers.answer(b"%d" % request.connection))
        await writer.drain()
        # Lets the client read the first answer before the second one arrives.
        await asyncio.sleep(0.05)
        writer.write(raw_peers.answer(b"late"))
        await writer.drain()
        repeated.set()

    async def scenario(upstream, send):
        for number in range(3):
            answer = await send(upstream)
            assert (answer.status, answer.body) == (200, b"%d" % number)
            await repeated.wait()
            repeated.clear()

    call(scenario, script)


def test_an_answer_that_stops_midway_is_given_up(call):
    """Guards against calls that wait for a stalled connection."""

    async def script(_request, writer, reader):
        writer.write(OK + b"Content-Length: 10\r\n\r\nhalf")
        await reader.read()

    async def scenario(upstream, send):
        limits = _call_client.CallLimits(5.0, 0.2, 20.0, 100)
        answer = await send(upstream, limits)
        assert answer.status == _call_client.NO_ANSWER
        await raw_peers.wait_until(lambda: upstream.closed == 1)

    call(scenario, script)


def test_a_cancelled_call_closes_its_connection(call):
    """Guards against answers that are received although nobody waits."""

    async def script(_request, _writer, reader):
        await reader.read()

    async def scenario(upstream, send):
        task = asyncio.create_task(send(upstream))
        await raw_peers.wait_until(lambda: upstream.requests)
        task.cancel()
        await raw_peers.wait_until(lambda: upstream.closed == 1)

    call(scenario, script)


def test_an_answer_without_body_has_its_headers(call):
    """Guards against lost handovers, which are headers of empty answers."""

    async def script(_request, writer, _reader):
        writer.write(raw_peers.answer(b"", headers=b"Lease-Handover: h1\r\n"))
        await writer.drain()

    async def scenario(upstream, send):
        for _ in range(2):
            answer = await send(upstream)
            assert answer.status == 200
            assert answer.headers["lease-handover"] == "h1"
        assert upstream.connections == 1

    call(scenario, script)


def test_an_answer_tells_whether_the_call_was_sent(call):
    """Guards against a wait for the lease of an order that was not sent."""

    async def script(_request, writer, _reader):
        writer.close()

    async def scenario(upstream, send):
        broken = await send(upstream)
        assert (broken.status, broken.was_sent) == (
            _call_client.NO_ANSWER,
            True,
        )
        address = upstream.address
        await upstream.__aexit__()
        refused = await send(upstream)
        assert upstream.address == address
        assert refused.status == _call_client.NO_ANSWER
        assert not refused.was_sent

    call(scenario, script)


# Guards against a late answer to an earlier call that is read as the answer to
# this one: that can happen only on a reused connection.
def test_an_answer_tells_which_connection_carried_the_call(call):
    async def script(request, writer, _reader):
        if request.connection == 0 and len(upstreams[0].requests) == 3:
            return False
        writer.write(raw_peers.answer())
        await writer.drain()
        return True

    upstreams = []

    async def scenario(upstream, send):
        upstreams.append(upstream)
        kinds = [(await send(upstream)).connection for _ in range(4)]
        expected = _call_client.Connection
        assert kinds == [
            expected.NEW,
            expected.REUSED,
            # The reused connection broke during the third call.
            expected.RESENT,
            expected.REUSED,
        ]

    call(scenario, script)


def test_a_call_without_a_connection_says_so(call):
    async def scenario(upstream, send):
        await upstream.__aexit__()
        answer = await send(upstream)
        assert answer.status == _call_client.NO_ANSWER
        assert answer.connection is _call_client.Connection.NONE

    call(scenario, raw_peers.echo())
