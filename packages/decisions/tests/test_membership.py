"""Tests of the membership."""

import dataclasses
import random

import pytest

from sycamoreloft_decisions import membership


@dataclasses.dataclass(frozen=True)
class Entry:
    """A member entry with the fields of the wire's."""

    host: str
    incarnation: str = "i1"
    version: int = 0
    failure_domains: dict = dataclasses.field(
        default_factory=lambda: {"sledworks": "baleyard-north"}
    )
    groups: dict = dataclasses.field(default_factory=dict)
    generation: int = 1
    leaving: bool = False
    peer_address: str = "10.0.0.1:7001"
    caller_address: str = "10.0.0.1:7002"
    admin_address: str = "10.0.0.1:7003"


@dataclasses.dataclass(frozen=True)
class Beat:
    """A heartbeat with the fields of the wire's."""

    host: str
    incarnation: str = "i1"
    counter: int = 1


def tell(members, now, *entries, sender=None, beats=()):
    """Gives a digest: by the first entry's host, or by another sender."""
    first = sender or entries[0].host
    incarnation = entries[0].incarnation if entries and not sender else "i1"
    own = Beat(first, incarnation, -1)
    members.merge([own, *beats], entries, now)


@pytest.fixture
def members():
    return membership.Membership(Entry("own"), random.Random(3))


def test_later_version_replaces_an_earlier_one_only(members):
    """Guards against an old digest that hides a newer entry."""
    tell(members, 0.0, Entry("a", version=5, leaving=True))
    tell(members, 1.0, Entry("a", version=4), sender="s")
    assert members.get_entry("a").leaving
    tell(members, 1.0, Entry("a", version=6), sender="s")
    assert not members.get_entry("a").leaving


def test_only_new_heartbeats_are_progress(members):
    """Guards against a lost host that old digests keep alive."""
    tell(members, 0.0, Entry("a"), beats=[Beat("a", counter=7)])
    tell(members, 1.0, sender="s", beats=[Beat("a", counter=7)])
    tell(members, 1.2, Entry("a", version=9), sender="s")
    assert members.measure_silence("a", 1.5) == 1.5
    tell(members, 1.5, sender="s", beats=[Beat("a", counter=8)])
    assert members.measure_silence("a", 1.5) == 0.0


def test_restarted_host_replaces_its_earlier_incarnation(members):
    """Guards against following a process that no longer exists."""
    tell(members, 0.0, Entry("a", "old", 900))
    tell(members, 0.1, Entry("a", "new", 1))
    tell(members, 0.2, Entry("a", "old", 900), sender="s")
    assert members.get_entry("a").incarnation == "new"
    tell(members, 5.0, Entry("a", "old", 901), sender="s")
    assert members.get_entry("a").incarnation == "new"


def test_hearsay_of_a_restart_counts_once_the_old_process_is_silent(
    members,
):
    """Guards against waiting for a direct word that may never come."""
    tell(members, 0.0, Entry("a", "old", 900))
    tell(members, 1.0, Entry("a", "new", 1), sender="s")
    assert members.get_entry("a").incarnation == "old"
    tell(members, 2.5, Entry("a", "new", 4), sender="s")
    assert members.get_entry("a").incarnation == "new"


def test_suspicion_removal_and_no_return_by_old_news(members):
    """Guards against members that stay, or return from a delayed digest."""
    tell(members, 0.0, Entry("a"), beats=[Beat("a", counter=7)])
    assert not members.is_suspected("a", 1.9)
    assert members.is_suspected("a", 2.0)
    assert members.is_suspected("unknown", 0.0)
    members.expire(59.0)
    assert members.get_entry("a") is not None
    members.expire(60.0)
    beats = [Beat("a", counter=7)]
    tell(members, 61.0, Entry("a"), sender="s", beats=beats)
    assert members.get_entry("a") is None
    tell(members, 62.0, sender="s", beats=[Beat("a", counter=8)])
    assert members.get_entry("a") is not None


def test_contact_of_the_same_process_is_a_sign_of_life(members):
    """Guards against suspecting a host that answers calls."""
    tell(members, 0.0, Entry("a"))
    members.record_contact("a", "i1", 1.5)
    members.record_contact("a", "i2", 3.0)
    assert members.measure_silence("a", 3.0) == 1.5


def test_digest_is_bounded_and_takes_entries_in_turn(members):
    """Guards against oversized digests and entries that are never sent."""
    names = [f"host-{number}" for number in range(40)]
    seen = set()
    for name in names:
        tell(members, 0.0, Entry(name))
    for number in range(60):
        now = 3.0 + number
        beats = [Beat(name, counter=number + 1) for name in names]
        tell(members, now, sender="s", beats=beats)
        digest = members.build_digest(now, Entry("s"))
        sizes = sum(map(membership.estimate_size, digest.entries))
        assert sizes <= membership.DIGEST_BYTES
        assert len(digest.heartbeats) <= membership.HEARTBEATS
        seen.update(entry.host for entry in digest.entries)
    assert seen >= set(names)


def test_heartbeats_of_the_domain_are_passed_on_in_turn(members):
    """Guards against a member whose signs of life are never passed on."""
    names = [f"host-{number}" for number in range(20)]
    for name in names:
        tell(members, 0.0, Entry(name), beats=[Beat(name)])
    seen = set()
    for number in range(3):
        digest = members.build_digest(0.1 * number, Entry("s"))
        seen.update(beat.host for beat in digest.heartbeats)
    assert seen == set(names)


def test_a_changed_entry_is_sent_for_some_rounds(members):
    """Guards against a new holder that only its first targets know."""
    tell(members, 0.0, Entry("a"))
    members.build_digest(9.0, Entry("s"))
    tell(members, 10.0, Entry("a", version=1, groups={"g": 2}))
    members.update_own_entry(Entry("own", version=1), 10.0)
    digest = members.build_digest(10.1, Entry("s"))
    assert [entry.host for entry in digest.entries] == ["own", "a"]
    later = members.build_digest(13.0, Entry("s"))
    assert "own" not in [entry.host for entry in later.entries]


def test_silent_members_are_not_passed_on(members):
    """Guards against keeping a lost host alive by hearsay."""
    tell(members, 0.0, Entry("a"), beats=[Beat("a")])
    assert members.build_digest(1.0, Entry("s")).heartbeats
    late = members.build_digest(10.5, Entry("s"))
    assert (late.heartbeats, late.entries) == ([], [])


def test_targets_are_one_near_member_and_another_one(members):
    """Guards against stale news inside the domain, and unreached members."""
    far = {"sledworks": "fernrun-east"}
    for number in range(4):
        tell(members, 0.0, Entry(f"near{number}"))
        tell(members, 0.0, Entry(f"far{number}", failure_domains=far))
    chosen = [members.choose_targets() for _ in range(16)]
    assert all(pair[0].host.startswith("near") for pair in chosen)
    assert all(pair[0] != pair[1] for pair in chosen)
    assert {pair[1].host for pair in chosen} >= {f"far{n}" for n in range(4)}


def test_a_lone_host_has_no_targets(members):
    """Guards against an error in the first seconds of a fleet."""
    assert members.choose_targets() == []
    tell(members, 0.0, Entry("a"))
    assert [entry.host for entry in members.choose_targets()] == ["a"]


def test_highest_epoch_and_generation_win(members):
    """Guards against asking a holder that was replaced."""
    tell(members, 0.0, Entry("a", groups={"g": 4}, generation=9))
    tell(members, 0.0, Entry("b", groups={"g": 5}, generation=3))
    members.update_own_entry(Entry("own", groups={"g": 3}), 0.0)
    location = members.locate_group("g")
    assert (location.entry.host, location.epoch) == ("b", 5)
    assert members.locate_group("other") is None
    assert members.highest_generation == 9


def test_a_group_that_was_given_up_or_whose_host_is_gone_is_not_located(
    members,
):
    """Guards against asking a host that no longer holds the group."""
    members.update_own_entry(Entry("own", groups={"g": 3}), 0.0)
    tell(members, 0.0, Entry("a", version=1, groups={"g": 4, "h": 1}))
    tell(members, 0.1, Entry("a", version=2, groups={"h": 2}))
    assert members.locate_group("g").entry.host == "own"
    assert members.locate_group("h").epoch == 2
    tell(members, 0.2, Entry("a", "new", groups={"g": 6}))
    assert members.locate_group("h") is None
    assert members.locate_group("g").epoch == 6
    members.expire(61.0)
    assert members.locate_group("g").epoch == 3
    members.expire(2000.0)
    members.update_own_entry(Entry("own"), 2000.0)
    assert members.locate_group("g") is None


def test_a_new_host_gets_all_members_at_once(members):
    """Guards against a restarted host that knows no holder for seconds."""
    far = {"sledworks": "fernrun-east"}
    for number in range(20):
        beats = [Beat(f"host-{number}")]
        tell(members, 0.0, Entry(f"host-{number}"), beats=beats)
    holder = Entry("holder", failure_domains=far, groups={"g": 4})
    tell(members, 0.0, holder, beats=[Beat("holder")])
    digest = members.build_full_digest(1.0)
    new = membership.Membership(Entry("new"), random.Random(1))
    new.merge([Beat("own", counter=5), *digest.heartbeats], digest.entries, 1.0)
    assert new.locate_group("g").entry.host == "holder"
    assert len(new.list_other_members()) == 22
    assert not new.is_suspected("host-7", 1.5)


def test_holders_are_listed_first(members, monkeypatch):
    """Guards against a bounded list that leaves out what callers need."""
    monkeypatch.setattr(membership, "LISTED_MEMBERS", 2)
    for name in ("a", "b", "c"):
        tell(members, 0.0, Entry(name))
    tell(members, 0.0, Entry("z", groups={"g": 1}))
    listed = [entry.host for entry in members.build_full_digest(0.0).entries]
    assert listed[:2] == ["own", "z"]
    assert len(listed) == 3
