"""Tests the limits on callers at the caller server."""

import fake_sources
import pytest
import raw_peers

import sycamoreloft_load
from sycamoreloft_router import _caller_server

build_head = fake_sources.build_head


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_a_long_body_without_room_is_refused_and_did_not_run(serve, is_chunked):
    """Guards against a refusal after the request was sent on."""
    body = b"x" * 200_000
    head = build_head("PUT", Content_Length=str(len(body)))
    if is_chunked:
        head = build_head("PUT", Transfer_Encoding="chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)

    async def scenario(harness, upstream):
        answer = await harness.send(head, body)
        assert (answer.status, answer.reason) == (503, "host-memory-full")
        assert answer.outcome == "did-not-run"
        assert harness.sources.requested == upstream.requests == []
        assert (await harness.send()).status == 200
        ledger = harness.server._guard._ledger
        await raw_peers.wait_until(lambda: ledger.held_bytes == 0)

    quotas = sycamoreloft_load.CallerQuotas(
        held_bytes=900_000, held_bytes_per_caller=900_000
    )
    serve(scenario, limits=_caller_server.CallerLimits(quotas=quotas))


@pytest.mark.parametrize(
    ("limits", "reason"),
    [
        (
            _caller_server.CallerLimits(idle_connection_s=0.1),
            "stalled-reader",
        ),
        (
            _caller_server.CallerLimits(
                quotas=sycamoreloft_load.CallerQuotas(
                    held_bytes=900_000, held_bytes_per_caller=900_000
                )
            ),
            "held-bytes",
        ),
    ],
    ids=["stalled", "full"],
)
def test_a_connection_whose_answer_is_not_read_is_closed(
    serve, monkeypatch, limits, reason
):
    """Guards against answers that wait for ever for their callers."""
    monkeypatch.setattr(_caller_server, "SWEEP_INTERVAL_S", 0.02)

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.transport.pause_reading()
        caller.writer.write(build_head())
        ledger = harness.server._guard._ledger
        await raw_peers.wait_until(
            lambda: harness.metrics.read(
                "sycamoreloft_caller_limits_total", reason
            )
        )
        await raw_peers.wait_until(lambda: ledger.connection_count == 0)
        assert ledger.held_bytes == 0

    serve(scenario, raw_peers.echo(b"x" * 20_000_000), limits)
