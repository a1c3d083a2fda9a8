"""Decisions under load: which upstream gets a request, and how many.

Nothing in this package does I/O or reads a clock. Callers pass in the current
time, in seconds.
"""

from sycamoreloft_load._reported_loads import HeardLoad, ReportedLoad
from sycamoreloft_load._shared_loads import (
    ENCODED_BYTES,
    MAXIMUM_SHARED_LOADS,
    LoadTeller,
    SharedLoad,
    SharedLoads,
    compute_message_limit,
    compute_run_number,
    index_runs,
)
from sycamoreloft_load._upstream_pool import UpstreamPool
from sycamoreloft_load._upstream_records import (
    MINIMUM_STALL_S,
    AttemptResult,
    UpstreamRecord,
)

__all__ = [
    "ENCODED_BYTES",
    "MAXIMUM_SHARED_LOADS",
    "MINIMUM_STALL_S",
    "AttemptResult",
    "HeardLoad",
    "LoadTeller",
    "ReportedLoad",
    "SharedLoad",
    "SharedLoads",
    "UpstreamPool",
    "UpstreamRecord",
    "compute_message_limit",
    "compute_run_number",
    "index_runs",
]
