"""Since when the store answers, as far as a host can tell."""

import sycamoreloft_direct
from sycamoreloft_router import _direct_views, _store_availability

GRACE_S = _direct_views.RETURN_GRACE_S


def beat(witness, first, last, answered_ago_s=0.2):
    now = first
    while now <= last:
        witness.hear(answered_ago_s, now)
        now += 0.4


def test_a_host_that_was_cut_off_alone_knows_that_the_store_was_there():
    witness = _store_availability.StoreAvailability()
    beat(witness, 0.0, 15.0)
    assert witness.find_return(15.0) == 0.0


def test_without_a_coordinator_the_own_return_counts():
    witness = _store_availability.StoreAvailability()
    assert witness.find_return(15.0) == 15.0
    beat(witness, 0.0, 4.0)
    assert witness.find_return(15.0) == 15.0


def test_an_outage_for_all_is_none_of_this_host_alone():
    witness = _store_availability.StoreAvailability()
    beat(witness, 0.0, 4.0)
    for second in range(5, 15):
        # The coordinator renews leases of keys without the store.
        witness.hear(second - 4.0, float(second))
    assert witness.find_return(14.5) == 14.5
    beat(witness, 14.2, 16.0)
    assert witness.find_return(16.0) == 14.2


def test_some_lost_heartbeats_are_no_outage():
    witness = _store_availability.StoreAvailability()
    beat(witness, 0.0, 4.0)
    beat(witness, 5.2, 8.0)
    assert witness.find_return(8.2) == 0.0


def test_an_upstream_that_left_meanwhile_is_gone_at_the_return():
    """As hunted: cut off from 1 s to 13 s, the upstream gone at 7 s."""
    witness = _store_availability.StoreAvailability()
    beat(witness, 0.0, 14.6)
    view = _direct_views.UpstreamView(2.0, lambda: None)
    entry = sycamoreloft_direct.Upstream(
        "u1", 1, "10.0.0.1:1", "ledger", "z", 4, False
    )
    view.take_all({"u1": entry}, 0.0)
    view.extend_grace(witness.find_return(14.6) + GRACE_S)
    view.take_all({}, 14.6)
    (left,) = view.list_all()
    assert left.is_draining


def test_the_return_of_the_store_is_told_once():
    witness = _store_availability.StoreAvailability()
    assert not witness.hear(0.2, 1.0)
    assert not witness.hear(0.6, 1.4)
    assert not witness.hear(3.0, 4.0)
    assert witness.hear(0.1, 9.0)
    assert not witness.hear(0.3, 9.4)


def test_a_change_of_the_coordinator_is_no_return_but_a_long_silence_is():
    witness = _store_availability.StoreAvailability()
    witness.hear(0.2, 1.0)
    assert not witness.hear(0.2, 3.5)
    assert witness.hear(0.2, 9.0)
