"""Requests that are withdrawn right before they would be sent."""

import raw_peers

from sycamoreloft_router import _transfer_types


async def answer(_request, writer, _reader):
    writer.write(raw_peers.answer(b"hello"))
    await writer.drain()
    return True


async def fetch(client, address, claim_send):
    """Runs a transfer to its end."""
    transfer = client.start(
        _transfer_types.UpstreamRequest(
            address,
            "GET",
            "/",
            [b"Accept:"],
            None,
            -1,
            5.0,
            "a1",
            claim_send=claim_send,
        )
    )
    await transfer.wait(5)
    return transfer


# Guards against a request that is sent after it lost its send time while it
# waited for a connection.
def test_a_request_that_may_not_leave_is_withdrawn_unsent(run):
    async def scenario(client):
        async with raw_peers.RawUpstream(answer) as upstream:
            claims = [True, False]
            refused = await fetch(client, upstream.address, claims.pop)
            sent = await fetch(client, upstream.address, claims.pop)
            kind = _transfer_types.FailureKind.WITHDRAWN
            assert refused.failure.kind is kind
            assert not refused.maybe_sent
            assert sent.failure is None
            assert len(upstream.requests) == 1

    run(scenario)
