"""Which requests upstreams of evacuated failure domains get."""

import random

import pytest

import sycamoreloft_direct
import sycamoreloft_load


def build(name, domain):
    return sycamoreloft_direct.Upstream(
        name, 1, f"{name}:1", "ledger", domain, 4, False
    )


@pytest.fixture
def pool():
    pool = sycamoreloft_load.UpstreamPool("a", random.Random(1))
    pool.update([build("u1", "a"), build("u2", "b")], 0.0)
    return pool


def test_an_evacuated_upstream_gets_requests_for_keys_for_a_time(pool):
    record = pool.choose("ledger", 0.0, False, ["u2"])
    pool.evacuations.replace(["a"], 1.0)
    # A request without a key may have been waiting for a connection.
    assert not pool.may_send(record, 1.0, 0.8, has_key=False)
    assert pool.may_send(record, 3.9, 0.8)
    # An order that is read again, beside another one, extends nothing.
    pool.evacuations.replace(["a", "x"], 3.9)
    assert not pool.may_send(record, 4.0, 0.8)
    for _ in range(100):
        assert pool.choose("ledger", 1.0, False).entry.id == "u2"
    pool.evacuations.replace([], 5.0)
    assert pool.may_send(record, 5.0, 0.8, has_key=False)
    chosen = {pool.choose("ledger", 5.0, False).entry.id for _ in range(100)}
    assert chosen == {"u1", "u2"}


def test_no_upstream_is_chosen_if_all_domains_are_evacuated(pool):
    pool.evacuations.replace(["a"], 0.0)
    assert not pool.is_service_evacuated("ledger")
    pool.evacuations.replace(["a", "b"], 0.0)
    assert pool.choose("ledger", 0.0, False) is None
    assert pool.is_service_evacuated("ledger")
    assert not pool.is_service_evacuated("unknown")


# Guards against cold upstreams that are left unused for the sake of warm ones
# that are evacuated.
def test_cold_upstreams_are_used_if_the_warm_ones_are_evacuated(pool):
    service = sycamoreloft_direct.Service("ledger", False, 0, "", 1e4, 1e3)
    pool.warm_up.set_services({"ledger": service}, 0.0)
    pool.choose("ledger", 0.0, False)
    for entries in ([build("u1", "a")], [build("u1", "a"), build("u2", "b")]):
        pool.warm_up.update(entries, 1.0, 0.001)
    assert pool.warm_up.count_cold(1.0) == 1
    times = [3.0 + n / 100 for n in range(2000)]
    assert not any(pool.warm_up.list_ready("ledger", time) for time in times)
    pool.evacuations.replace(["a"], 23.0)
    assert any(pool.warm_up.list_ready("ledger", 20 + time) for time in times)
