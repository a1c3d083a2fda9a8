"""Revocations of keys from owners that lost them without answering."""

import dataclasses
import itertools

import pytest

import sycamoreloft_direct
from sycamoreloft_direct import _revocations

SERVICE = "boards"
LAST = sycamoreloft_direct.KEY_COUNT - 1


def build(number):
    return sycamoreloft_direct.Upstream(
        f"u{number}", 1, f"u{number}:1", SERVICE, "z", 6, False
    )


@pytest.fixture
def revocations():
    numbers = itertools.count(1)
    tracker = _revocations.Revocations(
        lambda: next(numbers), lambda: next(numbers), has_predecessor=False
    )
    listed = {build(number).run: build(number) for number in range(20)}
    tracker.update_upstreams(listed, set(), 0.0)
    return tracker


def lose(revocations, number, first, last, owns_nothing=True):
    keys = _revocations.LostKeys(SERVICE, first, last)
    revocations.add(build(number).run, keys, 0.0, owns_nothing=owns_nothing)


# Guards against an upstream that becomes reachable again but gets no release.
def test_a_release_is_repeated_until_it_is_answered(revocations):
    lose(revocations, 0, 5, 9)
    now = 0.0
    fences = []
    for _ in range(5):
        (release,) = revocations.list_due(now)
        assert release.address == "u0:1"
        fences.append(release.fence)
        assert not revocations.list_due(now)
        now += 0.3
        revocations.finish(release.order, False, now)
        now += _revocations.RETRY_S
    assert fences == sorted(set(fences))
    (release,) = revocations.list_due(now)
    assert revocations.is_pending(release.run)
    assert revocations.finish(release.order, True, now)
    assert not revocations.is_pending(release.run)
    assert not revocations.list_due(now + 1.0)


# Guards against a coordinator that spends its time on connections to a
# partitioned failure domain, and against slow releases after the partition.
def test_an_answer_makes_all_other_releases_due(revocations):
    for number in range(20):
        lose(revocations, number, 0, 9)
    first = revocations.list_due(0.0)
    assert len(first) == _revocations.MAXIMUM_OPEN_ORDERS
    assert not revocations.list_due(0.1)
    revocations.finish(first[0].order, True, 0.2)
    assert len(revocations.list_due(0.2)) == 20 - len(first)


# Guards against a late grant of one range while the release of another range
# waits for the requests on that range to finish.
def test_an_owner_without_other_keys_gets_one_release(revocations):
    lose(revocations, 0, 0, 9, owns_nothing=False)
    (release,) = revocations.list_due(0.0)
    lose(revocations, 0, 20, 29, owns_nothing=False)
    lose(revocations, 0, 30, 39, owns_nothing=True)
    assert (release.first, release.last) == (0, 9)
    revocations.finish(release.order, True, 0.1)
    (release,) = revocations.list_due(0.1)
    assert (release.first, release.last) == (0, LAST)
    revocations.finish(release.order, True, 0.2)
    assert not revocations.is_pending(release.run)


def build_successor():
    """Returns the revocations of a coordinator that has a predecessor."""
    numbers = itertools.count(1)
    tracker = _revocations.Revocations(
        lambda: next(numbers), lambda: next(numbers), has_predecessor=True
    )
    tracker.update_upstreams({build(0).run: build(0)}, set(), 0.0)
    return tracker


# Guards against healthy upstreams that get no keys for a long time because
# releases to them fail.
def test_an_upstream_that_lost_no_keys_is_given_up_early(revocations):
    successor = build_successor()
    run = build(0).run
    (release,) = successor.list_due(0.0)
    successor.finish(release.order, False, 0.1)
    assert successor.is_pending(run)
    successor.list_due(_revocations.PRECAUTION_GIVE_UP_S + 0.1)
    assert not successor.is_pending(run)
    lose(revocations, 0, 0, 9)
    revocations.list_due(_revocations.PRECAUTION_GIVE_UP_S + 0.1)
    assert revocations.is_pending(run)


# Guards against a release for an ended run that makes the next run release its
# keys.
def test_a_later_run_gets_no_release_of_an_earlier_run(revocations):
    lose(revocations, 0, 0, 9)
    later = dataclasses.replace(build(0), started_ms=2)
    revocations.update_upstreams({later.run: later}, {later.run}, 1.0)
    assert not revocations.list_due(1.0)
