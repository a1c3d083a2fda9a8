"""Minimal fast upstream for benchmarks.

`python -m sycamoreloft_proof._bench_upstream SIZE` prints the listening address
and answers every request with a body of SIZE bytes. The answer repeats the
Sycamoreloft-Attempt header of the request, if any.
"""

import asyncio
import sys

_ATTEMPT = b"\r\nSycamoreloft-Attempt: "


class UpstreamProtocol(asyncio.Protocol):
    """Answers the requests of one connection.

    Args:
        body: Body of every answer, in bytes.
    """

    def __init__(self, body: bytes) -> None:
        self._answer_tail = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        self._data = b""
        self._body_bytes_left = 0
        self._answer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, to which answers are written."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Sends an answer for each request whose body was received in full."""
        if self._body_bytes_left:
            body_bytes_read = min(self._body_bytes_left, len(data))
            self._body_bytes_left -= body_bytes_read
            if self._body_bytes_left:
                return
            self._send_answer()
            data = data[body_bytes_read:]
        self._data += data
        while not self._body_bytes_left and b"\r\n\r\n" in self._data:
            head, _, self._data = self._data.partition(b"\r\n\r\n")
            self._read_head(head)
            body_bytes_read = min(self._body_bytes_left, len(self._data))
            self._body_bytes_left -= body_bytes_read
            self._data = self._data[body_bytes_read:]
            if not self._body_bytes_left:
                self._send_answer()

    def _read_head(self, head: bytes) -> None:
        attempt = b""
        if _ATTEMPT in head:
            value = head.split(_ATTEMPT, 1)[1].split(b"\r\n", 1)[0]
            attempt = b"%b%b" % (_ATTEMPT, value)
        self._answer = b"HTTP/1.1 200 OK%b\r\n%b" % (attempt, self._answer_tail)
        lower = head.lower()
        if b"content-length:" in lower:
            value = lower.split(b"content-length:", 1)[1]
            self._body_bytes_left = int(value.split(b"\r\n", 1)[0])

    def _send_answer(self) -> None:
        if self._transport is not None:
            self._transport.write(self._answer)


async def main(size: int) -> None:
    """Prints the listening address and serves until the process ends.

    Args:
        size: Body size of every answer, in bytes.
    """
    body = b"x" * size
    server = await asyncio.get_running_loop().create_server(
        lambda: UpstreamProtocol(body), "127.0.0.1", 0, backlog=1024
    )
    print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
