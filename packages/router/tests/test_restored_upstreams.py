"""Entries of upstreams in a store that was restored from an older copy."""

import pytest

import sycamoreloft_direct
from sycamoreloft_router import _direct_views, _retired_runs


def build_upstream(name="u1", started_ms=5, draining=False):
    return sycamoreloft_direct.Upstream(
        name, started_ms, "10.0.0.1:1", "ledger", "z", 4, draining
    )


@pytest.fixture
def view():
    """Returns a view with the upstreams u1 and u2, both ready."""
    upstreams = _direct_views.UpstreamView(2.0, lambda: None)
    upstreams.replace_all(
        {"u1": build_upstream(), "u2": build_upstream("u2")}, 0.0
    )
    return upstreams


def list_states(view):
    return {
        upstream.id: (upstream.started_ms, upstream.is_draining)
        for upstream in view.list_all()
    }


def test_a_draining_upstream_is_not_used_again_after_a_restore(view):
    """Guards against requests to an upstream whose leaving was acknowledged.

    The copy lists it as ready, and the upstream may write that once more.
    """
    view.apply_changes({"u1": build_upstream(draining=True)}, 1.0)
    view.record_restore(3.0)
    view.replace_all({"u1": build_upstream(), "u2": build_upstream("u2")}, 3.0)
    assert list_states(view) == {"u1": (5, True), "u2": (5, False)}
    view.apply_changes({"u1": build_upstream()}, 4.0)
    view.sweep(30.0)
    assert list_states(view) == {"u1": (5, True), "u2": (5, False)}


def test_a_draining_upstream_that_had_gone_is_not_used_after_a_restore(view):
    """Guards against forgetting that a removed upstream was draining."""
    view.apply_changes({"u1": build_upstream(draining=True)}, 1.0)
    view.apply_changes({"u1": None}, 2.0)
    view.sweep(10.0)
    assert "u1" not in list_states(view)
    view.record_restore(11.0)
    view.replace_all({"u1": build_upstream(), "u2": build_upstream("u2")}, 11.0)
    view.sweep(60.0)
    assert list_states(view)["u1"] == (5, True)


def test_an_upstream_that_left_without_notice_is_used_only_if_it_stays(view):
    """Guards against requests to an upstream that left, and against losing one.

    The entry may have been removed because the upstream left, or because it
    was silent for a while.
    """
    view.apply_changes({"u1": None}, 1.0)
    view.record_restore(3.0)
    view.replace_all({"u1": build_upstream(), "u2": build_upstream("u2")}, 3.0)
    assert list_states(view)["u1"] == (5, True)
    until = 3.0 + _retired_runs.DOUBT_S
    assert view.compute_next_expiry() == until
    view.sweep(until)
    assert list_states(view)["u1"] == (5, False)


def test_an_upstream_that_left_is_gone_if_the_restored_entry_lapses(view):
    """Guards against using the entry when the store has removed it again."""
    view.apply_changes({"u1": None}, 1.0)
    view.record_restore(3.0)
    view.replace_all({"u1": build_upstream(), "u2": build_upstream("u2")}, 3.0)
    view.apply_changes({"u1": None}, 6.0)
    view.sweep(3.0 + _retired_runs.DOUBT_S)
    assert "u1" not in list_states(view)


def test_an_earlier_run_does_not_replace_the_known_one_after_a_restore(view):
    """Guards against taking a run that is alive for one that has ended.

    The restarted upstream writes its entry again; if it does not, it is gone.
    """
    view.apply_changes({"u1": build_upstream(started_ms=9)}, 1.0)
    restored = {"u1": build_upstream(), "u2": build_upstream("u2")}
    view.record_restore(3.0)
    view.replace_all(restored, 3.0)
    assert list_states(view)["u1"] == (9, False)
    view.replace_all(restored, 4.0)
    view.apply_changes({"u1": build_upstream(started_ms=9)}, 4.5)
    view.sweep(8.0)
    assert list_states(view)["u1"] == (9, False)
    view.replace_all(restored, 9.0)
    view.sweep(9.0)
    assert list_states(view)["u1"] == (9, True)


def test_an_earlier_run_of_an_upstream_that_left_is_not_listed(view):
    """Guards against requests to a run that ended before another one did."""
    view.apply_changes({"u1": build_upstream(started_ms=9)}, 1.0)
    view.apply_changes({"u1": None}, 2.0)
    view.sweep(5.0)
    view.record_restore(6.0)
    view.replace_all({"u1": build_upstream(), "u2": build_upstream("u2")}, 6.0)
    assert set(list_states(view)) == {"u2"}


def test_a_later_run_is_used_after_a_restore(view):
    """Guards against keeping a restarted upstream out with its earlier run."""
    view.apply_changes({"u1": build_upstream(draining=True)}, 1.0)
    view.record_restore(3.0)
    view.replace_all({"u2": build_upstream("u2")}, 3.0)
    view.apply_changes({"u1": build_upstream(started_ms=9)}, 4.0)
    assert list_states(view)["u1"] == (9, False)


def test_without_a_restore_entries_are_taken_as_they_are(view):
    """Guards against doubting what an upstream itself wrote last."""
    view.apply_changes({"u1": build_upstream(draining=True)}, 1.0)
    view.apply_changes({"u1": build_upstream()}, 2.0)
    view.apply_changes({"u2": None}, 3.0)
    view.apply_changes({"u2": build_upstream("u2")}, 4.0)
    assert list_states(view) == {"u1": (5, False), "u2": (5, False)}


def test_old_knowledge_is_forgotten(view):
    """Guards against an upstream that is kept out for ever."""
    view.apply_changes({"u1": build_upstream(draining=True)}, 1.0)
    view.record_restore(3.0)
    late = 4.0 + _retired_runs.MEMORY_S
    view.replace_all({"u1": build_upstream(), "u2": build_upstream("u2")}, late)
    assert list_states(view)["u1"] == (5, False)


def test_the_memory_of_retired_runs_is_bounded():
    """Guards against a table with ever new upstreams."""
    retired = _retired_runs.RetiredRuns()
    for number in range(_retired_runs.MAXIMUM_RUNS + 5):
        run = sycamoreloft_direct.UpstreamRun(f"u{number}", 1)
        retired.record(run, _retired_runs.Retirement.GONE, 0.0)
    assert len(retired._runs) == _retired_runs.MAXIMUM_RUNS
