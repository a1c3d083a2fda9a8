"""Tests of the request path: outcomes, retries, and lost upstreams."""

import asyncio
import socket

import fake_sources
import pytest
import raw_peers

build_head = fake_sources.build_head
outcomes = fake_sources.list_outcomes
WAGER = fake_sources.WAGER


@pytest.fixture
def closed_address():
    """An address that refuses connections, and that nobody else can take."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        host, port = unused.getsockname()
        yield f"{host}:{port}"


def test_refused_permit_is_did_not_run(serve):
    """Guards against work that is sent without a permit."""

    async def scenario(harness, upstream):
        harness.sources.refusals = [("quarantined", 1_500)] * 5
        answer = await harness.send()
        assert (answer.outcome, answer.reason) == (
            "did-not-run",
            "quarantined",
        )
        assert answer.get_header("Retry-After") == "2"
        assert upstream.requests == []
        assert harness.sources.returned == []

    serve(scenario)


def test_no_connection_is_did_not_run(serve, closed_address):
    """Guards against the outcome `unknown` if nothing was sent."""

    async def scenario(harness, upstream):
        harness.sources.address = closed_address
        answer = await harness.send(WAGER, b"1")
        assert answer.outcome == "did-not-run"
        returned = harness.sources.returned[0]
        assert returned.outcome == "did-not-run"
        assert returned.connection_lost
        assert {item.outcome for item in harness.sources.reported_results} == {
            "did-not-run"
        }

    serve(scenario)


def test_expired_permit_is_not_used(serve):
    """Guards against a send after the slot was given to another request."""

    async def scenario(harness, upstream):
        harness.sources.valid_ms = 0
        answer = await harness.send(WAGER, b"1")
        assert answer.outcome == "did-not-run"
        assert upstream.requests == []
        assert not harness.sources.returned[0].connection_lost

    serve(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ],
)
def test_broken_small_answer_is_unknown_and_sent_once(serve, data):
    """Guards against a truncated answer that looks complete, and a retry."""

    async def script(request, writer, _reader):
        writer.write(data)
        await writer.drain()
        return False

    async def scenario(harness, upstream):
        answer = await harness.send(WAGER, b"1")
        assert answer.status >= 500
        assert answer.outcome == "unknown"
        assert len(upstream.requests) == 1
        assert outcomes(harness) == ["unknown"]
        assert harness.sources.reported_results[0].outcome == "unknown"

    serve(scenario, script)


@pytest.mark.parametrize("chunked", [False, True])
def test_broken_long_answer_is_cut_without_the_last_chunk(serve, chunked):
    """Guards against a long truncated answer that looks complete."""

    async def script(request, writer, _reader):
        part = b"x" * 200_000
        if chunked:
            head = b"Transfer-Encoding: chunked"
            part = b"%x\r\n%b\r\n" % (len(part), part)
        else:
            head = b"Content-Length: 300000"
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (head, part))
        await writer.drain()
        await asyncio.sleep(0.05)
        return False

    async def scenario(harness, upstream):
        caller = await harness.connect()
        with pytest.raises(asyncio.IncompleteReadError):
            await caller.send(build_head())
        assert await caller.reader.read() == b""
        assert len(upstream.requests) == 1
        await raw_peers.wait_until(lambda: outcomes(harness) == ["unknown"])

    serve(scenario, script)


def test_repeatable_operation_is_tried_again(serve):
    """Guards against errors that a safe retry would have avoided."""

    async def script(request, writer, _reader):
        if number.pop():
            return False
        writer.write(raw_peers.answer(b"second"))
        return True

    number = [False, True]

    async def scenario(harness, upstream):
        answer = await harness.send()
        assert (answer.status, answer.body) == (200, b"second")
        assert outcomes(harness) == ["unknown", "completed"]
        attempts = {
            one.get_header("Sycamoreloft-Attempt") for one in upstream.requests
        }
        assert len(attempts) == 2

    serve(scenario, script)


@pytest.mark.parametrize("status", [b"421 Misdirected", b"503 Busy"])
def test_refusal_by_contract_is_tried_again(serve, status):
    """Guards against unknown outcomes of requests that were refused."""

    async def script(request, writer, _reader):
        if len(seen) < 1:
            seen.append(request)
            writer.write(
                raw_peers.answer(
                    b"", status, b"Sycamoreloft-Refused: not-owner\r\n"
                )
            )
        else:
            writer.write(raw_peers.answer(b"ran"))

    seen = []

    async def scenario(harness, upstream):
        answer = await harness.send(WAGER, b"1")
        assert answer.body == b"ran"
        assert outcomes(harness) == ["did-not-run", "completed"]
        assert [item.refused for item in harness.sources.returned] == [
            True,
            False,
        ]
        # Each attempt claims the request id again.
        assert [item.outcome for item in harness.sources.reported_results] == [
            "did-not-run",
            "completed",
        ]

    serve(scenario, script)


@pytest.mark.parametrize(
    "data",
    [
        b"Content-Length: 300000\r\n\r\n" + b"x" * 300_000,
        b"Content-Length: 10\r\n\r\nx",
    ],
)
def test_long_or_broken_refusal_is_not_passed_on(serve, data):
    """Guards against a refusal that is handled as an answer or a failure."""

    async def script(request, writer, _reader):
        if len(seen) == 2:
            writer.write(raw_peers.answer(b"ran"))
            return True
        seen.append(request)
        head = b"HTTP/1.1 503 Busy\r\nSycamoreloft-Refused: draining\r\n"
        writer.write(head + data)
        await writer.drain()
        return False

    seen = []

    async def scenario(harness, upstream):
        answer = await harness.send(WAGER, b"1")
        assert answer.body == b"ran"
        assert outcomes(harness) == ["did-not-run"] * 2 + ["completed"]

    serve(scenario, script)


def test_503_without_the_contract_header_completed(serve):
    """Guards against retries of errors of the application itself."""
    script = raw_peers.echo(b"busy", b"503 Busy")

    async def scenario(harness, upstream):
        answer = await harness.send(WAGER, b"1")
        assert (answer.status, answer.outcome) == (503, "completed")
        assert len(upstream.requests) == 1

    serve(scenario, script)


def test_late_answer_is_unknown_and_reaches_nobody_else(serve):
    """Guards against a late answer that reaches another request."""

    async def script(request, writer, _reader):
        if b"/slow" in request.head:
            await asyncio.sleep(0.2)
            writer.write(raw_peers.answer(b"late"))
        else:
            writer.write(raw_peers.answer(b"own"))

    async def scenario(harness, upstream):
        caller = await harness.connect()
        head = build_head(
            "POST", "/slow", Sycamoreloft_Deadline_Ms="60", Content_Length="0"
        )
        answer = await caller.send(head)
        assert (answer.status, answer.outcome) == (504, "unknown")
        for _ in range(5):
            assert (await caller.send(build_head())).body == b"own"
            await asyncio.sleep(0.05)
        assert outcomes(harness) == ["unknown"] + ["completed"] * 5

    serve(scenario, script)


def test_deadline_before_the_permit_is_did_not_run(serve):
    """Guards against waiting for a permit beyond the deadline."""

    async def scenario(harness, upstream):
        harness.sources.delay_s = 30
        answer = await harness.send(build_head(Sycamoreloft_Deadline_Ms="50"))
        assert (answer.status, answer.outcome) == (504, "did-not-run")
        assert upstream.requests == []

    serve(scenario)


def test_doubled_and_swapped_answers_reach_only_their_own_callers(serve):
    """Guards against answers of an upstream that mixes up its connections.

    It answers each of the concurrent requests twice on all its connections,
    with the identifier of the attempt.
    """
    writers = []

    async def script(request, writer, _reader):
        writers.append(writer)
        attempt = request.get_header("Sycamoreloft-Attempt").encode()
        target = request.head.split(b" ")[1]
        data = raw_peers.answer(
            target, headers=b"Sycamoreloft-Attempt: %b\r\n" % attempt
        )
        for other in list(writers):
            other.write(data + data)

    async def scenario(harness, upstream):
        async def send(number):
            caller = await harness.connect()
            for round_number in range(10):
                target = f"/{number}-{round_number}"
                answer = await caller.send(build_head("DELETE", target=target))
                if answer.outcome == "completed":
                    assert answer.body == target.encode()
                else:
                    assert answer.outcome == "unknown"

        await asyncio.gather(*(send(number) for number in range(4)))
        assert len(upstream.requests) == 40

    serve(scenario, script)


def test_stale_generation_is_refreshed_and_resolved_again(serve):
    """Guards against requests under names that are no longer in force."""

    async def scenario(harness, upstream):
        harness.sources.refusals = [("stale-generation", 0)]
        harness.sources.next_generation = fake_sources.build_generation(2)
        assert (await harness.send()).status == 200
        assert [item.generation for item in harness.sources.requested] == [1, 2]
        harness.sources.refusals = [("stale-generation", 0)]
        harness.sources.next_generation = fake_sources.build_generation(
            3, ("ledger",)
        )
        answer = await harness.send()
        assert (answer.reason, answer.outcome) == (
            "unknown-service",
            "did-not-run",
        )

    serve(scenario)


def test_unkeyed_request_spills_over_to_another_domain(serve):
    """Guards against a refusal while another domain has free slots."""

    async def scenario(harness, upstream):
        harness.sources.refusals = [("overloaded", 0)]
        answer = await harness.send(build_head(service="ledger"))
        assert answer.status == 200
        assert [item.group for item in harness.sources.requested] == [
            "sledworks/north/0",
            "sledworks/south/0",
        ]
        assert [item.partition for item in harness.sources.requested] == [
            -1,
            -1,
        ]
        assert upstream.requests[0].get_header("Sycamoreloft-Key") is None

    serve(scenario)


def test_fingerprints_differ_with_the_body(serve):
    """Guards against quarantine of requests that only look alike."""

    async def scenario(harness, upstream):
        for body in (b"a", b"b", b"a"):
            head = build_head("PUT", Content_Length="1")
            await harness.send(head, body)
        first, second, third = (
            item.fingerprint for item in harness.sources.requested
        )
        assert first == third != second
        assert len(first) == 16

    serve(scenario)


def test_streamed_body_is_not_sent_twice(serve):
    """Guards against a retry with the rest of a partly sent body."""

    async def script(request, writer, _reader):
        return False

    async def scenario(harness, upstream):
        caller = await harness.connect()
        answer = await caller.send(
            build_head("PUT", Content_Length="200000"), b"x" * 200_000
        )
        assert answer.outcome == "unknown"
        assert len(upstream.requests) == 1

    serve(scenario, script)


def test_streamed_body_is_sent_whole_after_a_refused_connection(
    serve, closed_address
):
    """Guards against a shortened body when an attempt never connected."""
    body = bytes(range(256)) * 4_000

    async def scenario(harness, upstream):
        harness.sources.addresses = [closed_address]
        caller = await harness.connect()
        head = build_head("PUT", Content_Length=str(len(body)))
        assert (await caller.send(head, body)).status == 200
        assert upstream.requests[0].body == body

    serve(scenario)


async def never_answer(request, writer, reader):
    """Sends no answer, like a frozen upstream."""
    await reader.read(1)
    return False


async def request_and_lose_upstream(harness, frozen, head, body=b""):
    """Sends a request and reports its upstream as lost after it arrived."""
    pending_answer = asyncio.ensure_future(harness.send(head, body))
    await raw_peers.wait_until(lambda: frozen.requests)
    harness.sources.lose_upstream()
    return await pending_answer


def test_repeatable_request_leaves_a_lost_upstream(serve):
    """Guards against a wait for a frozen upstream until the deadline."""

    async def scenario(harness, upstream):
        async with raw_peers.RawUpstream(never_answer) as frozen:
            harness.sources.addresses = [frozen.address]
            answer = await request_and_lose_upstream(
                harness, frozen, build_head()
            )
            assert answer.outcome == "completed"
            assert outcomes(harness) == ["unknown", "completed"]
            assert harness.sources.returned[0].connection_lost
            await raw_peers.wait_until(lambda: frozen.closed == 1)

    serve(scenario)


@pytest.mark.parametrize(
    ("head", "body"), [(WAGER, b"1"), (build_head("DELETE"), b"")]
)
def test_other_request_on_a_lost_upstream_is_unknown(serve, head, body):
    """Guards against a retry of a request that must not be repeated."""

    async def scenario(harness, upstream):
        async with raw_peers.RawUpstream(never_answer) as frozen:
            harness.sources.addresses = [frozen.address]
            answer = await request_and_lose_upstream(
                harness, frozen, head, body
            )
            assert answer.outcome == "unknown"
            assert outcomes(harness) == ["unknown"]
            assert len(frozen.requests) == 1
            assert upstream.requests == []
            reported_results = [
                item.outcome for item in harness.sources.reported_results
            ]
            assert reported_results == (["unknown"] if body else [])

    serve(scenario)


def test_lost_upstream_gets_nothing_after_the_claim(serve):
    """Guards against a send to an upstream that was lost during the claim."""

    async def scenario(harness, upstream):
        claim = asyncio.Event()
        request_claim = harness.sources.request_claim

        async def request_claim_late(request):
            await claim.wait()
            return await request_claim(request)

        harness.sources.request_claim = request_claim_late
        pending_answer = asyncio.ensure_future(harness.send(WAGER, b"1"))
        await raw_peers.wait_until(lambda: harness.sources.loss_callbacks)
        harness.sources.lose_upstream()
        claim.set()
        assert (await pending_answer).outcome == "completed"
        assert outcomes(harness) == ["did-not-run", "completed"]
        assert len(upstream.requests) == 1

    serve(scenario)


def test_streamed_answer_of_a_lost_upstream_is_cut(serve):
    """Guards against a caller that waits for the rest of an answer."""

    async def stall(request, writer, reader):
        attempt = request.get_header("Sycamoreloft-Attempt").encode()
        line = b"Sycamoreloft-Attempt: %s\r\n" % attempt
        writer.write(raw_peers.answer(b"x" * 200_000, headers=line)[:-1])
        await reader.read(1)
        return False

    async def scenario(harness, upstream):
        pending_answer = asyncio.ensure_future(harness.send())
        await raw_peers.wait_until(lambda: harness.sources.loss_callbacks)
        await raw_peers.wait_until(lambda: upstream.requests)
        await asyncio.sleep(0.1)
        harness.sources.lose_upstream()
        with pytest.raises(asyncio.IncompleteReadError):
            await pending_answer
        assert outcomes(harness) == ["unknown"]

    serve(scenario, stall)
