"""Tests of the encoding of messages and of the authentication."""

import hypothesis
from hypothesis import strategies
import msgpack
import pytest
from returns import pipeline

import sycamoreloft_wire

REPEATABLE = hypothesis.settings(derandomize=True, deadline=None)

KEYS = (
    sycamoreloft_wire.SharedKey("new", b"secret-2"),
    sycamoreloft_wire.SharedKey("old", b"secret-1"),
)


@pytest.fixture
def entry():
    """A member entry with nested fields."""
    return sycamoreloft_wire.MemberEntry(
        host="h1",
        incarnation="a",
        version=3,
        peer_address="127.0.0.1:1",
        caller_address="127.0.0.1:2",
        admin_address="127.0.0.1:3",
        failure_domains={"isuku": "gasabo"},
        leaving=False,
        groups={"isuku/gasabo/0": 4},
        generation=2,
    )


def test_messages_survive_encoding(entry):
    """Guards against fields that change order or type on the wire."""
    message = sycamoreloft_wire.GossipDigest(
        (sycamoreloft_wire.Heartbeat("h1", "a", 9),), (entry, entry)
    )
    data = sycamoreloft_wire.encode_message(7, message)
    envelope = sycamoreloft_wire.decode_message(data).unwrap()
    assert envelope == sycamoreloft_wire.Envelope(7, message)


def test_another_version_is_refused():
    """Guards against decoding messages of a release with other fields."""
    data = msgpack.packb([2, 17, 0, []])
    error = sycamoreloft_wire.decode_message(data).failure()
    assert "same release" in str(error)


@REPEATABLE
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_refused_with_a_typed_error(data):
    """Guards against an exception that ends the peer server."""
    outcome = sycamoreloft_wire.decode_message(data)
    assert not pipeline.is_successful(outcome)


@REPEATABLE
@hypothesis.given(
    strategies.recursive(
        strategies.none()
        | strategies.integers(-5, 20)
        | strategies.text(max_size=3),
        lambda inner: (
            strategies.lists(inner, max_size=5)
            | strategies.dictionaries(
                strategies.text(max_size=2), inner, max_size=3
            )
        ),
    )
)
def test_fields_are_refused_or_kept_exactly(values):
    """Guards against values of the wrong type in a message of a known type.

    An accepted message must encode to the same bytes again, which shows that
    no value was converted. Only a digest without entries is valid here.
    """
    for code in (1, 6, 9, 11):
        data = msgpack.packb([1, code, 0, values])
        outcome = sycamoreloft_wire.decode_message(data)
        if pipeline.is_successful(outcome):
            message = outcome.unwrap().message
            assert sycamoreloft_wire.encode_message(0, message) == data


@pytest.mark.parametrize(
    "values",
    [[], ["g"], ["g", 1, "600"], ["g", 1.0, 600], ["g", True, 600], {"g": 1}],
)
def test_wrong_types_are_refused(values):
    """Guards against a promise request whose fields have another type."""
    data = msgpack.packb([1, 2, 0, values])
    outcome = sycamoreloft_wire.decode_message(data)
    assert "PromiseRequest" in str(outcome.failure())


@REPEATABLE
@hypothesis.given(
    strategies.lists(strategies.binary(max_size=50), max_size=10),
    strategies.integers(1, 30),
)
def test_frames_are_found_however_the_stream_is_cut(contents, step):
    """Guards against losing a frame that spans two reads."""
    stream = b"".join(map(sycamoreloft_wire.encode_frame, contents))
    decoder = sycamoreloft_wire.FrameDecoder()
    frames = []
    for start in range(0, len(stream), step):
        frames += decoder.feed(stream[start : start + step])
    assert frames == contents


def test_an_oversized_frame_is_refused_before_it_is_read():
    """Guards against a length prefix that makes the host run out of memory."""
    with pytest.raises(sycamoreloft_wire.FrameTooLong):
        sycamoreloft_wire.FrameDecoder().feed(b"\xff\xff\xff\xff")


def run_handshake(client_keys, server_keys):
    """Runs both sides; returns whether each authenticated the other."""
    hello = sycamoreloft_wire.ClientHello(
        "c", tuple(key.key_id for key in client_keys), b"n" * 16
    )
    answer = sycamoreloft_wire.answer_hello(server_keys, hello, "s", b"m" * 16)
    if not pipeline.is_successful(answer):
        return False
    proof = sycamoreloft_wire.prove_client(client_keys, hello, answer.unwrap())
    return pipeline.is_successful(proof) and sycamoreloft_wire.verify_client(
        server_keys, hello, answer.unwrap(), proof.unwrap()
    )


def test_hosts_agree_while_keys_are_rotated():
    """Guards against a key rotation that disconnects hosts."""
    assert run_handshake(KEYS, KEYS[1:])
    assert run_handshake(KEYS[1:], KEYS)
    assert not run_handshake(KEYS[:1], KEYS[1:])


def test_a_wrong_secret_is_refused():
    """Guards against a peer that has the key's identifier only."""
    forged = (sycamoreloft_wire.SharedKey("old", b"guess"),)
    assert not run_handshake(forged, KEYS[1:])


@pytest.mark.parametrize("latency", [float("nan"), float("inf"), True, "1"])
def test_a_latency_that_is_no_number_is_refused(latency):
    """Guards against a concurrency limit computed from a NaN."""
    fields = ["g", "p", "completed", latency, False, False]
    data = msgpack.packb([1, 9, 0, fields])
    outcome = sycamoreloft_wire.decode_message(data)
    assert "number" in str(outcome.failure())
