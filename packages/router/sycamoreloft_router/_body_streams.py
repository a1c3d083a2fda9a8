"""Bounded buffers between a caller's connection and an upstream's."""

import asyncio
import collections
from collections import abc

#: Bytes at which the producer of a body is paused.
BUFFER_BYTES = 262_144

#: Bytes of an answer that are collected before its headers are sent on, and
#: of a request before it is forwarded.
PREFIX_BYTES = 65_536


class UploadBuffer:
    """Carries a request body from the caller's connection to libcurl.

    The caller server feeds it and waits while it is full; libcurl takes
    from it and pauses while it is empty.
    """

    __slots__ = (
        "_chunks",
        "_finished",
        "_limit",
        "_on_change",
        "_room",
        "_size",
        "broken",
        "bytes_read",
    )

    def __init__(self, limit: int = BUFFER_BYTES) -> None:
        self._limit = limit
        self._chunks: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._finished = False
        self._room: asyncio.Future[None] | None = None
        self._on_change: abc.Callable[[], None] | None = None
        #: Whether the caller stopped before the end of the body.
        self.broken = False
        #: Bytes that libcurl has taken; a body that was touched cannot be
        #: sent a second time.
        self.bytes_read = 0

    @property
    def size(self) -> int:
        """Bytes held."""
        return self._size

    def set_on_change(self, on_change: abc.Callable[[], None] | None) -> None:
        """Sets what is called when bytes arrive or the body ends."""
        self._on_change = on_change

    def feed(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Adds a part of the body.

        Returns:
            None, or a future that is done when there is room again.
        """
        self._chunks.append(chunk)
        self._size += len(chunk)
        self._notify()
        if self._size < self._limit:
            return None
        if self._room is None or self._room.done():
            self._room = asyncio.get_running_loop().create_future()
        return self._room

    def finish(self) -> None:
        """Marks the end of the body."""
        self._finished = True
        self._notify()

    def fail(self) -> None:
        """Marks the body as broken and drops what is held."""
        self.broken = True
        self._chunks.clear()
        self._size = 0
        self._release()
        self._notify()

    def read(self, size: int) -> bytes | None:
        """Takes at most `size` bytes.

        Returns:
            Bytes, empty at the end of the body, or None if none are there.
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
            self._release()
        return chunk

    def _notify(self) -> None:
        if self._on_change is not None:
            self._on_change()

    def _release(self) -> None:
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
        self._room = None


class DownloadBuffer:
    """Carries an answer body from libcurl to the caller's connection."""

    __slots__ = ("_chunks", "_limit", "size")

    def __init__(self, limit: int = BUFFER_BYTES) -> None:
        self._limit = limit
        self._chunks: list[bytes] = []
        #: Bytes held.
        self.size = 0

    def is_full(self) -> bool:
        """Tells whether libcurl has to pause."""
        return self.size >= self._limit

    def add(self, chunk: bytes) -> None:
        """Adds a part of the body."""
        self._chunks.append(chunk)
        self.size += len(chunk)

    def read_all(self) -> bytes:
        """Takes everything that is held."""
        chunks = self._chunks
        if not chunks:
            return b""
        self._chunks = []
        self.size = 0
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)
