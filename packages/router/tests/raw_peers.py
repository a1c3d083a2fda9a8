"""Raw TCP upstreams for tests of the HTTP clients and servers."""

import asyncio
import contextlib
import dataclasses

from sycamoreloft_router import (
    _answer_heads,
    _connection_rules,
    _upstream_client,
)


@dataclasses.dataclass(slots=True)
class RawMessage:
    """A request or an answer, as received by a raw peer."""

    #: Request or status line, and headers.
    head: bytes
    #: Body, with the chunks joined.
    body: bytes
    #: Number of the upstream's connection, from 0; 0 for answers.
    connection: int

    @property
    def status(self):
        """Status code of an answer."""
        return int(self.head.split(b" ")[1])

    def get_header(self, name):
        """Returns the value of a header, or None if there is none."""
        for line in self.head.decode("latin1").split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return None

    @property
    def outcome(self):
        """Value of Sycamoreloft-Outcome."""
        return self.get_header("Sycamoreloft-Outcome")

    @property
    def reason(self):
        """Value of Sycamoreloft-Reason."""
        return self.get_header("Sycamoreloft-Reason")


async def read_message(reader, connection=0, has_body=True):
    """Reads one request or answer.

    Raises:
        IncompleteReadError: The peer closed the connection before the end.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lower = head.lower()
    body = b""
    if not has_body:
        return RawMessage(head, body, connection)
    if b"transfer-encoding: chunked" in lower:
        size, parts = -1, []
        while size:
            size = int(await reader.readuntil(b"\r\n"), 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
        body = b"".join(parts)
    elif b"content-length:" in lower:
        value = lower.split(b"content-length:")[1].split(b"\r\n")[0]
        body = await reader.readexactly(int(value))
    return RawMessage(head, body, connection)


class RawUpstream:
    """A TCP server that runs a script for each request.

    Args:
        script: Coroutine function that gets the request, the writer and the
            reader, and writes the bytes that the test needs. It returns False
            to close the connection.
    """

    def __init__(self, script):
        self.requests = []
        self.connections = 0
        self.closed = 0
        self._script = script
        self._server = None
        self.address = ""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        number = self.connections
        self.connections += 1
        # Closes the writer also if the task is cancelled at the end of a test:
        # one that is collected after its event loop was closed raises.
        with contextlib.closing(writer):
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                while True:
                    request = await read_message(reader, number)
                    self.requests.append(request)
                    if await self._script(request, writer, reader) is False:
                        break
            self.closed += 1


def answer(body=b"ok", status=b"200 OK", headers=b""):
    """Builds an answer with a Content-Length."""
    return (
        b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s"
        % (status, len(body), headers, body)
    )  # fmt: skip


def echo(body=b"ok", status=b"200 OK", headers=b""):
    """Returns a script whose answers repeat the identifier of the attempt."""

    async def script(request, writer, _reader):
        attempt = request.get_header("Sycamoreloft-Attempt").encode()
        line = b"Sycamoreloft-Attempt: %s\r\n" % attempt
        writer.write(answer(body, status, line + headers))
        await writer.drain()

    return script


async def wait_until(condition, seconds=5.0):
    """Waits for a condition; raises TimeoutError if it stays false."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.002)


def advance_clock(seconds):
    """Moves the clock of the running event loop, so that timers are due."""
    loop = asyncio.get_running_loop()
    read_clock = loop.time
    loop.time = lambda: read_clock() + seconds


def create_client():
    """Creates a client that reuses connections of upstreams that echo."""
    return _upstream_client.UpstreamClient(
        force_instance=True,
        rules=_connection_rules.ConnectionRules(
            _answer_heads.AnswerRules(b"request-id", True),
            assumes_echo=True,
            resets_on_close=True,
        ),
    )
