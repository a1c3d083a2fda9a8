"""Decisions under load: which upstream gets a request, and how many.

Nothing in this package does I/O or reads a clock. Callers pass in the current
time, in seconds.
"""

from sycamoreloft_load._reported_loads import HeardLoad, ReportedLoad
from sycamoreloft_load._upstream_pool import UpstreamPool
from sycamoreloft_load._upstream_records import (
    MINIMUM_STALL_S,
    AttemptResult,
    UpstreamRecord,
)

__all__ = [
    "MINIMUM_STALL_S",
    "AttemptResult",
    "HeardLoad",
    "ReportedLoad",
    "UpstreamPool",
    "UpstreamRecord",
]
