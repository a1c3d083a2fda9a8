"""The router process.

The public names are those that the adapter of a platform needs to run a host
that chooses upstreams itself; see docs/decisions/platform.md.
"""

from sycamoreloft_router._call_client import (
    NO_ANSWER,
    Call,
    CallAnswer,
    CallClient,
    CallLimits,
)
from sycamoreloft_router._call_progress import CallProgress
from sycamoreloft_router._direct_host import RELOADABLE, DirectHost
from sycamoreloft_router._direct_ports import (
    Changes,
    HeaderNames,
    HostSettings,
    KeyOrders,
    OrderTrace,
    Platform,
    ReadProblem,
    Record,
    Records,
    RecordStore,
    Watched,
    WriteOutcome,
    WriteResult,
)
from sycamoreloft_router._logs import log_event, set_up_logging
from sycamoreloft_router._metrics import Metrics
from sycamoreloft_router._settings_watch import SettingsSource, SettingsWatch
from sycamoreloft_router._supervisor import SupervisorFailed

__all__ = [
    "NO_ANSWER",
    "RELOADABLE",
    "Call",
    "CallAnswer",
    "CallClient",
    "CallLimits",
    "CallProgress",
    "Changes",
    "DirectHost",
    "HeaderNames",
    "HostSettings",
    "KeyOrders",
    "Metrics",
    "OrderTrace",
    "Platform",
    "ReadProblem",
    "Record",
    "RecordStore",
    "Records",
    "SettingsSource",
    "SettingsWatch",
    "SupervisorFailed",
    "Watched",
    "WriteOutcome",
    "WriteResult",
    "log_event",
    "set_up_logging",
]
