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
    Connection,
)
from sycamoreloft_router._call_progress import CallProgress
from sycamoreloft_router._direct_host import DirectHost
from sycamoreloft_router._direct_limits import RELOADABLE
from sycamoreloft_router._direct_ports import (
    UNKNOWN_ERA,
    HeaderNames,
    HostSettings,
    KeyOrderClient,
    OrderTrace,
    Platform,
    ReadProblem,
    Record,
    RecordSnapshot,
    RecordStore,
    TableEntries,
    WatchedTable,
    WriteOutcome,
    WriteResult,
)
from sycamoreloft_router._logs import log_event, set_up_logging
from sycamoreloft_router._metrics import Metrics
from sycamoreloft_router._settings_watch import SettingsSource, SettingsWatcher
from sycamoreloft_router._supervisor import SupervisorFailed

__all__ = [
    "NO_ANSWER",
    "RELOADABLE",
    "UNKNOWN_ERA",
    "Call",
    "CallAnswer",
    "CallClient",
    "CallLimits",
    "CallProgress",
    "Connection",
    "DirectHost",
    "HeaderNames",
    "HostSettings",
    "KeyOrderClient",
    "Metrics",
    "OrderTrace",
    "Platform",
    "ReadProblem",
    "Record",
    "RecordSnapshot",
    "RecordStore",
    "SettingsSource",
    "SettingsWatcher",
    "SupervisorFailed",
    "TableEntries",
    "WatchedTable",
    "WriteOutcome",
    "WriteResult",
    "log_event",
    "set_up_logging",
]
