"""Bodies of answers, which a caller can compute and compare."""

from collections import abc
import hashlib
import json
import typing

#: Bytes written at a time.
PART_BYTES = 65_536


def hash_bytes(body: bytes) -> str:
    """Returns the SHA-256 of a body, as answers give it."""
    return hashlib.sha256(body).hexdigest()


def make_echo(
    request: str, caller: str, fleet: str, service: str, key: str
) -> dict[str, typing.Any]:
    """Returns what an upstream must answer to a request.

    The upstream adds its name, the bytes that it received and their SHA-256.
    """
    return {
        "request": request,
        "caller": caller,
        "fleet": fleet,
        "service": service,
        "key": key,
    }


def make_stream(request: str, upstream: str, size: int) -> abc.Iterator[bytes]:
    """Yields the parts of a streamed answer of exactly `size` bytes.

    The pattern depends on the request, so that bytes of another request's
    answer are noticed.
    """
    seed = f"{request}\0{upstream}".encode()
    block = b"".join(
        hashlib.sha256(seed + bytes([number])).digest() for number in range(64)
    ) * (PART_BYTES // 2048)
    sent = 0
    while sent < size:
        part = block[: min(PART_BYTES, size - sent)]
        sent += len(part)
        yield part


def check_stream(request: str, upstream: str, size: int, digest: str) -> bool:
    """Tells whether a SHA-256 is that of the streamed answer."""
    expected = hashlib.sha256()
    for part in make_stream(request, upstream, size):
        expected.update(part)
    return expected.hexdigest() == digest


def check_echo(
    body: bytes, echo: abc.Mapping[str, typing.Any], upload: bytes
) -> bool:
    """Tells whether a JSON answer belongs to a request with this upload."""
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    return (
        isinstance(answer, dict)
        and all(answer.get(name) == value for name, value in echo.items())
        and answer.get("received") == len(upload)
        and answer.get("digest") == hash_bytes(upload)
    )
