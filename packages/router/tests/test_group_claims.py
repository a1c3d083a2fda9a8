"""Tests of `GroupClaims`, which runs the claim registry of a group."""

import asyncio
import contextlib
import pathlib
import sys

import pytest

import sycamoreloft_config
from sycamoreloft_router import _group_claims
import sycamoreloft_wire

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import fake_store

GROUP = sycamoreloft_config.GroupName("f", "d", 0)
GROUP_KEY = "group/f/d/0"


@pytest.fixture
def store():
    """A store whose group row records epoch 3."""
    table = fake_store.FakeStore()
    table.put(GROUP_KEY, {"epoch": 3})
    return table


@contextlib.asynccontextmanager
async def open_claims(store, epoch=3):
    tasks = set()

    def spawn(coroutine):
        tasks.add(asyncio.ensure_future(coroutine))

    claims = _group_claims.GroupClaims(GROUP, epoch, 600.0, store, spawn)
    claims.start()
    await asyncio.sleep(0)
    try:
        yield claims
    finally:
        claims.close()
        for task in tasks:
            task.cancel()


async def request_claim(
    claims, identifier=b"i", attempt="a1", fingerprint=b"f"
):
    """Requests a claim and ticks until it is answered; returns the answer."""
    answers = []
    message = sycamoreloft_wire.ClaimRequest(
        "f/d/0", 1, identifier, fingerprint, attempt
    )
    claims.request_claim(message, answers.append)
    for _ in range(400):
        if answers:
            break
        await asyncio.sleep(0.005)
        claims.tick()
    return answers[0]


def list_claim_rows(store):
    return [key for key in store.rows if key.startswith("claims/")]


def test_a_claim_is_in_the_table_before_it_is_answered(store):
    """Guards against an operation that runs twice after the holder is lost.

    The next holder knows only claims that are in the table.
    """

    async def run():
        async with open_claims(store) as claims:
            assert (await request_claim(claims)).verdict == "claimed"
            assert len(list_claim_rows(store)) == 1

    asyncio.run(run())


def test_a_new_holder_loads_the_claims_of_its_predecessor(store):
    """Guards against losing the claims of the previous holder."""

    async def run():
        async with open_claims(store) as claims:
            await request_claim(claims)
        store.put(GROUP_KEY, {"epoch": 4})
        async with open_claims(store, epoch=4) as claims:
            answer = await request_claim(claims, attempt="a2")
            assert answer.verdict == "repeated"
            conflict = await request_claim(
                claims, attempt="a3", fingerprint=b"other"
            )
            assert conflict.verdict == "conflict"

    asyncio.run(run())


def test_a_heartbeat_of_the_group_row_does_not_refuse_claims(store):
    """Guards against refusing claims because only the row's version changed."""

    async def run():
        store.before_write = lambda: store.put(GROUP_KEY, {"epoch": 3})
        async with open_claims(store) as claims:
            assert (await request_claim(claims)).verdict == "claimed"

    asyncio.run(run())


def test_a_replaced_holder_cannot_claim(store):
    """Guards against claims of a holder that was replaced during a pause."""

    async def run():
        store.before_write = lambda: store.put(GROUP_KEY, {"epoch": 4})
        async with open_claims(store) as claims:
            assert (await request_claim(claims)).verdict == "unavailable"
            assert list_claim_rows(store) == []

    asyncio.run(run())


def test_a_write_whose_answer_was_lost_is_found_by_its_request_id(store):
    """Guards against refusing or repeating a write whose answer was lost."""

    async def run():
        store.lose_next_answer = True
        async with open_claims(store) as claims:
            assert (await request_claim(claims)).verdict == "claimed"
            assert len(list_claim_rows(store)) == 1

    asyncio.run(run())


def test_claims_are_refused_while_the_store_is_down(store):
    """Guards against sending an operation whose claim is not in the table."""

    async def run():
        async with open_claims(store) as claims:
            await request_claim(claims, b"first")
            store.down = True
            assert (await request_claim(claims, b"i2")).verdict == "unavailable"

    asyncio.run(run())
