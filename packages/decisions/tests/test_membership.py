"""Tests of the membership."""

import dataclasses
import random

import pytest

from sycamoreloft_decisions import _membership


@dataclasses.dataclass(frozen=True)
class Entry:
    """A member entry with the fields of the wire's."""

    host: str
    incarnation: str = "i1"
    counter: int = 0
    failure_domains: dict = dataclasses.field(
        default_factory=lambda: {"sledworks": "baleyard-north"}
    )
    groups: dict = dataclasses.field(default_factory=dict)
    generation: int = 1
    leaving: bool = False
    peer_address: str = "10.0.0.1:7001"
    caller_address: str = "10.0.0.1:7002"
    admin_address: str = "10.0.0.1:7003"


@pytest.fixture
def membership():
    return _membership.Membership(Entry("own"), random.Random(3))


def test_later_counter_replaces_an_earlier_one_only(membership):
    """Guards against an old digest that hides a newer entry."""
    membership.merge([Entry("a", counter=5, leaving=True)], 0.0)
    membership.merge([Entry("s"), Entry("a", counter=4)], 1.0)
    assert membership.find("a").leaving
    assert membership.measure_silence("a", 1.0) == 1.0


def test_restarted_host_replaces_its_earlier_incarnation(membership):
    """Guards against following a process that no longer exists."""
    membership.merge([Entry("a", "old", 900)], 0.0)
    membership.merge([Entry("a", "new", 1)], 0.1)
    membership.merge([Entry("s"), Entry("a", "old", 900)], 0.2)
    assert membership.find("a").incarnation == "new"
    membership.merge([Entry("s"), Entry("a", "old", 901)], 0.3)
    assert membership.find("a").incarnation == "new"


def test_hearsay_of_a_restart_counts_once_the_old_process_is_silent(
    membership,
):
    """Guards against waiting for a direct word that may never come."""
    membership.merge([Entry("a", "old", 900)], 0.0)
    membership.merge([Entry("s"), Entry("a", "new", 1)], 1.0)
    assert membership.find("a").incarnation == "old"
    membership.merge([Entry("s"), Entry("a", "new", 4)], 2.5)
    assert membership.find("a").incarnation == "new"


def test_suspicion_removal_and_no_return_by_old_news(membership):
    """Guards against members that stay, or return from a delayed digest."""
    membership.merge([Entry("a", counter=7)], 0.0)
    assert not membership.is_suspected("a", 1.9)
    assert membership.is_suspected("a", 2.0)
    assert membership.is_suspected("unknown", 0.0)
    membership.expire(59.0)
    assert membership.find("a") is not None
    membership.expire(60.0)
    membership.merge([Entry("s"), Entry("a", counter=7)], 61.0)
    assert membership.find("a") is None
    membership.merge([Entry("a", counter=8)], 62.0)
    assert membership.find("a") is not None


def test_contact_of_the_same_process_is_a_sign_of_life(membership):
    """Guards against suspecting a host that answers calls."""
    membership.merge([Entry("a")], 0.0)
    membership.record_contact("a", "i1", 1.5)
    membership.record_contact("a", "i2", 3.0)
    assert membership.measure_silence("a", 3.0) == 1.5


def test_digest_is_bounded_and_takes_entries_in_turn(membership):
    """Guards against oversized digests and entries that are never sent."""
    names = [f"host-{number}" for number in range(40)]
    seen = set()
    for name in names:
        membership.merge([Entry(name)], 0.0)
    for number in range(12):
        digest = membership.choose_digest(0.5 + number * 0.1)
        sizes = sum(map(_membership.estimate_size, digest))
        assert sizes <= _membership.DIGEST_BYTES
        assert digest[0].host == "own"
        seen.update(entry.host for entry in digest[1:])
    assert seen == set(names)


def test_entries_without_progress_are_not_passed_on(membership):
    """Guards against keeping a lost host alive by hearsay."""
    membership.merge([Entry("a")], 0.0)
    assert len(membership.choose_digest(9.0)) == 2
    assert len(membership.choose_digest(10.5)) == 1


def test_targets_are_one_near_member_and_another_one(membership):
    """Guards against stale news inside the domain, and unreached members."""
    far = {"sledworks": "fernrun-east"}
    for number in range(4):
        membership.merge([Entry(f"near{number}")], 0.0)
        membership.merge([Entry(f"far{number}", failure_domains=far)], 0.0)
    chosen = [membership.choose_targets() for _ in range(16)]
    assert all(pair[0].host.startswith("near") for pair in chosen)
    assert all(pair[0] != pair[1] for pair in chosen)
    assert {pair[1].host for pair in chosen} >= {f"far{n}" for n in range(4)}


def test_a_lone_host_has_no_targets(membership):
    """Guards against an error in the first seconds of a fleet."""
    assert membership.choose_targets() == []
    membership.merge([Entry("a")], 0.0)
    assert [entry.host for entry in membership.choose_targets()] == ["a"]


def test_highest_epoch_and_generation_win(membership):
    """Guards against asking a holder that was replaced."""
    membership.merge([Entry("a", groups={"g": 4}, generation=9)], 0.0)
    membership.merge([Entry("b", groups={"g": 5}, generation=3)], 0.0)
    membership.update_own(Entry("own", groups={"g": 3}))
    location = membership.locate_group("g")
    assert (location.entry.host, location.epoch) == ("b", 5)
    assert membership.locate_group("other") is None
    assert membership.highest_generation == 9
