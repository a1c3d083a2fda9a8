"""Bounded buffers between a caller's connection and an upstream's."""

import asyncio
import collections
from collections import abc

#: Buffered bytes of a body at which its producer is paused.
BUFFER_BYTES = 262_144

#: Bytes of a body that are collected before its head is forwarded. A shorter
#: body is forwarded as a whole.
PREFIX_BYTES = 65_536


class UploadBuffer:
    """Carries a request body from the caller's connection to libcurl.

    The caller server feeds the buffer and waits while it is full; libcurl
    reads from it and pauses while it is empty.

    Args:
        limit: Buffered bytes from which on `feed` asks its caller to wait.
    """

    __slots__ = (
        "_chunks",
        "_finished",
        "_limit",
        "_on_change",
        "_room_waiter",
        "_size",
        "broken",
        "bytes_read",
    )

    def __init__(self, limit: int = BUFFER_BYTES) -> None:
        self._limit = limit
        self._chunks: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._finished = False
        self._room_waiter: asyncio.Future[None] | None = None
        self._on_change: abc.Callable[[], None] | None = None
        #: Whether the body is incomplete: the caller stopped before its end, or
        #: it was malformed or dropped.
        self.broken = False
        #: Bytes that libcurl has read. They are not kept, so the body cannot
        #: be sent a second time unless this is 0.
        self.bytes_read = 0

    @property
    def size(self) -> int:
        """Number of buffered bytes."""
        return self._size

    @property
    def is_exhausted(self) -> bool:
        """Whether libcurl has read the whole body."""
        return self._finished and not self._chunks and not self.broken

    def set_on_change(self, on_change: abc.Callable[[], None] | None) -> None:
        """Sets the callback for new bytes, and for the end of the body."""
        self._on_change = on_change

    def feed(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Adds a part of the body.

        Returns:
            None, or a future that completes when the buffer has room again.
        """
        self._chunks.append(chunk)
        self._size += len(chunk)
        self._notify()
        if self._size < self._limit:
            return None
        if self._room_waiter is None or self._room_waiter.done():
            self._room_waiter = asyncio.get_running_loop().create_future()
        return self._room_waiter

    def finish(self) -> None:
        """Marks the end of the body."""
        self._finished = True
        self._notify()

    def fail(self) -> None:
        """Marks the body as broken and drops the buffered bytes."""
        self.broken = True
        self._chunks.clear()
        self._size = 0
        self._wake_producer()
        self._notify()

    def read(self, size: int) -> bytes | None:
        """Removes and returns at most `size` bytes.

        Returns:
            Bytes, empty at the end of the body, or None if the buffer is empty
            and the body has not ended.
        """
        if not self._chunks:
            return b"" if self._finished else None
        chunk = self._chunks.popleft()
        if len(chunk) > size:
            self._chunks.appendleft(chunk[size:])
            chunk = chunk[:size]
        self._size -= len(chunk)
        self.bytes_read += len(chunk)
        if self._size * 2 <= self._limit:
            self._wake_producer()
        return chunk

    def _notify(self) -> None:
        if self._on_change is not None:
            self._on_change()

    def _wake_producer(self) -> None:
        if self._room_waiter is not None and not self._room_waiter.done():
            self._room_waiter.set_result(None)
        self._room_waiter = None


def is_replayable(body: object) -> bool:
    """Returns whether a request body can be sent from its beginning again."""
    return not isinstance(body, UploadBuffer) or (
        body.bytes_read == 0 and not body.broken
    )


class DownloadBuffer:
    """Carries an answer body from libcurl to the caller's connection.

    Args:
        limit: Buffered bytes at which libcurl has to pause.
    """

    __slots__ = ("_chunks", "_limit", "size")

    def __init__(self, limit: int = BUFFER_BYTES) -> None:
        self._limit = limit
        self._chunks: list[bytes] = []
        #: Number of buffered bytes.
        self.size = 0

    def is_full(self) -> bool:
        """Returns whether libcurl has to pause."""
        return self.size >= self._limit

    def add(self, chunk: bytes) -> None:
        """Adds a part of the body."""
        self._chunks.append(chunk)
        self.size += len(chunk)

    def read_all(self) -> bytes:
        """Removes and returns all buffered bytes."""
        chunks = self._chunks
        if not chunks:
            return b""
        self._chunks = []
        self.size = 0
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)
