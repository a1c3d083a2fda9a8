"""Answer bodies that a caller can compute itself and compare."""

from collections import abc
import hashlib
import json
import typing

#: Maximum size of one part of a streamed answer.
PART_BYTES = 65_536


def hash_bytes(body: bytes) -> str:
    """Returns the SHA-256 of a body in hex, as the answers contain it."""
    return hashlib.sha256(body).hexdigest()


def make_echo(
    request: str, caller: str, fleet: str, service: str, key: str
) -> dict[str, typing.Any]:
    """Returns the fields that the answer to a request must contain.

    The upstream adds its name, the number of bytes received and their SHA-256.
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

    The content depends on the request and the upstream, so that the answer to
    another request is detected.
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
    """Returns whether a digest is the SHA-256 of the streamed answer."""
    expected = hashlib.sha256()
    for part in make_stream(request, upstream, size):
        expected.update(part)
    return expected.hexdigest() == digest


def check_echo(
    body: bytes, echo: abc.Mapping[str, typing.Any], upload: bytes
) -> bool:
    """Returns whether a JSON answer belongs to a request.

    Args:
        body: Body of the answer.
        echo: Fields that the answer must contain, from `make_echo`.
        upload: Body of the request.
    """
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
