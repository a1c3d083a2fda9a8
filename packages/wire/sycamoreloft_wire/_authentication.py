"""Mutual challenge-response authentication of two hosts by a shared key.

The client sends the identifiers of its keys, and the server chooses the first
of its own keys that the client has, too. Each side then proves that it has the
key by a MAC over both nonces and both host names. Several keys may be valid at
the same time, so that keys are rotated without downtime: add the new key on
all hosts, make it the first key on all hosts, then remove the old key.
"""

from collections import abc
import dataclasses
import hashlib
import hmac

import msgpack
from returns import result

#: Length of a nonce.
NONCE_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class SharedKey:
    """A secret key that all hosts have."""

    #: Identifier of the key, which is sent unencrypted.
    key_id: str
    #: Key of the MAC; never sent.
    secret: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClientHello:
    """First frame of the handshake, sent by the client."""

    #: Host name of the client.
    host: str
    #: Identifiers of the keys that the client has.
    key_ids: abc.Sequence[str]
    #: Random bytes that the client uses only once; `NONCE_BYTES` long.
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ServerHello:
    """Second frame of the handshake, sent by the server."""

    #: Host name of the server.
    host: str
    #: Identifier of the key that the server chose.
    key_id: str
    #: Random bytes that the server uses only once; `NONCE_BYTES` long.
    nonce: bytes
    #: MAC that proves that the server has the key.
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClientProof:
    """Last frame of the handshake, sent by the client."""

    #: MAC that proves that the client has the key.
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AuthenticationError:
    """Reason why a handshake failed."""

    #: Cause and remedy, for the log.
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
    """Chooses the first key that both hosts have, and proves to have it.

    Args:
        keys: Keys of the server, in the order of preference.
        hello: First frame of the client.
        host: Host name of the server.
        nonce: New random bytes.
    """
    for key in keys:
        if key.key_id in hello.key_ids:
            proof = _compute_proof(key, "server", hello, host, nonce)
            return result.Success(ServerHello(host, key.key_id, nonce, proof))
    return result.Failure(
        AuthenticationError(
            f"host {hello.host!r} has none of this host's peer keys; give both"
            " hosts a common entry in peer_keys"
        )
    )


def prove_client(
    keys: abc.Sequence[SharedKey], hello: ClientHello, server_hello: ServerHello
) -> result.Result[ClientProof, AuthenticationError]:
    """Verifies the server's proof and returns the client's proof."""
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
            f"host {server_hello.host!r} did not prove that it has peer key"
            f" {server_hello.key_id!r}; check that both hosts have the same"
            " secret for it"
        )
    )


def verify_client(
    keys: abc.Sequence[SharedKey],
    hello: ClientHello,
    server_hello: ServerHello,
    proof: ClientProof,
) -> bool:
    """Returns whether the client proved that it has the chosen key."""
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
    """Decodes the first frame of the handshake."""
    try:
        host, key_ids, nonce = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return result.Failure(AuthenticationError("client hello is malformed"))
    if (
        not isinstance(host, str)
        or not isinstance(key_ids, list)
        or not all(isinstance(key_id, str) for key_id in key_ids)
        or not isinstance(nonce, bytes)
        or len(nonce) != NONCE_BYTES
    ):
        return result.Failure(AuthenticationError("client hello is malformed"))
    return result.Success(ClientHello(host, tuple(key_ids), nonce))


def decode_server_hello(
    data: bytes,
) -> result.Result[ServerHello, AuthenticationError]:
    """Decodes the second frame of the handshake."""
    try:
        host, key_id, nonce, proof = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return result.Failure(AuthenticationError("server hello is malformed"))
    if (
        not isinstance(host, str)
        or not isinstance(key_id, str)
        or not isinstance(nonce, bytes)
        or not isinstance(proof, bytes)
    ):
        return result.Failure(AuthenticationError("server hello is malformed"))
    return result.Success(ServerHello(host, key_id, nonce, proof))


def decode_client_proof(
    data: bytes,
) -> result.Result[ClientProof, AuthenticationError]:
    """Decodes the last frame of the handshake."""
    try:
        (proof,) = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return result.Failure(AuthenticationError("client proof is malformed"))
    if not isinstance(proof, bytes):
        return result.Failure(AuthenticationError("client proof is malformed"))
    return result.Success(ClientProof(proof))
