"""Mutual challenge between two hosts that share a key.

The client names the keys that it knows, the server picks one that both have,
and each proves that it holds the key by a MAC over both nonces and both host
names. Several keys are valid at once, so that keys are rotated without a stop:
add the new key everywhere, put it first everywhere, remove the old one.
"""

from collections import abc
import dataclasses
import hashlib
import hmac

import msgpack
from returns import result

#: Bytes of a nonce.
NONCE_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class SharedKey:
    """A key that all hosts hold."""

    #: Name that is sent in the clear.
    key_id: str
    #: Secret bytes.
    secret: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClientHello:
    """First frame of the client."""

    #: Name of the client's host.
    host: str
    #: Keys that the client knows.
    key_ids: abc.Sequence[str]
    #: Nonce of the client.
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ServerHello:
    """Answer of the server."""

    #: Name of the server's host.
    host: str
    #: Key that the server picked.
    key_id: str
    #: Nonce of the server.
    nonce: bytes
    #: Proof of the server.
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClientProof:
    """Last frame of the handshake."""

    #: Proof of the client.
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AuthenticationError:
    """The handshake failed."""

    #: What is wrong, and what to change.
    text: str

    def __str__(self) -> str:
        return self.text


def _compute_proof(
    key: SharedKey, role: str, client: ClientHello, host: str, nonce: bytes
) -> bytes:
    content = msgpack.packb(
        [role, client.host, client.nonce, host, nonce, key.key_id]
    )
    return hmac.new(key.secret, content, hashlib.sha256).digest()


def answer_hello(
    keys: abc.Sequence[SharedKey], hello: ClientHello, host: str, nonce: bytes
) -> result.Result[ServerHello, AuthenticationError]:
    """Answers a client's hello with the first key that both hosts have."""
    for key in keys:
        if key.key_id in hello.key_ids:
            proof = _compute_proof(key, "server", hello, host, nonce)
            return result.Success(ServerHello(host, key.key_id, nonce, proof))
    return result.Failure(
        AuthenticationError(
            f"host {hello.host!r} knows none of this host's peer keys; give"
            " both hosts a common entry in peer_keys"
        )
    )


def prove_client(
    keys: abc.Sequence[SharedKey], hello: ClientHello, server_hello: ServerHello
) -> result.Result[ClientProof, AuthenticationError]:
    """Checks the server's proof and returns the client's."""
    for key in keys:
        if key.key_id != server_hello.key_id:
            continue
        expected = _compute_proof(
            key, "server", hello, server_hello.host, server_hello.nonce
        )
        if hmac.compare_digest(expected, server_hello.proof):
            proof = _compute_proof(
                key, "client", hello, server_hello.host, server_hello.nonce
            )
            return result.Success(ClientProof(proof))
    return result.Failure(
        AuthenticationError(
            f"host {server_hello.host!r} did not prove that it holds peer key"
            f" {server_hello.key_id!r}; check that the secret is the same"
        )
    )


def verify_client(
    keys: abc.Sequence[SharedKey],
    hello: ClientHello,
    server_hello: ServerHello,
    proof: ClientProof,
) -> bool:
    """Returns whether the client proved that it holds the picked key."""
    for key in keys:
        if key.key_id == server_hello.key_id:
            expected = _compute_proof(
                key, "client", hello, server_hello.host, server_hello.nonce
            )
            return hmac.compare_digest(expected, proof.proof)
    return False


def encode_hello(hello: ClientHello | ServerHello | ClientProof) -> bytes:
    """Encodes a frame of the handshake."""
    values = [
        list(value) if isinstance(value, tuple) else value
        for value in dataclasses.astuple(hello)
    ]
    packed: bytes = msgpack.packb(values)
    return packed


def decode_client_hello(
    data: bytes,
) -> result.Result[ClientHello, AuthenticationError]:
    """Decodes the client's first frame."""
    try:
        host, key_ids, nonce = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return result.Failure(AuthenticationError("hello is malformed"))
    if (
        not isinstance(host, str)
        or not isinstance(key_ids, list)
        or not all(isinstance(key_id, str) for key_id in key_ids)
        or not isinstance(nonce, bytes)
        or len(nonce) != NONCE_BYTES
    ):
        return result.Failure(AuthenticationError("hello is malformed"))
    return result.Success(ClientHello(host, tuple(key_ids), nonce))


def decode_server_hello(
    data: bytes,
) -> result.Result[ServerHello, AuthenticationError]:
    """Decodes the server's answer."""
    try:
        host, key_id, nonce, proof = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return result.Failure(AuthenticationError("answer is malformed"))
    if (
        not isinstance(host, str)
        or not isinstance(key_id, str)
        or not isinstance(nonce, bytes)
        or not isinstance(proof, bytes)
    ):
        return result.Failure(AuthenticationError("answer is malformed"))
    return result.Success(ServerHello(host, key_id, nonce, proof))


def decode_client_proof(
    data: bytes,
) -> result.Result[ClientProof, AuthenticationError]:
    """Decodes the client's proof."""
    try:
        (proof,) = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return result.Failure(AuthenticationError("proof is malformed"))
    if not isinstance(proof, bytes):
        return result.Failure(AuthenticationError("proof is malformed"))
    return result.Success(ClientProof(proof))
