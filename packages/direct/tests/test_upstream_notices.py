"""Runs of upstreams that announced their shutdown."""

import sycamoreloft_direct
from sycamoreloft_direct import _upstream_notices


# Guards against memory that grows with each run that ever left.
def test_the_oldest_leaving_runs_are_forgotten():
    runs = sycamoreloft_direct.LeavingRuns()
    count = _upstream_notices.MAXIMUM_LEAVING_RUNS + 10
    for number in range(count):
        runs.add(sycamoreloft_direct.UpstreamRun(f"u{number}", 1))
    assert len(runs) == _upstream_notices.MAXIMUM_LEAVING_RUNS
    assert sycamoreloft_direct.UpstreamRun("u9", 1) not in runs
    assert sycamoreloft_direct.UpstreamRun(f"u{count - 1}", 1) in runs
