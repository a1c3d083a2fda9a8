"""Random announcements of upstreams, and an oracle of what they saw."""

import collections

import notice_world
import pytest
import virtual_time

import sycamoreloft_load
from sycamoreloft_router import _direct_views
from sycamoreloft_standins import notice_oracle

#: Simulated seconds of each run.
PLAY_S = 60.0


def play(seed):
    """Plays a world; returns it after its end."""

    async def main():
        world = notice_world.World(seed)
        await world.play(PLAY_S)
        assert not world.errors
        return world

    return virtual_time.run(main())


# Guards against requests that reach an upstream in spite of what it announced:
# in a pause that it asked for, or after its shutdown.
@pytest.mark.parametrize("seed", range(8))
def test_hosts_obey_what_upstreams_announce(seed):
    world = play(seed)
    assert world.oracle.list_problems() == []
    # The run is of use only if much was announced and much was served.
    assert world.oracle.count_pauses() > 20
    assert world.oracle.count_announcements() > 5
    assert collections.Counter(world.outcomes)[""] > 1_000


def list_kinds(world):
    return {line.partition(":")[0] for line in world.oracle.list_problems()}


# The next tests plant faults, to guard against an oracle that finds nothing.


def test_the_oracle_finds_ignored_pauses(monkeypatch):
    monkeypatch.setattr(
        sycamoreloft_load.UpstreamPool, "record_pause", lambda *_: False
    )
    assert list_kinds(play(1)) == {"pause"}


def test_the_oracle_finds_requests_that_waited_for_a_connection(monkeypatch):
    monkeypatch.setattr(
        sycamoreloft_load.UpstreamPool, "may_send", lambda *_: True
    )
    kinds = set().union(*(list_kinds(play(seed)) for seed in range(4)))
    assert "pause" in kinds


def test_the_oracle_finds_ignored_shutdowns(monkeypatch):
    monkeypatch.setattr(
        _direct_views.UpstreamView, "record_leaving", lambda *_: False
    )
    assert list_kinds(play(1)) == {"leaving"}


def test_the_oracle_counts_arrivals_within_a_pause():
    oracle = notice_oracle.NoticeOracle(2.0)
    oracle.record_pause("h", "u", 10.0, 5.0)
    for now in (10.4, 10.6, 14.9, 15.1):
        oracle.record_arrival("h", "u", now, now)
        oracle.record_arrival("h2", "u", 11.0, 11.0)
    assert oracle.list_problems() == []
    oracle.record_arrival("h", "u", 12.0, 9.9)
    assert len(oracle.list_problems()) == 1
