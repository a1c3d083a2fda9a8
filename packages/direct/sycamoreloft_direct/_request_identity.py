"""Identities of requests, by which their repetitions are recognized."""

import hashlib


def identify_request(
    method: str, target: str, caller: str, body: bytes
) -> tuple[int, int]:
    """Returns the identities of a request, equal for all its repetitions.

    A caller may repeat a request from another address, or with another query.
    The second identity is equal for all requests with the same method, path and
    body. One with an innocent query or caller shares it, so an answer shows
    nothing about the first identity.

    Args:
        method: HTTP method.
        target: Path and query.
        caller: Address of the caller.
        body: The body, or the part of it that has been received.

    Returns:
        A number for the request of this caller, and one for the path and body.
    """
    digest = hashlib.blake2b(body, digest_size=8)
    path, _, _ = target.partition("?")
    similar = digest.copy()
    for part in (method, path):
        similar.update(b"\0" + part.encode("utf-8", "replace"))
    for part in (method, target, caller):
        digest.update(b"\0" + part.encode("utf-8", "replace"))
    return int.from_bytes(digest.digest()), int.from_bytes(similar.digest())
