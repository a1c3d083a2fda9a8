"""Tests malformed answers of upstreams to grants of the permit mode."""

import json

import pytest

from sycamoreloft_router import _grant_client

REPLY = {
    "accepted": True,
    "incarnation": "a1",
    "clock_reading": 7.5,
    "highest_epoch": 3,
    "version": 2,
    "draining": False,
}


def test_a_reply_is_decoded():
    reply = _grant_client._decode_reply(json.dumps(REPLY).encode())
    assert reply == _grant_client.GrantReply(True, "a1", 7.5, 3, 2, False)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"[" * 60_000, id="nested"),
        pytest.param(b"[]", id="list"),
        *(
            pytest.param(
                json.dumps(REPLY | {name: 0}).replace(
                    f'"{name}": 0', f'"{name}": {value}'
                ).encode(),
                id=f"{name}-{value[:9]}",
            )
            for name, value in (
                ("clock_reading", "NaN"),
                ("clock_reading", "1e999"),
                ("clock_reading", "1" + "0" * 400),
                ("clock_reading", "9" * 5_000),
                ("highest_epoch", "1e999"),
                ("highest_epoch", "[]"),
                ("version", "Infinity"),
                ("version", "null"),
            )
        ),
    ],
)  # fmt: skip
def test_a_malformed_reply_counts_as_no_answer(body):
    """Guards against an answer that ends the task of a group.

    A clock reading that is not a number would never count as expired.
    """
    assert _grant_client._decode_reply(body) is None
