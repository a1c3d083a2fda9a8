"""Releases at owners that lost their keys without answering."""

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
    item = _revocations.Revocations(
        lambda: next(numbers), lambda: next(numbers), has_predecessor=False
    )
    listed = {build(number).run: build(number) for number in range(20)}
    item.update_upstreams(listed, set(), 0.0)
    return item


def lose(revocations, number, first, last, owns_nothing=True):
    keys = _revocations.LostKeys(SERVICE, first, last)
    revocations.add(build(number).run, keys, 0.0, owns_nothing=owns_nothing)


# Guards against an upstream that is reached again and never told.
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


# Guards against a coordinator that is busy with connections to a failure
# domain that is cut off, and against slow releases once the cut has ended.
def test_an_answer_lets_all_others_be_tried(revocations):
    for number in range(20):
        lose(revocations, number, 0, 9)
    first = revocations.list_due(0.0)
    assert len(first) == _revocations.MOST_AT_ONCE
    assert not revocations.list_due(0.1)
    revocations.finish(first[0].order, True, 0.2)
    assert len(revocations.list_due(0.2)) == 20 - len(first)


# Guards against a late grant of one range while the release of another one
# waits for the work on it.
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
