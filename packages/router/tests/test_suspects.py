"""Tests that suspects are kept when the holder of a group changes."""

import dataclasses
import types

import pytest

import sycamoreloft_config
from sycamoreloft_router import _group_tree, _suspect_record
import sycamoreloft_wire

NOTICE = sycamoreloft_wire.SuspectNotice("f", (b"x" * 16,), False)


@pytest.fixture
def clock(monkeypatch):
    """A clock that a test sets by `clock[0] = ...`."""
    now = [100.0]
    monkeypatch.setattr(_suspect_record.time, "monotonic", lambda: now[0])
    return now


@pytest.mark.parametrize(
    ("notice", "kept_s"),
    [
        (NOTICE, _suspect_record.SUSPECT_LIFETIME_S),
        (
            dataclasses.replace(NOTICE, guilty=True),
            _suspect_record.GUILTY_LIFETIME_S,
        ),
    ],
)
def test_notices_are_replayed_until_they_expire(clock, notice, kept_s):
    """Guards against a takeover after which a crashing request is unknown.

    Old notices of suspects must not be replayed, since these requests may have
    completed without a crash.
    """
    record = _suspect_record.SuspectRecord()
    record.add(notice)
    replayed = []
    clock[0] += kept_s
    record.replay(replayed.append)
    assert replayed == [notice]
    clock[0] += 1
    record.replay(replayed.append)
    assert replayed == [notice]


def test_every_group_of_the_fleet_receives_suspects():
    """Guards against a host that takes over a group without its suspects."""
    received = []
    tree = _group_tree.GroupTree(None, {}, None)
    for fleet in ("f", "g"):
        group = sycamoreloft_config.GroupName(fleet, "d", 0)
        tree.runtimes[str(group)] = types.SimpleNamespace(
            group=group,
            observe_suspects=lambda notice, fleet=fleet: received.append(fleet),
        )
    tree.observe_suspects(NOTICE)
    assert received == ["f"]
