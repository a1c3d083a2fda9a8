"""Decisions under load: which upstream gets a request, and how many.

Nothing in this package does I/O or reads a clock. Callers pass in the current
time, in seconds.
"""

from sycamoreloft_load._attempt_results import AttemptResult
from sycamoreloft_load._evacuations import (
    EvacuationChange,
    EvacuationEvent,
    Evacuations,
)
from sycamoreloft_load._reported_loads import HeardLoad, ReportedLoad
from sycamoreloft_load._upstream_pool import UpstreamPool
from sycamoreloft_load._upstream_records import (
    MINIMUM_STALL_S,
    UpstreamRecord,
)
from sycamoreloft_load._warm_up_limits import WarmUpBounds, WarmUpLimits

__all__ = [
    "MINIMUM_STALL_S",
    "AttemptResult",
    "EvacuationChange",
    "EvacuationEvent",
    "Evacuations",
    "HeardLoad",
    "ReportedLoad",
    "UpstreamPool",
    "UpstreamRecord",
    "WarmUpBounds",
    "WarmUpLimits",
]
