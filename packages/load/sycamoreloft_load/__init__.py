"""Decisions under load: which upstream gets a request, and how many.

Nothing in this package does I/O or reads a clock. Callers pass in the current
time, in seconds.
"""

from sycamoreloft_load._admission import (
    MAXIMUM_HOLD_SHARE,
    Admission,
    Candidate,
    Decision,
    Demand,
    Kind,
    Verdict,
)
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
from sycamoreloft_load._reset_limits import ResetLimits
from sycamoreloft_load._retry_after import RetryTimes
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
from sycamoreloft_load._waiting_line import (
    MAXIMUM_WAITING,
    Ticket,
    WaitingLine,
)
from sycamoreloft_load._warm_up_limits import WarmUpBounds, WarmUpLimits

__all__ = [
    "ENCODED_BYTES",
    "MAXIMUM_HOLD_SHARE",
    "MAXIMUM_SHARED_LOADS",
    "MAXIMUM_WAITING",
    "MINIMUM_STALL_S",
    "Account",
    "Admission",
    "AttemptResult",
    "CallerLedger",
    "CallerQuotas",
    "Candidate",
    "Decision",
    "Demand",
    "EvacuationChange",
    "EvacuationEvent",
    "Evacuations",
    "HeardLoad",
    "Kind",
    "LoadTeller",
    "ReportedLoad",
    "ResetLimits",
    "RetryTimes",
    "SharedLoad",
    "SharedLoads",
    "Ticket",
    "UpstreamPool",
    "UpstreamRecord",
    "Verdict",
    "WaitingLine",
    "WarmUpBounds",
    "WarmUpLimits",
    "compute_message_limit",
    "compute_quotas",
    "compute_run_number",
    "index_runs",
]
