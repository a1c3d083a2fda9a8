"""Tests of the delay of a canonical service until its aliases are released."""

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
    """Makes tables with one recorded partition, or with the given fields."""
    contents = fields or {"partitions": {service: OWNED}}
    return {
        GROUP: sycamoreloft_decisions.AssignmentTable(
            **{"partitions": {}, "hot_keys": {}} | contents
        )
    }


class Harness:
    """An `AliasRelease` with a clock that only tests advance."""

    def __init__(self):
        self.machine = sycamoreloft_decisions.AliasRelease()
        self.now = 100.0

    def change(self, accepted, pending=None):
        self.feed(sycamoreloft_decisions.GenerationChanged(accepted, pending))

    def tick(self, seconds=0.0):
        self.now += seconds
        return self.feed(sycamoreloft_decisions.Tick())

    def read(self, tables, seconds=1.0):
        """Advances the clock and answers the read that is due then."""
        (command,) = self.tick(seconds)
        self.answer(command, tables)

    def answer(self, command, tables):
        self.feed(sycamoreloft_decisions.AliasRowsRead(command.call, tables))

    def feed(self, event):
        return self.machine.handle(event, self.now)

    def is_served(self):
        return self.machine.is_released("f", "board")


@pytest.fixture
def harness():
    """A harness whose state machine has received no generation yet."""
    return Harness()


def test_a_service_waits_until_no_assignment_is_recorded(harness):
    """Guards against two owners of a key that a merge has made one."""
    harness.change(make_generation(1, ()))
    harness.change(make_generation(2))
    assert not harness.is_served()
    assert harness.machine.is_released("f", "other")
    assert harness.machine.list_waiting() == {"f/board": ("g/board",)}
    harness.read(make_tables())
    assert not harness.is_served()
    harness.read(make_tables(hot_keys={"board": {"k": OWNED[0]}}))
    assert not harness.is_served()
    harness.read(make_tables(partitions={"board": {}, "other": OWNED}))
    assert harness.is_served()


def test_one_read_a_second_and_none_once_released(harness):
    """Guards against reads of the store in proportion to the requests."""
    harness.change(make_generation(1))
    calls = []
    for _ in range(100):
        commands = harness.tick(0.05)
        calls += commands
        for command in commands:
            assert command.prefixes == ("assign/g/",)
            harness.answer(command, make_tables())
    assert len(calls) in (5, 6)
    harness.read({})
    assert not any(harness.tick(0.05) for _ in range(100))


def test_a_generation_without_aliases_needs_no_read(harness):
    """Guards against dependence on the store when there is no merge."""
    harness.change(make_generation(1, ()), make_generation(2))
    assert harness.is_served()
    assert not harness.tick(5)


def test_an_unkeyed_service_does_not_wait(harness):
    """Guards against a wait for partitions that cannot exist."""
    harness.change(make_generation(1, keyed=False))
    assert harness.is_served()
    assert not harness.tick(5)


@pytest.mark.parametrize("number", [1, 7])
def test_a_host_that_starts_after_the_merge_checks(harness, number):
    """Guards against a new host that serves before its first read."""
    harness.change(make_generation(number))
    assert not harness.is_served()
    harness.read({})
    assert harness.is_served()


def test_rows_of_an_earlier_generation_prove_nothing(harness):
    """Guards against trusting a read that precedes later assignments."""
    harness.change(make_generation(1))
    (early,) = harness.tick()
    harness.change(make_generation(2, ()))
    harness.change(make_generation(3))
    harness.answer(early, {})
    assert not harness.is_served()
    harness.read({})
    assert harness.is_served()


def test_a_failed_or_lost_read_is_repeated(harness):
    """Guards against serving, or waiting for ever, while the store fails."""
    harness.change(make_generation(1))
    (command,) = harness.tick()
    harness.feed(sycamoreloft_decisions.ReadFailed(command.call))
    assert not harness.tick(0.5)
    (late,) = harness.tick(0.5)
    (command,) = harness.tick(1.0)
    harness.answer(late, {})
    assert not harness.is_served()
    harness.answer(command, {})
    assert harness.is_served()


def test_a_later_generation_keeps_the_release(harness):
    """Guards against a pause of a merged service after each submission."""
    harness.change(make_generation(1))
    harness.read({})
    harness.change(
        make_generation(1), make_generation(2, ("g/board", "h/board"))
    )
    assert harness.is_served()
    harness.change(make_generation(2, ("g/board", "h/board")))
    assert harness.machine.list_waiting() == {"f/board": ("h/board",)}


@pytest.mark.parametrize("between", [True, False])
def test_a_merge_that_was_undone_is_checked_again(harness, between):
    """Guards against trusting a release that precedes later assignments."""
    harness.change(make_generation(1))
    harness.read({})
    if between:
        harness.change(make_generation(2, ()))
        assert harness.is_served()
    harness.change(make_generation(3))
    assert not harness.is_served()
    harness.read(make_tables())
    assert not harness.is_served()


def test_records_of_a_lost_domain_are_passed_over_while_it_is_lost(harness):
    """Guards against an endless wait for a failure domain declared lost.

    Guards, too, against serving once the domain is declared as running again,
    because its holder starts with the ignored records.
    """
    harness.change(make_generation(1, lost=True))
    harness.read(make_tables())
    assert harness.is_served()
    harness.change(make_generation(1, lost=True), make_generation(2))
    assert not harness.is_served()
    harness.change(make_generation(1, lost=True))
    assert harness.is_served()
    harness.change(make_generation(2))
    harness.read(make_tables())
    assert not harness.is_served()
    harness.read({})
    assert harness.is_served()
