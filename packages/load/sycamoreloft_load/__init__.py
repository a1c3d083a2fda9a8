"""Decisions under load: which upstream gets a request, and how many.

Nothing in this package does I/O or reads a clock. Callers pass in the current
time, in seconds.
"""

from sycamoreloft_load._caller_quotas import (
    Account,
    CallerLedger,
    CallerQuotas,
    compute_quotas,
)
from sycamoreloft_load._upstream_pool import (
    MINIMUM_STALL_S,
    AttemptResult,
    UpstreamPool,
    UpstreamRecord,
)

__all__ = [
    "MINIMUM_STALL_S",
    "Account",
    "AttemptResult",
    "CallerLedger",
    "CallerQuotas",
    "UpstreamPool",
    "UpstreamRecord",
    "compute_quotas",
]
