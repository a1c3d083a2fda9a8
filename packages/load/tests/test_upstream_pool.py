"""Choice of upstreams by observed latencies and failures."""

import collections
import dataclasses
import random

import pytest

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_load import _remembered_runs, _upstream_records

RESULT = sycamoreloft_load.AttemptResult


@pytest.fixture
def pool():
    """A pool of a host in failure domain "a", with a fixed seed."""
    return sycamoreloft_load.UpstreamPool("a", random.Random(1))


def build(name, domain="a", **changes):
    values = {
        "id": name,
        "started_ms": 1,
        "address": f"{name}:1",
        "service": "ledger",
        "failure_domain": domain,
        "slots": 4,
        "is_draining": False,
    }
    return sycamoreloft_direct.Upstream(**(values | changes))


def count_choices(pool, now, is_upload=False, rounds=2_000):
    counts = collections.Counter()
    for _ in range(rounds):
        counts[pool.choose("ledger", now, is_upload).entry.id] += 1
    return counts


def finish(pool, record, result, now, seconds=0.1):
    attempt = object()
    pool.begin(record, attempt, now)
    pool.finish(record, attempt, result, now + seconds)


def find(pool, name):
    return pool.find(sycamoreloft_direct.UpstreamRun(name, 1))


def test_leaving_upstreams_are_not_chosen(pool):
    pool.update([build("u1"), build("u2", is_draining=True)], 0.0)
    assert set(count_choices(pool, 0.0)) == {"u1"}


def test_no_upstream_is_chosen_if_all_were_tried(pool):
    pool.update([build("u1")], 0.0)
    assert pool.choose("ledger", 0.0, False, ["u1"]) is None


def test_slow_upstreams_get_fewer_requests(pool):
    pool.update([build("u1"), build("u2")], 0.0)
    for _ in range(40):
        finish(pool, find(pool, "u1"), RESULT.ANSWERED, 0.0, 0.1)
        finish(pool, find(pool, "u2"), RESULT.ANSWERED, 0.0, 0.8)
    counts = count_choices(pool, 1.0)
    assert counts["u1"] > 4 * counts["u2"] > 0


# Guards against an upstream that never gets a request, because the others
# answered faster than the latency that was assumed for it.
def test_an_upstream_without_answers_gets_requests_beside_fast_ones(pool):
    pool.update([build("u1"), build("u2")], 0.0)
    finish(pool, find(pool, "u1"), RESULT.ANSWERED, 0.0, 0.002)
    assert count_choices(pool, 1.0)["u2"] > 800


# Guards against too many requests for an upstream without answers, because the
# others answer more slowly than the latency that was assumed for it.
def test_an_upstream_without_answers_gets_no_more_than_slow_ones(pool):
    pool.update([build("u1"), build("u2")], 0.0)
    finish(pool, find(pool, "u1"), RESULT.ANSWERED, 0.0, 2.0)
    assert count_choices(pool, 1.0)["u2"] < 1_200


def test_an_unreachable_upstream_is_avoided_and_tried_again(pool):
    pool.update([build("u1"), build("u2")], 0.0)
    finish(pool, find(pool, "u1"), RESULT.UNREACHABLE, 0.0)
    assert count_choices(pool, 0.5)["u1"] < 20
    assert count_choices(pool, 5.0)["u1"] > 400


def test_an_ejection_never_leaves_a_service_without_upstreams(pool):
    pool.update([build("u1")], 0.0)
    finish(pool, find(pool, "u1"), RESULT.UNREACHABLE, 0.0)
    assert count_choices(pool, 0.5)["u1"] == 2_000


def test_a_stalled_upstream_is_avoided_before_the_deadline(pool):
    pool.update([build("u1"), build("u2")], 0.0)
    pool.begin(find(pool, "u1"), object(), 0.0)
    assert count_choices(pool, 2.0)["u1"] < 20


def test_an_upstream_that_fails_half_of_its_requests_gets_fewer(pool):
    pool.update([build("u1"), build("u2")], 0.0)
    for number in range(40):
        result = RESULT.FAILED if number % 2 else RESULT.ANSWERED
        finish(pool, find(pool, "u1"), result, 0.0)
        finish(pool, find(pool, "u2"), RESULT.ANSWERED, 0.0)
    counts = count_choices(pool, 1.0)
    assert counts["u2"] > 2 * counts["u1"]


def test_large_bodies_prefer_the_failure_domain_more(pool):
    pool.update([build("u1", "a"), build("u2", "b")], 0.0)
    near = count_choices(pool, 0.0, True)["u1"]
    assert near > count_choices(pool, 0.0, False)["u1"] > 1_000


def test_the_share_of_a_silent_owner_shrinks_and_recovers(pool):
    pool.update([build("u1")], 0.0)
    record = find(pool, "u1")
    for _ in range(10):
        finish(pool, record, RESULT.SILENT, 0.0)
    admitted = sum(pool.admit(record) for _ in range(1_000))
    assert 150 < admitted < 300
    for _ in range(50):
        finish(pool, record, RESULT.ANSWERED, 1.0)
    assert all(pool.admit(record) for _ in range(100))


def test_a_new_run_starts_with_a_new_record(pool):
    pool.update([build("u1")], 0.0)
    finish(pool, find(pool, "u1"), RESULT.UNREACHABLE, 0.0)
    pool.update([build("u1", started_ms=2)], 0.1)
    record = pool.find(sycamoreloft_direct.UpstreamRun("u1", 2))
    assert not pool.is_avoided(record, 0.2)


# Guards against creating all records anew whenever one entry changes.
def test_an_entry_that_did_not_change_keeps_its_record():
    pool = sycamoreloft_load.UpstreamPool("z", random.Random(1))
    entries = [
        sycamoreloft_direct.Upstream(
            f"u{number}", 1, f"10.0.0.{number}:1", "boards", "z", 6, False
        )
        for number in range(3)
    ]
    pool.update(entries, 0.0)
    before = [pool.find(entry.run) for entry in entries]
    leaving = dataclasses.replace(entries[0], is_draining=True)
    pool.update([leaving, *entries[1:]], 1.0)
    after = [pool.find(entry.run) for entry in entries]
    assert all(old is new for old, new in zip(before, after, strict=True))
    assert after[0].leaving_since == 1.0
    pool.update([leaving, *entries[1:]], 2.0)
    assert after[0].leaving_since == 1.0
    assert after[1].leaving_since == float("inf")


# Guards against needless work per upstream. An upstream is chosen for every
# request, and services have many upstreams.
def test_upstreams_without_requests_are_not_checked_for_stalls(
    pool, monkeypatch
):
    checked = []

    def is_stalled(record, now):
        checked.append(record.entry.id)
        return False

    monkeypatch.setattr(_upstream_records, "is_stalled", is_stalled)
    pool.update([build(f"u{n}") for n in range(100)], 0.0)
    pool.begin(find(pool, "u7"), object(), 0.0)
    assert pool.choose("ledger", 0.1, False) is not None
    assert checked == ["u7"]


@pytest.mark.parametrize("slots", [4, 10_000])
@pytest.mark.parametrize("result", [RESULT.UNREACHABLE, RESULT.SILENT])
def test_an_upstream_with_many_slots_that_fails_is_hardly_chosen(
    pool, slots, result
):
    """Guards against an entry that draws the requests of all others.

    10,000 slots are the most that the platform's adapter accepts.
    """
    entries = [build(f"u{number}") for number in range(10)]
    pool.update([*entries, build("odd", slots=slots)], 0.0)
    counts = collections.Counter()
    for number in range(2_000):
        now = number * 0.005
        record = pool.choose("ledger", now, False)
        counts[record.entry.id] += 1
        is_odd = record.entry.id == "odd"
        finish(pool, record, result if is_odd else RESULT.ANSWERED, now, 0.02)
    assert counts["odd"] < 40


def pause(pool, name, pause_s, now, started_ms=1, answered_ms=0):
    run = sycamoreloft_direct.UpstreamRun(name, started_ms)
    pool.record_pause(run, pause_s, now, answered_ms)


# Guards against requests to an upstream that asked for none.
def test_a_paused_upstream_is_not_chosen_until_its_pause_ends(pool):
    pool.update([build("u1"), build("u2")], 0.0)
    pause(pool, "u1", 5.0, 1.0)
    assert set(count_choices(pool, 5.9)) == {"u2"}
    assert set(count_choices(pool, 6.0)) == {"u1", "u2"}


def test_no_upstream_is_chosen_if_all_pause(pool):
    pool.update([build("u1"), build("u2"), build("u3", is_draining=True)], 0.0)
    pause(pool, "u1", 5.0, 1.0)
    assert pool.compute_service_pause_s("ledger", 2.0) == 0.0
    pause(pool, "u2", 9.0, 1.0)
    assert pool.choose("ledger", 2.0, False) is None
    assert pool.compute_service_pause_s("ledger", 2.0) == 4.0


def test_a_later_shorter_pause_does_not_end_an_earlier_one(pool):
    pool.update([build("u1")], 0.0)
    pause(pool, "u1", 5.0, 1.0)
    pause(pool, "u1", 1.0, 2.0)
    assert pool.compute_pause_s(find(pool, "u1"), 2.0) == 4.0


def test_a_pause_lasts_while_the_entry_is_missing(pool):
    pool.update([build("u1")], 0.0)
    pause(pool, "u1", 5.0, 1.0)
    pool.update([], 2.0)
    pool.update([build("u1")], 3.0)
    assert pool.choose("ledger", 3.0, False) is None


# Guards against a restarted upstream that is shut out by the former run.
def test_a_pause_does_not_apply_to_the_next_run(pool):
    pool.update([build("u1")], 0.0)
    pause(pool, "u1", 5.0, 1.0)
    pool.update([build("u1", started_ms=2)], 2.0)
    assert pool.choose("ledger", 2.0, False) is not None


def test_the_memory_of_pauses_is_bounded(pool):
    count = _remembered_runs.MAXIMUM_REMEMBERED_PAUSES + 5
    entries = [build(f"u{number}") for number in range(count)]
    pool.update(entries, 0.0)
    for entry in entries:
        pause(pool, entry.id, 5.0, 1.0)
    pool.update([], 2.0)
    pool.update(entries, 3.0)
    free = [
        entry
        for entry in entries
        if not pool.compute_pause_s(find(pool, entry.id), 3.0)
    ]
    assert len(free) == 5


# Guards against a pause that is lost because the entry of its upstream was
# missing when the refusal arrived.
def test_a_pause_is_remembered_while_the_entry_is_missing(pool):
    pause(pool, "u1", 5.0, 1.0)
    pool.update([build("u1")], 2.0)
    assert pool.choose("ledger", 5.9, False) is None
    assert pool.choose("ledger", 6.0, False) is not None


# Guards against requests for the keys of an upstream whose entry returns long
# after it announced its shutdown, as if it had just begun.
def test_a_shutdown_began_when_it_was_first_seen(pool):
    pool.update([build("u1", is_draining=True)], 1.0)
    pool.update([], 4.0)
    pool.update([build("u1", is_draining=True)], 6.0)
    assert find(pool, "u1").leaving_since == 1.0
    assert not pool.may_send(find(pool, "u1"), 6.1, 0.8)


def test_an_entry_that_returns_as_ready_is_not_shutting_down(pool):
    pool.update([build("u1", is_draining=True)], 1.0)
    pool.update([], 4.0)
    pool.update([build("u1")], 6.0)
    assert pool.may_send(find(pool, "u1"), 6.1, 0.8)
    pool.update([build("u1", is_draining=True)], 7.0)
    assert find(pool, "u1").leaving_since == 7.0


def test_the_memory_of_shutdowns_is_bounded(pool):
    count = _remembered_runs.MAXIMUM_REMEMBERED_LEAVING_RUNS + 5
    entries = [build(f"u{n}", is_draining=True) for n in range(count)]
    pool.update(entries, 1.0)
    pool.update([], 2.0)
    pool.update(entries, 3.0)
    late = [e for e in entries if find(pool, e.id).leaving_since == 3.0]
    assert len(late) == 5


# Guards against a request that was assigned before a pause, or long before a
# shutdown, and is sent after it, also if the entry was missing meanwhile.
def test_an_assigned_request_is_not_sent_within_a_pause(pool):
    pool.update([build("u1")], 0.0)
    record = find(pool, "u1")
    assert pool.may_send(record, 1.0, 0.8)
    pool.update([], 1.0)
    pool.update([build("u1")], 1.5)
    pause(pool, "u1", 5.0, 2.0)
    assert not pool.may_send(record, 2.0, 0.8)
    assert pool.may_send(record, 7.0, 0.8)


# Guards against a pause of one run that shuts out another one with its name,
# of another service or started again.
def test_runs_with_the_same_name_pause_on_their_own(pool):
    entries = [build("u1"), build("u1", started_ms=2, service="boards")]
    pool.update(entries, 0.0)
    pause(pool, "u1", 5.0, 1.0)
    assert pool.choose("ledger", 2.0, False) is None
    assert pool.choose("boards", 2.0, False) is not None
    assert pool.compute_service_pause_s("boards", 2.0) == 0.0


# Guards against requests to a run within the pause that it asked for while the
# host knew only the entry of the run before.
@pytest.mark.parametrize(("answered_ms", "is_paused"), [(2, True), (1, False)])
def test_a_pause_that_the_next_run_may_have_asked_for_applies_to_it(
    pool, answered_ms, is_paused
):
    pool.update([build("u1")], 0.0)
    pause(pool, "u1", 5.0, 1.0, answered_ms=answered_ms)
    pool.update([build("u1", started_ms=2)], 2.0)
    assert (pool.choose("ledger", 5.9, False) is None) == is_paused
    assert pool.choose("ledger", 6.0, False) is not None


# The same, for an answer that arrives after the entry of the next run.
@pytest.mark.parametrize(("answered_ms", "is_paused"), [(2, True), (1, False)])
def test_a_late_answer_may_be_that_of_the_next_run(
    pool, answered_ms, is_paused
):
    pool.update([build("u1", started_ms=2)], 0.0)
    pause(pool, "u1", 5.0, 1.0, answered_ms=answered_ms)
    assert (pool.choose("ledger", 5.9, False) is None) == is_paused


# Guards against a request to a run that ended, which reaches the next one.
def test_an_assigned_request_is_not_sent_within_a_pause_of_the_next_run(pool):
    pool.update([build("u1")], 0.0)
    record = find(pool, "u1")
    pool.update([build("u1", started_ms=2)], 1.0)
    assert pool.may_send(record, 2.0, 0.8)
    pause(pool, "u1", 5.0, 2.0, started_ms=2, answered_ms=2)
    assert not pool.may_send(record, 2.0, 0.8)
