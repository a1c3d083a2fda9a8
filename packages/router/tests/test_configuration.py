"""Tests that generations are submitted, accepted and applied."""

import asyncio
import contextlib
import hashlib
import pathlib
import sys

import pytest
from returns import pipeline, result

from sycamoreloft_decisions import acceptance
from sycamoreloft_router import _admin, _configuration, _store_client
import sycamoreloft_wire

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import fake_store

FILE = """
kind = "fleet"
name = "{name}"
[[failure_domains]]
name = "d"
[[services]]
name = "s"
keyed = true
[[upstreams]]
name = "u"
service = "s"
failure_domain = "d"
address = "127.0.0.1:{port}"
slots = 1
"""


class ObjectStore(fake_store.FakeStore):
    """A table service and an object store."""

    def __init__(self):
        super().__init__()
        self.objects = {}
        self.objects_down = False

    async def put_object(self, text):
        name = hashlib.sha256(text.encode()).hexdigest()
        self.objects[name] = text
        return result.Success(name)

    async def get_object(self, name):
        if self.objects_down or name not in self.objects:
            return result.Failure(_store_client.StoreUnavailable("", "down"))
        return result.Success(self.objects[name])


class Observer:
    """Records the accepted and pending numbers that were applied."""

    def __init__(self):
        self.applied = []

    def apply_generations(self, accepted, pending):
        self.applied.append((accepted.number, pending.number if pending else 0))


@pytest.fixture
def store():
    """An empty table and an empty object store."""
    return ObjectStore()


@contextlib.asynccontextmanager
async def open_manager(store, host="h1"):
    observer = Observer()
    manager = _configuration.ConfigurationManager(host, store, observer)
    tasks = [
        asyncio.ensure_future(run())
        for run in (manager.run_ticks, manager.run_commands)
    ]
    try:
        yield manager, observer
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def submit(manager, base, name="f", port=9001, request=""):
    text = FILE.format(name=name, port=port)
    request = request or f"request-{name}-{base}-{port}"
    return manager.submit_file(
        _admin.Submission(request, base, {f"{name}.toml": text}, 5.0)
    )


async def wait_applied(observer, expected):
    for _ in range(400):
        if observer.applied and observer.applied[-1] == expected:
            return
        await asyncio.sleep(0.01)
    pytest.fail(f"{observer.applied} never became {expected}")


def test_a_file_is_in_force_on_every_host(store):
    """Guards against an accepted generation that some host never applies."""

    async def run():
        async with (
            open_manager(store) as (first, _),
            open_manager(store, "h2") as (_, observer),
        ):
            answer = (await submit(first, 0)).unwrap()
            assert answer.verdict is acceptance.Verdict.ACCEPTED
            await wait_applied(observer, (answer.number, 0))

    asyncio.run(run())


def test_the_second_of_two_submissions_conflicts(store):
    """Guards against a submission that silently overwrites another one."""

    async def run():
        async with open_manager(store) as (manager, _):
            await submit(manager, 0)
            late = (await submit(manager, 0, port=9002)).unwrap()
            assert late.verdict is acceptance.Verdict.CONFLICT
            assert late.changed_files

    asyncio.run(run())


def test_files_of_other_fleets_are_kept(store):
    """Guards against a submission that removes the files of other fleets."""

    async def run():
        async with open_manager(store) as (manager, observer):
            first = (await submit(manager, 0)).unwrap()
            second = await submit(manager, first.number, name="g", port=9002)
            await wait_applied(observer, (second.unwrap().number, 0))
            assert set(manager.accepted.fleets) == {"f", "g"}

    asyncio.run(run())


def test_an_address_of_another_fleet_is_refused(store):
    """Guards against two fleets that use the slots of the same upstream."""

    async def run():
        async with open_manager(store) as (manager, _):
            first = (await submit(manager, 0)).unwrap()
            answer = await submit(manager, first.number, name="g")
            problem = answer.failure()
            assert (problem.status, problem.code) == (422, "invalid-files")
            assert "same_upstream" in " ".join(problem.details)

    asyncio.run(run())


def test_a_host_without_the_files_does_not_claim_to_apply_them(store):
    """Guards against taking over a group without the generation's files."""

    async def run():
        async with open_manager(store) as (manager, _):
            await submit(manager, 0)
        store.objects_down = True
        async with open_manager(store, "h2") as (late, observer):
            await asyncio.sleep(0.3)
            assert late.get_applied_head_version() is None
            assert not observer.applied
            store.objects_down = False
            await wait_applied(observer, (1, 0))
            assert late.get_applied_head_version() is not None

    asyncio.run(run())


def test_files_come_from_a_peer_while_the_store_is_down(store):
    """Guards against a host that cannot serve during a store outage."""

    async def run():
        async with open_manager(store) as (manager, _):
            await submit(manager, 0)
            answer = sycamoreloft_wire.GenerationAnswer(
                manager.accepted.number, manager.accepted_texts
            )
        store.down = True
        async with open_manager(store, "h2") as (late, observer):
            await late.apply_answer(answer)
            assert observer.applied == [(1, 0)]
            older = sycamoreloft_wire.GenerationAnswer(0, {})
            await late.apply_answer(older)
            assert late.accepted.number == 1

    asyncio.run(run())


def test_a_store_outage_is_reported_to_the_operator(store):
    """Guards against an operator who believes that a file was recorded."""

    async def run():
        store.down = True
        async with open_manager(store) as (manager, _):
            answer = await submit(manager, 0)
            assert not pipeline.is_successful(answer)
            assert answer.failure().status == 503

    asyncio.run(run())
