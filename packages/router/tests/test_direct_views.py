"""Views of the platform's tables: expiry, grace periods and versions."""

import logging
import math

import sycamoreloft_direct
from sycamoreloft_router import _direct_views


def build_upstream(name="u1", started_ms=1, draining=False):
    return sycamoreloft_direct.Upstream(
        name, started_ms, "10.0.0.1:1", "ledger", "z", 4, draining
    )


def test_a_gone_upstream_is_kept_as_leaving_for_a_time():
    view = _direct_views.UpstreamView(2.0, lambda: None)
    view.replace_all({"u1": build_upstream()}, 0.0)
    view.apply_changes({"u1": None}, 5.0)
    assert [upstream.is_draining for upstream in view.list_all()] == [True]
    view.sweep(6.9)
    assert view.find(build_upstream().run) is not None
    view.sweep(7.1)
    assert not view.list_all()


def test_entries_that_lapsed_in_an_outage_may_come_back():
    view = _direct_views.UpstreamView(2.0, lambda: None)
    view.replace_all({"u1": build_upstream()}, 0.0)
    view.extend_grace(12.0)
    view.replace_all({}, 10.0)
    assert [upstream.is_draining for upstream in view.list_all()] == [False]
    view.sweep(12.1)
    assert [upstream.is_draining for upstream in view.list_all()] == [True]


def test_a_new_run_replaces_the_old_one_at_once():
    view = _direct_views.UpstreamView(2.0, lambda: None)
    view.replace_all({"u1": build_upstream(started_ms=1)}, 0.0)
    view.apply_changes({"u1": build_upstream(started_ms=9)}, 1.0)
    assert [upstream.started_ms for upstream in view.list_all()] == [9]
    assert view.find(sycamoreloft_direct.UpstreamRun("u1", 1)) is None


def test_an_older_desired_state_is_ignored():
    view = _direct_views.StateView()
    bounds = sycamoreloft_direct.CallerLimits(1, 1, 1.0)
    for version in (7, 5, 6):
        view.apply_entries(
            {
                "config": sycamoreloft_direct.DesiredState(
                    version, (), {}, bounds
                )
            }
        )
    assert view.state.version == 7


def test_an_entry_removed_after_the_store_came_back_is_gone_at_once():
    view = _direct_views.UpstreamView(2.0, lambda: None)
    view.replace_all({"u1": build_upstream(), "u2": build_upstream("u2")}, 0.0)
    view.extend_grace(12.0)
    view.replace_all({"u1": build_upstream()}, 10.0)
    view.apply_changes({"u1": None}, 10.2)
    leaving = {
        upstream.id: upstream.is_draining for upstream in view.list_all()
    }
    assert leaving == {"u1": True, "u2": False}


def test_a_view_computes_its_next_expiry():
    """Guards against unnecessary sweeps and against late ones."""
    view = _direct_views.UpstreamView(2.0, lambda: None)
    view.replace_all({"u1": build_upstream(), "u2": build_upstream("u2")}, 0.0)
    assert view.compute_next_expiry() == math.inf
    view.apply_changes({"u1": None}, 5.0)
    assert view.compute_next_expiry() == 7.0
    view.extend_grace(6.5)
    view.replace_all({}, 6.0)
    assert view.compute_next_expiry() == 6.5
    view.sweep(6.5)
    assert view.compute_next_expiry() == 7.0
    view.sweep(7.0)
    assert view.compute_next_expiry() == 8.5
    view.sweep(8.5)
    assert view.compute_next_expiry() == math.inf


# Guards against a run that is used again because an earlier entry of it is
# read after its announcement.
def test_a_run_that_announced_its_shutdown_stays_draining():
    changes = []
    view = _direct_views.UpstreamView(2.0, lambda: changes.append(1))
    view.replace_all({"u1": build_upstream()}, 0.0)
    assert view.record_leaving(build_upstream().run, 0.0)
    assert not view.record_leaving(build_upstream().run, 0.0)
    assert len(changes) == 2
    view.apply_changes({"u1": None}, 1.0)
    view.sweep(9.0)
    view.replace_all({"u1": build_upstream()}, 10.0)
    assert [upstream.is_draining for upstream in view.list_all()] == [True]


def test_the_next_run_under_the_same_identifier_is_used():
    view = _direct_views.UpstreamView(2.0, lambda: None)
    view.replace_all({"u1": build_upstream()}, 0.0)
    view.record_leaving(build_upstream().run, 0.0)
    view.replace_all({"u1": build_upstream(started_ms=9)}, 1.0)
    assert [upstream.is_draining for upstream in view.list_all()] == [False]


# Guards against a late answer of the former run that shuts out the next one.
def test_an_announcement_of_a_former_run_does_not_affect_the_listed_one():
    view = _direct_views.UpstreamView(2.0, lambda: None)
    view.replace_all({"u1": build_upstream(started_ms=9)}, 0.0)
    view.record_leaving(build_upstream(started_ms=1).run, 0.0)
    assert [upstream.is_draining for upstream in view.list_all()] == [False]


def build_state(version, routes=()):
    bounds = sycamoreloft_direct.CallerLimits(1, 1, 1.0)
    return sycamoreloft_direct.DesiredState(version, routes, {}, bounds)


def test_a_newer_state_of_another_host_is_known_for_a_time():
    """Guards against a wrong version that hides missing routes for ever."""
    view = _direct_views.StateView()
    view.apply_entries({"config": build_state(5)})
    view.observe_peer(5, 0.0)
    assert not view.is_behind
    view.observe_peer(9, 1.0)
    view.observe_peer(7, 2.0)
    assert view.is_behind and view.peer_version == 9
    view.sweep(1.0 + _direct_views.PEER_STATE_MEMORY_S)
    assert not view.is_behind
    view.observe_peer(9, 10.0)
    view.apply_entries({"config": build_state(9)})
    assert not view.is_behind


def test_an_older_or_different_state_is_logged(caplog):
    """Guards against an operator's change that is ignored without a line.

    The equal state that is written again after a restore causes none.
    """
    caplog.set_level(logging.INFO)
    view = _direct_views.StateView()
    for state in (build_state(7), build_state(7), build_state(5)):
        view.apply_entries({"config": state})
    limits = sycamoreloft_direct.CallerLimits(2, 2, 2.0)
    other = sycamoreloft_direct.DesiredState(7, (), {}, limits)
    view.apply_entries({"config": other})
    ignored = [
        record.event_fields["version"]
        for record in caplog.records
        if record.getMessage() == "desired-state-ignored"
    ]
    assert ignored == [5, 7]
    assert view.state == build_state(7)
