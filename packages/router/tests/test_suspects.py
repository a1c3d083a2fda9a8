"""Tests of suspects that outlive the holder that saw them."""

import dataclasses
import types

import pytest

import sycamoreloft_config
from sycamoreloft_router import _group_tree, _suspect_record
import sycamoreloft_wire

NOTICE = sycamoreloft_wire.SuspectNotice("f", (b"x" * 16,), False)


@pytest.fixture
def clock(monkeypatch):
    """A clock that a test moves by `clock[0] = ...`."""
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
    """Guards against a takeover that forgets a crashing request.

    It must not revive suspects either that have completed since.
    """
    record = _suspect_record.SuspectRecord()
    record.add(notice)
    taken = []
    clock[0] += kept_s
    record.replay(taken.append)
    assert taken == [notice]
    clock[0] += 1
    record.replay(taken.append)
    assert taken == [notice]


def test_every_group_of_the_fleet_is_told():
    """Guards against a host that takes a group without its suspects."""
    told = []
    tree = _group_tree.GroupTree(None, {}, None)
    for fleet in ("f", "g"):
        group = sycamoreloft_config.GroupName(fleet, "d", 0)
        tree.runtimes[str(group)] = types.SimpleNamespace(
            group=group,
            observe_suspects=lambda notice, fleet=fleet: told.append(fleet),
        )
    tree.observe_suspects(NOTICE)
    assert told == ["f"]
