"""Splits a byte stream into frames with a length prefix."""

import struct

#: Maximum length of the content of a frame. A longer one is a fault or an
#: attack.
MAXIMUM_FRAME_BYTES = 1 << 20

_LENGTH = struct.Struct(">I")


class FrameTooLong(Exception):
    """A frame exceeds the length limit; the connection must be closed."""


def encode_frame(content: bytes) -> bytes:
    """Adds the length prefix to the content of a frame.

    Raises:
        FrameTooLong: The content exceeds the length limit.
    """
    if len(content) > MAXIMUM_FRAME_BYTES:
        raise FrameTooLong(
            f"message of {len(content)} bytes is over the limit of"
            f" {MAXIMUM_FRAME_BYTES}; send it in parts"
        )
    return _LENGTH.pack(len(content)) + content


class FrameDecoder:
    """Reassembles frames from the chunks of a byte stream."""

    def __init__(self, maximum_bytes: int = MAXIMUM_FRAME_BYTES) -> None:
        self._maximum_bytes = maximum_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the frames that are complete now.

        Raises:
            FrameTooLong: A length prefix exceeds the limit.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if length > self._maximum_bytes:
                raise FrameTooLong(
                    f"frame of {length} bytes is over the limit of"
                    f" {self._maximum_bytes}; the peer is not a sycamoreloft"
                    " host or runs another release"
                )
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return frames
