"""Tests of the membership."""

import dataclasses
import random

import pytest

from sycamoreloft_decisions import membership


@dataclasses.dataclass(frozen=True)
class Entry:
    """A member entry with the fields of `sycamoreloft_wire.MemberEntry`."""

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
class Heartbeat:
    """A heartbeat with the fields of `sycamoreloft_wire.Heartbeat`."""

    host: str
    incarnation: str = "i1"
    counter: int = 1


def deliver_digest(members, now, *entries, sender=None, received=()):
    """Merges a digest from `sender`, by default the host of the first entry."""
    first = sender or entries[0].host
    incarnation = entries[0].incarnation if entries and not sender else "i1"
    own = Heartbeat(first, incarnation, -1)
    members.merge([own, *received], entries, now)


@pytest.fixture
def members():
    return membership.Membership(Entry("own"), random.Random(3))


def test_later_version_replaces_an_earlier_one_only(members):
    """Guards against an old digest that hides a newer entry."""
    deliver_digest(members, 0.0, Entry("a", version=5, leaving=True))
    deliver_digest(members, 1.0, Entry("a", version=4), sender="s")
    assert members.get_entry("a").leaving
    deliver_digest(members, 1.0, Entry("a", version=6), sender="s")
    assert not members.get_entry("a").leaving


def test_only_new_heartbeats_are_progress(members):
    """Guards against a lost host that old digests keep alive."""
    deliver_digest(
        members, 0.0, Entry("a"), received=[Heartbeat("a", counter=7)]
    )
    deliver_digest(
        members, 1.0, sender="s", received=[Heartbeat("a", counter=7)]
    )
    deliver_digest(members, 1.2, Entry("a", version=9), sender="s")
    assert members.measure_silence("a", 1.5) == 1.5
    deliver_digest(
        members, 1.5, sender="s", received=[Heartbeat("a", counter=8)]
    )
    assert members.measure_silence("a", 1.5) == 0.0


def test_restarted_host_replaces_its_earlier_incarnation(members):
    """Guards against returning to a process that no longer exists."""
    deliver_digest(members, 0.0, Entry("a", "old", 900))
    deliver_digest(members, 0.1, Entry("a", "new", 1))
    deliver_digest(members, 0.2, Entry("a", "old", 900), sender="s")
    assert members.get_entry("a").incarnation == "new"
    deliver_digest(members, 5.0, Entry("a", "old", 901), sender="s")
    assert members.get_entry("a").incarnation == "new"


def test_relayed_restart_counts_once_the_old_process_is_silent(
    members,
):
    """Guards against requiring a direct message from the new process."""
    deliver_digest(members, 0.0, Entry("a", "old", 900))
    deliver_digest(members, 1.0, Entry("a", "new", 1), sender="s")
    assert members.get_entry("a").incarnation == "old"
    deliver_digest(members, 2.5, Entry("a", "new", 4), sender="s")
    assert members.get_entry("a").incarnation == "new"


def test_suspicion_removal_and_no_return_by_old_news(members):
    """Guards against keeping lost members, or adding them again.

    A delayed digest may contain an old entry or heartbeat.
    """
    deliver_digest(
        members, 0.0, Entry("a"), received=[Heartbeat("a", counter=7)]
    )
    assert not members.is_suspected("a", 1.9)
    assert members.is_suspected("a", 2.0)
    assert members.is_suspected("unknown", 0.0)
    members.expire(59.0)
    assert members.get_entry("a") is not None
    members.expire(60.0)
    received = [Heartbeat("a", counter=7)]
    deliver_digest(members, 61.0, Entry("a"), sender="s", received=received)
    assert members.get_entry("a") is None
    deliver_digest(
        members, 62.0, sender="s", received=[Heartbeat("a", counter=8)]
    )
    assert members.get_entry("a") is not None


def test_contact_of_the_same_process_is_a_sign_of_life(members):
    """Guards against suspecting a host that sends messages."""
    deliver_digest(members, 0.0, Entry("a"))
    members.record_contact("a", "i1", 1.5)
    members.record_contact("a", "i2", 3.0)
    assert members.measure_silence("a", 3.0) == 1.5


def test_digest_is_bounded_and_takes_entries_in_turn(members):
    """Guards against oversized digests and entries that are never sent."""
    names = [f"host-{number}" for number in range(40)]
    seen = set()
    for name in names:
        deliver_digest(members, 0.0, Entry(name))
    for number in range(60):
        now = 3.0 + number
        received = [Heartbeat(name, counter=number + 1) for name in names]
        deliver_digest(members, now, sender="s", received=received)
        digest = members.build_digest(now, Entry("s"))
        sizes = sum(map(membership.estimate_size, digest.entries))
        assert sizes <= membership.MAXIMUM_DIGEST_BYTES
        assert len(digest.heartbeats) <= membership.MAXIMUM_DIGEST_HEARTBEATS
        seen.update(entry.host for entry in digest.entries)
    assert seen >= set(names)


def test_heartbeats_of_the_domain_are_passed_on_in_turn(members):
    """Guards against members whose heartbeats are never relayed."""
    names = [f"host-{number}" for number in range(20)]
    for name in names:
        deliver_digest(members, 0.0, Entry(name), received=[Heartbeat(name)])
    seen = set()
    for number in range(3):
        digest = members.build_digest(0.1 * number, Entry("s"))
        seen.update(beat.host for beat in digest.heartbeats)
    assert seen == set(names)


def test_a_changed_entry_is_sent_for_some_rounds(members):
    """Guards against a change that only the first targets receive."""
    deliver_digest(members, 0.0, Entry("a"))
    members.build_digest(9.0, Entry("s"))
    deliver_digest(members, 10.0, Entry("a", version=1, groups={"g": 2}))
    members.update_own_entry(Entry("own", version=1), 10.0)
    digest = members.build_digest(10.1, Entry("s"))
    assert [entry.host for entry in digest.entries] == ["own", "a"]
    later = members.build_digest(13.0, Entry("s"))
    assert "own" not in [entry.host for entry in later.entries]


def test_silent_members_are_not_passed_on(members):
    """Guards against hosts that relay a lost member to each other forever."""
    deliver_digest(members, 0.0, Entry("a"), received=[Heartbeat("a")])
    assert members.build_digest(1.0, Entry("s")).heartbeats
    late = members.build_digest(10.5, Entry("s"))
    assert (late.heartbeats, late.entries) == ([], [])


def test_targets_are_one_near_member_and_another_one(members):
    """Guards against stale entries in the domain, and members left out."""
    far = {"sledworks": "fernrun-east"}
    for number in range(4):
        deliver_digest(members, 0.0, Entry(f"near{number}"))
        deliver_digest(members, 0.0, Entry(f"far{number}", failure_domains=far))
    chosen = [members.choose_targets() for _ in range(16)]
    assert all(pair[0].host.startswith("near") for pair in chosen)
    assert all(pair[0] != pair[1] for pair in chosen)
    assert {pair[1].host for pair in chosen} >= {f"far{n}" for n in range(4)}


def test_a_lone_host_has_no_targets(members):
    """Guards against an error on the first host that starts."""
    assert members.choose_targets() == []
    deliver_digest(members, 0.0, Entry("a"))
    assert [entry.host for entry in members.choose_targets()] == ["a"]


def test_highest_epoch_and_generation_win(members):
    """Guards against sending requests to a holder that was replaced."""
    deliver_digest(members, 0.0, Entry("a", groups={"g": 4}, generation=9))
    deliver_digest(members, 0.0, Entry("b", groups={"g": 5}, generation=3))
    members.update_own_entry(Entry("own", groups={"g": 3}), 0.0)
    location = members.locate_group("g")
    assert (location.entry.host, location.epoch) == ("b", 5)
    assert members.locate_group("other") is None
    assert members.highest_generation == 9


def test_a_group_that_was_given_up_or_whose_host_is_gone_is_not_located(
    members,
):
    """Guards against locating a host that no longer holds the group."""
    members.update_own_entry(Entry("own", groups={"g": 3}), 0.0)
    deliver_digest(members, 0.0, Entry("a", version=1, groups={"g": 4, "h": 1}))
    deliver_digest(members, 0.1, Entry("a", version=2, groups={"h": 2}))
    assert members.locate_group("g").entry.host == "own"
    assert members.locate_group("h").epoch == 2
    deliver_digest(members, 0.2, Entry("a", "new", groups={"g": 6}))
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
        received = [Heartbeat(f"host-{number}")]
        deliver_digest(members, 0.0, Entry(f"host-{number}"), received=received)
    holder = Entry("holder", failure_domains=far, groups={"g": 4})
    deliver_digest(members, 0.0, holder, received=[Heartbeat("holder")])
    digest = members.build_full_digest(1.0)
    new = membership.Membership(Entry("new"), random.Random(1))
    new.merge(
        [Heartbeat("own", counter=5), *digest.heartbeats], digest.entries, 1.0
    )
    assert new.locate_group("g").entry.host == "holder"
    assert len(new.list_other_members()) == 22
    assert not new.is_suspected("host-7", 1.5)


def test_holders_are_listed_first(members, monkeypatch):
    """Guards against a truncated list without the holders."""
    monkeypatch.setattr(membership, "MAXIMUM_LISTED_MEMBERS", 2)
    for name in ("a", "b", "c"):
        deliver_digest(members, 0.0, Entry(name))
    deliver_digest(members, 0.0, Entry("z", groups={"g": 1}))
    listed = [entry.host for entry in members.build_full_digest(0.0).entries]
    assert listed[:2] == ["own", "z"]
    assert len(listed) == 3
