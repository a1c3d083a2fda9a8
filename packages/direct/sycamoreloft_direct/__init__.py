"""Decision logic of the direct mode, in which hosts choose upstreams.

Nothing in this package does I/O or reads a clock. Callers pass in the current
time, in seconds.
"""

from sycamoreloft_direct._answered_paths import AnsweredPaths
from sycamoreloft_direct._crash_guard import (
    REPORT_COUNT,
    CrashGuard,
    CrashReport,
    ReportedCrash,
)
from sycamoreloft_direct._departures import (
    ANNOUNCED,
    MAXIMUM_TOLD_DEPARTURES,
    Departure,
    DepartureLog,
    TableVersion,
)
from sycamoreloft_direct._epochs import (
    FIRST_ERA,
    compute_next_epoch,
    find_era,
    limit_era,
)
from sycamoreloft_direct._key_changes import (
    KeyChanges,
    apply_changes,
    compute_changes,
    decode_changes,
    encode_changes,
)
from sycamoreloft_direct._key_commands import (
    GRANT_CALL_S,
    Command,
    GrantResult,
    KeyLoad,
    LeaseTimes,
    SendGrant,
    SendRelease,
    WriteMap,
)
from sycamoreloft_direct._key_coordinator import KeyCoordinator
from sycamoreloft_direct._key_map import (
    MAXIMUM_EPOCH_OR_REVISION,
    KeyMap,
    KeyRange,
    ServiceKeys,
    check_integer,
    create_unowned,
    decode_key_map,
    encode_key_map,
)
from sycamoreloft_direct._map_trust import VOUCHED_WAIT_S, MapCheck, MapTrust
from sycamoreloft_direct._model import (
    KEY_COUNT,
    CallerLimits,
    DesiredState,
    Evacuation,
    Route,
    RouteKind,
    Service,
    Target,
    Upstream,
    UpstreamRun,
)
from sycamoreloft_direct._owner_changes import (
    ChangeCause,
    ClaimState,
    LeaseClaim,
    OwnerChange,
)
from sycamoreloft_direct._request_identity import identify_request
from sycamoreloft_direct._retry_budgets import (
    RetryBudget,
    ServiceRetryBudgets,
)
from sycamoreloft_direct._routes import RouteTable
from sycamoreloft_direct._table_log import (
    UNREAD_ERA,
    UNREAD_VERSION,
    TableChanges,
    TableLog,
)
from sycamoreloft_direct._table_relay import (
    COMMON_CAUSES,
    CoordinatorState,
    FollowCause,
    Offer,
    TableRelay,
)
from sycamoreloft_direct._upstream_fields import (
    MAXIMUM_SLOTS,
    check_address,
    check_text,
    is_identifier,
)
from sycamoreloft_direct._upstream_notices import (
    NO_NOTICE,
    LeavingRuns,
    ReportedLoad,
    UpstreamNotice,
)
from sycamoreloft_direct._witnesses import WitnessRoster

__all__ = [
    "ANNOUNCED",
    "COMMON_CAUSES",
    "FIRST_ERA",
    "GRANT_CALL_S",
    "KEY_COUNT",
    "MAXIMUM_EPOCH_OR_REVISION",
    "MAXIMUM_SLOTS",
    "MAXIMUM_TOLD_DEPARTURES",
    "NO_NOTICE",
    "REPORT_COUNT",
    "UNREAD_ERA",
    "UNREAD_VERSION",
    "VOUCHED_WAIT_S",
    "AnsweredPaths",
    "CallerLimits",
    "ChangeCause",
    "ClaimState",
    "Command",
    "CoordinatorState",
    "CrashGuard",
    "CrashReport",
    "Departure",
    "DepartureLog",
    "DesiredState",
    "Evacuation",
    "FollowCause",
    "GrantResult",
    "KeyChanges",
    "KeyCoordinator",
    "KeyLoad",
    "KeyMap",
    "KeyRange",
    "LeaseClaim",
    "LeaseTimes",
    "LeavingRuns",
    "MapCheck",
    "MapTrust",
    "Offer",
    "OwnerChange",
    "ReportedCrash",
    "ReportedLoad",
    "RetryBudget",
    "Route",
    "RouteKind",
    "RouteTable",
    "SendGrant",
    "SendRelease",
    "Service",
    "ServiceKeys",
    "ServiceRetryBudgets",
    "TableChanges",
    "TableLog",
    "TableRelay",
    "TableVersion",
    "Target",
    "Upstream",
    "UpstreamNotice",
    "UpstreamRun",
    "WitnessRoster",
    "WriteMap",
    "apply_changes",
    "check_address",
    "check_integer",
    "check_text",
    "compute_changes",
    "compute_next_epoch",
    "create_unowned",
    "decode_changes",
    "decode_key_map",
    "encode_changes",
    "encode_key_map",
    "find_era",
    "identify_request",
    "is_identifier",
    "limit_era",
]
