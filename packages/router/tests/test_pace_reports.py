"""Reports of upstreams that are held back by their pace."""

import logging
import types

from sycamoreloft_router import _metrics
from sycamoreloft_router.load import _pace_reports


# Guards against a line for each change under overload, and against a gauge that
# keeps its last value when no upstream is held back any more.
def test_the_number_of_paced_upstreams_is_reported_at_intervals(caplog):
    caplog.set_level(logging.INFO)
    counts, metrics = {}, _metrics.Metrics()
    pool = types.SimpleNamespace(count_paced=lambda now: dict(counts))
    reports = _pace_reports.PaceReports(pool, metrics)
    reports.update(0.0)
    assert not caplog.records
    for tenth in range(49):
        counts["s"] = 3 + tenth % 2
        reports.update(tenth / 10)
    assert [r.event_fields["services"] for r in caplog.records] == [{"s": 3}]
    counts.clear()
    reports.update(5.0)
    assert metrics.read("sycamoreloft_upstreams_paced", "s") == 0.0
    assert caplog.records[1].event_fields["services"] == {}
