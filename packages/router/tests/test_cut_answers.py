"""Tests answers that end early, at each of their bytes."""

import asyncio
import socket
import struct

import pytest
import raw_peers

from sycamoreloft_router import (
    _body_streams,
    _transfer_types,
)

KIND = _transfer_types.FailureKind
ECHO = b"Request-Id: a1\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + ECHO + b"Response-Signature: 3e1b.07\r\n"

#: Answers as their head and their body.
ANSWERS = {
    "length": (HEAD + b"Content-Length: 15\r\n\r\n", b"x" * 15),
    "chunked": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"c\r\n" + b"y" * 12 + b"\r\n3\r\nabc\r\n0\r\n\r\n",
    ),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"2;x=1\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n",
    ),
    "until-close": (HEAD + b"Connection: close\r\n\r\n", b"body"),
    "interim": (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + HEAD + b"Content-Length: 2"
        b"\r\n\r\n",
        b"ok",
    ),
    "bare-newlines": (
        (HEAD + b"Content-Length: 2\r\n\r\n").replace(b"\r\n", b"\n"),
        b"ok",
    ),
    "no-content": (b"HTTP/1.1 204 No Content\r\n" + ECHO + b"\r\n", b""),
}


class CuttingUpstream:
    """Sends the start of an answer, then closes or resets the connection."""

    def __init__(self, resets, warms_up):
        self._resets = resets
        self._warms_up = warms_up
        self.data = b""

    async def __call__(self, request, writer, _reader):
        if b"/first" in request.head:
            writer.write(raw_peers.answer(headers=ECHO))
            return True
        writer.write(self.data)
        await writer.drain()
        if self._resets:
            # Delivers the bytes before the reset drops them.
            await asyncio.sleep(0.002)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        return False

    async def fetch_cut(self, upstream, method, data):
        """Requests an answer that is cut after some bytes.

        A client of its own is used, so that no connection remains of an
        earlier answer.
        """
        self.data = data
        address = upstream.address
        client = raw_peers.create_client()
        try:
            if self._warms_up:
                first, _ = await fetch(client, address, "GET", "/first")
                assert first.failure is None
            transfer, body = await fetch(client, address, method, "/cut")
            if self._warms_up:
                first, second = upstream.requests[-2:]
                assert first.connection == second.connection
            return transfer, body
        finally:
            client.close()


async def fetch(client, address, method, target):
    """Runs a transfer to its end; returns it and the body of its answer."""
    upload = None
    if method == "PUT":
        upload = _body_streams.UploadBuffer()
        upload.feed(b"film")
        upload.finish()
    transfer = client.start(
        _transfer_types.UpstreamRequest(
            address,
            method,
            target,
            [b"Expect:"],
            b"form" if method == "POST" else upload,
            -1,
            5.0,
            "a1",
        )
    )
    body = b""
    while not transfer.ended:
        await transfer.wait(1)
        body += transfer.read_available()
    return transfer, body + transfer.read_available()


def may_be_whole(name, method, cut, resets):
    """Returns whether the answer may count as complete after some bytes."""
    head, body = ANSWERS[name]
    if cut == len(head) + len(body):
        return name != "until-close" or not resets or method == "HEAD"
    if cut < len(head):
        return False
    # The end of such a body cannot be told from a cut.
    return method == "HEAD" or (name == "until-close" and not resets)


@pytest.mark.parametrize("name", list(ANSWERS))
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST", "PUT"])
@pytest.mark.parametrize("warms_up", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
def test_an_answer_that_is_cut_at_any_byte_is_not_complete(
    name, method, warms_up, resets
):
    """Guards against a cut head or body that is passed on as a whole answer."""

    async def main():
        data = b"".join(ANSWERS[name])
        script = CuttingUpstream(resets, warms_up)
        async with raw_peers.RawUpstream(script) as upstream:
            for cut in range(len(data) + 1):
                transfer, _ = await script.fetch_cut(
                    upstream, method, data[:cut]
                )
                if transfer.failure is None:
                    assert may_be_whole(name, method, cut, resets), data[:cut]
                else:
                    assert transfer.failure.kind is KIND.BROKEN
                    assert resets or not may_be_whole(name, method, cut, resets)

    asyncio.run(main())
