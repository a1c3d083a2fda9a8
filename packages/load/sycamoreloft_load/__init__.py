"""Decisions under load: which upstream gets a request, and how many.

Nothing in this package does I/O or reads a clock. Callers pass in the current
time, in seconds.
"""

from sycamoreloft_load._attempt_results import AttemptResult
from sycamoreloft_load._caller_quotas import (
    Account,
    CallerLedger,
    CallerQuotas,
    compute_quotas,
)
from sycamoreloft_load._evacuations import (
    EvacuationChange,
    EvacuationEvent,
    Evacuations,
)
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
    UpstreamRecord,
)
from sycamoreloft_load._warm_up_limits import WarmUpBounds, WarmUpLimits

__all__ = [
    "ENCODED_BYTES",
    "MAXIMUM_SHARED_LOADS",
    "MINIMUM_STALL_S",
    "Account",
    "AttemptResult",
    "CallerLedger",
    "CallerQuotas",
    "EvacuationChange",
    "EvacuationEvent",
    "Evacuations",
    "HeardLoad",
    "LoadTeller",
    "ReportedLoad",
    "SharedLoad",
    "SharedLoads",
    "UpstreamPool",
    "UpstreamRecord",
    "WarmUpBounds",
    "WarmUpLimits",
    "compute_message_limit",
    "compute_quotas",
    "compute_run_number",
    "index_runs",
]
