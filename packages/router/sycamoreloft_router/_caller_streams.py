"""Streams of callers that get an answer to a head without an end."""

import asyncio
import contextlib
import socket
import typing

from tornado import iostream

from sycamoreloft_router import _answers

#: Seconds for which a refused connection is read on, and bytes that are read
#: at most: closing it while bytes wait unread resets it, and the caller might
#: lose the answer.
LINGER_S = 1.0
LINGER_BYTES = 1 << 20

#: Bytes that are read at once while the connection lingers.
_CHUNK_BYTES = 65_536


class CallerStream(iostream.IOStream):
    """A stream that answers before tornado closes it for a long head.

    tornado closes a stream that finds no end of the head within the limit,
    so that nothing can be written to it any more. The answer goes out on a
    second descriptor of the connection.
    """

    _farewell: asyncio.Task[None] | None = None

    #: When bytes were read last, on the clock of the event loop.
    received_at = 0.0

    def __init__(
        self, connection: socket.socket, *arguments: int, **options: int
    ) -> None:
        super().__init__(connection, *arguments, **options)
        # Each call of get_running_loop costs a system call on Python 3.11.
        self._loop = asyncio.get_running_loop()
        self._sends_at_once = False

    def set_nodelay(self, value: bool) -> None:
        """Lets the system send without delay, from the first time on.

        tornado sets the option at the end of each answer and takes it back;
        answers are written in large parts, so that it can stay.
        """
        if value and not self._sends_at_once:
            self._sends_at_once = True
            super().set_nodelay(True)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads what is there; see the base class."""
        size = super().read_from_fd(buf)
        if size:
            self.received_at = self._loop.time()
        return size

    def has_unread(self) -> bool:
        """Tells whether bytes wait in the socket."""
        if self.closed():
            return False
        try:
            return self.socket.recv(1, socket.MSG_PEEK) != b""
        except OSError:
            return False

    def close(self, exc_info: typing.Any = False) -> None:
        """Closes the stream; see the base class."""
        if (
            isinstance(exc_info, iostream.UnsatisfiableReadError)
            and not self.closed()
        ):
            second = self.socket.dup()
            second.setblocking(False)
            self._farewell = self._loop.create_task(_refuse(second))
        super().close(exc_info)


async def linger(stream: iostream.IOStream) -> None:
    """Reads on for a while, so that the caller gets what was written."""
    size = 0
    with contextlib.suppress(iostream.StreamClosedError, TimeoutError):
        async with asyncio.timeout(LINGER_S):
            while size < LINGER_BYTES:
                size += len(await stream.read_bytes(_CHUNK_BYTES, partial=True))


async def _refuse(connection: socket.socket) -> None:
    """Answers on a connection, reads on for a while, and closes it."""
    refusal = _answers.Refusal(
        431,
        "long-headers",
        "the request line and headers have no end within the limit",
        "send fewer or shorter headers",
    )
    loop = asyncio.get_running_loop()
    size = 0
    with connection, contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(LINGER_S):
            await loop.sock_sendall(connection, refusal.encode(False))
            connection.shutdown(socket.SHUT_WR)
            while size < LINGER_BYTES:
                chunk = await loop.sock_recv(connection, _CHUNK_BYTES)
                if not chunk:
                    return
                size += len(chunk)
