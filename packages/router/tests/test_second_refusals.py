"""Tests upstreams that write an earlier refusal once more.

The status of such a refusal says that a request did not run. It must never be
taken for the answer to a later request on the connection, which may run.
"""

import asyncio

import pytest
import raw_peers

from sycamoreloft_router import (
    _body_streams,
    _transfer_types,
)

KIND = _transfer_types.FailureKind


def refuse(name, status=b"503 Full", body=b"full"):
    """Builds a refusal; a name of None leaves out the identifier."""
    line = b"Request-Id: %s\r\n" % name if name else b""
    return raw_peers.answer(body, status, line + b"Not-Executed: 1\r\n")


def accept(name):
    return raw_peers.answer(b"own", headers=b"Request-Id: %s\r\n" % name)


class Client:
    """Sends requests with identifiers and returns their transfers."""

    def __init__(self, client, upstream):
        self._client = client
        self._upstream = upstream

    async def send(self, name, method="POST", body=b"", length=-1, **changes):
        transfer = self._client.start(
            _transfer_types.UpstreamRequest(
                self._upstream.address,
                method,
                "/path",
                [b"Expect:", b"Request-Id: " + name],
                body,
                length,
                5.0,
                name.decode(),
                **changes,
            )
        )
        while not transfer.ended:
            await transfer.wait(1 << 20)
        return transfer


def run_client(script, scenario):
    """Runs a scenario with a client that reuses connections."""

    async def main():
        client = raw_peers.create_client()
        try:
            async with (
                asyncio.timeout(20),
                raw_peers.RawUpstream(script) as upstream,
            ):
                await scenario(Client(client, upstream), upstream)
        finally:
            client.close()

    asyncio.run(main())


def is_refused(transfer):
    """Returns whether the answer says that the request did not run."""
    head = transfer.head
    return head.complete and not head.problem and head.status in (421, 503)


def read_name(request):
    return request.get_header("Request-Id").encode()


@pytest.mark.parametrize("status", [b"503 Full", b"421 Misdirected"])
@pytest.mark.parametrize("named", [True, False], ids=["named", "unnamed"])
@pytest.mark.parametrize(
    "start",
    [
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Hints\r\nRequest-Id: a2\r\n\r\n",
        # The head of the own answer breaks off after a complete line.
        b"HTTP/1.1 200 OK\r\nRequest-Id: a2\r\n",
        b"HTTP/1.1 503 Full\r\nRequest-Id: a2\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: a2\r\nContent-Len",
    ],
    ids=["alone", "continue", "hints", "cut-head", "cut-refusal", "cut-line"],
)
def test_an_earlier_refusal_in_flight_is_not_believed(status, named, start):
    """Guards against a refusal that arrives after the next request."""
    earlier = refuse(b"a1", status) if named else refuse(None, status)

    async def script(request, writer, _reader):
        if read_name(request) == b"a1":
            writer.write(refuse(b"a1", status))
        else:
            writer.write(start + earlier)

    async def scenario(client, upstream):
        assert is_refused(await client.send(b"a1"))
        transfer = await client.send(b"a2")
        assert [item.connection for item in upstream.requests] == [0, 0]
        assert not is_refused(transfer)
        assert transfer.failure.kind is KIND.BROKEN
        # The connection is not used again.
        await client.send(b"a3")
        assert upstream.requests[-1].connection == 1

    run_client(script, scenario)


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\n",
    ],
)
def test_a_refusal_inside_another_head_is_not_believed(start):
    """Guards against two heads that are read as one, on a new connection."""

    async def script(_request, writer, _reader):
        writer.write(start + refuse(b"a1"))

    async def scenario(client, _upstream):
        transfer = await client.send(b"a1")
        assert not is_refused(transfer)
        assert transfer.failure.kind is KIND.BROKEN

    run_client(script, scenario)


@pytest.mark.parametrize("method", ["POST", "GET", "HEAD"])
@pytest.mark.parametrize("pause_s", [0, 0.02], ids=["at-once", "later"])
@pytest.mark.parametrize("copies", [1, 3])
@pytest.mark.parametrize("framing", ["length", "chunked", "no-content"])
def test_a_refusal_behind_an_answer_is_not_believed(
    method, pause_s, copies, framing
):
    """Guards against a copy that waits unread when the next request is sent.

    Without a pause it is in the same segment as the answer.
    """

    async def script(request, writer, _reader):
        name = read_name(request)
        answer = accept(name)
        if framing == "chunked":
            answer = (
                b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding:"
                b" chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n" % name
            )
        elif framing == "no-content":
            answer = b"HTTP/1.1 204 Done\r\nRequest-Id: %s\r\n\r\n" % name
        if method == "HEAD":
            answer = answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
        copy = refuse(b"a0") * copies
        if pause_s:
            writer.write(answer)
            await asyncio.sleep(pause_s / 2)
            writer.write(copy)
        else:
            writer.write(answer + copy)

    async def scenario(client, upstream):
        body = b"" if method == "POST" else None
        for number in range(1, 6):
            transfer = await client.send(b"a%d" % number, method, body)
            assert not is_refused(transfer)
            assert transfer.failure is None or (
                transfer.failure.kind is KIND.BROKEN
            )
            await asyncio.sleep(pause_s)
        assert len(upstream.requests) == 5

    run_client(script, scenario)


@pytest.mark.parametrize("named", [True, False], ids=["named", "unnamed"])
def test_an_earlier_refusal_during_an_upload_is_not_believed(named):
    """Guards against a refusal that arrives while the body is being sent."""
    sent = []

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(accept(b"a1"))
        head = await reader.readuntil(b"\r\n\r\n")
        sent.append(head)
        await reader.readexactly(1000)
        writer.write(refuse(b"a0" if named else None))
        await reader.read()
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = raw_peers.create_client()

        class Upstream:
            address = f"{host}:{port}"

        sender = Client(client, Upstream)
        async with asyncio.timeout(20):
            assert (await sender.send(b"a1")).failure is None
            upload = _body_streams.UploadBuffer()
            upload.feed(b"x" * 5000)
            transfer = await sender.send(b"a2", "PUT", upload)
        assert len(sent) == 1
        assert not is_refused(transfer)
        assert transfer.failure.kind is KIND.BROKEN
        client.close()
        server.close()

    asyncio.run(main())


def test_a_refusal_of_the_same_attempt_is_not_read_on_a_new_connection():
    """Guards against a copy of a refusal that answers the second sending."""

    async def script(request, writer, _reader):
        if len(upstreams[0].requests) == 1:
            writer.write(refuse(b"a1"))
        else:
            # Only the connection of the first sending carries the copy.
            if request.connection == 0:
                writer.write(refuse(b"a1"))
            writer.write(accept(b"a1"))

    upstreams = []

    async def scenario(client, upstream):
        upstreams.append(upstream)
        assert is_refused(await client.send(b"a1"))
        transfer = await client.send(b"a1", needs_new_connection=True)
        assert transfer.failure is None and transfer.head.status == 200

    run_client(script, scenario)
