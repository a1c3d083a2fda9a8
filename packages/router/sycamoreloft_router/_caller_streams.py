"""Streams of callers, which also answer a request head that is too long."""

import asyncio
import contextlib
import select
import socket
import typing

from tornado import iostream

from sycamoreloft_router import _answers

#: Maximum time, in seconds, and number of bytes for which a refused connection
#: is read before it is closed. Closing it with unread bytes resets it, and the
#: caller might lose the answer.
LINGER_S = 1.0
LINGER_BYTES = 1 << 20

#: Maximum number of bytes per read of a refused connection.
_CHUNK_BYTES = 65_536


class CallerStream(iostream.IOStream):
    """A stream that answers a too long head before tornado closes it.

    If a head exceeds the limit, tornado closes the stream, and nothing can be
    written to it any more. The answer is therefore sent on a duplicate of the
    descriptor.
    """

    _refusal_task: asyncio.Task[None] | None = None

    #: Time of the latest read, in seconds on the clock of the event loop.
    received_at = 0.0

    def __init__(
        self, connection: socket.socket, *arguments: int, **options: int
    ) -> None:
        super().__init__(connection, *arguments, **options)
        # Each call of get_running_loop costs a system call on Python 3.11.
        self._loop = asyncio.get_running_loop()
        self._has_nodelay = False

    def set_nodelay(self, value: bool) -> None:
        """Sets TCP_NODELAY once and ignores all later calls.

        tornado sets the option at the end of each answer and clears it again,
        at a system call each. Answers are written in large parts, so the
        option can stay set.
        """
        if value and not self._has_nodelay:
            self._has_nodelay = True
            super().set_nodelay(True)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads available bytes; see the base class."""
        size = super().read_from_fd(buf)
        if size:
            self.received_at = self._loop.time()
        return size

    def has_unread(self) -> bool:
        """Returns whether the socket has unread bytes."""
        if self.closed():
            return False
        try:
            return self.socket.recv(1, socket.MSG_PEEK) != b""
        except OSError:
            return False

    def has_peer_closed(self) -> bool:
        """Returns whether the caller has closed its side of the connection.

        The event loop of a busy host handles a close long after it arrived, so
        this asks the operating system.
        """
        if self.closed():
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def close(self, exc_info: typing.Any = False) -> None:
        """Closes the stream; see the base class."""
        if (
            isinstance(exc_info, iostream.UnsatisfiableReadError)
            and not self.closed()
        ):
            duplicate = self.socket.dup()
            duplicate.setblocking(False)
            self._refusal_task = self._loop.create_task(_refuse(duplicate))
        super().close(exc_info)


async def linger(stream: iostream.IOStream) -> None:
    """Discards input for a while, so that the caller receives the answer."""
    size = 0
    with contextlib.suppress(iostream.StreamClosedError, TimeoutError):
        async with asyncio.timeout(LINGER_S):
            while size < LINGER_BYTES:
                size += len(await stream.read_bytes(_CHUNK_BYTES, partial=True))


async def _refuse(connection: socket.socket) -> None:
    """Sends a refusal, discards input for a while, and then closes."""
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
