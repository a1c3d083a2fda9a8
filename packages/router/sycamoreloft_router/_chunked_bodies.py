"""Decoding of bodies that arrive in chunks (RFC 9112, section 7.1).

libcurl skips whatever follows the digits of a chunk's size, accepts lines that
end without a carriage return, and hands on trailers whose names are no tokens.
This decoder accepts only what the grammar allows.
"""

import enum

from sycamoreloft_router import _message_grammar

#: Maximum length of the line before a chunk, or of a trailer, in bytes.
MAXIMUM_LINE_BYTES = 16_384

#: Maximum length of all trailers together, in bytes.
MAXIMUM_TRAILER_BYTES = 65_536

#: Maximum number of digits of a chunk's size, as in libcurl.
MAXIMUM_SIZE_DIGITS = 16


class _Part(enum.Enum):
    """What the next bytes of a body are."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "data-end"
    TRAILER = "trailer"
    NOTHING = "nothing"


class ChunkedBody:
    """Decodes a body as it arrives."""

    __slots__ = (
        "_line",
        "_part",
        "_remaining",
        "_trailer_bytes",
        "has_excess",
        "problem",
    )

    def __init__(self) -> None:
        self._part = _Part.SIZE
        # Incomplete line that has arrived.
        self._line = b""
        # Bytes of the present chunk that have not arrived.
        self._remaining = 0
        self._trailer_bytes = 0
        #: Whether bytes follow the body. They belong to no answer.
        self.has_excess = False
        #: Why the body is rejected; empty as long as it is valid.
        self.problem = ""

    @property
    def is_complete(self) -> bool:
        """Whether the last chunk and the trailers have arrived."""
        return self._part is _Part.NOTHING

    def decode(self, data: bytes) -> bytes:
        """Decodes the next bytes.

        Returns:
            The data of chunks among them. If the body is rejected, `problem`
            says why, and the data must not be used.
        """
        chunks = []
        position = 0
        while position < len(data) and not self.problem:
            if self._part is _Part.NOTHING:
                self.has_excess = True
                break
            if self._part is _Part.DATA:
                chunk = data[position : position + self._remaining]
                chunks.append(chunk)
                position += len(chunk)
                self._remaining -= len(chunk)
                if not self._remaining:
                    self._part = _Part.DATA_END
            else:
                position = self._add_line_part(data, position)
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def _add_line_part(self, data: bytes, position: int) -> int:
        """Adds bytes up to the end of the present line.

        Returns:
            Position behind these bytes.
        """
        end = data.find(b"\n", position) + 1 or len(data)
        self._line += data[position:end]
        if len(self._line) > MAXIMUM_LINE_BYTES:
            self.problem = "a line between the answer's chunks is too long"
        elif self._line.endswith(b"\n"):
            line, self._line = self._line, b""
            self._add_line(line)
        return end

    def _add_line(self, line: bytes) -> None:
        if self._part is _Part.SIZE:
            self._add_size(line)
        elif self._part is _Part.TRAILER:
            self._add_trailer(line)
        elif line == b"\r\n":
            self._part = _Part.SIZE
        else:
            self._reject_line("a chunk of the answer has no end", line)

    def _add_size(self, line: bytes) -> None:
        match = _message_grammar.CHUNK_LINE.fullmatch(line)
        if match is None or len(match[1]) > MAXIMUM_SIZE_DIGITS:
            self._reject_line("a chunk of the answer has no size", line)
            return
        self._remaining = int(match[1], 16)
        if self._remaining > _message_grammar.MAXIMUM_BODY_BYTES:
            self._reject_line("a chunk of the answer is too large", line)
            return
        self._part = _Part.DATA if self._remaining else _Part.TRAILER

    def _add_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line)
        if line in _message_grammar.EMPTY_LINES:
            self._part = _Part.NOTHING
        elif self._trailer_bytes > MAXIMUM_TRAILER_BYTES:
            self.problem = "the answer's trailers are too long"
        elif _message_grammar.HEADER_LINE.fullmatch(line) is None:
            self._reject_line("a trailer of the answer is malformed", line)

    def _reject_line(self, problem: str, line: bytes) -> None:
        self.problem = _message_grammar.describe_line(problem, line)
