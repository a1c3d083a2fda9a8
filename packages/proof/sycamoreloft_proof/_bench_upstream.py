"""A fast upstream for the benchmark: `python -m ..._bench_upstream SIZE`.

Prints its address. Answers every request with SIZE bytes, and repeats
Sycamoreloft-Attempt if the request has it.
"""

import asyncio
import sys

_ATTEMPT = b"\r\nSycamoreloft-Attempt: "


class UpstreamProtocol(asyncio.Protocol):
    """Answers the requests of one connection.

    Args:
        body: Body of every answer.
    """

    def __init__(self, body: bytes) -> None:
        self._tail = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        self._data = b""
        self._left = 0
        self._answer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers each request whose body is complete."""
        if self._left:
            taken = min(self._left, len(data))
            self._left -= taken
            if self._left:
                return
            self._send()
            data = data[taken:]
        self._data += data
        while not self._left and b"\r\n\r\n" in self._data:
            head, _, self._data = self._data.partition(b"\r\n\r\n")
            self._start(head)
            taken = min(self._left, len(self._data))
            self._left -= taken
            self._data = self._data[taken:]
            if not self._left:
                self._send()

    def _start(self, head: bytes) -> None:
        attempt = b""
        if _ATTEMPT in head:
            value = head.split(_ATTEMPT, 1)[1].split(b"\r\n", 1)[0]
            attempt = b"%b%b" % (_ATTEMPT, value)
        self._answer = b"HTTP/1.1 200 OK%b\r\n%b" % (attempt, self._tail)
        lower = head.lower()
        if b"content-length:" in lower:
            value = lower.split(b"content-length:", 1)[1]
            self._left = int(value.split(b"\r\n", 1)[0])

    def _send(self) -> None:
        if self._transport is not None:
            self._transport.write(self._answer)


async def main(size: int) -> None:
    """Serves until the process is ended."""
    body = b"x" * size
    server = await asyncio.get_running_loop().create_server(
        lambda: UpstreamProtocol(body), "127.0.0.1", 0, backlog=1024
    )
    print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
