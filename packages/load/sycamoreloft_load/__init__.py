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
from sycamoreloft_load._reset_limits import ResetLimits
from sycamoreloft_load._retry_after import RetryTimes
from sycamoreloft_load._upstream_pool import (
    MINIMUM_STALL_S,
    AttemptResult,
    UpstreamPool,
    UpstreamRecord,
)
from sycamoreloft_load._waiting_line import (
    MAXIMUM_WAITING,
    Ticket,
    WaitingLine,
)

__all__ = [
    "MAXIMUM_HOLD_SHARE",
    "MAXIMUM_WAITING",
    "MINIMUM_STALL_S",
    "Admission",
    "AttemptResult",
    "Candidate",
    "Decision",
    "Demand",
    "Kind",
    "ResetLimits",
    "RetryTimes",
    "Ticket",
    "UpstreamPool",
    "UpstreamRecord",
    "Verdict",
    "WaitingLine",
]
