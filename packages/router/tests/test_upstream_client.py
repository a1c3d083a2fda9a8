"""Tests of the upstream client with raw TCP servers."""

import asyncio
import socket

import pytest
import raw_peers

from sycamoreloft_router import _body_streams, _transfer_types

ECHO = b"Sycamoreloft-Attempt: a1\r\n"
KIND = _transfer_types.FailureKind


def build_request(upstream, method="GET", body=None, **changes):
    """Builds a request; `changes` replace its default fields."""
    values = {
        "address": getattr(upstream, "address", upstream),
        "method": method,
        "target": "/path?x=1",
        "header_lines": [b"Accept:", b"Expect:"],
        "body": body,
        "length": -1,
        "timeout_s": 5.0,
        "attempt": "a1",
    }
    return _transfer_types.UpstreamRequest(**(values | changes))


async def fetch(client, *arguments, **changes):
    """Runs a transfer to its end; returns it and the body of its answer."""
    transfer = client.start(build_request(*arguments, **changes))
    body = b""
    while not transfer.ended:
        await transfer.wait(1)
        body += transfer.read_available()
    return transfer, body + transfer.read_available()


def make_script(data, keep=True):
    """Returns a script that answers each request with the same bytes."""

    async def script(_request, writer, _reader):
        writer.write(data)
        await writer.drain()
        return keep

    return script


@pytest.mark.parametrize("echo", [False, True])
def test_sends_methods_and_bodies_and_reuses_the_connection(run, echo):
    """Guards against altered methods, targets or bodies."""

    async def scenario(client):
        headers = ECHO if echo else b""
        async with raw_peers.RawUpstream(
            make_script(raw_peers.answer(b"hello", headers=headers))
        ) as upstream:
            for method, body in (
                ("GET", None),
                ("POST", b""),
                ("POST", b"abc"),
                ("PUT", b"\x00" * 70_000),
                ("DELETE", None),
                ("PATCH", b"x"),
                ("GET", None),
            ):
                transfer, answer = await fetch(client, upstream, method, body)
                assert (transfer.failure, answer) == (None, b"hello")
                received = upstream.requests[-1]
                assert received.head.startswith(
                    f"{method} /path?x=1 HTTP/1.1\r\n".encode()
                )
                assert received.body == (body or b"")
                assert b"Expect" not in received.head
            # The first connection is not reused: the client does not know yet
            # that the upstream repeats the identifier of the attempt.
            assert upstream.connections == (2 if echo else 7)

    run(scenario)


@pytest.mark.parametrize(
    ("data", "status", "body"),
    [
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n",
            200,
            b"abc",
        ),
        (
            b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + raw_peers.answer(b"z"),
            200,
            b"z",
        ),
        (b"HTTP/1.1 204 None\r\n\r\n", 204, b""),
        (raw_peers.answer(b"", b"404 Not Found"), 404, b""),
    ],
)
def test_accepts_whole_answers(run, data, status, body):
    """Guards against complete answers that are reported as broken."""

    async def scenario(client):
        async with raw_peers.RawUpstream(make_script(data)) as upstream:
            transfer, answer = await fetch(client, upstream)
            assert transfer.failure is None
            assert (transfer.head.status, answer) == (status, body)

    run(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Len",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nSycamoreloft-Attempt: a0\r\n"
        b"Content-Length: 2\r\n\r\nok",
    ],
)
def test_reports_partial_and_foreign_answers_as_broken(run, data):
    """Guards against a truncated or foreign answer that looks complete."""

    async def scenario(client):
        async with raw_peers.RawUpstream(make_script(data, False)) as upstream:
            transfer, _ = await fetch(client, upstream)
            assert transfer.failure.kind is KIND.BROKEN
            assert transfer.maybe_sent
            await fetch(client, upstream)
            assert upstream.connections == 2

    run(scenario)


@pytest.mark.parametrize(("method", "body"), [("GET", None), ("POST", b"")])
def test_sends_a_request_once_when_a_reused_connection_breaks(
    run, method, body
):
    """Guards against a retry by libcurl, which would run the request twice."""

    async def scenario(client):
        async def script(_request, writer, _reader):
            if len(upstream.requests) == 3:
                # The upstream crashes between the request and its answer.
                return False
            writer.write(raw_peers.answer(headers=ECHO))
            return True

        async with raw_peers.RawUpstream(script) as upstream:
            await fetch(client, upstream)
            await fetch(client, upstream)
            transfer, _ = await fetch(client, upstream, method, body)
            assert transfer.failure.kind is KIND.BROKEN
            assert transfer.maybe_sent
            await asyncio.sleep(0.05)
            assert [one.connection for one in upstream.requests] == [0, 1, 1]

    run(scenario)


def test_tells_that_nothing_was_sent_without_a_connection(run):
    """Guards against `unknown` if no upstream can have run the request."""

    async def scenario(client):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            host, port = unused.getsockname()
            transfer, _ = await fetch(client, f"{host}:{port}")
        assert transfer.failure.kind is KIND.CONNECT
        assert not transfer.maybe_sent

    run(scenario)


def test_late_answer_after_the_deadline_reaches_no_other_request(run):
    """Guards against reuse of a connection with an outstanding answer."""

    async def script(request, writer, _reader):
        if b"/slow" in request.head:
            await asyncio.sleep(0.2)
            writer.write(raw_peers.answer(b"late"))
        else:
            writer.write(raw_peers.answer(b"own"))

    async def scenario(client):
        async with raw_peers.RawUpstream(script) as upstream:
            transfer, _ = await fetch(
                client, upstream, target="/slow", timeout_s=0.05
            )
            assert transfer.failure.kind is KIND.DEADLINE
            assert transfer.maybe_sent
            for _ in range(5):
                _, body = await fetch(client, upstream)
                assert body == b"own"
                await asyncio.sleep(0.05)

    run(scenario)


def test_deadline_ends_a_paused_transfer(run):
    """Guards against a slow caller that occupies a slot past the deadline."""

    async def script(_request, writer, reader):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n")
        writer.write(b"x" * 9_000_000)
        assert await reader.read(1) == b""
        return False

    async def scenario(client):
        async with raw_peers.RawUpstream(script) as upstream:
            transfer = client.start(build_request(upstream, timeout_s=0.1))
            await raw_peers.wait_until(lambda: transfer.ended)
            assert transfer.failure.kind is KIND.DEADLINE
            await raw_peers.wait_until(lambda: upstream.closed == 1)

    run(scenario)


def test_cancel_closes_the_connection(run):
    """Guards against work for a caller that has disconnected."""

    async def script(_request, writer, reader):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
        assert await reader.read(1) == b""
        return False

    async def scenario(client):
        async with raw_peers.RawUpstream(script) as upstream:
            transfer = client.start(build_request(upstream))
            await transfer.wait(4)
            transfer.cancel()
            assert transfer.failure.kind is KIND.CANCELLED
            await raw_peers.wait_until(lambda: upstream.closed == 1)
            transfer = client.start(build_request(upstream))
            await transfer.wait(4)
            assert upstream.connections == 2

    run(scenario)


@pytest.mark.parametrize("pause_s", [0, 0.03])
@pytest.mark.parametrize("delay_s", [0, 0.01])
@pytest.mark.parametrize("headers", [b"", ECHO])
def test_doubled_answer_reaches_no_other_request(
    run, pause_s, delay_s, headers
):
    """Guards against a second answer that is read as the next request's answer.

    Without a pause, the second answer arrives after the next request.
    """

    async def scenario(client):
        async def script(_request, writer, _reader):
            number = len(upstream.requests)
            writer.write(raw_peers.answer(b"%d" % number, headers=headers))
            await writer.drain()
            await asyncio.sleep(delay_s)
            writer.write(raw_peers.answer(b"doubled"))

        async with raw_peers.RawUpstream(script) as upstream:
            for number in range(1, 8):
                transfer, body = await fetch(client, upstream)
                if transfer.failure is None:
                    assert body == b"%d" % len(upstream.requests)
                else:
                    assert body == b""
                await asyncio.sleep(pause_s)
                assert len(upstream.requests) == number

    run(scenario)


def test_answer_for_another_attempt_is_rejected_in_flight(run):
    """Guards against a second answer that arrives after the next request.

    The connection looks idle when it is reused, so the answers can be told
    apart only by the identifier of the attempt.
    """

    async def script(request, writer, _reader):
        writer.write(raw_peers.answer(b"first", headers=ECHO))

    async def scenario(client):
        async with raw_peers.RawUpstream(script) as upstream:
            _, body = await fetch(client, upstream)
            assert body == b"first"
            transfer, body = await fetch(client, upstream, attempt="a2")
            assert transfer.failure.kind is KIND.BROKEN
            assert body == b""

    run(scenario)


def test_swapped_answers_of_two_connections_are_rejected(run):
    """Guards against answers that an upstream sends on a wrong connection."""
    writers = []

    async def script(request, writer, _reader):
        attempt = request.head.split(b"X-Attempt: ")[1][:2]
        writers.append((attempt, writer))
        if len(writers) == 2:
            (first, writer_1), (second, writer_2) = writers
            for name, target in ((first, writer_2), (second, writer_1)):
                target.write(
                    raw_peers.answer(
                        name, headers=b"Sycamoreloft-Attempt: %s\r\n" % name
                    )
                )

    async def scenario(client):
        async with raw_peers.RawUpstream(script) as upstream:
            ended = await asyncio.gather(
                *(
                    fetch(
                        client,
                        upstream,
                        attempt=name,
                        header_lines=[b"X-Attempt: " + name.encode()],
                    )
                    for name in ("a1", "a2")
                )
            )
            for transfer, body in ended:
                assert transfer.failure.kind is KIND.BROKEN
                assert body == b""

    run(scenario)


@pytest.mark.parametrize("length", [-1, 3_000_000])
def test_streams_an_upload_with_a_bounded_buffer(run, length):
    """Guards against a buffer that grows with the upload."""

    async def scenario(client):
        async with raw_peers.RawUpstream(
            make_script(raw_peers.answer())
        ) as upstream:
            upload = _body_streams.UploadBuffer(100_000)
            transfer = client.start(
                build_request(upstream, "POST", upload, length=length)
            )
            largest = 0
            for number in range(100):
                room = upload.feed(bytes([number]) * 30_000)
                largest = max(largest, upload.size)
                if room is not None:
                    await room
                if number % 40 == 0:
                    # Lets the buffer run empty, so that libcurl pauses.
                    await asyncio.sleep(0.02)
            upload.finish()
            await transfer.wait(10)
            assert transfer.failure is None
            assert upstream.requests[0].body == b"".join(
                bytes([number]) * 30_000 for number in range(100)
            )
            assert largest < 130_000

    run(scenario)


def test_broken_upload_ends_the_transfer(run):
    """Guards against a truncated request body that looks complete."""

    async def scenario(client):
        async with raw_peers.RawUpstream(
            make_script(raw_peers.answer())
        ) as upstream:
            upload = _body_streams.UploadBuffer()
            transfer = client.start(build_request(upstream, "POST", upload))
            upload.feed(b"part")
            await asyncio.sleep(0.02)
            upload.fail()
            await transfer.wait(10)
            assert transfer.failure.kind is KIND.UPLOAD
            await raw_peers.wait_until(lambda: upstream.closed == 1)
            assert upstream.requests == []

    run(scenario)


def test_download_waits_for_a_slow_reader(run):
    """Guards against a buffer that grows with the answer."""
    size = 30_000_000

    async def script(_request, writer, _reader):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(30):
            writer.write(b"x" * 1_000_000)
            await writer.drain()
            sent.append(1_000_000)

    sent = []

    async def scenario(client):
        async with raw_peers.RawUpstream(script) as upstream:
            transfer = client.start(build_request(upstream))
            await transfer.wait(1)
            await asyncio.sleep(0.2)
            assert transfer.body.size < 400_000
            assert sum(sent) < size
            total = 0
            while not transfer.ended:
                await transfer.wait(1)
                total += len(transfer.read_available())
            assert total + len(transfer.read_available()) == size
            assert transfer.failure is None

    run(scenario)


def test_handle_of_a_paused_transfer_serves_the_next_one(run):
    """Guards against a handle that stays paused after a cancelled transfer."""

    async def script(request, writer, reader):
        if b"/long" in request.head:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n")
            writer.write(b"x" * 9_000_000)
            assert await reader.read(1) == b""
            return False
        writer.write(raw_peers.answer(b"whole"))
        return True

    async def scenario(client):
        async with raw_peers.RawUpstream(script) as upstream:
            for _ in range(3):
                transfer = client.start(build_request(upstream, target="/long"))
                await transfer.wait(200_000)
                await asyncio.sleep(0.02)
                transfer.cancel()
                transfer, body = await fetch(client, upstream)
                assert (transfer.failure, body) == (None, b"whole")
            assert sum(map(len, client._spare_handles.values())) == 1

    run(scenario)


@pytest.mark.parametrize("headers", [b"", ECHO])
def test_limits_the_connections_to_one_upstream(run, headers):
    """Guards against more connections than an upstream accepts."""

    async def script(_request, writer, _reader):
        open_at_once.append(upstream.connections - upstream.closed)
        await asyncio.sleep(0.01)
        writer.write(raw_peers.answer(headers=headers))

    upstream = None
    open_at_once = []

    async def scenario(client):
        nonlocal upstream
        async with raw_peers.RawUpstream(script) as upstream:
            ended = await asyncio.gather(
                *(fetch(client, upstream) for _ in range(20))
            )
            assert all(transfer.failure is None for transfer, _ in ended)
            assert max(open_at_once) == 3
            assert upstream.connections >= (4 if headers else 20)

    run(scenario, 3)


def test_keeps_no_connection_when_there_are_too_many_hosts(run):
    """Guards against idle connections that use up an upstream's limit."""

    async def scenario(client):
        async with raw_peers.RawUpstream(
            make_script(raw_peers.answer(b"hello", headers=ECHO))
        ) as upstream:
            client.limit_connections(6, keeps_idle=False)
            for _ in range(3):
                transfer, _ = await fetch(client, upstream)
                assert transfer.failure is None
            assert upstream.connections == 3
            client.limit_connections(6, keeps_idle=True)
            for _ in range(3):
                await fetch(client, upstream)
            assert upstream.connections == 4

    run(scenario)


# Guards against a request that is sent though its time to be sent has passed.
def test_a_request_that_may_not_leave_is_withdrawn_unsent(run):
    async def scenario(client):
        script = make_script(raw_peers.answer(b"x"))
        async with raw_peers.RawUpstream(script) as upstream:
            no, _ = await fetch(client, upstream, claim_send=lambda: False)
            assert (no.failure.kind, no.maybe_sent) == (KIND.WITHDRAWN, False)
            assert not upstream.requests

    run(scenario)
