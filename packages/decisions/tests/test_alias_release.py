"""Tests of the wait of a merged service for its aliases."""

import pytest

import sycamoreloft_config
import sycamoreloft_decisions

GROUP = sycamoreloft_config.GroupName("g", "d", 0)
OWNED = {0: sycamoreloft_decisions.Assignment("u", 1)}


def make_fleet(name, keyed, lost):
    return sycamoreloft_config.Fleet(
        name,
        sycamoreloft_config.Weights(),
        6.0,
        600.0,
        {"d": sycamoreloft_config.FailureDomain("d", lost=lost)},
        {
            service: sycamoreloft_config.Service(service, keyed, 8)
            for service in ("board", "other")
        },
        {},
    )


def make_generation(number, aliases=("g/board",), keyed=True, lost=False):
    merge = sycamoreloft_config.Merge(
        tuple(
            sycamoreloft_config.SameService("f/board", alias)
            for alias in aliases
        )
    )
    fleets = {
        name: make_fleet(name, keyed, lost and name == "g")
        for name in ("f", "g", "h")
    }
    return sycamoreloft_config.Generation(number, fleets, merge)


def make_tables(service="board", **fields):
    """Tables that record one partition, or what the fields say."""
    contents = fields or {"partitions": {service: OWNED}}
    return {
        GROUP: sycamoreloft_decisions.AssignmentTable(
            **{"partitions": {}, "hot_keys": {}} | contents
        )
    }


class Bench:
    """Feeds a machine; time passes only when a test says so."""

    def __init__(self):
        self.machine = sycamoreloft_decisions.AliasRelease()
        self.now = 100.0

    def change(self, accepted, pending=None):
        self.feed(sycamoreloft_decisions.GenerationChanged(accepted, pending))

    def tick(self, seconds=0.0):
        self.now += seconds
        return self.feed(sycamoreloft_decisions.Tick())

    def read(self, tables, seconds=1.0):
        """Answers the read that is due."""
        (command,) = self.tick(seconds)
        self.answer(command, tables)

    def answer(self, command, tables):
        self.feed(sycamoreloft_decisions.AliasRowsRead(command.call, tables))

    def feed(self, event):
        return self.machine.handle(event, self.now)

    def is_served(self):
        return self.machine.is_released("f", "board")


@pytest.fixture
def bench():
    """A machine that knows no generation yet."""
    return Bench()


def test_a_service_waits_until_no_assignment_is_recorded(bench):
    """Guards against two owners of what a merge makes one key."""
    bench.change(make_generation(1, ()))
    bench.change(make_generation(2))
    assert not bench.is_served()
    assert bench.machine.is_released("f", "other")
    assert bench.machine.list_waiting() == {"f/board": ("g/board",)}
    bench.read(make_tables())
    assert not bench.is_served()
    bench.read(make_tables(hot_keys={"board": {"k": OWNED[0]}}))
    assert not bench.is_served()
    bench.read(make_tables(partitions={"board": {}, "other": OWNED}))
    assert bench.is_served()


def test_one_read_a_second_and_none_once_released(bench):
    """Guards against a load on the table that grows with the traffic."""
    bench.change(make_generation(1))
    calls = []
    for _ in range(100):
        commands = bench.tick(0.05)
        calls += commands
        for command in commands:
            assert command.prefixes == ("assign/g/",)
            bench.answer(command, make_tables())
    assert len(calls) in (5, 6)
    bench.read({})
    assert not any(bench.tick(0.05) for _ in range(100))


def test_a_generation_without_aliases_needs_no_read(bench):
    """Guards against a service that stops with the store without a merge."""
    bench.change(make_generation(1, ()), make_generation(2))
    assert bench.is_served()
    assert not bench.tick(5)


def test_an_unkeyed_service_does_not_wait(bench):
    """Guards against a wait for partitions that cannot exist."""
    bench.change(make_generation(1, keyed=False))
    assert bench.is_served()
    assert not bench.tick(5)


@pytest.mark.parametrize("number", [1, 7])
def test_a_host_that_starts_after_the_merge_checks(bench, number):
    """Guards against a new host that trusts what it has not read."""
    bench.change(make_generation(number))
    assert not bench.is_served()
    bench.read({})
    assert bench.is_served()


def test_rows_of_an_earlier_generation_prove_nothing(bench):
    """Guards against a read that was sent before partitions were assigned."""
    bench.change(make_generation(1))
    (early,) = bench.tick()
    bench.change(make_generation(2, ()))
    bench.change(make_generation(3))
    bench.answer(early, {})
    assert not bench.is_served()
    bench.read({})
    assert bench.is_served()


def test_a_failed_or_lost_read_is_repeated(bench):
    """Guards against serving, or waiting for ever, while the store fails."""
    bench.change(make_generation(1))
    (command,) = bench.tick()
    bench.feed(sycamoreloft_decisions.ReadFailed(command.call))
    assert not bench.tick(0.5)
    (late,) = bench.tick(0.5)
    (command,) = bench.tick(1.0)
    bench.answer(late, {})
    assert not bench.is_served()
    bench.answer(command, {})
    assert bench.is_served()


def test_a_later_generation_keeps_the_release(bench):
    """Guards against a pause of a merged service with each submission."""
    bench.change(make_generation(1))
    bench.read({})
    bench.change(make_generation(1), make_generation(2, ("g/board", "h/board")))
    assert bench.is_served()
    bench.change(make_generation(2, ("g/board", "h/board")))
    assert bench.machine.list_waiting() == {"f/board": ("h/board",)}


@pytest.mark.parametrize("between", [True, False])
def test_a_merge_that_was_undone_is_checked_again(bench, between):
    """Guards against a release that is older than the next assignment."""
    bench.change(make_generation(1))
    bench.read({})
    if between:
        bench.change(make_generation(2, ()))
        assert bench.is_served()
    bench.change(make_generation(3))
    assert not bench.is_served()
    bench.read(make_tables())
    assert not bench.is_served()


def test_records_of_a_lost_domain_are_passed_over_while_it_is_lost(bench):
    """Guards against a wait for ever, and against the domain's return."""
    bench.change(make_generation(1, lost=True))
    bench.read(make_tables())
    assert bench.is_served()
    bench.change(make_generation(1, lost=True), make_generation(2))
    assert not bench.is_served()
    bench.change(make_generation(1, lost=True))
    assert bench.is_served()
    bench.change(make_generation(2))
    bench.read(make_tables())
    assert not bench.is_served()
    bench.read({})
    assert bench.is_served()
