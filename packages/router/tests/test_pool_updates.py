"""Passes the entries of the store to the pool and to the coordinator."""

import logging
import random

import pytest

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _direct_views, _metrics
from sycamoreloft_router.load import _pool_updates

SERVICE = sycamoreloft_direct.Service("ledger", True, 0, "", 20.0, 5.0)
BOUNDS = sycamoreloft_direct.CallerLimits(1, 1, 1.0)


EVACUATION = sycamoreloft_direct.Evacuation("a")


def build(name, domain="a", **changes):
    return sycamoreloft_direct.Upstream(
        name, 1, f"{name}:1", "ledger", domain, 4, False, **changes
    )


class Host:
    """The parts of a host that pass entries on."""

    def __init__(self):
        self.now = 0.0
        self.withdrawals = 0
        self.pool = sycamoreloft_load.UpstreamPool("a", random.Random(1))
        self.view = _direct_views.UpstreamView(
            2.0, lambda: self.updates.update()
        )
        self.updates = _pool_updates.PoolUpdates(
            self.pool,
            self.view,
            lambda: self.now,
            self._count_withdrawal,
            lambda: 1e9 + self.now,
        )

    def _count_withdrawal(self):
        self.withdrawals += 1

    def apply_service(self, service=SERVICE):
        state = sycamoreloft_direct.DesiredState(
            1, (), {"ledger": service}, BOUNDS
        )
        self.updates.apply_state(state)


@pytest.fixture
def host():
    return Host()


# Guards against requests that wait for a connection to an upstream that has
# become cold, and against keys that it cannot serve.
def test_a_cold_upstream_is_withdrawn_from_and_planned_with_its_rate(host):
    host.view.replace_all({"u1": build("u1"), "u2": build("u2")}, 0.0)
    host.apply_service()
    assert [item.warm_up_rate for item in host.updates.list_all()] == [0, 0]
    assert host.withdrawals == 0
    host.now = 5.0
    host.view.apply_changes({"u1": build("u1", warm_up_s=3.0)}, 5.0)
    assert host.withdrawals == 1
    rates = {item.id: item.warm_up_rate for item in host.updates.list_all()}
    assert rates == {"u1": 5.0, "u2": 0.0}
    metrics = _metrics.Metrics()
    host.updates.record_metrics(metrics)
    assert b"sycamoreloft_upstreams_cold 1" in metrics.render()
    host.now = 26.0
    assert not any(item.warm_up_rate for item in host.updates.list_all())


# Guards against an evacuation that takes the upstreams for leaving ones, of
# which other hosts are told, and against one that does not end.
def test_an_evacuation_frees_the_upstreams_and_ends_with_its_row(host, caplog):
    caplog.set_level(logging.INFO)
    rows = host.updates.evacuations
    rows.replace_all({})
    rows.apply_changes({"evacuate/a": EVACUATION})
    host.view.replace_all({"u1": build("u1"), "u2": build("u2", "b")}, 0.0)
    draining = {item.id for item in host.updates.list_all() if item.is_draining}
    assert draining == {"u1"}
    assert not any(item.is_draining for item in host.view.list_all())
    assert host.pool.choose("ledger", 0.0, False).entry.id == "u2"
    metrics = _metrics.Metrics()
    host.updates.record_metrics(metrics)
    assert b"sycamoreloft_evacuations 1" in metrics.render()
    # A full read replaces all evacuations; a change removes one.
    rows.apply_changes({"evacuate/x": sycamoreloft_direct.Evacuation("x")})
    rows.apply_changes({"evacuate/a": None, "config": None})
    assert not any(item.is_draining for item in host.updates.list_all())
    rows.replace_all({"evacuate/a": EVACUATION})
    rows.replace_all({"config": None})
    assert not any(item.is_draining for item in host.updates.list_all())
    assert [record.getMessage() for record in caplog.records] == [
        "upstream-listed",
        "upstream-listed",
        "evacuation-began",
        "evacuation-unknown-domain",
        "evacuation-ended",
        "evacuation-began",
        "evacuation-ended",
    ]


# Guards against a host that sends to an evacuated owner after its restart.
@pytest.mark.parametrize("is_known", [False, True])
def test_an_evacuation_that_is_older_than_the_host_is_in_force(host, is_known):
    rows = host.updates.evacuations
    host.view.replace_all({"u1": build("u1")}, 0.0)
    if is_known:
        rows.replace_all({})
    rows.replace_all({"evacuate/a": EVACUATION})
    record = host.pool.find(build("u1").run)
    assert host.pool.may_send(record, 0.0, 0.8) == is_known
