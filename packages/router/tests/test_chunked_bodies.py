"""Tests the decoder of bodies in chunks."""

import hypothesis
from hypothesis import strategies
import pytest

from sycamoreloft_router import _chunked_bodies

CHUNKS = strategies.lists(strategies.binary(min_size=1, max_size=40))


def decode(data, part_bytes):
    """Decodes a body in parts; returns the decoder and the data."""
    decoder = _chunked_bodies.ChunkedBody()
    decoded = b"".join(
        decoder.decode(data[start : start + part_bytes])
        for start in range(0, len(data), part_bytes)
    )
    return decoder, decoded


# Guards against lost or added bytes wherever a body is torn apart.
@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(CHUNKS, strategies.integers(1, 50), strategies.booleans())
def test_a_body_in_any_parts_is_decoded(chunks, part_bytes, has_trailers):
    trailers = b"X-Sum: 1\r\n" if has_trailers else b""
    data = b"".join(b"%x;a=b\r\n%b\r\n" % (len(c), c) for c in chunks)
    data += b"0\r\n" + trailers + b"\r\n"
    decoder, decoded = decode(data, part_bytes)
    assert decoder.is_complete and not decoder.problem
    assert not decoder.has_excess
    assert decoded == b"".join(chunks)
    for size in range(len(data)):
        assert not decode(data[:size], part_bytes)[0].is_complete


# Guards against a line without end that fills the memory, wherever it comes.
@pytest.mark.parametrize("start", [b"2;", b"2\r\nok", b"0\r\nX: "])
def test_a_line_without_end_is_rejected(start):
    decoder = _chunked_bodies.ChunkedBody()
    decoder.decode(start)
    for _ in range(20):
        decoder.decode(b"1" * 1_000)
    assert decoder.problem


# Guards against bytes of another answer that are taken as part of the body.
@pytest.mark.parametrize("part_bytes", [1, 5, 1_000])
def test_bytes_after_the_body_are_not_decoded(part_bytes):
    data = b"2\r\nok\r\n0\r\n\r\n2\r\nno\r\n"
    decoder, decoded = decode(data, part_bytes)
    assert decoded == b"ok"
    assert decoder.is_complete and decoder.has_excess
