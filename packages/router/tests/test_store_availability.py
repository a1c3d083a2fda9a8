"""Outages of the store, inferred from the coordinator's heartbeats."""

import sycamoreloft_direct
from sycamoreloft_router import _direct_views, _store_availability

GRACE_S = _direct_views.RETURN_GRACE_S


def send_heartbeats(availability, first, last, store_age_s=0.2):
    now = first
    while now <= last:
        availability.observe_store_age(store_age_s, now)
        now += 0.4


def test_a_host_that_is_cut_off_alone_sees_no_outage():
    availability = _store_availability.StoreAvailability()
    send_heartbeats(availability, 0.0, 15.0)
    assert availability.compute_return_time(15.0) == 0.0


def test_without_heartbeats_the_own_return_counts():
    availability = _store_availability.StoreAvailability()
    assert availability.compute_return_time(15.0) == 15.0
    send_heartbeats(availability, 0.0, 4.0)
    assert availability.compute_return_time(15.0) == 15.0


def test_an_outage_for_all_hosts_is_detected():
    availability = _store_availability.StoreAvailability()
    send_heartbeats(availability, 0.0, 4.0)
    for second in range(5, 15):
        # The coordinator renews key leases without the store.
        availability.observe_store_age(second - 4.0, float(second))
    assert availability.compute_return_time(14.5) == 14.5
    send_heartbeats(availability, 14.2, 16.0)
    assert availability.compute_return_time(16.0) == 14.2


def test_some_lost_heartbeats_are_no_outage():
    availability = _store_availability.StoreAvailability()
    send_heartbeats(availability, 0.0, 4.0)
    send_heartbeats(availability, 5.2, 8.0)
    assert availability.compute_return_time(8.2) == 0.0


def test_an_upstream_that_left_meanwhile_is_gone_at_the_return():
    """Guards against requests to an upstream that left during a cut.

    The host was cut off from the store from 1 s to 13 s, and the upstream left
    at 7 s. The host must not keep its entry as if the store had been down.
    """
    availability = _store_availability.StoreAvailability()
    send_heartbeats(availability, 0.0, 14.6)
    view = _direct_views.UpstreamView(2.0, lambda: None)
    entry = sycamoreloft_direct.Upstream(
        "u1", 1, "10.0.0.1:1", "ledger", "z", 4, False
    )
    view.replace_all({"u1": entry}, 0.0)
    view.extend_grace(availability.compute_return_time(14.6) + GRACE_S)
    view.replace_all({}, 14.6)
    (left,) = view.list_all()
    assert left.is_draining


def test_a_return_of_the_store_is_reported_once():
    availability = _store_availability.StoreAvailability()
    assert not availability.observe_store_age(0.2, 1.0)
    assert not availability.observe_store_age(0.6, 1.4)
    assert not availability.observe_store_age(3.0, 4.0)
    assert availability.observe_store_age(0.1, 9.0)
    assert not availability.observe_store_age(0.3, 9.4)


def test_a_change_of_the_coordinator_is_no_return_but_a_long_silence_is():
    availability = _store_availability.StoreAvailability()
    availability.observe_store_age(0.2, 1.0)
    assert not availability.observe_store_age(0.2, 3.5)
    assert availability.observe_store_age(0.2, 9.0)
