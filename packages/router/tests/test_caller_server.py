"""Tests of the caller server: parsing, limits and streaming."""

import asyncio
import gc
import json
import socket

import fake_sources
import pytest
import raw_peers
from tornado import iostream

from sycamoreloft_router import _caller_connections, _caller_server

build_head = fake_sources.build_head


def test_forwards_a_request_and_its_answer(serve):
    """Guards against altered requests and answers, and leaked headers."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        for _ in range(3):
            answer = await caller.send(
                build_head(
                    "PUT",
                    "/a/../b?q=%20",
                    Content_Length="3",
                    X_Own="kept",
                    X_Empty=" ",
                    X_Hop="dropped",
                    Connection="keep-alive, X-Hop",
                    Sycamoreloft_Caller="c1",
                    Sycamoreloft_Epoch="999",
                    Sycamoreloft_Secret="x",
                ),
                b"abc",
            )
            assert (answer.status, answer.body) == (201, b"made")
            assert answer.outcome == "completed"
            assert answer.get_header("X-Answer") == "1"
            assert answer.get_header("Sycamoreloft-Attempt") is None
            assert answer.get_header("Keep-Alive") is None
        request = upstream.requests[-1]
        assert request.head.startswith(b"PUT /a/../b?q=%20 HTTP/1.1\r\n")
        assert request.body == b"abc"
        assert request.get_header("X-Own") == "kept"
        assert request.get_header("X-Empty") == ""
        assert request.get_header("X-Hop") is None
        assert request.get_header("Sycamoreloft-Secret") is None
        assert request.get_header("User-Agent") is None
        assert request.head.count(b"Sycamoreloft-Epoch") == 1
        assert request.get_header("Sycamoreloft-Epoch") == "7"
        assert request.get_header("Sycamoreloft-Group") == "sledworks/north/0"
        assert request.get_header("Sycamoreloft-Key") == "heat-7"
        assert request.get_header("Sycamoreloft-Fence") == "42"
        requested = harness.sources.requested[-1]
        assert (
            int(request.get_header("Sycamoreloft-Partition"))
            == requested.partition
        )
        assert requested.caller == "c1"
        assert [item.outcome for item in harness.sources.returned] == [
            "completed"
        ] * 3

    script = raw_peers.echo(
        b"made", b"201 Created", b"X-Answer: 1\r\nKeep-Alive: 5\r\n"
    )
    serve(scenario, script)


@pytest.mark.parametrize(
    ("head", "status", "reason"),
    [
        (b"nonsense\r\n\r\n", 400, "malformed-request-line"),
        (b"GET / HTTP/1.1\r\nbad line\r\n\r\n", 400, "malformed-headers"),
        (build_head(X="y" * 20_000), 431, "long-headers"),
        (build_head(version="1.0"), 505, "old-http-version"),
        (build_head("TRACE"), 400, "bad-method"),
        (build_head(target="http://h/x"), 400, "bad-path"),
        (build_head(target="/_sycamoreloft/grant"), 400, "reserved-path"),
        (build_head(target="/%5fsycamoreloft/x"), 400, "reserved-path"),
        (build_head(target="//a/.././_SYCAMORELOFT"), 400, "reserved-path"),
        (build_head(service=""), 400, "missing-service"),
        (build_head(service="none"), 400, "unknown-service"),
        (build_head(Sycamoreloft_Fleet="none"), 400, "unknown-fleet"),
        (build_head(Sycamoreloft_Key=""), 400, "missing-key"),
        (build_head(Sycamoreloft_Key="k" * 2_000), 400, "long-header"),
        (build_head(Sycamoreloft_Deadline_Ms="-1"), 400, "bad-deadline"),
        (build_head(Sycamoreloft_Deadline_Ms="0"), 400, "bad-deadline"),
        (
            build_head()[:-2] + b"sycamoreloft-key: other\r\n\r\n",
            400,
            "repeated-header",
        ),
        (build_head("POST", "/wager"), 400, "missing-request-id"),
        (build_head("POST", Content_Length="x"), 400, "bad-framing"),
        (build_head("HEAD", Content_Length="2"), 400, "bad-framing"),
        (
            build_head("POST", Content_Length="2", Transfer_Encoding="chunked"),
            400,
            "bad-framing",
        ),
        (build_head("PUT", Content_Length="99999999999"), 413, "long-body"),
        (
            build_head("PUT", Transfer_Encoding="chunked") + b"xyz\r\n",
            400,
            "malformed-body",
        ),
    ],
)
def test_refuses_bad_requests_with_a_remedy(serve, head, status, reason):
    """Guards against untyped refusals, and against running bad requests."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        answer = await caller.send(head)
        assert (answer.status, answer.reason) == (status, reason)
        assert answer.outcome == "did-not-run"
        if not head.startswith(b"HEAD"):
            assert json.loads(answer.body)["remedy"]
        assert upstream.requests == []
        assert harness.sources.requested == []

    serve(scenario)


def test_keeps_the_connection_after_a_refusal(serve):
    """Guards against a refusal that desynchronizes the connection."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        refused = await caller.send(build_head(service="none"))
        assert refused.status == 400
        assert (await caller.send(build_head())).status == 200

    serve(scenario)


def test_answers_before_the_body_and_reads_the_rest(serve):
    """Guards against a reset that destroys an early answer."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        size = 3_000_000
        caller.writer.write(
            build_head("PUT", service="none", Content_Length=str(size))
        )
        for _ in range(30):
            caller.writer.write(b"x" * (size // 30))
            await caller.writer.drain()
        assert (await caller.read()).reason == "unknown-service"

    serve(scenario)


@pytest.mark.parametrize("chunked", [False, True])
def test_streams_a_long_upload(serve, chunked):
    """Guards against lost, altered or buffered parts of a long body."""
    parts = [bytes([number]) * 100_000 for number in range(50)]

    async def scenario(harness, upstream):
        caller = await harness.connect()
        if chunked:
            head = build_head("PUT", Transfer_Encoding="chunked")
            data = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
            data.append(b"0\r\n\r\n")
        else:
            head = build_head("PUT", Content_Length=str(5_000_000))
            data = parts
        caller.writer.write(head)
        for part in data:
            caller.writer.write(part)
            await caller.writer.drain()
        assert (await caller.read()).status == 200
        assert upstream.requests[0].body == b"".join(parts)
        # The connection is still synchronized.
        assert (await caller.send(build_head())).status == 200

    serve(scenario)


def test_streams_a_long_answer_to_a_slow_caller(serve):
    """Guards against answers that are buffered completely in memory."""
    size = 40_000_000
    sent = []

    async def script(request, writer, _reader):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for number in range(40):
            writer.write(bytes([number]) * 1_000_000)
            await writer.drain()
            sent.append(number)

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(build_head())
        await asyncio.sleep(0.3)
        assert len(sent) < 30
        answer = await caller.read()
        assert answer.body == b"".join(
            bytes([number]) * 1_000_000 for number in range(40)
        )
        assert harness.sources.returned[0].outcome == "completed"

    serve(scenario, script)


@pytest.mark.parametrize(
    ("status", "body"), [(b"204 None", b""), (b"304 Same", b"")]
)
def test_answers_without_a_body_stay_framed(serve, status, body):
    """Guards against a body or length where HTTP allows none."""

    async def script(request, writer, _reader):
        writer.write(b"HTTP/1.1 %s\r\nETag: x\r\n\r\n" % status)

    async def scenario(harness, upstream):
        caller = await harness.connect()
        for _ in range(2):
            answer = await caller.send(build_head())
            assert answer.status == int(status[:3])
            assert answer.get_header("Content-Length") is None

    serve(scenario, script)


def test_head_keeps_the_length_without_a_body(serve):
    """Guards against HEAD answers that wait for a body."""

    async def script(request, writer, _reader):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n")

    async def scenario(harness, upstream):
        caller = await harness.connect()
        for _ in range(2):
            answer = await caller.send(build_head("HEAD"))
            assert answer.get_header("Content-Length") == "500"

    serve(scenario, script)


def test_answers_pipelined_requests_in_order(serve):
    """Guards against answers that reach another request of a connection."""

    async def script(request, writer, _reader):
        target = request.head.split(b" ")[1]
        await asyncio.sleep(0.05 if target == b"/1" else 0)
        writer.write(raw_peers.answer(target))

    async def scenario(harness, upstream):
        caller = await harness.connect()
        for number in range(1, 5):
            caller.writer.write(build_head(target=f"/{number}"))
        bodies = [(await caller.read()).body for _ in range(4)]
        assert bodies == [b"/1", b"/2", b"/3", b"/4"]

    serve(scenario, script)


def test_requests_leave_nothing_to_the_garbage_collector(serve):
    """Guards against reference cycles, which pause the process for 30 ms."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        await caller.send(build_head())
        gc.collect()
        gc.disable()
        try:
            for _ in range(10):
                await caller.send(build_head())
            gc.set_debug(gc.DEBUG_SAVEALL)
            gc.collect()
            left = [
                item
                for item in gc.garbage
                if type(item).__module__.startswith("sycamoreloft")
            ]
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()
        assert left == []

    serve(scenario)


def test_bounds_the_requests_in_flight(serve):
    """Guards against memory use that grows with the number of requests."""

    async def script(request, writer, _reader):
        await asyncio.sleep(0.1)
        writer.write(raw_peers.answer())

    async def scenario(harness, upstream):
        answers = await asyncio.gather(*(harness.send() for _ in range(6)))
        reasons = sorted(str(answer.reason) for answer in answers)
        assert reasons == ["None"] * 4 + ["host-overloaded"] * 2
        assert (await harness.send()).status == 200

    serve(scenario, script, _caller_server.CallerLimits(requests=4))


def test_closes_idle_connections(serve, monkeypatch):
    """Guards against connections that stay open for ever."""
    monkeypatch.setattr(_caller_server, "SWEEP_INTERVAL_S", 0.02)

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(b"GET /half")
        assert await caller.reader.read() == b""

    limits = _caller_server.CallerLimits(idle_connection_s=0.05)
    serve(scenario, limits=limits)


def test_slow_body_ends_at_the_deadline(serve):
    """Guards against a request that waits for its body for ever."""

    async def scenario(harness, upstream):
        answer = await harness.send(
            build_head(
                "PUT", Content_Length="10", Sycamoreloft_Deadline_Ms="50"
            ),
            b"part",
        )
        assert (answer.status, answer.reason) == (408, "slow-body")
        assert answer.outcome == "did-not-run"
        assert harness.sources.requested == []

    serve(scenario)


def test_a_new_connection_is_not_idle(serve):
    """Guards against a reset of a connection that was just accepted.

    The task of a connection starts one iteration of the event loop after the
    connection is accepted; idle connections may be closed in between.
    """

    async def scenario(harness, upstream):
        server = _caller_connections.ConnectionServer(
            harness.server, 16_384, 1_000, None, harness.server._guard
        )
        near, far = socket.socketpair()
        with far:
            stream = iostream.IOStream(near)
            server.handle_stream(stream, ("127.0.0.1", 1))
            server.close_idle(asyncio.get_running_loop().time() - 1.0)
            assert not stream.closed()
            stream.close()
            await asyncio.sleep(0)

    serve(scenario)


def test_a_sweep_passes_over_a_connection_that_just_closed(serve):
    """Guards against an exception in the sweep, which ends all later sweeps.

    The task of a connection notices a close one iteration of the event loop
    later; idle connections may be closed in between.
    """

    async def scenario(harness, upstream):
        caller = await harness.connect()
        server = harness.server._server
        await raw_peers.wait_until(server.list_connections)
        await asyncio.sleep(0.01)
        [connection] = server.list_connections()
        connection.stream.close()
        server.close_idle(asyncio.get_running_loop().time())
        await raw_peers.wait_until(lambda: not server.list_connections())
        caller.writer.close()

    serve(scenario)


def test_a_request_that_came_with_the_one_before_survives_a_sweep(serve):
    """Guards against a pipelined request whose connection is taken for idle."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(build_head() + build_head())
        server = harness.server._server
        for number in (1, 2):
            while len(upstream.requests) < number:
                server.close_idle(asyncio.get_running_loop().time())
                await asyncio.sleep(0)
            assert (await caller.read()).body == b"ok"

    serve(scenario)
